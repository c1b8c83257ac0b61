//! Dissemination of reports, in which instances publish their state, along a tree of relays.
//!
//! An instance sends its report to the relay of its failure domain; domain relays exchange reports
//! with the relay of their region, and region relays with each other. Each hop forwards what is newer
//! than what it last sent to that neighbour. Counters are cumulative and states complete, so a lost
//! datagram costs one interval, and everything is sent again every [`REFRESH_ROUNDS`] rounds.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use super::placement::{contact_candidate, domain_relay, region_relay};
use super::{LivenessUpdate, Members};
use crate::fairness::{CostKey, Ledger};
use crate::ident::{DomainId, Incarnation, InstanceId, PoolId, RegionId};
use crate::wire::message::{Message, PoolState, Report};

/// Rounds after which everything is sent to all neighbours again.
pub const REFRESH_ROUNDS: u32 = 16;
/// Counters in one report, so that it fits into a datagram.
const MAX_COSTS_PER_REPORT: usize = 32;
/// Rounds after which an instance reports even if nothing changed.
pub const KEEPALIVE_ROUNDS: u32 = 4;
/// Bytes of reports in one datagram, leaving room for the header of the frame.
const MAX_BATCH_BYTES: usize = 1200;

#[derive(Debug, Clone, Default)]
struct Origin {
    incarnation: Incarnation,
    version: u32,
    /// Last version that changed anything; later ones are keepalives.
    changed_version: u32,
    leaving: bool,
    revision: u64,
    steady: u8,
    pools: Vec<PoolState>,
    costs: BTreeMap<CostKey, (f64, u32)>,
    from: Option<InstanceId>,
}

/// Latest report of every instance, and the versions last sent to each neighbour.
#[derive(Debug, Clone, Default)]
pub struct Reports {
    origins: BTreeMap<InstanceId, Origin>,
    sent: BTreeMap<InstanceId, BTreeMap<InstanceId, (Incarnation, u32)>>,
    round: u32,
    last_written: u32,
}

impl Reports {
    /// Updates this instance's own report if anything changed or a keepalive is due.
    pub fn write_own(
        &mut self,
        members: &Members,
        revision: u64,
        pools: Vec<PoolState>,
        costs: Vec<(CostKey, f64)>,
        now: Instant,
    ) {
        let own = members.own();
        let origin = self.origins.entry(members.me).or_default();
        let same = origin.leaving == own.leaving_sources.announced
            && origin.revision == revision
            && origin.pools == pools
            && costs.is_empty();
        let recent = self.round.wrapping_sub(self.last_written) < KEEPALIVE_ROUNDS;
        if same && recent && origin.version > 0 {
            return;
        }
        self.last_written = self.round;
        origin.steady = members.stable_tenths(now);
        origin.incarnation = own.incarnation;
        origin.version += 1;
        if !same {
            origin.changed_version = origin.version;
        }
        origin.leaving = own.leaving_sources.announced;
        origin.revision = revision;
        origin.pools = pools;
        for (key, value) in costs {
            origin.costs.insert(key, (value, origin.version));
        }
    }

    /// Applies a report that `from` sent; returns false if it is not newer than the known one.
    pub fn receive(
        &mut self,
        from: InstanceId,
        report: Report,
        members: &mut Members,
        ledger: &mut Ledger,
        now: Instant,
        interval: std::time::Duration,
    ) -> bool {
        if report.origin == members.me {
            return false;
        }
        let origin = self.origins.entry(report.origin).or_default();
        let newer = (report.incarnation, report.version) > (origin.incarnation, origin.version);
        let same = (report.incarnation, report.version) == (origin.incarnation, origin.version);
        if !newer && !same {
            return false;
        }
        if report.incarnation != origin.incarnation {
            origin.costs.clear();
        }
        for (key, value) in &report.costs {
            ledger.merge(report.origin, report.incarnation, *key, *value);
            origin.costs.insert(*key, (*value, report.version));
        }
        let changed = !report.costs.is_empty()
            || report.incarnation != origin.incarnation
            || (report.leaving, report.revision) != (origin.leaving, origin.revision)
            || report.pools != origin.pools;
        if changed {
            origin.changed_version = report.version;
        }
        if !newer {
            return false;
        }
        origin.incarnation = report.incarnation;
        origin.version = report.version;
        origin.leaving = report.leaving;
        origin.revision = report.revision;
        origin.steady = report.steady_tenths;
        origin.pools = report.pools;
        origin.from = Some(from);
        members.record_liveness(
            LivenessUpdate {
                from: report.origin,
                incarnation: report.incarnation,
                leaving: report.leaving,
                revision: report.revision,
                interval: interval * KEEPALIVE_ROUNDS,
                stable_tenths: report.steady_tenths,
                direct: false,
            },
            now,
        );
        true
    }

    /// Removes the report of an instance that was removed from the members.
    pub fn forget(&mut self, id: InstanceId) {
        self.origins.remove(&id);
        self.sent.remove(&id);
    }

    /// The last state of `pool` that `owner` reported.
    pub fn pool_state(&self, pool: PoolId, owner: InstanceId) -> Option<PoolState> {
        self.origins
            .get(&owner)?
            .pools
            .iter()
            .find(|p| p.pool == pool)
            .copied()
    }

    /// Forgets the versions sent to `neighbour`, which was away and may have lost them.
    pub fn forget_sent(&mut self, neighbour: InstanceId) {
        self.sent.remove(&neighbour);
    }

    /// Highest configuration revision in any report.
    pub fn highest_revision(&self) -> u64 {
        self.origins.values().map(|o| o.revision).max().unwrap_or(0)
    }

    /// Starts the next round and returns its messages to this instance's neighbours in the tree.
    pub fn next_round(&mut self, members: &Members) -> Vec<(InstanceId, Message)> {
        self.round = self.round.wrapping_add(1);
        if self.round.is_multiple_of(REFRESH_ROUNDS) {
            self.sent.clear();
        }
        let mut messages = Vec::new();
        for target in neighbours(members, self.round) {
            let reports = self.updates_for(target, members);
            let batches = batch(reports);
            messages.extend(batches.into_iter().map(|b| (target, Message::Reports(b))));
        }
        messages
    }

    fn updates_for(&mut self, target: InstanceId, members: &Members) -> Vec<Report> {
        let sent = self.sent.entry(target).or_default();
        let mut reports = Vec::new();
        for (id, origin) in &self.origins {
            let dead = *id != members.me && !members.map.get(id).is_some_and(|m| m.live);
            if *id == target || origin.from == Some(target) || dead {
                continue;
            }
            let (incarnation, mut version) = sent.get(id).copied().unwrap_or_default();
            if incarnation != origin.incarnation {
                version = 0;
            }
            // Keepalives are batched in one round; a datagram for each would be mostly header.
            let due = if self.round.is_multiple_of(KEEPALIVE_ROUNDS) {
                origin.version
            } else {
                origin.changed_version
            };
            if due <= version {
                continue;
            }
            sent.insert(*id, (origin.incarnation, origin.version));
            reports.extend(split_costs(*id, origin, version));
        }
        reports
    }
}

/// Batches reports into as few datagrams as possible, to save frame headers.
fn batch(reports: Vec<Report>) -> Vec<Vec<Report>> {
    let mut batches: Vec<Vec<Report>> = Vec::new();
    let mut room = 0;
    for report in reports {
        let size = postcard::to_allocvec(&report).map_or(MAX_BATCH_BYTES, |bytes| bytes.len());
        if let Some(last) = batches.last_mut().filter(|_| size <= room) {
            room -= size;
            last.push(report);
        } else {
            room = MAX_BATCH_BYTES.saturating_sub(size);
            batches.push(vec![report]);
        }
    }
    batches
}

fn split_costs(id: InstanceId, origin: &Origin, after: u32) -> Vec<Report> {
    let costs: Vec<(CostKey, f64)> = origin
        .costs
        .iter()
        .filter(|(_, (_, version))| *version > after)
        .map(|(key, (value, _))| (*key, *value))
        .collect();
    let mut chunks: Vec<Vec<(CostKey, f64)>> = costs
        .chunks(MAX_COSTS_PER_REPORT)
        .map(<[_]>::to_vec)
        .collect();
    if chunks.is_empty() {
        chunks.push(Vec::new());
    }
    chunks
        .into_iter()
        .map(|costs| Report {
            origin: id,
            incarnation: origin.incarnation,
            version: origin.version,
            leaving: origin.leaving,
            revision: origin.revision,
            steady_tenths: origin.steady,
            pools: origin.pools.clone(),
            costs,
        })
        .collect()
}

/// The instances to which this one sends reports in `round`: its neighbours in the relay tree.
pub fn neighbours(members: &Members, round: u32) -> BTreeSet<InstanceId> {
    let own = members.own();
    let mut set = BTreeSet::new();
    let relay = domain_relay(members, own.domain);
    set.extend(relay);
    if relay == Some(members.me) {
        set.extend(
            members
                .live()
                .filter(|(_, m)| m.domain == own.domain)
                .map(|(id, _)| id),
        );
        set.extend(region_relay(members, own.region));
    }
    if region_relay(members, own.region) == Some(members.me) {
        set.extend(region_neighbours(members, round));
    }
    set.remove(&members.me);
    set
}

/// Neighbours of a region's relay: domain relays of its region and relays of the other regions.
fn region_neighbours(members: &Members, round: u32) -> BTreeSet<InstanceId> {
    let home = members.own().region;
    let domains: BTreeSet<(RegionId, DomainId)> =
        members.map.values().map(|m| (m.region, m.domain)).collect();
    let mut set = BTreeSet::new();
    for (region, domain) in domains {
        let known = if region == home {
            domain_relay(members, domain)
        } else {
            region_relay(members, region)
        };
        set.extend(known.or_else(|| contact_candidate(members, domain, round)));
    }
    set
}
