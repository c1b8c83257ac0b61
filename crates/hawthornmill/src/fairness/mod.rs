//! Weighted fair sharing of capacity by normalised service.
//!
//! A call's cost divided by its account's share on the server that ran it is *normalised service*.
//! Every owner of a pool charges the calls that it grants and exchanges cumulative counters with
//! the other owners ([`ledger`]), so the next slot goes to the account that has received the least
//! service over the whole fleet, whichever instances its callers use. A starting instance requests
//! the counters from a peer ([`counter_sync`]).

pub mod counter_sync;
pub mod ledger;

pub use ledger::{CostKey, Ledger};
