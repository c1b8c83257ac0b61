//! The fleet configuration that the platform publishes.
//!
//! Operators write `[domain]`, `[account]`, `[service]`, `[server]` and `[grant]` sections in INI
//! values that the platform serves under one revision. [`accept::accept`] takes all values of a
//! revision together or refuses them together; its verdict depends on nothing but the values and
//! the revision in force, so it is the same on every instance.

pub mod accept;
pub mod compare;
pub mod entitlement;
pub mod model;
pub mod names;
pub mod parse;
pub mod revisions;

pub use accept::{Manifest, ValueRef, accept};
pub use model::{
    Account, BackendServer, Completion, CostKind, FleetConfig, ResponseRules, RetryPolicy, Service,
};
