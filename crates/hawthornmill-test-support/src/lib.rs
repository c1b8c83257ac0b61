//! Fixtures for the tests of hawthornmill.
//!
//! [`fleet`] builds fleet configurations. [`simulation`] runs several instances in a deterministic
//! order and in simulated time, [`workload`] generates their calls, and [`procs`] starts real
//! router processes with stand-ins for the other systems.

pub mod fleet;
pub mod gossip;
pub mod procs;
pub mod simulation;
pub mod workload;
