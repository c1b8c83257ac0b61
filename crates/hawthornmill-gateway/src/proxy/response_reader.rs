//! Finds the head of the answer in the bytes of a connection to a server, without I/O.
//!
//! Interim responses and those to other attempts, which come late or twice, are skipped within bounds.

use std::time::Instant;

use bytes::{Buf, BytesMut};

use super::response_limits::{CutReason, MAX_HEAD_BYTES, MAX_HEAD_TIME, SkipLimits};
use crate::http::body::{BodyDecoder, Decoded};
use crate::http::head::{self, Framing, ResponseHead};

/// The request whose answer is read.
#[derive(Debug, Clone, Copy)]
pub struct Expected<'a> {
    /// Method of the request.
    pub method: &'a str,
    /// Id of the attempt.
    pub attempt_id: &'a str,
    /// Name of the header that holds the id.
    pub id_header: &'a str,
}

/// What is being read.
#[derive(Debug)]
enum State {
    Head,
    /// The body of a response to another attempt.
    OtherBody(BodyDecoder),
}

/// The head of the answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AnswerHead {
    /// The head.
    pub head: ResponseHead,
    /// Framing of the body.
    pub framing: Framing,
    /// Whether the answer names the attempt.
    pub is_named: bool,
    /// Length of the head as received.
    pub length: usize,
}

/// Reads up to the head of the answer.
#[derive(Debug)]
pub struct ResponseReader<'a> {
    expected: Expected<'a>,
    state: State,
    limits: SkipLimits,
    /// When the first byte was seen of the response that is being read.
    begun: Option<Instant>,
    /// Whether more time was granted because this process was late.
    extended: bool,
    /// End of that time, while the response is read that it was granted for.
    extended_end: Option<Instant>,
    skipped_other: bool,
}

impl<'a> ResponseReader<'a> {
    /// Creates a reader for the answer to one request.
    pub fn new(expected: Expected<'a>) -> Self {
        Self {
            expected,
            state: State::Head,
            limits: SkipLimits::default(),
            begun: None,
            extended: false,
            extended_end: None,
            skipped_other: false,
        }
    }

    /// Takes what is complete out of `buffer`; returns `None` if more bytes are needed.
    ///
    /// # Errors
    /// If a bound is exceeded or the bytes are no response.
    pub fn next(
        &mut self,
        buffer: &mut BytesMut,
        now: Instant,
    ) -> Result<Option<AnswerHead>, CutReason> {
        loop {
            if buffer.is_empty() && matches!(self.state, State::Head) {
                return Ok(None);
            }
            self.begun.get_or_insert(now);
            match &mut self.state {
                State::Head => {
                    let Some((head, length)) = take_head(buffer)? else {
                        return Ok(None);
                    };
                    if head.is_interim() {
                        self.limits.record_interim(length)?;
                        self.end_skipped(now)?;
                    } else if let Some(answer) = self.check_head(head, length)? {
                        return Ok(Some(answer));
                    }
                }
                State::OtherBody(decoder) => {
                    let before = buffer.len();
                    let decoded = decoder.next(buffer).map_err(|_body| CutReason::Malformed)?;
                    self.limits.record_other_body(before - buffer.len())?;
                    match decoded {
                        Decoded::Data(_) => {}
                        Decoded::Incomplete => return Ok(None),
                        Decoded::End => {
                            self.state = State::Head;
                            self.end_skipped(now)?;
                        }
                    }
                }
            }
        }
    }

    /// Returns the head if it is that of the answer, else begins to skip its body.
    fn check_head(
        &mut self,
        head: ResponseHead,
        length: usize,
    ) -> Result<Option<AnswerHead>, CutReason> {
        let framing = head.framing(self.expected.method);
        let framing = framing.map_err(|_ambiguous| CutReason::Malformed)?;
        let id = head.headers.get_str(self.expected.id_header);
        if id.is_none_or(|id| id == self.expected.attempt_id) {
            let is_named = id.is_some();
            return Ok(Some(AnswerHead {
                head,
                framing,
                is_named,
                length,
            }));
        }
        self.skipped_other = true;
        self.limits.record_other(length)?;
        let left = self.limits.other_bytes_left() as u64;
        let is_too_long = matches!(framing, Framing::Length(bytes) if bytes > left);
        if is_too_long || framing == Framing::UntilClose {
            return Err(CutReason::OtherBytes);
        }
        self.state = State::OtherBody(BodyDecoder::new(framing));
        Ok(None)
    }

    fn end_skipped(&mut self, now: Instant) -> Result<(), CutReason> {
        let begun = self.begun.take().unwrap_or(now);
        if self.extended_end.take().is_some() {
            return Ok(());
        }
        self.limits.record_time(begun, now)
    }

    /// Returns when the response that is being read must have ended; `None` while there is silence between two.
    pub fn deadline(&self) -> Option<Instant> {
        let time = match self.state {
            State::Head => MAX_HEAD_TIME,
            State::OtherBody(_) => self.limits.time_left(),
        };
        let begun = self.begun?;
        Some(self.extended_end.unwrap_or(begun + time))
    }

    /// Grants more time once per answer, because this process was late; returns whether it did.
    ///
    /// The time of the skipped responses starts anew, for it may have passed while this process stood still.
    pub fn extend(&mut self, now: Instant) -> bool {
        if self.extended {
            return false;
        }
        self.extended = true;
        self.extended_end = self.begun.map(|_| now + MAX_HEAD_TIME);
        self.limits.reset_time();
        true
    }

    /// Returns the reason that a passed deadline has.
    pub const fn late_reason(&self) -> CutReason {
        match self.state {
            State::Head => CutReason::HeadTime,
            State::OtherBody(_) => CutReason::SkipTime,
        }
    }

    /// Returns whether a response to another attempt was skipped, after which the connection isn't reused.
    pub const fn skipped_other(&self) -> bool {
        self.skipped_other
    }
}

/// Takes a head out of `buffer` and returns it with its length; `None` if it is incomplete.
fn take_head(buffer: &mut BytesMut) -> Result<Option<(ResponseHead, usize)>, CutReason> {
    match head::parse_response(buffer) {
        Ok(Some((_, length))) if length > MAX_HEAD_BYTES => Err(CutReason::HeadBytes),
        Ok(Some((head, length))) => {
            buffer.advance(length);
            Ok(Some((head, length)))
        }
        Ok(None) if buffer.len() > MAX_HEAD_BYTES => Err(CutReason::HeadBytes),
        Ok(None) => Ok(None),
        Err(_malformed) => Err(CutReason::Malformed),
    }
}
