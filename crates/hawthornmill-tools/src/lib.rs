//! Operators' tools: one module for each operation.

pub mod check;
pub mod explain;
pub mod request;
