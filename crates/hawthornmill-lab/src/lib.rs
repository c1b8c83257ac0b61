//! Stand-ins, load tool and demo.
//!
//! [`standin`] has small servers that take the place of the platform, the model engines and the
//! plain services, and a relay that breaks links. [`load`] calls a fleet as many client accounts do
//! and writes down what became of every call. [`demo`] puts both around real router processes and
//! measures what the accounts received. Every figure comes from the load tool or the stand-ins,
//! never from what a router says of itself.

pub mod demo;
pub mod history;
pub mod load;
pub mod standin;
