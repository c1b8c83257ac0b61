//! Idempotency keys: their format, and the table of their home instance.

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

fn key_use(issued: u32, now: Instant) -> KeyUse {
    KeyUse {
        issued_secs: issued,
        digest: DIGEST,
        expires_at: now + retention(TTL, Duration::from_secs(1)),
    }
}

fn response(length: usize) -> StoredResponse {
    StoredResponse {
        status: 200,
        content_type: None,
        body: vec![b'x'; length].into(),
        request_id: "r".into(),
    }
}

/// A client receives `not_run`, retries with a new key, and a copy of the first call arrives late. If
/// that copy ran, the call would run twice.
#[test]
fn rejected_key_does_not_run_later() {
    let now = Instant::now();
    let mut table = KeyTable::new(100, 1000);
    assert_eq!(
        table.claim(&key("lab", "1"), key_use(5, now)),
        ClaimResult::Run
    );

    table.reject(&key("lab", "1"), Code::QueueFull);

    let late = table.claim(&key("lab", "1"), key_use(5, now));
    assert_eq!(late, ClaimResult::Rejected(Code::QueueFull));
}

/// The full table rejects a key, then has room again, and a copy of the call arrives. It must stay
/// rejected, since its client may have retried with a new key; a key of a newer prefix runs.
#[test]
fn key_rejected_by_a_full_table_does_not_run_later() {
    let now = Instant::now();
    let mut table = KeyTable::new(4, 1000);
    assert_eq!(
        table.claim(&key("lab", "1"), key_use(5, now)),
        ClaimResult::Run
    );
    assert_eq!(
        table.claim(&key("lab", "2"), key_use(6, now)),
        ClaimResult::Full
    );
    table.complete(&key("lab", "1"), None);
    table.remove_expired(now + Duration::from_secs(500));
    assert!(table.is_empty());

    let late = table.claim(&key("lab", "2"), key_use(6, now));
    let fresh = table.claim(&key("lab", "3"), key_use(7, now));

    assert_eq!((late, fresh), (ClaimResult::Full, ClaimResult::Run));
}

/// One account uses a large number of keys. The first key of another must still be accepted.
#[test]
fn one_account_cannot_fill_the_table() {
    let now = Instant::now();
    let mut table = KeyTable::new(40, 1000);

    let accepted = (0..100)
        .filter(|n| table.claim(&key("big", &n.to_string()), key_use(5, now)) == ClaimResult::Run)
        .count();

    assert_eq!(accepted, 10);
    assert_eq!(
        table.claim(&key("small", "1"), key_use(5, now)),
        ClaimResult::Run
    );
}

/// A client asks for the state of its call. If that claimed the key even for a moment, a copy that
/// arrives then would be told that the call is running.
#[test]
fn get_does_not_claim_the_key() {
    let table = KeyTable::new(10, 1000);

    assert_eq!(table.get(&key("lab", "1"), DIGEST), None);
    assert!(table.is_empty());
}

/// Two accounts use the same key. The second must not receive the response of the first.
#[test]
fn accounts_do_not_share_keys() {
    let now = Instant::now();
    let mut table = KeyTable::new(10, 1000);
    assert_eq!(
        table.claim(&key("lab", "1"), key_use(5, now)),
        ClaimResult::Run
    );
    table.complete(&key("lab", "1"), Some(response(10)));

    assert_eq!(
        table.claim(&key("kiosk", "1"), key_use(5, now)),
        ClaimResult::Run
    );
}

/// Responses are discarded to limit memory, keys are not: a repeated call must be reported as run and
/// must not run again.
#[test]
fn key_of_a_discarded_response_does_not_run_again() {
    let now = Instant::now();
    let mut table = KeyTable::new(100, 25);
    for suffix in ["1", "2", "3"] {
        assert_eq!(
            table.claim(&key("lab", suffix), key_use(5, now)),
            ClaimResult::Run
        );
        table.complete(&key("lab", suffix), Some(response(10)));
    }

    assert_eq!(
        table.claim(&key("lab", "1"), key_use(5, now)),
        ClaimResult::Discarded
    );
    assert_eq!(
        table.claim(&key("lab", "3"), key_use(5, now)),
        ClaimResult::Replay(response(10))
    );
    assert_eq!(table.bytes(), 20);
}

#[derive(Debug, Clone)]
enum Step {
    Claim(u8, u8),
    Ran(u8, u8),
    Reject(u8, u8),
    Unknown(u8, u8),
    Sweep,
}

fn step() -> impl Strategy<Value = Step> {
    let pair = (0u8..2, 0u8..6);
    prop_oneof![
        4 => pair.clone().prop_map(|(a, k)| Step::Claim(a, k)),
        1 => pair.clone().prop_map(|(a, k)| Step::Ran(a, k)),
        1 => pair.clone().prop_map(|(a, k)| Step::Reject(a, k)),
        1 => pair.prop_map(|(a, k)| Step::Unknown(a, k)),
        1 => Just(Step::Sweep),
    ]
}

proptest! {
    /// In any order of events, a key with a valid prefix runs at most once, and never after it was
    /// rejected.
    #[test]
    fn no_order_of_events_runs_a_key_twice(steps in prop::collection::vec(step(), 1..200)) {
        let now = Instant::now();
        let mut table = KeyTable::new(8, 30);
        let mut finished = std::collections::BTreeSet::new();
        let name = |a: u8, k: u8| key(&a.to_string(), &k.to_string());
        for step in steps {
            match step {
                Step::Claim(a, k) => match table.claim(&name(a, k), key_use(5, now)) {
                    ClaimResult::Run => prop_assert!(finished.insert((a, k)), "ran twice or after a rejection"),
                    ClaimResult::Full => { finished.insert((a, k)); }
                    _ => {}
                },
                Step::Ran(a, k) => table.complete(&name(a, k), Some(response(10))),
                Step::Reject(a, k) => table.reject(&name(a, k), Code::QueueFull),
                Step::Unknown(a, k) => table.set_unknown(&name(a, k)),
                Step::Sweep => table.remove_expired(now + TTL),
            }
        }
    }

    /// A prefix issued by one instance is accepted by every other; a changed character invalidates it.
    #[test]
    fn changed_or_foreign_prefix_is_rejected(
        home: u64, run: u64, issued: u32, at in 0usize..60, to in "[0-9a-z]",
    ) {
        let prefix = KeyPrefix {
            home: InstanceId(home),
            incarnation: Incarnation(run),
            issued_secs: issued,
        };
        let text = prefix.encode(&FLEET);
        let parsed = KeyPrefix::parse_key(&FLEET, &format!("{text}.a-1"));
        prop_assert_eq!(parsed, Ok((prefix, "a-1".into())));

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

    /// Random text is never accepted as a key and never makes the parser panic.
    #[test]
    fn random_text_is_rejected(text in "\\PC{0,200}") {
        prop_assert!(KeyPrefix::parse_key(&FLEET, &text).is_err());
    }
}
