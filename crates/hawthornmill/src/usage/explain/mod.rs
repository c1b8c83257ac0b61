//! Divides what was served, from usage records.
//!
//! [`log`] gathers lines and finds out what is missing, [`mod@intervals`] divides each step of time,
//! [`summary`] says why an account received more or less than it was owed. Nothing here reads files.

pub mod intervals;
pub mod log;
pub mod summary;

pub use intervals::{AccountLine, AccountUsage, Interval, intervals};
pub use log::{MissingRecords, UsageLog};
