//! Counters of normalised service, own and fleet-wide.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::ident::{AccountId, Incarnation, InstanceId, ServiceId};
use crate::wire::message::{Counters, Standing};

/// Weight of the newest call in an account's average cost.
const AVERAGE_COST_WEIGHT: f64 = 0.1;

/// What one counter counts: services have units of their own and are never added up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CostKey {
    /// Service that ran the calls.
    pub service: ServiceId,
    /// Account that made them.
    pub account: AccountId,
}

#[derive(Debug, Clone, Default)]
struct RemoteCounters {
    incarnation: Incarnation,
    counters: BTreeMap<CostKey, f64>,
}

/// Normalised service of every account, as this instance knows it.
///
/// A total is the sum of this instance's own counter, the latest counter of every other owner, and
/// what earlier runs of owners counted. A lost, repeated or late message therefore costs accuracy
/// for one interval only.
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
    /// A ledger that counts what this instance grants and nothing else.
    pub fn local_only() -> Self {
        Self {
            local_only: true,
            synced: true,
            ..Self::default()
        }
    }

    /// Charges `amount` of normalised service that this instance granted; negative to correct.
    pub fn charge(&mut self, key: CostKey, amount: f64) {
        *self.local.entry(key).or_default() += amount;
        *self.total.entry(key).or_default() += amount;
        self.changed.insert(key);
    }

    /// The account's service over the whole fleet, in cost units per share.
    pub fn total(&self, key: CostKey) -> f64 {
        self.total.get(&key).copied().unwrap_or_default()
    }

    /// What this instance has charged since its start.
    pub fn local(&self, key: CostKey) -> f64 {
        self.local.get(&key).copied().unwrap_or_default()
    }

    /// Takes a counter of another owner; counters are cumulative over an incarnation.
    pub fn merge(&mut self, from: InstanceId, incarnation: Incarnation, key: CostKey, value: f64) {
        if self.local_only {
            return;
        }
        let remote = self.remote.entry(from).or_default();
        if remote.incarnation > incarnation {
            return;
        }
        if remote.incarnation < incarnation {
            // A new run counts from zero; what the earlier one granted stays granted.
            for (key, value) in std::mem::take(&mut remote.counters) {
                *self.retired.entry(key).or_default() += value;
            }
            remote.incarnation = incarnation;
        }
        let before = remote.counters.insert(key, value).unwrap_or_default();
        *self.total.entry(key).or_default() += value - before;
    }

    /// Tells whether this ledger holds the fleet's past, or nobody was there to tell it.
    pub fn is_synced(&self) -> bool {
        self.synced
    }

    /// Stops asking for the fleet's past.
    pub fn mark_synced(&mut self) {
        self.synced = true;
    }

    /// Everything that this instance knows, for one that starts.
    pub fn snapshot(&self, me: InstanceId, incarnation: Incarnation) -> Standing {
        let list = |map: &BTreeMap<CostKey, f64>| map.iter().map(|(k, v)| (*k, *v)).collect();
        let others = self.remote.iter().map(|(id, remote)| Counters {
            origin: *id,
            incarnation: remote.incarnation,
            values: list(&remote.counters),
        });
        let local = Counters {
            origin: me,
            incarnation,
            values: list(&self.local),
        };
        Standing {
            retired: list(&self.retired),
            counters: others.chain([local]).collect(),
        }
    }

    /// Takes what a peer knows, once; `me` and `incarnation` are this instance's.
    ///
    /// Totals alone would not do: a counter that is heard for the first time afterwards would be
    /// added to a total that has it already. With each owner's counter the sum stays exact.
    pub fn apply_snapshot(
        &mut self,
        me: InstanceId,
        incarnation: Incarnation,
        standing: &Standing,
    ) {
        if self.synced {
            return;
        }
        self.synced = true;
        for (key, value) in &standing.retired {
            *self.retired.entry(*key).or_default() += value;
        }
        for counters in &standing.counters {
            self.apply_counters(me, incarnation, counters);
        }
        self.recompute_total();
    }

    fn apply_counters(&mut self, me: InstanceId, incarnation: Incarnation, told: &Counters) {
        let known = if told.origin == me {
            incarnation
        } else {
            self.remote.entry(told.origin).or_default().incarnation
        };
        if told.incarnation < known {
            for (key, value) in &told.values {
                *self.retired.entry(*key).or_default() += value;
            }
            return;
        }
        if told.origin == me {
            return;
        }
        let remote = self.remote.entry(told.origin).or_default();
        if told.incarnation > known {
            // The teller has what the earlier run counted among its retired counters.
            remote.counters.clear();
            remote.incarnation = told.incarnation;
        }
        for (key, value) in &told.values {
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

    /// Own counters that changed since the last call.
    pub fn take_changed(&mut self) -> Vec<(CostKey, f64)> {
        std::mem::take(&mut self.changed)
            .into_iter()
            .map(|key| (key, self.local(key)))
            .collect()
    }

    /// Own counters, all of them.
    pub fn local_counters(&self) -> Vec<(CostKey, f64)> {
        self.local.iter().map(|(k, v)| (*k, *v)).collect()
    }

    /// The cost to assume of the account's next call, before shares.
    pub fn estimated_cost(&self, key: CostKey, default: f64) -> f64 {
        self.average_cost.get(&key).copied().unwrap_or(default)
    }

    /// Notes the cost of a finished call.
    pub fn record_cost(&mut self, key: CostKey, cost: f64) {
        let average = self.average_cost.entry(key).or_insert(cost);
        *average += AVERAGE_COST_WEIGHT * (cost - *average);
    }
}
