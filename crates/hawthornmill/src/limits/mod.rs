//! Limits on waiting requests, retries and new connections.
//!
//! | module | decides |
//! |---|---|
//! | [`backlog`] | how many requests of each account wait here |
//! | [`congestion`] | whether the instance's own network link is congested |
//! | [`load_shedding`] | how many new connections an overloaded process closes |
//! | [`queue_rate`] | how fast a queue is served, and when a refused caller should retry |
//! | [`request_memory`] | whether there is memory for a request, and which slow one gives way |
//! | [`retry`] | whether a failed call is retried, and after which delay |
//! | [`role_fitness`] | whether the process is fast enough to relay for others |
//! | [`sender_shares`] | whose new connections an overloaded process closes |
//! | [`timeout`] | how long to wait for a peer's response |

pub mod backlog;
pub mod congestion;
pub mod load_shedding;
pub mod queue_rate;
pub mod request_memory;
pub mod retry;
pub mod role_fitness;
pub mod sender_shares;
pub mod timeout;
