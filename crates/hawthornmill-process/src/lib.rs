//! Code shared by the daemons of hawthornmill.
//!
//! | module | purpose |
//! |---|---|
//! | [`frames`] | length-prefixed frames on streams between instances |
//! | [`settings`] | reads settings files and prints their errors |
//! | [`sockets`] | creates and binds TCP sockets |
//! | [`incarnation`] | identifies the runs of a process |

pub mod frames;
pub mod incarnation;
pub mod settings;
pub mod sockets;
