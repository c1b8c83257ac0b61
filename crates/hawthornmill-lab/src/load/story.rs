//! What became of one call.

use serde::{Deserialize, Serialize};

/// One copy of a call: each time that it is sent is one.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Copy {
    /// `account/number` of the call.
    pub tag: Box<str>,
    /// Key that it carried, where the service needs one.
    pub key: Option<Box<str>>,
    /// Entry that it was sent to.
    pub entry: Box<str>,
    /// Microseconds from the start of the run to the send.
    pub sent_us: u64,
    /// To the end of the answer.
    pub end_us: u64,
    /// Numbered code of a refusal; 0 where none came.
    pub code: u16,
    /// What the answer said of the call, or of its key; `whole` for an answer, `none` for nothing.
    pub outcome: Box<str>,
    /// What is known of this copy; `not_run` where no connection was made.
    pub attempt: Box<str>,
    /// Serial number that the answer names; 0 where it names none.
    pub serial: u64,
    /// The answer belongs to another call.
    pub crossed: bool,
}

/// One call from the caller's side, a line of the history.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Story {
    /// `account/number`, unique in a run; the server's books use it too.
    pub tag: Box<str>,
    /// Account by name.
    pub account: Box<str>,
    /// Service by name.
    pub service: Box<str>,
    /// Key, where the service needs one.
    pub key: Option<Box<str>>,
    /// Entry that gave the last answer.
    pub entry: Box<str>,
    /// Microseconds from the start of the run to the first send.
    pub sent_us: u64,
    /// To the first byte of the answer; 0 where none came.
    pub first_us: u64,
    /// To the end.
    pub end_us: u64,
    /// HTTP status of the last answer; 0 where none came.
    pub status: u16,
    /// Numbered code of a refusal.
    pub code: u16,
    /// What the refusal said of the request, `whole` for a whole answer, `none` where nothing came.
    pub outcome: Box<str>,
    /// What the refusal said of the last copy of the request.
    pub attempt: Box<str>,
    /// Milliseconds after which the refusal said to come back; 0 where it said nothing.
    pub retry_ms: u64,
    /// Times that the call was sent.
    pub tries: u32,
    /// The answer belongs to another call.
    pub crossed: bool,
    /// The answer ended as if it were whole, and was not.
    pub truncated: bool,
    /// Cost that a whole answer stands for.
    pub cost: f64,
    /// Request id of the last answer.
    pub request: Box<str>,
    /// Serial number that a plain service's run took; 0 where there was none.
    pub serial: u64,
    /// Key prefix that the last refusal brought.
    #[serde(default)]
    pub fresh: Option<Box<str>>,
    /// Every copy that was sent.
    #[serde(default)]
    pub copies: Vec<Copy>,
}

impl Story {
    /// Tells whether no copy can have reached a server, so that a new key is safe.
    pub fn harmless(&self) -> bool {
        self.copies.iter().all(|c| &*c.attempt == "not_run")
    }

    /// Tells whether the caller got its whole answer.
    pub fn whole(&self) -> bool {
        &*self.outcome == "whole" && !self.crossed && !self.truncated
    }
}
