//! Decoding of message bodies.

use bytes::{Buf, Bytes, BytesMut};

use super::head::{Framing, Malformed};

/// Maximum length of a chunk size line or of one trailer line.
const MAX_LINE_BYTES: usize = 256;
/// Maximum length of all trailer lines together.
const MAX_TRAILER_BYTES: usize = 4096;
/// Maximum length of all chunk extensions together, for a body with little data.
const MAX_EXTENSION_BYTES: u64 = 16 << 10;
/// Bytes of chunk extensions allowed for each byte of data in addition; a sound sender signs each chunk at most.
const EXTENSION_RATIO: u64 = 8;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// Number of bytes left of the body or of the current chunk.
    Remaining(u64),
    /// Expects a chunk size line.
    ChunkSize,
    /// Expects the line end after a chunk.
    ChunkEnd,
    /// Expects trailer lines; holds the number of trailer bytes read so far.
    Trailers(usize),
    /// The body ends when the connection closes.
    UntilClose,
    /// The body is complete.
    Done,
}

/// Incremental decoder that takes the bytes of a body out of a buffer.
#[derive(Debug, Clone)]
pub struct BodyDecoder {
    chunked: bool,
    state: State,
    /// Bytes of data in the chunks so far.
    data: u64,
    /// Bytes of chunk extensions so far.
    extensions: u64,
}

/// Result of decoding the bytes in the buffer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decoded {
    /// Part of the body.
    Data(Bytes),
    /// The body is complete; bytes left in the buffer are not part of it.
    End,
    /// More bytes must be read into the buffer.
    Incomplete,
}

impl BodyDecoder {
    /// Creates a decoder for a body with the given framing.
    pub const fn new(framing: Framing) -> Self {
        let state = match framing {
            Framing::Empty => State::Done,
            Framing::Length(bytes) => State::Remaining(bytes),
            Framing::Chunked => State::ChunkSize,
            Framing::UntilClose => State::UntilClose,
        };
        Self {
            chunked: matches!(framing, Framing::Chunked),
            state,
            data: 0,
            extensions: 0,
        }
    }

    /// Returns whether the body ends when the connection closes.
    pub const fn ends_at_close(&self) -> bool {
        matches!(self.state, State::UntilClose)
    }

    /// Returns how many bytes of data follow before more framing.
    pub const fn due(&self) -> u64 {
        match self.state {
            State::Remaining(bytes) => bytes,
            _ => 0,
        }
    }

    /// Records that `bytes` of the data that is due were read without the buffer, which is empty.
    pub const fn record_read(&mut self, bytes: u64) {
        if let State::Remaining(remaining) = self.state {
            self.state = State::Remaining(remaining - bytes);
            self.data += bytes;
        }
    }

    /// Decodes the next part of the body.
    ///
    /// # Errors
    /// Returns [`Malformed`] if the bytes violate the framing.
    pub fn next(&mut self, buffer: &mut BytesMut) -> Result<Decoded, Malformed> {
        loop {
            match self.state {
                State::Done => return Ok(Decoded::End),
                State::UntilClose if buffer.is_empty() => return Ok(Decoded::Incomplete),
                State::UntilClose => return Ok(Decoded::Data(buffer.split().freeze())),
                State::Remaining(0) => {
                    self.state = if self.chunked {
                        State::ChunkEnd
                    } else {
                        State::Done
                    };
                }
                State::Remaining(_) if buffer.is_empty() => return Ok(Decoded::Incomplete),
                State::Remaining(remaining) => {
                    let taken = remaining.min(buffer.len() as u64);
                    self.state = State::Remaining(remaining - taken);
                    self.data += taken;
                    return Ok(Decoded::Data(buffer.split_to(taken as usize).freeze()));
                }
                State::ChunkSize => match take_line(buffer)? {
                    None => return Ok(Decoded::Incomplete),
                    Some(line) => {
                        self.record_extension(&line)?;
                        self.state = parse_chunk_size(&line)?;
                    }
                },
                State::ChunkEnd => match take_line(buffer)? {
                    None => return Ok(Decoded::Incomplete),
                    Some(line) if line.is_empty() => self.state = State::ChunkSize,
                    Some(_) => return Err(Malformed),
                },
                State::Trailers(seen) => match take_line(buffer)? {
                    None => return Ok(Decoded::Incomplete),
                    Some(line) if line.is_empty() => self.state = State::Done,
                    Some(line) if seen + line.len() > MAX_TRAILER_BYTES => return Err(Malformed),
                    Some(line) => self.state = State::Trailers(seen + line.len()),
                },
            }
        }
    }
}

impl BodyDecoder {
    /// Records the extension of a chunk size line, which costs a sender of endless bytes nothing.
    fn record_extension(&mut self, line: &[u8]) -> Result<(), Malformed> {
        let start = line.iter().position(|b| *b == b';');
        self.extensions += start.map_or(0, |start| line.len() - start) as u64;
        let allowed = MAX_EXTENSION_BYTES + self.data.saturating_mul(EXTENSION_RATIO);
        if self.extensions > allowed {
            return Err(Malformed);
        }
        Ok(())
    }
}

/// Takes a line that ends with CRLF out of the buffer, without the CRLF.
fn take_line(buffer: &mut BytesMut) -> Result<Option<BytesMut>, Malformed> {
    let Some(end) = buffer.iter().position(|b| *b == b'\n') else {
        return if buffer.len() > MAX_LINE_BYTES {
            Err(Malformed)
        } else {
            Ok(None)
        };
    };
    if end == 0 || buffer[end - 1] != b'\r' || end > MAX_LINE_BYTES {
        return Err(Malformed);
    }
    let line = buffer.split_to(end - 1);
    buffer.advance(2);
    Ok(Some(line))
}

fn parse_chunk_size(line: &[u8]) -> Result<State, Malformed> {
    let digits = line.split(|b| *b == b';').next().unwrap_or_default();
    let digits = digits.trim_ascii_end();
    let valid =
        !digits.is_empty() && digits.len() <= 15 && digits.iter().all(u8::is_ascii_hexdigit);
    if !valid {
        return Err(Malformed);
    }
    let text = std::str::from_utf8(digits).map_err(|_bytes| Malformed)?;
    let bytes = u64::from_str_radix(text, 16).map_err(|_range| Malformed)?;
    Ok(if bytes == 0 {
        State::Trailers(0)
    } else {
        State::Remaining(bytes)
    })
}
