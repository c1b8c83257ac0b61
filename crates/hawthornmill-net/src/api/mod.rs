//! What callers see.
//!
//! [`routes`] lists the calls. [`admission`] checks a request before it costs anything, [`call`] takes
//! it through queue, slot and server, [`stream`] passes the answer on as it comes, [`accounting`]
//! charges it and writes its usage record, [`idempotency`] keeps calls that must not repeat, and
//! [`problem`] writes every refusal.

pub mod accounting;
pub mod addresses;
pub mod admission;
pub mod body;
pub mod call;
pub mod call_result;
pub mod idempotency;
pub mod key_store;
pub mod problem;
mod retries;
pub mod routes;
pub mod status;
pub mod stream;
