//! Adaptive timeouts for responses of peers.

use std::time::Duration;

use hawthornmill::limits::timeout::{AdaptiveTimeout, MAX_TIMEOUT};

use super::millis;

/// Requests until a response that takes `latency` is in time, or `None` if ten are not enough.
fn requests_until_success(latency: Duration) -> Option<usize> {
    let mut timeout = AdaptiveTimeout::default();
    for number in 1..=10 {
        if latency <= timeout.current() {
            return Some(number);
        }
        timeout.on_timeout(true);
    }
    None
}

/// An instance behind a congested link would abandon every request before its response can arrive.
#[test]
fn late_response_is_accepted_after_few_requests() {
    assert_eq!(requests_until_success(millis(100)), Some(1));
    assert_eq!(requests_until_success(millis(1_300)), Some(2));
    assert_eq!(requests_until_success(MAX_TIMEOUT), Some(4));
}

/// If timeouts of dead peers grew, each would delay the request to a live one by seconds.
#[test]
fn timeout_of_a_dead_peer_does_not_grow() {
    let mut timeout = AdaptiveTimeout::default();
    let first = timeout.current();

    timeout.on_timeout(false);
    timeout.on_timeout(false);

    assert_eq!(timeout.current(), first);
}

/// If the timeout were unbounded, a live peer that never responds would block the request to the next.
#[test]
fn timeout_is_bounded() {
    assert_eq!(requests_until_success(MAX_TIMEOUT + millis(1)), None);
}
