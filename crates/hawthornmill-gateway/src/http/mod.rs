//! HTTP/1.1 as both sides of the gateway need it.
//!
//! `httparse` reads the heads. The rest is done here, since a gateway must see what HTTP libraries
//! hide: whether a byte of a request was sent before its connection failed, bytes that follow a
//! complete answer, an answer that belongs to an earlier request, and a caller that closes while
//! its answer is being made.

pub mod body;
pub mod head;
pub mod write;
