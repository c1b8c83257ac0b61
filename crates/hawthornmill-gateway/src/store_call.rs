//! Calls of the platform's store.

use std::cell::Cell;
use std::io::ErrorKind;
use std::pin::pin;
use std::time::Duration;

use bytes::BytesMut;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::adapter::Page;
use crate::event_log;
use crate::gateway::Gateway;
use crate::http::body::{BodyDecoder, Decoded};
use crate::http::head::{self, Framing};
use crate::http::write::MessageBuffer;
use crate::pool::connect;
use crate::proxy::response_limits::MAX_HEAD_BYTES;

/// Time allowed for a call, in addition to the timeout of a watch.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(900);
/// Longest pause between two parts of a response that comes for longer than its call's time.
const MAX_READ_PAUSE: Duration = Duration::from_millis(300);
/// Longest time by which a response that keeps coming exceeds its call's time: the longest one, at a megabyte a second.
const MAX_READ_TIME: Duration = Duration::from_secs(4);
/// Bytes for which a read of a long body asks.
const READ_BYTES_RANGE: (u64, u64) = (4 << 10, 64 << 10);
/// Wait of a watch that asks only for the changes that there are; 0 might mean an endless one.
pub const SHORTEST_WAIT: Duration = Duration::from_millis(1);
/// Longest response: a megabyte of values in base64, and their keys.
const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// How a call of the store failed; the log shows the variant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreError {
    /// The store no longer keeps the requested changes.
    HistoryLost,
    /// The store answered with this error status.
    Refused(u16),
    /// The response is longer than the bound.
    TooLong,
    /// No response came, or one that could not be parsed.
    Silent,
}

/// A connection to the store, opened by the first call that needs one.
#[derive(Debug, Default)]
pub struct StoreConnection {
    stream: Option<TcpStream>,
}

impl StoreConnection {
    /// Returns the page at `path`, whose response begins within `timeout`.
    ///
    /// A response that says its length is read on for as long as its bytes keep coming, within a bound: a long one takes its time,
    /// which is no silence. One that doesn't may have no end.
    ///
    /// # Errors
    /// [`StoreError`] tells why there is none.
    pub async fn call(
        &mut self,
        gateway: &Gateway,
        path: &str,
        timeout: Duration,
    ) -> Result<Page, StoreError> {
        let read_at = Cell::new(None);
        let exchange = self.exchange(gateway, path, &read_at);
        let response = while_read(timeout, &read_at, exchange).await;
        let (outcome, result) = match response {
            Some(Ok((200, body))) => match (gateway.adapter.store.parse_page)(&body) {
                Ok(page) => {
                    note_skipped(gateway, page.skipped);
                    ("ok", Ok(page))
                }
                Err(why) => {
                    event_log::state_change("store_unreadable", json!({"why": why}));
                    ("unreadable", Err(StoreError::Silent))
                }
            },
            Some(Ok((410, _))) => ("history_lost", Err(StoreError::HistoryLost)),
            Some(Ok((status, _))) => ("refused", Err(StoreError::Refused(status))),
            Some(Err(error)) if error.kind() == ErrorKind::FileTooLarge => {
                ("too_long", Err(StoreError::TooLong))
            }
            Some(Err(_)) => ("broken", Err(StoreError::Silent)),
            None => ("silent", Err(StoreError::Silent)),
        };
        gateway.metrics.store_called(outcome);
        if matches!(result, Err(StoreError::Silent | StoreError::TooLong)) {
            self.stream = None;
        }
        result
    }

    async fn exchange(
        &mut self,
        gateway: &Gateway,
        path: &str,
        read_at: &Cell<Option<Instant>>,
    ) -> std::io::Result<(u16, Vec<u8>)> {
        let address = gateway.settings().store;
        let mut stream = match self.stream.take() {
            Some(stream) => stream,
            None => connect(address).await?,
        };
        let mut request = MessageBuffer::request("GET", path);
        request.header("Host", address.to_string());
        request.end_head();
        stream.write_all(&request.0).await?;
        let (status, body, reusable) = read_noting(&mut stream, MAX_RESPONSE_BYTES, || {
            read_at.set(Some(Instant::now()));
        })
        .await?;
        // Kept only after the response: a call that is cancelled drops its connection.
        self.stream = reusable.then_some(stream);
        Ok((status, body))
    }
}

/// Waits for `exchange` for `timeout`, and then while bytes were read at `read_at` just before; `None` if that ends first.
async fn while_read<T>(
    timeout: Duration,
    read_at: &Cell<Option<Instant>>,
    exchange: impl Future<Output = T>,
) -> Option<T> {
    let mut exchange = pin!(exchange);
    let mut end = Instant::now() + timeout;
    let last_end = end + MAX_READ_TIME;
    loop {
        if let Ok(response) = tokio::time::timeout_at(end, &mut exchange).await {
            return Some(response);
        }
        let next = (read_at.get()? + MAX_READ_PAUSE).min(last_end);
        if next <= end {
            return None;
        }
        end = next;
    }
}

fn note_skipped(gateway: &Gateway, count: usize) {
    if count == 0 {
        return;
    }
    gateway.metrics.registrations_unreadable(count as u64);
    if let Some(unlogged) = gateway.odd_entries.admit(gateway.now()) {
        let why = format!("{count} items are no entries");
        event_log::state_change(
            "store_unreadable",
            json!({"why": why, "unlogged": unlogged}),
        );
    }
}

/// Reads one response; returns its status, its body, and whether the connection can be used again.
///
/// # Errors
/// If the connection fails, or the response is malformed; [`ErrorKind::FileTooLarge`] if it is too long.
pub async fn read_response(stream: &mut TcpStream) -> std::io::Result<(u16, Vec<u8>, bool)> {
    read_response_within(stream, MAX_RESPONSE_BYTES).await
}

/// Does the same for a response whose body has at most `max_bytes`.
///
/// # Errors
/// As [`read_response`].
pub async fn read_response_within(
    stream: &mut TcpStream,
    max_bytes: usize,
) -> std::io::Result<(u16, Vec<u8>, bool)> {
    read_noting(stream, max_bytes, || ()).await
}

/// Does the same, and calls `on_read` after each read that brought bytes of a body whose length is known.
async fn read_noting(
    stream: &mut TcpStream,
    max_bytes: usize,
    on_read: impl Fn(),
) -> std::io::Result<(u16, Vec<u8>, bool)> {
    let invalid = || std::io::Error::from(ErrorKind::InvalidData);
    let too_long = || std::io::Error::from(ErrorKind::FileTooLarge);
    let mut buffer = BytesMut::with_capacity(4096);
    let mut skipped = 0;
    let head = loop {
        if let Some((found, length)) = head::parse_response(&buffer).map_err(|_head| invalid())? {
            let _head = buffer.split_to(length);
            if !found.is_interim() {
                break found;
            }
            skipped += length;
            continue;
        }
        let is_too_long = skipped + buffer.len() > MAX_HEAD_BYTES;
        if is_too_long || stream.read_buf(&mut buffer).await? == 0 {
            return Err(invalid());
        }
    };
    let framing = head.framing("GET").map_err(|_framing| invalid())?;
    let mut body = match framing {
        Framing::Length(bytes) if bytes > max_bytes as u64 => return Err(too_long()),
        Framing::Length(bytes) => Vec::with_capacity(bytes as usize),
        _ => Vec::new(),
    };
    let mut decoder = BodyDecoder::new(framing);
    loop {
        match decoder.next(&mut buffer).map_err(|_body| invalid())? {
            Decoded::Data(data) => body.extend_from_slice(&data),
            Decoded::End => break,
            Decoded::Incomplete => {
                let (least, most) = READ_BYTES_RANGE;
                buffer.reserve(decoder.due().clamp(least, most) as usize);
                if stream.read_buf(&mut buffer).await? == 0 {
                    if decoder.ends_at_close() {
                        break;
                    }
                    return Err(invalid());
                }
                if matches!(framing, Framing::Length(_)) {
                    on_read();
                }
            }
        }
        if body.len() > max_bytes {
            return Err(too_long());
        }
    }
    let reusable = !head.closes_connection() && !decoder.ends_at_close() && buffer.is_empty();
    Ok((head.status, body, reusable))
}
