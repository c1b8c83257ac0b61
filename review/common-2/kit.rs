//! Stand-ins of the platform's store and of servers, a client, and the start of gateway processes, for the scripts of
//! this review. Only the standard library is used.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::{File, OpenOptions};
use std::io::{self, Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, OnceLock, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Exit codes of a script.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

/// Longest time of a script; one that takes longer couldn't run.
const MOST: Duration = Duration::from_secs(110);

/// Processes that were started, and the temporary folder.
static CHILDREN: Mutex<Vec<Arc<Mutex<Child>>>> = Mutex::new(Vec::new());
static FOLDER: Mutex<Option<PathBuf>> = Mutex::new(None);

fn lock<T>(value: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    value.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Ends all processes that were started, and the script.
pub fn finish(code: i32) -> ! {
    for child in lock(&CHILDREN).iter() {
        let mut child = lock(child);
        let _killed = child.kill();
        let _status = child.wait();
    }
    if let Some(folder) = lock(&FOLDER).take() {
        if std::env::var_os("KEEP").is_none() {
            let _removed = std::fs::remove_dir_all(&folder);
        } else {
            eprintln!("kept {}", folder.display());
        }
    }
    std::process::exit(code)
}

/// Writes `record.txt`, with the time since the start in front of each line.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Creates the file, and sees to it that the script ends in time, also if one of its threads fails.
    pub fn create(path: &str) -> Self {
        let hook = std::panic::take_hook();
        std::panic::set_hook(Box::new(move |info| {
            hook(info);
            finish(COULD_NOT_RUN);
        }));
        thread::spawn(|| {
            thread::sleep(MOST);
            give_up("it takes too long");
        });
        let file = OpenOptions::new()
            .create(true)
            .write(true)
            .truncate(true)
            .open(path);
        let file = file.unwrap_or_else(|e| give_up(&format!("can't write {path}: {e}")));
        Self {
            start: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        }
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:8.3} {text}\n", self.start.elapsed().as_secs_f64());
        let _written = self
            .file
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .write_all(line.as_bytes());
    }
}

/// Ends a script that can't run.
pub fn give_up(why: &str) -> ! {
    eprintln!("could not run: {why}");
    finish(COULD_NOT_RUN)
}

/// Returns whether the disruption is played.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |v| v != "0")
}

pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_millis() as u64)
}

/// Returns a loopback address of a network that this run uses.
pub fn ip(last: u8) -> IpAddr {
    let pid = std::process::id();
    let net = (16 + pid / 250 % 200, pid % 250);
    IpAddr::V4(Ipv4Addr::new(127, net.0 as u8, net.1 as u8, last))
}

/// Returns the address of a host of this run; all ports are moved alike to where they are free.
pub fn at(last: u8, port: u16) -> SocketAddr {
    SocketAddr::new(ip(last), port + shift())
}

/// Ports that a run uses, apart from hosts.
const PORTS: [u16; 8] = [FRONT, READY, DIRECTORY, PEER, METRICS, STORE, SERVER, 8_785];

/// Returns by how much the ports are moved: another process may listen on one of them at all addresses.
fn shift() -> u16 {
    static SHIFT: OnceLock<u16> = OnceLock::new();
    let is_free = |shift: &u16| {
        let addresses = PORTS.map(|port| SocketAddr::new(ip(1), port + shift));
        addresses
            .iter()
            .all(|a| TcpListener::bind(a).is_ok() && UdpSocket::bind(a).is_ok())
    };
    *SHIFT.get_or_init(|| {
        let mut shifts = (0..100).map(|n| n * 61);
        shifts
            .find(is_free)
            .unwrap_or_else(|| give_up("no free ports"))
    })
}

/// Waits until `check` holds, for `most` at most; returns whether it does.
pub fn wait_until(most: Duration, mut check: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + most;
    while Instant::now() < end {
        if check() {
            return true;
        }
        thread::sleep(Duration::from_millis(20));
    }
    check()
}

// ---------------------------------------------------------------------------------------------------------------- HTTP

/// A head with its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// The body ended as its framing says.
    pub whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, v)| v.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first_line
            .split(' ')
            .nth(1)
            .and_then(|s| s.parse().ok())
            .unwrap_or(0)
    }

    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }

    pub fn method(&self) -> &str {
        self.first_line.split(' ').next().unwrap_or("")
    }
}

/// A connection with the bytes that were read and not used yet.
pub struct Conn {
    pub stream: TcpStream,
    pub rest: Vec<u8>,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Self {
        let _set = stream.set_nodelay(true);
        Self {
            stream,
            rest: Vec::new(),
        }
    }

    pub fn open(to: SocketAddr) -> io::Result<Self> {
        TcpStream::connect_timeout(&to, Duration::from_secs(1)).map(Self::new)
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut part = [0; 16 << 10];
        let read = self.stream.read(&mut part)?;
        self.rest.extend_from_slice(&part[..read]);
        Ok(read)
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Reads a head; `None` if the connection ends before its first byte.
    pub fn read_head(&mut self) -> io::Result<Option<Message>> {
        loop {
            if let Some(end) = find(&self.rest, b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.rest[..end]).into_owned();
                self.rest.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let first_line = lines.next().unwrap_or("").to_owned();
                let headers = lines.filter_map(|l| l.split_once(':'));
                let headers = headers
                    .map(|(n, v)| (n.trim().to_owned(), v.trim().to_owned()))
                    .collect();
                return Ok(Some(Message {
                    first_line,
                    headers,
                    ..Message::default()
                }));
            }
            if self.fill()? == 0 {
                if self.rest.is_empty() {
                    return Ok(None);
                }
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    fn take(&mut self, bytes: usize) -> io::Result<Vec<u8>> {
        while self.rest.len() < bytes {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.rest.drain(..bytes).collect())
    }

    fn take_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = find(&self.rest, b"\r\n") {
                let line = String::from_utf8_lossy(&self.rest[..end]).into_owned();
                self.rest.drain(..end + 2);
                return Ok(line);
            }
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads the body of a request or of a response with a length or in chunks; what came is kept if it is cut.
    pub fn read_body(&mut self, message: &mut Message, until_close: bool) {
        let chunked = message.header("transfer-encoding").is_some();
        let length = message
            .header("content-length")
            .and_then(|l| l.parse().ok());
        let end: io::Result<()> = (|| {
            if chunked {
                loop {
                    let line = self.take_line()?;
                    let size =
                        usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16);
                    let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
                    if size == 0 {
                        while !self.take_line()?.is_empty() {}
                        return Ok(());
                    }
                    let data = self.take(size)?;
                    message.body.extend(data);
                    self.take_line()?;
                }
            }
            if let Some(length) = length {
                message.body = self.take(length)?;
                return Ok(());
            }
            if until_close {
                while self.fill()? > 0 {}
                message.body = std::mem::take(&mut self.rest);
            }
            Ok(())
        })();
        message.whole = end.is_ok();
    }

    /// Reads a chunk of a body; an empty one is the last. `None` if the connection ends before.
    pub fn read_chunk(&mut self) -> Option<Vec<u8>> {
        let line = self.take_line().ok()?;
        let size = usize::from_str_radix(line.split(';').next()?.trim(), 16).ok()?;
        let data = self.take(size).ok()?;
        self.take_line().ok()?;
        Some(data)
    }

    /// Reads a response; `None` if the connection ends without one.
    pub fn read_response(&mut self, most: Duration) -> Option<Message> {
        self.stream.set_read_timeout(Some(most)).ok()?;
        let mut response = self.read_head().ok()??;
        self.read_body(&mut response, true);
        Some(response)
    }
}

pub fn find(bytes: &[u8], what: &[u8]) -> Option<usize> {
    bytes.windows(what.len()).position(|w| w == what)
}

/// Returns a request of a client of the tenant `lab`.
pub fn request(method: &str, path: &str, id: &str, deadline_ms: u64, body: &[u8]) -> Vec<u8> {
    let mut text = format!(
        "{method} {path} HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: {deadline_ms}\r\n\
         Authorization: Token key-1\r\n"
    );
    if !body.is_empty() {
        text += &format!("Content-Length: {}\r\n", body.len());
    }
    let mut bytes = (text + "\r\n").into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

static STAMPS: AtomicU64 = AtomicU64::new(1);

/// Returns a server's answer to the request `id`.
pub fn answer(status: &str, id: &str, body: &[u8]) -> Vec<u8> {
    let stamp = STAMPS.fetch_add(1, Ordering::Relaxed);
    let head = format!(
        "HTTP/1.1 {status}\r\nAttempt-Id: {id}\r\nServer-Stamp: s{stamp:x}\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

// --------------------------------------------------------------------------------------------------------------- store

#[derive(Clone)]
struct Item {
    key: String,
    value: Option<Vec<u8>>,
    revision: u64,
    created: u64,
}

#[derive(Default)]
struct Items {
    current: BTreeMap<String, Item>,
    history: Vec<Item>,
    revision: u64,
    calls: Vec<String>,
}

/// The platform's store: lists, watches and reads of a key.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    items: Arc<(Mutex<Items>, Condvar)>,
}

impl Store {
    pub fn start(address: SocketAddr) -> Self {
        let listener =
            TcpListener::bind(address).unwrap_or_else(|e| give_up(&format!("store: {e}")));
        let items = Items {
            revision: 100,
            ..Items::default()
        };
        let store = Self {
            address,
            items: Arc::new((Mutex::new(items), Condvar::new())),
        };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(Conn::new(stream)));
            }
        });
        store
    }

    /// Writes a value; the return is the confirmation.
    pub fn put(&self, key: &str, value: &str) -> u64 {
        self.write(key, Some(value.as_bytes().to_vec()))
    }

    /// Returns the present value of a key.
    pub fn value(&self, key: &str) -> Option<String> {
        let items = self.items.0.lock().unwrap_or_else(PoisonError::into_inner);
        let value = items.current.get(key).and_then(|i| i.value.clone());
        value.map(|v| String::from_utf8_lossy(&v).into_owned())
    }

    pub fn delete(&self, key: &str) -> u64 {
        self.write(key, None)
    }

    fn write(&self, key: &str, value: Option<Vec<u8>>) -> u64 {
        let (items, changed) = &*self.items;
        let mut items = items.lock().unwrap_or_else(PoisonError::into_inner);
        items.revision += 1;
        let revision = items.revision;
        let created = items.current.get(key).map_or(revision, |i| i.created);
        let item = Item {
            key: key.to_owned(),
            value,
            revision,
            created,
        };
        if item.value.is_some() {
            items.current.insert(key.to_owned(), item.clone());
        } else {
            items.current.remove(key);
        }
        items.history.push(item);
        changed.notify_all();
        revision
    }

    fn serve(&self, mut conn: Conn) {
        while let Ok(Some(request)) = conn.read_head() {
            let body = self.respond(request.target());
            let (status, body) = body.map_or(("404 Not Found", "{}".to_owned()), |b| ("200 OK", b));
            let head = format!(
                "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if conn.send((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }

    fn respond(&self, target: &str) -> Option<String> {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: BTreeMap<&str, String> = query
            .split('&')
            .filter_map(|p| p.split_once('='))
            .map(|(n, v)| (n, decode(v)))
            .collect();
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        let (items, changed) = &*self.items;
        let mut items = items.lock().unwrap_or_else(PoisonError::into_inner);
        items.calls.push(target.to_owned());
        match path {
            "/v1/kv-key" => items.current.get(&text("key")).map(item_json),
            "/v1/kv-range" => {
                let (prefix, after) = (text("pathPrefix"), text("afterRevision"));
                let listed = items.current.values();
                let listed = listed
                    .filter(|i| i.key.starts_with(&prefix) && (after.is_empty() || i.key > after));
                let listed: Vec<String> = listed.map(item_json).collect();
                Some(format!(
                    "{{\"entries\":[{}],\"hasMore\":false,\"asOf\":{}}}",
                    listed.join(","),
                    items.revision
                ))
            }
            "/v1/kv-watch" => {
                let (prefix, after) = (
                    text("pathPrefix"),
                    text("afterRevision").parse().unwrap_or(0),
                );
                let wait = Duration::from_millis(text("waitMs").parse().unwrap_or(0).min(30_000));
                let is_new = |i: &&Item| i.revision > after && i.key.starts_with(&prefix);
                let end = Instant::now() + wait;
                while !items.history.iter().any(|i| is_new(&i)) && Instant::now() < end {
                    let left = end.saturating_duration_since(Instant::now());
                    items = changed.wait_timeout(items, left).unwrap().0;
                }
                let events: Vec<String> =
                    items.history.iter().filter(is_new).map(item_json).collect();
                Some(format!(
                    "{{\"events\":[{}],\"asOf\":{}}}",
                    events.join(","),
                    items.revision
                ))
            }
            _ => None,
        }
    }
}

fn item_json(item: &Item) -> String {
    match &item.value {
        Some(value) => format!(
            "{{\"key\":\"{}\",\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":0}}",
            item.key,
            base64(value),
            item.revision,
            item.created
        ),
        None => format!(
            "{{\"key\":\"{}\",\"revision\":{},\"deleted\":true}}",
            item.key, item.revision
        ),
    }
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let code = (bytes[at] == b'%')
            .then(|| text.get(at + 1..at + 3))
            .flatten();
        if let Some(byte) = code.and_then(|c| u8::from_str_radix(c, 16).ok()) {
            out.push(byte);
            at += 3;
        } else {
            out.push(bytes[at]);
            at += 1;
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for part in bytes.chunks(3) {
        let word = u32::from(part[0]) << 16
            | u32::from(*part.get(1).unwrap_or(&0)) << 8
            | u32::from(*part.get(2).unwrap_or(&0));
        for digit in 0..4 {
            if digit <= part.len() {
                out.push(DIGITS[(word >> (18 - 6 * digit) & 63) as usize] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}

// ------------------------------------------------------------------------------------------------------------- servers

/// Returns the registration of a ready server of the service `app`.
pub fn registration(address: SocketAddr, zone: &str, slots: u32) -> String {
    entry("app", address, zone, slots, "ready", "v1", unix_ms())
}

pub fn entry(
    service: &str,
    address: SocketAddr,
    zone: &str,
    slots: u32,
    state: &str,
    version: &str,
    born: u64,
) -> String {
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"{version}\",\
         \"slots\":{slots},\"state\":\"{state}\",\"coldRemainingMs\":0,\"sequence\":1,\"born\":{born}}}"
    )
}

/// Serves connections at `address`, each in a thread of its own.
pub fn listen(address: SocketAddr, serve: impl Fn(Conn) + Send + Sync + 'static) {
    let listener = TcpListener::bind(address).unwrap_or_else(|e| give_up(&format!("server: {e}")));
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = Arc::clone(&serve);
            thread::spawn(move || serve(Conn::new(stream)));
        }
    });
}

// ------------------------------------------------------------------------------------------------------------ gateways

const KEY: &str = "8f0c1a52b7e64d39a1c5f2087be94d63105ad7c8e2f93b46700de1b85c2f4a97";
const FRONT: u16 = 8783;
const READY: u16 = 8780;
const DIRECTORY: u16 = 8789;
/// Port of the store.
pub const STORE: u16 = 8_781;
/// Port of each server.
pub const SERVER: u16 = 7_000;
const PEER: u16 = 7400;
const METRICS: u16 = 7410;

/// A gateway process with the settings of a small deployment, as deploy/gateway.ini fills them in.
pub struct Gateway {
    pub name: String,
    pub number: u8,
    pub config: PathBuf,
    pub log: PathBuf,
    child: Option<Arc<Mutex<Child>>>,
}

/// A folder for settings and logs, removed at the end unless the variable KEEP is set.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create() -> Self {
        let path = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        std::fs::create_dir_all(&path)
            .unwrap_or_else(|e| give_up(&format!("temporary folder: {e}")));
        *lock(&FOLDER) = Some(path.clone());
        Self(path)
    }
}

impl Gateway {
    /// Starts the gateway of `number`, from 1, in zone `zone`, with the store at `store`.
    pub fn start(folder: &Folder, number: u8, zone: &str, store: SocketAddr) -> Self {
        let [front, ready, directory, peer, metrics] =
            [FRONT, READY, DIRECTORY, PEER, METRICS].map(|port| at(number, port));
        let name = format!("front-{zone}-{number}");
        let seeds: Vec<String> = (1..=3).map(|n| at(n, 8_785).to_string()).collect();
        let text = format!(
            "[instance]\nname = {name}\ndomain = {zone}\nregion = north\ncores = 1\ncpu_share = 0.25\nmemory_mb = 110\n\
             first_start = true\n\n[listen]\nfront = {front}\nready = {ready}\ndirectory = {directory}\n\
             peer = {peer}\nmetrics = {metrics}\n\n[peers]\nseeds = {}\nkey = {KEY}\n\n\
             [domain a]\nregion = north\n\n[domain b]\nregion = north\n\n[domain c]\nregion = south\n\n\
             [store]\naddress = {store}\nhistory_s = 20\nheartbeat_ms = 1200\ndrain_ms = 3000\n\n\
             [promises]\napply_ms = 3000\ngrace_s = 8\nttl_s = 1\nresend_ratio = 0.2\nresend_extra = 56\n\
             resend_window_s = 10\n\n[policy]\nlong_prompt_ratio = 0.55\nlong_prompt_slots = 12\n",
            seeds.join(",")
        );
        let config = folder.0.join(format!("{name}.ini"));
        std::fs::write(&config, text).unwrap_or_else(|e| give_up(&format!("settings: {e}")));
        let log = folder.0.join(format!("{name}.log"));
        let mut gateway = Self {
            name,
            number,
            config,
            log,
            child: None,
        };
        gateway.run();
        gateway
    }

    /// Starts the process with its settings file.
    pub fn run(&mut self) {
        let log = OpenOptions::new().create(true).append(true).open(&self.log);
        let log = log.unwrap_or_else(|e| give_up(&format!("log: {e}")));
        let child = Command::new("target/release/hawthornmill-gateway")
            .env("HAWTHORNMILL_CONFIG", &self.config)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null())
            .spawn();
        let child = Arc::new(Mutex::new(
            child.unwrap_or_else(|e| give_up(&format!("gateway: {e}"))),
        ));
        lock(&CHILDREN).push(Arc::clone(&child));
        self.child = Some(child);
    }

    /// Fills the settings in as the platform does when it isn't the first start of the whole system.
    pub fn set_restarted(&self) {
        let text = std::fs::read_to_string(&self.config).unwrap_or_default();
        let _written = std::fs::write(
            &self.config,
            text.replace("first_start = true", "first_start = false"),
        );
    }

    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, |c| lock(c).id())
    }

    pub fn front(&self) -> SocketAddr {
        at(self.number, FRONT)
    }

    pub fn ready(&self) -> SocketAddr {
        at(self.number, READY)
    }

    /// Sends a signal by its name, as in `kill -NAME PID`.
    pub fn signal(&self, name: &str) {
        let pid = self.pid().to_string();
        let _sent = Command::new("kill")
            .args([&format!("-{name}"), &pid])
            .status();
    }

    pub fn kill(&mut self) {
        if let Some(child) = self.child.take() {
            let mut child = lock(&child);
            let _killed = child.kill();
            let _status = child.wait();
        }
    }

    /// Returns the exit status if the process has ended.
    pub fn ended(&mut self) -> Option<std::process::ExitStatus> {
        self.child
            .as_ref()
            .and_then(|c| lock(c).try_wait().ok().flatten())
    }

    pub fn is_ready(&self) -> bool {
        let Ok(mut conn) = Conn::open(self.ready()) else {
            return false;
        };
        let text = b"GET /v1/ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
        conn.send(text).is_ok()
            && conn
                .read_response(Duration::from_secs(1))
                .is_some_and(|r| r.status() == 200)
    }

    pub fn wait_ready(&self) {
        if !wait_until(Duration::from_secs(20), || self.is_ready()) {
            give_up(&format!("{} isn't ready", self.name));
        }
    }
}

/// Returns a route of the configuration to the service `service`.
pub fn route(name: &str, kind: &str, service: &str, more: &str) -> String {
    format!(
        "{{\"name\":\"{name}\",\"host\":\"h.example\",\"pathPrefix\":\"/{name}/\",\"kind\":\"{kind}\",\"timeoutMs\":6000,\
         \"targetLatencyMs\":400,\"priority\":1,\"service\":\"{service}\",\"maxAttempts\":2,\"public\":false{more}}}"
    )
}

/// Returns a configuration with one tenant.
pub fn config(version: u64, routes: &[String], services: &str, body_bytes: u64) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":{services},\"limits\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":{body_bytes},\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\
         \"tenants\":[{{\"name\":\"lab\",\"apiKeys\":[\"key-1\"]}}]}}",
        routes.join(",")
    )
}
