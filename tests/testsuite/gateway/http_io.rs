//! Reading of requests and writing of responses by stand-ins.

use bytes::BytesMut;
use hawthornmill_gateway::http::body::{BodyDecoder, Decoded};
use hawthornmill_gateway::http::head::{self, RequestHead};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Reads the head of a request; `None` if the connection ends first.
pub async fn read_head(stream: &mut TcpStream, buffer: &mut BytesMut) -> Option<RequestHead> {
    loop {
        if let Some((head, length)) = head::parse_request(buffer).ok()? {
            let _head = buffer.split_to(length);
            return Some(head);
        }
        if stream.read_buf(buffer).await.ok()? == 0 {
            return None;
        }
    }
}

/// Reads the body of a request; `None` if the connection ends first.
pub async fn read_body(
    stream: &mut TcpStream,
    buffer: &mut BytesMut,
    head: &RequestHead,
) -> Option<Vec<u8>> {
    let mut decoder = BodyDecoder::new(head.framing().ok()?);
    let mut body = Vec::new();
    loop {
        match decoder.next(buffer).ok()? {
            Decoded::Data(data) => body.extend_from_slice(&data),
            Decoded::End => return Some(body),
            Decoded::Incomplete => {
                if stream.read_buf(buffer).await.ok()? == 0 {
                    return None;
                }
            }
        }
    }
}

/// Reads one request and leaves the bytes after it in `buffer`; `None` if the connection ends first.
pub async fn read_request(
    stream: &mut TcpStream,
    buffer: &mut BytesMut,
) -> Option<(RequestHead, Vec<u8>)> {
    let head = read_head(stream, buffer).await?;
    let body = read_body(stream, buffer, &head).await?;
    Some((head, body))
}

/// Writes one response with a length.
///
/// # Errors
/// Fails if the connection broke.
pub async fn write_response(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> std::io::Result<()> {
    stream
        .write_all(&encode_response(status, headers, body))
        .await
}

/// Returns the bytes of one response with a length.
pub fn encode_response(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text =
        format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len()).into_bytes();
    for (name, value) in headers {
        text.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    text.extend_from_slice(b"\r\n");
    text.extend_from_slice(body);
    text
}

/// Returns the Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    let time = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    time.map_or(0, |t| t.as_millis() as u64)
}
