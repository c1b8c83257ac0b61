//! Decisions of the hawthornmill router fleet, free of input and output.
//!
//! Every instance runs the same daemon. Its whole state is one [`blackboard::Blackboard`]: the
//! accepted configuration, the members, the queues of waiting requests, the
//! pools that this instance owns, the fairness ledger, and the messages that wait to be sent.
//! Controllers are plain functions that read and write the board and take `now` as an argument, so
//! a decision can be driven in microseconds, in a fixed order, without a socket.
//!
//! | module | owns |
//! |---|---|
//! | [`config`] | fleet configuration: parsing, acceptance, who may use which backend server |
//! | [`fairness`] | normalised service per client account, charged and exchanged |
//! | [`pools`] | owners of pools, slots, grants, and the queues at the entry |
//! | [`limits`] | bounds on what waits, retry budgets, when to come back |
//! | [`membership`] | who is live, leaving or dead, and who owns or relays what |
//! | [`keys`] | at-most-once calls: key prefixes and the table of a home |
//! | [`events`] | events that operators should read in the log |
//! | [`routing`] | the gateway: routes, registered servers, placement, letting in |
//! | [`usage`] | one record for each finished request |
//! | [`wire`] | typed messages between instances and their authenticated frames |

pub mod blackboard;
pub mod clock;
pub mod codes;
pub mod config;
pub mod events;
pub mod fairness;
pub mod ident;
pub mod ini;
pub mod keys;
pub mod labels;
pub mod limits;
pub mod membership;
pub mod pools;
pub mod response;
pub mod routing;
pub mod usage;
pub mod wire;
