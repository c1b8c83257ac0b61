//! Computes what each account received per interval and what a fair scheduler would have given it.
//!
//! The reference scheduler gets the same calls and, in each time step, the capacity that the servers
//! of the service actually used. It divides this capacity by weighted max-min fairness among the
//! accounts with demand. A call adds its cost to the demand when it arrives. A rejected call adds its
//! estimate, and removes what is left of it when it is rejected. So the entitlements add up to the
//! service delivered, no account is entitled to more than it requested, and a call that was served
//! late doesn't count as lost.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;

use super::log::UsageLog;
use crate::usage::{Reason, UsageRecord};

/// Length of a time step.
pub const STEP_MS: u64 = 1000;

/// Cost and waiting of one account on one service in one interval.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct AccountUsage {
    /// Share at the end of the interval, from the records.
    pub share: f64,
    /// Cost that it is entitled to.
    #[serde(rename = "owed")]
    pub entitled: f64,
    /// Cost of the calls that ran for it.
    pub received: f64,
    /// Part of `received` that is estimated.
    pub estimated: f64,
    /// Milliseconds with at least one waiting call.
    pub backlogged_ms: f64,
    /// Finished calls, without rejected ones.
    pub calls: u64,
    /// Rejected calls, by reason.
    pub refused: BTreeMap<Reason, u64>,
    /// Total waiting time of calls in milliseconds, by reason.
    pub waited_ms: BTreeMap<Reason, f64>,
}

/// Usage of one account on one service, with their names.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct AccountLine {
    /// Service by name.
    pub service: Box<str>,
    /// Account by name.
    pub account: Box<str>,
    /// The usage.
    #[serde(flatten)]
    pub usage: AccountUsage,
}

/// Usage of all accounts in one interval.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Interval {
    /// Start in wall-clock milliseconds since the Unix epoch.
    pub start_ms: u64,
    /// Length in milliseconds.
    pub length_ms: u64,
    /// Usage by service and account.
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
    /// Largest share of the calls of each step.
    shares: BTreeMap<u64, f64>,
    steps: BTreeMap<u64, Step>,
}

impl Account {
    /// The share in a step: that of its calls, or of the latest ones before it.
    fn share(&self, index: u64) -> f64 {
        let known = self.shares.range(..=index).next_back();
        known
            .or_else(|| self.shares.first_key_value())
            .map_or(0.0, |(_, share)| *share)
    }
}

/// Computes usage in intervals of `length_ms`, rounded up to whole steps.
pub fn usage_per_interval(log: &UsageLog, length_ms: u64) -> Vec<Interval> {
    let length_ms = length_ms.max(1).div_ceil(STEP_MS) * STEP_MS;
    let mut accounts: BTreeMap<Key, Account> = BTreeMap::new();
    let mut by_interval: BTreeMap<u64, BTreeMap<Key, AccountUsage>> = BTreeMap::new();
    for record in log.records() {
        let key = (record.service.clone(), record.account.clone());
        let account = accounts.entry(key.clone()).or_default();
        add_record(account, record);
        let usage = by_interval.entry(record.at_ms / length_ms).or_default();
        count_call(usage.entry(key).or_default(), record);
    }
    for (key, account) in &accounts {
        for (index, step) in &account.steps {
            let usage = by_interval.entry(index * STEP_MS / length_ms).or_default();
            let usage = usage.entry(key.clone()).or_default();
            usage.received += step.received;
            usage.backlogged_ms += union_ms(&step.waits);
            usage.share = account.share(*index);
        }
    }
    for (index, key, entitled) in entitlements(&accounts) {
        let usage = by_interval.entry(index * STEP_MS / length_ms).or_default();
        usage.entry(key).or_default().entitled += entitled;
    }
    let intervals = by_interval.into_iter();
    intervals
        .map(|(index, accounts)| Interval {
            start_ms: index * length_ms,
            length_ms,
            lines: accounts.into_iter().map(to_line).collect(),
        })
        .collect()
}

fn to_line(((service, account), usage): (Key, AccountUsage)) -> AccountLine {
    AccountLine {
        service,
        account,
        usage,
    }
}

/// Spreads the cost of a record over the time that it held its slot, and adds its waiting time.
fn add_record(account: &mut Account, record: &UsageRecord) {
    let end = record.at_ms as f64;
    let start = end - record.held_ms;
    if record.share > 0.0 {
        let share = account.shares.entry(start.max(0.0) as u64 / STEP_MS);
        let share = share.or_default();
        *share = share.max(record.share);
    }
    let held: Vec<_> = split_steps(start, end).collect();
    // Not `held_ms`: rounding errors of milliseconds since the epoch would make the sum inexact.
    let total_ms: f64 = held.iter().map(|(_, from, to)| to - from).sum();
    let fraction = |length: f64| {
        if total_ms > 0.0 {
            length / total_ms
        } else {
            1.0
        }
    };
    for (index, from, to) in &held {
        let step = account.steps.entry(*index).or_default();
        step.received += record.cost * fraction(to - from);
    }
    let arrived = start - record.waited_ms;
    let rejected = is_rejected(record);
    let first = account
        .steps
        .entry(arrived.max(0.0) as u64 / STEP_MS)
        .or_default();
    first.offered += if rejected {
        record.estimate
    } else {
        record.cost
    };
    if rejected {
        let last = account.steps.entry(record.at_ms / STEP_MS).or_default();
        last.expired += record.estimate;
    }
    if record.reason != Reason::None && record.waited_ms > 0.0 {
        for (index, from, to) in split_steps(arrived, start) {
            let step = account.steps.entry(index).or_default();
            step.waits.push((from, to));
        }
    }
}

/// Returns whether the call was rejected for lack of capacity.
fn is_rejected(record: &UsageRecord) -> bool {
    record.code != 0 && &*record.outcome == "not_run" && record.reason != Reason::Rejected
}

/// The steps that overlap a time range, with the overlap.
fn split_steps(start: f64, end: f64) -> impl Iterator<Item = (u64, f64, f64)> {
    let width = STEP_MS as f64;
    let start = start.max(0.0);
    let (first, last) = ((start / width) as u64, (end / width) as u64);
    (first..=last).filter_map(move |index| {
        let from = start.max(index as f64 * width);
        let to = end.min((index + 1) as f64 * width);
        (to > from || first == last).then_some((index, from, to))
    })
}

fn count_call(usage: &mut AccountUsage, record: &UsageRecord) {
    if record.estimated {
        usage.estimated += record.cost;
    }
    if record.code != 0 && &*record.outcome == "not_run" {
        *usage.refused.entry(record.reason).or_default() += 1;
    } else {
        usage.calls += 1;
    }
    if record.reason != Reason::None {
        *usage.waited_ms.entry(record.reason).or_default() += record.waited_ms;
    }
}

/// Length of the union of time ranges.
fn union_ms(ranges: &[(f64, f64)]) -> f64 {
    let mut sorted = ranges.to_vec();
    sorted.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut length = 0.0;
    let mut reached = f64::NEG_INFINITY;
    for (from, to) in sorted {
        length += (to - from.max(reached)).max(0.0);
        reached = reached.max(to);
    }
    length
}

/// Entitlement of each account in each step.
fn entitlements(accounts: &BTreeMap<Key, Account>) -> Vec<(u64, Key, f64)> {
    let mut services: BTreeMap<&str, Vec<(&Key, &Account)>> = BTreeMap::new();
    for (key, account) in accounts {
        services.entry(&key.0).or_default().push((key, account));
    }
    let mut list = Vec::new();
    for members in services.values() {
        let mut unserved = vec![0.0; members.len()];
        let steps: BTreeSet<u64> = members
            .iter()
            .flat_map(|(_, account)| account.steps.keys().copied())
            .collect();
        for index in steps {
            let parts = step_entitlements(index, members, &mut unserved);
            let parts = members.iter().zip(parts).filter(|(_, part)| *part > 0.0);
            list.extend(parts.map(|((key, _), part)| (index, (*key).clone(), part)));
        }
    }
    list
}

/// Entitlements of the accounts of one service in one step; `unserved` is their remaining demand.
fn step_entitlements(index: u64, members: &[(&Key, &Account)], unserved: &mut [f64]) -> Vec<f64> {
    let mut served = 0.0;
    let mut claims = Vec::new();
    for ((_, account), unserved) in members.iter().zip(unserved.iter_mut()) {
        if let Some(step) = account.steps.get(&index) {
            served += step.received;
            *unserved += step.offered;
        }
        claims.push(Claim {
            share: account.share(index),
            demand: *unserved,
        });
    }
    let parts = max_min(&claims, served);
    for (((_, account), unserved), part) in members.iter().zip(unserved).zip(&parts) {
        let expired = account.steps.get(&index).map_or(0.0, |s| s.expired);
        *unserved = (*unserved - part - expired).max(0.0);
    }
    parts
}

/// One account's claim to the service delivered.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Claim {
    /// Weight relative to other accounts.
    pub share: f64,
    /// Upper limit of what it receives.
    pub demand: f64,
}

/// Divides `served` by weighted max-min fairness; no account gets more than its demand.
pub fn max_min(claims: &[Claim], served: f64) -> Vec<f64> {
    let mut parts = vec![0.0; claims.len()];
    let mut remaining = served;
    let mut open: Vec<usize> = (0..claims.len())
        .filter(|i| claims[*i].share > 0.0)
        .collect();
    while !open.is_empty() {
        let shares: f64 = open.iter().map(|i| claims[*i].share).sum();
        let level = remaining / shares;
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
            remaining -= claims[i].demand;
        }
        open = rest;
    }
    parts
}
