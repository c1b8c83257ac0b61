//! Works out the figures of a run.

use std::collections::BTreeMap;

use hawthornmill::ident::{AccountId, ServiceId};
use hawthornmill::usage::explain::intervals::{Claim, max_min};
use serde::Serialize;

use super::measure::Sample;
use super::site::{ControlCount, Site};
use crate::load::run::Pair;
use crate::load::summary::{Summary, summarize};
use crate::load::{Plan, Story};

/// Seconds at the start that are left out of the gap.
const WARM_UP: f64 = 2.0;
/// Most times the mean that a call's size may be.
const LARGEST: f64 = 3.0;
/// Seconds that counters may be old when they reach the farthest owner: three reports.
const STALENESS: f64 = 0.75;

/// What one account received.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct AccountResult {
    /// Account by name.
    pub name: Box<str>,
    /// Largest share on any server of the service.
    pub share: f64,
    /// Cost that a fair division of what was served gives it.
    pub owed: f64,
    /// Cost that the servers ran for it.
    pub received: f64,
    /// Seconds during which it had calls waiting.
    pub backlogged_s: f64,
    /// Calls refused.
    pub refused: u64,
    /// Milliseconds to the first byte, half of the whole answers.
    pub p50_ms: f64,
    /// The same for 99 of 100.
    pub p99_ms: f64,
}

/// The figures of a run, all measured by the load tool and the stand-ins.
#[derive(Debug, Clone, Serialize)]
pub struct RunResult {
    /// Who scheduled.
    pub policy: Box<str>,
    /// Service that the shares are about.
    pub service: Box<str>,
    /// Accounts by name.
    pub accounts: Vec<AccountResult>,
    /// Unit of owed, received and, for one share, of the gap.
    pub unit: Box<str>,
    /// Largest difference of normalised service between accounts that were backlogged throughout.
    pub gap: f64,
    /// What the gap must stay under.
    pub gap_bound: f64,
    /// Accounts that were backlogged throughout.
    pub gap_accounts: usize,
    /// Part of the slot time that was used while calls arrived.
    pub utilization: f64,
    /// Part of the slot time that idled while a call waited.
    pub idle_while_waiting: f64,
    /// Bytes a second that a router sent to peers, mean over routers.
    pub control_bytes_per_s: ControlBytes,
    /// Bytes that routers sent to peers in other regions.
    pub cross_region_bytes: u64,
    /// Bytes of calls, requests and answers, between entries and servers in other regions.
    pub cross_region_call_bytes: u64,
    /// Calls made.
    pub calls: u64,
    /// Calls with neither answer nor refusal.
    pub lost: u64,
    /// Answers that belonged to another call.
    pub crossed: u64,
    /// Answers that ended as if whole and were not.
    pub truncated: u64,
    /// Calls of services that must not repeat that ran more than once.
    pub repeated: u64,
    /// Refusals by code.
    pub codes: BTreeMap<u16, u64>,
}

/// Control traffic of one router.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct ControlBytes {
    /// Mean over routers.
    pub mean: f64,
    /// The router that sent most.
    pub max: f64,
}

/// Works out the figures.
pub fn work_out(
    site: &Site,
    plan: &Plan,
    stories: &[Story],
    samples: &[Sample],
    bytes: &ControlCount,
    policy: &str,
) -> RunResult {
    let summary = summarize(stories);
    let service = main_service(plan);
    let window = window(samples, plan);
    let accounts = accounts(site, plan, &service, &summary, window);
    let (gap, gap_accounts) = gap(&accounts, &service, window);
    let seconds = site.started.elapsed().as_secs_f64();
    let each: Vec<f64> = bytes.each.iter().map(|b| *b as f64 / seconds).collect();
    RunResult {
        policy: policy.into(),
        gap_bound: bound(site, plan, &service, &accounts, window),
        gap,
        gap_accounts,
        utilization: utilization(&service, window),
        idle_while_waiting: idle_while_waiting(&service, window),
        unit: "tokens".into(),
        service,
        accounts,
        control_bytes_per_s: ControlBytes {
            mean: each.iter().sum::<f64>() / each.len().max(1) as f64,
            max: each.iter().copied().fold(0.0, f64::max),
        },
        cross_region_bytes: bytes.far,
        cross_region_call_bytes: bytes.far_calls,
        calls: summary.calls,
        lost: summary.lost,
        crossed: summary.crossed,
        truncated: summary.truncated,
        repeated: repeated(site, plan),
        codes: summary.codes,
    }
}

/// The service with the most callers.
fn main_service(plan: &Plan) -> Box<str> {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for caller in plan.callers.iter().filter(|c| !c.keyed) {
        *counts.entry(&caller.service).or_default() += 1;
    }
    counts
        .into_iter()
        .max_by_key(|(_, count)| *count)
        .map_or("", |(name, _)| name)
        .into()
}

/// The samples between the warm-up and the end of the arrivals.
fn window<'a>(samples: &'a [Sample], plan: &Plan) -> &'a [Sample] {
    let end = plan.time.as_secs_f64();
    let warm = WARM_UP.min(end / 4.0);
    let from = samples.partition_point(|s| s.at < warm);
    let to = samples.partition_point(|s| s.at <= end);
    &samples[from..to.max(from)]
}

fn pair(service: &str, account: &str) -> Pair {
    (service.into(), account.into())
}

fn received(window: &[Sample], pair: &Pair) -> f64 {
    let at = |s: Option<&Sample>| s.and_then(|s| s.cost.get(pair)).copied().unwrap_or(0.0);
    at(window.last()) - at(window.first())
}

fn accounts(
    site: &Site,
    plan: &Plan,
    service: &str,
    summary: &Summary,
    window: &[Sample],
) -> Vec<AccountResult> {
    let empty = BTreeMap::new();
    let sums = summary.accounts.get(service).unwrap_or(&empty);
    let mut list: Vec<AccountResult> = plan
        .callers
        .iter()
        .filter(|c| *c.service == *service)
        .map(|caller| {
            let pair = pair(service, &caller.account);
            let sum = sums.get(&caller.account).cloned().unwrap_or_default();
            AccountResult {
                name: caller.account.clone(),
                share: share(site, service, &caller.account),
                owed: 0.0,
                received: received(window, &pair),
                backlogged_s: backlogged(window, &pair),
                refused: sum.refused,
                p50_ms: sum.p50_ms,
                p99_ms: sum.p99_ms,
            }
        })
        .collect();
    let demands: Vec<f64> = plan
        .callers
        .iter()
        .filter(|c| *c.service == *service)
        .map(|c| demand(c, service, window))
        .collect();
    divide(&mut list, &demands);
    list.sort_by(|a, b| a.name.cmp(&b.name));
    list
}

fn span(window: &[Sample]) -> f64 {
    match (window.first(), window.last()) {
        (Some(a), Some(b)) => b.at - a.at,
        _ => 0.0,
    }
}

/// The cost that could have been run for `caller` within the window: what it had sent by the end,
/// less what was run before.
fn demand(caller: &crate::load::Caller, service: &str, window: &[Sample]) -> f64 {
    if caller.workers > 0 {
        return f64::INFINITY;
    }
    let pair = pair(service, &caller.account);
    let of = |map: &BTreeMap<Pair, f64>| map.get(&pair).copied().unwrap_or(0.0);
    match (window.first(), window.last()) {
        (Some(first), Some(last)) => of(&last.offered) - of(&first.cost),
        _ => 0.0,
    }
}

fn share(site: &Site, service: &str, account: &str) -> f64 {
    let id = AccountId::of(account);
    let service = ServiceId::of(service);
    let servers = site.config.servers.iter();
    servers
        .filter(|(_, s)| s.service == service)
        .filter_map(|(server, _)| site.config.share(id, *server))
        .fold(0.0, f64::max)
}

fn backlogged(window: &[Sample], pair: &Pair) -> f64 {
    window
        .windows(2)
        .filter(|w| w[0].waiting.get(pair).is_some_and(|n| *n > 0))
        .map(|w| w[1].at - w[0].at)
        .sum()
}

/// Divides what was served by shares, nobody getting more than it asked for.
fn divide(accounts: &mut [AccountResult], demands: &[f64]) {
    let served = accounts.iter().map(|a| a.received).sum();
    let claims: Vec<Claim> = accounts
        .iter()
        .zip(demands)
        .map(|(account, demand)| Claim {
            share: account.share,
            demand: *demand,
        })
        .collect();
    for (account, owed) in accounts.iter_mut().zip(max_min(&claims, served)) {
        account.owed = owed;
    }
}

/// The largest difference of normalised service among accounts that always had calls waiting.
fn gap(accounts: &[AccountResult], service: &str, window: &[Sample]) -> (f64, usize) {
    let throughout: Vec<&AccountResult> = accounts
        .iter()
        .filter(|a| {
            let pair = pair(service, &a.name);
            a.share > 0.0
                && window
                    .iter()
                    .all(|s| s.waiting.get(&pair).is_some_and(|n| *n > 0))
        })
        .collect();
    let Some(first) = window.first() else {
        return (0.0, 0);
    };
    let mut gap: f64 = 0.0;
    for sample in window {
        let services = throughout.iter().map(|a| {
            let pair = pair(service, &a.name);
            let at = |s: &Sample| s.cost.get(&pair).copied().unwrap_or(0.0);
            (at(sample) - at(first)) / a.share
        });
        let (least, most) = services.fold((f64::INFINITY, f64::NEG_INFINITY), |(l, m), s| {
            (l.min(s), m.max(s))
        });
        if least.is_finite() {
            gap = gap.max(most - least);
        }
    }
    (gap, throughout.len())
}

/// Slots × largest cost plus what is served while a counter is on its way, for the least share.
fn bound(
    site: &Site,
    plan: &Plan,
    service: &str,
    accounts: &[AccountResult],
    window: &[Sample],
) -> f64 {
    let id = ServiceId::of(service);
    let slots: f64 = site
        .config
        .servers
        .values()
        .filter(|s| s.service == id)
        .map(|s| f64::from(s.slots))
        .sum();
    let largest = plan
        .callers
        .iter()
        .filter(|c| *c.service == *service)
        .map(|c| c.tokens * LARGEST)
        .fold(0.0, f64::max);
    let served: f64 = accounts.iter().map(|a| a.received).sum();
    let rate = served / span(window).max(0.001);
    let least = accounts
        .iter()
        .map(|a| a.share)
        .filter(|s| *s > 0.0)
        .fold(f64::INFINITY, f64::min);
    (slots * largest + STALENESS * rate) / least
}

fn utilization(service: &str, window: &[Sample]) -> f64 {
    let (Some(first), Some(last)) = (window.first(), window.last()) else {
        return 0.0;
    };
    let of = |map: &BTreeMap<Box<str>, f64>| map.get(service).copied().unwrap_or(0.0);
    let slots = first.slots.get(service).copied().unwrap_or(0);
    (of(&last.busy) - of(&first.busy)) / (f64::from(slots) * span(window)).max(0.001)
}

fn idle_while_waiting(service: &str, window: &[Sample]) -> f64 {
    let mut idle = 0.0;
    let mut all = 0.0;
    for w in window.windows(2) {
        let time = w[1].at - w[0].at;
        let waiting: i64 = w[0]
            .waiting
            .iter()
            .filter(|((s, _), _)| **s == *service)
            .map(|(_, n)| *n)
            .sum();
        let free = w[0].free.get(service).copied().unwrap_or(0);
        let slots = w[0].slots.get(service).copied().unwrap_or(0);
        idle += f64::from(free).min(waiting.max(0) as f64) * time;
        all += f64::from(slots) * time;
    }
    if all > 0.0 { idle / all } else { 0.0 }
}

fn repeated(site: &Site, plan: &Plan) -> u64 {
    let keyed: Vec<&str> = plan
        .callers
        .iter()
        .filter(|c| c.keyed)
        .map(|c| &*c.service)
        .collect();
    let mut starts: BTreeMap<Box<str>, u32> = BTreeMap::new();
    for server in &site.servers {
        let service = site.config.servers[&server.id].service;
        let name = &site.config.services[&service].name;
        if keyed.contains(&&**name) {
            for (tag, runs) in &server.standin.ledger().lock().runs {
                *starts.entry(tag.clone()).or_default() += runs.started;
            }
        }
    }
    starts.values().filter(|n| **n > 1).count() as u64
}
