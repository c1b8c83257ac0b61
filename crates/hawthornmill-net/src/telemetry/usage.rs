//! Writes usage records and marks.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use hawthornmill::usage::{OpenCalls, UsageCheckpoint, UsageLine, UsageRecord, WaitTracker};

use super::logs::RAW;

/// Time between two marks.
pub const MARK: Duration = Duration::from_millis(500);

type Open = BTreeMap<(Box<str>, Box<str>), (u64, f64)>;

/// Numbers of the records of one process run, and what a mark tells.
#[derive(Debug, Default)]
pub struct Usage {
    last: AtomicU64,
    open: Mutex<Open>,
    causes: Mutex<WaitTracker>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Usage {
    /// Why calls waited; the board must be locked first.
    pub fn causes(&self) -> MutexGuard<'_, WaitTracker> {
        lock(&self.causes)
    }

    /// A call of `account` holds a slot.
    pub fn begin(&self, service: &str, account: &str, estimate: f64) {
        let mut open = lock(&self.open);
        let calls = open.entry((service.into(), account.into())).or_default();
        calls.0 += 1;
        calls.1 += estimate;
    }

    /// A call of `account` gave its slot back.
    pub fn end(&self, service: &str, account: &str, estimate: f64) {
        let mut open = lock(&self.open);
        let key = (service.into(), account.into());
        if let Some(calls) = open.get_mut(&key) {
            calls.0 = calls.0.saturating_sub(1);
            calls.1 -= estimate;
            if calls.0 == 0 {
                open.remove(&key);
            }
        }
    }

    /// Writes a record; its number follows the one before without a gap.
    pub fn write(&self, mut record: UsageRecord) {
        record.seq = self.last.fetch_add(1, Ordering::Relaxed) + 1;
        print(&UsageLine::Usage { usage: record });
    }

    /// Writes how far the numbers went and what is in flight.
    ///
    /// A process that is killed can't say how many records it wrote or what it was about to write.
    /// The last mark says it for it, at most [`MARK`] old.
    pub fn mark(&self, entry: &str, incarnation: u64, end: bool) {
        let open = lock(&self.open)
            .iter()
            .map(|((service, account), (calls, estimate))| OpenCalls {
                service: service.clone(),
                account: account.clone(),
                calls: *calls,
                estimate: *estimate,
            })
            .collect();
        let mark = UsageCheckpoint {
            entry: entry.into(),
            incarnation,
            seq: self.last.load(Ordering::Relaxed),
            at_ms: SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .map_or(0, |d| d.as_millis() as u64),
            open,
            end,
        };
        print(&UsageLine::Checkpoint { checkpoint: mark });
    }
}

fn print(line: &UsageLine) {
    match serde_json::to_string(line) {
        Ok(text) => log::info!(target: RAW, "{text}"),
        Err(error) => log::error!(target: "usage", "line can't be written: {error}"),
    }
}
