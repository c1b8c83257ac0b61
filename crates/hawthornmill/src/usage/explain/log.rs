//! Collects the records and checkpoints of all routers and detects missing records.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::usage::{OpenCalls, UsageCheckpoint, UsageLine, UsageRecord};

/// Time without a line of a process run, while others go on, after which it counts as killed:
/// several times the interval between checkpoints.
pub const SILENT_AFTER_MS: u64 = 3000;

/// One process run of an entry.
pub type RunId = (Box<str>, u64);

#[derive(Debug, Clone, Default)]
struct RunLog {
    records: BTreeMap<u64, UsageRecord>,
    checkpoint: Option<UsageCheckpoint>,
    last_ms: u64,
}

/// Records of one process run that are missing.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct MissingRecords {
    /// Entry instance by name.
    pub entry: Box<str>,
    /// Its process run.
    pub incarnation: u64,
    /// First and last missing sequence number of each gap.
    pub gaps: Vec<(u64, u64)>,
    /// Number of missing records.
    pub records: u64,
    /// Calls without a record that were in flight at the last checkpoint; they may have run.
    pub open: Vec<OpenCalls>,
    /// Whether the run ended without a final checkpoint while others went on.
    pub killed: bool,
    /// Time range of the missing records, in wall-clock milliseconds.
    pub between_ms: (u64, u64),
    /// Maximum number of calls of each service that the run had in flight at once.
    pub peak: BTreeMap<Box<str>, u64>,
    /// Upper estimate of the unrecorded cost, by service: the mean cost for each missing record, and
    /// for a killed run its peak times the largest cost, since each call in flight when it was killed
    /// may have run almost to its end.
    pub cost: BTreeMap<Box<str>, f64>,
}

/// Usage lines of several routers, in any order.
#[derive(Debug, Clone, Default)]
pub struct UsageLog {
    runs: BTreeMap<RunId, RunLog>,
    /// Number of duplicate records.
    pub duplicates: u64,
    /// Number of usage lines that could not be parsed, such as truncated ones.
    pub unreadable: u64,
}

impl UsageLog {
    /// Adds one line; a duplicate record is counted and dropped.
    pub fn insert(&mut self, line: UsageLine) {
        match line {
            UsageLine::Usage { usage } => {
                let run_log = self.run(&usage.entry, usage.incarnation, usage.at_ms);
                if run_log.records.insert(usage.seq, usage).is_some() {
                    self.duplicates += 1;
                }
            }
            UsageLine::Checkpoint { checkpoint } => {
                let run_log = self.run(&checkpoint.entry, checkpoint.incarnation, checkpoint.at_ms);
                let later = |m: &UsageCheckpoint| {
                    (checkpoint.seq, checkpoint.at_ms, checkpoint.end) > (m.seq, m.at_ms, m.end)
                };
                if run_log.checkpoint.as_ref().is_none_or(later) {
                    run_log.checkpoint = Some(checkpoint);
                }
            }
        }
    }

    fn run(&mut self, entry: &str, incarnation: u64, at_ms: u64) -> &mut RunLog {
        let run_log = self.runs.entry((entry.into(), incarnation)).or_default();
        run_log.last_ms = run_log.last_ms.max(at_ms);
        run_log
    }

    /// All records, without duplicates.
    pub fn records(&self) -> impl Iterator<Item = &UsageRecord> {
        self.runs.values().flat_map(|n| n.records.values())
    }

    /// Number of process runs with at least one line.
    pub fn run_count(&self) -> usize {
        self.runs.len()
    }

    /// Missing records of each process run; complete runs are not listed.
    pub fn missing(&self) -> Vec<MissingRecords> {
        let latest = self.runs.values().map(|n| n.last_ms).max().unwrap_or(0);
        let means = self.means();
        self.runs
            .iter()
            .map(|(run, run_log)| missing_of(run, run_log, latest, &means))
            .filter(|m| m.records > 0 || m.killed || !m.open.is_empty())
            .collect()
    }

    /// Records and their mean cost, by service.
    fn means(&self) -> BTreeMap<Box<str>, (u64, f64)> {
        let mut sums: BTreeMap<Box<str>, (u64, f64)> = BTreeMap::new();
        for record in self.records() {
            let (count, mean) = sums.entry(record.service.clone()).or_default();
            *count += 1;
            *mean += (record.cost - *mean) / *count as f64;
        }
        sums
    }
}

fn missing_of(
    run: &RunId,
    run_log: &RunLog,
    latest: u64,
    means: &BTreeMap<Box<str>, (u64, f64)>,
) -> MissingRecords {
    let checkpoint = run_log.checkpoint.as_ref();
    let ended = checkpoint.is_some_and(|m| m.end);
    let killed = !ended && latest.saturating_sub(run_log.last_ms) > SILENT_AFTER_MS;
    let gaps = gaps(run_log);
    let records = gaps.iter().map(|(first, last)| last - first + 1).sum();
    let open = if killed || ended {
        unrecorded_calls(run_log)
    } else {
        Vec::new()
    };
    let mut cost: BTreeMap<Box<str>, f64> = BTreeMap::new();
    let all: u64 = means.values().map(|(count, _)| count).sum();
    for (service, (count, mean)) in means.iter().filter(|_| records > 0) {
        // The services of the missing records are unknown; assume the same distribution as for the
        // known ones.
        let part = *count as f64 / all.max(1) as f64;
        *cost.entry(service.clone()).or_default() += records as f64 * part * mean;
    }
    let peak = if killed {
        peak(run_log)
    } else {
        BTreeMap::new()
    };
    for (service, calls) in &peak {
        let largest = run_log.records.values().filter(|r| r.service == *service);
        let largest = largest.map(|r| r.cost.max(r.estimate)).fold(0.0, f64::max);
        *cost.entry(service.clone()).or_default() += *calls as f64 * largest;
    }
    for calls in open.iter().filter(|o| !peak.contains_key(&o.service)) {
        *cost.entry(calls.service.clone()).or_default() += calls.estimate;
    }
    MissingRecords {
        entry: run.0.clone(),
        incarnation: run.1,
        between_ms: missing_range(run_log, &gaps, killed),
        gaps,
        records,
        open,
        killed,
        peak,
        cost,
    }
}

fn gaps(run_log: &RunLog) -> Vec<(u64, u64)> {
    let mut gaps = Vec::new();
    let mut next = 1;
    for seq in run_log.records.keys() {
        if *seq > next {
            gaps.push((next, seq - 1));
        }
        next = seq + 1;
    }
    let last_seq = run_log.checkpoint.as_ref().map_or(0, |m| m.seq);
    if last_seq >= next {
        gaps.push((next, last_seq));
    }
    gaps
}

/// Calls in flight at the last checkpoint, without those that have a later record.
fn unrecorded_calls(run_log: &RunLog) -> Vec<OpenCalls> {
    let Some(checkpoint) = &run_log.checkpoint else {
        return Vec::new();
    };
    let after = || run_log.records.range(checkpoint.seq + 1..).map(|(_, r)| r);
    let mut open = Vec::new();
    for calls in &checkpoint.open {
        let mut left = calls.clone();
        let recorded = after()
            .filter(|r| r.service == calls.service && r.account == calls.account)
            // Only calls that held their slot at the time of the checkpoint count.
            .filter(|r| r.held_ms > 0.0 && (r.at_ms as f64 - r.held_ms) <= checkpoint.at_ms as f64);
        for record in recorded {
            left.calls = left.calls.saturating_sub(1);
            left.estimate -= record.estimate;
        }
        if left.calls > 0 {
            left.estimate = left.estimate.max(0.0);
            open.push(left);
        }
    }
    open
}

/// Maximum number of concurrent calls of each service, according to records and checkpoints.
fn peak(run_log: &RunLog) -> BTreeMap<Box<str>, u64> {
    let mut changes: BTreeMap<&str, Vec<(f64, i64)>> = BTreeMap::new();
    for record in run_log.records.values().filter(|r| r.held_ms > 0.0) {
        let end = record.at_ms as f64;
        let changes = changes.entry(&record.service).or_default();
        changes.extend([(end - record.held_ms, 1), (end, -1)]);
    }
    let mut peaks: BTreeMap<Box<str>, u64> = BTreeMap::new();
    for (service, mut changes) in changes {
        changes.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        let mut running = 0;
        let mut peak = 0;
        for (_, step) in changes {
            running += step;
            peak = peak.max(running);
        }
        peaks.insert(service.into(), peak.unsigned_abs());
    }
    let mut at_checkpoint: BTreeMap<&str, u64> = BTreeMap::new();
    for open in run_log.checkpoint.iter().flat_map(|m| &m.open) {
        *at_checkpoint.entry(&open.service).or_default() += open.calls;
    }
    for (service, calls) in at_checkpoint {
        let peak = peaks.entry(service.into()).or_default();
        *peak = (*peak).max(calls);
    }
    peaks
}

fn missing_range(run_log: &RunLog, gaps: &[(u64, u64)], killed: bool) -> (u64, u64) {
    let at = |record: Option<(&u64, &UsageRecord)>| record.map(|(_, r)| r.at_ms);
    let last = run_log.last_ms;
    let from = gaps.iter().map(|(first, _)| {
        at(run_log.records.range(..first).next_back()).unwrap_or_else(|| run_start(run_log))
    });
    let to = gaps
        .iter()
        .map(|(_, end)| at(run_log.records.range(end + 1..).next()).unwrap_or(last));
    let tail = killed.then_some(last);
    (
        from.chain(tail).min().unwrap_or(last),
        to.chain(tail).max().unwrap_or(last),
    )
}

/// Earliest known time of a run.
fn run_start(run_log: &RunLog) -> u64 {
    let first = run_log.records.values().map(|r| r.at_ms).min();
    first.unwrap_or(run_log.last_ms)
}
