//! Authentication and replay protection of frames between instances.

use hawthornmill::ident::{Incarnation, InstanceId};
use hawthornmill::wire::{FrameError, Message, Opener, Sealer};
use hawthornmill_process::frames;
use proptest::prelude::*;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

use crate::block_on;

const KEY: [u8; 32] = [7; 32];

fn sealer(channel: u64) -> Sealer {
    Sealer::new(KEY, InstanceId::of("r1"), Incarnation(5), channel)
}

#[test]
fn repeated_frame_is_rejected() {
    let frame = sealer(9).seal(&Message::Probe(3)).expect("it fits");
    let mut opener = Opener::new(KEY, 9);

    let first = opener.open(&frame).expect("the frame is valid");

    assert_eq!(first.message, Message::Probe(3));
    assert_eq!(opener.open(&frame), Err(FrameError::Replayed));
}

/// Failure: datagrams are repeated or arrive out of order, seven of them clear the memory of what was received, and an old
/// one counts as new.
#[test]
fn repeated_datagrams_are_rejected_however_many_there_are() {
    let mut sealer = sealer(9);
    let [old, new] = [1, 2].map(|n| sealer.seal(&Message::Probe(n)).expect("it fits"));
    let mut opener = Opener::datagrams(KEY, 9);
    let first = [&old, &new].map(|frame| opener.open(frame).is_ok());

    let repeated: Vec<bool> = (0..40).map(|_| opener.open(&old).is_ok()).collect();

    assert_eq!(first, [true, true]);
    assert_eq!(repeated, [false; 40]);
}

/// Failure: a datagram of an earlier run is repeated, and the instance counts as that run again.
#[test]
fn repeated_datagram_of_an_earlier_run_is_rejected() {
    let run = |number| Sealer::new(KEY, InstanceId::of("r1"), Incarnation(number), 9);
    let old = run(4).seal(&Message::Probe(1)).expect("it fits");
    let new = run(5).seal(&Message::Probe(2)).expect("it fits");
    let mut opener = Opener::datagrams(KEY, 9);
    let first = [&old, &new].map(|frame| opener.open(frame).is_ok());

    let repeated: Vec<bool> = (0..40).map(|_| opener.open(&old).is_ok()).collect();

    assert_eq!(first, [true, true]);
    assert_eq!(repeated, [false; 40]);
}

/// Failure: the clock is set back before a process restarts, and none of its datagrams is read.
#[test]
fn run_after_a_clock_was_set_back_is_accepted() {
    let run = |number| Sealer::new(KEY, InstanceId::of("r1"), Incarnation(number), 9);
    let (mut before, mut after) = (run(5), run(4));
    let mut opener = Opener::datagrams(KEY, 9);
    let frame = before.seal(&Message::Probe(1)).expect("it fits");
    opener.open(&frame).expect("the frame is valid");

    let frames: Vec<Vec<u8>> = (0..20)
        .map(|n| after.seal(&Message::Probe(n)).expect("it fits"))
        .collect();
    let accepted = frames.iter().filter(|f| opener.open(f).is_ok()).count();

    assert_eq!(accepted, 14);
}

#[test]
fn frame_of_another_channel_is_rejected() {
    let frame = sealer(9).seal(&Message::Probe(3)).expect("it fits");

    assert_eq!(Opener::new(KEY, 10).open(&frame), Err(FrameError::Replayed));
}

#[test]
fn frame_with_another_key_is_rejected() {
    let frame = sealer(0).seal(&Message::Probe(3)).expect("it fits");

    assert_eq!(
        Opener::new([8; 32], 0).open(&frame),
        Err(FrameError::Unauthenticated)
    );
}

/// Sealed frames of a stream; the first is a full one.
fn stream(messages: &[Message]) -> Vec<Vec<u8>> {
    let mut sealer = sealer(9);
    let sealed = messages.iter().map(|m| sealer.seal_next(m));
    sealed.map(|f| f.expect("it fits")).collect()
}

#[test]
fn short_frames_of_a_stream_open_in_order() {
    let messages = [1, 2, 3].map(Message::Probe);
    let frames = stream(&messages);
    let mut opener = Opener::stream(KEY, 9);

    let opened: Vec<_> = frames.iter().map(|f| opener.open(f)).collect();

    let lengths: Vec<usize> = frames.iter().map(Vec::len).collect();
    assert_eq!(lengths, [51, 19, 19]);
    for (frame, message) in opened.into_iter().zip(messages) {
        assert_eq!(frame.expect("the frame is valid").message, message);
    }
}

/// An attacker drops, repeats or reorders frames of a connection. Short frames carry no sequence
/// number, so the MAC must detect it.
#[test]
fn reordered_short_frames_are_rejected() {
    let frames = stream(&[1, 2, 3].map(Message::Probe));
    let after = |first: &[usize], then: usize| {
        let mut opener = Opener::stream(KEY, 9);
        for index in first {
            opener.open(&frames[*index]).expect("the frame is valid");
        }
        opener.open(&frames[then]).map(|f| f.message)
    };

    assert_eq!(after(&[0], 2), Err(FrameError::Unauthenticated));
    assert_eq!(after(&[0, 1], 1), Err(FrameError::Unauthenticated));
    assert_eq!(after(&[], 1), Err(FrameError::Malformed));
    assert_eq!(after(&[0, 1], 0), Err(FrameError::Replayed));
}

/// Failure: during a release, an instance reads a message of another build as one of its own, with other values in its fields.
#[test]
fn frame_of_another_build_is_not_read() {
    let mut frame = sealer(9).seal(&Message::Probe(1)).expect("it fits");
    frame[0] -= 1;

    let opened = Opener::new(KEY, 9).open(&frame);

    assert_eq!(opened.map(|f| f.message), Err(FrameError::Version));
}

#[test]
fn short_frame_is_rejected_as_datagram() {
    let frames = stream(&[1, 2].map(Message::Probe));
    let mut opener = Opener::new(KEY, 9);
    opener.open(&frames[0]).expect("the frame is valid");

    assert_eq!(opener.open(&frames[1]), Err(FrameError::Malformed));
}

proptest! {
    #[test]
    fn changed_bit_is_detected(at in 0_usize..60, bit in 0_u8..8) {
        let mut frame = sealer(0).seal(&Message::LedgerPull).expect("it fits");
        let at = at % frame.len();
        frame[at] ^= 1 << bit;

        prop_assert!(Opener::new(KEY, 0).open(&frame).is_err());
    }

    #[test]
    fn random_bytes_are_rejected(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        prop_assert!(Opener::new(KEY, 0).open(&bytes).is_err());
    }
}

/// A stream is cut in the middle of a frame, or begins with an invalid length. The received part must
/// not be returned as a frame.
#[tokio::test]
async fn truncated_stream_frame_is_not_returned() {
    use hawthornmill_process::frames;
    let mut complete = Vec::new();
    frames::append(&mut complete, b"frame");
    let too_long = [0xff; 4];

    let read = frames::read(&mut &*complete).await;
    let cut = frames::read(&mut &complete[..6]).await;
    let oversized = frames::read(&mut &too_long[..]).await;

    assert_eq!(read, Ok(Some(b"frame".to_vec())));
    assert_eq!(cut, Ok(None));
    assert_eq!(oversized, Err(FrameError::TooLarge));
}

/// Failure: a connection between instances ends inside a frame, and what came of it is taken for the frame.
#[test]
fn frame_cut_at_any_byte_is_not_read() {
    let mut bytes = Vec::new();
    hawthornmill_process::frames::append(&mut bytes, b"whole frame");

    crate::block_on(async {
        for end in 0..bytes.len() {
            let read = hawthornmill_process::frames::read(&mut &bytes[..end]).await;
            assert!(matches!(read, Ok(None)), "cut at {end}");
        }
        let read = hawthornmill_process::frames::read(&mut bytes.as_slice()).await;
        assert_eq!(read.ok().flatten().as_deref(), Some(&b"whole frame"[..]));
    });
}

/// Sends `bytes` over a connection that ends after them, and returns the message that is read from it.
async fn read_message(bytes: &[u8], is_reset: bool, one_by_one: bool) -> Option<Message> {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("it is bound");
    let send = async {
        let mut stream = TcpStream::connect(address).await.expect("it listens");
        stream.set_nodelay(true).expect("it is open");
        let length = if one_by_one { 1 } else { bytes.len().max(1) };
        for part in bytes.chunks(length) {
            stream.write_all(part).await.expect("it is open");
            tokio::task::yield_now().await;
        }
        if is_reset {
            tokio::time::sleep(std::time::Duration::from_millis(2)).await;
            stream.set_zero_linger().expect("it is open");
        }
    };
    let receive = async {
        let (mut stream, _from) = listener.accept().await.expect("a connection");
        let frame = frames::read(&mut stream)
            .await
            .expect("its length is fine")?;
        Opener::new(KEY, 9).open(&frame).ok()
    };
    tokio::join!(receive, send).0.map(|frame| frame.message)
}

/// Failure: a frame of a peer that is cut on its connection counts as a message.
#[test]
fn cut_frame_is_no_message() {
    block_on(async {
        let frame = sealer(9).seal(&Message::Probe(3)).expect("it fits");
        let mut bytes = Vec::new();
        frames::append(&mut bytes, &frame);

        for (is_reset, one_by_one) in [(false, false), (true, false), (false, true)] {
            for length in 0..bytes.len() {
                let read = read_message(&bytes[..length], is_reset, one_by_one).await;
                assert_eq!(read, None, "cut after {length} bytes");
            }
            let whole = read_message(&bytes, false, one_by_one).await;
            assert_eq!(whole, Some(Message::Probe(3)));
        }
        println!("{} cuts", 3 * bytes.len());
    });
}
