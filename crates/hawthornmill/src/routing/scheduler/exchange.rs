//! What a scheduler tells other instances, and what it takes over from them.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use super::Scheduler;
use crate::ident::{AccountId, DomainId, Incarnation, InstanceId, ServerId, ServiceId};
use crate::routing::gossip::{InstanceReport, UnmetDemand};
use crate::routing::load_parts::{
    DemandPart, REST_OF_FLEET, Scope, WorkPart, split_demand, split_work,
};
use crate::routing::loads::Work;
use crate::routing::server_speed::SpeedReport;
use crate::routing::shape::PrefixKey;
use crate::routing::unmet_demand::{REPORT_TTL, UnmetReason};
use crate::routing::usage::{AccountUsage, ShareStatus};

/// Spilled prefixes in one report of an instance, so that it fits a datagram.
const MAX_SPILLED: usize = 24;
/// Spilled prefixes in one report of a failure domain; two datagrams.
const MAX_DOMAIN_SPILLED: usize = 128;
/// Spilled prefixes that are kept; a relay passes on those of a whole fleet.
const MAX_KEPT: usize = 1_024;
/// Time for which a relay names a spilled prefix: in two of its reports, so that one may be lost.
const RELAY_TTL: Duration = Duration::from_millis(420);

/// Prefixes recently sent to a server other than their home, the oldest first.
///
/// Each is kept once: instances repeat theirs in several reports, and the repeats of a fleet would drive out the others.
#[derive(Debug, Clone, Default)]
pub(super) struct SpilledPrefixes {
    in_order: VecDeque<(PrefixKey, ServerId, Instant)>,
    known: BTreeSet<(PrefixKey, ServerId)>,
}

impl SpilledPrefixes {
    pub(super) fn push(&mut self, prefix: PrefixKey, server: ServerId, now: Instant) {
        while self.is_full(now) {
            if let Some((prefix, server, _)) = self.in_order.pop_front() {
                self.known.remove(&(prefix, server));
            }
        }
        if self.known.insert((prefix, server)) {
            self.in_order.push_back((prefix, server, now));
        }
    }

    fn is_full(&self, now: Instant) -> bool {
        let oldest = self.in_order.front();
        self.in_order.len() >= MAX_KEPT || oldest.is_some_and(|e| is_old(e.2, REPORT_TTL, now))
    }

    /// Returns those that are not older than `ttl`, the newest first.
    fn newest(&self, ttl: Duration, now: Instant) -> impl Iterator<Item = (PrefixKey, ServerId)> {
        let recent = self.in_order.iter().rev();
        recent
            .take_while(move |(_, _, at)| !is_old(*at, ttl, now))
            .map(|(prefix, server, _)| (*prefix, *server))
    }
}

fn is_old(at: Instant, ttl: Duration, now: Instant) -> bool {
    now.duration_since(at) >= ttl
}

/// Load of the whole fleet at an instant, from which a relay works out what to tell each member of its domain.
#[derive(Debug)]
pub struct FleetLoad {
    work: BTreeMap<ServerId, Work>,
    usage: BTreeMap<AccountId, AccountUsage>,
}

impl Scheduler {
    /// Returns this instance's recent unmet demand, to report to others.
    pub fn unmet_demand(&self, now: Instant) -> Vec<(ServiceId, ShareStatus, UnmetDemand)> {
        self.unmet_tracker.report(now)
    }

    /// Returns the cost of all requests that found no capacity here since the start, in tokens.
    pub fn unmet_totals(&self) -> impl Iterator<Item = (ShareStatus, UnmetReason, u64)> {
        self.unmet_tracker.totals()
    }

    /// Returns prefixes recently sent to a server other than their home, to report to others.
    pub fn spilled_prefixes(&self, now: Instant) -> Vec<(PrefixKey, ServerId)> {
        self.spilled
            .newest(REPORT_TTL, now)
            .take(MAX_SPILLED)
            .collect()
    }

    /// Applies the report of another instance.
    pub fn apply_report(&mut self, from: InstanceId, report: &InstanceReport, now: Instant) {
        self.loads.apply_peer_report(from, report.work.clone(), now);
        self.account_usage
            .apply_peer_report(from, report.usage.clone(), now);
        self.unmet_tracker
            .apply_peer_report(from, &report.unmet, now);
        self.apply_spilled(&report.spilled, now);
    }

    fn apply_spilled(&mut self, spilled: &[(PrefixKey, ServerId)], now: Instant) {
        for (prefix, server) in spilled {
            self.prefix_index.record_remote(*server, *prefix, now);
            self.peer_spilled.push(*prefix, *server, now);
        }
    }

    /// Returns this instance's work, in parts.
    pub fn own_work(&self) -> Vec<WorkPart> {
        split_work(Scope::Instance, &self.loads.local())
    }

    /// Returns the demand that came to this instance, in parts.
    pub fn own_demand(&mut self, now: Instant) -> Vec<DemandPart> {
        let usage = self.account_usage.local(now);
        let (unmet, spilled) = (self.unmet_demand(now), self.spilled_prefixes(now));
        split_demand(Scope::Instance, &usage, &unmet, &spilled)
    }

    /// Returns the work of this instance and the other `members` of `domain`, in parts.
    pub fn domain_work(&self, domain: DomainId, members: &[InstanceId]) -> Vec<WorkPart> {
        split_work(Scope::Domain(domain), &self.loads.domain_sum(members))
    }

    /// Returns the demand that came to this instance and the other `members` of `domain`, in parts.
    pub fn domain_demand(
        &mut self,
        domain: DomainId,
        members: &[InstanceId],
        now: Instant,
    ) -> Vec<DemandPart> {
        let usage = self.account_usage.domain_sum(members, now);
        let unmet = self.unmet_tracker.domain_sum(members, now);
        let recent = self.recent_spilled(now);
        let spilled: Vec<_> = recent.take(MAX_DOMAIN_SPILLED).collect();
        split_demand(Scope::Domain(domain), &usage, &unmet, &spilled)
    }

    fn recent_spilled(&self, now: Instant) -> impl Iterator<Item = (PrefixKey, ServerId)> {
        let own = self.spilled.newest(RELAY_TTL, now);
        own.chain(self.peer_spilled.newest(RELAY_TTL, now))
    }

    /// Returns the load of the whole fleet, as far as it is known here.
    pub fn fleet_load(&mut self, now: Instant) -> FleetLoad {
        FleetLoad {
            work: self.loads.fleet_sum(),
            usage: self.account_usage.fleet_totals(now),
        }
    }

    /// Returns the work of all instances but `member`, in parts.
    pub fn work_without(&self, fleet: &FleetLoad, member: InstanceId) -> Vec<WorkPart> {
        let work = self.loads.fleet_without(&fleet.work, member);
        split_work(Scope::RestOfFleet, &work)
    }

    /// Returns the demand that came to all instances but `member`, in parts.
    pub fn demand_without(
        &self,
        fleet: &FleetLoad,
        member: InstanceId,
        now: Instant,
    ) -> Vec<DemandPart> {
        let usage = self.account_usage.without(&fleet.usage, member, now);
        let unmet = self.unmet_tracker.fleet_without(member, now);
        let spilled: Vec<_> = self.recent_spilled(now).take(MAX_KEPT).collect();
        split_demand(Scope::RestOfFleet, &usage, &unmet, &spilled)
    }

    /// Applies a part of what `sender` reports on work.
    pub fn apply_work(&mut self, sender: InstanceId, part: WorkPart, now: Instant) {
        self.loads.apply_part(sender, part, now);
    }

    /// Applies a part of what `sender` reports on demand.
    pub fn apply_demand(&mut self, sender: InstanceId, part: &DemandPart, now: Instant) {
        let origin = part.scope.origin(sender);
        if part.scope == Scope::RestOfFleet {
            self.unmet_tracker.retain(|from| from == REST_OF_FLEET);
        }
        self.account_usage.apply_part(sender, part, now);
        self.unmet_tracker
            .apply_peer_report(origin, &part.unmet, now);
        self.apply_spilled(&part.spilled, now);
    }

    /// Applies what `sender` reports on the servers' speed; `own` is the own failure domain.
    pub fn apply_speed_report(
        &mut self,
        sender: (InstanceId, Incarnation),
        own: DomainId,
        report: &SpeedReport,
        now: Instant,
    ) {
        let speeds = &mut self.loads.speeds;
        speeds.apply(sender, own, report, &self.registry, now);
    }

    /// Forgets what a relay told of the rest of the fleet, when this instance hears it from the instances themselves.
    pub fn forget_rest_of_fleet(&mut self) {
        self.loads.remove_rest_of_fleet();
        self.account_usage.remove_rest_of_fleet();
        self.unmet_tracker.retain(|from| from != REST_OF_FLEET);
    }
}
