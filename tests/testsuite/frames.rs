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
        Err(FrameError::Forged)
    );
}

proptest! {
    #[test]
    fn any_changed_byte_is_noticed(at in 0_usize..60, bit in 0_u8..8) {
        let mut frame = sealer(0).seal(&Message::StandingPull).expect("it fits");
        let at = at % frame.len();
        frame[at] ^= 1 << bit;

        prop_assert!(Opener::new(KEY, 0).open(&frame).is_err());
    }

    #[test]
    fn random_bytes_are_refused(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        prop_assert!(Opener::new(KEY, 0).open(&bytes).is_err());
    }
}
