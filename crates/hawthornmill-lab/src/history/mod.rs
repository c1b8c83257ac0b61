//! Concurrent runs under injected faults, recorded and checked.
//!
//! [`faults`] draws a schedule of kills, freezes and cuts from a seed, [`storm`] sends copies of the
//! same calls through several routers while the schedule runs, and [`mod@check`] judges what was
//! recorded against the promises to callers.

pub mod check;
pub mod faults;
pub mod storm;

pub use check::{Books, Violation, check};
