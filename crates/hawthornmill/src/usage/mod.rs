//! Usage records, and what can be worked out from them afterwards.
//!
//! An entry writes one record for each attempt that held a slot and for each admitted call that it
//! refused. A record's id is the entry's incarnation and a sequence number without gaps, so that a
//! reader can drop duplicates and tell which records are missing. A mark tells from time to time
//! how far the numbers went and which calls are in flight, because a killed process can't. Records
//! and marks go out as JSON lines; the instances keep none. [`wait_reason`] finds out why a call
//! waited, and [`explain`] divides what was served.

pub mod explain;
pub mod wait_reason;

use serde::{Deserialize, Serialize};

pub use wait_reason::{Reason, WaitTracker};

/// What became of one attempt or refused call.
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
    /// Share of the account on that server, or on one that is open to it where none was used.
    pub share: f64,
    /// Cost that was expected of the call, in the service's unit.
    pub estimate: f64,
    /// Cost in the service's unit.
    pub cost: f64,
    /// The server reported no cost, so the estimate stands in for it.
    pub estimated: bool,
    /// Milliseconds from arrival to the first byte towards the server.
    pub waited_ms: f64,
    /// Milliseconds that the slot was held.
    pub held_ms: f64,
    /// `ran`, `not_run` or `unknown`.
    pub outcome: Box<str>,
    /// Numbered code; 0 for a whole answer.
    pub code: u16,
    /// Why it waited or was refused.
    pub reason: Reason,
}

/// Calls of one account that hold slots when a mark is written.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct OpenCalls {
    /// Service by name.
    pub service: Box<str>,
    /// Client account by name.
    pub account: Box<str>,
    /// Number of calls.
    pub calls: u64,
    /// Sum of their estimates, in the service's unit.
    pub estimate: f64,
}

/// How far the numbers of one process run went.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct UsageCheckpoint {
    /// Entry instance by name.
    pub entry: Box<str>,
    /// Process run of the entry.
    pub incarnation: u64,
    /// Number of the last record; 0 where there is none.
    pub seq: u64,
    /// Wall-clock milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Calls that have no record yet.
    pub open: Vec<OpenCalls>,
    /// The process ends in good order and writes no more records.
    pub end: bool,
}

/// A line of a router's log that is about usage.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum UsageLine {
    /// One record.
    Usage {
        /// The record.
        usage: UsageRecord,
    },
    /// One mark.
    #[serde(rename = "usage_mark")]
    Checkpoint {
        /// The mark.
        #[serde(rename = "mark")]
        checkpoint: UsageCheckpoint,
    },
}
