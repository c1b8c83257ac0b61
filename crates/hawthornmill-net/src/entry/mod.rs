//! What callers see.
//!
//! [`routes`] lists the calls. [`admit`] checks a request before it costs anything, [`call`] takes
//! it through queue, slot and server, [`stream`] passes the answer on as it comes, [`record`]
//! charges it and writes its usage record, [`home`] keeps calls that must not repeat, and
//! [`problem`] writes every refusal.

pub mod addresses;
pub mod admit;
pub mod body;
pub mod call;
pub mod home;
pub mod keyed;
pub mod problem;
pub mod record;
pub mod relay;
mod retries;
pub mod routes;
pub mod status;
pub mod stream;
