//! At-most-once calls.
//!
//! Discovery hands out a key *prefix* that is bound to one process run of one instance, the home.
//! Callers make keys `<prefix>.<suffix>`; any instance passes a call to the home of its key, and
//! only the home may run it, once. [`prefix`] makes and reads prefixes, [`table`] is the home's
//! memory. No clock but the home's own and no shared store is needed.

pub mod prefix;
pub mod table;

pub use prefix::{KeyError, KeyPrefix};
pub use table::{ClaimResult, KeyTable, KeyUse, StoredResponse};
