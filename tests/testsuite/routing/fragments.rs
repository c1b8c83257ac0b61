//! What an instance knows, in parts that fit datagrams.

use std::time::Instant;

use hawthornmill::routing::fragments::{
    Fragment, Outcome, Reassembly, ResponseCache, round_timeout, split_fragments,
};
use hawthornmill::routing::gossip::SyncRequest;

use super::millis;

const PULL: SyncRequest = SyncRequest {
    catalog_version: 16,
    revision: 40,
};

fn bytes(length: usize) -> Vec<u8> {
    (0..length).map(|i| (i * i % 251) as u8).collect()
}

/// Rounds of questions until `whole` is there, where `lost` tells which datagrams are; none when ten are not enough.
fn rounds(whole: &[u8], mut lost: impl FnMut(&Fragment) -> bool) -> Option<usize> {
    let mut answer = Reassembly::default();
    for round in 1..=10 {
        for part in split_fragments(whole, &answer.request(PULL)) {
            if !lost(&part) {
                answer.insert(part);
            }
        }
        if answer.outcome() == Some(&Outcome::Complete(whole.to_vec())) {
            return Some(round);
        }
    }
    None
}

#[test]
fn what_is_known_comes_in_one_round_where_nothing_is_lost() {
    assert_eq!(rounds(&bytes(40_000), |_| false), Some(1));
    assert_eq!(rounds(&bytes(10), |_| false), Some(1));
}

/// Failure: on a full link, where every second datagram is lost, an instance never hears of a change.
#[test]
fn what_is_known_comes_in_few_rounds_where_every_second_datagram_is_lost() {
    let mut number = 0;

    let rounds = rounds(&bytes(40_000), |_| {
        number += 1;
        number % 2 == 0
    });

    assert!(rounds.is_some_and(|r| r <= 7), "{rounds:?}");
}

/// Failure: registrations change between two rounds, and an asker that lost one part begins anew each time.
#[test]
fn missing_parts_come_of_the_answer_that_was_begun() {
    let now = Instant::now();
    let mut answers = ResponseCache::default();
    let mut answer = Reassembly::default();
    let mut datagrams = 0;

    for round in 1..=3_u32 {
        let newest = || bytes(8_000 + round as usize);
        let at = now + millis(200) * round;
        for part in answers.fragments(&answer.request(PULL), newest, at) {
            datagrams += 1;
            if datagrams % 3 != 0 {
                answer.insert(part);
            }
        }
    }

    assert_eq!(answer.outcome(), Some(&Outcome::Complete(bytes(8_001))));
}

/// Failure: an answer that was kept hides for long what has changed since.
#[test]
fn an_answer_is_kept_for_a_few_rounds_only() {
    let now = Instant::now();
    let mut answers = ResponseCache::default();
    let mut answer = Reassembly::default();
    for part in answers
        .fragments(&answer.request(PULL), || bytes(3_000), now)
        .into_iter()
        .skip(1)
    {
        answer.insert(part);
    }

    for part in answers.fragments(&answer.request(PULL), || bytes(3_001), now + millis(1_000)) {
        answer.insert(part);
    }

    assert_eq!(answer.outcome(), Some(&Outcome::Complete(bytes(3_001))));
}

/// Failure: a process that is behind gives up each round before it has read what came.
#[test]
fn a_round_lasts_longer_where_the_process_is_behind() {
    assert_eq!(round_timeout(millis(0)), millis(200));
    assert_eq!(round_timeout(millis(300)), millis(800));
}

/// Failure: what is known changes between two rounds, and parts of both are joined.
#[test]
fn parts_of_two_answers_are_never_joined() {
    let mut answer = Reassembly::default();
    let (old, new) = (bytes(5_000), bytes(5_001));
    for part in split_fragments(&old, &answer.request(PULL))
        .into_iter()
        .skip(1)
    {
        answer.insert(part);
    }

    for part in split_fragments(&new, &answer.request(PULL)) {
        answer.insert(part);
    }

    assert_eq!(answer.outcome(), Some(&Outcome::Complete(new)));
}

/// Failure: a part is forged or broken, and an instance decides by what nobody published.
#[test]
fn parts_that_do_not_make_the_told_whole_are_no_answer() {
    let mut answer = Reassembly::default();
    let whole = bytes(3_000);

    for mut part in split_fragments(&whole, &answer.request(PULL)) {
        part.bytes[0] ^= 1;
        answer.insert(part);
    }

    assert_eq!(answer.outcome(), None);
}

#[test]
fn what_is_too_large_for_datagrams_is_said_to_be() {
    let mut answer = Reassembly::default();

    for part in split_fragments(&bytes(1 << 20), &answer.request(PULL)) {
        answer.insert(part);
    }

    assert_eq!(answer.outcome(), Some(&Outcome::TooLarge));
}
