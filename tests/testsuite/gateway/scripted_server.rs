//! A stand-in for a backend server, which does what its script says.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use bytes::BytesMut;
use hawthornmill_gateway::http::body::{BodyDecoder, Decoded};
use hawthornmill_gateway::http::head::{self, RequestHead};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Time after which a server that answered early reads the rest of the request.
const EARLY_RESPONSE_PAUSE: Duration = Duration::from_millis(200);

/// What the server does with one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Behavior {
    /// Runs it and answers.
    Respond,
    /// Runs it after a pause and answers.
    RespondAfterMs(u64),
    /// Refuses it without running it.
    NotExecuted,
    /// Says that another server has the address.
    Misdirected,
    /// Runs it and resets the connection instead of an answer.
    Reset,
    /// Runs it and answers with 500.
    ServerError,
    /// Runs it and answers twice.
    DuplicateResponse,
    /// Runs it and ends the answer early.
    TruncatedBody,
    /// Runs it and sends bytes that are no answer.
    InvalidResponse,
    /// Runs it and answers without a length, ending with the connection.
    NoLength,
    /// Answers before it has read the body, and keeps the connection.
    EarlyResponse,
    /// Runs it as a stream of so many events.
    Stream(u64),
    /// Runs it as a stream that breaks off in the middle of the event after so many.
    BrokenStream(u64),
    /// Never answers.
    Hang,
}

/// One request that reached the server.
#[derive(Debug, Clone)]
pub struct ReceivedRequest {
    /// Its head.
    pub head: RequestHead,
    /// Its body.
    pub body: Vec<u8>,
    /// The server ran it.
    pub executed: bool,
    /// What the server did with it.
    pub behavior: Behavior,
    /// When it was read.
    pub received_at: Instant,
}

/// What a server does with a request for which its script says nothing.
pub type DefaultBehavior = fn(&RequestHead) -> Behavior;

#[derive(Debug, Default)]
struct State {
    script: VecDeque<Behavior>,
    default: Option<DefaultBehavior>,
    received: Vec<ReceivedRequest>,
    client_disconnects: usize,
}

/// The server, listening until its process ends.
#[derive(Debug, Clone)]
pub struct Server {
    /// Name of its run.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Server {
    /// Starts a server called `name` at `address`, which serves everything until it gets a script.
    pub async fn start(name: &str, address: SocketAddr) -> Self {
        let listener = TcpListener::bind(address)
            .await
            .expect("the server's address is free");
        let server = Self {
            name: name.into(),
            address,
            state: Arc::default(),
        };
        let serving = server.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serving.clone().serve(stream));
            }
        });
        server
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }

    /// What it does with the next requests; it serves those after them.
    pub fn script(&self, behaviors: &[Behavior]) {
        self.lock().script.extend(behaviors.iter().cloned());
    }

    /// What it does with requests beyond its script.
    pub fn set_default(&self, default: DefaultBehavior) {
        self.lock().default = Some(default);
    }

    /// Requests that reached it.
    pub fn received(&self) -> Vec<ReceivedRequest> {
        self.lock().received.clone()
    }

    /// Requests that it ran.
    pub fn executed_count(&self) -> usize {
        self.lock().received.iter().filter(|a| a.executed).count()
    }

    /// Callers that left while it was at work.
    pub fn client_disconnects(&self) -> usize {
        self.lock().client_disconnects
    }

    async fn serve(self, mut stream: TcpStream) {
        let mut sent = 0;
        let mut buffer = BytesMut::new();
        loop {
            let behavior = self.lock().script.front().cloned();
            if behavior == Some(Behavior::EarlyResponse)
                && self.respond_early(&mut stream, &mut buffer).await
            {
                continue;
            }
            let Some((head, body)) = read_request(&mut stream, &mut buffer).await else {
                return;
            };
            let behavior = self.next_behavior(&head);
            let executed = !matches!(behavior, Behavior::NotExecuted | Behavior::Misdirected);
            self.lock().received.push(ReceivedRequest {
                head: head.clone(),
                body,
                executed,
                behavior: behavior.clone(),
                received_at: Instant::now(),
            });
            sent += 1;
            if !self.perform(&mut stream, &head, behavior, sent).await {
                return;
            }
        }
    }

    fn next_behavior(&self, head: &RequestHead) -> Behavior {
        let mut state = self.lock();
        let scripted = state.script.pop_front();
        scripted.unwrap_or_else(|| {
            state
                .default
                .map_or(Behavior::Respond, |default| default(head))
        })
    }

    /// Answers once the head of a request is here, and reads its body a while later.
    ///
    /// By then the next request may stand behind the body; it stays in `buffer`.
    async fn respond_early(&self, stream: &mut TcpStream, buffer: &mut BytesMut) -> bool {
        let Some(head) = read_head(stream, buffer).await else {
            return false;
        };
        self.lock().script.pop_front();
        let id = head
            .headers
            .get_str("attempt-id")
            .unwrap_or_default()
            .to_owned();
        let fields = [("Attempt-Id", id.as_str()), ("Server-Stamp", "early")];
        let written = write_response(stream, 400, &fields, b"too long").await;
        tokio::time::sleep(EARLY_RESPONSE_PAUSE).await;
        let body = read_body(stream, buffer, &head).await.unwrap_or_default();
        self.lock().received.push(ReceivedRequest {
            head,
            body,
            executed: false,
            behavior: Behavior::EarlyResponse,
            received_at: Instant::now(),
        });
        written.is_ok()
    }

    /// Does one act; false when the connection is over.
    async fn perform(
        &self,
        stream: &mut TcpStream,
        head: &RequestHead,
        behavior: Behavior,
        sent: usize,
    ) -> bool {
        let id = head
            .headers
            .get_str("attempt-id")
            .unwrap_or_default()
            .to_owned();
        let stamp = format!("{}.{sent}", self.name);
        let fields = [
            ("Attempt-Id", id.as_str()),
            ("Server-Stamp", stamp.as_str()),
            ("X-Own", "kept"),
        ];
        let body = format!("answer to {id} by {}", self.name);
        let written = match behavior {
            Behavior::Respond => write_response(stream, 200, &fields, body.as_bytes()).await,
            Behavior::RespondAfterMs(millis) => {
                if !self.work(stream, Duration::from_millis(millis)).await {
                    return false;
                }
                write_response(stream, 200, &fields, body.as_bytes()).await
            }
            Behavior::NotExecuted => {
                write_response(stream, 503, &[("Not-Executed", "1"), fields[0]], b"").await
            }
            Behavior::Misdirected => {
                write_response(stream, 421, &[("Instance-Id", "other")], b"").await
            }
            Behavior::ServerError => write_response(stream, 500, &fields, b"failed").await,
            Behavior::DuplicateResponse => {
                let first = write_response(stream, 200, &fields, body.as_bytes()).await;
                let again = async {
                    tokio::time::sleep(Duration::from_millis(30)).await;
                    write_response(stream, 200, &fields, b"a second answer").await
                };
                first.and(again.await)
            }
            Behavior::Reset => {
                let _set = stream.set_zero_linger();
                return false;
            }
            Behavior::TruncatedBody => {
                let text = format!(
                    "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nContent-Length: 100\r\n\r\nhalf"
                );
                let _written = stream.write_all(text.as_bytes()).await;
                return false;
            }
            Behavior::InvalidResponse => stream.write_all(b"\0\0nonsense\r\n\r\n").await,
            Behavior::NoLength => {
                let text =
                    format!("HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\n\r\nwhole without a length");
                let _written = stream.write_all(text.as_bytes()).await;
                return false;
            }
            Behavior::Stream(count) => return self.stream(stream, head, count, false).await,
            Behavior::BrokenStream(count) => return self.stream(stream, head, count, true).await,
            Behavior::EarlyResponse => Ok(()),
            Behavior::Hang => {
                self.work(stream, Duration::from_mins(1)).await;
                return false;
            }
        };
        written.is_ok()
    }

    /// Works for `time`; false when the caller left meanwhile.
    async fn work(&self, stream: &mut TcpStream, time: Duration) -> bool {
        let mut byte = [0; 1];
        tokio::select! {
            () = tokio::time::sleep(time) => true,
            _ = stream.read(&mut byte) => {
                self.lock().client_disconnects += 1;
                false
            }
        }
    }

    /// Sends the events after the one that the caller has, ten milliseconds apart.
    async fn stream(
        &self,
        stream: &mut TcpStream,
        head: &RequestHead,
        count: u64,
        cut: bool,
    ) -> bool {
        let id = head.headers.get_str("attempt-id").unwrap_or_default();
        let after: u64 = head
            .headers
            .get_str("last-event-id")
            .and_then(|t| t.parse().ok())
            .unwrap_or(0);
        let text = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Stamp: {}\r\nContent-Type: text/event-stream\r\n\
             Transfer-Encoding: chunked\r\n\r\n",
            self.name
        );
        if stream.write_all(text.as_bytes()).await.is_err() {
            return false;
        }
        for number in after + 1..=count {
            let event = format!("id: {number}\ndata: piece {number}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            if stream.write_all(chunk.as_bytes()).await.is_err()
                || !self.work(stream, Duration::from_millis(10)).await
            {
                return false;
            }
        }
        let end: &[u8] = if cut {
            b"8\r\nid: 9999\r\n"
        } else {
            b"0\r\n\r\n"
        };
        stream.write_all(end).await.is_ok() && !cut
    }
}

async fn read_head(stream: &mut TcpStream, buffer: &mut BytesMut) -> Option<RequestHead> {
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

async fn read_body(
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

/// Reads one request, and leaves in `buffer` what follows it; none when the connection ends first.
pub async fn read_request(
    stream: &mut TcpStream,
    buffer: &mut BytesMut,
) -> Option<(RequestHead, Vec<u8>)> {
    let head = read_head(stream, buffer).await?;
    let body = read_body(stream, buffer, &head).await?;
    Some((head, body))
}

/// Writes one answer with a length.
///
/// # Errors
/// When the connection broke.
pub async fn write_response(
    stream: &mut TcpStream,
    status: u16,
    fields: &[(&str, &str)],
    body: &[u8],
) -> std::io::Result<()> {
    let mut text =
        format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len()).into_bytes();
    for (name, value) in fields {
        text.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    text.extend_from_slice(b"\r\n");
    text.extend_from_slice(body);
    stream.write_all(&text).await
}
