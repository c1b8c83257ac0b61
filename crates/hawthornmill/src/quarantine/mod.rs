//! Requests under which backend servers end.
//!
//! Load pattern: a request, or a part that many requests share, ends each server that runs it. Its caller repeats it, each
//! repeat goes to another server, as after any failure, and so one caller ends server after server.
//!
//! | module | owns |
//! |---|---|
//! | [`fingerprint`] | what makes two requests the same |

pub mod fingerprint;
