//! The event log: JSON lines on standard output, written without blocking requests.
//!
//! Lines are buffered in memory and written by a separate thread. If the reader of standard output is
//! slow, the buffer fills up: lines of level info are dropped once it is half full, and all lines once
//! it is full. The number of dropped lines is logged when there is room again.

use std::io::Write;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use log::{Level, LevelFilter, Record};
use log4rs::append::Append;
use log4rs::config::{Appender, Config, Root};
use serde_json::{Map, Value, json};

/// Size of the buffer: a few seconds of an instance's lines under high load.
const BUFFER_BYTES: usize = 512 << 10;
/// Bytes per write: a pipe accepts that many at once.
const WRITE_BYTES: usize = 4 << 10;
const WRITE_INTERVAL: Duration = Duration::from_millis(100);

#[derive(Debug, Default)]
struct Buffered {
    bytes: Vec<u8>,
    info_dropped: u64,
    other_dropped: u64,
}

#[derive(Debug, Default)]
struct Shared {
    buffered: Mutex<Buffered>,
    filled: Condvar,
}

#[derive(Debug, Clone, Default)]
struct LineBuffer(Arc<Shared>);

impl LineBuffer {
    fn lock(&self) -> MutexGuard<'_, Buffered> {
        let buffered = self.0.buffered.lock();
        buffered.unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until there is something to write; an idle process must not wake up for its log.
    fn wait_filled(&self) {
        let is_empty = |b: &mut Buffered| b.bytes.is_empty();
        let _filled = self.0.filled.wait_while(self.lock(), is_empty);
    }

    fn push(&self, low_priority: bool, line: &str) {
        let mut pending = self.lock();
        let limit = if low_priority {
            BUFFER_BYTES / 2
        } else {
            BUFFER_BYTES
        };
        if pending.bytes.len() + line.len() > limit {
            if low_priority {
                pending.info_dropped += 1;
            } else {
                pending.other_dropped += 1;
            }
            return;
        }
        let was_empty = pending.bytes.is_empty();
        pending.bytes.extend_from_slice(line.as_bytes());
        pending.bytes.push(b'\n');
        if was_empty {
            self.0.filled.notify_one();
        }
    }

    fn take_bytes(&self) -> Vec<u8> {
        let mut pending = self.lock();
        let mut bytes = std::mem::take(&mut pending.bytes);
        if pending.info_dropped + pending.other_dropped > 0 {
            let line = json!({
                "event": "lines_dropped",
                "ordinary": pending.info_dropped,
                "others": pending.other_dropped,
            });
            bytes.extend_from_slice(format!("{line}\n").as_bytes());
            (pending.info_dropped, pending.other_dropped) = (0, 0);
        }
        bytes
    }
}

impl Append for LineBuffer {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        let low_priority = record.level() >= Level::Info;
        if record.target() == TARGET {
            self.push(low_priority, &record.args().to_string());
        } else {
            let text = record.args().to_string();
            let line = json!({"event": "note", "from": record.target(), "text": text});
            self.push(low_priority, &line.to_string());
        }
        Ok(())
    }

    fn flush(&self) {
        write(&self.take_bytes());
    }
}

/// Target of records that are JSON objects already.
const TARGET: &str = "journal";

fn write(bytes: &[u8]) {
    if bytes.is_empty() {
        return;
    }
    let mut out = std::io::stdout().lock();
    // The service must go on if nobody reads the log.
    for piece in bytes.chunks(WRITE_BYTES) {
        let _written = out.write_all(piece).and_then(|()| out.flush());
    }
}

/// Initializes the log.
///
/// # Errors
/// A message if the logger or the writer thread can't be started.
pub fn init(level: LevelFilter) -> Result<(), Box<str>> {
    let buffer = LineBuffer::default();
    let config = Config::builder()
        .appender(Appender::builder().build("lines", Box::new(buffer.clone())))
        .build(Root::builder().appender("lines").build(level))
        .map_err(|error| error.to_string())?;
    log4rs::init_config(config).map_err(|error| error.to_string())?;
    std::thread::Builder::new()
        .name("journal".into())
        .spawn(move || {
            loop {
                buffer.wait_filled();
                std::thread::sleep(WRITE_INTERVAL);
                write(&buffer.take_bytes());
            }
        })
        .map_err(|error| error.to_string())?;
    Ok(())
}

fn format_event(event: &str, request: Option<&str>, fields: Value) -> Value {
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

/// Logs a step of a request at level info; such lines are dropped first.
pub fn request_step(event: &str, request: &str, fields: Value) {
    if log::log_enabled!(target: TARGET, Level::Info) {
        log::info!(target: TARGET, "{}", format_event(event, Some(request), fields));
    }
}

/// Logs a problem of a request.
pub fn request_problem(event: &str, request: &str, fields: Value) {
    log::warn!(target: TARGET, "{}", format_event(event, Some(request), fields));
}

/// Logs a change of the process state: start, stop, new settings or catalog, a lost or restored dependency.
pub fn state_change(event: &str, fields: Value) {
    log::warn!(target: TARGET, "{}", format_event(event, None, fields));
}

/// Writes all buffered lines.
pub fn flush() {
    log::logger().flush();
}
