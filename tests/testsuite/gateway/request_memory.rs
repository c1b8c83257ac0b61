//! The account of requests' memory, and bodies in blocks.

use std::rc::Rc;
use std::time::{Duration, Instant};

use hawthornmill::limits::request_memory::{OutOfMemory, RequestMemory, RequestPart};
use hawthornmill::quarantine::fingerprint::{Fingerprint, RequestContent};
use hawthornmill_gateway::http::blocks::{BlockPool, BodyBlocks, allocation};
use hawthornmill_gateway::proxy::reservation::{request_limit, shared_limit};
use proptest::prelude::*;

const LIMIT: usize = 100 << 10;
const BODY: RequestPart = RequestPart::Body;
/// Bytes that a steady upload sends ten times a second.
const STEADY_PART: usize = (64 << 10) / 10 + 1;

fn after(start: Instant, seconds: f64) -> Instant {
    start + Duration::from_secs_f64(seconds)
}

/// Failure: a sound upload is evicted, or one that has just begun.
#[test]
fn only_slow_uploads_are_evicted() {
    let (mut memory, start) = (RequestMemory::default(), Instant::now());
    memory
        .reserve(BODY, 90 << 10, LIMIT)
        .expect("there is memory");
    let (sound, slow) = (
        memory.begin_upload(40 << 10, start),
        memory.begin_upload(50 << 10, start),
    );
    for number in 0..=30 {
        let now = after(start, f64::from(number) / 10.0);
        memory.record_received(sound, (number as usize + 1) * STEADY_PART, now);
    }

    let early = memory.reserve_evicting(BODY, 30 << 10, LIMIT, None, after(start, 0.9));
    let much = memory.reserve_evicting(BODY, 70 << 10, LIMIT, None, after(start, 3.0));
    let some = memory.reserve_evicting(BODY, 30 << 10, LIMIT, None, after(start, 3.0));

    assert_eq!((early, much), (Err(OutOfMemory), Err(OutOfMemory)));
    assert_eq!(some.expect("one is evicted").as_slice(), [slow]);
    assert_eq!(memory.total(), 70 << 10);
    assert_eq!(
        (memory.end_upload(slow), memory.end_upload(sound)),
        (false, true)
    );
}

/// Failure: an upload that stands still keeps its memory for as long as the mean since its begin is high.
#[test]
fn stalled_upload_is_evicted_whatever_came_before() {
    for first in [0, 300 << 10, 1_500 << 10, (3 << 20) - 1] {
        let (mut memory, start) = (RequestMemory::default(), Instant::now());
        memory
            .reserve(BODY, 90 << 10, LIMIT)
            .expect("there is memory");
        let upload = memory.begin_upload(90 << 10, start);
        memory.record_received(upload, first, start);

        let early = memory.reserve_evicting(BODY, 30 << 10, LIMIT, None, after(start, 0.9));
        let late = memory.reserve_evicting(BODY, 30 << 10, LIMIT, None, after(start, 2.0));

        assert_eq!(early, Err(OutOfMemory), "{first} bytes came");
        assert_eq!(late.expect("it is evicted").as_slice(), [upload]);
    }
}

/// Failure: several uploads are evicted where the slowest alone suffices.
#[test]
fn slowest_upload_is_evicted_first() {
    let (mut memory, start) = (RequestMemory::default(), Instant::now());
    memory
        .reserve(BODY, 90 << 10, LIMIT)
        .expect("there is memory");
    let uploads = [30_000, 10, 20_000].map(|received| {
        let upload = memory.begin_upload(30 << 10, start);
        memory.record_received(upload, received, start);
        upload
    });

    let evicted = memory.reserve_evicting(BODY, 20 << 10, LIMIT, None, after(start, 2.0));

    assert_eq!(evicted.expect("one is evicted").as_slice(), [uploads[1]]);
}

/// Failure: a slow upload that needs more evicts itself, and what it reserves then is never released.
#[test]
fn upload_does_not_evict_itself() {
    let (mut memory, start) = (RequestMemory::default(), Instant::now());
    memory
        .reserve(BODY, 90 << 10, LIMIT)
        .expect("there is memory");
    let (own, other) = (
        memory.begin_upload(60 << 10, start),
        memory.begin_upload(30 << 10, start),
    );
    memory.record_received(other, 10, start);

    let much = memory.reserve_evicting(BODY, 50 << 10, LIMIT, Some(own), after(start, 2.0));
    let some = memory.reserve_evicting(BODY, 20 << 10, LIMIT, Some(own), after(start, 2.0));

    assert_eq!(much, Err(OutOfMemory));
    assert_eq!(some.expect("the other is evicted").as_slice(), [other]);
    assert!(memory.end_upload(own), "it goes on");
}

/// Failure: memory that was reserved for an upload last is not released with its eviction.
#[test]
fn eviction_releases_all_that_is_reserved() {
    let (mut memory, start) = (RequestMemory::default(), Instant::now());
    memory
        .reserve(BODY, 50 << 10, LIMIT)
        .expect("there is memory");
    let upload = memory.begin_upload(50 << 10, start);
    memory
        .reserve(BODY, 40 << 10, LIMIT)
        .expect("there is memory");
    memory.record_reserved(upload, 90 << 10);

    let evicted = memory.reserve_evicting(BODY, 30 << 10, LIMIT, None, after(start, 2.0));

    assert_eq!(evicted.expect("it is evicted").as_slice(), [upload]);
    assert_eq!(memory.total(), 30 << 10);
}

/// Failure: refused callers come back long before there is memory, or only long afterwards.
#[test]
fn refused_callers_return_when_bodies_have_ended() {
    let mut memory = RequestMemory::default();
    let before = memory.retry_after();
    for _ in 0..40 {
        memory.record_lifetime(Duration::from_secs(2));
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

/// Failure: spare blocks use memory that requests and responses need, beyond what all of them may use.
#[test]
fn spare_blocks_leave_others_their_memory() {
    let pool = Rc::new(BlockPool::default());
    let mut body = BodyBlocks::new(&pool);
    fill(&mut body, &vec![1; 100_000], Some(100_000));
    drop(body);

    pool.shrink_to(70_000);
    let shrunk = pool.bytes();
    pool.shrink_to(0);

    assert_eq!((shrunk, pool.bytes()), (2 << 15, 0));
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
    /// Failure: a slow but steady upload is evicted, at some moment between two of its parts.
    #[test]
    fn steady_upload_is_never_evicted(
        parts in prop::collection::vec(1_u64..=500, 1..200), burst in 0_usize..200_000, late_ms in 0_u64..=500,
    ) {
        let (mut memory, mut now) = (RequestMemory::default(), Instant::now());
        memory.reserve(BODY, 90 << 10, LIMIT).expect("there is memory");
        let upload = memory.begin_upload(90 << 10, now);
        let mut received = burst;
        for pause_ms in parts {
            // At the begin of each pause come the bytes that are due by its end.
            received += (pause_ms as usize * (64 << 10)).div_ceil(1_000);
            memory.record_received(upload, received, now);
            for at in [late_ms.min(pause_ms), pause_ms] {
                let at = now + Duration::from_millis(at);
                prop_assert!(memory.reserve_evicting(BODY, 30 << 10, LIMIT, None, at).is_err());
            }
            now += Duration::from_millis(pause_ms);
        }
    }

    /// Failure: more is allocated for a body than was reserved for it, or its bytes are changed.
    #[test]
    fn blocks_have_the_bytes_that_were_counted(length in 0_usize..200_000, is_known: bool, piece in 1_usize..70_000) {
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
