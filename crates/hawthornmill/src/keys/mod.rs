//! At-most-once calls.
//!
//! Discovery issues an idempotency key *prefix* that is bound to one process run of one instance,
//! the home of its keys. Clients make keys `<prefix>.<suffix>`; every instance forwards a call to
//! the home of its key, and only the home may run it, once. [`prefix`] issues and verifies
//! prefixes, [`table`] holds the state of the home's keys. This needs no shared store and no clock
//! but the home's own.

pub mod prefix;
pub mod table;

pub use prefix::{KeyError, KeyPrefix};
pub use table::{ClaimResult, KeyTable, KeyUse, StoredResponse};
