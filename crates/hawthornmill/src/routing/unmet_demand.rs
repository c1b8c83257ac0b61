//! Work that found no room lately, here and elsewhere.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::gossip::UnmetDemand;
use super::usage::{DECAY_TIME, ShareStatus};
use crate::ident::{InstanceId, ServiceId};

/// Time for which a service counts as short after a request found no room.
const SHORT: Duration = Duration::from_millis(600);
/// Part of the promised capacity that must lack room for a service to count as short, wherever it came in.
const LACK_PART: f64 = 0.06;
/// Time for which a shortage or a stray is told, so that it outlives lost news.
pub const REPORT_TTL: Duration = Duration::from_millis(900);

/// Work that found no room here.
#[derive(Debug, Clone, Copy)]
struct Own {
    cost: f64,
    at: Instant,
}

impl Own {
    fn lack(&self, now: Instant) -> UnmetDemand {
        let age = now.saturating_duration_since(self.at);
        let left = (-age.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp();
        UnmetDemand {
            instances: 1,
            cost: (self.cost * left) as u32,
        }
    }
}

/// What found no room, by service and standing.
#[derive(Debug, Clone, Default)]
pub struct UnmetDemandTracker {
    own: BTreeMap<(ServiceId, ShareStatus), Own>,
    heard: BTreeMap<(ServiceId, ShareStatus, InstanceId), (Instant, UnmetDemand)>,
}

impl UnmetDemandTracker {
    /// A request of `cost` found no room here.
    pub fn record(&mut self, service: ServiceId, standing: ShareStatus, cost: f64, now: Instant) {
        let key = (service, standing);
        let before = self.own.get(&key).map_or(0, |o| o.lack(now).cost);
        let cost = f64::from(before) + cost;
        self.own.insert(key, Own { cost, at: now });
    }

    /// What of a better standing than `standing` found no room lately, here and elsewhere.
    pub fn ahead_of(&self, service: ServiceId, standing: ShareStatus, now: Instant) -> UnmetDemand {
        let counts = |s: ServiceId, better: ShareStatus, at: Instant| {
            s == service && better < standing && now.duration_since(at) < SHORT
        };
        let mut all = UnmetDemand::default();
        for ((s, better), own) in &self.own {
            if counts(*s, *better, own.at) {
                all.add(own.lack(now));
            }
        }
        // Several standings that found no room here are one place all the same.
        all.instances = all.instances.min(1);
        for ((s, better, _), (at, lack)) in &self.heard {
            if counts(*s, *better, *at) {
                all.add(*lack);
            }
        }
        all
    }

    /// What found no room here, for the others.
    pub fn report(&self, now: Instant) -> Vec<(ServiceId, ShareStatus, UnmetDemand)> {
        let recent = |o: &Own| now.duration_since(o.at) < REPORT_TTL;
        let own = self.own.iter();
        let told = own.filter(|((_, s), o)| *s < ShareStatus::AboveFairShare && recent(o));
        told.map(|((service, standing), o)| (*service, *standing, o.lack(now)))
            .collect()
    }

    /// What found no room here and at the `members` of the own failure domain, in sum.
    pub fn domain_sum(
        &self,
        members: &[InstanceId],
        now: Instant,
    ) -> Vec<(ServiceId, ShareStatus, UnmetDemand)> {
        let mut all: BTreeMap<(ServiceId, ShareStatus), UnmetDemand> = BTreeMap::new();
        for (service, standing, lack) in self.report(now) {
            all.entry((service, standing)).or_default().add(lack);
        }
        for ((service, standing, from), (at, lack)) in &self.heard {
            if members.contains(from) && now.duration_since(*at) < SHORT {
                all.entry((*service, *standing)).or_default().add(*lack);
            }
        }
        all.into_iter().map(|((s, st), l)| (s, st, l)).collect()
    }

    /// Takes what `from` tells, an instance or a failure domain.
    pub fn apply_peer_report(
        &mut self,
        from: InstanceId,
        told: &[(ServiceId, ShareStatus, UnmetDemand)],
        now: Instant,
    ) {
        for (service, standing, lack) in told {
            self.heard.insert((*service, *standing, from), (now, *lack));
        }
    }
}

/// Tells whether `lack` shuts others out, where engines yield `rate` tokens a second.
///
/// Single requests find no room at any time, in a large fleet at several instances at once; so much work must lack it.
pub fn preempts_others(lack: UnmetDemand, rate: f64) -> bool {
    lack.cost > 0 && f64::from(lack.cost) >= LACK_PART * rate * DECAY_TIME.as_secs_f64()
}
