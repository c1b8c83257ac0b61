//! Counters of normalised service, local and fleet-wide.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::ident::{AccountId, Incarnation, InstanceId, ServiceId};
use crate::wire::message::{LedgerSnapshot, OwnerCounters};

/// Weight of the newest call in the moving average of an account's cost.
const AVERAGE_COST_WEIGHT: f64 = 0.1;

/// Key of a counter; each service has its own unit of cost, so services are never summed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CostKey {
    /// The service called.
    pub service: ServiceId,
    /// The account charged.
    pub account: AccountId,
}

#[derive(Debug, Clone, Default)]
struct RemoteCounters {
    incarnation: Incarnation,
    counters: BTreeMap<CostKey, f64>,
}

/// Normalised service of every account, as known to this instance.
///
/// A total is the sum of this instance's local counter, the latest counter of every other owner, and
/// the counters of earlier process runs. Counters are cumulative, so a lost, repeated or late
/// message costs accuracy for one report interval only.
#[derive(Debug, Clone, Default)]
pub struct Ledger {
    local_only: bool,
    synced: bool,
    local: BTreeMap<CostKey, f64>,
    total: BTreeMap<CostKey, f64>,
    retired: BTreeMap<CostKey, f64>,
    remote: BTreeMap<InstanceId, RemoteCounters>,
    average_cost: BTreeMap<CostKey, f64>,
    changed: BTreeSet<CostKey>,
}

impl Ledger {
    /// Creates a ledger that ignores the counters of other instances.
    pub fn local_only() -> Self {
        Self {
            local_only: true,
            synced: true,
            ..Self::default()
        }
    }

    /// Charges `amount` of normalised service granted by this instance; negative to correct.
    pub fn charge(&mut self, key: CostKey, amount: f64) {
        *self.local.entry(key).or_default() += amount;
        *self.total.entry(key).or_default() += amount;
        self.changed.insert(key);
    }

    /// Service received over the whole fleet, in cost units per share.
    pub fn total(&self, key: CostKey) -> f64 {
        self.total.get(&key).copied().unwrap_or_default()
    }

    /// Service charged by this instance since its start.
    pub fn local(&self, key: CostKey) -> f64 {
        self.local.get(&key).copied().unwrap_or_default()
    }

    /// Merges a counter of another owner; counters are cumulative over an incarnation.
    pub fn merge(&mut self, from: InstanceId, incarnation: Incarnation, key: CostKey, value: f64) {
        if self.local_only {
            return;
        }
        let remote = self.remote.entry(from).or_default();
        if remote.incarnation > incarnation {
            return;
        }
        if remote.incarnation < incarnation {
            // A new run counts from zero, so the counters of the earlier run are kept separately.
            for (key, value) in std::mem::take(&mut remote.counters) {
                *self.retired.entry(key).or_default() += value;
            }
            remote.incarnation = incarnation;
        }
        let before = remote.counters.insert(key, value).unwrap_or_default();
        *self.total.entry(key).or_default() += value - before;
    }

    /// Returns true if this ledger has the fleet's counters, or no peer could provide them.
    pub fn is_synced(&self) -> bool {
        self.synced
    }

    /// Marks the ledger as synced, so that no peer is asked for counters any more.
    pub fn mark_synced(&mut self) {
        self.synced = true;
    }

    /// All counters known to this instance, for a starting peer.
    pub fn snapshot(&self, me: InstanceId, incarnation: Incarnation) -> LedgerSnapshot {
        let list = |map: &BTreeMap<CostKey, f64>| map.iter().map(|(k, v)| (*k, *v)).collect();
        let others = self.remote.iter().map(|(id, remote)| OwnerCounters {
            origin: *id,
            incarnation: remote.incarnation,
            values: list(&remote.counters),
        });
        let local = OwnerCounters {
            origin: me,
            incarnation,
            values: list(&self.local),
        };
        LedgerSnapshot {
            retired: list(&self.retired),
            counters: others.chain([local]).collect(),
        }
    }

    /// Applies the snapshot of a peer, once; `me` and `incarnation` are this instance's.
    ///
    /// The snapshot has the counter of each owner because totals would not be enough: a counter that
    /// arrives for the first time afterwards would be added to a total that already includes it.
    pub fn apply_snapshot(
        &mut self,
        me: InstanceId,
        incarnation: Incarnation,
        snapshot: &LedgerSnapshot,
    ) {
        if self.synced {
            return;
        }
        self.synced = true;
        for (key, value) in &snapshot.retired {
            *self.retired.entry(*key).or_default() += value;
        }
        for counters in &snapshot.counters {
            self.apply_counters(me, incarnation, counters);
        }
        self.recompute_total();
    }

    fn apply_counters(
        &mut self,
        me: InstanceId,
        incarnation: Incarnation,
        counters: &OwnerCounters,
    ) {
        let known = if counters.origin == me {
            incarnation
        } else {
            self.remote.entry(counters.origin).or_default().incarnation
        };
        if counters.incarnation < known {
            for (key, value) in &counters.values {
                *self.retired.entry(*key).or_default() += value;
            }
            return;
        }
        if counters.origin == me {
            return;
        }
        let remote = self.remote.entry(counters.origin).or_default();
        if counters.incarnation > known {
            // The sender of the snapshot has the earlier run in its retired counters.
            remote.counters.clear();
            remote.incarnation = counters.incarnation;
        }
        for (key, value) in &counters.values {
            remote.counters.entry(*key).or_insert(*value);
        }
    }

    fn recompute_total(&mut self) {
        self.total = self.retired.clone();
        let remote = self.remote.values().flat_map(|h| &h.counters);
        for (key, value) in remote.chain(&self.local) {
            *self.total.entry(*key).or_default() += value;
        }
    }

    /// Local counters that changed since the last call.
    pub fn take_changed(&mut self) -> Vec<(CostKey, f64)> {
        std::mem::take(&mut self.changed)
            .into_iter()
            .map(|key| (key, self.local(key)))
            .collect()
    }

    /// All local counters.
    pub fn local_counters(&self) -> Vec<(CostKey, f64)> {
        self.local.iter().map(|(k, v)| (*k, *v)).collect()
    }

    /// Expected cost of the account's next call, before division by its share.
    pub fn estimated_cost(&self, key: CostKey, default: f64) -> f64 {
        self.average_cost.get(&key).copied().unwrap_or(default)
    }

    /// Records the cost of a finished call.
    pub fn record_cost(&mut self, key: CostKey, cost: f64) {
        let average = self.average_cost.entry(key).or_insert(cost);
        *average += AVERAGE_COST_WEIGHT * (cost - *average);
    }
}
