//! By when each change of the store's history had happened.
//!
//! Changes carry no time, and what a server says of its start tells only that its registration came later: the store may
//! accept it at any time after that, or again. So a change is known to have happened by the time at which this instance
//! knew it, by that of each later change, and before a later report of the same run by the time that the reports in
//! between took. A server that announces that it leaves keeps its entry for a known time. Several runs that registered first
//! one after another, as a release brings them, were not all late: one of them registered at its start.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use super::registry::Registration;
use super::store_history::PastChange;
use super::version_history::HISTORY_TIME;
use crate::ident::ServerId;

/// Shortest time between two reports of a run, as a fraction of the usual time: that is approximate.
const SHORTEST_INTERVAL: f64 = 0.75;

/// Reports of a run that must be missing before its entry is removed, unless the server has left.
const MISSED_REPORTS: u32 = 3;

/// Runs that register first one after another, of which one at least did so at its start.
const ROW_LENGTH: usize = 4;
/// Time between the first and the latest start of such runs where other changes lie between their registrations, as a
/// fraction of the usual time between two reports.
const SERIES_TIME: f64 = 0.6;
/// Time from the start of a run within which it registers, unless it is late.
const REGISTRATION_LAG: Duration = Duration::from_millis(200);

/// When the history was read, and what is known of its changes besides.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadTime {
    /// When it was read.
    pub at: Instant,
    /// The same in milliseconds of Unix time.
    pub unix_ms: u64,
    /// Time for which the store usually keeps changes.
    pub kept: Duration,
    /// Usual time between two reports of a run; zero if not known.
    pub report_interval: Duration,
    /// Time for which a server serves on after the store has accepted that it leaves; zero if not known.
    pub drain_time: Duration,
    /// The store's revision at which the first catalog was written: no stream began before it; 0 if not known.
    pub first_catalog: u64,
}

impl ReadTime {
    /// Returns the instant of a Unix time; `None` if it lies in the future, or before what matters.
    fn instant(&self, unix_ms: u64) -> Option<Instant> {
        let age = Duration::from_millis(self.unix_ms.checked_sub(unix_ms)?);
        self.at.checked_sub(age).filter(|_| age <= HISTORY_TIME)
    }

    /// Returns the shortest time from the report by which a server announces that it leaves to the removal of its entry: one that
    /// crashes meanwhile is removed after some missed reports.
    fn leave_time(&self) -> Duration {
        self.drain_time.min(self.report_interval * MISSED_REPORTS)
    }

    /// Returns since when the store usually keeps changes.
    pub fn kept_since(&self) -> Option<Instant> {
        self.at.checked_sub(self.kept)
    }

    /// Returns whether a run started within the time for which the store keeps changes, or says so of the future.
    pub fn is_recent(&self, registration: &Registration) -> bool {
        let kept_ms = u64::try_from(self.kept.as_millis()).unwrap_or(u64::MAX);
        registration.start_ms > self.unix_ms.saturating_sub(kept_ms)
    }
}

/// A list of all registrations, after changes that this instance didn't see.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListTime {
    /// The store's revision of the list.
    pub revision: u64,
    /// When this instance had it.
    pub at: Instant,
}

/// A report of a run that changed its entry.
#[derive(Debug, Clone, Copy)]
struct Report {
    start_ms: u64,
    sequence: u64,
    /// When it was written at the latest.
    until: Instant,
}

impl Report {
    fn of_change(change: &PastChange, until: Instant) -> Option<Self> {
        let registration = change.registration.as_ref()?;
        (registration.sequence > 0 && registration.start_ms > 0).then_some(Self {
            start_ms: registration.start_ms,
            sequence: registration.sequence,
            until,
        })
    }

    /// Returns when this report was written at the latest, as a later one of the same run shows; `None` if it shows nothing.
    ///
    /// A report of a change may come at once, so only those between the two took their time. Numbers that would need more time
    /// than any history spans were written by somebody else.
    fn latest_before(&self, later: &Self, interval: Duration) -> Option<Instant> {
        let is_same = later.start_ms == self.start_ms;
        let number = later.sequence.checked_sub(self.sequence.checked_add(1)?)?;
        let shortest = interval.mul_f64(SHORTEST_INTERVAL);
        let time = shortest.saturating_mul(u32::try_from(number).ok()?);
        let is_likely = time <= HISTORY_TIME;
        later
            .until
            .checked_sub(time)
            .filter(|_| is_same && is_likely)
    }
}

/// Dates changes backwards, from the newest on.
#[derive(Debug)]
struct Dating {
    read: ReadTime,
    /// By when the change before those that were seen had happened.
    until: Instant,
    /// Of each server, the oldest report that was seen.
    reports: BTreeMap<ServerId, Report>,
    /// By when the entries of servers were removed, as long as only the announcement of their leave was seen before.
    removals: BTreeMap<ServerId, Instant>,
}

impl Dating {
    /// Records that the next change had happened by `time`.
    fn limit(&mut self, time: Option<Instant>) {
        self.until = self.until.min(time.unwrap_or(self.until));
    }

    /// Limits the next change by what followed for its server.
    fn limit_by_later(&mut self, change: &PastChange, begins_leave: bool) {
        let server = change.server;
        if begins_leave {
            let removed = self.removals.get(&server);
            self.limit(removed.and_then(|at| at.checked_sub(self.read.leave_time())));
        }
        if let Some(report) = Report::of_change(change, self.until) {
            let next = self.reports.get(&server);
            self.limit(next.and_then(|n| report.latest_before(n, self.read.report_interval)));
        }
    }

    /// Records a change that is dated.
    fn record(&mut self, change: &PastChange) {
        if let Some(report) = Report::of_change(change, self.until) {
            self.reports.insert(change.server, report);
        }
        if change.removes() {
            self.removals.insert(change.server, self.until);
        } else if !change.is_draining() {
            self.removals.remove(&change.server);
        }
    }
}

/// Returns the latest possible time of each change, in their order.
pub fn latest_times(changes: &[PastChange], list: ListTime, read: ReadTime) -> Vec<Instant> {
    let mut dating = Dating {
        read,
        until: read.at,
        reports: BTreeMap::new(),
        removals: BTreeMap::new(),
    };
    let rows = row_times(changes, read);
    let evidence = rows.into_iter().zip(leave_begins(changes));
    let mut times: Vec<Instant> = changes
        .iter()
        .zip(evidence)
        .rev()
        .map(|(change, (row, begins_leave))| {
            let is_listed = change.revision <= list.revision;
            dating.limit(is_listed.then_some(list.at));
            dating.limit(row);
            dating.limit_by_later(change, begins_leave);
            dating.record(change);
            dating.until
        })
        .collect();
    times.reverse();
    times
}

/// Returns for each change when it can have happened at the earliest, as the starts of the runs that registered until then tell.
///
/// `latest` has the latest possible times. A start after its own registration was written by somebody else, and tells nothing.
pub fn earliest_times(
    changes: &[PastChange],
    latest: &[Instant],
    read: ReadTime,
) -> Vec<Option<Instant>> {
    let mut earliest = None;
    let times = changes.iter().zip(latest).map(|(change, latest)| {
        let registration = change.registration.as_ref();
        let start = registration.and_then(|r| read.instant(r.start_ms));
        earliest = earliest.max(start.filter(|start| start <= latest));
        earliest
    });
    times.collect()
}

/// Returns for each change whether by it a server announces that it leaves, rather than repeats it.
///
/// Where entries came back, the store was away, and may have removed others sooner than it says: then none counts.
fn leave_begins(changes: &[PastChange]) -> Vec<bool> {
    let mut leaving = BTreeSet::new();
    let begins = changes.iter().map(|change| {
        if change.is_draining() {
            leaving.insert(change.server) && !change.creates()
        } else {
            leaving.remove(&change.server);
            false
        }
    });
    let has_lapses = changes.iter().any(PastChange::is_return);
    begins.map(|begins| begins && !has_lapses).collect()
}

/// A first registration of a server.
#[derive(Debug, Clone, Copy)]
struct FirstReport {
    /// Its place among the changes.
    at: usize,
    start_ms: u64,
    /// Nothing before it shows that it came late.
    is_timely: bool,
}

/// Returns the first registrations, in the order in which the store accepted them.
///
/// One whose run started before another one that registered earlier came late, as did an entry that is back.
fn first_reports(changes: &[PastChange], read: ReadTime) -> Vec<FirstReport> {
    let lag_ms = REGISTRATION_LAG.as_millis() as u64;
    let (mut seen, mut latest_ms) = (BTreeSet::new(), 0);
    let mut firsts = Vec::new();
    for (at, change) in changes.iter().enumerate() {
        let is_new = seen.insert(change.server);
        let Some(registration) = change.registration.as_ref().filter(|r| r.start_ms > 0) else {
            continue;
        };
        let start_ms = registration.start_ms;
        if (is_new && change.creates()) || change.is_return() {
            firsts.push(FirstReport {
                at,
                start_ms,
                is_timely: registration.sequence == 1
                    && start_ms.saturating_add(lag_ms) >= latest_ms,
            });
        }
        if start_ms <= read.unix_ms {
            latest_ms = latest_ms.max(start_ms);
        }
    }
    firsts
}

/// Returns for each change by when it had happened, if it begins a row of first registrations: the latest of their starts tells.
fn row_times(changes: &[PastChange], read: ReadTime) -> Vec<Option<Instant>> {
    let firsts = first_reports(changes, read);
    let mut times = vec![None; changes.len()];
    for (number, first) in firsts.iter().enumerate() {
        let latest_ms = row_end(&firsts[number..], read);
        let written = latest_ms.and_then(|ms| read.instant(ms));
        times[first.at] = written.map(|at| (at + REGISTRATION_LAG).min(read.at));
    }
    times
}

/// Returns the latest start of the shortest row that begins with the first of `firsts`; `None` if there is none.
///
/// Where other changes lie between them, they must have started one after another: a store that was silent for less than the time
/// between two reports then took the first of them not much later than the last one's start.
fn row_end(firsts: &[FirstReport], read: ReadTime) -> Option<u64> {
    let first = firsts.first()?;
    let series_ms = read.report_interval.mul_f64(SERIES_TIME).as_millis() as u64;
    let mut latest_ms = first.start_ms;
    let timely = firsts.iter().take_while(|f| f.is_timely);
    for (before, report) in timely.enumerate() {
        latest_ms = latest_ms.max(report.start_ms);
        let is_contiguous = report.at - first.at == before;
        let is_series = series_ms > 0 && latest_ms - first.start_ms >= series_ms;
        if before + 1 >= ROW_LENGTH && (is_contiguous || is_series) {
            return Some(latest_ms);
        }
    }
    None
}
