//! Frames between instances.

use hawthornmill::ident::{Incarnation, InstanceId};
use hawthornmill::wire::{FrameError, Message, Opener, Sealer};
use proptest::prelude::*;

const KEY: [u8; 32] = [7; 32];

fn sealer(channel: u64) -> Sealer {
    Sealer::new(KEY, InstanceId::of("r1"), Incarnation(5), channel)
}

#[test]
fn a_frame_is_opened_once() {
    let frame = sealer(9).seal(&Message::Probe(3)).expect("it fits");
    let mut opener = Opener::new(KEY, 9);

    let first = opener.open(&frame).expect("the frame is good");

    assert_eq!(first.message, Message::Probe(3));
    assert_eq!(opener.open(&frame), Err(FrameError::Replayed));
}

#[test]
fn a_frame_of_an_earlier_connection_is_refused() {
    let frame = sealer(9).seal(&Message::Probe(3)).expect("it fits");

    assert_eq!(Opener::new(KEY, 10).open(&frame), Err(FrameError::Replayed));
}

#[test]
fn a_frame_under_another_key_is_refused() {
    let frame = sealer(0).seal(&Message::Probe(3)).expect("it fits");

    assert_eq!(
        Opener::new([8; 32], 0).open(&frame),
        Err(FrameError::Unauthenticated)
    );
}

/// Frames of a stream as they leave, the first a full one.
fn stream(messages: &[Message]) -> Vec<Vec<u8>> {
    let mut sealer = sealer(9);
    let sealed = messages.iter().map(|m| sealer.seal_next(m));
    sealed.map(|f| f.expect("it fits")).collect()
}

#[test]
fn later_frames_of_a_stream_are_short_and_open_in_order() {
    let messages = [1, 2, 3].map(Message::Probe);
    let frames = stream(&messages);
    let mut opener = Opener::stream(KEY, 9);

    let opened: Vec<_> = frames.iter().map(|f| opener.open(f)).collect();

    let lengths: Vec<usize> = frames.iter().map(Vec::len).collect();
    assert_eq!(lengths, [51, 19, 19]);
    for (frame, message) in opened.into_iter().zip(messages) {
        assert_eq!(frame.expect("the frame is good").message, message);
    }
}

/// Somebody who can write into a connection leaves a frame out, repeats one or moves one. Short frames
/// carry no number, so only the MAC can tell.
#[test]
fn short_frames_out_of_their_order_are_refused() {
    let frames = stream(&[1, 2, 3].map(Message::Probe));
    let after = |first: &[usize], then: usize| {
        let mut opener = Opener::stream(KEY, 9);
        for index in first {
            opener.open(&frames[*index]).expect("the frame is good");
        }
        opener.open(&frames[then]).map(|f| f.message)
    };

    assert_eq!(after(&[0], 2), Err(FrameError::Unauthenticated));
    assert_eq!(after(&[0, 1], 1), Err(FrameError::Unauthenticated));
    assert_eq!(after(&[], 1), Err(FrameError::Malformed));
    assert_eq!(after(&[0, 1], 0), Err(FrameError::Replayed));
}

#[test]
fn a_short_frame_is_no_datagram() {
    let frames = stream(&[1, 2].map(Message::Probe));
    let mut opener = Opener::new(KEY, 9);
    opener.open(&frames[0]).expect("the frame is good");

    assert_eq!(opener.open(&frames[1]), Err(FrameError::Malformed));
}

proptest! {
    #[test]
    fn any_changed_byte_is_noticed(at in 0_usize..60, bit in 0_u8..8) {
        let mut frame = sealer(0).seal(&Message::LedgerPull).expect("it fits");
        let at = at % frame.len();
        frame[at] ^= 1 << bit;

        prop_assert!(Opener::new(KEY, 0).open(&frame).is_err());
    }

    #[test]
    fn random_bytes_are_refused(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        prop_assert!(Opener::new(KEY, 0).open(&bytes).is_err());
    }
}

/// A stream is cut in the middle of a frame, or begins with a length that no frame has. What came must
/// not pass for a frame.
#[tokio::test]
async fn a_stream_frame_comes_whole_or_not_at_all() {
    use hawthornmill_process::frames;
    let mut whole = Vec::new();
    frames::append(&mut whole, b"frame");
    let too_long = [0xff; 4];

    let read = frames::read(&mut &*whole).await;
    let cut = frames::read(&mut &whole[..6]).await;
    let refused = frames::read(&mut &too_long[..]).await;

    assert_eq!(read, Ok(Some(b"frame".to_vec())));
    assert_eq!(cut, Ok(None));
    assert_eq!(refused, Err(FrameError::TooLarge));
}
