//! Fair shares by normalised service.
//!
//! A call's cost divided by its account's share on the server that ran it is *normalised service*.
//! Every owner of a pool charges the calls that it grants and exchanges cumulative counters with
//! the other owners ([`ledger`]), so the next slot goes to the account that has received the least
//! over the whole fleet, whichever instances its callers use. An instance that starts asks a peer for
//! the counters ([`counter_sync`]).

pub mod counter_sync;
pub mod ledger;

pub use ledger::{CostKey, Ledger};
