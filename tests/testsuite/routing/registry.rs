//! Registrations that arrive late, twice, out of order, or not at all.

use std::time::{Duration, Instant};

use hawthornmill::ident::ServerId;
use hawthornmill::routing::registry::{REREGISTRATION_GRACE, RegistrationList, Registry};

use super::{change, entry, list, millis};

/// The list that `registry` sends to another instance at `now`.
fn sent(registry: &Registry, now: Instant) -> RegistrationList {
    RegistrationList {
        entries: registry.snapshot(now),
        unconfirmed: registry.unconfirmed(now),
        revision: registry.latest_revision(),
        after_outage: registry.is_incomplete(now),
        asked_at: None,
    }
}

fn names(registry: &Registry) -> Vec<ServerId> {
    registry.entries().map(|(id, _)| id).collect()
}

/// Failure: a server drains and leaves, a copy of its old entry arrives late from a peer and restores the server, and
/// requests go to a dead address.
#[test]
fn late_copy_does_not_revive_a_removed_server() {
    let now = Instant::now();
    let mut registry = Registry::default();
    registry.apply(change("s", 10, Some(entry("s", "a"))), now);
    registry.apply(change("s", 20, None), now);

    let taken = registry.apply(change("s", 15, Some(entry("s", "a"))), now);

    assert!(!taken);
    assert!(names(&registry).is_empty());
}

/// Failure: during an outage of the store, live servers can't renew their entries, and the list read afterwards lacks
/// them. Dropped at once, the service has no servers for two seconds; kept forever, dead servers get requests.
#[test]
fn entries_lost_in_an_outage_count_until_the_grace_period_ends() {
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
fn list_without_an_outage_removes_missing_entries_at_once() {
    let now = Instant::now();
    let mut registry = Registry::default();
    registry.replace_all(
        list(vec![change("s", 1, Some(entry("s", "a")))], 1, false),
        now,
    );

    registry.replace_all(list(Vec::new(), 5, false), now);

    assert!(names(&registry).is_empty());
}

/// Failure: a store that lost its history returns an outdated list, and a server that registered since is removed.
#[test]
fn outdated_list_removes_nothing() {
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
fn unreadable_entry_removes_only_its_own_server() {
    let now = Instant::now();
    let mut registry = Registry::default();
    registry.apply(change("s", 1, Some(entry("s", "a"))), now);
    registry.apply(change("t", 2, Some(entry("t", "a"))), now);

    registry.apply(change("s", 3, None), now);

    assert_eq!(names(&registry), [ServerId::of("t")]);
    assert_eq!(registry.latest_revision(), 3);
}

/// Failure: another instance's list without a removed server is applied, but the instance still counts as behind and
/// requests the list again and again.
#[test]
fn list_of_a_peer_catches_up_with_removals() {
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

/// Failure: an instance without a response from the store keeps a removed entry for its grace period and sends its state
/// to another one as confirmed. That one keeps the server forever, since no later change names it.
#[test]
fn unconfirmed_entry_is_sent_as_unconfirmed() {
    let now = Instant::now();
    let mut sender = Registry::default();
    let mut receiver = Registry::default();
    sender.replace_all(
        list(vec![change("s", 1, Some(entry("s", "a")))], 1, false),
        now,
    );
    sender.mark_unconfirmed(ServerId::of("s"), 2, now);

    receiver.replace_all(sent(&sender, now), now);
    let gone = receiver.expire(now + REREGISTRATION_GRACE);

    assert_eq!(gone, [ServerId::of("s")]);
}

/// Failure: the grace period starts again at each instance that receives the entry, and a server that left gets requests
/// for seconds longer.
#[test]
fn grace_period_does_not_restart_at_each_instance() {
    let now = Instant::now();
    let mut instances: Vec<Registry> = (0..3).map(|_| Registry::default()).collect();
    for registry in &mut instances {
        let first = vec![change("s", 1, Some(entry("s", "a")))];
        registry.replace_all(list(first, 1, false), now);
    }
    instances[0].mark_unconfirmed(ServerId::of("s"), 2, now);

    for hop in 1..3 {
        let received = now + millis(900) * hop;
        let sent = sent(&instances[hop as usize - 1], received);
        instances[hop as usize].replace_all(sent.clone(), received);
        instances[hop as usize].replace_all(sent, received);
    }

    for mut registry in instances {
        assert_eq!(
            registry.expire(now + REREGISTRATION_GRACE),
            [ServerId::of("s")]
        );
    }
}

/// Failure: an instance that follows the store learns of a removal from a new list, and no other instance hears of it.
#[test]
fn removal_by_a_list_is_announced() {
    let now = Instant::now();
    let mut registry = Registry::default();
    let first = vec![change("s", 1, Some(entry("s", "a")))];
    registry.replace_all(list(first, 1, false), now);

    registry.replace_all(list(Vec::new(), 7, false), now);

    assert_eq!(registry.latest_revision(), 7);
}

/// Failure: only the instance that follows the store hears that an entry was removed during an outage.
#[test]
fn unconfirmed_entry_is_announced() {
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

/// Failure: an instance starts after a server was removed, gets an older list from a peer that is late, and sends to the
/// removed server until it reads the whole list again.
#[test]
fn outdated_list_restores_no_server_after_a_start() {
    let now = Instant::now();
    let mut started = Registry::default();
    started.replace_all(
        list(vec![change("t", 70, Some(entry("t", "a")))], 100, false),
        now,
    );
    let late = vec![
        change("s", 80, Some(entry("s", "a"))),
        change("t", 70, Some(entry("t", "a"))),
    ];

    started.replace_all(list(late, 90, false), now);

    assert_eq!(names(&started), [ServerId::of("t")]);
}

/// Failure: an instance that starts just after an outage of the store reads a list without live servers that have not
/// registered again, and the others that take over its list drop these servers at once.
#[test]
fn first_list_after_an_outage_drops_no_server_of_others() {
    let now = Instant::now();
    let mut known = Registry::default();
    let both = vec![
        change("s", 1, Some(entry("s", "a"))),
        change("t", 2, Some(entry("t", "a"))),
    ];
    known.replace_all(list(both, 2, false), now);
    let mut started = Registry::default();
    started.replace_all(
        list(vec![change("t", 9, Some(entry("t", "a")))], 9, true),
        now,
    );

    known.replace_all(sent(&started, now), now);
    let kept = names(&known).len();
    let gone = known.expire(now + REREGISTRATION_GRACE);

    assert_eq!(kept, 2);
    assert_eq!(gone, [ServerId::of("s")]);
}

/// Failure: a server registers while a list of several pages is read, the instance tells others that it knows all up to the
/// newest entry, and those that don't read the store never hear of the server.
#[test]
fn registration_between_two_pages_of_a_list_reaches_others() {
    let now = Instant::now();
    let mut reader = Registry::default();
    let pages = vec![
        change("a", 90, Some(entry("a", "a"))),
        change("t", 105, Some(entry("t", "a"))),
    ];
    reader.replace_all(list(pages, 100, false), now);
    let mut other = Registry::default();
    other.replace_all(sent(&reader, now), now);
    other.advance_latest(reader.latest_revision());

    reader.apply(change("s", 103, Some(entry("s", "a"))), now);

    assert!(reader.latest_revision() > other.latest_revision());
    other.replace_all(sent(&reader, now), now);
    assert_eq!(names(&other), names(&reader));
}
