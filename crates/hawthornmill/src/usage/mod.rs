//! Usage records and their evaluation.
//!
//! An entry writes one record for each attempt that held a slot and for each admitted call that it
//! rejected. A record is identified by the entry's incarnation and a sequence number without gaps,
//! so that a reader can remove duplicates and detect missing records. Since a killed process writes
//! nothing more, periodic checkpoints contain the last sequence number and the calls in flight.
//! Records and checkpoints are written as JSON lines and not stored. [`wait_reason`] determines why
//! a call waited, and [`explain`] compares the service that accounts received with their
//! entitlements.

pub mod explain;
pub mod wait_reason;

use serde::{Deserialize, Serialize};

pub use wait_reason::{Reason, WaitTracker};

/// The result of one attempt or rejected call.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct UsageRecord {
    /// Entry instance by name.
    pub entry: Box<str>,
    /// Process run of the entry.
    pub incarnation: u64,
    /// Sequence number of the record within that run, from 1, without gaps.
    pub seq: u64,
    /// Wall-clock milliseconds since the Unix epoch at the end of the request.
    pub at_ms: u64,
    /// Request id, as sent to clients and servers.
    pub request: Box<str>,
    /// Client account by name.
    pub account: Box<str>,
    /// Service by name.
    pub service: Box<str>,
    /// Backend server by name; empty if none was used.
    pub server: Box<str>,
    /// Owner that granted the slot, by name; empty if there was no grant.
    pub owner: Box<str>,
    /// Share of the account on that server, or on any server that it may use if none was used.
    pub share: f64,
    /// Cost expected for the call, in the service's unit.
    pub estimate: f64,
    /// Cost in the service's unit.
    pub cost: f64,
    /// Whether `cost` is the estimate because the server reported none.
    pub estimated: bool,
    /// Milliseconds from arrival until the first byte was sent to the server.
    pub waited_ms: f64,
    /// Milliseconds that the slot was held.
    pub held_ms: f64,
    /// `ran`, `not_run` or `unknown`.
    pub outcome: Box<str>,
    /// Numbered code; 0 for a complete response.
    pub code: u16,
    /// Why the call waited or was rejected.
    pub reason: Reason,
}

/// Calls of one account that hold slots when a checkpoint is written.
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

/// Progress of one process run, written periodically and at its end.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct UsageCheckpoint {
    /// Entry instance by name.
    pub entry: Box<str>,
    /// Process run of the entry.
    pub incarnation: u64,
    /// Sequence number of the last record; 0 if there is none.
    pub seq: u64,
    /// Wall-clock milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Calls that have no record yet.
    pub open: Vec<OpenCalls>,
    /// Whether the process shuts down and writes no more records.
    pub end: bool,
}

/// A usage line of a router's log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum UsageLine {
    /// One record.
    Usage {
        /// The record.
        usage: UsageRecord,
    },
    /// One checkpoint.
    #[serde(rename = "usage_mark")]
    Checkpoint {
        /// The checkpoint.
        #[serde(rename = "mark")]
        checkpoint: UsageCheckpoint,
    },
}
