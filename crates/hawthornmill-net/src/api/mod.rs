//! The HTTP API of an instance.
//!
//! [`routes`] lists the endpoints. [`admission`] validates a request before it uses any resources,
//! [`call`] takes it through queue, slot and server, [`stream`] forwards the response as it
//! arrives, [`accounting`] charges the call and writes its usage record, [`idempotency`] runs calls
//! of services without retries at most once per key, and [`problem`] writes every error response.

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
