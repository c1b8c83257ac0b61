//! Writing heads and chunks.

use std::io::Write as _;

use super::head::{Framing, Header, Headers};

/// Fields that concern one connection only.
const HOP: &[&str] = &[
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

/// Bytes under construction.
#[derive(Debug, Default)]
pub struct MessageBuffer(pub Vec<u8>);

impl MessageBuffer {
    /// Starts a request.
    pub fn request(method: &str, target: &str) -> Self {
        let mut bytes = Self(Vec::with_capacity(1024));
        bytes.text(&[method, " ", target, " HTTP/1.1\r\n"]);
        bytes
    }

    /// Starts an answer.
    pub fn response(status: u16, reason: &str) -> Self {
        let mut bytes = Self(Vec::with_capacity(1024));
        let mut number = [0_u8; 3];
        for (digit, unit) in number.iter_mut().zip([100, 10, 1]) {
            *digit = b'0' + (status / unit % 10) as u8;
        }
        bytes.text(&["HTTP/1.1 "]);
        bytes.0.extend(number);
        bytes.text(&[" ", reason, "\r\n"]);
        bytes
    }

    fn text(&mut self, words: &[&str]) {
        for word in words {
            self.0.extend_from_slice(word.as_bytes());
        }
    }

    /// Adds a field.
    pub fn header(&mut self, name: &str, value: impl AsRef<[u8]>) {
        self.text(&[name, ": "]);
        self.0.extend_from_slice(value.as_ref());
        self.0.extend_from_slice(b"\r\n");
    }

    /// Adds those of `fields` that go beyond one connection, but for the length and those in `not`.
    pub fn forwarded_headers(&mut self, fields: &Headers, not: &[&str]) {
        for field in fields.iter().filter(|f| goes_on(fields, f, not)) {
            self.header(&field.name, &field.value);
        }
    }

    /// Adds what says where the body ends.
    pub fn framing_header(&mut self, framing: Framing) {
        match framing {
            Framing::Empty => {}
            Framing::Length(bytes) => self.header("Content-Length", bytes.to_string()),
            // A body that ended with its connection goes on in chunks, so that its end shows.
            Framing::Chunked | Framing::UntilClose => self.header("Transfer-Encoding", "chunked"),
        }
    }

    /// Ends the head.
    pub fn end_head(&mut self) {
        self.0.extend_from_slice(b"\r\n");
    }

    /// Adds a chunk; none for no bytes, which would end the body.
    pub fn chunk(&mut self, data: &[u8]) {
        if data.is_empty() {
            return;
        }
        // Writing to memory can't fail.
        let _written = write!(self.0, "{:x}\r\n", data.len());
        self.0.extend_from_slice(data);
        self.0.extend_from_slice(b"\r\n");
    }

    /// Ends a body of chunks.
    pub fn last_chunk(&mut self) {
        self.0.extend_from_slice(b"0\r\n\r\n");
    }
}

fn goes_on(all: &Headers, field: &Header, not: &[&str]) -> bool {
    let name = &*field.name;
    let among = |list: &[&str]| list.iter().any(|n| n.eq_ignore_ascii_case(name));
    let framing = name.eq_ignore_ascii_case("content-length");
    !framing && !among(HOP) && !among(not) && !all.has_token("connection", name)
}
