//! Encoding of heads and chunks.

use std::io::Write as _;

use super::head::{Framing, Header, Headers};

/// Headers that apply to a single connection and must not be forwarded.
const HOP_BY_HOP: &[&str] = &[
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
];

/// Capacity above which a buffer is replaced rather than kept for the next part of a message.
const MAX_KEPT_BYTES: usize = 16 << 10;

/// Longest part of a body that is copied behind what precedes it, so that one write sends both.
pub const MAX_COPIED_BYTES: usize = 4 << 10;

/// Buffer in which a message is encoded.
#[derive(Debug, Default)]
pub struct MessageBuffer(pub Vec<u8>);

impl MessageBuffer {
    /// Empties the buffer, and releases its memory if it is large.
    pub fn clear(&mut self) {
        if self.0.capacity() > MAX_KEPT_BYTES {
            self.0 = Vec::new();
        }
        self.0.clear();
    }

    /// Starts a request with its request line.
    pub fn request(method: &str, target: &str) -> Self {
        let mut bytes = Self(Vec::with_capacity(1024));
        bytes.push_all(&[method, " ", target, " HTTP/1.1\r\n"]);
        bytes
    }

    /// Starts a response with its status line.
    pub fn response(status: u16, reason: &str) -> Self {
        let mut bytes = Self(Vec::with_capacity(1024));
        let mut number = [0_u8; 3];
        for (digit, unit) in number.iter_mut().zip([100, 10, 1]) {
            *digit = b'0' + (status / unit % 10) as u8;
        }
        bytes.push_all(&["HTTP/1.1 "]);
        bytes.0.extend(number);
        bytes.push_all(&[" ", reason, "\r\n"]);
        bytes
    }

    fn push_all(&mut self, parts: &[&str]) {
        for part in parts {
            self.0.extend_from_slice(part.as_bytes());
        }
    }

    /// Adds a header.
    pub fn header(&mut self, name: &str, value: impl AsRef<[u8]>) {
        self.push_all(&[name, ": "]);
        self.0.extend_from_slice(value.as_ref());
        self.0.extend_from_slice(b"\r\n");
    }

    /// Adds the headers to forward: neither hop-by-hop, nor `Content-Length`, nor named in `excluded`.
    pub fn forwarded_headers(&mut self, headers: &Headers, excluded: &[&str]) {
        for header in headers
            .iter()
            .filter(|h| is_forwarded(headers, h, excluded))
        {
            self.header(&header.name, &header.value);
        }
    }

    /// Adds the header that delimits the body.
    pub fn framing_header(&mut self, framing: Framing) {
        match framing {
            Framing::Empty => {}
            Framing::Length(bytes) => self.header("Content-Length", bytes.to_string()),
            // A body delimited by the close of its connection is forwarded in chunks, so that the client
            // can tell its end from a failure.
            Framing::Chunked | Framing::UntilClose => self.header("Transfer-Encoding", "chunked"),
        }
    }

    /// Ends the head.
    pub fn end_head(&mut self) {
        self.0.extend_from_slice(b"\r\n");
    }

    /// Begins a chunk of `bytes`, which are not added; returns what ends it.
    pub fn begin_chunk(&mut self, bytes: usize) -> &'static [u8] {
        // Writing to a `Vec` cannot fail.
        let _written = write!(self.0, "{bytes:x}\r\n");
        b"\r\n"
    }

    /// Adds a chunk, or nothing if `data` is empty, since an empty chunk would end the body.
    pub fn chunk(&mut self, data: &[u8]) {
        if data.is_empty() {
            return;
        }
        let end = self.begin_chunk(data.len());
        self.0.extend_from_slice(data);
        self.0.extend_from_slice(end);
    }

    /// Ends a chunked body.
    pub fn last_chunk(&mut self) {
        self.0.extend_from_slice(b"0\r\n\r\n");
    }
}

fn is_forwarded(all: &Headers, header: &Header, excluded: &[&str]) -> bool {
    let name = &*header.name;
    let listed = |list: &[&str]| list.iter().any(|n| n.eq_ignore_ascii_case(name));
    let framing = name.eq_ignore_ascii_case("content-length");
    !framing && !listed(HOP_BY_HOP) && !listed(excluded) && !all.has_token("connection", name)
}
