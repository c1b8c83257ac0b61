//! Memory for request bodies that a router reads.

use std::io;

use bytes::Bytes;
use futures_util::stream;
use hawthornmill::codes::Code;
use hawthornmill_net::api::body::{BodyBudget, read};
use poem::Body;

use crate::block_on;

/// Memory for all bodies.
const MAX_BYTES: usize = 100_000;
/// Longest body.
const LIMIT: usize = 1_000_000;

/// Returns a body that comes in pieces.
fn body(pieces: usize, bytes: usize) -> Body {
    let piece = move |_| Ok::<_, io::Error>(Bytes::from(vec![b'x'; bytes]));
    Body::from_bytes_stream(stream::iter((0..pieces).map(piece)))
}

/// Failure: bodies are read whole before anything bounds what they use together.
#[test]
fn bodies_of_known_length_share_a_bound() {
    block_on(async {
        let budget = BodyBudget::default();
        let (mut first, mut second) = (budget.begin(MAX_BYTES), budget.begin(MAX_BYTES));

        let fits = read(body(6, 10_000), LIMIT, Some(60_000), &mut first).await;
        let beside = read(body(6, 10_000), LIMIT, Some(60_000), &mut second).await;
        drop(first);
        let after = read(body(6, 10_000), LIMIT, Some(60_000), &mut second).await;

        assert_eq!(fits.map(|b| b.len()), Ok(60_000));
        assert_eq!(beside, Err(Code::InstanceFull));
        assert_eq!(after.map(|b| b.len()), Ok(60_000));
        drop(second);
        assert_eq!(budget.reserved(), 0);
    });
}

/// Failure: a body of unknown length uses what it likes, or more than is counted while its buffer grows.
#[test]
fn bodies_of_unknown_length_share_the_bound() {
    block_on(async {
        let budget = BodyBudget::default();
        let (mut long, mut short) = (budget.begin(MAX_BYTES), budget.begin(MAX_BYTES));

        let refused = read(body(20, 10_000), LIMIT, None, &mut long).await;
        let reserved = budget.reserved();
        drop(long);
        let fits = read(body(3, 10_000), LIMIT, None, &mut short).await;

        assert_eq!(refused, Err(Code::InstanceFull));
        assert!((30_000..=MAX_BYTES).contains(&reserved), "{reserved}");
        assert_eq!(fits.map(|b| b.len()), Ok(30_000));
    });
}

/// Failure: a caller who gives a wrong length makes the router allocate more than a body may have.
#[test]
fn declared_length_takes_no_more_than_the_limit() {
    block_on(async {
        let budget = BodyBudget::default();
        let mut memory = budget.begin(MAX_BYTES);

        let read = read(body(1, 10), 50_000, Some(usize::MAX), &mut memory).await;

        assert_eq!(read.map(|b| b.len()), Ok(10));
        assert_eq!(budget.reserved(), 50_000);
    });
}
