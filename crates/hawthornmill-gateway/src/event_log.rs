//! The log: JSON lines on standard output that never hold up a request.
//!
//! Lines gather in memory and a thread of their own writes them out. When the reader of standard
//! output is slow, memory fills: past half of it lines about ordinary successes are dropped, past
//! all of it any line. What was dropped is counted and said once there is room again.

use std::io::Write;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use log::{Level, LevelFilter, Record};
use log4rs::append::Append;
use log4rs::config::{Appender, Config, Root};
use serde_json::{Map, Value, json};

/// Bytes that wait to be written at most: some seconds of one instance's lines under high load.
const MOST_BYTES: usize = 512 << 10;
/// Bytes that are written at once: a pipe takes them whole.
const MOST_PIECE: usize = 4 << 10;
/// Time between two writes.
const WRITE_EVERY: Duration = Duration::from_millis(100);

#[derive(Debug, Default)]
struct Pending {
    bytes: Vec<u8>,
    ordinary: u64,
    others: u64,
}

#[derive(Debug, Clone, Default)]
struct Lines(Arc<Mutex<Pending>>);

impl Lines {
    fn lock(&self) -> MutexGuard<'_, Pending> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn push(&self, ordinary: bool, line: &str) {
        let mut pending = self.lock();
        let room = if ordinary { MOST_BYTES / 2 } else { MOST_BYTES };
        if pending.bytes.len() + line.len() > room {
            if ordinary {
                pending.ordinary += 1;
            } else {
                pending.others += 1;
            }
            return;
        }
        pending.bytes.extend_from_slice(line.as_bytes());
        pending.bytes.push(b'\n');
    }

    fn take(&self) -> Vec<u8> {
        let mut pending = self.lock();
        let mut bytes = std::mem::take(&mut pending.bytes);
        if pending.ordinary + pending.others > 0 {
            let line = json!({
                "event": "lines_dropped",
                "ordinary": pending.ordinary,
                "others": pending.others,
            });
            bytes.extend_from_slice(format!("{line}\n").as_bytes());
            (pending.ordinary, pending.others) = (0, 0);
        }
        bytes
    }
}

impl Append for Lines {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        let ordinary = record.level() >= Level::Info;
        if record.target() == TARGET {
            self.push(ordinary, &record.args().to_string());
        } else {
            let text = record.args().to_string();
            let line = json!({"event": "note", "from": record.target(), "text": text});
            self.push(ordinary, &line.to_string());
        }
        Ok(())
    }

    fn flush(&self) {
        write(&self.take());
    }
}

/// Target of lines that are JSON objects already.
const TARGET: &str = "journal";

fn write(bytes: &[u8]) {
    if bytes.is_empty() {
        return;
    }
    let mut out = std::io::stdout().lock();
    // A reader of the log that is gone must not end the service.
    for piece in bytes.chunks(MOST_PIECE) {
        let _written = out.write_all(piece).and_then(|()| out.flush());
    }
}

/// Starts the log.
///
/// # Errors
/// Words for a library that refuses to start, or a thread that can't.
pub fn init(level: LevelFilter) -> Result<(), Box<str>> {
    let lines = Lines::default();
    let config = Config::builder()
        .appender(Appender::builder().build("lines", Box::new(lines.clone())))
        .build(Root::builder().appender("lines").build(level))
        .map_err(|error| error.to_string())?;
    log4rs::init_config(config).map_err(|error| error.to_string())?;
    std::thread::Builder::new()
        .name("journal".into())
        .spawn(move || {
            loop {
                std::thread::sleep(WRITE_EVERY);
                write(&lines.take());
            }
        })
        .map_err(|error| error.to_string())?;
    Ok(())
}

fn line(event: &str, request: Option<&str>, fields: Value) -> Value {
    let time = SystemTime::now().duration_since(UNIX_EPOCH);
    let mut map = Map::new();
    map.insert(
        "time_ms".into(),
        time.map_or(0, |t| t.as_millis() as u64).into(),
    );
    map.insert("event".into(), event.into());
    if let Some(request) = request {
        map.insert("request".into(), request.into());
    }
    if let Value::Object(fields) = fields {
        map.extend(fields);
    }
    Value::Object(map)
}

/// An ordinary step of a request; the first to be dropped.
pub fn request_step(event: &str, request: &str, fields: Value) {
    if log::log_enabled!(target: TARGET, Level::Info) {
        log::info!(target: TARGET, "{}", line(event, Some(request), fields));
    }
}

/// A request that did not go as it should.
pub fn request_problem(event: &str, request: &str, fields: Value) {
    log::warn!(target: TARGET, "{}", line(event, Some(request), fields));
}

/// A change of what the process believes, its start, its stop, a dependency lost or regained.
pub fn state_change(event: &str, fields: Value) {
    log::warn!(target: TARGET, "{}", line(event, None, fields));
}

/// Writes out what is pending.
pub fn flush() {
    log::logger().flush();
}
