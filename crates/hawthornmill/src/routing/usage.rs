//! Recent usage of each account over the whole fleet.
//!
//! The cost of a request is its prompt tokens plus twice its generated tokens. While capacity is scarce, accounts share it
//! max-min: an account that requests less than an even share gets all of it, and the rest is split evenly among the others.
//! Shares are computed from local counts and the latest reports of the other instances, so no request waits for another
//! instance.

use std::collections::BTreeMap;
use std::fmt;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::load_parts::{DemandPart, PartKey, REST_OF_FLEET, Scope};
use crate::ident::{AccountId, InstanceId};

/// Time constant of the decay: after it, a cost counts for 1/e of its value.
///
/// Costs decay exponentially. With a sliding window, an account whose costs leave the window all at once gets nothing
/// until then, and too much afterwards.
pub const DECAY_TIME: Duration = Duration::from_secs(1);
/// Cost in tokens below which an account is no longer reported.
const MIN_REPORTED_COST: f32 = 1.0;
/// Age up to which a peer's report counts as it was: the next one may still be on its way.
///
/// Usage that faded while a report waits would make an account that enters elsewhere seem to have had less than one that
/// enters here.
const PEER_REPORT_HOLD: Duration = Duration::from_millis(600);
/// Lifetime of a peer's report.
const PEER_REPORT_TTL: Duration = Duration::from_millis(2_500);

/// Usage of one account after decay, in tokens.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct AccountUsage {
    /// Cost of requests that arrived.
    pub requested: f32,
    /// Cost of requests that were sent to a server.
    pub served: f32,
}

/// Status of an account relative to its share of the capacity, in the order in which accounts are served.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
pub enum ShareStatus {
    /// It has had less than its share of the guaranteed capacity, or it requests more than its fair share and has credit.
    #[default]
    BelowGuarantee,
    /// It has had that, but less than its fair share of what the servers yield.
    BelowFairShare,
    /// It has had its fair share of what the servers yield, or more, or it has no credit.
    AboveFairShare,
}

impl ShareStatus {
    /// Returns the name that log lines and metrics use.
    pub const fn name(self) -> &'static str {
        match self {
            Self::BelowGuarantee => "Owed",
            Self::BelowFairShare => "Below",
            Self::AboveFairShare => "Above",
        }
    }
}

impl fmt::Display for ShareStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// An account's status and its usage relative to its fair share.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FairShare {
    /// Status that decides the order of service.
    pub status: ShareStatus,
    /// Usage in multiples of the fair share of what the servers yield.
    pub usage_ratio: f64,
    /// It requests more than its fair share, so its requests within the share are limited by their credit.
    pub is_limited: bool,
}

impl Default for FairShare {
    fn default() -> Self {
        Self {
            status: ShareStatus::BelowGuarantee,
            usage_ratio: 0.0,
            is_limited: false,
        }
    }
}

/// Usage up to which accounts have a status, in tokens per decay time; infinite where all that is requested fits.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ShareLevels {
    /// Below it, an account is below its guarantee.
    pub guaranteed: f64,
    /// Below it, an account is below its fair share.
    pub fair: f64,
}

impl Default for ShareLevels {
    fn default() -> Self {
        Self {
            guaranteed: f64::INFINITY,
            fair: f64::INFINITY,
        }
    }
}

/// Computes the levels from fleet-wide usage and the guaranteed capacity, in tokens per decay time.
pub fn share_levels(fleet: &BTreeMap<AccountId, AccountUsage>, guaranteed: f64) -> ShareLevels {
    let requested = || fleet.values().map(|s| f64::from(s.requested));
    let total_served: f64 = fleet.values().map(|s| f64::from(s.served)).sum();
    ShareLevels {
        guaranteed: max_min_share(requested(), guaranteed),
        fair: max_min_share(requested(), total_served.max(guaranteed)),
    }
}

/// Computes the share of each account from fleet-wide usage and `levels`.
pub fn fair_shares(
    fleet: &BTreeMap<AccountId, AccountUsage>,
    levels: ShareLevels,
) -> BTreeMap<AccountId, FairShare> {
    let share = |sums: &AccountUsage| {
        let served = f64::from(sums.served);
        let status = match served {
            served if served < levels.guaranteed => ShareStatus::BelowGuarantee,
            served if served < levels.fair => ShareStatus::BelowFairShare,
            _ => ShareStatus::AboveFairShare,
        };
        let usage_ratio = if levels.fair.is_finite() {
            served / levels.fair
        } else {
            1.0
        };
        FairShare {
            status,
            usage_ratio,
            is_limited: false,
        }
    };
    fleet.iter().map(|(id, sums)| (*id, share(sums))).collect()
}

impl AccountUsage {
    /// Returns the usage after a decay over `time`.
    fn decayed(self, time: Duration) -> Self {
        let left = (-time.as_secs_f32() / DECAY_TIME.as_secs_f32()).exp();
        Self {
            requested: self.requested * left,
            served: self.served * left,
        }
    }

    fn add(&mut self, other: Self) {
        self.requested += other.requested;
        self.served += other.served;
    }

    fn without(self, other: Self) -> Self {
        Self {
            requested: (self.requested - other.requested).max(0.0),
            served: (self.served - other.served).max(0.0),
        }
    }
}

/// Usage at an instant.
#[derive(Debug, Clone, Copy)]
struct Decaying {
    sums: AccountUsage,
    at: Instant,
}

impl Decaying {
    fn at(&self, now: Instant) -> AccountUsage {
        self.sums.decayed(now.saturating_duration_since(self.at))
    }

    fn add(&mut self, sums: AccountUsage, now: Instant) {
        self.sums = self.at(now);
        self.at = now;
        self.sums.add(sums);
    }
}

/// Usage by account, local and of other instances.
#[derive(Debug, Clone, Default)]
pub struct UsageTracker {
    local: BTreeMap<AccountId, Decaying>,
    peers: BTreeMap<PartKey, (Instant, Vec<(AccountId, AccountUsage)>)>,
}

impl UsageTracker {
    fn count(&mut self, account: AccountId, sums: AccountUsage, now: Instant) {
        let none = Decaying {
            sums: AccountUsage::default(),
            at: now,
        };
        self.local.entry(account).or_insert(none).add(sums, now);
    }

    /// Records that a request of `cost` arrived.
    pub fn record_requested(&mut self, account: AccountId, cost: f64, now: Instant) {
        let requested = cost as f32;
        self.count(
            account,
            AccountUsage {
                requested,
                served: 0.0,
            },
            now,
        );
    }

    /// Records that a request of `cost` was sent to a server.
    pub fn record_served(&mut self, account: AccountId, cost: f64, now: Instant) {
        let served = cost as f32;
        self.count(
            account,
            AccountUsage {
                requested: 0.0,
                served,
            },
            now,
        );
    }

    /// Returns this instance's usage, to report to others.
    pub fn local(&mut self, now: Instant) -> Vec<(AccountId, AccountUsage)> {
        self.local
            .retain(|_, d| d.at(now).requested >= MIN_REPORTED_COST);
        self.local.iter().map(|(id, d)| (*id, d.at(now))).collect()
    }

    /// Returns the total usage of this instance and the `members` of its failure domain.
    pub fn domain_sum(
        &mut self,
        members: &[InstanceId],
        now: Instant,
    ) -> Vec<(AccountId, AccountUsage)> {
        let mut all: BTreeMap<AccountId, AccountUsage> = self.local(now).into_iter().collect();
        for member in members {
            add_peer_reports(&mut all, self.parts_of(*member), now);
        }
        all.into_iter().collect()
    }

    /// Returns `totals` without what `member` reported.
    pub fn without(
        &self,
        totals: &BTreeMap<AccountId, AccountUsage>,
        member: InstanceId,
        now: Instant,
    ) -> Vec<(AccountId, AccountUsage)> {
        let mut own = BTreeMap::new();
        add_peer_reports(&mut own, self.parts_of(member), now);
        let left = |(id, sums): (&AccountId, &AccountUsage)| {
            let own = own.get(id).copied().unwrap_or_default();
            (*id, sums.without(own))
        };
        let all = totals.iter().map(left);
        all.filter(|(_, sums)| sums.requested >= MIN_REPORTED_COST)
            .collect()
    }

    fn parts_of(
        &self,
        origin: InstanceId,
    ) -> impl Iterator<Item = &(Instant, Vec<(AccountId, AccountUsage)>)> {
        let parts = self.peers.range(PartKey::from_number(origin, 0));
        parts.map(|(_, part)| part)
    }

    /// Replaces a peer's earlier report.
    pub fn apply_peer_report(
        &mut self,
        peer: InstanceId,
        sums: Vec<(AccountId, AccountUsage)>,
        now: Instant,
    ) {
        self.peers.insert(PartKey::whole(peer), (now, sums));
    }

    /// Replaces a part of the report of `sender`.
    pub fn apply_part(&mut self, sender: InstanceId, part: &DemandPart, now: Instant) {
        let key = part.key(sender);
        if part.scope == Scope::RestOfFleet {
            self.peers.retain(|key, _| key.origin == REST_OF_FLEET);
        }
        self.peers
            .retain(|k, _| k.origin != key.origin || k.number < part.parts);
        self.peers.insert(key, (now, part.usage.clone()));
    }

    /// Forgets what a relay reported of the rest of the fleet.
    pub fn remove_rest_of_fleet(&mut self) {
        self.peers.retain(|key, _| key.origin != REST_OF_FLEET);
    }

    /// Returns fleet-wide usage.
    pub fn fleet_totals(&mut self, now: Instant) -> BTreeMap<AccountId, AccountUsage> {
        self.peers
            .retain(|_, (at, _)| now.duration_since(*at) < PEER_REPORT_TTL);
        let mut all: BTreeMap<AccountId, AccountUsage> = self.local(now).into_iter().collect();
        add_peer_reports(&mut all, self.peers.values(), now);
        all
    }
}

fn add_peer_reports<'a>(
    all: &mut BTreeMap<AccountId, AccountUsage>,
    reports: impl Iterator<Item = &'a (Instant, Vec<(AccountId, AccountUsage)>)>,
    now: Instant,
) {
    for (at, list) in reports {
        let overdue = now
            .saturating_duration_since(*at)
            .saturating_sub(PEER_REPORT_HOLD);
        for (account, sums) in list {
            all.entry(*account).or_default().add(sums.decayed(overdue));
        }
    }
}

/// Returns the most that one account gets when `capacity` is shared max-min among the amounts in `requested`.
///
/// Infinite when all of them fit.
pub fn max_min_share(requested: impl Iterator<Item = f64>, capacity: f64) -> f64 {
    let mut requested: Vec<f64> = requested.collect();
    requested.sort_by(f64::total_cmp);
    let mut left = capacity;
    for (index, amount) in requested.iter().enumerate() {
        let fair_level = left / (requested.len() - index) as f64;
        if *amount > fair_level {
            return fair_level;
        }
        left -= amount;
    }
    f64::INFINITY
}
