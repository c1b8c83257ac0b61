//! The account of requests' memory, and bodies in blocks.

use std::rc::Rc;
use std::time::{Duration, Instant};

use hawthornmill::limits::request_memory::{NoRoom, RequestMemory, RequestPart};
use hawthornmill::quarantine::fingerprint::{Fingerprint, RequestContent};
use hawthornmill_gateway::http::blocks::{BlockPool, BodyBlocks, allocation};
use hawthornmill_gateway::proxy::request_room::{request_limit, shared_limit};
use proptest::prelude::*;

const LIMIT: usize = 100 << 10;
const BODY: RequestPart = RequestPart::Body;

fn after(start: Instant, seconds: f64) -> Instant {
    start + Duration::from_secs_f64(seconds)
}

/// Failure: a sound upload gives way, or one that has just begun.
#[test]
fn only_slow_uploads_give_way() {
    let (mut memory, start) = (RequestMemory::default(), Instant::now());
    memory.take(BODY, 90 << 10, LIMIT).expect("there is room");
    let (sound, slow) = (
        memory.begin_upload(40 << 10, start),
        memory.begin_upload(50 << 10, start),
    );
    memory.record_upload(sound, 400 << 10, 40 << 10);

    let early = memory.take_from_slow(BODY, 30 << 10, LIMIT, after(start, 0.9));
    let much = memory.take_from_slow(BODY, 70 << 10, LIMIT, after(start, 3.0));
    let some = memory.take_from_slow(BODY, 30 << 10, LIMIT, after(start, 3.0));

    assert_eq!((early, much), (Err(NoRoom), Err(NoRoom)));
    assert_eq!(some.expect("one gives way").as_slice(), [slow]);
    assert_eq!(memory.total(), 70 << 10);
    assert_eq!(
        (memory.forget_upload(slow), memory.forget_upload(sound)),
        (false, true)
    );
}

/// Failure: several uploads give way where the slowest alone makes room.
#[test]
fn slowest_upload_gives_way_first() {
    let (mut memory, start) = (RequestMemory::default(), Instant::now());
    memory.take(BODY, 90 << 10, LIMIT).expect("there is room");
    let uploads = [30_000, 10, 20_000].map(|received| {
        let upload = memory.begin_upload(30 << 10, start);
        memory.record_upload(upload, received, 30 << 10);
        upload
    });

    let displaced = memory.take_from_slow(BODY, 20 << 10, LIMIT, after(start, 2.0));

    assert_eq!(displaced.expect("one gives way").as_slice(), [uploads[1]]);
}

/// Failure: refused callers come back long before there is room, or only long afterwards.
#[test]
fn refused_callers_return_when_bodies_have_ended() {
    let mut memory = RequestMemory::default();
    let before = memory.retry_after();
    for _ in 0..40 {
        memory.record_hold(Duration::from_secs(2));
    }

    assert_eq!(before, Duration::from_millis(400));
    assert!(memory.retry_after().abs_diff(Duration::from_secs(2)) < Duration::from_millis(10));
}

/// Failure: requests and responses together may use more than their part, or requests leave responses nothing.
#[test]
fn requests_and_responses_share_a_part_of_the_memory() {
    let memory = 100 << 20;

    let (free, full) = (request_limit(memory, 0), request_limit(memory, 25 << 20));

    assert_eq!(shared_limit(memory), 50 << 20);
    assert_eq!((free, full), (35 << 20, 25 << 20));
}

/// Failure: freed blocks are kept although none was needed for a while.
#[test]
fn spare_blocks_are_freed() {
    let pool = Rc::new(BlockPool::default());
    let mut body = BodyBlocks::new(&pool);
    fill(&mut body, &vec![1; 100_000], Some(100_000));
    drop(body);
    let spare = pool.bytes();
    pool.trim();
    let after_use = pool.bytes();
    pool.trim();

    assert_eq!((spare, after_use, pool.bytes()), (3 << 15, 3 << 15, 0));
}

fn fill(body: &mut BodyBlocks, mut data: &[u8], length: Option<usize>) {
    while !data.is_empty() {
        data = body.push(data, length.map(|l| l - body.len()));
    }
}

fn fingerprint(parts: &[&[u8]]) -> Fingerprint {
    Fingerprint::of_request(&RequestContent {
        account: None,
        method: "POST",
        host: b"h",
        target: "/",
        parts: &[],
        body: parts,
    })
}

proptest! {
    /// Failure: more is allocated for a body than was taken for it, or its bytes are changed.
    #[test]
    fn body_takes_what_was_counted(length in 0_usize..200_000, is_known: bool, piece in 1_usize..70_000) {
        let data: Vec<u8> = (0..length).map(|at| (at % 251) as u8).collect();
        let pool = Rc::new(BlockPool::default());
        let mut body = BodyBlocks::new(&pool);
        let known = is_known.then_some(length);
        let mut counted = 0;
        for part in data.chunks(piece) {
            let mut part = part;
            while !part.is_empty() {
                let missing = known.map(|l| l - body.len());
                counted = body.next_allocation(missing);
                part = body.push(part, missing);
            }
        }

        let kept: Vec<u8> = body.parts().flatten().copied().collect();
        prop_assert!(kept == data);
        if is_known {
            prop_assert_eq!(counted, allocation(length));
            prop_assert!(counted <= length + (16 << 10));
        } else {
            prop_assert!(counted <= 2 * length + (32 << 10));
        }
    }

    /// Failure: the identity of a body depends on how it was received.
    #[test]
    fn fingerprint_does_not_depend_on_blocks(data: Vec<u8>, piece in 1_usize..40) {
        let parts: Vec<&[u8]> = data.chunks(piece).collect();

        prop_assert_eq!(fingerprint(&parts), fingerprint(&[&data]));
    }
}
