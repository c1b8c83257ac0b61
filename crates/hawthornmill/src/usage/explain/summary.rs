//! Says in plain words why an account received more or less than it was owed.

use super::intervals::{AccountLine, AccountUsage, Interval};
use super::log::MissingRecords;
use crate::usage::Reason;

/// Differences up to this part of what was owed are the calls in flight at a step's edges.
const CLOSE: f64 = 0.02;
/// Reasons that account for less than this part of the waiting are left out.
const MINOR: f64 = 0.1;

/// What a reason means to a reader who knows nothing of routers.
pub fn describe(reason: Reason) -> &'static str {
    match reason {
        Reason::None => "no wait",
        Reason::SlotsBusy => "every server open to it was busy",
        Reason::SelectorLimit => "a selector confined it to busy servers while others idled",
        Reason::OwnerChange => "a pool of servers changed its owner",
        Reason::RegionUnreachable => "another region was out of reach",
        Reason::ViewUnconfirmed => "its router was paused and had to confirm its view",
        Reason::QueueFull => "its queue was full: it asked for more than was served",
        Reason::InstanceFull => "a router held as much as it may",
        Reason::ServerFailed => "a server failed",
        Reason::Rejected => "the call itself was not acceptable",
    }
}

/// Why the line's account received what it did.
pub fn explain_line(line: &AccountLine, interval: &Interval, missing: &[MissingRecords]) -> String {
    let part = &line.part;
    let mut words = vec![difference(part)];
    words.extend(waiting(part));
    words.extend(refusals(part));
    let end = interval.start_ms + interval.length_ms;
    for gap in missing
        .iter()
        .filter(|m| m.between_ms.0 < end && m.between_ms.1 >= interval.start_ms)
    {
        words.push(format!("records missing from {}", gap.entry));
    }
    words.join("; ")
}

fn difference(part: &AccountUsage) -> String {
    let difference = part.received - part.entitled;
    if part.received == 0.0 && part.entitled == 0.0 {
        return "received nothing".into();
    }
    if difference.abs() <= CLOSE * part.entitled {
        if part.backlogged_ms > 0.0 {
            return "received its share".into();
        }
        return "received all that it asked for".into();
    }
    let percent = 100.0 * difference.abs() / part.entitled.max(f64::MIN_POSITIVE);
    if part.entitled <= 0.0 {
        return "received more than owed, which others went without".into();
    }
    if difference > 0.0 {
        format!("received {percent:.0} % more than owed, which others went without")
    } else {
        format!("received {percent:.0} % less than owed")
    }
}

fn waiting(part: &AccountUsage) -> Option<String> {
    let total: f64 = part.waited_ms.values().sum();
    if total <= 0.0 {
        return None;
    }
    let mut list: Vec<(&Reason, &f64)> = part
        .waited_ms
        .iter()
        .filter(|(_, ms)| **ms >= MINOR * total)
        .collect();
    list.sort_by(|a, b| b.1.total_cmp(a.1));
    let words: Vec<String> = list
        .iter()
        .map(|(reason, ms)| format!("{} ({:.0} %)", describe(**reason), 100.0 * **ms / total))
        .collect();
    Some(format!("calls waited because {}", words.join(", ")))
}

fn refusals(part: &AccountUsage) -> Option<String> {
    let words: Vec<String> = part
        .refused
        .iter()
        .map(|(reason, count)| format!("{count} refused: {}", describe(*reason)))
        .collect();
    (!words.is_empty()).then(|| words.join(", "))
}

/// What can't be explained for want of records, one sentence for each process run.
pub fn describe_missing(missing: &[MissingRecords]) -> Vec<String> {
    missing.iter().map(gap).collect()
}

fn gap(missing: &MissingRecords) -> String {
    let mut words = Vec::new();
    if missing.records > 0 {
        let ranges: Vec<String> = missing
            .gaps
            .iter()
            .map(|(first, last)| format!("{first} to {last}"))
            .collect();
        let (records, ranges) = (count(missing.records, "record"), ranges.join(", "));
        words.push(format!("{records} missing (numbers {ranges})"));
    }
    if missing.killed {
        let least: u64 = missing.open.iter().map(|o| o.calls).sum();
        let most: u64 = missing.peak.values().sum();
        words.push(format!(
            "ended without a word; its last mark names {} in flight without a record, and it \
             had up to {most} at one time",
            count(least, "call")
        ));
    }
    let costs: Vec<String> = missing
        .cost
        .iter()
        .map(|(service, cost)| format!("{cost:.0} of {service}"))
        .collect();
    if !costs.is_empty() {
        words.push(format!(
            "up to about {} can't be explained",
            costs.join(", ")
        ));
    }
    let run = format!("{} (run {:x})", missing.entry, missing.incarnation);
    format!("{run}: {}", words.join("; "))
}

fn count(number: u64, what: &str) -> String {
    let plural = if number == 1 { "" } else { "s" };
    format!("{number} {what}{plural}")
}
