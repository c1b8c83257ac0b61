//! Detection of congestion on an instance's own link.

use std::net::SocketAddr;
use std::time::Instant;

use hawthornmill::limits::congestion::LinkMonitor;

use super::millis;

fn server(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], number))
}

/// An instance behind a congested link would take all servers for slow and reject every call as too late.
#[test]
fn link_is_congested_when_every_server_is_slow() {
    let now = Instant::now();
    let mut link = LinkMonitor::default();

    for number in 1..=3 {
        link.record_connect(server(number), millis(400), now);
    }

    assert!(link.is_congested(now));
    assert_eq!(link.queueing_delay(now), millis(400));
}

/// If a few dead servers counted as congestion, the latency of the live ones would no longer be measured.
#[test]
fn dead_servers_do_not_mark_the_link_congested() {
    let now = Instant::now();
    let mut link = LinkMonitor::default();

    for number in 1..=9 {
        link.record_connect(server(number), millis(500), now);
    }
    link.record_connect(server(10), millis(4), now);

    assert!(!link.is_congested(now));
}

/// If samples of one slow server added up, it alone would count as congestion.
#[test]
fn one_slow_server_does_not_mark_the_link_congested() {
    let now = Instant::now();
    let mut link = LinkMonitor::default();

    for _ in 0..9 {
        link.record_connect(server(1), millis(500), now);
    }

    assert!(!link.is_congested(now));
}

/// If samples didn't expire, the link would count as congested after the traffic has ended.
#[test]
fn old_samples_expire() {
    let now = Instant::now();
    let mut link = LinkMonitor::default();

    for number in 1..=3 {
        link.record_connect(server(number), millis(400), now);
    }

    assert!(!link.is_congested(now + millis(2_000)));
}
