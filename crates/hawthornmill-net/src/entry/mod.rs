//! What callers see.
//!
//! [`routes`] lists the calls. [`admit`] checks a request before it costs anything, [`call`] takes
//! it through queue, slot and server, [`stream`] passes the answer on as it
//! comes, [`relay`] settles it at its end, [`home`] keeps
//! calls that must not repeat, and [`problem`] writes every refusal.

pub mod addresses;
pub mod admit;
pub mod call;
pub mod home;
pub mod keyed;
pub mod problem;
pub mod relay;
pub mod routes;
pub mod status;
pub mod stream;
