//! A small fleet of gateway processes in front of fake servers and a fake store.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use bytes::BytesMut;
use hawthornmill::codes::Code;
use hawthornmill_gateway::http::body::{BodyDecoder, Decoded};
use hawthornmill_gateway::http::head::{self, Framing, ResponseHead};
use hawthornmill_test_support::procs::peak_memory_kib;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::scripted_server::Server;
use super::store::Store;

/// Times that one request is turned away before its test fails.
pub const MAX_TURNED_AWAY: usize = 20;
const PROGRAM: &str = env!("CARGO_BIN_EXE_hawthornmill-gateway");
const KEY: &str = "8f0c1a52b7e64d39a1c5f2087be94d63105ad7c8e2f93b46700de1b85c2f4a97";
/// Longest wait for an expected event, also on a busy machine.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
const FRONT_PORT: u16 = 7_401;
const READY_PORT: u16 = 7_402;
const DIRECTORY_PORT: u16 = 7_403;
/// Port for messages of other instances.
pub const PEER_PORT: u16 = 7_404;
const METRICS_PORT: u16 = 7_405;

/// Key of gateways that hear none of those with the usual one.
const OTHER_KEY: &str = "1d3b5c7092e4f6a8bc0d1e2f30415263748596a7b8c9dae0f1021324354657ff";

static FLEETS: AtomicU32 = AtomicU32::new(0);

/// Returns the two middle bytes of a loopback network that no other test or process uses.
fn loopback_network() -> [u8; 2] {
    let number = std::process::id()
        .wrapping_mul(61)
        .wrapping_add(FLEETS.fetch_add(1, Ordering::Relaxed));
    [(16 + number / 250 % 200) as u8, (number % 250) as u8]
}

/// Returns the key that seals the frames between instances.
pub fn frame_key() -> [u8; 32] {
    *blake3::Hash::from_hex(KEY)
        .expect("the key is well-formed")
        .as_bytes()
}

/// A gateway process.
#[derive(Debug)]
pub struct Gateway {
    /// Address of its host.
    pub ip: IpAddr,
    /// Path of its settings file.
    pub config: PathBuf,
    /// Path of the file that takes its standard output.
    pub log: PathBuf,
    child: Option<Child>,
}

impl Gateway {
    /// Returns the address for clients.
    pub fn front(&self) -> SocketAddr {
        SocketAddr::new(self.ip, FRONT_PORT)
    }

    /// Returns the address for readiness checks.
    pub fn ready_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, READY_PORT)
    }

    /// Starts the process.
    pub fn start(&mut self) {
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(&self.log);
        // The variable points the tests at another build of the program.
        let program = std::env::var_os("HAWTHORNMILL_PROGRAM");
        let child = Command::new(program.unwrap_or_else(|| PROGRAM.into()))
            .env("HAWTHORNMILL_CONFIG", &self.config)
            .stdin(Stdio::null())
            .stdout(log.expect("the log can be written"))
            .stderr(Stdio::null())
            .spawn();
        self.child = Some(child.expect("the gateway starts"));
    }

    /// Replaces a text in its settings, which it reads when it starts.
    pub fn change_settings(&self, from: &str, to: &str) {
        let text = std::fs::read_to_string(&self.config).expect("the settings can be read");
        std::fs::write(&self.config, text.replace(from, to)).expect("the settings can be written");
    }

    /// Makes the process hear only those that are isolated too, or those that aren't, from its next start on.
    pub fn set_isolated(&self, is_isolated: bool) {
        if is_isolated {
            self.change_settings(KEY, OTHER_KEY);
        } else {
            self.change_settings(OTHER_KEY, KEY);
        }
    }

    /// Sends `signal` to the process.
    pub fn signal(&self, signal: Signal) {
        let child = self.child.as_ref().expect("the gateway runs");
        kill(Pid::from_raw(child.id().cast_signed()), signal).expect("the signal can be sent");
    }

    /// Kills the process and waits until it ends.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _killed = child.kill();
            let _status = child.wait();
        }
    }

    /// Returns the most memory that the process has used, in KiB.
    pub fn peak_memory_kib(&self) -> u64 {
        let child = self.child.as_ref().expect("the gateway runs");
        peak_memory_kib(child.id())
    }

    /// Returns the exit code, or `None` while the process runs.
    pub fn exit_code(&mut self) -> Option<i32> {
        let status = self
            .child
            .as_mut()?
            .try_wait()
            .expect("the process status can be read")?;
        status.code()
    }

    /// Returns the log lines of `event`.
    pub fn logged(&self, event: &str) -> Vec<Value> {
        let text = std::fs::read_to_string(&self.log).unwrap_or_default();
        let lines = text
            .lines()
            .filter_map(|l| serde_json::from_str::<Value>(l).ok());
        lines.filter(|l| l["event"] == event).collect()
    }

    /// Sends a GET request to one of its endpoints.
    pub async fn get(&self, port: u16, path: &str) -> Option<Response> {
        let text = format!("GET {path} HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
        send_request(SocketAddr::new(self.ip, port), text.as_bytes()).await
    }

    /// Tells whether it accepts requests.
    pub async fn is_ready(&self) -> bool {
        self.get(READY_PORT, "/v1/ready")
            .await
            .is_some_and(|a| a.status() == 200)
    }

    /// Returns the addresses that its directory lists.
    pub async fn listed_addresses(&self) -> Vec<SocketAddr> {
        let response = self
            .get(
                DIRECTORY_PORT,
                "/v1/resolve?name=h.example&region=north&zone=a",
            )
            .await;
        let body = response.map(|a| a.body).unwrap_or_default();
        let json: Value = serde_json::from_slice(&body).unwrap_or_default();
        let list = json["addresses"].as_array().cloned().unwrap_or_default();
        list.iter()
            .filter_map(|a| a.as_str()?.parse().ok())
            .collect()
    }

    /// Returns its metrics as text.
    pub async fn metrics(&self) -> String {
        let response = self.get(METRICS_PORT, "/metrics").await;
        response
            .map(|a| String::from_utf8_lossy(&a.body).into_owned())
            .unwrap_or_default()
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Gateway processes with fake servers and a fake store.
#[derive(Debug)]
pub struct Fleet {
    /// The fake store.
    pub store: Store,
    /// Fake servers of the service `app`.
    pub servers: Vec<Server>,
    /// The gateway processes.
    pub gateways: Vec<Gateway>,
    net: [u8; 2],
    dir: PathBuf,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.gateways.clear();
        // The variable keeps the logs of a test.
        if std::env::var_os("HAWTHORNMILL_KEEP").is_none() {
            let _removed = std::fs::remove_dir_all(&self.dir);
        }
    }
}

/// Returns a route of the configuration, extended by the keys of `more`.
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

/// Returns the configuration with which a fleet starts.
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
    /// Starts `gateways` processes in front of `servers` servers and waits until they are ready.
    pub async fn start(gateways: usize, servers: usize) -> Self {
        let mut fleet = Self::prepare(gateways, servers).await;
        fleet
            .store
            .put("op/config", config(1).to_string().as_bytes());
        for gateway in &mut fleet.gateways {
            gateway.start();
        }
        for gateway in &fleet.gateways {
            wait_until("the gateway is ready", || gateway.is_ready()).await;
        }
        fleet
    }

    /// Creates a fleet without starting a process or publishing a configuration.
    pub async fn prepare(gateways: usize, servers: usize) -> Self {
        let net = loopback_network();
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
            fleet.store.listen(fleet.store_address(number)).await;
            fleet.gateways.push(gateway);
        }
        fleet
    }

    /// Returns the address of the store that the gateway of `number` calls.
    ///
    /// Connections to loopback addresses all come from the same one, so the store tells gateways apart by its own.
    pub fn store_address(&self, number: usize) -> SocketAddr {
        SocketAddr::new(self.store.address.ip(), 7_410 + number as u16)
    }

    /// Starts and registers one more server.
    pub async fn add_server(&mut self, name: &str) -> Server {
        let server = self.start_server(name).await;
        self.register(&server, "ready");
        server
    }

    /// Starts one more server, which is not registered yet.
    pub async fn start_server(&mut self, name: &str) -> Server {
        let number = 100 + self.servers.len() as u8;
        let server = Server::start(name, SocketAddr::new(ip(self.net, number), 7_400)).await;
        self.servers.push(server.clone());
        server
    }

    /// Writes the registration of a server; returns its revision.
    pub fn register(&self, server: &Server, state: &str) -> u64 {
        self.register_at(server, server.address, state)
    }

    /// Writes the registration of a server with the address of a proxy in front of it.
    pub fn register_at(&self, server: &Server, address: SocketAddr, state: &str) -> u64 {
        self.write_registration(
            server,
            &json!({"address": address.to_string(), "state": state}),
        )
    }

    /// Writes the registration of a ready server; the keys of `more` replace the usual ones.
    pub fn write_registration(&self, server: &Server, more: &Value) -> u64 {
        let mut entry = json!({"service": "app", "address": server.address.to_string(), "zone": "a",
            "version": "v1", "slots": 4, "state": "ready", "coldRemainingMs": 0, "sequence": server.next_sequence(), "born": server.born()});
        if let (Some(entry), Some(more)) = (entry.as_object_mut(), more.as_object()) {
            entry.extend(more.clone());
        }
        if let Some(born) = entry["born"].as_u64() {
            server.set_born(born);
        }
        self.store.put(
            &format!("servers/{}", server.current_name()),
            entry.to_string().as_bytes(),
        )
    }

    /// Starts each server that crashes again, `pause` later, under another name; never returns.
    pub async fn restart_crashed_servers(&self, pause: Duration) {
        loop {
            tokio::time::sleep(Duration::from_millis(20)).await;
            for server in self.servers.iter().filter(|s| s.is_down()) {
                if server
                    .crashes()
                    .last()
                    .is_some_and(|at| at.elapsed() >= pause)
                {
                    self.store
                        .remove(&format!("servers/{}", server.current_name()));
                    server.run().await;
                    self.register(server, "ready");
                }
            }
        }
    }

    fn gateway(&self, number: usize) -> Gateway {
        let own = ip(self.net, 1 + number as u8);
        let seeds = [1, 2, 99]
            .map(|n| format!("{}:9", ip(self.net, n)))
            .join(",");
        let text = format!(
            "[instance]\nname = g{number}\ndomain = a\nregion = north\n\n[listen]\nfront = {own}:{FRONT_PORT}\n\
             ready = {own}:{READY_PORT}\ndirectory = {own}:{DIRECTORY_PORT}\npeer = {own}:{PEER_PORT}\nmetrics = {own}:{METRICS_PORT}\n\n\
             [peers]\nseeds = {seeds}\nkey = {KEY}\n\n[domain a]\nregion = north\n\n[domain b]\nregion = north\n\n\
             [domain c]\nregion = south\n\n[store]\naddress = {}\n\n\
             [promises]\ngrace_s = 8\nttl_s = 0.3\n",
            self.store_address(number)
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

    /// Sends a request to the first gateway, again while that turns connections away because its process is late.
    ///
    /// It must have logged each time that it did so; a connection that it didn't read is closed without a response.
    pub async fn send_admitted(&self, text: &str) -> Response {
        self.send_admitted_to(0, text).await
    }

    /// Does the same at the gateway of `number`.
    pub async fn send_admitted_to(&self, number: usize, text: &str) -> Response {
        let gateway = &self.gateways[number];
        for _ in 0..MAX_TURNED_AWAY {
            let before = gateway.logged("turned_away").len();
            let response = send_request(gateway.front(), text.as_bytes()).await;
            if let Some(response) = response.filter(|r| !r.is_turned_away()) {
                return response;
            }
            wait_until("the gateway logs what it turned away", || async {
                gateway.logged("turned_away").len() > before
            })
            .await;
        }
        panic!("the gateway turns every connection away");
    }

    /// Returns what the gateways logged about the attempt `id`, as text.
    pub fn request_history(&self, id: &str) -> String {
        let mut instances: Vec<_> = self
            .gateways
            .iter()
            .filter_map(|gateway| {
                let text = std::fs::read_to_string(&gateway.log).unwrap_or_default();
                hawthornmill_tools::request::read(&gateway.log.to_string_lossy(), &text, id)
            })
            .collect();
        instances.sort_by_key(|p| p.steps.first().map(|l| l.time));
        hawthornmill_tools::request::render(&hawthornmill_tools::request::RequestTrace {
            request: id.into(),
            instances,
        })
    }

    /// Copies the logs of the gateways to `to`.
    pub fn copy_logs(&self, to: &std::path::Path) {
        std::fs::create_dir_all(to).expect("the directory can be made");
        for gateway in &self.gateways {
            let name = gateway.log.file_name().expect("a log has a name");
            std::fs::copy(&gateway.log, to.join(name)).expect("a log can be copied");
        }
    }

    /// Returns the number of requests that the servers ran.
    pub fn runs(&self) -> usize {
        self.servers.iter().map(Server::executed_count).sum()
    }
}

fn ip(net: [u8; 2], last: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, net[0], net[1], last))
}

/// Waits until `done` returns true, and fails with `what` after the timeout.
pub async fn wait_until<F: Future<Output = bool>>(what: &str, mut done: impl FnMut() -> F) {
    let end = Instant::now() + WAIT_TIMEOUT;
    while !done().await {
        assert!(Instant::now() < end, "timed out waiting until {what}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// A response as a client receives it.
#[derive(Debug, Clone)]
pub struct Response {
    /// Status line and header fields.
    pub head: ResponseHead,
    /// The received part of the body.
    pub body: Vec<u8>,
    /// Whether the body is complete.
    pub whole: bool,
}

impl Response {
    /// Returns the status code.
    pub fn status(&self) -> u16 {
        self.head.status
    }

    /// Returns the header field `name`.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.head.headers.get_str(name)
    }

    /// Returns whether the gateway turned the connection away because its process is late.
    pub fn is_turned_away(&self) -> bool {
        let body: Value = serde_json::from_slice(&self.body).unwrap_or_default();
        self.status() == 503 && body["code"] == Code::InstanceFull.number()
    }

    /// Returns the body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Returns the head of a request with the account's token; `more` holds further header lines.
pub fn request(method: &str, path: &str, id: &str, more: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: 5000\r\n\
         Authorization: Token key-1\r\n{more}\r\n"
    )
}

/// A client connection.
#[derive(Debug)]
pub struct Client {
    /// The socket.
    pub stream: TcpStream,
    buffer: BytesMut,
}

impl Client {
    /// Connects to a gateway.
    pub async fn connect(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address)
            .await
            .expect("the gateway listens");
        Self {
            stream,
            buffer: BytesMut::new(),
        }
    }

    /// Sends bytes as they are.
    pub async fn send(&mut self, bytes: &[u8]) {
        self.stream
            .write_all(bytes)
            .await
            .expect("the gateway accepts the bytes");
    }

    /// Reads one response; returns `None` if the connection ends before it.
    pub async fn read(&mut self) -> Option<Response> {
        tokio::time::timeout(WAIT_TIMEOUT, self.read_response())
            .await
            .expect("a response arrives in time")
    }

    /// Reads the head of a response, which has no body; returns `None` if the connection ends before it.
    pub async fn read_head(&mut self) -> Option<ResponseHead> {
        loop {
            if let Some((head, length)) =
                head::parse_response(&self.buffer).expect("the response has a valid head")
            {
                let _head = self.buffer.split_to(length);
                return Some(head);
            }
            if !matches!(self.stream.read_buf(&mut self.buffer).await, Ok(n) if n > 0) {
                return None;
            }
        }
    }

    async fn read_response(&mut self) -> Option<Response> {
        let head = self.read_head().await?;
        let framing = head
            .framing("GET")
            .expect("the response has a clear length");
        assert_ne!(
            framing,
            Framing::UntilClose,
            "the end of the response is marked"
        );
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
                    if !matches!(self.stream.read_buf(&mut self.buffer).await, Ok(n) if n > 0) {
                        break;
                    }
                }
            }
        }
        Some(Response { head, body, whole })
    }
}

/// Sends `bytes` on a new connection and reads the response.
pub async fn send_request(address: SocketAddr, bytes: &[u8]) -> Option<Response> {
    let mut stream = tokio::time::timeout(WAIT_TIMEOUT, TcpStream::connect(address))
        .await
        .ok()?
        .ok()?;
    stream.write_all(bytes).await.ok()?;
    Client {
        stream,
        buffer: BytesMut::new(),
    }
    .read()
    .await
}
