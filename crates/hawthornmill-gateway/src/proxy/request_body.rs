//! Reading of request bodies, whose memory is reserved before they come.

use std::rc::Rc;

use hawthornmill::codes::Code;
use hawthornmill::limits::request_memory::RequestPart;
use hawthornmill::routing::catalog::Limits;
use tokio::time::Instant;

use super::error_response::ErrorResponse;
use super::reservation::{Reservation, ReservationError, refuse};
use crate::connection::RequestReader;
use crate::gateway::Gateway;
use crate::http::blocks::{BodyBlocks, allocation};
use crate::http::body::{BodyDecoder, Decoded};
use crate::http::head::Framing;

/// Multiple of the time that a connection may be idle in which a body must be complete.
///
/// A sender of a byte now and then would otherwise hold its connection for hours.
const BODY_TIME_FACTOR: u32 = 20;

/// The body of a request, with the memory that it takes.
#[derive(Debug)]
pub struct RequestBody {
    /// The bytes.
    pub blocks: BodyBlocks,
    _memory: Reservation,
}

/// Why there is no complete body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyError {
    /// The client closed its connection before the end.
    Closed,
    /// The body is rejected.
    Rejected(Code),
    /// There is no memory for it.
    OutOfMemory(ReservationError),
}

impl From<ReservationError> for BodyError {
    fn from(error: ReservationError) -> Self {
        Self::OutOfMemory(error)
    }
}

/// A body that is being received.
#[derive(Debug)]
pub struct Upload {
    decoder: BodyDecoder,
    blocks: BodyBlocks,
    memory: Reservation,
    /// Length of the body, if its head tells.
    length: Option<usize>,
    limits: Limits,
}

impl Upload {
    /// Reserves the memory for a body whose head has come.
    ///
    /// # Errors
    /// If the body is too long, or there is no memory for it.
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
        let mut memory = Reservation::empty(gateway, RequestPart::Body);
        memory.grow_to(length.map_or(0, allocation))?;
        Ok(Self {
            decoder: BodyDecoder::new(framing),
            blocks: BodyBlocks::new(&gateway.block_pool),
            memory,
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
                        self.memory.begin_upload();
                    }
                    self.read_more(reader, end).await?;
                }
                Err(_malformed) => return Err(BodyError::Rejected(Code::BadHeader)),
            }
        }
        self.memory.end_upload()?;
        Ok(RequestBody {
            blocks: self.blocks,
            _memory: self.memory,
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
            self.memory.grow_to(self.blocks.next_allocation(missing))?;
            data = self.blocks.push(data, missing);
        }
        self.memory.record_received(self.blocks.len());
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
            self.memory.grow_to(self.blocks.next_allocation(missing))?;
        }
        let missing = self.missing();
        let pause_end = Instant::now() + self.limits.idle_timeout;
        let read = async {
            if is_data {
                reader.read_into(&mut self.blocks.space(missing, due)).await
            } else {
                reader.read_more().await
            }
        };
        let read = tokio::select! {
            biased;
            () = self.memory.evicted() => return Err(ReservationError::Evicted.into()),
            read = tokio::time::timeout_at(pause_end.min(end), read) => read,
        };
        let bytes = match read {
            Ok(Ok(bytes)) if bytes > 0 => bytes,
            Ok(_) => return Err(BodyError::Closed),
            Err(_elapsed) => return Err(BodyError::Rejected(Code::RequestTooSlow)),
        };
        if is_data {
            self.decoder.record_read(bytes as u64);
            self.blocks.record_read(bytes);
            self.memory.record_received(self.blocks.len());
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
            Self::OutOfMemory(error) => Some(refuse(gateway, attempt_id, declared, error)),
        }
    }
}
