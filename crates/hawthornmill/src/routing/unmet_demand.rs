//! Recent work that found no capacity, here and at other instances.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::gossip::UnmetDemand;
use super::usage::{DECAY_TIME, ShareStatus};
use crate::ident::{InstanceId, ServiceId};

/// Time for which demand counts as unmet after its last request found no capacity.
const DEMAND_TTL: Duration = Duration::from_millis(600);
/// Fraction of the guaranteed capacity that must be unmet to preempt others, at whichever instances it arrived.
const PREEMPTION_FRACTION: f64 = 0.06;
/// Time for which unmet demand and spilled prefixes are reported, so that they outlast lost reports.
pub const REPORT_TTL: Duration = Duration::from_millis(900);

/// Why a request was not sent when it arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum UnmetReason {
    /// No server that it may use had capacity.
    NoCapacity,
    /// A queued request ahead of it that is no larger found no capacity.
    Behind,
    /// Accounts ahead of its account have unmet demand.
    Preempted,
}

impl UnmetReason {
    /// Returns the name that metrics use.
    pub const fn name(self) -> &'static str {
        match self {
            Self::NoCapacity => "no_capacity",
            Self::Behind => "behind",
            Self::Preempted => "preempted",
        }
    }
}

/// Work that found no capacity at this instance.
#[derive(Debug, Clone, Copy)]
struct LocalDemand {
    cost: f64,
    at: Instant,
}

impl LocalDemand {
    fn demand(&self, now: Instant) -> UnmetDemand {
        let age = now.saturating_duration_since(self.at);
        let left = (-age.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp();
        UnmetDemand {
            instances: 1,
            cost: (self.cost * left) as u32,
        }
    }
}

/// Unmet demand by service and share status.
#[derive(Debug, Clone, Default)]
pub struct UnmetDemandTracker {
    local: BTreeMap<(ServiceId, ShareStatus), LocalDemand>,
    remote: BTreeMap<(ServiceId, ShareStatus, InstanceId), (Instant, UnmetDemand)>,
    /// Cost of all requests that found no capacity here.
    totals: BTreeMap<(ShareStatus, UnmetReason), f64>,
}

impl UnmetDemandTracker {
    /// Records that a request of `cost` found no capacity here.
    pub fn record(
        &mut self,
        service: ServiceId,
        status: ShareStatus,
        reason: UnmetReason,
        cost: f64,
        now: Instant,
    ) {
        *self.totals.entry((status, reason)).or_default() += cost;
        let key = (service, status);
        let before = self.local.get(&key).map_or(0, |d| d.demand(now).cost);
        let cost = f64::from(before) + cost;
        self.local.insert(key, LocalDemand { cost, at: now });
    }

    /// Returns the cost of all requests that found no capacity here since the start, in tokens.
    pub fn totals(&self) -> impl Iterator<Item = (ShareStatus, UnmetReason, u64)> {
        let totals = self.totals.iter();
        totals.map(|((status, reason), cost)| (*status, *reason, *cost as u64))
    }

    /// Returns recent unmet demand, here and elsewhere, of accounts ahead of those with `status`.
    pub fn ahead_of(&self, service: ServiceId, status: ShareStatus, now: Instant) -> UnmetDemand {
        let counts = |s: ServiceId, better: ShareStatus, at: Instant| {
            s == service && better < status && now.duration_since(at) < DEMAND_TTL
        };
        let mut all = UnmetDemand::default();
        for ((s, better), local) in &self.local {
            if counts(*s, *better, local.at) {
                all.add(local.demand(now));
            }
        }
        // Several statuses with unmet demand here still count as one instance.
        all.instances = all.instances.min(1);
        for ((s, better, _), (at, demand)) in &self.remote {
            if counts(*s, *better, *at) {
                all.add(*demand);
            }
        }
        all
    }

    /// Returns whether requests for `service` recently found no capacity, here or elsewhere.
    pub fn has_any(&self, service: ServiceId, now: Instant) -> bool {
        let is_recent = |at: Instant| now.duration_since(at) < DEMAND_TTL;
        let mut local = self.local.iter();
        let mut remote = self.remote.iter();
        local.any(|((s, _), demand)| *s == service && is_recent(demand.at))
            || remote.any(|((s, _, _), (at, d))| *s == service && d.cost > 0 && is_recent(*at))
    }

    /// Returns this instance's unmet demand, to report to others.
    pub fn report(&self, now: Instant) -> Vec<(ServiceId, ShareStatus, UnmetDemand)> {
        let recent = |d: &LocalDemand| now.duration_since(d.at) < REPORT_TTL;
        let local = self.local.iter();
        let reported = local.filter(|((_, s), d)| *s < ShareStatus::AboveFairShare && recent(d));
        reported
            .map(|((service, status), d)| (*service, *status, d.demand(now)))
            .collect()
    }

    /// Returns the total unmet demand of this instance and the `members` of its failure domain.
    pub fn domain_sum(
        &self,
        members: &[InstanceId],
        now: Instant,
    ) -> Vec<(ServiceId, ShareStatus, UnmetDemand)> {
        self.sum_from(|from| members.contains(&from), now)
    }

    fn sum_from(
        &self,
        counts: impl Fn(InstanceId) -> bool,
        now: Instant,
    ) -> Vec<(ServiceId, ShareStatus, UnmetDemand)> {
        let mut all: BTreeMap<(ServiceId, ShareStatus), UnmetDemand> = BTreeMap::new();
        for (service, status, demand) in self.report(now) {
            all.entry((service, status)).or_default().add(demand);
        }
        for ((service, status, from), (at, demand)) in &self.remote {
            if counts(*from) && now.duration_since(*at) < DEMAND_TTL {
                all.entry((*service, *status)).or_default().add(*demand);
            }
        }
        all.into_iter().map(|((s, st), l)| (s, st, l)).collect()
    }

    /// Returns the unmet demand of the whole fleet without what `member` reported.
    pub fn fleet_without(
        &self,
        member: InstanceId,
        now: Instant,
    ) -> Vec<(ServiceId, ShareStatus, UnmetDemand)> {
        self.sum_from(|from| from != member, now)
    }

    /// Forgets the reports for whose origin `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(InstanceId) -> bool) {
        self.remote.retain(|(_, _, from), _| keep(*from));
    }

    /// Applies the report of `from`, an instance or a failure domain.
    pub fn apply_peer_report(
        &mut self,
        from: InstanceId,
        reported: &[(ServiceId, ShareStatus, UnmetDemand)],
        now: Instant,
    ) {
        for (service, status, demand) in reported {
            self.remote
                .insert((*service, *status, from), (now, *demand));
        }
    }
}

/// Returns whether unmet `demand` preempts other accounts, where engines yield `rate` tokens per second.
///
/// Single requests find no capacity at any time, in a large fleet at several instances at once, so a small amount of
/// work must not preempt others.
pub fn preempts_others(demand: UnmetDemand, rate: f64) -> bool {
    demand.cost > 0
        && f64::from(demand.cost) >= PREEMPTION_FRACTION * rate * DECAY_TIME.as_secs_f64()
}
