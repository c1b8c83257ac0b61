//! The fleet configuration that the platform publishes.
//!
//! Operators write `[domain]`, `[account]`, `[service]`, `[server]` and `[grant]` sections in INI
//! values that the platform serves under one revision. [`accept::accept`] accepts or rejects all
//! values of a revision together. The result depends only on the manifest and the values, so it is
//! the same on every instance.

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
