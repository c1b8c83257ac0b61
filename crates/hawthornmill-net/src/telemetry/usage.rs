//! Writes usage records and checkpoints.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use hawthornmill::usage::{OpenCalls, UsageCheckpoint, UsageLine, UsageRecord, WaitTracker};

use super::logs::RAW_TARGET;

/// Time between two checkpoints.
pub const CHECKPOINT_INTERVAL: Duration = Duration::from_millis(500);

/// Number and estimated cost of open calls, by service and account.
type OpenByAccount = BTreeMap<(Box<str>, Box<str>), (u64, f64)>;

/// Numbers the usage records of one process run and tracks the state that checkpoints contain.
#[derive(Debug, Default)]
pub struct UsageWriter {
    last_seq: AtomicU64,
    open: Mutex<OpenByAccount>,
    wait_tracker: Mutex<WaitTracker>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl UsageWriter {
    /// Locks the tracker of wait reasons; the blackboard must be locked before it.
    pub fn wait_tracker(&self) -> MutexGuard<'_, WaitTracker> {
        lock(&self.wait_tracker)
    }

    /// Counts a call of `account` that took a slot.
    pub fn call_started(&self, service: &str, account: &str, estimate: f64) {
        let mut open = lock(&self.open);
        let calls = open.entry((service.into(), account.into())).or_default();
        calls.0 += 1;
        calls.1 += estimate;
    }

    /// Removes a call of `account` that released its slot.
    pub fn call_ended(&self, service: &str, account: &str, estimate: f64) {
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

    /// Writes a record with the next sequence number.
    pub fn write_record(&self, mut record: UsageRecord) {
        record.seq = self.last_seq.fetch_add(1, Ordering::Relaxed) + 1;
        log_line(&UsageLine::Usage { usage: record });
    }

    /// Writes the last sequence number and the calls in flight.
    ///
    /// A killed process can't report how many records it wrote or which were still to come; its
    /// last checkpoint does, and is at most [`CHECKPOINT_INTERVAL`] old.
    /// `end` says that the process shuts down and writes no more records.
    pub fn write_checkpoint(&self, entry: &str, incarnation: u64, end: bool) {
        let open = lock(&self.open)
            .iter()
            .map(|((service, account), (calls, estimate))| OpenCalls {
                service: service.clone(),
                account: account.clone(),
                calls: *calls,
                estimate: *estimate,
            })
            .collect();
        let checkpoint = UsageCheckpoint {
            entry: entry.into(),
            incarnation,
            seq: self.last_seq.load(Ordering::Relaxed),
            at_ms: SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .map_or(0, |d| d.as_millis() as u64),
            open,
            end,
        };
        log_line(&UsageLine::Checkpoint { checkpoint });
    }
}

fn log_line(line: &UsageLine) {
    match serde_json::to_string(line) {
        Ok(text) => log::info!(target: RAW_TARGET, "{text}"),
        Err(error) => log::error!(target: "usage", "failed to serialize a usage line: {error}"),
    }
}
