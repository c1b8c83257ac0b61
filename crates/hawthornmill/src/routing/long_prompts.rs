//! Keeps the longest prompts of each kind from being served far more seldom than others of the kind.
//!
//! Load pattern: accounts request more than their share, and the prompts of one kind differ in length by a hundred times.
//! The part of the objective that such an account may use also covers a prompt's own prefill. So the longest prompts fit on
//! no server, not even on an idle one, while short prompts of the same accounts are served.
//!
//! A prompt is long if it is among the costliest tenth of its route. Each long one that arrives adds to a debt: the fraction
//! of the route's requests that were placed here lately, times the ratio that operators set. Each one that is placed takes
//! one off. While there is a debt, the part of the objective bounds the wait of a long prompt for other work, and not its own
//! prefill as well. Instances keep separate accounts, so nothing is exchanged, and a restart begins at zero.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::catalog::Engine;
use crate::ident::RouteId;

/// Time constant over which the fraction of placed requests is averaged.
const AVERAGING_TIME: Duration = Duration::from_secs(4);
/// Bounds of the debt, in prompts: what is missed in an outage isn't made up for later.
const DEBT_BOUNDS: (f64, f64) = (-2.0, 3.0);
/// Fraction of a route's requests that are not long.
const USUAL_FRACTION: f64 = 0.9;
/// Relative step by which the bound of long prompts follows one request, and its first value.
const STEPS: (f64, f64) = (0.03, 0.4);
/// Routes that are kept; the one that was idle longest goes first.
const MAX_ROUTES: usize = 1_024;

/// Requests of one route.
#[derive(Debug, Clone, Copy)]
struct Counts {
    /// Requests that arrived, after decay.
    arrived: f64,
    /// Requests that were placed, after decay.
    placed: f64,
    updated: Instant,
    /// Cost from which a prompt is long, in tokens.
    bound: f64,
    step: f64,
    /// Long prompts that should have been placed and were not.
    debt: f64,
}

impl Counts {
    const fn new(cost: f64, now: Instant) -> Self {
        Self {
            arrived: 0.0,
            placed: 0.0,
            updated: now,
            bound: cost,
            step: STEPS.1,
            debt: 0.0,
        }
    }

    fn decay(&mut self, now: Instant) {
        let age = now.saturating_duration_since(self.updated);
        let left = (-age.as_secs_f64() / AVERAGING_TIME.as_secs_f64()).exp();
        self.arrived *= left;
        self.placed *= left;
        self.updated = now;
    }

    /// Moves the bound towards the cost that a tenth of the requests exceed.
    fn learn_bound(&mut self, cost: f64) {
        let change = if cost > self.bound {
            USUAL_FRACTION
        } else {
            USUAL_FRACTION - 1.0
        };
        self.bound *= 1.0 + self.step * change;
        self.step = (self.step * 0.97).max(STEPS.0);
    }

    fn placed_fraction(&self) -> f64 {
        (self.placed / self.arrived.max(1.0)).min(1.0)
    }

    fn add_debt(&mut self, prompts: f64) {
        let (least, most) = DEBT_BOUNDS;
        self.debt = (self.debt + prompts).clamp(least, most);
    }
}

/// How many long prompts this instance owes, by route.
///
/// An engine with many slots has room for a long prompt beside what it runs, so that the aim would only delay others.
#[derive(Debug, Clone)]
pub struct LongPrompts {
    /// Fraction of what others get that long prompts get at least; 0 for no such aim.
    pub ratio: f64,
    /// Most slots of an engine for whose service there is such an aim.
    pub max_slots: u32,
    counts: BTreeMap<RouteId, Counts>,
}

impl Default for LongPrompts {
    fn default() -> Self {
        Self {
            ratio: 0.0,
            max_slots: u32::MAX,
            counts: BTreeMap::new(),
        }
    }
}

impl LongPrompts {
    /// Returns whether there is an aim for the services of `engine`.
    pub fn applies(&self, engine: Option<Engine>) -> bool {
        self.ratio > 0.0 && engine.is_some_and(|e| e.slots <= self.max_slots)
    }

    /// Records that a request of `cost` tokens arrived.
    pub fn record_arrival(&mut self, route: RouteId, cost: f64, now: Instant) {
        if self.ratio <= 0.0 {
            return;
        }
        self.limit_routes(route);
        let new = Counts::new(cost, now);
        let counts = self.counts.entry(route).or_insert(new);
        counts.decay(now);
        counts.arrived += 1.0;
        if cost > counts.bound {
            counts.add_debt(self.ratio * counts.placed_fraction());
        }
        counts.learn_bound(cost);
    }

    /// Records that a request was placed.
    pub fn record_placed(&mut self, route: RouteId, cost: f64, now: Instant) {
        let Some(counts) = self.counts.get_mut(&route) else {
            return;
        };
        counts.decay(now);
        counts.placed += 1.0;
        if cost > counts.bound {
            counts.add_debt(-1.0);
        }
    }

    /// Returns whether the request is a long one, and long ones of its route are owed.
    pub fn is_owed(&self, route: RouteId, cost: f64) -> bool {
        let counts = self.counts.get(&route);
        self.ratio > 0.0 && counts.is_some_and(|c| c.debt > 0.0 && cost > c.bound)
    }

    fn limit_routes(&mut self, route: RouteId) {
        if self.counts.len() < MAX_ROUTES || self.counts.contains_key(&route) {
            return;
        }
        let oldest = self.counts.iter().min_by_key(|(_, c)| c.updated);
        if let Some(oldest) = oldest.map(|(id, _)| *id) {
            self.counts.remove(&oldest);
        }
    }
}
