//! Authenticated frames.
//!
//! A frame is a fixed header, a keyed MAC and a `postcard` payload:
//!
//! | bytes | meaning |
//! |---|---|
//! | 1 | version of the protocol |
//! | 8 | sender's [`InstanceId`] |
//! | 8 | sender's [`Incarnation`] |
//! | 8 | sequence number, rising within the sender's channel |
//! | 8 | channel: the acceptor's nonce on TCP, the receiver's [`InstanceId`] on UDP |
//! | 16 | first half of the keyed BLAKE3 hash of all the rest |
//! | … | payload |
//!
//! The key comes from the settings. A repeated or reordered frame is refused by its sequence
//! number. On TCP the acceptor's nonce keeps frames of an earlier connection out of this one; on UDP
//! the receiver's id keeps frames for one instance out of another, which has not seen their number.

use std::collections::BTreeMap;

use snafu::Snafu;

use super::message::Message;
use crate::codes::Code;
use crate::ident::{Incarnation, InstanceId};

/// Version of the protocol.
pub const VERSION: u8 = 1;
/// Bytes before the payload.
pub const HEADER: usize = 1 + 8 + 8 + 8 + 8 + MAC;
/// Most bytes of a frame on TCP; a configuration of several values fits.
pub const FRAME_LIMIT: usize = 16 << 20;
/// Most bytes of a datagram: under one MTU.
pub const DATAGRAM_LIMIT: usize = 1400;
const MAC: usize = 16;

/// Why a frame was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum FrameError {
    /// Too short, or a payload that doesn't decode.
    #[snafu(display("malformed frame"))]
    Malformed,
    /// Wrong MAC.
    #[snafu(display("frame is not authenticated"))]
    Forged,
    /// Sequence number, incarnation or channel seen before.
    #[snafu(display("frame was seen before"))]
    Replayed,
    /// Over [`FRAME_LIMIT`].
    #[snafu(display("frame over the bound"))]
    TooLarge,
    /// Another protocol version.
    #[snafu(display("frame of another version"))]
    Version,
}

impl FrameError {
    /// The numbered code of the fault.
    pub const fn code(self) -> Code {
        match self {
            Self::Malformed => Code::FrameMalformed,
            Self::Forged => Code::FrameForged,
            Self::Replayed => Code::FrameReplayed,
            Self::TooLarge => Code::FrameTooLarge,
            Self::Version => Code::FrameVersion,
        }
    }
}

/// An opened frame.
#[derive(Debug, Clone, PartialEq)]
pub struct Frame {
    /// Who sent it.
    pub sender: InstanceId,
    /// Process run of the sender.
    pub incarnation: Incarnation,
    /// What it says.
    pub message: Message,
}

/// Seals outgoing frames.
#[derive(Debug, Clone)]
pub struct Sealer {
    key: [u8; 32],
    sender: InstanceId,
    incarnation: Incarnation,
    channel: u64,
    seq: u64,
}

impl Sealer {
    /// A sealer for one channel of one process.
    pub fn new(key: [u8; 32], sender: InstanceId, incarnation: Incarnation, channel: u64) -> Self {
        Self {
            key,
            sender,
            incarnation,
            channel,
            seq: 0,
        }
    }

    /// Encodes and authenticates `message`.
    ///
    /// # Errors
    /// [`FrameError::TooLarge`] when the frame would be over [`FRAME_LIMIT`],
    /// [`FrameError::Malformed`] when the message can't be encoded.
    pub fn seal(&mut self, message: &Message) -> Result<Vec<u8>, FrameError> {
        self.seal_on(self.channel, message)
    }

    /// Does the same for another channel than the sealer's own.
    ///
    /// # Errors
    /// As [`Self::seal`].
    pub fn seal_on(&mut self, channel: u64, message: &Message) -> Result<Vec<u8>, FrameError> {
        self.seq += 1;
        let mut frame = Vec::with_capacity(128);
        frame.push(VERSION);
        frame.extend(self.sender.0.to_le_bytes());
        frame.extend(self.incarnation.0.to_le_bytes());
        frame.extend(self.seq.to_le_bytes());
        frame.extend(channel.to_le_bytes());
        frame.extend([0_u8; MAC]);
        let mut frame =
            postcard::to_extend(message, frame).map_err(|_error| FrameError::Malformed)?;
        if frame.len() > FRAME_LIMIT {
            return Err(FrameError::TooLarge);
        }
        let mac = mac(&self.key, &frame);
        frame[HEADER - MAC..HEADER].copy_from_slice(&mac);
        Ok(frame)
    }
}

/// Bytes that `message` takes in a frame, without the header.
pub fn payload_len(message: &Message) -> usize {
    postcard::to_allocvec(message).map_or(0, |bytes| bytes.len())
}

fn mac(key: &[u8; 32], frame: &[u8]) -> [u8; MAC] {
    let mut hasher = blake3::Hasher::new_keyed(key);
    hasher.update(&frame[..HEADER - MAC]);
    hasher.update(&frame[HEADER..]);
    let mut half = [0_u8; MAC];
    half.copy_from_slice(&hasher.finalize().as_bytes()[..MAC]);
    half
}

fn same(a: &[u8; MAC], b: &[u8]) -> bool {
    a.iter().zip(b).fold(0, |acc, (x, y)| acc | (x ^ y)) == 0
}

/// Opens incoming frames of one channel and refuses what was seen before.
#[derive(Debug, Clone)]
pub struct Opener {
    key: [u8; 32],
    channel: u64,
    last: BTreeMap<InstanceId, (Incarnation, u64)>,
}

impl Opener {
    /// An opener for `channel`.
    pub fn new(key: [u8; 32], channel: u64) -> Self {
        Self {
            key,
            channel,
            last: BTreeMap::new(),
        }
    }

    /// Checks and decodes one frame.
    ///
    /// # Errors
    /// The reason for which the frame is dropped; nothing of it may be used.
    pub fn open(&mut self, frame: &[u8]) -> Result<Frame, FrameError> {
        if frame.len() > FRAME_LIMIT {
            return Err(FrameError::TooLarge);
        }
        if frame.len() < HEADER {
            return Err(FrameError::Malformed);
        }
        if frame[0] != VERSION {
            return Err(FrameError::Version);
        }
        if !same(&mac(&self.key, frame), &frame[HEADER - MAC..HEADER]) {
            return Err(FrameError::Forged);
        }
        let sender = InstanceId(word(frame, 1));
        let incarnation = Incarnation(word(frame, 9));
        let seq = word(frame, 17);
        if word(frame, 25) != self.channel {
            return Err(FrameError::Replayed);
        }
        let last = self.last.entry(sender).or_default();
        if (incarnation, seq) <= *last {
            return Err(FrameError::Replayed);
        }
        *last = (incarnation, seq);
        let message =
            postcard::from_bytes(&frame[HEADER..]).map_err(|_error| FrameError::Malformed)?;
        Ok(Frame {
            sender,
            incarnation,
            message,
        })
    }
}

fn word(frame: &[u8], at: usize) -> u64 {
    let mut bytes = [0_u8; 8];
    bytes.copy_from_slice(&frame[at..at + 8]);
    u64::from_le_bytes(bytes)
}
