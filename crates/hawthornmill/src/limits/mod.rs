//! Bounds on what waits, and retries of calls that failed.
//!
//! | module | decides |
//! |---|---|
//! | [`backlog`] | how much of each account waits here, and who makes room |
//! | [`link`] | whether the own link is so full that times measured over it tell of the link |
//! | [`pace`] | how fast a queue is served here, so when a caller may come back |
//! | [`patience`] | how long a peer is given to answer a question |
//! | [`retry`] | whether a call that failed is tried again, and after which pause |
//! | [`strain`] | how far the process is behind, and which new connections it turns away for that |

pub mod backlog;
pub mod congestion;
pub mod load_shedding;
pub mod queue_rate;
pub mod retry;
pub mod timeout;
