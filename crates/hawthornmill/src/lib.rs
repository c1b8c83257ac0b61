//! Decision logic of the hawthornmill router fleet, without I/O.
//!
//! Every instance runs the same daemon. Its state is one [`blackboard::Blackboard`]: the accepted
//! configuration, the members, the queues of waiting requests, the pools that this instance owns,
//! the fairness ledger, and the outgoing messages. Controllers are plain functions that read and
//! update the board and take `now` as an argument, so tests run them in a fixed order, without
//! sockets and without waiting.
//!
//! | module | owns |
//! |---|---|
//! | [`config`] | fleet configuration: parsing, validation, which account may use which backend server |
//! | [`fairness`] | normalised service per client account, charged and exchanged |
//! | [`pools`] | owners of pools, slots, grants, and the queues at the entry |
//! | [`limits`] | queue bounds, retry budgets, retry delays |
//! | [`membership`] | who is live, leaving or dead, and who owns or relays what |
//! | [`keys`] | at-most-once calls: idempotency keys and the table of their home instance |
//! | [`events`] | events that operators should read in the log |
//! | [`event_stream`], [`response`] | whether a server's response is complete |
//! | [`quarantine`] | requests under which backend servers end |
//! | [`routing`] | the gateway: routes, registered servers, placement, admission |
//! | [`usage`] | one record for each finished request |
//! | [`wire`] | typed messages between instances and their authenticated frames |

pub mod blackboard;
pub mod clock;
pub mod codes;
pub mod config;
pub mod event_stream;
pub mod events;
pub mod fairness;
pub mod ident;
pub mod ini;
pub mod keys;
pub mod labels;
pub mod limits;
pub mod membership;
pub mod pools;
pub mod quarantine;
pub mod response;
pub mod routing;
pub mod usage;
pub mod wire;
