//! Fixtures for the tests of hawthornmill.
//!
//! [`fleet`] builds configuration texts, [`simulation`] drives the decisions of several instances in a
//! fixed order with a clock of its own, and [`procs`] starts real router processes around stand-ins.

pub mod fleet;
pub mod gossip;
pub mod procs;
pub mod simulation;
pub mod workload;
