//! Bounds the requests that a cold server gets, from all instances together and without shared state.
//!
//! Load pattern: the servers of a failure domain come back at once, empty and cold. Each looks idle, so every instance would
//! choose them, and a server that gets many more requests than it bears while cold crashes.
//!
//! Every instance derives the few *senders* of a cold server by rendezvous hashing among the instances that it knows, those
//! of the server's own failure domain first. Only these send there, each a fixed part of the bound. An instance counts those
//! that fell silent as long as it remembers them, so the two sides of a split fleet choose the same senders; one that has
//! just started, and may not know the others yet, sends nothing. Two disjoint sets of senders together stay within the
//! bound: so much may the views of the fleet differ.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use smallvec::SmallVec;

use super::catalog::ColdStart;
use crate::ident::{DomainId, InstanceId, ServerId, mix};

/// Most requests per second that a cold server is taken to bear; each instance keeps as many instants for it.
const MAX_COLD_RATE: f64 = 1_000.0;
/// Instances that send to one cold server.
const MAX_SENDERS: usize = 4;
/// Disjoint sets of senders that together stay within the bound.
const SENDER_SETS: f64 = 2.0;
/// Time in which one sender uses its part. The bound holds for any second; requests reach the server a connection's
/// set-up later than they are placed.
const WINDOW: Duration = Duration::from_millis(1_200);
/// Time after its start in which an instance hears of the others.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// How far the requests to a cold server may exceed the rate that its service gives.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdStartTolerance {
    /// Factor of the rate.
    pub factor: f64,
    /// Requests in any second beside it.
    pub extra: f64,
}

/// Senders of a server, and what each of them may send within the window.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Parts {
    senders: usize,
    requests: usize,
}

impl ColdStartTolerance {
    fn parts(self, rate: f64) -> Parts {
        let rate = rate.min(MAX_COLD_RATE);
        let for_one_set = (rate * self.factor + self.extra) / SENDER_SETS;
        let senders = (for_one_set as usize).clamp(1, MAX_SENDERS);
        Parts {
            senders,
            requests: (for_one_set as usize / senders).max(1),
        }
    }
}

/// What this instance may send to cold servers.
#[derive(Debug, Clone)]
pub struct ColdStartLimiter {
    tolerance: ColdStartTolerance,
    me: InstanceId,
    settled_at: Instant,
    /// Known instances with their failure domains, this one among them, in the order of their identifiers.
    instances: Vec<(InstanceId, DomainId)>,
    /// Whether this instance is a sender of the server.
    is_sender: BTreeMap<ServerId, bool>,
    sent: BTreeMap<ServerId, SmallVec<[Instant; 8]>>,
}

impl ColdStartLimiter {
    /// Creates the limiter of instance `me`, which starts at `now` and knows no other one.
    pub fn new(
        me: InstanceId,
        domain: DomainId,
        tolerance: ColdStartTolerance,
        now: Instant,
    ) -> Self {
        Self {
            tolerance,
            me,
            settled_at: now + SETTLE_TIME,
            instances: vec![(me, domain)],
            is_sender: BTreeMap::new(),
            sent: BTreeMap::new(),
        }
    }

    /// Replaces the bound, as settings give it.
    pub fn set_tolerance(&mut self, tolerance: ColdStartTolerance) {
        self.tolerance = tolerance;
        self.is_sender.clear();
    }

    /// Replaces the known instances: this one and those that it remembers, live or silent.
    pub fn observe_instances(&mut self, mut instances: Vec<(InstanceId, DomainId)>) {
        instances.sort_unstable();
        if instances != self.instances {
            self.instances = instances;
            self.is_sender.clear();
        }
    }

    /// Returns whether this instance may send one more request to the cold `server` of `domain` now.
    pub fn allows(
        &mut self,
        server: ServerId,
        domain: DomainId,
        cold_start: ColdStart,
        now: Instant,
    ) -> bool {
        let parts = self.tolerance.parts(cold_start.rate);
        if now < self.settled_at || !self.is_sender(server, domain, parts) {
            return false;
        }
        let sent = self.sent.get(&server).into_iter().flatten();
        let recent = sent.filter(|at| now.duration_since(**at) < WINDOW);
        recent.count() < parts.requests
    }

    fn is_sender(&mut self, server: ServerId, domain: DomainId, parts: Parts) -> bool {
        if let Some(known) = self.is_sender.get(&server) {
            return *known;
        }
        let order = |(id, own): (InstanceId, DomainId)| (own == domain, mix(id.0 ^ server.0));
        let own = self.instances.iter().find(|(id, _)| *id == self.me);
        let is_sender = own.is_some_and(|own| {
            let own = order(*own);
            let ahead = self.instances.iter().filter(|i| order(**i) > own);
            ahead.count() < parts.senders
        });
        self.is_sender.insert(server, is_sender);
        is_sender
    }

    /// Records a request that is sent to the cold `server`.
    pub fn record(&mut self, server: ServerId, now: Instant) {
        let sent = self.sent.entry(server).or_default();
        sent.retain(|at| now.duration_since(*at) < WINDOW);
        sent.push(now);
    }

    /// Records that the `server`, which was in use, has turned cold: what it got just before counts too.
    pub fn pause(&mut self, server: ServerId, cold_start: ColdStart, now: Instant) {
        let parts = self.tolerance.parts(cold_start.rate);
        let sent = self.sent.entry(server).or_default();
        *sent = std::iter::repeat_n(now, parts.requests).collect();
    }

    /// Forgets servers for which `keep` returns false: they are warm or gone.
    pub fn retain(&mut self, keep: impl Fn(ServerId) -> bool) {
        self.sent.retain(|server, _| keep(*server));
        self.is_sender.retain(|server, _| keep(*server));
    }
}
