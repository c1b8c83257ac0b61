//! The response reader, with written cases, random bytes and corrupted seeds.

use std::time::{Duration, Instant};

use bytes::BytesMut;
use hawthornmill_gateway::proxy::response_limits::CutReason;
use hawthornmill_gateway::proxy::response_reader::{AnswerHead, Expected, ResponseReader};
use proptest::prelude::*;

/// Most bytes that a reader takes before it gives up: all that it may skip, and a head.
const MAX_TAKEN_BYTES: usize = 400 << 10;
const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nContent-Length: 2\r\n\r\n";
const INTERIM: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";
const OTHER: &[u8] = b"HTTP/1.1 200 OK\r\nAttempt-Id: b\r\nContent-Length: 5\r\n\r\nhello";

fn reader() -> ResponseReader<'static> {
    ResponseReader::new(Expected {
        method: "GET",
        attempt_id: "a",
        id_header: "attempt-id",
    })
}

/// How reading ended, and the bytes that were taken and left by then.
#[derive(Debug, PartialEq, Eq)]
struct Reading {
    result: Result<Option<AnswerHead>, CutReason>,
    taken: usize,
}

/// Gives the reader `bytes` in parts of the lengths in `cuts`, all at the same time.
fn read_in_parts(bytes: &[u8], cuts: &[usize]) -> Reading {
    let (mut reader, now) = (reader(), Instant::now());
    let (mut buffer, mut rest) = (BytesMut::new(), bytes);
    let mut cuts = cuts.iter().cycle();
    loop {
        let result = reader.next(&mut buffer, now);
        if !matches!(result, Ok(None)) || rest.is_empty() {
            let taken = bytes.len() - rest.len() - buffer.len();
            return Reading { result, taken };
        }
        let length = cuts.next().copied().unwrap_or(usize::MAX).max(1);
        let (part, after) = rest.split_at(length.min(rest.len()));
        buffer.extend_from_slice(part);
        rest = after;
    }
}

/// Returns the files in `tests/corpus/response_reader`, by name.
fn corpus() -> Vec<(String, Vec<u8>)> {
    let dir = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/corpus/response_reader");
    let files = std::fs::read_dir(dir).expect("the corpus is in the repository");
    let mut seeds: Vec<_> = files
        .map(|file| {
            let path = file.expect("the directory can be read").path();
            let name = path
                .file_name()
                .unwrap_or_default()
                .to_string_lossy()
                .into_owned();
            (name, std::fs::read(&path).expect("a seed can be read"))
        })
        .collect();
    seeds.sort();
    seeds
}

/// Failure: a seed is read in another way than before. Its name begins with the expected result.
#[test]
fn seeds_are_read_as_their_names_say() {
    let seeds = corpus();

    assert!(seeds.len() >= 12, "{} seeds", seeds.len());
    for (name, bytes) in seeds {
        let reading = read_in_parts(&bytes, &[]);
        let result = match &reading.result {
            Ok(Some(_)) => "answer",
            Ok(None) => "incomplete",
            Err(reason) => reason.name(),
        };
        assert!(name.starts_with(result), "{name}: {result}");
    }
}

/// Failure: more interim responses or answers to other attempts are skipped than the bounds allow, or fewer.
#[test]
fn skipped_responses_are_counted() {
    let with = |skipped: &[u8], count: usize| [&skipped.repeat(count), ANSWER].concat();
    let result = |bytes: &[u8]| read_in_parts(bytes, &[]).result;

    assert!(matches!(result(&with(INTERIM, 8)), Ok(Some(_))));
    assert_eq!(result(&with(INTERIM, 9)), Err(CutReason::InterimCount));
    assert!(matches!(result(&with(OTHER, 4)), Ok(Some(_))));
    assert_eq!(result(&with(OTHER, 5)), Err(CutReason::OtherCount));
}

/// Failure: a long answer to another attempt is read although its length tells that it exceeds the bound.
#[test]
fn long_response_to_another_attempt_is_not_read() {
    let head = b"HTTP/1.1 200 OK\r\nAttempt-Id: b\r\nContent-Length: 300000\r\n\r\n";

    let reading = read_in_parts(head, &[]);

    assert_eq!(reading.result, Err(CutReason::OtherBytes));
}

/// Failure: the silence before a head, or after an interim response, counts as time of a response.
#[test]
fn silence_has_no_deadline() {
    let (mut reader, mut buffer, start) = (reader(), BytesMut::new(), Instant::now());
    let first = reader.next(&mut buffer, start);
    let before = reader.deadline();
    buffer.extend_from_slice(INTERIM);
    let later = start + Duration::from_mins(1);
    let second = reader.next(&mut buffer, later);
    let after = reader.deadline();
    buffer.extend_from_slice(ANSWER);

    let answer = reader.next(&mut buffer, later + Duration::from_mins(1));

    assert_eq!((first, second), (Ok(None), Ok(None)));
    assert_eq!((before, after), (None, None));
    assert!(matches!(answer, Ok(Some(_))));
}

/// Failure: a head that comes a byte at a time has no deadline, or each byte extends it.
#[test]
fn head_has_a_deadline_from_its_first_byte() {
    let (mut reader, mut buffer, start) = (reader(), BytesMut::new(), Instant::now());
    for (number, byte) in ANSWER[..20].iter().enumerate() {
        buffer.extend_from_slice(&[*byte]);
        let now = start + Duration::from_millis(number as u64 * 40);
        assert_eq!(reader.next(&mut buffer, now), Ok(None));
    }

    assert_eq!(reader.deadline(), Some(start + Duration::from_secs(1)));
    assert_eq!(reader.late_reason(), CutReason::HeadTime);
}

/// Failure: after this process stood still for long, the time granted has passed already, or it is granted again.
#[test]
fn late_process_grants_time_once() {
    let (mut reader, mut buffer, start) = (reader(), BytesMut::new(), Instant::now());
    buffer.extend_from_slice(&INTERIM[..5]);
    let first = reader.next(&mut buffer, start);
    let (late, second) = (Duration::from_secs(3), Duration::from_secs(1));

    let granted = reader.extend(start + late);
    let extended = reader.deadline();
    buffer.extend_from_slice(&INTERIM[5..]);
    buffer.extend_from_slice(&INTERIM[..5]);
    let next = reader.next(&mut buffer, start + late);

    assert_eq!((first, next), (Ok(None), Ok(None)));
    assert!(granted && !reader.extend(start + late));
    assert_eq!(extended, Some(start + late + second));
    buffer.extend_from_slice(&INTERIM[5..]);
    let slow = reader.next(&mut buffer, start + late + second * 2);
    assert_eq!(slow, Err(CutReason::SkipTime));
}

/// Failure: a skipped response that this process received late, in two packets, ends the request.
#[test]
fn late_end_of_a_skipped_response_may_be_allowed() {
    let (mut reader, mut buffer, start) = (reader(), BytesMut::new(), Instant::now());
    buffer.extend_from_slice(&INTERIM[..5]);
    let first = reader.next(&mut buffer, start);
    buffer.extend_from_slice(&INTERIM[5..]);
    buffer.extend_from_slice(ANSWER);
    let late = start + Duration::from_secs(2);

    let second = reader.next(&mut buffer, late);
    let granted = reader.extend(late);
    let answer = reader.next(&mut buffer, late);

    assert_eq!((first, second), (Ok(None), Err(CutReason::SkipTime)));
    assert!(granted);
    assert!(matches!(answer, Ok(Some(_))));
}

/// Failure: answers to other attempts that each come slowly take the time of the route together.
#[test]
fn slow_responses_to_other_attempts_are_cut_together() {
    let (mut reader, mut buffer, start) = (reader(), BytesMut::new(), Instant::now());
    let mut now = start;
    let mut last = Ok(None);
    for _ in 0..4 {
        buffer.extend_from_slice(&OTHER[..OTHER.len() - 1]);
        last = last.and(reader.next(&mut buffer, now));
        now += Duration::from_millis(400);
        buffer.extend_from_slice(&OTHER[OTHER.len() - 1..]);
        last = last.and(reader.next(&mut buffer, now));
    }

    assert_eq!(last, Err(CutReason::SkipTime));
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(512))]

    /// Failure: random bytes panic, or are taken without bound.
    #[test]
    fn random_bytes_end_within_the_bounds(
        bytes in prop::collection::vec(any::<u8>(), 0..2_000), cuts in prop::collection::vec(1_usize..300, 1..8),
    ) {
        let reading = read_in_parts(&bytes, &cuts);

        prop_assert!(reading.taken <= bytes.len());
    }

    /// Failure: how a response is split into packets changes what is read, or a corrupted seed panics.
    #[test]
    fn corrupted_seeds_are_read_alike_however_they_are_split(
        seed in any::<prop::sample::Index>(), next in any::<prop::sample::Index>(), at in any::<prop::sample::Index>(),
        removed in 0_usize..40, added in prop::collection::vec(any::<u8>(), 0..12),
        cuts in prop::collection::vec(1_usize..300, 1..8),
    ) {
        let seeds = corpus();
        let mut bytes = seeds[seed.index(seeds.len())].1.clone();
        bytes.extend_from_slice(&seeds[next.index(seeds.len())].1);
        let at = at.index(bytes.len() + 1);
        bytes.splice(at..(at + removed).min(bytes.len()), added);

        let whole = read_in_parts(&bytes, &[]);
        let split = read_in_parts(&bytes, &cuts);

        prop_assert!(whole.taken <= MAX_TAKEN_BYTES);
        match (&whole.result, &split.result) {
            (Ok(_), _) | (_, Ok(_)) => prop_assert_eq!(whole, split),
            // Of two faults, the one that a part shows first is reported.
            (Err(_), Err(_)) => {}
        }
    }

    /// Failure: a server that repeats anything without end is not cut off.
    #[test]
    fn endless_repeats_are_cut(unit in prop::collection::vec(any::<u8>(), 1..80)) {
        let unit = if unit.ends_with(b"x") { INTERIM.to_vec() } else { unit };
        let bytes = unit.repeat(MAX_TAKEN_BYTES * 2 / unit.len());

        let reading = read_in_parts(&bytes, &[16 << 10]);

        prop_assert!(!matches!(reading.result, Ok(None)));
    }
}
