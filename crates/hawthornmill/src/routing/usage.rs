//! What each account asked for and got in the last seconds, over the whole fleet.
//!
//! An account's cost is its tokens read plus twice its tokens generated. While capacity is short,
//! the accounts share it max-min: whoever asks for less than an even share gets all of it, and the
//! rest is divided evenly among the others. The shares are worked out here from what this instance
//! counted and what the others last said, so no instance has to be asked before a request goes.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::ident::{AccountId, InstanceId};

/// Time in which a cost counts for a third of what it did.
///
/// Costs fade, since an account whose costs leave a window all at once gets nothing until then, and then too much.
pub const DECAY_TIME: Duration = Duration::from_secs(1);
/// Cost, in tokens, under which an account is no longer told of.
const LEAST: f32 = 1.0;
/// Time for which a peer's last word counts.
const PEER_LIFE: Duration = Duration::from_millis(2_500);

/// Costs of one account as they count now, in tokens.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct AccountUsage {
    /// Cost of requests that came.
    pub requested: f32,
    /// Cost of requests that were sent to a server.
    pub served: f32,
}

/// How an account stands to its share, the ones to serve first in front.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
pub enum ShareStatus {
    /// It has had less than its part of the capacity that operators promise.
    #[default]
    BelowGuarantee,
    /// It has had that, but less than an even part of what the servers yield.
    BelowFairShare,
    /// It has had more than an even part.
    AboveFairShare,
}

impl ShareStatus {
    /// Name in log lines.
    pub const fn log_name(self) -> &'static str {
        match self {
            Self::BelowGuarantee => "Owed",
            Self::BelowFairShare => "Below",
            Self::AboveFairShare => "Above",
        }
    }
}

/// How an account stands, and how far it is ahead.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FairShare {
    /// Whose turn it is.
    pub status: ShareStatus,
    /// What it has had, in times of an even part of what the servers yield.
    pub usage_ratio: f64,
}

impl Default for FairShare {
    fn default() -> Self {
        Self {
            status: ShareStatus::BelowGuarantee,
            usage_ratio: 1.0,
        }
    }
}

/// The share of each account, from its sums over the fleet and the capacity in tokens a window.
pub fn fair_shares(
    fleet: &BTreeMap<AccountId, AccountUsage>,
    promised: f64,
) -> BTreeMap<AccountId, FairShare> {
    let asked = || fleet.values().map(|s| f64::from(s.requested));
    let yielded: f64 = fleet.values().map(|s| f64::from(s.served)).sum();
    let owed = max_min_share(asked(), promised);
    let even = max_min_share(asked(), yielded.max(promised));
    let share = |sums: &AccountUsage| {
        let got = f64::from(sums.served);
        let standing = match got {
            got if got < owed => ShareStatus::BelowGuarantee,
            got if got < even => ShareStatus::BelowFairShare,
            _ => ShareStatus::AboveFairShare,
        };
        let lead = if even.is_finite() { got / even } else { 1.0 };
        FairShare {
            status: standing,
            usage_ratio: lead,
        }
    };
    fleet.iter().map(|(id, sums)| (*id, share(sums))).collect()
}

impl AccountUsage {
    /// What is left of it after `time`.
    fn faded(self, time: Duration) -> Self {
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
}

/// Usage at an instant.
#[derive(Debug, Clone, Copy)]
struct Fading {
    sums: AccountUsage,
    at: Instant,
}

impl Fading {
    fn at(&self, now: Instant) -> AccountUsage {
        self.sums.faded(now.saturating_duration_since(self.at))
    }

    fn add(&mut self, sums: AccountUsage, now: Instant) {
        self.sums = self.at(now);
        self.at = now;
        self.sums.add(sums);
    }
}

/// Costs by account, here and elsewhere.
#[derive(Debug, Clone, Default)]
pub struct UsageTracker {
    local: BTreeMap<AccountId, Fading>,
    peers: BTreeMap<InstanceId, (Instant, Vec<(AccountId, AccountUsage)>)>,
}

impl UsageTracker {
    fn count(&mut self, account: AccountId, sums: AccountUsage, now: Instant) {
        let none = Fading {
            sums: AccountUsage::default(),
            at: now,
        };
        self.local.entry(account).or_insert(none).add(sums, now);
    }

    /// A request of `cost` came.
    pub fn record_requested(&mut self, account: AccountId, cost: f64, now: Instant) {
        let asked = cost as f32;
        self.count(
            account,
            AccountUsage {
                requested: asked,
                served: 0.0,
            },
            now,
        );
    }

    /// A request of `cost` was sent to a server.
    pub fn record_served(&mut self, account: AccountId, cost: f64, now: Instant) {
        let got = cost as f32;
        self.count(
            account,
            AccountUsage {
                requested: 0.0,
                served: got,
            },
            now,
        );
    }

    /// This instance's sums, for the others.
    pub fn local(&mut self, now: Instant) -> Vec<(AccountId, AccountUsage)> {
        self.local.retain(|_, f| f.at(now).requested >= LEAST);
        self.local.iter().map(|(id, f)| (*id, f.at(now))).collect()
    }

    /// Usage of this instance and the `members` of its failure domain.
    pub fn domain_sum(
        &mut self,
        members: &[InstanceId],
        now: Instant,
    ) -> Vec<(AccountId, AccountUsage)> {
        let mut all: BTreeMap<AccountId, AccountUsage> = self.local(now).into_iter().collect();
        let peers = members.iter().filter_map(|id| self.peers.get(id));
        add_told(&mut all, peers, now);
        all.into_iter().collect()
    }

    /// Takes a peer's sums in place of what it said before.
    pub fn apply_peer_report(
        &mut self,
        peer: InstanceId,
        sums: Vec<(AccountId, AccountUsage)>,
        now: Instant,
    ) {
        self.peers.insert(peer, (now, sums));
    }

    /// Usage over the fleet.
    pub fn fleet_totals(&mut self, now: Instant) -> BTreeMap<AccountId, AccountUsage> {
        self.peers
            .retain(|_, (at, _)| now.duration_since(*at) < PEER_LIFE);
        let mut all: BTreeMap<AccountId, AccountUsage> = self.local(now).into_iter().collect();
        add_told(&mut all, self.peers.values(), now);
        all
    }
}

fn add_told<'a>(
    all: &mut BTreeMap<AccountId, AccountUsage>,
    told: impl Iterator<Item = &'a (Instant, Vec<(AccountId, AccountUsage)>)>,
    now: Instant,
) {
    for (at, list) in told {
        let age = now.saturating_duration_since(*at);
        for (account, sums) in list {
            all.entry(*account).or_default().add(sums.faded(age));
        }
    }
}

/// The most that an account gets when `capacity` is shared max-min among those that `asked`.
///
/// Infinite when everybody can have all of it.
pub fn max_min_share(asked: impl Iterator<Item = f64>, capacity: f64) -> f64 {
    let mut asked: Vec<f64> = asked.collect();
    asked.sort_by(f64::total_cmp);
    let mut left = capacity;
    for (index, amount) in asked.iter().enumerate() {
        let even = left / (asked.len() - index) as f64;
        if *amount > even {
            return even;
        }
        left -= amount;
    }
    f64::INFINITY
}
