//! How long peers are given to answer.

use std::time::Duration;

use hawthornmill::limits::timeout::{AdaptiveTimeout, MAX_TIMEOUT};

use super::millis;

/// Questions until one is answered, where each answer takes `late`; none when ten are not enough.
fn questions(late: Duration) -> Option<usize> {
    let mut patience = AdaptiveTimeout::default();
    for number in 1..=10 {
        if late <= patience.current() {
            return Some(number);
        }
        patience.on_timeout(true);
    }
    None
}

/// Failure: an instance behind a full link gives up each question before its answer can be there.
#[test]
fn a_late_answer_is_heard_after_few_questions() {
    assert_eq!(questions(millis(100)), Some(1));
    assert_eq!(questions(millis(1_300)), Some(2));
    assert_eq!(questions(MAX_TIMEOUT), Some(4));
}

/// Failure: peers that are gone hold up the question to one that lives for seconds each.
#[test]
fn a_peer_that_is_gone_gets_no_more_time() {
    let mut patience = AdaptiveTimeout::default();
    let first = patience.current();

    patience.on_timeout(false);
    patience.on_timeout(false);

    assert_eq!(patience.current(), first);
}

/// Failure: a peer that lives and never answers holds up the question to the next one for ever.
#[test]
fn patience_has_an_end() {
    assert_eq!(questions(MAX_TIMEOUT + millis(1)), None);
}
