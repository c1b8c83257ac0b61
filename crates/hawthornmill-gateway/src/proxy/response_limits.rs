//! Bounds on what is read from a server besides the answer that is waited for.
//!
//! A server in trouble may send bytes without end that are no answer. Silence is not bounded here: a server may
//! take as long as the route's time limit until its first byte and between events.

use std::time::{Duration, Instant};

use hawthornmill::codes::Code;

/// Maximum size of a response head.
pub const MAX_HEAD_BYTES: usize = 64 << 10;
/// Maximum time from the first byte of a head to its end.
pub const MAX_HEAD_TIME: Duration = Duration::from_secs(1);
/// Bounds on interim responses before one answer.
const MAX_INTERIM: Skipped = Skipped {
    count: 8,
    bytes: 8 << 10,
};
/// Bounds on responses to other attempts before one answer.
const MAX_OTHERS: Skipped = Skipped {
    count: 4,
    bytes: 256 << 10,
};
/// Maximum time in which responses before one answer are received and skipped.
///
/// The silence after each doesn't count: a sound server may send `100 Continue` and then work for long.
pub const MAX_SKIP_TIME: Duration = Duration::from_secs(1);
/// Maximum size of an event that has not ended.
pub const MAX_EVENT_BYTES: usize = 256 << 10;
/// Size of events that a resumed stream may repeat in any case.
const MIN_REPEATED_BYTES: usize = 1 << 20;
/// Multiple of the bytes that the client has already which a resumed stream may repeat.
///
/// A server may repeat the stream from its start, with comments and other spacing.
const REPEATED_FACTOR: usize = 2;
/// Maximum size of the body of a refusal that is read so that its connection can be reused.
pub const MAX_REFUSAL_BYTES: usize = 16 << 10;
/// Maximum time for the same.
pub const MAX_REFUSAL_TIME: Duration = Duration::from_millis(50);
/// Maximum size, with its framing, of an error response that is kept while the request is retried.
pub const MAX_ERROR_BYTES: usize = 128 << 10;
/// Maximum time for the same; the retry waits meanwhile.
pub const MAX_ERROR_TIME: Duration = Duration::from_millis(500);
/// One part in this many of the memory in the settings is for responses that are held incomplete.
const HELD_DIVISOR: usize = 4;

/// Returns the memory for all incomplete responses of a process that may use `memory_bytes`.
pub const fn held_limit(memory_bytes: usize) -> usize {
    memory_bytes / HELD_DIVISOR
}

/// Returns the maximum size of events that a resumed stream repeats to a client that has `forwarded` bytes of them.
pub fn max_repeated_bytes(forwarded: usize) -> usize {
    MIN_REPEATED_BYTES.max(forwarded.saturating_mul(REPEATED_FACTOR))
}

/// Why the connection to a server is closed; the log and the metrics show the name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum CutReason {
    /// The bytes are no response.
    Malformed,
    /// A head is too long.
    HeadBytes,
    /// A head takes too long from its first byte to its end.
    HeadTime,
    /// Too many interim responses.
    InterimCount,
    /// Interim responses are too long.
    InterimBytes,
    /// Too many responses to other attempts.
    OtherCount,
    /// Responses to other attempts are too long.
    OtherBytes,
    /// Responses that are skipped take too long.
    SkipTime,
    /// An event is too long.
    EventBytes,
    /// A resumed stream repeats too much.
    RepeatedBytes,
    /// The process holds too much of incomplete responses, and most of this one.
    Memory,
    /// The body of a refusal is too long for its connection to be reused.
    RefusalBytes,
    /// The body of a refusal takes too long for its connection to be reused.
    RefusalTime,
    /// An error response is too long to be kept during a retry.
    ErrorBytes,
    /// An error response takes too long to be kept during a retry.
    ErrorTime,
}

impl CutReason {
    /// Returns the name that log lines and metrics use.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Malformed => "malformed",
            Self::HeadBytes => "head_bytes",
            Self::HeadTime => "head_time",
            Self::InterimCount => "interim_count",
            Self::InterimBytes => "interim_bytes",
            Self::OtherCount => "other_count",
            Self::OtherBytes => "other_bytes",
            Self::SkipTime => "skip_time",
            Self::EventBytes => "event_bytes",
            Self::RepeatedBytes => "repeated_bytes",
            Self::Memory => "memory",
            Self::RefusalBytes => "refusal_bytes",
            Self::RefusalTime => "refusal_time",
            Self::ErrorBytes => "error_bytes",
            Self::ErrorTime => "error_time",
        }
    }
}

impl CutReason {
    /// Returns a description for the log.
    pub const fn description(self) -> &'static str {
        match self {
            Self::Malformed => "what came is no answer",
            Self::HeadBytes => "answer's head is too long",
            Self::HeadTime => "answer's head takes too long",
            Self::InterimCount | Self::InterimBytes => "interim responses don't end",
            Self::OtherCount | Self::OtherBytes => "answers to other requests don't end",
            Self::SkipTime => "other responses take too long",
            Self::EventBytes => "an event is too long",
            Self::RepeatedBytes => "the stream repeats too much",
            Self::Memory => "unfinished answers use too much memory, this one the most",
            Self::RefusalBytes | Self::RefusalTime => "the refusal's body doesn't end",
            Self::ErrorBytes | Self::ErrorTime => "the error's body doesn't end",
        }
    }

    /// Returns the code of the error that a caller sees where the request isn't sent again.
    pub const fn code(self) -> Code {
        match self {
            Self::Malformed => Code::UpstreamFailed,
            _ => Code::ResponseOverLimit,
        }
    }
}

/// Responses that were skipped.
#[derive(Debug, Clone, Copy, Default)]
struct Skipped {
    count: u32,
    bytes: usize,
}

/// What was skipped before one answer.
#[derive(Debug, Clone, Default)]
pub struct SkipLimits {
    interim: Skipped,
    others: Skipped,
    /// Time in which skipped responses were received, without the silence between them.
    spent: Duration,
}

impl SkipLimits {
    /// Records an interim response.
    ///
    /// # Errors
    /// If a bound is exceeded.
    pub const fn record_interim(&mut self, bytes: usize) -> Result<(), CutReason> {
        self.interim.count += 1;
        self.interim.bytes = self.interim.bytes.saturating_add(bytes);
        if self.interim.count > MAX_INTERIM.count {
            return Err(CutReason::InterimCount);
        }
        if self.interim.bytes > MAX_INTERIM.bytes {
            return Err(CutReason::InterimBytes);
        }
        Ok(())
    }

    /// Records the head of a response to another attempt.
    ///
    /// # Errors
    /// If a bound is exceeded.
    pub const fn record_other(&mut self, head_bytes: usize) -> Result<(), CutReason> {
        self.others.count += 1;
        if self.others.count > MAX_OTHERS.count {
            return Err(CutReason::OtherCount);
        }
        self.record_other_body(head_bytes)
    }

    /// Records bytes of the body of a response to another attempt.
    ///
    /// # Errors
    /// If a bound is exceeded.
    pub const fn record_other_body(&mut self, bytes: usize) -> Result<(), CutReason> {
        self.others.bytes = self.others.bytes.saturating_add(bytes);
        if self.others.bytes > MAX_OTHERS.bytes {
            return Err(CutReason::OtherBytes);
        }
        Ok(())
    }

    /// Returns how many bytes of responses to other attempts may still come.
    pub const fn other_bytes_left(&self) -> usize {
        MAX_OTHERS.bytes.saturating_sub(self.others.bytes)
    }

    /// Records the time in which a skipped response was received.
    ///
    /// # Errors
    /// If a bound is exceeded.
    pub fn record_time(&mut self, begun: Instant, now: Instant) -> Result<(), CutReason> {
        self.spent += now.saturating_duration_since(begun);
        if self.spent > MAX_SKIP_TIME {
            return Err(CutReason::SkipTime);
        }
        Ok(())
    }

    /// Forgets the time in which skipped responses were received.
    pub const fn reset_time(&mut self) {
        self.spent = Duration::ZERO;
    }

    /// Returns the time for which skipped responses may still be received.
    pub const fn time_left(&self) -> Duration {
        MAX_SKIP_TIME.saturating_sub(self.spent)
    }
}
