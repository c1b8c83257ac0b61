//! Versions at which streams began, and who is told of them.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use hawthornmill::ident::{AccountId, DomainId, InstanceId, VersionId};
use hawthornmill::routing::stream_versions::{
    ASKED, HOLDERS, StreamKey, StreamVersion, StreamVersions, UNDECIDED, holders,
};
use proptest::prelude::*;

use super::millis;

fn version(name: &str) -> VersionId {
    VersionId::of(name)
}

fn stream(attempt: &str, of: &str) -> StreamVersion {
    StreamVersion {
        key: StreamKey::of(Some(AccountId::of("lab")), attempt),
        version: version(of),
    }
}

/// Instances of six failure domains.
fn fleet(size: usize) -> Vec<(InstanceId, DomainId)> {
    let instance = |n: usize| {
        (
            InstanceId::of(&format!("r{n}")),
            DomainId::of(&format!("d{}", n % 6)),
        )
    };
    (0..size).map(instance).collect()
}

/// Failure: an attempt of one account is taken for that of another account with the same name.
#[test]
fn attempts_of_two_accounts_differ() {
    let key = |account| StreamKey::of(account, "a-1");

    let keys = [
        key(Some(AccountId::of("lab"))),
        key(Some(AccountId::of("kiosk"))),
        key(None),
    ];

    assert_eq!(BTreeSet::from(keys).len(), 3);
}

/// Failure: a stream that goes on at its version is taken for one that began anew, or memory grows without an end.
#[test]
fn first_version_stays_until_it_expires() {
    let now = Instant::now();
    let mut versions = StreamVersions::default();

    versions.begin(stream("a-1", "v1"), now);
    versions.record(stream("a-1", "v2"), now + millis(1));
    let (known, unsent) = (versions.get(stream("a-1", "").key), versions.take_unsent());
    versions.record(stream("a-2", "v2"), now + Duration::from_mins(3));

    assert_eq!(known, Some(version("v1")));
    assert_eq!(unsent, [stream("a-1", "v1")]);
    assert!(versions.take_unsent().is_empty());
    assert_eq!(versions.get(stream("a-1", "").key), None);
    assert_eq!(versions.get(stream("a-2", "").key), Some(version("v2")));
}

/// Failure: a flood of streams takes all memory.
#[test]
fn oldest_streams_give_way_to_new_ones() {
    let now = Instant::now();
    let mut versions = StreamVersions::default();

    for number in 0..20_000 {
        versions.record(stream(&format!("a-{number}"), "v1"), now);
    }

    assert_eq!(versions.get(stream("a-0", "").key), None);
    assert!(versions.get(stream("a-19999", "").key).is_some());
}

proptest! {
    /// Failure: a failure domain is lost, and with it all who were told of a stream.
    #[test]
    fn holders_lie_in_different_domains(attempt in "[a-z0-9]{1,16}", size in 6..60_usize) {
        let key = StreamKey::of(None, &attempt);

        let chosen = holders(key, fleet(size).into_iter(), HOLDERS);

        let all = fleet(size);
        let domain = |id: &InstanceId| all.iter().find(|(i, _)| i == id).map(|(_, d)| *d);
        let domains: BTreeSet<_> = chosen.iter().map(domain).collect();
        prop_assert_eq!(domains.len(), HOLDERS);
    }

    /// Failure: who asks sees one instance less, or one more, than who told, and asks none that was told.
    #[test]
    fn views_that_differ_by_an_instance_name_a_common_holder(
        attempt in "[a-z0-9]{1,16}", size in 3..60_usize, gone in 0..60_usize,
    ) {
        let key = StreamKey::of(None, &attempt);
        let fleet = fleet(size);
        let fewer = fleet.iter().copied().enumerate().filter(|(n, _)| *n != gone % size);

        let told: BTreeSet<_> = holders(key, fleet.iter().copied(), HOLDERS).into_iter().collect();
        let asked: BTreeSet<_> = holders(key, fewer.map(|(_, i)| i), ASKED).into_iter().collect();
        let live = told.iter().filter(|id| **id != fleet[gone % size].0).count();

        prop_assert!(told.intersection(&asked).count() >= live.min(2), "{told:?} {asked:?}");
    }
}

/// Failure: a stream that began at a run of unknown version has no record, and is taken for one of the version of its key.
#[test]
fn undecided_version_is_kept_until_it_is_known() {
    let now = Instant::now();
    let mut versions = StreamVersions::default();
    let decided = stream("a-1", "v2");
    let undecided = StreamVersion {
        version: UNDECIDED,
        ..decided
    };

    versions.begin(undecided, now);
    let before = versions.get(decided.key);
    versions.record(decided, now);
    versions.record(stream("a-1", "v3"), now);

    assert_eq!(before, Some(UNDECIDED));
    assert_eq!(versions.get(decided.key), Some(version("v2")));
    assert_eq!(versions.take_unsent(), [undecided]);
}

/// Failure: an account names one begun stream again and again, and each request goes before those of others.
#[test]
fn begun_stream_goes_before_others_a_few_times_only() {
    let now = Instant::now();
    let mut versions = StreamVersions::default();
    let begun = stream("a-1", "v1");
    versions.begin(begun, now);

    let preferred = (0..100).filter(|_| versions.take_preference(begun.key));
    let count = preferred.count();

    assert!((1..=4).contains(&count), "{count}");
    assert!(!versions.take_preference(stream("a-2", "v1").key));
}
