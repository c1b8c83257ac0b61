//! Versions of streams by the state in which their callers first asked.

use std::time::{Duration, Instant};

use hawthornmill::routing::stream_versions::StreamKey;
use hawthornmill::routing::version_history::{BeginVersion, BeginWindow, VIEW_LAG, choose};
use proptest::prelude::*;

use super::version_history::{STREAMS, Store, read_time, store_of, version};
use super::{drafter, millis};

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    /// Failure: an instance takes a stream for one of another version than that at which it began, by the state in which its caller
    /// first asked, though that was chosen by another view of it, or its version had no servers meanwhile.
    #[test]
    fn stream_dated_by_its_callers_count_is_given_its_version_or_none(
        steps in prop::collection::vec((0..900_u64, 0..6_usize, 0..4_u8, 1..5_u32, 0..9_000_u64), 1..24),
        delays in prop::collection::vec(0..VIEW_LAG.as_millis() as u64, 1..8),
        other_delays in prop::collection::vec(0..VIEW_LAG.as_millis() as u64, 1..8),
        (begun, asked) in (0..100_u64, 0..3_000_u64),
        (restart, reading) in (0..3_000_u64, 0..500_u64),
        (anchored, kept) in (any::<bool>(), 500..5_000_u64),
        seed in any::<u64>(),
    ) {
        let epoch = Instant::now() + Duration::from_mins(5);
        let (store, end) = store_of(&steps, anchored);
        let begun_at = 1_000 + (end - 1_000) * begun / 100;
        let first_asked = epoch + millis(begun_at.saturating_sub(asked));
        let window = BeginWindow {
            asked_after: first_asked.checked_sub(VIEW_LAG).expect("the epoch lies ahead"),
            asked_by: Some(first_asked + VIEW_LAG),
        };
        let began = store.late_view(begun_at, &delays, epoch);

        let old = store.late_view(begun_at + 500 + restart, &other_delays, epoch);
        let (started_at, read_at) = (begun_at + restart, begun_at + restart + reading);
        let mut young = store.listing(started_at, epoch);
        let floor = if anchored { store.revision_at(read_at.saturating_sub(kept)) } else { 0 };
        let _fits = young.learn_past(&store.history(read_at, floor), read_time(read_at, epoch, 0));

        for number in 0..STREAMS {
            let key = StreamKey(seed.wrapping_add(number));
            let present = began.versions().current(drafter());
            let first = began.versions().first_choice(drafter(), key, first_asked);
            let Some(version) = first.or_else(|| choose(key, present)) else {
                continue;
            };
            if !present.iter().any(|(v, _)| *v == version) {
                continue;
            }
            for (registry, name) in [(&old, "old"), (&young, "young")] {
                let found = registry.versions().begin_version(&[drafter()], Some(key), window);
                if let BeginVersion::Certain(found) = found {
                    prop_assert_eq!(found, version, "{} {:?}", name, key);
                }
            }
        }
    }
}

/// Failure: a release after a caller's first request leaves its stream in doubt, though its version has had servers all along.
#[test]
fn changes_after_a_callers_first_request_leave_no_doubt() {
    let epoch = Instant::now() + Duration::from_mins(5);
    let mut store = Store::default();
    for number in 0..6 {
        store.start(1_000, &format!("a{number}"), "v1", 4);
    }
    for number in 0..4 {
        store.start(10_000 + 400 * number, &format!("b{number}"), "v2", 8);
        store.drain(10_010 + 400 * number, &format!("a{number}"));
    }
    let mut young = store.listing(15_000, epoch);
    assert!(young.learn_past(&store.history(15_000, 0), read_time(15_000, epoch, 0)));
    let window = |asked: u64| BeginWindow {
        asked_by: Some(epoch + millis(asked)),
        ..BeginWindow::since(epoch + millis(asked))
    };

    let certain = |window| {
        let found = |key| {
            young
                .versions()
                .begin_version(&[drafter()], Some(key), window)
        };
        let keys = (0..STREAMS).map(|key| found(StreamKey(key)));
        keys.filter(|found| *found == BeginVersion::Certain(version("v1")))
            .count()
    };

    assert_eq!(certain(window(9_000)), STREAMS as usize);
    assert!(certain(BeginWindow::since(epoch + millis(9_000))) < STREAMS as usize / 2);
}
