//! A small fleet of gateway processes before stand-ins.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use bytes::BytesMut;
use hawthornmill_gateway::http::body::{BodyDecoder, Decoded};
use hawthornmill_gateway::http::head::{self, Framing, ResponseHead};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::scripted_server::Server;
use super::store::Store;

const PROGRAM: &str = env!("CARGO_BIN_EXE_hawthornmill-gateway");
const KEY: &str = "8f0c1a52b7e64d39a1c5f2087be94d63105ad7c8e2f93b46700de1b85c2f4a97";
/// Time for which something that must happen is waited for, on a busy machine too.
pub const PATIENCE: Duration = Duration::from_secs(20);
const FRONT: u16 = 7_401;
const READY: u16 = 7_402;
const DIRECTORY: u16 = 7_403;
/// Where instances hear each other.
pub const PEER: u16 = 7_404;
const METRICS: u16 = 7_405;

static FLEETS: AtomicU32 = AtomicU32::new(0);

/// A loopback network of its own, so that no other test or process has its ports.
fn network() -> [u8; 2] {
    let number = std::process::id()
        .wrapping_mul(61)
        .wrapping_add(FLEETS.fetch_add(1, Ordering::Relaxed));
    [(16 + number / 250 % 200) as u8, (number % 250) as u8]
}

/// The key of the fleets' frames.
pub fn key() -> [u8; 32] {
    *blake3::Hash::from_hex(KEY)
        .expect("the key is well-formed")
        .as_bytes()
}

/// One gateway process.
#[derive(Debug)]
pub struct Gateway {
    /// Its machine's address.
    pub ip: IpAddr,
    /// Its settings file.
    pub config: PathBuf,
    /// What it writes.
    pub log: PathBuf,
    child: Option<Child>,
}

impl Gateway {
    /// Where callers connect.
    pub fn front(&self) -> SocketAddr {
        SocketAddr::new(self.ip, FRONT)
    }

    /// Starts its process.
    pub fn start(&mut self) {
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(&self.log);
        let child = Command::new(PROGRAM)
            .env("HAWTHORNMILL_CONFIG", &self.config)
            .stdin(Stdio::null())
            .stdout(log.expect("the log can be written"))
            .stderr(Stdio::null())
            .spawn();
        self.child = Some(child.expect("the gateway starts"));
    }

    /// Sends it `signal`.
    pub fn signal(&self, signal: Signal) {
        let child = self.child.as_ref().expect("the gateway runs");
        kill(Pid::from_raw(child.id().cast_signed()), signal).expect("the process is ours");
    }

    /// Kills it and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _killed = child.kill();
            let _status = child.wait();
        }
    }

    /// Its exit code once it has ended; none while it runs.
    pub fn ended(&mut self) -> Option<i32> {
        let status = self
            .child
            .as_mut()?
            .try_wait()
            .expect("the process can be asked")?;
        status.code()
    }

    /// What it has logged as `event`.
    pub fn logged(&self, event: &str) -> Vec<Value> {
        let text = std::fs::read_to_string(&self.log).unwrap_or_default();
        let lines = text
            .lines()
            .filter_map(|l| serde_json::from_str::<Value>(l).ok());
        lines.filter(|l| l["event"] == event).collect()
    }

    /// Asks one of its small calls.
    pub async fn ask(&self, port: u16, path: &str) -> Option<Answer> {
        let text = format!("GET {path} HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
        call(SocketAddr::new(self.ip, port), text.as_bytes()).await
    }

    /// Tells whether it takes requests.
    pub async fn is_ready(&self) -> bool {
        self.ask(READY, "/v1/ready")
            .await
            .is_some_and(|a| a.status() == 200)
    }

    /// Addresses that its directory names.
    pub async fn named(&self) -> Vec<SocketAddr> {
        let answer = self
            .ask(DIRECTORY, "/v1/resolve?name=h.example&region=north&zone=a")
            .await;
        let body = answer.map(|a| a.body).unwrap_or_default();
        let json: Value = serde_json::from_slice(&body).unwrap_or_default();
        let list = json["addresses"].as_array().cloned().unwrap_or_default();
        list.iter()
            .filter_map(|a| a.as_str()?.parse().ok())
            .collect()
    }

    /// Its metrics.
    pub async fn metrics(&self) -> String {
        let answer = self.ask(METRICS, "/metrics").await;
        answer
            .map(|a| String::from_utf8_lossy(&a.body).into_owned())
            .unwrap_or_default()
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Gateways, servers and a store.
#[derive(Debug)]
pub struct Fleet {
    /// The platform's store.
    pub store: Store,
    /// Servers of the service `app`.
    pub servers: Vec<Server>,
    /// Gateway processes.
    pub gateways: Vec<Gateway>,
    net: [u8; 2],
    dir: PathBuf,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.gateways.clear();
        // Set to look at the logs of a test afterwards.
        if std::env::var_os("HAWTHORNMILL_KEEP").is_none() {
            let _removed = std::fs::remove_dir_all(&self.dir);
        }
    }
}

/// A route of the stand-in's configuration.
pub fn route(name: &str, kind: &str, more: &Value) -> Value {
    let mut route = json!({
        "name": name, "host": "h.example", "pathPrefix": format!("/{name}/"), "kind": kind,
        "timeoutMs": 3000, "targetLatencyMs": 1000, "priority": 1, "service": "app",
        "maxAttempts": 2, "public": false,
    });
    if let (Some(route), Some(more)) = (route.as_object_mut(), more.as_object()) {
        route.extend(more.clone());
    }
    route
}

/// The configuration with which a fleet starts.
pub fn config(version: u64) -> Value {
    json!({
        "version": version,
        "routes": [
            route("get", "idempotent", &json!({})),
            route("once", "non_idempotent", &json!({})),
            route("open", "idempotent", &json!({"public": true})),
            route("brief", "idempotent", &json!({"timeoutMs": 400, "maxAttempts": 1})),
            route("stream", "streaming", &json!({"resumable": true})),
            route("whole", "streaming", &json!({"resumable": false})),
        ],
        "services": [{"name": "app", "maxConnections": 100}],
        "limits": {"maxHeaderBytes": 4096, "maxBodyBytes": 100_000, "headerTimeoutMs": 700, "idleTimeoutMs": 3000},
        "tenants": [{"name": "lab", "apiKeys": ["key-1", "key-2"]}],
    })
}

impl Fleet {
    /// Starts `gateways` processes before `servers` servers and waits until they are ready.
    pub async fn start(gateways: usize, servers: usize) -> Self {
        let mut fleet = Self::prepare(gateways, servers).await;
        fleet
            .store
            .put("op/config", config(1).to_string().as_bytes());
        for gateway in &mut fleet.gateways {
            gateway.start();
        }
        for gateway in &fleet.gateways {
            until("the gateway is ready", || gateway.is_ready()).await;
        }
        fleet
    }

    /// The same without starting a process or publishing a configuration.
    pub async fn prepare(gateways: usize, servers: usize) -> Self {
        let net = network();
        let dir = std::env::temp_dir().join(format!(
            "hawthornmill-{}-{}-{}",
            std::process::id(),
            net[0],
            net[1]
        ));
        std::fs::create_dir_all(&dir).expect("the directory can be made");
        let mut fleet = Self {
            store: Store::start(SocketAddr::new(ip(net, 250), 7_400)).await,
            servers: Vec::new(),
            gateways: Vec::new(),
            net,
            dir,
        };
        for number in 0..servers {
            fleet.add_server(&format!("i-{number}")).await;
        }
        for number in 0..gateways {
            let gateway = fleet.gateway(number);
            fleet.gateways.push(gateway);
        }
        fleet
    }

    /// Starts and registers one more server.
    pub async fn add_server(&mut self, name: &str) -> Server {
        let number = 100 + self.servers.len() as u8;
        let server = Server::start(name, SocketAddr::new(ip(self.net, number), 7_400)).await;
        self.register(&server, "ready");
        self.servers.push(server.clone());
        server
    }

    /// Writes a server's entry.
    pub fn register(&self, server: &Server, state: &str) -> u64 {
        self.register_at(server, server.address, state)
    }

    /// Writes a server's entry with the address of something that stands before it.
    pub fn register_at(&self, server: &Server, address: SocketAddr, state: &str) -> u64 {
        let entry = json!({"service": "app", "address": address.to_string(), "zone": "a",
            "version": "v1", "slots": 4, "state": state, "coldRemainingMs": 0, "sequence": 1, "born": 1});
        self.store.put(
            &format!("servers/{}", server.name),
            entry.to_string().as_bytes(),
        )
    }

    fn gateway(&self, number: usize) -> Gateway {
        let own = ip(self.net, 1 + number as u8);
        let seeds = [1, 2, 99]
            .map(|n| format!("{}:9", ip(self.net, n)))
            .join(",");
        let text = format!(
            "[instance]\nname = g{number}\ndomain = a\nregion = north\n\n[listen]\nfront = {own}:{FRONT}\n\
             ready = {own}:{READY}\ndirectory = {own}:{DIRECTORY}\npeer = {own}:{PEER}\nmetrics = {own}:{METRICS}\n\n\
             [peers]\nseeds = {seeds}\nkey = {KEY}\n\n[domain a]\nregion = north\n\n[store]\naddress = {}\n\n\
             [promises]\ngrace_s = 8\nttl_s = 0.3\n",
            self.store.address
        );
        let config = self.dir.join(format!("g{number}.ini"));
        std::fs::write(&config, text).expect("the settings can be written");
        Gateway {
            ip: own,
            log: self.dir.join(format!("g{number}.log")),
            config,
            child: None,
        }
    }

    /// What the gateways logged of the attempt `id`, as one story.
    pub fn story(&self, id: &str) -> String {
        let mut parts: Vec<_> = self
            .gateways
            .iter()
            .filter_map(|gateway| {
                let text = std::fs::read_to_string(&gateway.log).unwrap_or_default();
                hawthornmill_tools::request::read(&gateway.log.to_string_lossy(), &text, id)
            })
            .collect();
        parts.sort_by_key(|p| p.steps.first().map(|l| l.time));
        hawthornmill_tools::request::text(&hawthornmill_tools::request::Story {
            request: id.into(),
            parts,
        })
    }

    /// Copies what the gateways wrote to `to`.
    pub fn keep_logs(&self, to: &std::path::Path) {
        std::fs::create_dir_all(to).expect("the directory can be made");
        for gateway in &self.gateways {
            let name = gateway.log.file_name().expect("a log has a name");
            std::fs::copy(&gateway.log, to.join(name)).expect("a log can be copied");
        }
    }

    /// Requests that all servers ran.
    pub fn runs(&self) -> usize {
        self.servers.iter().map(Server::executed_count).sum()
    }
}

fn ip(net: [u8; 2], last: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, net[0], net[1], last))
}

/// Waits until `done` says so.
pub async fn until<F: Future<Output = bool>>(what: &str, mut done: impl FnMut() -> F) {
    let end = Instant::now() + PATIENCE;
    while !done().await {
        assert!(Instant::now() < end, "waited in vain: {what}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// An answer as a caller sees it.
#[derive(Debug, Clone)]
pub struct Answer {
    /// Its head.
    pub head: ResponseHead,
    /// As much of the body as came.
    pub body: Vec<u8>,
    /// The body came to its end.
    pub whole: bool,
}

impl Answer {
    /// Its status.
    pub fn status(&self) -> u16 {
        self.head.status
    }

    /// One of its fields.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.head.headers.get_str(name)
    }

    /// Its body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// The head of a request with the account's token.
pub fn request(method: &str, path: &str, id: &str, more: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: 5000\r\n\
         Authorization: Token key-1\r\n{more}\r\n"
    )
}

/// A caller's connection.
#[derive(Debug)]
pub struct Caller {
    /// The socket.
    pub link: TcpStream,
    buffer: BytesMut,
}

impl Caller {
    /// Connects.
    pub async fn connect(address: SocketAddr) -> Self {
        let link = TcpStream::connect(address)
            .await
            .expect("the gateway listens");
        Self {
            link,
            buffer: BytesMut::new(),
        }
    }

    /// Sends bytes.
    pub async fn send(&mut self, bytes: &[u8]) {
        self.link
            .write_all(bytes)
            .await
            .expect("the gateway takes the bytes");
    }

    /// Reads one answer; none when the connection ends before one.
    pub async fn read(&mut self) -> Option<Answer> {
        tokio::time::timeout(PATIENCE, self.answer())
            .await
            .expect("an answer comes in time")
    }

    async fn answer(&mut self) -> Option<Answer> {
        let head = loop {
            if let Some((head, length)) =
                head::parse_response(&self.buffer).expect("the answer has a head")
            {
                let _head = self.buffer.split_to(length);
                break head;
            }
            if !matches!(self.link.read_buf(&mut self.buffer).await, Ok(n) if n > 0) {
                return None;
            }
        };
        let framing = head.framing("GET").expect("the answer's length is clear");
        assert_ne!(framing, Framing::UntilClose, "the end of an answer shows");
        let mut decoder = BodyDecoder::new(framing);
        let (mut body, mut whole) = (Vec::new(), false);
        loop {
            match decoder
                .next(&mut self.buffer)
                .expect("the body is well-formed")
            {
                Decoded::Data(data) => body.extend_from_slice(&data),
                Decoded::End => {
                    whole = true;
                    break;
                }
                Decoded::Incomplete => {
                    if !matches!(self.link.read_buf(&mut self.buffer).await, Ok(n) if n > 0) {
                        break;
                    }
                }
            }
        }
        Some(Answer { head, body, whole })
    }
}

/// Sends `bytes` on a connection of their own and reads the answer.
pub async fn call(address: SocketAddr, bytes: &[u8]) -> Option<Answer> {
    let mut link = tokio::time::timeout(PATIENCE, TcpStream::connect(address))
        .await
        .ok()?
        .ok()?;
    link.write_all(bytes).await.ok()?;
    Caller {
        link,
        buffer: BytesMut::new(),
    }
    .read()
    .await
}
