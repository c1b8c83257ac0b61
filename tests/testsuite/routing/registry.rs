//! Registrations that arrive late, twice, out of order, or not at all.

use std::time::{Duration, Instant};

use hawthornmill::ident::ServerId;
use hawthornmill::routing::registry::{REREGISTRATION_GRACE, RegistrationList, Registry};

use super::{change, entry, list, millis};

/// What `registry` tells another instance at `now`.
fn told(registry: &Registry, now: Instant) -> RegistrationList {
    RegistrationList {
        entries: registry.snapshot(),
        unconfirmed: registry.unconfirmed(now),
        revision: registry.latest_revision(),
        after_outage: false,
    }
}

fn names(registry: &Registry) -> Vec<ServerId> {
    registry.entries().map(|(id, _)| id).collect()
}

/// A server drains and leaves. A copy of its old entry, read earlier by a peer, arrives afterwards.
/// Taken for news, it would bring the server back, and requests would go to a dead address.
#[test]
fn an_older_copy_does_not_revive_a_server_that_is_gone() {
    let now = Instant::now();
    let mut registry = Registry::default();
    registry.apply(change("s", 10, Some(entry("s", "a"))), now);
    registry.apply(change("s", 20, None), now);

    let taken = registry.apply(change("s", 15, Some(entry("s", "a"))), now);

    assert!(!taken);
    assert!(names(&registry).is_empty());
}

/// The store was down for seconds, live servers could not write, and their entries lapsed. The list
/// read at its return lacks them. Dropped at once, the whole service would be without servers for two
/// seconds; kept for ever, dead ones would get requests.
#[test]
fn entries_that_lapsed_with_the_store_away_count_until_the_grace_is_over() {
    let now = Instant::now();
    let mut registry = Registry::default();
    registry.replace_all(
        list(
            vec![
                change("s", 1, Some(entry("s", "a"))),
                change("t", 2, Some(entry("t", "a"))),
            ],
            2,
            false,
        ),
        now,
    );

    registry.replace_all(list(Vec::new(), 9, true), now);
    registry.apply(
        change("t", 11, Some(entry("t", "a"))),
        now + Duration::from_secs(1),
    );
    let before = names(&registry).len();
    let gone = registry.expire(now + REREGISTRATION_GRACE);

    assert_eq!(before, 2);
    assert_eq!(gone, [ServerId::of("s")]);
    assert_eq!(names(&registry), [ServerId::of("t")]);
}

#[test]
fn a_list_of_a_store_that_was_there_removes_what_it_lacks_at_once() {
    let now = Instant::now();
    let mut registry = Registry::default();
    registry.replace_all(
        list(vec![change("s", 1, Some(entry("s", "a")))], 1, false),
        now,
    );

    registry.replace_all(list(Vec::new(), 5, false), now);

    assert!(names(&registry).is_empty());
}

/// A stale list, as a store gives after it lost its history, lacks a server that registered since.
#[test]
fn a_stale_list_removes_nothing() {
    let now = Instant::now();
    let mut registry = Registry::default();
    registry.replace_all(
        list(vec![change("s", 8, Some(entry("s", "a")))], 9, false),
        now,
    );

    registry.replace_all(list(Vec::new(), 5, false), now);

    assert_eq!(names(&registry), [ServerId::of("s")]);
    assert_eq!(registry.revision(), 9);
}

#[test]
fn an_entry_that_can_not_be_read_names_no_server_and_leaves_the_others() {
    let now = Instant::now();
    let mut registry = Registry::default();
    registry.apply(change("s", 1, Some(entry("s", "a"))), now);
    registry.apply(change("t", 2, Some(entry("t", "a"))), now);

    registry.apply(change("s", 3, None), now);

    assert_eq!(names(&registry), [ServerId::of("t")]);
    assert_eq!(registry.latest_revision(), 3);
}

/// A server was removed, and another instance's list, which lacks it, brings that here. The instance
/// must then count as caught up, or it would ask for the list again with every look.
#[test]
fn a_list_of_another_instance_catches_up_with_removals() {
    let now = Instant::now();
    let mut registry = Registry::default();
    registry.replace_all(
        list(vec![change("s", 1, Some(entry("s", "a")))], 1, false),
        now,
    );

    registry.replace_all(list(Vec::new(), 7, false), now);
    registry.advance_latest(7);

    assert!(names(&registry).is_empty());
    assert_eq!(registry.latest_revision(), 7);
}

/// An instance that the store did not answer hears of a removal and keeps the entry for its grace. It
/// tells another instance of all that it knows at that moment. If the doubt were not told with it, the
/// other one would keep the server for ever, since no later change names it.
#[test]
fn a_doubted_entry_is_told_as_doubted() {
    let now = Instant::now();
    let mut teller = Registry::default();
    let mut hearer = Registry::default();
    teller.replace_all(
        list(vec![change("s", 1, Some(entry("s", "a")))], 1, false),
        now,
    );
    teller.mark_unconfirmed(ServerId::of("s"), 2, now);

    hearer.replace_all(told(&teller, now), now);
    let gone = hearer.expire(now + REREGISTRATION_GRACE);

    assert_eq!(gone, [ServerId::of("s")]);
}

/// Failure: each instance that hears of a doubt gives a grace of its own, and a server that left gets requests for seconds more.
#[test]
fn a_grace_does_not_begin_anew_with_each_instance_that_hears_of_it() {
    let now = Instant::now();
    let mut instances: Vec<Registry> = (0..3).map(|_| Registry::default()).collect();
    for registry in &mut instances {
        let first = vec![change("s", 1, Some(entry("s", "a")))];
        registry.replace_all(list(first, 1, false), now);
    }
    instances[0].mark_unconfirmed(ServerId::of("s"), 2, now);

    for hop in 1..3 {
        let heard = now + millis(900) * hop;
        let told = told(&instances[hop as usize - 1], heard);
        instances[hop as usize].replace_all(told.clone(), heard);
        instances[hop as usize].replace_all(told, heard);
    }

    for mut registry in instances {
        assert_eq!(
            registry.expire(now + REREGISTRATION_GRACE),
            [ServerId::of("s")]
        );
    }
}

/// Failure: a reader finds by a new list that a server is gone, and nobody else hears of it.
#[test]
fn a_removal_that_only_a_list_shows_is_told_as_newer_than_what_others_know() {
    let now = Instant::now();
    let mut registry = Registry::default();
    let first = vec![change("s", 1, Some(entry("s", "a")))];
    registry.replace_all(list(first, 1, false), now);

    registry.replace_all(list(Vec::new(), 7, false), now);

    assert_eq!(registry.latest_revision(), 7);
}

/// Failure: nobody but the reader of the store hears that an entry was removed while the store was away.
#[test]
fn a_doubt_is_told_as_newer_than_what_others_know() {
    let now = Instant::now();
    for missing in [false, true] {
        let mut registry = Registry::default();
        let first = vec![change("s", 1, Some(entry("s", "a")))];
        registry.replace_all(list(first, 1, false), now);

        if missing {
            registry.replace_all(list(Vec::new(), 7, true), now);
        } else {
            registry.mark_unconfirmed(ServerId::of("s"), 7, now);
        }

        assert_eq!(registry.latest_revision(), 7);
    }
}
