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
//!
//! On TCP all of the header but the version and the MAC is known after the first frame: the sender
//! and the channel stay, and the number rises by one. So every later frame is short, a byte that says
//! so, the MAC of the whole header and the payload, and the payload. A frame that was left out,
//! repeated or moved has another number, and thus a wrong MAC.

use std::collections::BTreeMap;

use snafu::Snafu;

use super::message::Message;
use crate::codes::Code;
use crate::ident::{Incarnation, InstanceId};

/// Version of the protocol.
pub const VERSION: u8 = 1;
/// First byte of a short frame.
const SHORT: u8 = 0x80 | VERSION;
/// Bytes before the payload of a short frame.
pub const SHORT_HEADER_BYTES: usize = 1 + MAC;
/// Bytes before the payload.
pub const HEADER_BYTES: usize = 1 + 8 + 8 + 8 + 8 + MAC;
/// Most bytes of a frame on TCP; a configuration of several values fits.
pub const MAX_FRAME_BYTES: usize = 16 << 20;
/// Most bytes of a datagram: under one MTU.
pub const MAX_DATAGRAM_BYTES: usize = 1400;
const MAC: usize = 16;

/// Why a frame was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum FrameError {
    /// Too short, or a payload that doesn't decode.
    #[snafu(display("malformed frame"))]
    Malformed,
    /// Wrong MAC.
    #[snafu(display("frame is not authenticated"))]
    Unauthenticated,
    /// Sequence number, incarnation or channel seen before.
    #[snafu(display("frame was seen before"))]
    Replayed,
    /// Over [`MAX_FRAME_BYTES`].
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
            Self::Unauthenticated => Code::FrameUnauthenticated,
            Self::Replayed => Code::FrameReplayed,
            Self::TooLarge => Code::FrameTooLarge,
            Self::Version => Code::FrameVersionMismatch,
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
    begun: bool,
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
            begun: false,
        }
    }

    /// Encodes and authenticates the next message of a stream; only the first frame is a full one.
    ///
    /// # Errors
    /// As [`Self::seal`].
    pub fn seal_next(&mut self, message: &Message) -> Result<Vec<u8>, FrameError> {
        let frame = self.seal(message)?;
        if !std::mem::replace(&mut self.begun, true) {
            return Ok(frame);
        }
        let mut short = Vec::with_capacity(SHORT_HEADER_BYTES + frame.len() - HEADER_BYTES);
        short.push(SHORT);
        short.extend(&frame[HEADER_BYTES - MAC..]);
        Ok(short)
    }

    /// Encodes and authenticates `message`.
    ///
    /// # Errors
    /// [`FrameError::TooLarge`] when the frame would be over [`MAX_FRAME_BYTES`],
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
        push_header(&mut frame, self.sender, self.incarnation, self.seq, channel);
        frame.extend([0_u8; MAC]);
        let mut frame =
            postcard::to_extend(message, frame).map_err(|_error| FrameError::Malformed)?;
        if frame.len() > MAX_FRAME_BYTES {
            return Err(FrameError::TooLarge);
        }
        let mac = mac(&self.key, &frame);
        frame[HEADER_BYTES - MAC..HEADER_BYTES].copy_from_slice(&mac);
        Ok(frame)
    }
}

/// Writes a header up to the MAC.
fn push_header(
    frame: &mut Vec<u8>,
    sender: InstanceId,
    incarnation: Incarnation,
    seq: u64,
    channel: u64,
) {
    frame.push(VERSION);
    frame.extend(sender.0.to_le_bytes());
    frame.extend(incarnation.0.to_le_bytes());
    frame.extend(seq.to_le_bytes());
    frame.extend(channel.to_le_bytes());
}

/// Bytes that `message` takes in a frame, without the header.
pub fn payload_len(message: &Message) -> usize {
    postcard::to_allocvec(message).map_or(0, |bytes| bytes.len())
}

fn mac(key: &[u8; 32], frame: &[u8]) -> [u8; MAC] {
    let mut hasher = blake3::Hasher::new_keyed(key);
    hasher.update(&frame[..HEADER_BYTES - MAC]);
    hasher.update(&frame[HEADER_BYTES..]);
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
    /// Sender of a stream whose first frame was opened; none on datagrams.
    stream: Option<InstanceId>,
    is_stream: bool,
}

impl Opener {
    /// An opener for `channel`.
    pub fn new(key: [u8; 32], channel: u64) -> Self {
        Self {
            key,
            channel,
            last: BTreeMap::new(),
            stream: None,
            is_stream: false,
        }
    }

    /// An opener for a stream, on which later frames may be short.
    pub fn stream(key: [u8; 32], channel: u64) -> Self {
        Self {
            is_stream: true,
            ..Self::new(key, channel)
        }
    }

    /// The full frame that a short one stands for; none where no full one came before.
    fn lengthen(&self, short: &[u8]) -> Option<Vec<u8>> {
        let sender = self.stream?;
        let (incarnation, seq) = self.last.get(&sender)?;
        let mut frame = Vec::with_capacity(HEADER_BYTES + short.len());
        push_header(&mut frame, sender, *incarnation, seq + 1, self.channel);
        frame.extend(&short[1..]);
        Some(frame)
    }

    /// Checks and decodes one frame.
    ///
    /// # Errors
    /// The reason for which the frame is dropped; nothing of it may be used.
    pub fn open(&mut self, frame: &[u8]) -> Result<Frame, FrameError> {
        if frame.len() > MAX_FRAME_BYTES {
            return Err(FrameError::TooLarge);
        }
        let lengthened;
        let frame = if self.is_stream && frame.first() == Some(&SHORT) {
            if frame.len() < SHORT_HEADER_BYTES {
                return Err(FrameError::Malformed);
            }
            lengthened = self.lengthen(frame).ok_or(FrameError::Malformed)?;
            &*lengthened
        } else {
            frame
        };
        if frame.len() < HEADER_BYTES {
            return Err(FrameError::Malformed);
        }
        if frame[0] != VERSION {
            return Err(FrameError::Version);
        }
        if !same(
            &mac(&self.key, frame),
            &frame[HEADER_BYTES - MAC..HEADER_BYTES],
        ) {
            return Err(FrameError::Unauthenticated);
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
        self.stream = self.is_stream.then_some(sender);
        let message =
            postcard::from_bytes(&frame[HEADER_BYTES..]).map_err(|_error| FrameError::Malformed)?;
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
