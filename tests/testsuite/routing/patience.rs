//! How long peers are given to answer.

use std::time::Duration;

use hawthornmill::limits::patience::{MOST, Patience};

use super::millis;

/// Questions until one is answered, where each answer takes `late`; none when ten are not enough.
fn questions(late: Duration) -> Option<usize> {
    let mut patience = Patience::default();
    for number in 1..=10 {
        if late <= patience.time() {
            return Some(number);
        }
        patience.missed();
    }
    None
}

/// Failure: an instance behind a full link gives up each question before its answer can be there.
#[test]
fn a_late_answer_is_heard_after_few_questions() {
    assert_eq!(questions(millis(100)), Some(1));
    assert_eq!(questions(millis(1_300)), Some(2));
    assert_eq!(questions(MOST), Some(4));
}

/// Failure: a peer that is gone holds up the question to the next one for ever.
#[test]
fn patience_has_an_end() {
    assert_eq!(questions(MOST + millis(1)), None);
}
