//! Sockets, HTTP and telemetry around the decisions of [`hawthornmill`].
//!
//! One [`fleet::Fleet`] per process holds the board behind a lock. Adapters take the lock for
//! microseconds, feed an event, run a turn, and hand out what the turn left: requests that may go
//! to a server, refusals, messages for peers.
//!
//! | module | speaks with |
//! |---|---|
//! | [`api`] | callers, over HTTP |
//! | [`upstream`] | backend servers, over HTTP |
//! | [`peers`] | other instances, over UDP and TCP |
//! | [`platform`] | the platform's configuration service and instance list |
//! | [`telemetry`] | operators: logs, spans, metrics, usage records |
//! | [`settings`], [`sockets`], [`connections`] | the process's own files and ports |
//! | [`daemon`] | nobody: it joins the others into one process |

pub mod api;
pub mod connections;
pub mod daemon;
pub mod fleet;
pub mod peers;
pub mod platform;
pub mod settings;
pub mod sockets;
pub mod telemetry;
pub mod upstream;
