//! Describes why an account received more or less than its entitlement.

use super::intervals::{AccountLine, AccountUsage, Interval};
use super::log::MissingRecords;
use crate::usage::Reason;

/// Relative differences up to this one come from calls in flight at the limits of a step.
const TOLERANCE: f64 = 0.02;
/// Reasons with a smaller fraction of the waiting time are omitted.
const MIN_FRACTION: f64 = 0.1;

/// Describes a reason for readers who don't know the router.
pub fn describe(reason: Reason) -> &'static str {
    match reason {
        Reason::None => "no wait",
        Reason::SlotsBusy => "every server open to it was busy",
        Reason::SelectorLimit => "a selector confined it to busy servers while others idled",
        Reason::OwnerChange => "a pool of servers changed its owner",
        Reason::RegionUnreachable => "another region was unreachable",
        Reason::ViewUnconfirmed => "its router was paused and had to confirm its view of the fleet",
        Reason::QueueFull => "its queue was full: it asked for more than was served",
        Reason::InstanceFull => "a router held its maximum number of requests",
        Reason::ServerFailed => "a server failed",
        Reason::Rejected => "the call itself was invalid",
    }
}

/// Describes why the account of `line` received what it did.
pub fn explain_line(line: &AccountLine, interval: &Interval, missing: &[MissingRecords]) -> String {
    let usage = &line.usage;
    let mut phrases = vec![describe_difference(usage)];
    phrases.extend(describe_waits(usage));
    phrases.extend(describe_rejections(usage));
    let end = interval.start_ms + interval.length_ms;
    for gap in missing
        .iter()
        .filter(|m| m.between_ms.0 < end && m.between_ms.1 >= interval.start_ms)
    {
        phrases.push(format!("records missing from {}", gap.entry));
    }
    phrases.join("; ")
}

fn describe_difference(usage: &AccountUsage) -> String {
    let difference = usage.received - usage.entitled;
    if usage.received == 0.0 && usage.entitled == 0.0 {
        return "received nothing".into();
    }
    if difference.abs() <= TOLERANCE * usage.entitled {
        if usage.backlogged_ms > 0.0 {
            return "received its share".into();
        }
        return "received all that it asked for".into();
    }
    let percent = 100.0 * difference.abs() / usage.entitled.max(f64::MIN_POSITIVE);
    if usage.entitled <= 0.0 {
        return "received more than owed, which others went without".into();
    }
    if difference > 0.0 {
        format!("received {percent:.0} % more than owed, which others went without")
    } else {
        format!("received {percent:.0} % less than owed")
    }
}

fn describe_waits(usage: &AccountUsage) -> Option<String> {
    let total: f64 = usage.waited_ms.values().sum();
    if total <= 0.0 {
        return None;
    }
    let mut list: Vec<(&Reason, &f64)> = usage
        .waited_ms
        .iter()
        .filter(|(_, ms)| **ms >= MIN_FRACTION * total)
        .collect();
    list.sort_by(|a, b| b.1.total_cmp(a.1));
    let phrases: Vec<String> = list
        .iter()
        .map(|(reason, ms)| format!("{} ({:.0} %)", describe(**reason), 100.0 * **ms / total))
        .collect();
    Some(format!("calls waited because {}", phrases.join(", ")))
}

fn describe_rejections(usage: &AccountUsage) -> Option<String> {
    let phrases: Vec<String> = usage
        .refused
        .iter()
        .map(|(reason, count)| format!("{count} refused: {}", describe(*reason)))
        .collect();
    (!phrases.is_empty()).then(|| phrases.join(", "))
}

/// Describes missing records, one sentence for each process run.
pub fn describe_missing(missing: &[MissingRecords]) -> Vec<String> {
    missing.iter().map(describe_run).collect()
}

fn describe_run(missing: &MissingRecords) -> String {
    let mut phrases = Vec::new();
    if missing.records > 0 {
        let ranges: Vec<String> = missing
            .gaps
            .iter()
            .map(|(first, last)| format!("{first} to {last}"))
            .collect();
        let (records, ranges) = (count(missing.records, "record"), ranges.join(", "));
        phrases.push(format!("{records} missing (numbers {ranges})"));
    }
    if missing.killed {
        let open_calls: u64 = missing.open.iter().map(|o| o.calls).sum();
        let peak_calls: u64 = missing.peak.values().sum();
        phrases.push(format!(
            "ended without a final checkpoint; the last one lists {} in flight without a record, \
             and the run had up to {peak_calls} at once",
            count(open_calls, "call")
        ));
    }
    let costs: Vec<String> = missing
        .cost
        .iter()
        .map(|(service, cost)| format!("{cost:.0} of {service}"))
        .collect();
    if !costs.is_empty() {
        phrases.push(format!(
            "up to about {} can't be explained",
            costs.join(", ")
        ));
    }
    let run = format!("{} (run {:x})", missing.entry, missing.incarnation);
    format!("{run}: {}", phrases.join("; "))
}

fn count(number: u64, what: &str) -> String {
    let plural = if number == 1 { "" } else { "s" };
    format!("{number} {what}{plural}")
}
