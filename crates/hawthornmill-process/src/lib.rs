//! What every daemon of hawthornmill does alike.
//!
//! | module | does |
//! |---|---|
//! | [`frames`] | frames with a length before them, on streams between instances |
//! | [`settings`] | reads a settings file and tells its faults |
//! | [`sockets`] | listens |
//! | [`incarnation`] | numbers the runs of a process |

pub mod frames;
pub mod incarnation;
pub mod settings;
pub mod sockets;
