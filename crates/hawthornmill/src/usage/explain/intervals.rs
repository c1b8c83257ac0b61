//! Divides what was served as a perfect scheduler would have.
//!
//! The reference has the same calls and, in each step of time, serves as much as the servers of the
//! service ran in it. It divides that max-min fairly by shares among the accounts that have calls
//! left, where a call brings its cost when it arrives. A refused call brings its estimate and takes
//! what is left of it away when it is refused. So all of what was served is owed to somebody, an
//! account is owed no more than it asked for, and a call that was served late is not counted as lost.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;

use super::log::UsageLog;
use crate::usage::{Reason, UsageRecord};

/// Milliseconds of one step.
pub const STEP_MS: u64 = 1000;

/// Cost and waiting of one account on one service in one interval.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct AccountUsage {
    /// Share in force at its end, as records name it.
    pub share: f64,
    /// Cost that a fair division gives it.
    #[serde(rename = "owed")]
    pub entitled: f64,
    /// Cost that was run for it.
    pub received: f64,
    /// Part of `received` for which the estimate stands.
    pub estimated: f64,
    /// Milliseconds during which it had calls waiting.
    pub backlogged_ms: f64,
    /// Calls that ended, refused ones left out.
    pub calls: u64,
    /// Calls refused, by reason.
    pub refused: BTreeMap<Reason, u64>,
    /// Call-milliseconds waited, by reason.
    pub waited_ms: BTreeMap<Reason, f64>,
}

/// One account's part with its names.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct AccountLine {
    /// Service by name.
    pub service: Box<str>,
    /// Account by name.
    pub account: Box<str>,
    /// Its part.
    #[serde(flatten)]
    pub part: AccountUsage,
}

/// All parts of one interval.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Interval {
    /// Wall-clock milliseconds since the Unix epoch at its start.
    pub start_ms: u64,
    /// Its length in milliseconds.
    pub length_ms: u64,
    /// Parts by service and account.
    pub lines: Vec<AccountLine>,
}

type Key = (Box<str>, Box<str>);

#[derive(Debug, Clone, Default)]
struct Step {
    received: f64,
    waits: Vec<(f64, f64)>,
    offered: f64,
    expired: f64,
}

#[derive(Debug, Default)]
struct Account {
    /// Largest share that calls of a step were given.
    shares: BTreeMap<u64, f64>,
    steps: BTreeMap<u64, Step>,
}

impl Account {
    /// The share in force in a step: what its calls were given, or those before it.
    fn share(&self, index: u64) -> f64 {
        let known = self.shares.range(..=index).next_back();
        known
            .or_else(|| self.shares.first_key_value())
            .map_or(0.0, |(_, share)| *share)
    }
}

/// Divides the records of `log` into intervals of `length_ms`, which is rounded up to whole steps.
pub fn intervals(log: &UsageLog, length_ms: u64) -> Vec<Interval> {
    let length_ms = length_ms.max(1).div_ceil(STEP_MS) * STEP_MS;
    let mut accounts: BTreeMap<Key, Account> = BTreeMap::new();
    let mut parts: BTreeMap<u64, BTreeMap<Key, AccountUsage>> = BTreeMap::new();
    for record in log.records() {
        let key = (record.service.clone(), record.account.clone());
        let account = accounts.entry(key.clone()).or_default();
        add_record(account, record);
        let part = parts.entry(record.at_ms / length_ms).or_default();
        count(part.entry(key).or_default(), record);
    }
    for (key, account) in &accounts {
        for (index, step) in &account.steps {
            let part = parts.entry(index * STEP_MS / length_ms).or_default();
            let part = part.entry(key.clone()).or_default();
            part.received += step.received;
            part.backlogged_ms += union(&step.waits);
            part.share = account.share(*index);
        }
    }
    for (index, key, owed) in owed(&accounts) {
        let part = parts.entry(index * STEP_MS / length_ms).or_default();
        part.entry(key).or_default().entitled += owed;
    }
    let intervals = parts.into_iter();
    intervals
        .map(|(index, parts)| Interval {
            start_ms: index * length_ms,
            length_ms,
            lines: parts.into_iter().map(to_line).collect(),
        })
        .collect()
}

fn to_line(((service, account), part): (Key, AccountUsage)) -> AccountLine {
    AccountLine {
        service,
        account,
        part,
    }
}

/// Spreads the cost of a record over the time that it held its slot, and notes when it waited.
fn add_record(account: &mut Account, record: &UsageRecord) {
    let end = record.at_ms as f64;
    let start = end - record.held_ms;
    if record.share > 0.0 {
        let share = account.shares.entry(start.max(0.0) as u64 / STEP_MS);
        let share = share.or_default();
        *share = share.max(record.share);
    }
    let held: Vec<_> = steps_of(start, end).collect();
    // Not `held_ms`: milliseconds since the epoch leave rounding errors, and the parts must add up.
    let whole: f64 = held.iter().map(|(_, from, to)| to - from).sum();
    let part_of = |length: f64| if whole > 0.0 { length / whole } else { 1.0 };
    for (index, from, to) in &held {
        let step = account.steps.entry(*index).or_default();
        step.received += record.cost * part_of(to - from);
    }
    let arrived = start - record.waited_ms;
    let refused = is_refused(record);
    let first = account
        .steps
        .entry(arrived.max(0.0) as u64 / STEP_MS)
        .or_default();
    first.offered += if refused {
        record.estimate
    } else {
        record.cost
    };
    if refused {
        let last = account.steps.entry(record.at_ms / STEP_MS).or_default();
        last.expired += record.estimate;
    }
    if record.reason != Reason::None && record.waited_ms > 0.0 {
        for (index, from, to) in steps_of(arrived, start) {
            let step = account.steps.entry(index).or_default();
            step.waits.push((from, to));
        }
    }
}

/// A call that would have been run, had there been room.
fn is_refused(record: &UsageRecord) -> bool {
    record.code != 0 && &*record.outcome == "not_run" && record.reason != Reason::Rejected
}

/// The steps that a stretch of time touches, with the part of it in each.
fn steps_of(start: f64, end: f64) -> impl Iterator<Item = (u64, f64, f64)> {
    let width = STEP_MS as f64;
    let start = start.max(0.0);
    let (first, last) = ((start / width) as u64, (end / width) as u64);
    (first..=last).filter_map(move |index| {
        let from = start.max(index as f64 * width);
        let to = end.min((index + 1) as f64 * width);
        (to > from || first == last).then_some((index, from, to))
    })
}

fn count(part: &mut AccountUsage, record: &UsageRecord) {
    if record.estimated {
        part.estimated += record.cost;
    }
    if record.code != 0 && &*record.outcome == "not_run" {
        *part.refused.entry(record.reason).or_default() += 1;
    } else {
        part.calls += 1;
    }
    if record.reason != Reason::None {
        *part.waited_ms.entry(record.reason).or_default() += record.waited_ms;
    }
}

/// Length of the union of stretches.
fn union(stretches: &[(f64, f64)]) -> f64 {
    let mut sorted = stretches.to_vec();
    sorted.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut length = 0.0;
    let mut reached = f64::NEG_INFINITY;
    for (from, to) in sorted {
        length += (to - from.max(reached)).max(0.0);
        reached = reached.max(to);
    }
    length
}

/// What each account is owed in each step.
fn owed(accounts: &BTreeMap<Key, Account>) -> Vec<(u64, Key, f64)> {
    let mut services: BTreeMap<&str, Vec<(&Key, &Account)>> = BTreeMap::new();
    for (key, account) in accounts {
        services.entry(&key.0).or_default().push((key, account));
    }
    let mut list = Vec::new();
    for members in services.values() {
        let mut left = vec![0.0; members.len()];
        let steps: BTreeSet<u64> = members
            .iter()
            .flat_map(|(_, account)| account.steps.keys().copied())
            .collect();
        for index in steps {
            let parts = owed_in(index, members, &mut left);
            let parts = members.iter().zip(parts).filter(|(_, part)| *part > 0.0);
            list.extend(parts.map(|((key, _), part)| (index, (*key).clone(), part)));
        }
    }
    list
}

/// What the accounts of one service are owed in one step; `left` is what each has left to want.
fn owed_in(index: u64, members: &[(&Key, &Account)], left: &mut [f64]) -> Vec<f64> {
    let mut served = 0.0;
    let mut claims = Vec::new();
    for ((_, account), left) in members.iter().zip(left.iter_mut()) {
        if let Some(step) = account.steps.get(&index) {
            served += step.received;
            *left += step.offered;
        }
        claims.push(Claim {
            share: account.share(index),
            demand: *left,
        });
    }
    let parts = max_min(&claims, served);
    for (((_, account), left), part) in members.iter().zip(left).zip(&parts) {
        let expired = account.steps.get(&index).map_or(0.0, |s| s.expired);
        *left = (*left - part - expired).max(0.0);
    }
    parts
}

/// What one account would take of what was served.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Claim {
    /// Weight against the others.
    pub share: f64,
    /// Most that it would take.
    pub demand: f64,
}

/// Divides `served` by shares, nobody getting more than it wants.
pub fn max_min(claims: &[Claim], served: f64) -> Vec<f64> {
    let mut parts = vec![0.0; claims.len()];
    let mut left = served;
    let mut open: Vec<usize> = (0..claims.len())
        .filter(|i| claims[*i].share > 0.0)
        .collect();
    while !open.is_empty() {
        let shares: f64 = open.iter().map(|i| claims[*i].share).sum();
        let level = left / shares;
        let (full, rest): (Vec<usize>, Vec<usize>) = open
            .iter()
            .partition(|i| claims[**i].demand <= level * claims[**i].share);
        if full.is_empty() {
            for i in rest {
                parts[i] = level * claims[i].share;
            }
            return parts;
        }
        for i in full {
            parts[i] = claims[i].demand;
            left -= claims[i].demand;
        }
        open = rest;
    }
    parts
}
