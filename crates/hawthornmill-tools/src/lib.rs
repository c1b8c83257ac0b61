//! Command-line tools for operators, one module each.

pub mod check;
pub mod explain;
pub mod request;
