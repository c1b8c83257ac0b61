//! What the decisions cost as a fleet grows.

pub mod fixture;
