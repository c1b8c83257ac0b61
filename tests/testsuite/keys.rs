//! Keys of calls that must not repeat: their form, and the home's memory of them.

use std::time::{Duration, Instant};

use hawthornmill::codes::Code;
use hawthornmill::ident::{AccountId, Incarnation, InstanceId};
use hawthornmill::keys::table::{AccountKey, KeyTable, retention};
use hawthornmill::keys::{ClaimResult, KeyError, KeyPrefix, KeyUse, StoredResponse};
use proptest::prelude::*;

const FLEET: [u8; 32] = [7; 32];
const DIGEST: [u8; 32] = [1; 32];
const TTL: Duration = Duration::from_mins(2);

fn key(account: &str, suffix: &str) -> AccountKey {
    (AccountId::of(account), suffix.into())
}

fn used(made: u32, now: Instant) -> KeyUse {
    KeyUse {
        issued_secs: made,
        digest: DIGEST,
        expires_at: now + retention(TTL, Duration::from_secs(1)),
    }
}

fn answer(length: usize) -> StoredResponse {
    StoredResponse {
        status: 200,
        content_type: None,
        body: vec![b'x'; length].into(),
        request_id: "r".into(),
    }
}

/// A caller is told `not_run` of its booking, goes on with a new key, and the first copy of the old
/// call arrives late. It must not run any more, or one family gets two loaner bikes.
#[test]
fn a_refusal_is_final_for_copies_that_come_later() {
    let now = Instant::now();
    let mut table = KeyTable::new(100, 1000);
    assert_eq!(
        table.claim(&key("lab", "1"), used(5, now)),
        ClaimResult::Run
    );

    table.reject(&key("lab", "1"), Code::QueueFull);

    let late = table.claim(&key("lab", "1"), used(5, now));
    assert_eq!(late, ClaimResult::Rejected(Code::QueueFull));
}

/// The table is full and refuses a key; room is made; a second copy of the refused call arrives. It
/// stays refused, since its caller may have gone on; a key of a newer prefix runs.
#[test]
fn a_key_refused_for_want_of_room_stays_refused() {
    let now = Instant::now();
    let mut table = KeyTable::new(4, 1000);
    assert_eq!(
        table.claim(&key("lab", "1"), used(5, now)),
        ClaimResult::Run
    );
    assert_eq!(
        table.claim(&key("lab", "2"), used(6, now)),
        ClaimResult::Full
    );
    table.complete(&key("lab", "1"), None);
    table.remove_expired(now + Duration::from_secs(500));
    assert!(table.is_empty());

    let late = table.claim(&key("lab", "2"), used(6, now));
    let fresh = table.claim(&key("lab", "3"), used(7, now));

    assert_eq!((late, fresh), (ClaimResult::Full, ClaimResult::Run));
}

/// One account floods the home with keys. Another's first key must still find room.
#[test]
fn a_flood_of_keys_by_one_account_leaves_room_for_others() {
    let now = Instant::now();
    let mut table = KeyTable::new(40, 1000);

    let runs = (0..100)
        .filter(|n| table.claim(&key("big", &n.to_string()), used(5, now)) == ClaimResult::Run)
        .count();

    assert_eq!(runs, 10);
    assert_eq!(
        table.claim(&key("small", "1"), used(5, now)),
        ClaimResult::Run
    );
}

/// A caller asks what became of its call. Looking must not claim the key for an instant, or a copy
/// that comes in that instant would be told that the call runs.
#[test]
fn looking_at_a_key_changes_nothing() {
    let table = KeyTable::new(10, 1000);

    assert_eq!(table.get(&key("lab", "1"), DIGEST), None);
    assert!(table.is_empty());
}

/// Another account uses the very same key text. It must learn nothing of the first one's answer.
#[test]
fn the_key_of_another_account_is_a_different_key() {
    let now = Instant::now();
    let mut table = KeyTable::new(10, 1000);
    assert_eq!(
        table.claim(&key("lab", "1"), used(5, now)),
        ClaimResult::Run
    );
    table.complete(&key("lab", "1"), Some(answer(10)));

    assert_eq!(
        table.claim(&key("kiosk", "1"), used(5, now)),
        ClaimResult::Run
    );
}

/// Answers are dropped to stay within the bound of bytes, marks are not: a repeated key is told
/// that its call ran, and is never run again.
#[test]
fn answers_are_dropped_and_marks_stay() {
    let now = Instant::now();
    let mut table = KeyTable::new(100, 25);
    for suffix in ["1", "2", "3"] {
        assert_eq!(
            table.claim(&key("lab", suffix), used(5, now)),
            ClaimResult::Run
        );
        table.complete(&key("lab", suffix), Some(answer(10)));
    }

    assert_eq!(
        table.claim(&key("lab", "1"), used(5, now)),
        ClaimResult::Discarded
    );
    assert_eq!(
        table.claim(&key("lab", "3"), used(5, now)),
        ClaimResult::Replay(answer(10))
    );
    assert_eq!(table.bytes(), 20);
}

#[derive(Debug, Clone)]
enum Step {
    Claim(u8, u8),
    Ran(u8, u8),
    Refuse(u8, u8),
    Unknown(u8, u8),
    Sweep,
}

fn step() -> impl Strategy<Value = Step> {
    let pair = (0u8..2, 0u8..6);
    prop_oneof![
        4 => pair.clone().prop_map(|(a, k)| Step::Claim(a, k)),
        1 => pair.clone().prop_map(|(a, k)| Step::Ran(a, k)),
        1 => pair.clone().prop_map(|(a, k)| Step::Refuse(a, k)),
        1 => pair.prop_map(|(a, k)| Step::Unknown(a, k)),
        1 => Just(Step::Sweep),
    ]
}

proptest! {
    /// Whatever happens in whatever order, a key of a prefix that may still be used is run at most
    /// once, and never after it was refused.
    #[test]
    fn no_order_of_events_runs_a_key_twice(steps in prop::collection::vec(step(), 1..200)) {
        let now = Instant::now();
        let mut table = KeyTable::new(8, 30);
        let mut over = std::collections::BTreeSet::new();
        let name = |a: u8, k: u8| key(&a.to_string(), &k.to_string());
        for step in steps {
            match step {
                Step::Claim(a, k) => match table.claim(&name(a, k), used(5, now)) {
                    ClaimResult::Run => prop_assert!(over.insert((a, k)), "ran twice or after a refusal"),
                    ClaimResult::Full => { over.insert((a, k)); }
                    _ => {}
                },
                Step::Ran(a, k) => table.complete(&name(a, k), Some(answer(10))),
                Step::Refuse(a, k) => table.reject(&name(a, k), Code::QueueFull),
                Step::Unknown(a, k) => table.set_unknown(&name(a, k)),
                Step::Sweep => table.remove_expired(now + TTL),
            }
        }
    }

    /// A prefix that one instance made is read by every other, and one changed character spoils it.
    #[test]
    fn a_prefix_is_read_back_and_a_changed_one_is_not(
        home: u64, run: u64, made: u32, at in 0usize..60, to in "[0-9a-z]",
    ) {
        let prefix = KeyPrefix {
            home: InstanceId(home),
            incarnation: Incarnation(run),
            issued_secs: made,
        };
        let text = prefix.encode(&FLEET);
        let good = KeyPrefix::parse_key(&FLEET, &format!("{text}.a-1"));
        prop_assert_eq!(good, Ok((prefix, "a-1".into())));

        let mut changed = text.to_string();
        let at = at % changed.len();
        changed.replace_range(at..=at, &to);
        if *changed != *text {
            let read = KeyPrefix::parse_key(&FLEET, &format!("{changed}.a-1"));
            prop_assert!(read.is_err());
        }
        let other = KeyPrefix::parse_key(&[8; 32], &format!("{text}.a-1"));
        prop_assert_eq!(other, Err(KeyError::UnknownIssuer));
    }

    /// Random bytes are never taken for a key and never make the reader fail.
    #[test]
    fn random_text_is_no_key(text in "\\PC{0,200}") {
        prop_assert!(KeyPrefix::parse_key(&FLEET, &text).is_err());
    }
}
