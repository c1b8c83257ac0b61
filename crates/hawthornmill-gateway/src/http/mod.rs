//! HTTP/1.1 parsing and encoding, for client and server connections.
//!
//! `httparse` parses the heads. The rest is implemented here because a proxy needs details that HTTP
//! libraries hide: whether any byte of a request was sent before its connection failed, bytes that
//! follow a complete response, a response that belongs to an earlier request, and a client that
//! disconnects before its response is ready.

pub mod blocks;
pub mod body;
pub mod head;
pub mod write;
