//! Event streams as scripted servers send them.

use hawthornmill_gateway::http::head::RequestHead;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use super::scripted_server::Behavior;

/// Line of a head that tells that the body is sent in chunks.
pub const CHUNKED: &str = "Transfer-Encoding: chunked\r\n";

/// How a server delimits the body of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamFraming {
    /// Chunks.
    Chunked,
    /// A length.
    Length,
    /// Neither: the body ends with its connection.
    UntilClose,
}

/// How a server ends a stream after the bytes that it sends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamEnd {
    /// With a last chunk, where there are chunks, and by closing the connection in order.
    Regular,
    /// By closing the connection in order, without a last chunk.
    Close,
    /// By resetting the connection.
    Reset,
}

/// A stream of which a part is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PartialStream {
    /// How the body is delimited.
    pub framing: StreamFraming,
    /// Events of the whole stream.
    pub count: u64,
    /// Bytes of it that are sent; all if there are fewer.
    pub bytes: usize,
    /// How it ends after them.
    pub end: StreamEnd,
}

/// Returns the events with these ids as a server sends them.
pub fn events(first: u64, last: u64) -> String {
    marked_events(first, last, "")
}

/// Returns the events with these ids as a server sends them that ends the data of each with `mark`.
pub fn marked_events(first: u64, last: u64, mark: &str) -> String {
    let event = |n| format!("id: {n}\ndata: piece {n}{mark}\n\n");
    (first..=last).map(event).collect::<Vec<_>>().concat()
}

/// Returns the head of a stream; `framing` is the line that tells how its body is delimited, or nothing.
pub fn stream_head(head: &RequestHead, server: &str, framing: &str) -> String {
    let id = head.headers.get_str("attempt-id").unwrap_or_default();
    format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Stamp: {server}\r\n\
         Content-Type: text/event-stream\r\n{framing}\r\n"
    )
}

/// Returns the number after which a request wants the events of its stream.
pub fn last_event_id(head: &RequestHead) -> u64 {
    let text = head.headers.get_str("last-event-id");
    text.and_then(|t| t.parse().ok()).unwrap_or(0)
}

/// Sends a part of a stream; the caller closes the connection.
pub async fn send_part(
    stream: &mut TcpStream,
    head: &RequestHead,
    server: &str,
    mark: &str,
    part: PartialStream,
) {
    let whole = marked_events(last_event_id(head) + 1, part.count, mark);
    let body = &whole[..part.bytes.min(whole.len())];
    let (framing, body): (Box<str>, String) = match part.framing {
        StreamFraming::Chunked if body.is_empty() => (CHUNKED.into(), String::new()),
        StreamFraming::Chunked => (CHUNKED.into(), format!("{:x}\r\n{body}\r\n", body.len())),
        StreamFraming::Length => {
            let line = format!("Content-Length: {}\r\n", whole.len());
            (line.into(), body.into())
        }
        StreamFraming::UntilClose => ("".into(), body.into()),
    };
    let is_chunked = part.framing == StreamFraming::Chunked;
    let last = if is_chunked && part.end == StreamEnd::Regular {
        "0\r\n\r\n"
    } else {
        ""
    };
    let text = stream_head(head, server, &framing) + &body + last;
    // The gateway may have closed the connection by now.
    let _written = stream.write_all(text.as_bytes()).await;
    if part.end == StreamEnd::Reset {
        let _set = stream.set_zero_linger();
    }
}

/// Returns the last header fields and the body after which a server closes its connection.
pub fn fields_and_body(behavior: &Behavior) -> String {
    match behavior {
        Behavior::NoLength => "\r\nwhole without a length".into(),
        Behavior::ResetWithoutLength => "\r\nhalf".into(),
        Behavior::TruncatedBody => "Content-Length: 100\r\n\r\nhalf".into(),
        Behavior::TruncatedAfter(bytes) => {
            let body = "x".repeat(*bytes);
            format!("Content-Length: {}\r\n\r\n{body}", bytes * 2)
        }
        Behavior::StreamWithoutIds(count) => {
            let events = "data: piece\n\n".repeat(*count as usize);
            format!("Content-Type: text/event-stream\r\n\r\n{events}data: ha")
        }
        _ => String::new(),
    }
}
