//! Compares the service that accounts received with their entitlements, from usage records.
//!
//! [`log`] collects lines and detects missing records, [`intervals`] computes received service
//! and entitlements per interval, [`summary`] describes why they differ. Nothing here reads files.

pub mod intervals;
pub mod log;
pub mod summary;

pub use intervals::{AccountLine, AccountUsage, Interval, usage_per_interval};
pub use log::{MissingRecords, UsageLog};
