//! Sockets, HTTP and telemetry around the decision logic of [`hawthornmill`].
//!
//! Each process has one [`fleet::Fleet`], which holds the blackboard behind a lock. Adapters hold
//! the lock for microseconds: they apply an event, run the controllers and pass on the results,
//! which are requests dispatched to a server, rejections, and messages for peers.
//!
//! | module | communicates with |
//! |---|---|
//! | [`api`] | callers, over HTTP |
//! | [`upstream`], [`server_connections`] | backend servers, over HTTP |
//! | [`peers`] | other instances, over UDP and TCP |
//! | [`platform`] | the platform's configuration service and instance list |
//! | [`quarantine`] | servers and peers: calls under which servers end |
//! | [`telemetry`] | operators: logs, spans, metrics, usage records |
//! | [`settings`], [`sockets`], [`connections`] | the local system: settings file and ports |
//! | [`daemon`] | none: it starts and stops the other modules |

pub mod api;
pub mod connections;
pub mod daemon;
mod event_check;
pub mod fleet;
pub mod peers;
pub mod platform;
pub mod quarantine;
pub mod server_connections;
pub mod settings;
pub mod sockets;
pub mod telemetry;
pub mod upstream;
