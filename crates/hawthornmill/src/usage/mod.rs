//! One record for each finished request.
//!
//! A record's id is the entry's incarnation and a sequence number without gaps, so that a reader
//! can drop duplicates and tell which records are missing. Records go out as JSON lines; the
//! instances keep none.

use serde::{Deserialize, Serialize};

/// What became of one request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct UsageRecord {
    /// Entry instance by name.
    pub entry: Box<str>,
    /// Process run of the entry.
    pub incarnation: u64,
    /// Number of the record within that run, from 1, without gaps.
    pub seq: u64,
    /// Wall-clock milliseconds since the Unix epoch at the end of the request.
    pub at_ms: u64,
    /// Request id, as callers and servers see it.
    pub request: Box<str>,
    /// Client account by name.
    pub account: Box<str>,
    /// Service by name.
    pub service: Box<str>,
    /// Backend server by name; empty where none was used.
    pub server: Box<str>,
    /// Owner that granted the slot, by name; empty where none did.
    pub owner: Box<str>,
    /// Share of the account on that server.
    pub share: f64,
    /// Cost in the service's unit.
    pub cost: f64,
    /// Milliseconds from arrival to the first byte towards the server.
    pub waited_ms: f64,
    /// Milliseconds that the slot was held.
    pub held_ms: f64,
    /// `ran`, `not_run` or `unknown`.
    pub outcome: Box<str>,
    /// Numbered code; 0 for a whole answer.
    pub code: u16,
    /// Why it waited: `none`, `slots`, `owner_change` or `view`.
    pub reason: Box<str>,
}
