//! The gateway: receives HTTP requests of clients and forwards them to registered backend servers.
//!
//! Responses are passed on unchanged. The process has one thread, and every task borrows the shared
//! [`gateway::Gateway`] for the length of a call. [`hawthornmill::routing`] selects the server of each
//! request; a platform's header names and encodings come from its [`adapter::Adapter`].
//!
//! | module | contents |
//! |---|---|
//! | [`listener`] | accepts or rejects new connections of clients |
//! | [`connection`] | connections of clients |
//! | [`proxy`] | one request: admission, queueing, forwarding, the response |
//! | [`pool`] | connections to backend servers |
//! | [`server_crashes`] | servers that crashed while they ran requests |
//! | [`server_runs`] | which run of a server listens at its address |
//! | [`store_call`], [`store_watch`], [`single_flight`] | calls and watches of the platform's store |
//! | [`stream_versions`], [`history_reader`] | at which version of servers streams began |
//! | [`datagrams`], [`gossip`] | messages between instances over UDP |
//! | [`state_sync`], [`pending_state`] | pulls catalogs and registrations from other instances |
//! | [`server_speeds`] | how long work takes at each server, as instances tell each other |
//! | [`endpoints`] | readiness, directory, metrics |
//! | [`relay`] | what relays of a large fleet pass on |
//! | [`event_log`], [`metrics`] | the event log, and the counters |
//! | [`http`] | parsing and writing HTTP messages |
//! | [`adapter`] | the interface to the platform |
//! | [`gateway`] | the shared state |
//! | [`settings`], [`daemon`] | settings and the process |

pub mod adapter;
pub mod connection;
pub mod daemon;
pub mod datagrams;
pub mod endpoints;
pub mod event_log;
pub mod gateway;
pub mod gossip;
pub mod history_reader;
pub mod http;
pub mod lifecycle;
pub mod line_limit;
pub mod listener;
pub mod metrics;
pub mod pending_state;
pub mod pool;
pub mod proxy;
pub mod relay;
pub mod server_crashes;
pub mod server_runs;
pub mod server_speeds;
pub mod settings;
pub mod single_flight;
pub mod state_sync;
pub mod store_call;
pub mod store_view;
pub mod store_watch;
pub mod stream_versions;
