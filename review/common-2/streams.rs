//! A service of model servers whose streams may be resumed, and clients that take broken streams up.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use super::kit::{Conn, Record, SERVER, Store, at, entry, listen, unix_ms};

/// Time limit of the clients and first time-out of the route: those of `fitting-letter` at bringameret.
pub const LIMIT: Duration = Duration::from_millis(15_000);
/// Events of a stream (187 at most at bringameret), and the pause between two.
pub const EVENTS: u64 = 120;
const PAUSE: Duration = Duration::from_millis(100);

/// Waits until `time` has passed since `since`.
pub fn wait_for(since: Instant, time: Duration) {
    thread::sleep(time.saturating_sub(since.elapsed()));
}

pub fn catalog(version: u64, timeout_ms: u64) -> String {
    let engine = "\"engine\":{\"slots\":64,\"kvCapacity\":432367,\"kvTokenBytes\":35136,\"linkMbps\":550000.0}";
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"letter\",\"host\":\"h.example\",\"pathPrefix\":\"/letter/\",\
         \"kind\":\"streaming\",\"timeoutMs\":{timeout_ms},\"targetLatencyMs\":1000,\"priority\":1,\"service\":\"writer\",\
         \"maxAttempts\":2,\"public\":false,\"sticky\":true,\"resumable\":true,\"gapTargetMs\":400}}],\
         \"services\":[{{\"name\":\"writer\",\"maxConnections\":370,\"healthPath\":\"/health\",{engine}}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000,\
         \"tokensPerS\":510000}},\"tenants\":[{{\"name\":\"lab\",\"apiKeys\":[\"key-1\"]}}]}}"
    )
}

pub fn address_of(number: u8) -> SocketAddr {
    at(100 + number, SERVER)
}

pub fn key_of(number: u8) -> String {
    format!("servers/i-{number}")
}

pub fn entry_with(
    address: SocketAddr,
    state: &str,
    version: &str,
    born: u64,
    sequence: u64,
) -> String {
    let text = entry("writer", address, "a", 64, state, version, born);
    text.replace("\"sequence\":1", &format!("\"sequence\":{sequence}"))
}

pub fn born_of(store: &Store, number: u8) -> u64 {
    let value = store.value(&key_of(number)).unwrap_or_default();
    let born = value
        .split("\"born\":")
        .nth(1)
        .and_then(|t| t.trim_end_matches('}').parse().ok());
    born.unwrap_or_default()
}

/// Starts a model server, which registers itself at once.
pub fn start_server(store: &Store, number: u8, version: &'static str, record: &Record) {
    let (address, born) = (address_of(number), unix_ms());
    let (name, record) = (format!("i-{number}"), record.clone());
    listen(address, move |conn| {
        serve(conn, &name, version, born, &record)
    });
    store.put(
        &key_of(number),
        &entry_with(address, "ready", version, born, 1),
    );
}

/// A model server: a report, and streams that go on after the event that the client has.
fn serve(mut conn: Conn, name: &str, version: &str, born: u64, record: &Record) {
    while let Ok(Some(mut request)) = conn.read_head() {
        conn.read_body(&mut request, false);
        if request.target() == "/v1/report" {
            let body = format!(
                "{{\"stage\":\"both\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"busy\":false,\"sequence\":2,\
                 \"queued\":0,\"running\":1,\"kvUsed\":41000,\"kvTotal\":432367,\"handles\":0,\"born\":{born}}}"
            );
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if conn.send((head + &body).as_bytes()).is_err() {
                return;
            }
            continue;
        }
        let id = request.header("attempt-id").unwrap_or("").to_owned();
        if request.header("expect-instance").is_some_and(|i| i != name) {
            let text =
                "HTTP/1.1 421 Misdirected Request\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
            if conn.send(text.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        let after = request
            .header("last-event-id")
            .and_then(|l| l.parse().ok())
            .unwrap_or(0);
        record.line(&format!(
            "server {name} of {version} runs {id} after event {after}"
        ));
        let head = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Stamp: {name}-{id}\r\nContent-Type: text/event-stream\r\n\
             Transfer-Encoding: chunked\r\n\r\n"
        );
        if conn.send(head.as_bytes()).is_err() {
            return;
        }
        for number in after + 1..=EVENTS {
            let event = format!("id: {number}\ndata: {version} piece {number}\n\n");
            if conn
                .send(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())
                .is_err()
            {
                return;
            }
            thread::sleep(PAUSE);
        }
        if conn.send(b"0\r\n\r\n").is_err() {
            return;
        }
    }
}

/// A client with its stream.
pub struct Stream {
    pub number: usize,
    fronts: Arc<[SocketAddr]>,
    pause: Duration,
    record: Record,
    begin: Instant,
    /// Attempt that brought the first event.
    first: Option<String>,
    pub last: u64,
    pub is_whole: bool,
    pieces: Vec<String>,
    /// When each attempt was sent, and what came of it.
    pub tries: Vec<(Instant, String)>,
}

impl Stream {
    /// `pause` is how long a client waits before it comes back, or longer if it is told so.
    pub fn new(number: usize, fronts: Arc<[SocketAddr]>, pause: Duration, record: Record) -> Self {
        Self {
            number,
            fronts,
            pause,
            record,
            begin: Instant::now(),
            first: None,
            last: 0,
            is_whole: false,
            pieces: Vec::new(),
            tries: Vec::new(),
        }
    }

    /// Returns the versions whose events the client has.
    pub fn versions(&self) -> Vec<String> {
        let mut versions = self.pieces.clone();
        versions.sort();
        versions.dedup();
        versions
    }

    /// Sends the request, and takes the stream up until it is whole or the time limit is over.
    pub fn play(mut self) -> Self {
        let mut attempt = 0;
        while self.begin.elapsed() < LIMIT {
            let front = self.fronts[(self.number + attempt) % self.fronts.len()];
            let id = format!("s{}-{attempt}", self.number);
            attempt += 1;
            let Ok(conn) = Conn::open(front) else {
                thread::sleep(Duration::from_millis(100));
                continue;
            };
            let sent = Instant::now();
            let (what, wait) = self.ask(conn, &id);
            self.tries.push((sent, what));
            if self.is_whole {
                break;
            }
            thread::sleep(wait);
        }
        self
    }

    /// Asks once; returns what came of it and for how long to wait before the next attempt.
    fn ask(&mut self, mut conn: Conn, id: &str) -> (String, Duration) {
        let left = LIMIT.saturating_sub(self.begin.elapsed());
        let mut text = format!(
            "POST /letter/{} HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: {id}\r\nModel: m\r\nToken-Usage: 1460,800\r\n\
             Prompt-Prefix: 5c1e07a2:800,{:x}:660\r\nDeadline-Ms: {}\r\nAuthorization: Token key-1\r\nContent-Length: 6\r\n",
            self.number,
            0x91bd_3f06 + self.number,
            left.as_millis()
        );
        if let Some(first) = &self.first {
            text += &format!("Last-Event-Id: {}\r\nResumes: {first}\r\n", self.last);
        }
        text += "\r\nletter";
        self.record.line(&format!(
            "client sends {id}: after event {}, Deadline-Ms {}",
            self.last,
            left.as_millis()
        ));
        let _set = conn
            .stream
            .set_read_timeout(Some(left.max(Duration::from_millis(1))));
        let head = conn
            .send(text.as_bytes())
            .ok()
            .and_then(|()| conn.read_head().ok().flatten());
        let Some(head) = head else {
            return ("no answer".to_owned(), Duration::from_millis(100));
        };
        if head.status() != 200 {
            let after = head
                .header("retry-after")
                .and_then(|r| r.parse::<f64>().ok())
                .unwrap_or(0.1);
            self.record.line(&format!(
                "client gets {id}: status {}, Retry-After {after}",
                head.status()
            ));
            let wait = Duration::from_secs_f64(after).max(self.pause).min(left / 3);
            return (head.status().to_string(), wait);
        }
        let what = format!("200 after {}", self.last);
        self.read_events(&mut conn, id);
        self.record.line(&format!(
            "client {id}: stream ends at event {}, whole {}",
            self.last, self.is_whole
        ));
        (what, Duration::from_millis(50))
    }

    fn read_events(&mut self, conn: &mut Conn, id: &str) {
        let mut text = String::new();
        while let Some(chunk) = conn.read_chunk() {
            if chunk.is_empty() {
                self.is_whole = self.last == EVENTS;
                return;
            }
            text += &String::from_utf8_lossy(&chunk);
            while let Some(end) = text.find("\n\n") {
                let event: String = text.drain(..end + 2).collect();
                let number = event
                    .split("id: ")
                    .nth(1)
                    .and_then(|t| t.lines().next()?.parse().ok());
                let version = event
                    .split("data: ")
                    .nth(1)
                    .and_then(|t| t.split(' ').next());
                if let (Some(number), Some(version)) = (number, version) {
                    self.last = number;
                    self.first.get_or_insert_with(|| id.to_owned());
                    self.pieces.push(version.to_owned());
                }
            }
        }
    }
}
