//! Announcements of servers that leave.

use std::time::Instant;

use hawthornmill::ident::ServerId;
use hawthornmill::routing::announcements::{Departure, RecentAnnouncements};
use hawthornmill::routing::recent::{Audience, Source};
use hawthornmill::routing::request::Admission;

use super::{change, entry, millis, request, scheduler, sent, shape};

fn departure(server: &str, revision: u64) -> Departure {
    Departure {
        server: ServerId::of(server),
        revision,
    }
}

/// Failure: an instance to which a server's removal is unconfirmed sends requests there while others know of it for sure.
#[test]
fn departing_server_gets_no_work_while_unconfirmed_here() {
    let now = Instant::now();
    let mut scheduler = scheduler(&[("a1", "a"), ("a2", "a")], now);
    scheduler
        .registry
        .mark_unconfirmed(ServerId::of("a1"), 50, now);

    let changed = scheduler.registry.mark_draining(departure("a1", 50), now);
    let repeated = scheduler.registry.mark_draining(departure("a1", 50), now);

    assert!(changed && !repeated);
    for _ in 0..8 {
        let choice = sent(scheduler.submit(&request("lab", shape(1, 10, 10), now), now));
        assert_eq!(choice.server, ServerId::of("a2"));
    }
}

/// Failure: a late announcement of an earlier departure keeps a server that has registered again from getting work.
#[test]
fn late_departure_does_not_drain_a_restarted_server() {
    let now = Instant::now();
    let mut scheduler = scheduler(&[("a1", "a")], now);

    scheduler.registry.mark_draining(departure("a1", 50), now);
    scheduler.apply_change(change("a1", 60, Some(entry("a1", "a"))), now);
    let late = scheduler.registry.mark_draining(departure("a1", 50), now);

    assert!(!late);
    let verdict = scheduler.submit(&request("lab", shape(1, 10, 10), now), now);
    assert!(matches!(verdict, Admission::Decided(Ok(_))), "{verdict:?}");
}

/// Failure: each instance repeats to its failure domain what it heard there, and datagrams grow with the square of it.
#[test]
fn departure_from_a_peer_is_not_repeated_in_the_own_domain() {
    let now = Instant::now();
    let mut recent = RecentAnnouncements::default();

    recent.record_departure(departure("a1", 50), Source::Own, now);
    recent.record_departure(departure("a2", 51), Source::Peer, now);

    assert_eq!(
        recent.for_audience(Audience::Domain, now).departures,
        [departure("a1", 50)]
    );
    assert_eq!(
        recent.for_audience(Audience::OtherDomains, now).departures,
        [departure("a2", 51), departure("a1", 50)]
    );
    assert!(
        recent
            .for_audience(Audience::OtherDomains, now + millis(1_000))
            .is_empty()
    );
}
