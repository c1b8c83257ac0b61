//! The memory of incomplete responses, and bounds on events.

use std::rc::Rc;
use std::time::Duration;

use bytes::{Buf, BytesMut};
use hawthornmill_gateway::proxy::events::EventSplitter;
use hawthornmill_gateway::proxy::held_bytes::{HeldResponses, HolderId, Ledger, shrink};
use hawthornmill_gateway::proxy::response_limits::{CutReason, MAX_EVENT_BYTES, held_limit};
use hawthornmill_platform::request::event_id;
use proptest::prelude::*;

use super::streams::events;
use crate::block_on;

const LIMIT: usize = 100 << 10;

/// Failure: the response ends whose bytes came last, and not the one that holds the most.
#[test]
fn largest_response_ends_first() {
    let held = Rc::new(HeldResponses::default());
    held.set_limit(LIMIT);
    let (mut small, mut large) = (held.begin(), held.begin());
    let before = (large.set(60 << 10), small.set(30 << 10));

    let grown = small.set(50 << 10);

    assert_eq!((before, grown), ((Ok(()), Ok(())), Ok(())));
    assert_eq!(held.total(), 50 << 10);
    assert_eq!(large.set(1), Err(CutReason::Memory));
    block_on(async {
        let told = tokio::time::timeout(Duration::from_secs(1), large.evicted()).await;
        assert!(told.is_ok(), "a response that waits for bytes must end too");
    });
}

/// Failure: the response that exceeds the bound and is the largest itself goes on.
#[test]
fn largest_response_may_be_the_one_that_grows() {
    let held = Rc::new(HeldResponses::default());
    held.set_limit(LIMIT);
    let (mut other, mut grown) = (held.begin(), held.begin());

    let results = (
        other.set(40 << 10),
        grown.set(70 << 10),
        other.set(41 << 10),
    );

    assert_eq!(results, (Ok(()), Err(CutReason::Memory), Ok(())));
}

/// Failure: bytes of a response that ended, or that is complete, count on.
#[test]
fn ended_responses_hold_nothing() {
    let held = Rc::new(HeldResponses::default());
    held.set_limit(LIMIT);
    let (mut first, mut second) = (held.begin(), held.begin());
    let set = (first.set(9_000), second.set(9_000));
    drop(first);
    let complete = second.set(100);

    assert_eq!((set, complete), ((Ok(()), Ok(())), Ok(())));
    assert_eq!(held.total(), 0);
    assert_eq!(held_limit(120 << 20), 30 << 20);
}

proptest! {
    /// Failure: the total differs from the sum, or exceeds the limit, after some order of changes.
    #[test]
    fn ledger_stays_within_its_limit(
        changes in prop::collection::vec((0_u64..20, 0_usize..60_000, any::<bool>()), 0..200),
    ) {
        let (mut ledger, mut held) = (Ledger::default(), std::collections::BTreeMap::new());
        for (number, bytes, ends) in changes {
            let holder = HolderId(number);
            if ends {
                ledger.release(holder);
                held.remove(&holder);
                continue;
            }
            held.insert(holder, bytes);
            if let Some(victim) = ledger.set(holder, bytes, LIMIT) {
                let most = held.values().max().copied();
                prop_assert_eq!(held.remove(&victim), most);
            }
            prop_assert_eq!(ledger.total(), held.values().sum::<usize>());
            prop_assert!(ledger.total() <= LIMIT);
        }
    }
}

/// Failure: a buffer that was large for a head stays so for the time of its stream.
#[test]
fn large_buffer_that_holds_little_is_replaced() {
    let mut buffer = BytesMut::with_capacity(MAX_EVENT_BYTES);
    let head = 254 << 10;
    buffer.extend_from_slice(&vec![b'h'; head]);
    buffer.extend_from_slice(b"xxx");
    buffer.advance(head);

    shrink(&mut buffer, head);

    assert!(buffer.capacity() < 9_000);
    assert!(!buffer.try_reclaim(head), "the memory is released");
    assert_eq!(&*buffer, b"xxx");
}

/// Failure: an event within the bound is cut, or one beyond it isn't.
#[test]
fn incomplete_event_is_bounded() {
    let mut splitter = EventSplitter::default();
    let line = [&[b'x'; 1_023][..], b"\n"].concat();
    for _ in 0..MAX_EVENT_BYTES / line.len() {
        splitter.push(&line, event_id, None);
    }
    let within = splitter.exceeded_limit();
    splitter.push(b"x", event_id, None);

    assert_eq!(within, None);
    assert_eq!(splitter.exceeded_limit(), Some(CutReason::EventBytes));
}

/// Failure: a server that repeats events that the client has, without end, is read until the deadline.
#[test]
fn repeated_events_are_bounded() {
    let (mut splitter, text) = (EventSplitter::default(), events(1, 9));
    let push = |splitter: &mut EventSplitter, count: usize| {
        let forwarded =
            (0..count).filter_map(|_| splitter.push(text.as_bytes(), event_id, Some(9)));
        (forwarded.count(), splitter.exceeded_limit())
    };

    let whole_stream = push(&mut splitter, 100);
    let endless = push(&mut splitter, 10_000);

    assert_eq!(whole_stream, (0, None));
    assert_eq!(endless, (0, Some(CutReason::RepeatedBytes)));
}

/// Failure: a server that repeats a long stream from its start is cut off, so that the stream can't be resumed.
#[test]
fn repeat_of_a_long_stream_is_not_cut() {
    let text = events(1, 9).repeat(15_000);
    let mut splitter = EventSplitter::resuming(text.len());
    assert!(text.len() > 2 << 20);

    let mut push = || {
        splitter.push(text.as_bytes(), event_id, Some(9));
        splitter.exceeded_limit()
    };

    assert_eq!((push(), push()), (None, None));
    assert_eq!(push(), Some(CutReason::RepeatedBytes));
}
