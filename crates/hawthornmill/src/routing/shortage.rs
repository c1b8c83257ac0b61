//! Work that found no room lately, here and elsewhere.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::gossip::UnmetDemand;
use super::usage::{FADE, Standing};
use crate::ident::{InstanceId, ServiceId};

/// Time for which a service counts as short after a request found no room.
const SHORT: Duration = Duration::from_millis(600);
/// Part of the promised capacity that must lack room for a service to count as short, wherever it came in.
const LACK_PART: f64 = 0.06;
/// Time for which a shortage or a stray is told, so that it outlives lost news.
pub const TOLD: Duration = Duration::from_millis(900);

/// Work that found no room here.
#[derive(Debug, Clone, Copy)]
struct Own {
    cost: f64,
    at: Instant,
}

impl Own {
    fn lack(&self, now: Instant) -> UnmetDemand {
        let age = now.saturating_duration_since(self.at);
        let left = (-age.as_secs_f64() / FADE.as_secs_f64()).exp();
        UnmetDemand {
            instances: 1,
            cost: (self.cost * left) as u32,
        }
    }
}

/// What found no room, by service and standing.
#[derive(Debug, Clone, Default)]
pub struct Shortages {
    own: BTreeMap<(ServiceId, Standing), Own>,
    heard: BTreeMap<(ServiceId, Standing, InstanceId), (Instant, UnmetDemand)>,
}

impl Shortages {
    /// A request of `cost` found no room here.
    pub fn add(&mut self, service: ServiceId, standing: Standing, cost: f64, now: Instant) {
        let key = (service, standing);
        let before = self.own.get(&key).map_or(0, |o| o.lack(now).cost);
        let cost = f64::from(before) + cost;
        self.own.insert(key, Own { cost, at: now });
    }

    /// What of a better standing than `standing` found no room lately, here and elsewhere.
    pub fn before(&self, service: ServiceId, standing: Standing, now: Instant) -> UnmetDemand {
        let counts = |s: ServiceId, better: Standing, at: Instant| {
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
    pub fn told(&self, now: Instant) -> Vec<(ServiceId, Standing, UnmetDemand)> {
        let recent = |o: &Own| now.duration_since(o.at) < TOLD;
        let own = self.own.iter();
        let told = own.filter(|((_, s), o)| *s < Standing::Above && recent(o));
        told.map(|((service, standing), o)| (*service, *standing, o.lack(now)))
            .collect()
    }

    /// What found no room here and at the `members` of the own failure domain, in sum.
    pub fn sum(
        &self,
        members: &[InstanceId],
        now: Instant,
    ) -> Vec<(ServiceId, Standing, UnmetDemand)> {
        let mut all: BTreeMap<(ServiceId, Standing), UnmetDemand> = BTreeMap::new();
        for (service, standing, lack) in self.told(now) {
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
    pub fn hear(
        &mut self,
        from: InstanceId,
        told: &[(ServiceId, Standing, UnmetDemand)],
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
pub fn shuts_out(lack: UnmetDemand, rate: f64) -> bool {
    lack.cost > 0 && f64::from(lack.cost) >= LACK_PART * rate * FADE.as_secs_f64()
}
