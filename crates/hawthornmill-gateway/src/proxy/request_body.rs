//! Reading of request bodies, which take their room in memory before they come.

use std::rc::Rc;

use bytes::BufMut;
use hawthornmill::codes::Code;
use hawthornmill::limits::request_memory::RequestPart;
use hawthornmill::routing::catalog::Limits;
use tokio::time::Instant;

use super::error_response::ErrorResponse;
use super::request_room::{Room, RoomRefusal, refuse};
use crate::connection::RequestReader;
use crate::gateway::Gateway;
use crate::http::blocks::{BodyBlocks, allocation};
use crate::http::body::{BodyDecoder, Decoded};
use crate::http::head::Framing;

/// Multiple of the time that a connection may be idle in which a body must be complete.
///
/// A sender of a byte now and then would otherwise hold its connection for hours.
const BODY_TIME_FACTOR: u32 = 20;

/// The body of a request, with the room that it takes.
#[derive(Debug)]
pub struct RequestBody {
    /// The bytes.
    pub blocks: BodyBlocks,
    _room: Room,
}

/// Why there is no complete body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyError {
    /// The client closed its connection before the end.
    Closed,
    /// The body is rejected.
    Rejected(Code),
    /// There is no room for it.
    NoRoom(RoomRefusal),
}

impl From<RoomRefusal> for BodyError {
    fn from(refusal: RoomRefusal) -> Self {
        Self::NoRoom(refusal)
    }
}

/// A body that is being received.
#[derive(Debug)]
pub struct Upload {
    decoder: BodyDecoder,
    blocks: BodyBlocks,
    room: Room,
    /// Length of the body, if its head tells.
    length: Option<usize>,
    limits: Limits,
}

impl Upload {
    /// Takes the room for a body whose head has come.
    ///
    /// # Errors
    /// If the body is too long, or there is no room for it.
    pub fn begin(
        gateway: &Rc<Gateway>,
        framing: Framing,
        limits: Limits,
    ) -> Result<Self, BodyError> {
        let length = match framing {
            Framing::Length(bytes) => Some(usize::try_from(bytes).unwrap_or(usize::MAX)),
            Framing::Empty => Some(0),
            Framing::Chunked | Framing::UntilClose => None,
        };
        if length.is_some_and(|bytes| bytes > limits.body_bytes) {
            return Err(BodyError::Rejected(Code::BodyTooLarge));
        }
        let mut room = Room::empty(gateway, RequestPart::Body);
        room.grow_to(length.map_or(0, allocation))?;
        Ok(Self {
            decoder: BodyDecoder::new(framing),
            blocks: BodyBlocks::new(&gateway.block_pool),
            room,
            length,
            limits,
        })
    }

    /// Reads the body to its end.
    ///
    /// # Errors
    /// Why it is incomplete.
    pub async fn read(mut self, reader: &mut RequestReader) -> Result<RequestBody, BodyError> {
        let end = Instant::now() + self.limits.idle_timeout * BODY_TIME_FACTOR;
        let mut is_waiting = false;
        loop {
            match self.decoder.next(&mut reader.buffer) {
                Ok(Decoded::Data(data)) => self.push(&data)?,
                Ok(Decoded::End) => break,
                Ok(Decoded::Incomplete) => {
                    // Most short bodies come together with their heads.
                    if !std::mem::replace(&mut is_waiting, true) {
                        self.room.begin_upload();
                    }
                    self.read_more(reader, end).await?;
                }
                Err(_malformed) => return Err(BodyError::Rejected(Code::BadHeader)),
            }
        }
        self.room.end_upload()?;
        Ok(RequestBody {
            blocks: self.blocks,
            _room: self.room,
        })
    }

    /// Returns how many bytes are still to come, if that is known.
    fn missing(&self) -> Option<usize> {
        self.length.map(|length| length - self.blocks.len())
    }

    fn push(&mut self, mut data: &[u8]) -> Result<(), BodyError> {
        if self.blocks.len() + data.len() > self.limits.body_bytes {
            return Err(BodyError::Rejected(Code::BodyTooLarge));
        }
        while !data.is_empty() {
            let missing = self.missing();
            self.room.grow_to(self.blocks.next_allocation(missing))?;
            data = self.blocks.push(data, missing);
        }
        self.room.record_received(self.blocks.len());
        Ok(())
    }

    /// Waits for more bytes, for no longer than a connection may be idle and until `end`.
    async fn read_more(
        &mut self,
        reader: &mut RequestReader,
        end: Instant,
    ) -> Result<(), BodyError> {
        // What comes next is framing, or more than the limit allows, which `push` rejects.
        let due = usize::try_from(self.decoder.due()).unwrap_or(usize::MAX);
        let is_data = due > 0 && self.blocks.len() + due <= self.limits.body_bytes;
        if is_data {
            let missing = self.missing();
            self.room.grow_to(self.blocks.next_allocation(missing))?;
        }
        let missing = self.missing();
        let pause_end = Instant::now() + self.limits.idle_timeout;
        let read = async {
            if is_data {
                let block = self.blocks.open_block(missing);
                reader.read_into(&mut block.limit(due)).await
            } else {
                reader.read_more().await
            }
        };
        let read = tokio::select! {
            biased;
            () = self.room.displaced() => return Err(RoomRefusal::Displaced.into()),
            read = tokio::time::timeout_at(pause_end.min(end), read) => read,
        };
        let bytes = match read {
            Ok(Ok(bytes)) if bytes > 0 => bytes,
            Ok(_) => return Err(BodyError::Closed),
            Err(_elapsed) => return Err(BodyError::Rejected(Code::RequestTooSlow)),
        };
        if is_data {
            self.decoder.record_read(bytes as u64);
            self.blocks.record_added(bytes);
            self.room.record_received(self.blocks.len());
        }
        Ok(())
    }
}

impl BodyError {
    /// Returns the response to the client; `None` if it has gone.
    pub fn response(
        self,
        gateway: &Gateway,
        attempt_id: &str,
        framing: Framing,
    ) -> Option<ErrorResponse> {
        let declared = match framing {
            Framing::Length(bytes) => Some(bytes),
            _ => None,
        };
        match self {
            Self::Closed => None,
            Self::Rejected(code) => Some(ErrorResponse::new(code)),
            Self::NoRoom(refusal) => Some(refuse(gateway, attempt_id, declared, refusal)),
        }
    }
}
