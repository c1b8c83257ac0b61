//! Divides what was served, from usage records.
//!
//! [`log`] gathers lines and finds out what is missing, [`shares`] divides each step of time,
//! [`words`] says why an account received more or less than it was owed. Nothing here reads files.

pub mod log;
pub mod shares;
pub mod words;

pub use log::{Log, Missing};
pub use shares::{Interval, Line, Part, divide};
