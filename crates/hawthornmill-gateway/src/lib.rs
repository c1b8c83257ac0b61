//! The gateway: plain HTTP in, registered backend servers behind, answers unchanged.
//!
//! A process has one thread. Every task borrows the shared [`gateway::Gateway`] for the length of a
//! call. Decisions are those of [`hawthornmill::routing`]; what the wire looks like comes from an
//! adapter as a [`adapter::Adapter`].
//!
//! | module | owns |
//! |---|---|
//! | [`door`] | taking new connections of callers, or turning them away |
//! | [`serve`] | connections of callers |
//! | [`trip`] | one request: admit, wait, send, deliver, settle |
//! | [`pool`] | connections to servers |
//! | [`store`] | following the platform's store |
//! | [`datagrams`], [`gossip`] | datagrams, and the news in them |
//! | [`catching_up`], [`awaited`] | getting from other instances what they know and this one does not |
//! | [`side`] | state, directory, metrics |
//! | [`event_log`], [`metrics`] | the log and the counters |
//! | [`http`] | heads and bodies |
//! | [`settings`], [`daemon`] | the process |

pub mod adapter;
pub mod awaited;
pub mod catching_up;
pub mod daemon;
pub mod datagrams;
pub mod door;
pub mod event_log;
pub mod gateway;
pub mod gossip;
pub mod http;
pub mod metrics;
pub mod pool;
pub mod serve;
pub mod settings;
pub mod side;
pub mod store;
pub mod trip;
