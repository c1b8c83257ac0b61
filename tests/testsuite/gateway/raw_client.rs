//! A client that reads all bytes of a connection and judges what they say of one answer.

use std::net::SocketAddr;

use bytes::BytesMut;
use hawthornmill_gateway::http::body::{BodyDecoder, Decoded};
use hawthornmill_gateway::http::head::{self, Framing};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::fleet::WAIT_TIMEOUT;

/// What a client received until its connection ended.
#[derive(Debug, PartialEq, Eq)]
pub struct Received {
    /// Status.
    pub status: u16,
    /// The received part of the body.
    pub body: Vec<u8>,
    /// The framing says that the body is complete.
    pub whole: bool,
    /// Bytes after the answer.
    pub rest: usize,
}

impl Received {
    /// Returns whether the client takes this for a complete answer of a server.
    pub fn is_success(&self) -> bool {
        self.whole && matches!(self.status, 200..=399)
    }
}

/// Sends one request, which asks to close its connection; `None` if that ends without the head of an answer.
pub async fn exchange(address: SocketAddr, method: &str, request: &[u8]) -> Option<Received> {
    let stream = TcpStream::connect(address).await;
    let mut stream = stream.expect("the process listens");
    stream.write_all(request).await.ok()?;
    let mut bytes = Vec::new();
    let read = tokio::time::timeout(WAIT_TIMEOUT, stream.read_to_end(&mut bytes)).await;
    // A reset connection ends too, after the bytes that came before.
    let _ended = read.expect("the connection ends in time");
    let (head, length) = head::parse_response(&bytes).expect("it is a head")?;
    let framing = head.framing(method).expect("the length is clear");
    assert_ne!(framing, Framing::UntilClose, "the end is marked");
    let mut rest = BytesMut::from(&bytes[length..]);
    let mut decoder = BodyDecoder::new(framing);
    let mut body = Vec::new();
    let whole = loop {
        match decoder.next(&mut rest).expect("the body is well-formed") {
            Decoded::Data(data) => body.extend_from_slice(&data),
            Decoded::End => break true,
            Decoded::Incomplete => break false,
        }
    };
    Some(Received {
        status: head.status,
        body,
        whole,
        rest: rest.len(),
    })
}
