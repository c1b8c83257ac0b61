//! Requests under which backend servers crash.
//!
//! Load pattern: a request, or a part of a prompt that many requests hold, crashes each server that runs it. Its client repeats it under new attempt ids at any instance,
//! each repeat goes to another server, as after any failure, and so one client crashes server after server. No instance sees
//! more than a few of these crashes, so instances tell each other what servers ran when they crashed, and what was answered
//! since. Each of them then finds the same cause, and refuses it before it reaches another server.
//!
//! | module | owns |
//! |---|---|
//! | [`fingerprint`] | what makes two requests the same |
//! | [`evidence`] | which servers crashed, what they ran, and what explains it |
//! | [`table`] | which requests are held or refused |
//! | [`report`] | what instances tell each other of it |

pub mod evidence;
pub mod fingerprint;
pub mod report;
pub mod table;
