//! Work in flight that other instances report, by server.

use std::collections::{BTreeMap, btree_map};
use std::time::{Duration, Instant};

use super::load_parts::{PartKey, REST_OF_FLEET};
use super::loads::Work;
use crate::ident::{InstanceId, ServerId};

/// Lifetime of a report. A distant peer in a large fleet reports every 0.8 s, and two of its reports may be lost.
const REPORT_TTL: Duration = Duration::from_millis(2_500);

/// Reports of other instances, failure domains or the rest of the fleet, and their sums.
#[derive(Debug, Clone, Default)]
pub struct RemoteWork {
    parts: BTreeMap<PartKey, (Instant, Vec<(ServerId, Work)>)>,
    sums: BTreeMap<ServerId, Work>,
    /// Prefill cost that each reporter ever sent to a server, in tokens; wraps around.
    totals: BTreeMap<ServerId, BTreeMap<InstanceId, u32>>,
}

impl RemoteWork {
    /// Returns the work in flight at `server`.
    pub fn at(&self, server: ServerId) -> Work {
        self.sums.get(&server).copied().unwrap_or_default()
    }

    /// Returns the work in flight at all servers, in the order of their identifiers.
    pub fn sums(&self) -> btree_map::Iter<'_, ServerId, Work> {
        self.sums.iter()
    }

    /// Replaces the part `key` of an earlier report; returns the prefill cost by server that has begun since then.
    ///
    /// `reporter` identifies the counters that the report continues.
    pub fn replace(
        &mut self,
        key: PartKey,
        reporter: InstanceId,
        work: Vec<(ServerId, Work)>,
        now: Instant,
    ) -> Vec<(ServerId, u32)> {
        let begun = work
            .iter()
            .map(|(server, work)| (*server, self.observe_total(*server, reporter, *work)))
            .collect();
        for (server, work) in &work {
            self.sums.entry(*server).or_default().add(*work);
        }
        // Only the servers of this report are updated: reports arrive many times a second and name few servers.
        let before = self.parts.insert(key, (now, work));
        self.subtract(before);
        begun
    }

    /// Removes the parts of `origin` from `number` on, which are left from a time when its report had more of them.
    pub fn remove_from(&mut self, origin: InstanceId, number: u8) {
        let surplus = self.parts.range(PartKey::from_number(origin, number));
        let surplus: Vec<PartKey> = surplus.map(|(key, _)| *key).collect();
        for key in surplus {
            let before = self.parts.remove(&key);
            self.subtract(before);
        }
    }

    /// Removes all but what a relay reported of the rest of the fleet.
    pub fn retain_rest_of_fleet(&mut self) {
        if self.parts.keys().all(|key| key.origin == REST_OF_FLEET) {
            return;
        }
        self.parts.retain(|key, _| key.origin == REST_OF_FLEET);
        self.sum_all();
    }

    fn subtract(&mut self, part: Option<(Instant, Vec<(ServerId, Work)>)>) {
        for (server, work) in part.into_iter().flat_map(|(_, list)| list) {
            if let Some(sum) = self.sums.get_mut(&server) {
                sum.subtract(work);
            }
        }
    }

    /// Returns the prefill cost that `reporter` has sent to `server` since its last report.
    fn observe_total(&mut self, server: ServerId, reporter: InstanceId, work: Work) -> u32 {
        let totals = self.totals.entry(server).or_default();
        let before = totals.insert(reporter, work.total_prefill);
        // The total falls when a peer restarts or when a domain's sum misses a member; that adds nothing.
        let growth = work
            .total_prefill
            .wrapping_sub(before.unwrap_or(0))
            .cast_signed();
        growth.max(0).cast_unsigned().min(work.pending_prefill)
    }

    /// Returns the sum of the reports of `members`.
    pub fn sum_of(&self, members: &[InstanceId]) -> BTreeMap<ServerId, Work> {
        let mut all: BTreeMap<ServerId, Work> = BTreeMap::new();
        for member in members {
            for (server, work) in self.parts_of(*member) {
                all.entry(*server).or_default().add(*work);
            }
        }
        let counts = |id: &InstanceId| members.contains(id);
        for (server, work) in &mut all {
            // Reports leave out idle servers. A sum of the totals that they do name would fall and rise again, and each
            // rise would count as new work.
            work.total_prefill = self.total_at(*server, counts);
        }
        all
    }

    /// Returns the sum of all reports.
    pub fn sum(&self) -> BTreeMap<ServerId, Work> {
        let busy = self.sums.iter().filter(|(_, w)| w.running > 0);
        let with_total = |(server, work): (&ServerId, &Work)| {
            let total_prefill = self.total_at(*server, |_| true);
            (
                *server,
                Work {
                    total_prefill,
                    ..*work
                },
            )
        };
        busy.map(with_total).collect()
    }

    fn parts_of(&self, origin: InstanceId) -> impl Iterator<Item = &(ServerId, Work)> {
        let parts = self.parts.range(PartKey::from_number(origin, 0));
        parts.flat_map(|(_, (_, list))| list)
    }

    fn total_at(&self, server: ServerId, counts: impl Fn(&InstanceId) -> bool) -> u32 {
        let totals = self.totals.get(&server).into_iter().flatten();
        totals
            .filter(|(id, _)| counts(id))
            .fold(0, |sum, (_, total)| sum.wrapping_add(*total))
    }

    /// Drops expired reports, and totals of servers for which `keep` returns false.
    pub fn sweep(&mut self, keep: impl Fn(ServerId) -> bool, now: Instant) {
        self.parts
            .retain(|_, (at, _)| now.duration_since(*at) < REPORT_TTL);
        self.sum_all();
        self.totals.retain(|server, _| keep(*server));
    }

    fn sum_all(&mut self) {
        self.sums.clear();
        for (server, work) in self.parts.values().flat_map(|(_, list)| list) {
            self.sums.entry(*server).or_default().add(*work);
        }
    }
}
