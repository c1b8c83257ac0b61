//! The gateway: plain HTTP in, registered backend servers behind, answers unchanged.
//!
//! A process has one thread. Every task borrows the shared [`gateway::Gateway`] for the length of a
//! call. Decisions are those of [`hawthornmill::routing`]; what the wire looks like comes from an
//! adapter as a [`adapter::Adapter`].
//!
//! | module | owns |
//! |---|---|
//! | [`listener`] | taking new connections of callers, or turning them away |
//! | [`connection`] | connections of callers |
//! | [`trip`] | one request: admit, wait, send, deliver, settle |
//! | [`pool`] | connections to servers |
//! | [`store_watch`] | following the platform's store |
//! | [`datagrams`], [`gossip`] | datagrams, and the news in them |
//! | [`state_sync`], [`pending_state`] | getting from other instances what they know and this one does not |
//! | [`endpoints`] | state, directory, metrics |
//! | [`event_log`], [`metrics`] | the log and the counters |
//! | [`http`] | heads and bodies |
//! | [`settings`], [`daemon`] | the process |

pub mod adapter;
pub mod connection;
pub mod daemon;
pub mod datagrams;
pub mod endpoints;
pub mod event_log;
pub mod gateway;
pub mod gossip;
pub mod http;
pub mod listener;
pub mod metrics;
pub mod pending_state;
pub mod pool;
pub mod settings;
pub mod state_sync;
pub mod store_watch;
pub mod trip;
