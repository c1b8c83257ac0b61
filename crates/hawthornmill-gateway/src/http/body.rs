//! Bodies: finding their end in a stream of bytes.

use bytes::{Buf, Bytes, BytesMut};

use super::head::{Framing, Malformed};

/// Bytes of a chunk's size line, or of one trailer line, at most.
const MOST_LINE: usize = 256;
/// Bytes of all trailer lines at most.
const MOST_TRAILERS: usize = 4096;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// So many bytes are left of the body, or of the chunk.
    Left(u64),
    /// A chunk's size line comes next.
    Size,
    /// The line end behind a chunk comes next.
    ChunkEnd,
    /// Trailer lines come next; so many bytes of them have come.
    Trailers(usize),
    /// The body goes on until the connection ends.
    Open,
    /// The body is complete.
    Done,
}

/// Takes a body out of a buffer, piece by piece.
#[derive(Debug, Clone)]
pub struct BodyDecoder {
    chunked: bool,
    state: State,
}

/// What the buffer held.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decoded {
    /// Bytes of the body.
    Data(Bytes),
    /// The body is complete; what follows in the buffer is not part of it.
    End,
    /// More bytes must be read first.
    Incomplete,
}

impl BodyDecoder {
    /// A decoder for a body framed as `framing`.
    pub const fn new(framing: Framing) -> Self {
        let state = match framing {
            Framing::Empty => State::Done,
            Framing::Length(bytes) => State::Left(bytes),
            Framing::Chunked => State::Size,
            Framing::UntilClose => State::Open,
        };
        Self {
            chunked: matches!(framing, Framing::Chunked),
            state,
        }
    }

    /// Tells whether the end of the connection completes the body.
    pub const fn ends_at_close(&self) -> bool {
        matches!(self.state, State::Open)
    }

    /// Takes the next piece.
    ///
    /// # Errors
    /// [`Malformed`] when the bytes are no body of this framing.
    pub fn next(&mut self, buffer: &mut BytesMut) -> Result<Decoded, Malformed> {
        loop {
            match self.state {
                State::Done => return Ok(Decoded::End),
                State::Open if buffer.is_empty() => return Ok(Decoded::Incomplete),
                State::Open => return Ok(Decoded::Data(buffer.split().freeze())),
                State::Left(0) => {
                    self.state = if self.chunked {
                        State::ChunkEnd
                    } else {
                        State::Done
                    };
                }
                State::Left(_) if buffer.is_empty() => return Ok(Decoded::Incomplete),
                State::Left(left) => {
                    let take = left.min(buffer.len() as u64);
                    self.state = State::Left(left - take);
                    return Ok(Decoded::Data(buffer.split_to(take as usize).freeze()));
                }
                State::Size => match line(buffer)? {
                    None => return Ok(Decoded::Incomplete),
                    Some(line) => self.state = size(&line)?,
                },
                State::ChunkEnd => match line(buffer)? {
                    None => return Ok(Decoded::Incomplete),
                    Some(line) if line.is_empty() => self.state = State::Size,
                    Some(_) => return Err(Malformed),
                },
                State::Trailers(seen) => match line(buffer)? {
                    None => return Ok(Decoded::Incomplete),
                    Some(line) if line.is_empty() => self.state = State::Done,
                    Some(line) if seen + line.len() > MOST_TRAILERS => return Err(Malformed),
                    Some(line) => self.state = State::Trailers(seen + line.len()),
                },
            }
        }
    }
}

/// Takes a line that ends with CR and LF.
fn line(buffer: &mut BytesMut) -> Result<Option<BytesMut>, Malformed> {
    let Some(end) = buffer.iter().position(|b| *b == b'\n') else {
        return if buffer.len() > MOST_LINE {
            Err(Malformed)
        } else {
            Ok(None)
        };
    };
    if end == 0 || buffer[end - 1] != b'\r' || end > MOST_LINE {
        return Err(Malformed);
    }
    let line = buffer.split_to(end - 1);
    buffer.advance(2);
    Ok(Some(line))
}

fn size(line: &[u8]) -> Result<State, Malformed> {
    let digits = line.split(|b| *b == b';').next().unwrap_or_default();
    let digits = digits.trim_ascii_end();
    let hex = !digits.is_empty() && digits.len() <= 15 && digits.iter().all(u8::is_ascii_hexdigit);
    if !hex {
        return Err(Malformed);
    }
    let text = std::str::from_utf8(digits).map_err(|_bytes| Malformed)?;
    let bytes = u64::from_str_radix(text, 16).map_err(|_range| Malformed)?;
    Ok(if bytes == 0 {
        State::Trailers(0)
    } else {
        State::Left(bytes)
    })
}
