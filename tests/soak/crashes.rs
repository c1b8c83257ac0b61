//! Prompts with a part under which servers crash, and the promise that they are stopped.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use hawthornmill_gateway::http::head::RequestHead;

use crate::callers::{Kind, Seen};
use crate::promises::{Breach, Records, breach, left_alone};

/// Share of the requests under which servers crash.
pub const BAD_SHARE: f64 = 0.02;
/// Parts that sound prompts have in second place.
const SECOND_PARTS: u64 = 20;
/// Ends after which the fleet must know the part.
const KNOWN_CRASHES: usize = 5;
/// Time in which it must.
const DETECTION_TIME: Duration = Duration::from_secs(4);
/// Prompts that may reach servers after that.
const MAX_LATE: usize = 3;

/// Returns the header lines of the prompt of a request, if its kind has one; no two are alike.
pub fn prompt(id: &str, kind: Kind) -> String {
    let hash = id.bytes().fold(7, |sum: u64, byte| {
        sum.wrapping_mul(0x0100_0000_01b3) ^ u64::from(byte)
    });
    let second = match kind {
        Kind::Bad => "bad".to_owned(),
        Kind::Stream | Kind::Whole => format!("b{:x}", hash % SECOND_PARTS),
        _ => return String::new(),
    };
    format!("Token-Usage: 30,10\r\nPrompt-Prefix: a1:10,{second}:10,{hash:x}:10\r\n")
}

/// Returns whether each server crashes that runs the request.
pub fn is_bad(head: &RequestHead) -> bool {
    let prefix = head.headers.get_str("prompt-prefix");
    prefix.is_some_and(|p| p.contains(",bad:"))
}

/// Prompts with a part under which servers crashed reach hardly any more, if the instance was left alone.
pub fn stopped(records: &Records) -> Option<Breach> {
    let by_id: BTreeMap<&str, &Seen> = records.seen.iter().map(|s| (&*s.id, s)).collect();
    let bad = records.arrivals.iter().filter(|(_, a)| is_bad(&a.head));
    let mut crashes: Vec<Instant> = bad
        .clone()
        .filter_map(|(server, arrival)| {
            let mut crashes = records.server_crashes[*server].iter();
            crashes.find(|at| **at >= arrival.received_at).copied()
        })
        .collect();
    crashes.sort_unstable();
    crashes.dedup();
    let known = *crashes.get(KNOWN_CRASHES - 1)? + DETECTION_TIME;
    let is_late = |id: &str, at: Instant| {
        let seen = by_id.get(id);
        at > known && seen.is_some_and(|s| left_alone(records, s, s.sent))
    };
    let late = bad.filter(|(_, arrival)| {
        let id = arrival.head.headers.get_str("attempt-id");
        is_late(id.unwrap_or_default(), arrival.received_at)
    });
    let late = late.count();
    (late > MAX_LATE).then(|| {
        let what = format!("{late} more, {} servers crashed", crashes.len());
        breach("requests that end servers are stopped", "", what)
    })
}
