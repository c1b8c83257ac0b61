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
const READS_ON: Duration = Duration::from_millis(200);

/// What the server does with one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Act {
    /// Runs it and answers.
    Serve,
    /// Runs it after a pause and answers.
    Slow(u64),
    /// Refuses it without running it.
    NotRun,
    /// Says that another server has the address.
    Moved,
    /// Runs it and resets the connection instead of an answer.
    Reset,
    /// Runs it and answers with 500.
    Fail,
    /// Runs it and answers twice.
    Twice,
    /// Runs it and ends the answer early.
    Short,
    /// Runs it and sends bytes that are no answer.
    Garble,
    /// Runs it and answers without a length, ending with the connection.
    Unframed,
    /// Answers before it has read the body, and keeps the connection.
    Early,
    /// Runs it as a stream of so many events.
    Stream(u64),
    /// Runs it as a stream that breaks off in the middle of the event after so many.
    Break(u64),
    /// Never answers.
    Hang,
}

/// One request that reached the server.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Its head.
    pub head: RequestHead,
    /// Its body.
    pub body: Vec<u8>,
    /// The server ran it.
    pub ran: bool,
    /// What the server did with it.
    pub act: Act,
    /// When it was read.
    pub at: Instant,
}

/// What a server does with a request for which its script says nothing.
pub type Usual = fn(&RequestHead) -> Act;

#[derive(Debug, Default)]
struct State {
    script: VecDeque<Act>,
    usual: Option<Usual>,
    arrivals: Vec<Arrival>,
    left: usize,
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
            while let Ok((link, _)) = listener.accept().await {
                tokio::spawn(serving.clone().serve(link));
            }
        });
        server
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }

    /// What it does with the next requests; it serves those after them.
    pub fn script(&self, acts: &[Act]) {
        self.lock().script.extend(acts.iter().cloned());
    }

    /// What it does with requests beyond its script.
    pub fn usually(&self, usual: Usual) {
        self.lock().usual = Some(usual);
    }

    /// Requests that reached it.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.lock().arrivals.clone()
    }

    /// Requests that it ran.
    pub fn runs(&self) -> usize {
        self.lock().arrivals.iter().filter(|a| a.ran).count()
    }

    /// Callers that left while it was at work.
    pub fn left(&self) -> usize {
        self.lock().left
    }

    async fn serve(self, mut link: TcpStream) {
        let mut sent = 0;
        let mut buffer = BytesMut::new();
        loop {
            let act = self.lock().script.front().cloned();
            if act == Some(Act::Early) && self.early(&mut link, &mut buffer).await {
                continue;
            }
            let Some((head, body)) = read_request(&mut link, &mut buffer).await else {
                return;
            };
            let act = self.next_act(&head);
            let ran = !matches!(act, Act::NotRun | Act::Moved);
            self.lock().arrivals.push(Arrival {
                head: head.clone(),
                body,
                ran,
                act: act.clone(),
                at: Instant::now(),
            });
            sent += 1;
            if !self.act(&mut link, &head, act, sent).await {
                return;
            }
        }
    }

    fn next_act(&self, head: &RequestHead) -> Act {
        let mut state = self.lock();
        let scripted = state.script.pop_front();
        scripted.unwrap_or_else(|| state.usual.map_or(Act::Serve, |usual| usual(head)))
    }

    /// Answers once the head of a request is here, and reads its body a while later.
    ///
    /// By then the next request may stand behind the body; it stays in `buffer`.
    async fn early(&self, link: &mut TcpStream, buffer: &mut BytesMut) -> bool {
        let Some(head) = read_head(link, buffer).await else {
            return false;
        };
        self.lock().script.pop_front();
        let id = head
            .headers
            .get_str("attempt-id")
            .unwrap_or_default()
            .to_owned();
        let fields = [("Attempt-Id", id.as_str()), ("Server-Stamp", "early")];
        let written = write_answer(link, 400, &fields, b"too long").await;
        tokio::time::sleep(READS_ON).await;
        let body = read_body(link, buffer, &head).await.unwrap_or_default();
        self.lock().arrivals.push(Arrival {
            head,
            body,
            ran: false,
            act: Act::Early,
            at: Instant::now(),
        });
        written.is_ok()
    }

    /// Does one act; false when the connection is over.
    async fn act(&self, link: &mut TcpStream, head: &RequestHead, act: Act, sent: usize) -> bool {
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
        let sound = match act {
            Act::Serve => write_answer(link, 200, &fields, body.as_bytes()).await,
            Act::Slow(millis) => {
                if !self.work(link, Duration::from_millis(millis)).await {
                    return false;
                }
                write_answer(link, 200, &fields, body.as_bytes()).await
            }
            Act::NotRun => write_answer(link, 503, &[("Not-Executed", "1"), fields[0]], b"").await,
            Act::Moved => write_answer(link, 421, &[("Instance-Id", "other")], b"").await,
            Act::Fail => write_answer(link, 500, &fields, b"failed").await,
            Act::Twice => {
                let first = write_answer(link, 200, &fields, body.as_bytes()).await;
                let again = async {
                    tokio::time::sleep(Duration::from_millis(30)).await;
                    write_answer(link, 200, &fields, b"a second answer").await
                };
                first.and(again.await)
            }
            Act::Reset => {
                let _set = link.set_zero_linger();
                return false;
            }
            Act::Short => {
                let text = format!(
                    "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nContent-Length: 100\r\n\r\nhalf"
                );
                let _written = link.write_all(text.as_bytes()).await;
                return false;
            }
            Act::Garble => link.write_all(b"\0\0nonsense\r\n\r\n").await,
            Act::Unframed => {
                let text =
                    format!("HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\n\r\nwhole without a length");
                let _written = link.write_all(text.as_bytes()).await;
                return false;
            }
            Act::Stream(count) => return self.stream(link, head, count, false).await,
            Act::Break(count) => return self.stream(link, head, count, true).await,
            Act::Early => Ok(()),
            Act::Hang => {
                self.work(link, Duration::from_mins(1)).await;
                return false;
            }
        };
        sound.is_ok()
    }

    /// Works for `time`; false when the caller left meanwhile.
    async fn work(&self, link: &mut TcpStream, time: Duration) -> bool {
        let mut byte = [0; 1];
        tokio::select! {
            () = tokio::time::sleep(time) => true,
            _ = link.read(&mut byte) => {
                self.lock().left += 1;
                false
            }
        }
    }

    /// Sends the events after the one that the caller has, ten milliseconds apart.
    async fn stream(
        &self,
        link: &mut TcpStream,
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
        if link.write_all(text.as_bytes()).await.is_err() {
            return false;
        }
        for number in after + 1..=count {
            let event = format!("id: {number}\ndata: piece {number}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            if link.write_all(chunk.as_bytes()).await.is_err()
                || !self.work(link, Duration::from_millis(10)).await
            {
                return false;
            }
        }
        let end: &[u8] = if cut {
            b"8\r\nid: 9999\r\n"
        } else {
            b"0\r\n\r\n"
        };
        link.write_all(end).await.is_ok() && !cut
    }
}

async fn read_head(link: &mut TcpStream, buffer: &mut BytesMut) -> Option<RequestHead> {
    loop {
        if let Some((head, length)) = head::parse_request(buffer).ok()? {
            let _head = buffer.split_to(length);
            return Some(head);
        }
        if link.read_buf(buffer).await.ok()? == 0 {
            return None;
        }
    }
}

async fn read_body(
    link: &mut TcpStream,
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
                if link.read_buf(buffer).await.ok()? == 0 {
                    return None;
                }
            }
        }
    }
}

/// Reads one request, and leaves in `buffer` what follows it; none when the connection ends first.
pub async fn read_request(
    link: &mut TcpStream,
    buffer: &mut BytesMut,
) -> Option<(RequestHead, Vec<u8>)> {
    let head = read_head(link, buffer).await?;
    let body = read_body(link, buffer, &head).await?;
    Some((head, body))
}

/// Writes one answer with a length.
///
/// # Errors
/// When the connection broke.
pub async fn write_answer(
    link: &mut TcpStream,
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
    link.write_all(&text).await
}
