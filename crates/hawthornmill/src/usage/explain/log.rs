//! Records and marks of all routers, and what is missing between them.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::usage::{OpenCalls, UsageCheckpoint, UsageLine, UsageRecord};

/// Milliseconds without a sign of a process run, while others write on, after which it counts as
/// killed: several times the time between two marks.
pub const SILENCE_MS: u64 = 3000;

/// One process run of an entry.
pub type Run = (Box<str>, u64);

#[derive(Debug, Clone, Default)]
struct Numbers {
    records: BTreeMap<u64, UsageRecord>,
    mark: Option<UsageCheckpoint>,
    last_ms: u64,
}

/// What one process run left out.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct MissingRecords {
    /// Entry instance by name.
    pub entry: Box<str>,
    /// Its process run.
    pub incarnation: u64,
    /// First and last missing numbers of each gap.
    pub gaps: Vec<(u64, u64)>,
    /// Number of records that are known to be missing.
    pub records: u64,
    /// Calls that were in flight when the process was last heard of and have no record; they may
    /// have run.
    pub open: Vec<OpenCalls>,
    /// The run fell silent without an end mark while others wrote on.
    pub killed: bool,
    /// Wall-clock milliseconds between which the missing records lie.
    pub between_ms: (u64, u64),
    /// Most calls of each service that the run had in flight at one time.
    pub peak: BTreeMap<Box<str>, u64>,
    /// Cost that can't be explained, by service: the mean cost for each missing record, and for a
    /// killed run its peak times the largest cost seen, since any of the calls in flight when it
    /// was killed may have run almost to the end.
    pub cost: BTreeMap<Box<str>, f64>,
}

/// Usage lines of any number of routers, in any order.
#[derive(Debug, Clone, Default)]
pub struct UsageLog {
    runs: BTreeMap<Run, Numbers>,
    /// Records that came more than once.
    pub duplicates: u64,
    /// Usage lines that could not be read, cut ones for instance.
    pub unreadable: u64,
}

impl UsageLog {
    /// Takes one line; a record that is known already is dropped and counted.
    pub fn insert(&mut self, line: UsageLine) {
        match line {
            UsageLine::Usage { usage } => {
                let numbers = self.run(&usage.entry, usage.incarnation, usage.at_ms);
                if numbers.records.insert(usage.seq, usage).is_some() {
                    self.duplicates += 1;
                }
            }
            UsageLine::Checkpoint { checkpoint } => {
                let numbers = self.run(&checkpoint.entry, checkpoint.incarnation, checkpoint.at_ms);
                let later = |m: &UsageCheckpoint| {
                    (checkpoint.seq, checkpoint.at_ms, checkpoint.end) > (m.seq, m.at_ms, m.end)
                };
                if numbers.mark.as_ref().is_none_or(later) {
                    numbers.mark = Some(checkpoint);
                }
            }
        }
    }

    fn run(&mut self, entry: &str, incarnation: u64, at_ms: u64) -> &mut Numbers {
        let numbers = self.runs.entry((entry.into(), incarnation)).or_default();
        numbers.last_ms = numbers.last_ms.max(at_ms);
        numbers
    }

    /// Every record once.
    pub fn records(&self) -> impl Iterator<Item = &UsageRecord> {
        self.runs.values().flat_map(|n| n.records.values())
    }

    /// Process runs from which any line came.
    pub fn run_count(&self) -> usize {
        self.runs.len()
    }

    /// What each process run left out; runs without a gap are not listed.
    pub fn missing(&self) -> Vec<MissingRecords> {
        let latest = self.runs.values().map(|n| n.last_ms).max().unwrap_or(0);
        let means = self.means();
        self.runs
            .iter()
            .map(|(run, numbers)| missing_of(run, numbers, latest, &means))
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
    run: &Run,
    numbers: &Numbers,
    latest: u64,
    means: &BTreeMap<Box<str>, (u64, f64)>,
) -> MissingRecords {
    let mark = numbers.mark.as_ref();
    let ended = mark.is_some_and(|m| m.end);
    let killed = !ended && latest.saturating_sub(numbers.last_ms) > SILENCE_MS;
    let gaps = gaps(numbers);
    let records = gaps.iter().map(|(first, last)| last - first + 1).sum();
    let open = if killed || ended {
        still_open(numbers)
    } else {
        Vec::new()
    };
    let mut cost: BTreeMap<Box<str>, f64> = BTreeMap::new();
    let all: u64 = means.values().map(|(count, _)| count).sum();
    for (service, (count, mean)) in means.iter().filter(|_| records > 0) {
        // Which services the missing records belong to is not known; they are spread as the
        // known ones are.
        let part = *count as f64 / all.max(1) as f64;
        *cost.entry(service.clone()).or_default() += records as f64 * part * mean;
    }
    let peak = if killed {
        peak(numbers)
    } else {
        BTreeMap::new()
    };
    for (service, calls) in &peak {
        let largest = numbers.records.values().filter(|r| r.service == *service);
        let largest = largest.map(|r| r.cost.max(r.estimate)).fold(0.0, f64::max);
        *cost.entry(service.clone()).or_default() += *calls as f64 * largest;
    }
    for calls in open.iter().filter(|o| !peak.contains_key(&o.service)) {
        *cost.entry(calls.service.clone()).or_default() += calls.estimate;
    }
    MissingRecords {
        entry: run.0.clone(),
        incarnation: run.1,
        between_ms: between(numbers, &gaps, killed),
        gaps,
        records,
        open,
        killed,
        peak,
        cost,
    }
}

fn gaps(numbers: &Numbers) -> Vec<(u64, u64)> {
    let mut gaps = Vec::new();
    let mut next = 1;
    for seq in numbers.records.keys() {
        if *seq > next {
            gaps.push((next, seq - 1));
        }
        next = seq + 1;
    }
    let told = numbers.mark.as_ref().map_or(0, |m| m.seq);
    if told >= next {
        gaps.push((next, told));
    }
    gaps
}

/// Calls that the last mark names, less those that got their record after it.
fn still_open(numbers: &Numbers) -> Vec<OpenCalls> {
    let Some(mark) = &numbers.mark else {
        return Vec::new();
    };
    let after = || numbers.records.range(mark.seq + 1..).map(|(_, r)| r);
    let mut open = Vec::new();
    for calls in &mark.open {
        let mut left = calls.clone();
        let settled = after()
            .filter(|r| r.service == calls.service && r.account == calls.account)
            // Only a call that held its slot at the time of the mark can be one of those.
            .filter(|r| r.held_ms > 0.0 && (r.at_ms as f64 - r.held_ms) <= mark.at_ms as f64);
        for record in settled {
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

/// Most calls of each service that held slots at one time, as far as records and marks tell.
fn peak(numbers: &Numbers) -> BTreeMap<Box<str>, u64> {
    let mut edges: BTreeMap<&str, Vec<(f64, i64)>> = BTreeMap::new();
    for record in numbers.records.values().filter(|r| r.held_ms > 0.0) {
        let end = record.at_ms as f64;
        let edges = edges.entry(&record.service).or_default();
        edges.extend([(end - record.held_ms, 1), (end, -1)]);
    }
    let mut peaks: BTreeMap<Box<str>, u64> = BTreeMap::new();
    for (service, mut edges) in edges {
        edges.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        let mut running = 0;
        let mut most = 0;
        for (_, step) in edges {
            running += step;
            most = most.max(running);
        }
        peaks.insert(service.into(), most.unsigned_abs());
    }
    let mut marked: BTreeMap<&str, u64> = BTreeMap::new();
    for open in numbers.mark.iter().flat_map(|m| &m.open) {
        *marked.entry(&open.service).or_default() += open.calls;
    }
    for (service, calls) in marked {
        let peak = peaks.entry(service.into()).or_default();
        *peak = (*peak).max(calls);
    }
    peaks
}

fn between(numbers: &Numbers, gaps: &[(u64, u64)], killed: bool) -> (u64, u64) {
    let at = |record: Option<(&u64, &UsageRecord)>| record.map(|(_, r)| r.at_ms);
    let last = numbers.last_ms;
    let from = gaps.iter().map(|(first, _)| {
        at(numbers.records.range(..first).next_back()).unwrap_or_else(|| run_start(numbers))
    });
    let to = gaps
        .iter()
        .map(|(_, end)| at(numbers.records.range(end + 1..).next()).unwrap_or(last));
    let tail = killed.then_some(last);
    (
        from.chain(tail).min().unwrap_or(last),
        to.chain(tail).max().unwrap_or(last),
    )
}

/// Earliest time that is known of a run.
fn run_start(numbers: &Numbers) -> u64 {
    let first = numbers.records.values().map(|r| r.at_ms).min();
    first.unwrap_or(numbers.last_ms)
}
