//! Authenticated frames.
//!
//! A frame is a fixed header, a keyed MAC and a `postcard` payload:
//!
//! | bytes | meaning |
//! |---|---|
//! | 1 | version of the protocol |
//! | 8 | sender's [`InstanceId`] |
//! | 8 | sender's [`Incarnation`] |
//! | 8 | sequence number, increasing within the sender's channel |
//! | 8 | channel: the acceptor's nonce on TCP, the receiver's [`InstanceId`] on UDP |
//! | 16 | MAC: first half of the keyed BLAKE3 hash of all other bytes |
//! | … | payload |
//!
//! The key comes from the settings. A repeated or reordered frame is rejected because of its sequence
//! number. On TCP, the acceptor's nonce prevents the replay of frames of an earlier connection. On
//! UDP, the receiver's identifier prevents the replay of frames to another instance, which has not
//! seen their sequence numbers.
//!
//! On TCP, the receiver can derive the header of every frame after the first: the sender and the
//! channel stay the same, and the sequence number grows by one. So later frames are short: a marker
//! byte, the MAC of the full header and the payload, and the payload. A frame that was dropped,
//! repeated or reordered has another sequence number and thus a wrong MAC.

use std::collections::BTreeMap;

use snafu::Snafu;

use super::message::Message;
use super::previous::decode_message;
use crate::codes::Code;
use crate::ident::{Incarnation, InstanceId};

/// Protocol version.
pub const VERSION: u8 = 2;
/// First byte of a short frame.
const SHORT_MARKER: u8 = 0x80 | VERSION;
/// Length of the header of a short frame.
pub const SHORT_HEADER_BYTES: usize = 1 + MAC_BYTES;
/// Length of the header of a full frame.
pub const HEADER_BYTES: usize = 1 + 8 + 8 + 8 + 8 + MAC_BYTES;
/// Maximum length of a frame on TCP; allows for a configuration of several values.
pub const MAX_FRAME_BYTES: usize = 16 << 20;
/// Maximum length of a datagram, below the usual MTU.
pub const MAX_DATAGRAM_BYTES: usize = 1400;
const MAC_BYTES: usize = 16;

/// Datagrams of a run with a lower number, in a row and in order, after which that run counts as the current one.
///
/// A process that restarts after its clock was set back has a lower run number than before.
const MIN_FRAMES_OF_LOWER_RUN: u32 = 7;

/// Why a frame was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum FrameError {
    /// Too short, or with a payload that can't be decoded.
    #[snafu(display("malformed frame"))]
    Malformed,
    /// Wrong MAC.
    #[snafu(display("frame is not authenticated"))]
    Unauthenticated,
    /// Sequence number or incarnation seen before, or a frame of another channel.
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
    /// The numbered code of the error.
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

/// A verified and decoded frame.
#[derive(Debug, Clone, PartialEq)]
pub struct Frame {
    /// Sender of the frame.
    pub sender: InstanceId,
    /// Process run of the sender.
    pub incarnation: Incarnation,
    /// Message that it carries.
    pub message: Message,
}

/// Encodes and authenticates outgoing frames.
#[derive(Debug, Clone)]
pub struct Sealer {
    key: [u8; 32],
    sender: InstanceId,
    incarnation: Incarnation,
    channel: u64,
    seq: u64,
    sent_first: bool,
}

impl Sealer {
    /// A sealer for one channel of one process run.
    pub fn new(key: [u8; 32], sender: InstanceId, incarnation: Incarnation, channel: u64) -> Self {
        Self {
            key,
            sender,
            incarnation,
            channel,
            seq: 0,
            sent_first: false,
        }
    }

    /// Encodes and authenticates the next message of a stream; all frames but the first are short.
    ///
    /// # Errors
    /// As for [`Self::seal`].
    pub fn seal_next(&mut self, message: &Message) -> Result<Vec<u8>, FrameError> {
        let frame = self.seal(message)?;
        if !std::mem::replace(&mut self.sent_first, true) {
            return Ok(frame);
        }
        let mut short = Vec::with_capacity(SHORT_HEADER_BYTES + frame.len() - HEADER_BYTES);
        short.push(SHORT_MARKER);
        short.extend(&frame[HEADER_BYTES - MAC_BYTES..]);
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

    /// Encodes and authenticates `message` for another channel than the sealer's own.
    ///
    /// # Errors
    /// As for [`Self::seal`].
    pub fn seal_on(&mut self, channel: u64, message: &Message) -> Result<Vec<u8>, FrameError> {
        self.seq += 1;
        let mut frame = Vec::with_capacity(128);
        push_header(&mut frame, self.sender, self.incarnation, self.seq, channel);
        frame.extend([0_u8; MAC_BYTES]);
        let mut frame =
            postcard::to_extend(message, frame).map_err(|_error| FrameError::Malformed)?;
        if frame.len() > MAX_FRAME_BYTES {
            return Err(FrameError::TooLarge);
        }
        let mac = mac(&self.key, &frame);
        frame[HEADER_BYTES - MAC_BYTES..HEADER_BYTES].copy_from_slice(&mac);
        Ok(frame)
    }
}

/// Appends a header without its MAC.
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

/// Length of the encoded `message`, without the header.
pub fn payload_len(message: &Message) -> usize {
    postcard::to_allocvec(message).map_or(0, |bytes| bytes.len())
}

fn mac(key: &[u8; 32], frame: &[u8]) -> [u8; MAC_BYTES] {
    let mut hasher = blake3::Hasher::new_keyed(key);
    hasher.update(&frame[..HEADER_BYTES - MAC_BYTES]);
    hasher.update(&frame[HEADER_BYTES..]);
    let mut half = [0_u8; MAC_BYTES];
    half.copy_from_slice(&hasher.finalize().as_bytes()[..MAC_BYTES]);
    half
}

fn macs_equal(a: &[u8; MAC_BYTES], b: &[u8]) -> bool {
    a.iter().zip(b).fold(0, |acc, (x, y)| acc | (x ^ y)) == 0
}

/// Frames of a run with a lower number than the current one, since the last frame of the current one.
#[derive(Debug, Clone, Copy)]
struct LowerRun {
    incarnation: Incarnation,
    /// Sequence number of the latest one.
    seq: u64,
    frames: u32,
}

/// Verifies and decodes incoming frames of one channel; rejects replayed ones.
#[derive(Debug, Clone)]
pub struct Opener {
    key: [u8; 32],
    channel: u64,
    last: BTreeMap<InstanceId, (Incarnation, u64)>,
    lower: BTreeMap<InstanceId, LowerRun>,
    accepts_lower_runs: bool,
    /// Sender of the stream, known after its first frame; `None` for datagrams.
    stream_sender: Option<InstanceId>,
    is_stream: bool,
}

impl Opener {
    /// An opener for `channel`.
    pub fn new(key: [u8; 32], channel: u64) -> Self {
        Self {
            key,
            channel,
            last: BTreeMap::new(),
            lower: BTreeMap::new(),
            accepts_lower_runs: false,
            stream_sender: None,
            is_stream: false,
        }
    }

    /// An opener for a stream, on which frames after the first may be short.
    pub fn stream(key: [u8; 32], channel: u64) -> Self {
        Self {
            is_stream: true,
            ..Self::new(key, channel)
        }
    }

    /// An opener for datagrams of processes whose clocks may be set back between two runs.
    pub fn datagrams(key: [u8; 32], channel: u64) -> Self {
        Self {
            accepts_lower_runs: true,
            ..Self::new(key, channel)
        }
    }

    /// Returns whether a frame is the first one of a run that counts as the current one from now on.
    fn begins_lower_run(&mut self, sender: InstanceId, incarnation: Incarnation, seq: u64) -> bool {
        let current = self.last.get(&sender).map(|(run, _)| *run);
        if !self.accepts_lower_runs || current <= Some(incarnation) {
            return false;
        }
        let none = LowerRun {
            incarnation,
            seq: 0,
            frames: 0,
        };
        let lower = self.lower.entry(sender).or_insert(none);
        if lower.incarnation != incarnation {
            *lower = none;
        }
        if seq > lower.seq {
            lower.seq = seq;
            lower.frames += 1;
        }
        lower.frames >= MIN_FRAMES_OF_LOWER_RUN
    }

    /// Restores the full frame of a short one; `None` if no full frame came before.
    fn expand(&self, short: &[u8]) -> Option<Vec<u8>> {
        let sender = self.stream_sender?;
        let (incarnation, seq) = self.last.get(&sender)?;
        let mut frame = Vec::with_capacity(HEADER_BYTES + short.len());
        push_header(&mut frame, sender, *incarnation, seq + 1, self.channel);
        frame.extend(&short[1..]);
        Some(frame)
    }

    /// Verifies and decodes one frame.
    ///
    /// # Errors
    /// The reason to drop the frame; no part of it may be used.
    pub fn open(&mut self, frame: &[u8]) -> Result<Frame, FrameError> {
        if frame.len() > MAX_FRAME_BYTES {
            return Err(FrameError::TooLarge);
        }
        let expanded;
        let frame = if self.is_stream && frame.first() == Some(&SHORT_MARKER) {
            if frame.len() < SHORT_HEADER_BYTES {
                return Err(FrameError::Malformed);
            }
            expanded = self.expand(frame).ok_or(FrameError::Malformed)?;
            &*expanded
        } else {
            frame
        };
        if frame.len() < HEADER_BYTES {
            return Err(FrameError::Malformed);
        }
        if frame[0] != VERSION {
            return Err(FrameError::Version);
        }
        if !macs_equal(
            &mac(&self.key, frame),
            &frame[HEADER_BYTES - MAC_BYTES..HEADER_BYTES],
        ) {
            return Err(FrameError::Unauthenticated);
        }
        let sender = InstanceId(read_u64(frame, 1));
        let incarnation = Incarnation(read_u64(frame, 9));
        let seq = read_u64(frame, 17);
        if read_u64(frame, 25) != self.channel {
            return Err(FrameError::Replayed);
        }
        let last = self.last.get(&sender).copied().unwrap_or_default();
        if (incarnation, seq) <= last && !self.begins_lower_run(sender, incarnation, seq) {
            return Err(FrameError::Replayed);
        }
        self.lower.remove(&sender);
        self.last.insert(sender, (incarnation, seq));
        self.stream_sender = self.is_stream.then_some(sender);
        let message =
            decode_message(&frame[HEADER_BYTES..]).map_err(|_error| FrameError::Malformed)?;
        Ok(Frame {
            sender,
            incarnation,
            message,
        })
    }
}

fn read_u64(frame: &[u8], at: usize) -> u64 {
    let mut bytes = [0_u8; 8];
    bytes.copy_from_slice(&frame[at..at + 8]);
    u64::from_le_bytes(bytes)
}
