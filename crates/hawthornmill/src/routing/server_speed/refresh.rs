//! Works out the lasting parts from all evidence, a few times a second rather than in each decision.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::evidence::Evidence;
use super::report::RunTag;
use super::{LASTING_BOUNDS, ServerSpeed, SpeedTable};
use crate::ident::{ServerId, ServiceId};
use crate::routing::registry::Registry;

/// Shortest time between two refreshes.
const REFRESH_INTERVAL: Duration = Duration::from_millis(500);
/// Weight of the assumption that a server takes the usual time, in measurements.
const PRIOR_WEIGHT: f64 = 4.0;
/// Weight from which a server counts among those whose median is the usual speed.
const MEDIAN_WEIGHT: f64 = 1.0;
/// Time after the last figure from which a service counts as one whose servers report none.
pub(super) const SERVICE_TTL: Duration = Duration::from_mins(5);
/// Weight of the newest request in the usual time of a service.
const USUAL_TIME_WEIGHT: f64 = 0.02;

/// Usual time of a service's requests without a prompt.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct UsualTime {
    /// Mean logarithm of seconds.
    log: Option<f64>,
}

impl UsualTime {
    pub(super) fn time(self) -> Option<Duration> {
        self.log.map(|log| Duration::from_secs_f64(log.exp()))
    }

    pub(super) fn record(&mut self, time: Duration) {
        let sample = time.as_secs_f64().max(1e-4).ln();
        let log = self.log.unwrap_or(sample);
        self.log = Some(log + (sample - log) * USUAL_TIME_WEIGHT);
    }
}

/// A registered run of a server.
#[derive(Debug, Clone, Copy)]
pub(super) struct KnownRun {
    pub(super) server: ServerId,
    pub(super) service: ServiceId,
    pub(super) start_ms: u64,
}

/// Registered runs by their tags in messages.
#[derive(Debug, Clone, Default)]
pub(super) struct RunIndex {
    runs: BTreeMap<RunTag, KnownRun>,
    /// Revision and number of entries of the registry that the index reflects.
    version: (u64, usize),
}

impl RunIndex {
    pub(super) fn get(&self, tag: RunTag) -> Option<KnownRun> {
        self.runs.get(&tag).copied()
    }

    /// Brings the index up to date; returns whether it changed.
    pub(super) fn update(&mut self, registry: &Registry) -> bool {
        let version = (registry.latest_revision(), registry.entries().count());
        if version == self.version {
            return false;
        }
        let runs = registry.entries().map(|(server, entry)| {
            let (service, start_ms) = (entry.registration.service, entry.registration.start_ms);
            let run = KnownRun {
                server,
                service,
                start_ms,
            };
            (RunTag::of(server, start_ms), run)
        });
        self.runs = runs.collect();
        self.version = version;
        true
    }
}

impl SpeedTable {
    /// Refreshes the lasting parts if the last refresh is long enough ago.
    pub(super) fn refresh_if_due(&mut self, registry: &Registry, now: Instant) {
        let is_due = self
            .refreshed
            .is_none_or(|at| now.saturating_duration_since(at) >= REFRESH_INTERVAL);
        if is_due {
            self.refresh(registry, now);
        }
    }

    /// Works out the lasting part of each server from the evidence of all instances.
    fn refresh(&mut self, registry: &Registry, now: Instant) {
        self.refreshed = Some(now);
        self.update_index(registry);
        self.services
            .retain(|_, last| now.saturating_duration_since(last.at) < SERVICE_TTL);
        let services = &self.services;
        self.servers
            .retain(|_, speed| services.contains_key(&speed.service));
        self.peers.drop_faded(now);
        let own = self.servers.iter().map(|(server, speed)| {
            let tag = RunTag::of(*server, speed.start_ms);
            (tag, speed.own.decayed(now))
        });
        let all = self.peers.sums_with(own.collect(), now);
        let runs = all.keys().filter_map(|tag| self.index.get(*tag));
        for run in runs.filter(|run| services.contains_key(&run.service)) {
            let new = ServerSpeed::new(run.service, run.start_ms);
            self.servers.entry(run.server).or_insert(new);
        }
        let mut known: BTreeMap<ServiceId, Vec<(ServerId, Evidence)>> = BTreeMap::new();
        for (server, speed) in &self.servers {
            let tag = RunTag::of(*server, speed.start_ms);
            let evidence = all.get(&tag).copied().unwrap_or(Evidence::EMPTY);
            let servers = known.entry(speed.service).or_default();
            servers.push((*server, evidence));
        }
        for servers in known.values() {
            let usual = median(servers);
            for (server, evidence) in servers {
                if let Some(speed) = self.servers.get_mut(server) {
                    speed.lasting = lasting(*evidence, usual);
                }
            }
        }
    }

    /// Brings the index up to date, and drops runs that are over.
    pub(super) fn update_index(&mut self, registry: &Registry) {
        if self.index.update(registry) {
            self.servers.retain(|server, speed| {
                let entry = registry.get(*server).map(|e| &e.registration);
                entry.is_some_and(|e| e.start_ms == speed.start_ms && e.service == speed.service)
            });
        }
    }
}

/// Returns the median of the mean logarithms, which few slow or lying servers don't move.
fn median(servers: &[(ServerId, Evidence)]) -> f64 {
    let known = servers
        .iter()
        .filter(|(_, e)| e.weight() >= MEDIAN_WEIGHT)
        .map(|(_, e)| e.log());
    let mut logs: Vec<f64> = known.collect();
    if logs.is_empty() {
        return 0.0;
    }
    let middle = (logs.len() - 1) / 2;
    *logs.select_nth_unstable_by(middle, f64::total_cmp).1
}

fn lasting(evidence: Evidence, usual: f64) -> f64 {
    let certainty = evidence.weight() / (evidence.weight() + PRIOR_WEIGHT);
    let log = (evidence.log() - usual) * certainty;
    log.exp().clamp(LASTING_BOUNDS.0, LASTING_BOUNDS.1)
}
