//! What an instance knows, in parts that fit datagrams.

use hawthornmill::routing::news::Pull;
use hawthornmill::routing::parts::{Outcome, Part, Reassembly, split};

const PULL: Pull = Pull {
    version: 16,
    revision: 40,
};

fn bytes(length: usize) -> Vec<u8> {
    (0..length).map(|i| (i * i % 251) as u8).collect()
}

/// Rounds of questions until `whole` is there, where `lost` tells which datagrams are; none when ten are not enough.
fn rounds(whole: &[u8], mut lost: impl FnMut(&Part) -> bool) -> Option<usize> {
    let mut answer = Reassembly::default();
    for round in 1..=10 {
        for part in split(whole, &answer.wanted(PULL)) {
            if !lost(&part) {
                answer.take(part);
            }
        }
        if answer.outcome() == Some(&Outcome::Whole(whole.to_vec())) {
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

/// Failure: what is known changes between two rounds, and parts of both are joined.
#[test]
fn parts_of_two_answers_are_never_joined() {
    let mut answer = Reassembly::default();
    let (old, new) = (bytes(5_000), bytes(5_001));
    for part in split(&old, &answer.wanted(PULL)).into_iter().skip(1) {
        answer.take(part);
    }

    for part in split(&new, &answer.wanted(PULL)) {
        answer.take(part);
    }

    assert_eq!(answer.outcome(), Some(&Outcome::Whole(new)));
}

/// Failure: a part is forged or broken, and an instance decides by what nobody published.
#[test]
fn parts_that_do_not_make_the_told_whole_are_no_answer() {
    let mut answer = Reassembly::default();
    let whole = bytes(3_000);

    for mut part in split(&whole, &answer.wanted(PULL)) {
        part.bytes[0] ^= 1;
        answer.take(part);
    }

    assert_eq!(answer.outcome(), None);
}

#[test]
fn what_is_too_large_for_datagrams_is_said_to_be() {
    let mut answer = Reassembly::default();

    for part in split(&bytes(1 << 20), &answer.wanted(PULL)) {
        answer.take(part);
    }

    assert_eq!(answer.outcome(), Some(&Outcome::TooLarge));
}
