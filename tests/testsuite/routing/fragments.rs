//! Transfer of a large response in fragments.

use std::time::Instant;

use hawthornmill::routing::fragments::{
    Fragment, Outcome, Reassembly, ResponseCache, round_timeout, split_fragments,
};
use hawthornmill::routing::gossip::KnownState;

use super::millis;

const SYNC: KnownState = KnownState {
    catalog_version: 16,
    revision: 40,
    evacuation_revision: 0,
};

fn bytes(length: usize) -> Vec<u8> {
    (0..length).map(|i| (i * i % 251) as u8).collect()
}

/// Returns the number of rounds until `payload` is complete, or `None` after ten; `lost` selects the lost datagrams.
fn rounds(payload: &[u8], mut lost: impl FnMut(&Fragment) -> bool) -> Option<usize> {
    let mut reassembly = Reassembly::default();
    for round in 1..=10 {
        for fragment in split_fragments(payload, &reassembly.request(SYNC)) {
            if !lost(&fragment) {
                reassembly.insert(fragment);
            }
        }
        if reassembly.outcome() == Some(&Outcome::Complete(payload.to_vec())) {
            return Some(round);
        }
    }
    None
}

#[test]
fn one_round_suffices_without_loss() {
    assert_eq!(rounds(&bytes(40_000), |_| false), Some(1));
    assert_eq!(rounds(&bytes(10), |_| false), Some(1));
}

/// Failure: on a saturated link that loses every second datagram, an instance never receives a change.
#[test]
fn few_rounds_suffice_with_half_of_the_datagrams_lost() {
    let mut sent = 0;

    let rounds = rounds(&bytes(40_000), |_| {
        sent += 1;
        sent % 2 == 0
    });

    assert!(rounds.is_some_and(|r| r <= 7), "{rounds:?}");
}

/// Failure: registrations change between two rounds, and a requester that lost one fragment starts over each time.
#[test]
fn missing_fragments_come_from_the_same_response() {
    let now = Instant::now();
    let mut cache = ResponseCache::default();
    let mut reassembly = Reassembly::default();
    let mut datagrams = 0;

    for round in 1..=3_u32 {
        let latest = || bytes(8_000 + round as usize);
        let at = now + millis(200) * round;
        for fragment in cache.fragments(&reassembly.request(SYNC), latest, at) {
            datagrams += 1;
            if datagrams % 3 != 0 {
                reassembly.insert(fragment);
            }
        }
    }

    assert_eq!(reassembly.outcome(), Some(&Outcome::Complete(bytes(8_001))));
}

/// Failure: a cached response hides later changes for long.
#[test]
fn cached_response_expires_after_a_few_rounds() {
    let now = Instant::now();
    let mut cache = ResponseCache::default();
    let mut reassembly = Reassembly::default();
    for fragment in cache
        .fragments(&reassembly.request(SYNC), || bytes(3_000), now)
        .into_iter()
        .skip(1)
    {
        reassembly.insert(fragment);
    }

    for fragment in cache.fragments(
        &reassembly.request(SYNC),
        || bytes(3_001),
        now + millis(1_000),
    ) {
        reassembly.insert(fragment);
    }

    assert_eq!(reassembly.outcome(), Some(&Outcome::Complete(bytes(3_001))));
}

/// Failure: a lagging process gives up each round before it has read the fragments.
#[test]
fn round_timeout_grows_with_process_lag() {
    assert_eq!(round_timeout(millis(0)), millis(200));
    assert_eq!(round_timeout(millis(300)), millis(800));
}

/// Failure: the state changes between two rounds, and fragments of two responses are joined.
#[test]
fn fragments_of_two_responses_are_never_joined() {
    let mut reassembly = Reassembly::default();
    let (old, new) = (bytes(5_000), bytes(5_001));
    for fragment in split_fragments(&old, &reassembly.request(SYNC))
        .into_iter()
        .skip(1)
    {
        reassembly.insert(fragment);
    }

    for fragment in split_fragments(&new, &reassembly.request(SYNC)) {
        reassembly.insert(fragment);
    }

    assert_eq!(reassembly.outcome(), Some(&Outcome::Complete(new)));
}

/// Failure: an instance applies a response with a forged or corrupt fragment.
#[test]
fn corrupt_fragments_yield_no_response() {
    let mut reassembly = Reassembly::default();
    let payload = bytes(3_000);

    for mut fragment in split_fragments(&payload, &reassembly.request(SYNC)) {
        fragment.bytes[0] ^= 1;
        reassembly.insert(fragment);
    }

    assert_eq!(reassembly.outcome(), None);
}

#[test]
fn oversized_response_is_reported_as_too_large() {
    let mut reassembly = Reassembly::default();

    for fragment in split_fragments(&bytes(1 << 20), &reassembly.request(SYNC)) {
        reassembly.insert(fragment);
    }

    assert_eq!(reassembly.outcome(), Some(&Outcome::TooLarge));
}
