//! Whether an instance's own link is full.

use std::net::SocketAddr;
use std::time::Instant;

use hawthornmill::limits::congestion::LinkMonitor;

use super::millis;

fn server(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], number))
}

/// Failure: an instance behind a full link learns its servers as slow, and refuses all its callers as too late.
#[test]
fn a_link_is_late_when_every_server_is() {
    let now = Instant::now();
    let mut link = LinkMonitor::default();

    for number in 1..=3 {
        link.record_connect(server(number), millis(400), now);
    }

    assert!(link.is_congested(now));
    assert_eq!(link.queueing_delay(now), millis(400));
}

/// Failure: a few servers are gone, and nothing is learned any more of those that live.
#[test]
fn servers_that_are_gone_do_not_make_the_link_late() {
    let now = Instant::now();
    let mut link = LinkMonitor::default();

    for number in 1..=9 {
        link.record_connect(server(number), millis(500), now);
    }
    link.record_connect(server(10), millis(4), now);

    assert!(!link.is_congested(now));
}

#[test]
fn one_server_asked_many_times_tells_nothing_of_the_link() {
    let now = Instant::now();
    let mut link = LinkMonitor::default();

    for _ in 0..9 {
        link.record_connect(server(1), millis(500), now);
    }

    assert!(!link.is_congested(now));
}

#[test]
fn what_was_late_seconds_ago_no_longer_counts() {
    let now = Instant::now();
    let mut link = LinkMonitor::default();

    for number in 1..=3 {
        link.record_connect(server(number), millis(400), now);
    }

    assert!(!link.is_congested(now + millis(2_000)));
}
