//! Stand-ins of the platform's store, of servers and of clients, and a small fleet of gateway processes.
//!
//! Standard library only. Everything listens on loopback addresses.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// What a case writes down, one line an event, with milliseconds since its start.
pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &Path) -> Arc<Self> {
        Arc::new(Self {
            start: Instant::now(),
            file: Mutex::new(File::create(path).expect("the record can be written")),
        })
    }

    pub fn ms(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.start).as_secs_f64() * 1e3
    }

    pub fn line_at(&self, at: Instant, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _written = writeln!(file, "{:10.1} {text}", self.ms(at));
    }

    pub fn line(&self, text: &str) {
        self.line_at(Instant::now(), text);
    }
}

/// Head of a message, and the bytes of its body.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut all = self.headers.iter();
        let found = all.find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        let mut words = self.first.split(' ');
        words.nth(1).and_then(|w| w.parse().ok()).unwrap_or(0)
    }

    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }
}

/// Reads the first line and the headers; `None` if the channel ends before.
pub fn read_head(reader: &mut impl BufRead) -> Option<Message> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    message.first = line.trim_end().into();
    loop {
        line.clear();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let text = line.trim_end();
        if text.is_empty() {
            return Some(message);
        }
        let (name, value) = text.split_once(':')?;
        message.headers.push((name.into(), value.trim().into()));
    }
}

/// Reads a message whose body has a length, or none; `None` if the channel ends before its end.
pub fn read_message(reader: &mut impl BufRead) -> Option<Message> {
    let mut message = read_head(reader)?;
    let length = message
        .header("content-length")
        .and_then(|l| l.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body).ok()?;
    message.body = body;
    Some(message)
}

fn base64(bytes: &[u8]) -> String {
    const SIGNS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let mut word = [0_u8; 3];
        word[..part.len()].copy_from_slice(part);
        let bits = u32::from_be_bytes([0, word[0], word[1], word[2]]);
        for place in 0..4 {
            if place > part.len() {
                text.push('=');
            } else {
                text.push(SIGNS[(bits >> (18 - 6 * place)) as usize & 63] as char);
            }
        }
    }
    text
}

fn query<'a>(path: &'a str, name: &str) -> Option<&'a str> {
    let pairs = path.split_once('?')?.1.split('&');
    let mut found = pairs.filter_map(|p| p.split_once('='));
    found.find(|(n, _)| *n == name).map(|(_, value)| value)
}

/// Time for which the store keeps its history.
const HISTORY: Duration = Duration::from_secs(20);

/// Items and bytes from which on the next page begins.
const PAGE_ITEMS: usize = 500;
const PAGE_BYTES: usize = 1_000_000;

struct Change {
    key: String,
    revision: u64,
    at: Instant,
    /// Value and revision of the creation; `None` where the item was removed.
    written: Option<(Vec<u8>, u64)>,
}

#[derive(Default)]
struct StoreState {
    revision: u64,
    /// Value, revision of the last change, revision of the creation.
    items: BTreeMap<String, (Vec<u8>, u64, u64)>,
    changes: Vec<Change>,
    /// Changes up to this revision are no longer kept.
    lost_to: u64,
    channels: u64,
    /// Channels up to this number are silent for good.
    silent_to: u64,
}

/// Answers from this size on are written down.
const LARGE_ANSWER: usize = 1 << 20;

/// The platform's store.
pub struct Store {
    state: Mutex<StoreState>,
    changed: Condvar,
    /// Time and size of large answers.
    pub large: Mutex<Vec<(Instant, usize)>>,
    pub address: SocketAddr,
}

impl Store {
    pub fn start(ip: Ipv4Addr) -> Arc<Self> {
        let listener = TcpListener::bind((ip, 0)).expect("the store can listen");
        let state = StoreState {
            revision: 100,
            ..StoreState::default()
        };
        let store = Arc::new(Self {
            state: Mutex::new(state),
            changed: Condvar::new(),
            large: Mutex::default(),
            address: listener.local_addr().unwrap(),
        });
        let own = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&own);
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes an item; the return is the store's confirmation.
    pub fn put(&self, key: &str, value: &str) -> Instant {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let created = state.items.get(key).map_or(revision, |i| i.2);
        let item = (value.as_bytes().to_vec(), revision, created);
        state.items.insert(key.into(), item);
        let written = Some((value.as_bytes().to_vec(), created));
        let at = Instant::now();
        state.changes.push(Change {
            key: key.into(),
            revision,
            at,
            written,
        });
        self.changed.notify_all();
        at
    }

    /// Removes an item.
    pub fn delete(&self, key: &str) -> Instant {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        state.items.remove(key);
        let at = Instant::now();
        state.changes.push(Change {
            key: key.into(),
            revision,
            at,
            written: None,
        });
        self.changed.notify_all();
        at
    }

    /// All channels that are open now go silent for good, without a reset; new ones work. Returns their number.
    pub fn silence_channels(&self) -> u64 {
        let mut state = self.state.lock().unwrap();
        let before = state.silent_to;
        state.silent_to = state.channels;
        self.changed.notify_all();
        state.silent_to - before
    }

    fn serve(&self, mut stream: TcpStream) {
        let number = {
            let mut state = self.state.lock().unwrap();
            state.channels += 1;
            state.channels
        };
        let _set = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        while let Some(request) = read_message(&mut reader) {
            let answer = if request.path().starts_with("/v1/kv-range") {
                Some(self.range(request.path()))
            } else {
                self.watch(request.path(), number)
            };
            let is_silent = || self.state.lock().unwrap().silent_to >= number;
            while is_silent() {
                // The channel stays open and brings nothing, until the process ends.
                thread::sleep(Duration::from_secs(3600));
            }
            let (status, body) = answer.map_or(("410 Gone", "{}".into()), |body| ("200 OK", body));
            let head = format!(
                "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if body.len() > LARGE_ANSWER {
                let mut large = self.large.lock().unwrap();
                large.push((Instant::now(), body.len()));
            }
            if stream.write_all((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }

    fn range(&self, path: &str) -> String {
        let prefix = query(path, "pathPrefix").unwrap_or("");
        let after = query(path, "afterRevision").unwrap_or("");
        let state = self.state.lock().unwrap();
        let items = state.items.iter();
        let mut items = items
            .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after)
            .peekable();
        let (mut entries, mut bytes) = (Vec::new(), 0);
        while let Some((key, (value, revision, created))) =
            items.next_if(|_| entries.len() < PAGE_ITEMS && bytes < PAGE_BYTES)
        {
            let entry = item(key, value, *revision, *created);
            bytes += entry.len();
            entries.push(entry);
        }
        let (has_more, revision) = (items.peek().is_some(), state.revision);
        format!(
            r#"{{"entries":[{}],"hasMore":{has_more},"asOf":{revision}}}"#,
            entries.join(",")
        )
    }

    /// Waits for changes; `None` if some of them are no longer kept.
    fn watch(&self, path: &str, number: u64) -> Option<String> {
        let prefix = query(path, "pathPrefix").unwrap_or("");
        let number_of = |name: &str| query(path, name).and_then(|v| v.parse::<u64>().ok());
        let after = number_of("afterRevision").unwrap_or(0);
        let end =
            Instant::now() + Duration::from_millis(number_of("waitMs").unwrap_or(0).min(30_000));
        let mut state = self.state.lock().unwrap();
        loop {
            let is_old = |c: &Change| c.at.elapsed() > HISTORY;
            let old = state.changes.iter().take_while(|c| is_old(c)).count();
            if let Some(last) = state.changes.drain(..old).last() {
                state.lost_to = last.revision;
            }
            if after < state.lost_to {
                return None;
            }
            let changes = state.changes.iter();
            let changes = changes.filter(|c| c.revision > after && c.key.starts_with(prefix));
            let events: Vec<String> = changes
                .map(|c| match &c.written {
                    Some((value, created)) => item(&c.key, value, c.revision, *created),
                    None => format!(
                        r#"{{"key":"{}","revision":{},"deleted":true}}"#,
                        c.key, c.revision
                    ),
                })
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() || state.silent_to >= number {
                let revision = state.revision;
                return Some(format!(
                    r#"{{"events":[{}],"asOf":{revision}}}"#,
                    events.join(",")
                ));
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn item(key: &str, value: &[u8], revision: u64, created: u64) -> String {
    let value = base64(value);
    format!(
        r#"{{"key":"{key}","value":"{value}","revision":{revision},"created":{created},"lease":0}}"#
    )
}

/// Settings of a gateway process, as `deploy/gateway.ini` gives them on a small installation.
pub struct Machine {
    pub name: String,
    pub zone: &'static str,
    pub ip: Ipv4Addr,
}

pub const ZONES: [(&str, &str); 3] = [
    ("nbo-west", "nairobi"),
    ("mba-north", "mombasa"),
    ("nbo-east", "nairobi"),
];

/// Ports of all machines; each machine has an address of its own.
#[derive(Clone, Copy)]
pub struct Ports {
    pub front: u16,
    pub ready: u16,
    pub directory: u16,
    pub control: u16,
    pub peer: u16,
}

/// A loopback network of which the first addresses are free at the ports, for up to `machines` machines.
pub fn free_network(machines: u8) -> ([u8; 2], Ports) {
    let ports = Ports {
        front: 8783,
        ready: 8780,
        directory: 8789,
        control: 8785,
        peer: 7400,
    };
    let mut number = std::process::id() * 7;
    loop {
        number += 1;
        let net = [(20 + number / 250 % 200) as u8, (number % 250) as u8];
        let all = [ports.front, ports.ready, ports.directory, ports.peer, 7410];
        let is_free = (0..=machines).all(|m| {
            let ip = Ipv4Addr::new(127, net[0], net[1], m + 1);
            all.iter()
                .all(|port| TcpListener::bind((ip, *port)).is_ok())
        });
        if is_free {
            return (net, ports);
        }
    }
}

pub struct Gateway {
    pub machine: Machine,
    pub ports: Ports,
    pub config: PathBuf,
    log: PathBuf,
    pub child: Option<Child>,
}

impl Gateway {
    pub fn new(
        dir: &Path,
        machine: Machine,
        ports: Ports,
        seeds: &[Ipv4Addr],
        store: SocketAddr,
    ) -> Self {
        let config = dir.join(format!("{}.ini", machine.name));
        let gateway = Self {
            log: dir.join(format!("{}.log", machine.name)),
            machine,
            ports,
            config,
            child: None,
        };
        gateway.write_settings(seeds, store, 260, true);
        gateway
    }

    pub fn write_settings(
        &self,
        seeds: &[Ipv4Addr],
        store: SocketAddr,
        memory_mb: u32,
        first_start: bool,
    ) {
        let (m, p) = (&self.machine, self.ports);
        let region = ZONES.iter().find(|(z, _)| *z == m.zone).unwrap().1;
        let seeds: Vec<String> = seeds
            .iter()
            .map(|ip| format!("{ip}:{}", p.control))
            .collect();
        let zones: Vec<String> = ZONES
            .iter()
            .map(|(zone, region)| format!("[domain {zone}]\nregion = {region}\n"))
            .collect();
        let text = format!(
            "[instance]\nname = {}\ndomain = {}\nregion = {region}\ncores = 1\ncpu_share = 0.25\n\
             memory_mb = {memory_mb}\nfirst_start = {first_start}\n\n[listen]\nfront = {ip}:{}\nready = {ip}:{}\n\
             directory = {ip}:{}\npeer = {ip}:{}\nmetrics = {ip}:7410\n\n[peers]\nseeds = {}\n\
             key = 8f0c1a52b7e64d39a1c5f2087be94d63105ad7c8e2f93b46700de1b85c2f4a97\n\n{}\n[store]\naddress = {store}\n\n\
             [promises]\napply_ms = 3000\ngrace_s = 8\nttl_s = 1\nresend_ratio = 0.2\nresend_extra = 56\n\
             resend_window_s = 10\n\n[policy]\nlong_prompt_ratio = 0.55\nlong_prompt_slots = 12\n",
            m.name,
            m.zone,
            p.front,
            p.ready,
            p.directory,
            p.peer,
            seeds.join(","),
            zones.join("\n"),
            ip = m.ip,
        );
        std::fs::write(&self.config, text).expect("the settings can be written");
    }

    pub fn start(&mut self) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log)
            .unwrap();
        let child = Command::new("target/release/hawthornmill-gateway")
            .env_clear()
            .env("HAWTHORNMILL_CONFIG", &self.config)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null())
            .spawn();
        self.child = Some(child.expect("the gateway starts"));
    }

    pub fn front(&self) -> SocketAddr {
        (self.machine.ip, self.ports.front).into()
    }

    pub fn is_ready(&self) -> bool {
        let address: SocketAddr = (self.machine.ip, self.ports.ready).into();
        let text = "GET /v1/ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
        exchange(address, text.as_bytes(), Duration::from_secs(1))
            .is_some_and(|a| a.status() == 200)
    }

    pub fn signal(&self, signal: &str) {
        let id = self.child.as_ref().unwrap().id().to_string();
        let _status = Command::new("kill").args([signal, id.as_str()]).status();
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _killed = child.kill();
            let _status = child.wait();
        }
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Waits until all gateways are ready; false after 20 s.
pub fn wait_ready(gateways: &[Gateway]) -> bool {
    let end = Instant::now() + Duration::from_secs(20);
    while Instant::now() < end {
        if gateways.iter().all(Gateway::is_ready) {
            return true;
        }
        thread::sleep(Duration::from_millis(50));
    }
    false
}

/// Sends a request on a new channel and reads its answer.
pub fn exchange(address: SocketAddr, request: &[u8], timeout: Duration) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    let _set = stream.set_nodelay(true);
    let _set = stream.set_read_timeout(Some(timeout));
    stream.write_all(request).ok()?;
    read_message(&mut BufReader::new(stream))
}

/// What a server saw of a request.
#[derive(Debug, Clone)]
pub struct Run {
    pub attempt: String,
    pub server: String,
    pub at: Instant,
}

/// A sound server, which registers itself in the store.
pub struct Server {
    pub id: String,
    pub service: &'static str,
    pub address: SocketAddr,
    pub runs: Arc<Mutex<Vec<Run>>>,
}

static STAMPS: AtomicU64 = AtomicU64::new(1);

impl Server {
    /// Starts a server whose runs take `work`.
    pub fn start(ip: Ipv4Addr, id: &str, service: &'static str, work: Duration) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("a server can listen");
        let address = listener.local_addr().unwrap();
        let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
        let (own, name) = (Arc::clone(&runs), id.to_string());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (runs, name) = (Arc::clone(&own), name.clone());
                thread::spawn(move || serve(stream, &name, &runs, work));
            }
        });
        Self {
            id: id.into(),
            service,
            address,
            runs,
        }
    }

    /// Registers the server.
    pub fn register(&self, store: &Store, zone: &str, state: &str) -> Instant {
        let entry = format!(
            r#"{{"service":"{}","address":"{}","zone":"{zone}","version":"v1","slots":6,"state":"{state}","coldRemainingMs":0,"sequence":4,"born":1760000000000}}"#,
            self.service, self.address
        );
        store.put(&format!("servers/{}", self.id), &entry)
    }
}

fn serve(mut stream: TcpStream, name: &str, runs: &Mutex<Vec<Run>>, work: Duration) {
    let _set = stream.set_nodelay(true);
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    while let Some(request) = read_message(&mut reader) {
        if request.header("expect-instance").is_some_and(|i| i != name) {
            let text = format!(
                "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: {name}\r\nContent-Length: 0\r\n\r\n"
            );
            if stream.write_all(text.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        let attempt = request.header("attempt-id").unwrap_or("").to_string();
        runs.lock().unwrap().push(Run {
            attempt: attempt.clone(),
            server: name.into(),
            at: Instant::now(),
        });
        thread::sleep(work);
        let stamp = STAMPS.fetch_add(1, Ordering::Relaxed);
        let body = format!("served by {name} for {attempt}\n");
        let text = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nServer-Stamp: {name}.{stamp}.{}\r\nContent-Length: {}\r\n\
             Keep-Alive: timeout=10\r\n\r\n{body}",
            body.len(),
            body.len()
        );
        if stream.write_all(text.as_bytes()).is_err() {
            return;
        }
    }
}

/// Whether the case is played with its disruption.
pub fn with_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |v| v != "0")
}

/// A temporary folder that is removed on drop.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("review-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a temporary folder can be created");
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _removed = std::fs::remove_dir_all(&self.0);
        }
    }
}

/// Ends threads that loop.
pub static STOP: AtomicBool = AtomicBool::new(false);
