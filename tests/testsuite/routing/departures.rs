//! Servers that leave, told at once.

use std::time::Instant;

use hawthornmill::ident::ServerId;
use hawthornmill::routing::departures::{Departure, RecentDepartures, Source};
use hawthornmill::routing::request::Admission;

use super::{change, entry, millis, request, scheduler, sent, shape};

fn leaving(server: &str, revision: u64) -> Departure {
    Departure {
        server: ServerId::of(server),
        revision,
    }
}

/// Failure: an instance that doubts that a server is gone sends requests there while others know it for sure.
#[test]
fn a_server_that_others_know_to_leave_gets_no_work_though_it_is_doubted_here() {
    let now = Instant::now();
    let mut scheduler = scheduler(&[("a1", "a"), ("a2", "a")], now);
    scheduler
        .registry
        .mark_unconfirmed(ServerId::of("a1"), 50, now);

    let new = scheduler.registry.mark_draining(leaving("a1", 50));
    let again = scheduler.registry.mark_draining(leaving("a1", 50));

    assert!(new && !again);
    for _ in 0..8 {
        let choice = sent(scheduler.submit(&request("lab", shape(1, 10, 10), now), now));
        assert_eq!(choice.server, ServerId::of("a2"));
    }
}

/// Failure: an old word that a server leaves keeps one from work that has registered anew since.
#[test]
fn a_server_that_is_back_gets_work() {
    let now = Instant::now();
    let mut scheduler = scheduler(&[("a1", "a")], now);

    scheduler.registry.mark_draining(leaving("a1", 50));
    scheduler.apply_change(change("a1", 60, Some(entry("a1", "a"))), now);
    let late = scheduler.registry.mark_draining(leaving("a1", 50));

    assert!(!late);
    let verdict = scheduler.submit(&request("lab", shape(1, 10, 10), now), now);
    assert!(matches!(verdict, Admission::Decided(Ok(_))), "{verdict:?}");
}

/// Failure: each instance tells its whole failure domain what it has heard there, and datagrams grow with the square.
#[test]
fn what_a_peer_told_is_told_to_other_domains_only() {
    let now = Instant::now();
    let mut leavers = RecentDepartures::default();

    leavers.record(leaving("a1", 50), Source::Store, now);
    leavers.record(leaving("a2", 51), Source::Peer, now);

    assert_eq!(leavers.for_domain(now), [leaving("a1", 50)]);
    assert_eq!(
        leavers.for_other_domains(now),
        [leaving("a2", 51), leaving("a1", 50)]
    );
    assert!(leavers.for_other_domains(now + millis(1_000)).is_empty());
}
