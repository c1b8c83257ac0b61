//! Counters of normalised service, own and fleet-wide.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::ident::{AccountId, Incarnation, InstanceId, ServiceId};

/// Weight of the newest call in an account's average cost.
const AVERAGE_WEIGHT: f64 = 0.1;

/// What one counter counts: services have units of their own and are never added up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CostKey {
    /// Service that ran the calls.
    pub service: ServiceId,
    /// Account that made them.
    pub account: AccountId,
}

#[derive(Debug, Clone, Default)]
struct Heard {
    incarnation: Incarnation,
    counters: BTreeMap<CostKey, f64>,
}

/// Normalised service of every account, as this instance knows it.
#[derive(Debug, Clone, Default)]
pub struct Ledger {
    own: BTreeMap<CostKey, f64>,
    total: BTreeMap<CostKey, f64>,
    heard: BTreeMap<InstanceId, Heard>,
    average: BTreeMap<CostKey, f64>,
    changed: BTreeSet<CostKey>,
}

impl Ledger {
    /// Charges `amount` of normalised service that this instance granted; negative to correct.
    pub fn charge(&mut self, key: CostKey, amount: f64) {
        *self.own.entry(key).or_default() += amount;
        *self.total.entry(key).or_default() += amount;
        self.changed.insert(key);
    }

    /// The account's service over the whole fleet, in cost units per share.
    pub fn total(&self, key: CostKey) -> f64 {
        self.total.get(&key).copied().unwrap_or_default()
    }

    /// What this instance has charged since its start.
    pub fn own(&self, key: CostKey) -> f64 {
        self.own.get(&key).copied().unwrap_or_default()
    }

    /// Merges a counter of another owner.
    ///
    /// Counters are cumulative over an incarnation, so a lost or repeated message does no harm.
    /// The first value heard of an incarnation is only a base: what was served before this
    /// instance listened is part of the standing that it started from.
    pub fn merge(&mut self, from: InstanceId, incarnation: Incarnation, key: CostKey, value: f64) {
        let heard = self.heard.entry(from).or_default();
        if heard.incarnation > incarnation {
            return;
        }
        if heard.incarnation < incarnation {
            let first = heard.incarnation == Incarnation::default();
            *heard = Heard {
                incarnation,
                counters: BTreeMap::new(),
            };
            // A known owner that restarted counts from zero, so its first value is no base.
            if !first {
                *self.total.entry(key).or_default() += value;
            }
            heard.counters.insert(key, value);
            return;
        }
        let base = heard.counters.insert(key, value);
        *self.total.entry(key).or_default() += value - base.unwrap_or_default();
    }

    /// Takes a standing from a peer: totals by key, used once by an instance that starts.
    pub fn adopt(&mut self, standing: &[(CostKey, f64)]) {
        for (key, value) in standing {
            let own = self.own(*key);
            self.total.insert(*key, value + own);
        }
    }

    /// Every total, for a peer that starts.
    pub fn standing(&self) -> Vec<(CostKey, f64)> {
        self.total.iter().map(|(k, v)| (*k, *v)).collect()
    }

    /// Own counters that changed since the last call.
    pub fn take_changed(&mut self) -> Vec<(CostKey, f64)> {
        std::mem::take(&mut self.changed)
            .into_iter()
            .map(|key| (key, self.own(key)))
            .collect()
    }

    /// Own counters, all of them.
    pub fn own_all(&self) -> Vec<(CostKey, f64)> {
        self.own.iter().map(|(k, v)| (*k, *v)).collect()
    }

    /// The cost to assume of the account's next call, before shares.
    pub fn estimate(&self, key: CostKey, default: f64) -> f64 {
        self.average.get(&key).copied().unwrap_or(default)
    }

    /// Notes the cost of a finished call.
    pub fn observe(&mut self, key: CostKey, cost: f64) {
        let average = self.average.entry(key).or_insert(cost);
        *average += AVERAGE_WEIGHT * (cost - *average);
    }
}
