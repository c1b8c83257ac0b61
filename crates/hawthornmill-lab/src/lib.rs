//! Stand-ins, load tool and demo.
//!
//! [`standin`] has small servers that take the place of the platform, the model engines and the
//! plain services, and a relay that breaks links. [`load`] calls a fleet as many client accounts do
//! and writes down what became of every call. [`demo`] puts both around real router processes and
//! measures what the accounts received. [`overhead`] measures the time that a router adds to a call,
//! [`overload`] goodput and memory under overload, [`slopes`] what the decisions cost as a fleet grows.
//! [`program`] is what their programs share. Every figure comes from the load tool or the stand-ins,
//! never from what a router says of itself.

pub mod demo;
pub mod history;
pub mod load;
pub mod overhead;
pub mod overload;
pub mod program;
pub mod slopes;
pub mod standin;
