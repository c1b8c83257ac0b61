//! What instances know of each other.

use std::net::SocketAddr;
use std::time::Instant;

use hawthornmill::ident::{DomainId, Incarnation, InstanceId};
use hawthornmill::routing::news::{Mate, Mates, News};

use super::millis;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn news(port: u16, version: u64, others: Vec<SocketAddr>) -> News {
    News {
        mate: Mate {
            front: address(port),
            peer: address(port + 1),
            domain: DomainId::of("a"),
        },
        ready: true,
        leaving: false,
        version,
        revision: 0,
        work: Vec::new(),
        usage: Vec::new(),
        strays: Vec::new(),
        short: Vec::new(),
        others,
    }
}

/// A seed is stale, and only one other instance is known. What that one hears is enough to reach all.
#[test]
fn instances_that_others_name_are_told_news_too() {
    let now = Instant::now();
    let mut mates = Mates::default();

    mates.hear(
        InstanceId::of("r2"),
        Incarnation(1),
        &news(20, 1, vec![address(31)]),
        now,
    );
    let targets = mates.targets(&[address(99)], now);

    assert_eq!(targets, [address(21), address(31), address(99)]);
}

/// A late datagram of a leaving instance must not bring it back, and one that starts anew comes back.
#[test]
fn leaving_is_not_taken_back_within_a_run() {
    let now = Instant::now();
    let mut mates = Mates::default();
    let mut leaving = news(20, 1, Vec::new());
    leaving.leaving = true;

    mates.hear(InstanceId::of("r2"), Incarnation(1), &leaving, now);
    mates.hear(
        InstanceId::of("r2"),
        Incarnation(1),
        &news(20, 1, Vec::new()),
        now,
    );
    let same = mates.live(now).next().expect("the mate is heard").1.leaving;
    mates.hear(
        InstanceId::of("r2"),
        Incarnation(2),
        &news(20, 1, Vec::new()),
        now,
    );
    let anew = mates.live(now).next().expect("the mate is heard").1.leaving;

    assert!(same && !anew);
}

#[test]
fn a_silent_instance_is_not_named_and_the_newest_is_asked() {
    let now = Instant::now();
    let mut mates = Mates::default();
    mates.hear(
        InstanceId::of("old"),
        Incarnation(1),
        &news(20, 9, Vec::new()),
        now,
    );
    let later = now + millis(2_000);
    mates.hear(
        InstanceId::of("r2"),
        Incarnation(1),
        &news(30, 3, Vec::new()),
        later,
    );
    mates.hear(
        InstanceId::of("r3"),
        Incarnation(1),
        &news(40, 5, Vec::new()),
        later,
    );

    let live: Vec<u16> = mates
        .live(later)
        .map(|(_, h)| h.mate.front.port())
        .collect();
    let ahead = mates.ahead(3, 0, later).map(|h| h.version);

    assert_eq!(live.len(), 2);
    assert!(!live.contains(&20));
    assert_eq!(ahead, Some(5));
    assert!(mates.ahead(5, 0, later).is_none());
}
