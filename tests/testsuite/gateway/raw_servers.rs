//! Servers that send given bytes as their answers, cut where a test says.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::BytesMut;
use hawthornmill_gateway::http::head::RequestHead;
use hawthornmill_net::upstream::REQUEST_ID_HEADER;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

use super::http_io::read_request;
use super::streams::StreamEnd;

/// Pause after which a connection is reset, so that the bytes sent before arrive.
const RESET_PAUSE: Duration = Duration::from_millis(5);

/// An answer, or the part of one that a server sends before it closes the connection.
#[derive(Debug, Clone)]
pub struct RawAnswer {
    /// The whole answer, in which `{id}` stands for the id of the attempt.
    pub text: Box<str>,
    /// Bytes that are sent.
    pub bytes: usize,
    /// How the connection ends after them.
    pub end: StreamEnd,
    /// Each byte is sent by itself, this much after the one before.
    pub byte_pause: Option<Duration>,
    /// Time between the last byte and the end of the connection.
    pub end_pause: Duration,
}

impl RawAnswer {
    /// Returns an answer of which `bytes` are sent at once before the connection is closed.
    pub fn cut(text: &str, bytes: usize) -> Self {
        Self {
            text: text.into(),
            bytes,
            end: StreamEnd::Close,
            byte_pause: None,
            end_pause: Duration::ZERO,
        }
    }

    async fn send(&self, stream: &mut TcpStream, id: &str) -> std::io::Result<()> {
        let text = self.text.replace("{id}", id);
        let sent = &text.as_bytes()[..self.bytes.min(text.len())];
        match self.byte_pause {
            None => stream.write_all(sent).await?,
            Some(pause) => {
                for byte in sent {
                    stream.write_all(&[*byte]).await?;
                    tokio::time::sleep(pause).await;
                }
            }
        }
        tokio::time::sleep(self.end_pause).await;
        if self.end == StreamEnd::Reset {
            tokio::time::sleep(RESET_PAUSE).await;
            stream.set_zero_linger()?;
        }
        Ok(())
    }
}

/// What the servers have to send, and what they received, by the last part of a request's path.
#[derive(Debug, Default)]
struct Plan {
    rows: BTreeMap<Box<str>, VecDeque<RawAnswer>>,
    arrivals: Vec<Box<str>>,
}

/// Servers that share a row of answers for each request, sent in its order wherever the request arrives.
///
/// After the row they send complete answers.
#[derive(Debug, Clone, Default)]
pub struct RawServers {
    plan: Arc<Mutex<Plan>>,
}

impl RawServers {
    /// Starts one more server; returns its address.
    pub async fn start(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").await;
        let listener = listener.expect("a port is free");
        let address = listener.local_addr().expect("it is bound");
        let servers = self.clone();
        tokio::spawn(async move {
            while let Ok((stream, _from)) = listener.accept().await {
                tokio::spawn(servers.clone().serve(stream));
            }
        });
        address
    }

    fn lock(&self) -> MutexGuard<'_, Plan> {
        self.plan.lock().expect("no holder of the lock panics")
    }

    /// Sets the row of answers for the request whose path ends with `name`.
    pub fn set(&self, name: &str, row: &[RawAnswer]) {
        let row = row.iter().cloned().collect();
        self.lock().rows.insert(name.into(), row);
    }

    /// Returns how many answers of the row are left.
    pub fn left(&self, name: &str) -> usize {
        self.lock().rows.get(name).map_or(0, VecDeque::len)
    }

    /// Returns how many times the request arrived.
    pub fn arrivals(&self, name: &str) -> usize {
        self.lock()
            .arrivals
            .iter()
            .filter(|a| &***a == name)
            .count()
    }

    fn next_answer(&self, name: &str) -> Option<RawAnswer> {
        let mut plan = self.lock();
        plan.arrivals.push(name.into());
        plan.rows.get_mut(name)?.pop_front()
    }

    async fn serve(self, mut stream: TcpStream) {
        let mut buffer = BytesMut::new();
        while let Some((head, _body)) = read_request(&mut stream, &mut buffer).await {
            let name = head.target.rsplit('/').next().unwrap_or_default();
            let Some(answer) = self.next_answer(name) else {
                let text = whole_answer(&head);
                if stream.write_all(text.as_bytes()).await.is_err() {
                    return;
                }
                continue;
            };
            // The gateway may have closed the connection by now.
            let _sent = answer.send(&mut stream, request_id(&head)).await;
            return;
        }
    }
}

/// Returns the id of a request of either product.
pub fn request_id(head: &RequestHead) -> &str {
    let headers = &head.headers;
    let id = headers.get_str("attempt-id");
    let id = id.or_else(|| headers.get_str(REQUEST_ID_HEADER));
    id.unwrap_or_default()
}

/// Body of the complete answers.
pub const WHOLE_BODY: &str = "complete";

fn whole_answer(head: &RequestHead) -> String {
    let body = match &*head.method {
        "HEAD" => "",
        _ if &*head.target == "/load" => "{\"running\":0}",
        _ => WHOLE_BODY,
    };
    let (id, length) = (request_id(head), body.len());
    format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Stamp: whole\r\nContent-Length: {length}\r\n\r\n{body}"
    )
}
