//! How long work takes at each server, as a factor of the usual time.
//!
//! Load pattern: some servers take nearly twice as long as others for as long as they run, and each of them takes 2.5 times
//! as long for half a second now and then. An instance hears of one server once in some seconds, so what it learns alone is
//! too little, and a figure that it read itself is mostly too old.
//!
//! A factor has two parts. The *lasting* part is learnt from measured times over the whole fleet. The *momentary* part is the
//! figure that the server reported last; it fades with its age. Only services whose servers report that figure have
//! factors.

use std::collections::{BTreeMap, BTreeSet, btree_map};
use std::time::{Duration, Instant};

use super::registry::{Registration, Registry};
use crate::ident::{ServerId, ServiceId, mix};

mod evidence;
mod exchange;
mod refresh;
mod report;

use evidence::Evidence;
use exchange::{PeerEvidence, Rotation, Told};
use refresh::{RunIndex, UsualTime};
pub use report::{LastingEntry, MomentaryEntry, RunTag, SpeedReport};

/// Bounds of a reported figure, in percent.
const FIGURE_BOUNDS: (f64, f64) = (25.0, 800.0);
/// Figure of a server that takes the usual time.
const USUAL_PERCENT: f64 = 100.0;
/// Age at which a figure no longer counts.
const FIGURE_TTL: Duration = Duration::from_millis(600);
/// Bounds of the lasting part.
const LASTING_BOUNDS: (f64, f64) = (0.5, 4.0);
/// Bounds of the natural logarithm of one measured ratio: an eighth and eight times.
const MAX_LOG_RATIO: f64 = 2.08;
/// Factors below and above which a server counts as fast or slow in the metrics.
const CLASS_BOUNDS: (f64, f64) = (0.8, 1.25);

/// How long work takes at a server now, in percent of the usual time, as the server reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct SpeedFigure(u16);

impl SpeedFigure {
    /// Returns the figure for `percent`, brought within its bounds; `None` if no time can be meant.
    pub fn from_percent(percent: f64) -> Option<Self> {
        let (least, most) = FIGURE_BOUNDS;
        let is_time = percent > 0.0;
        is_time.then(|| Self(percent.clamp(least, most).round() as u16))
    }

    /// Returns the figure in percent.
    pub const fn percent(self) -> u16 {
        self.0
    }

    fn factor(self) -> f64 {
        f64::from(self.0) / USUAL_PERCENT
    }
}

/// A figure and what became of it here.
#[derive(Debug, Clone, Copy)]
struct Figure {
    value: SpeedFigure,
    at: Instant,
    told: Told,
}

impl Figure {
    fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.at)
    }

    /// Returns the factor that the figure still contributes: all of it when new, 1 when it no longer counts.
    fn faded(&self, now: Instant) -> f64 {
        let fraction = self.age(now).as_secs_f64() / FIGURE_TTL.as_secs_f64();
        1.0 + (self.value.factor() - 1.0) * (1.0 - fraction).max(0.0)
    }
}

/// What is believed of a server's speed at an instant.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BelievedSpeed {
    /// Factor that the server takes over a long time.
    pub lasting: f64,
    /// Factor that it takes beyond that now.
    pub momentary: f64,
    /// Age of the figure behind the momentary factor; `None` when none counts.
    pub age: Option<Duration>,
}

impl BelievedSpeed {
    /// A server of which nothing is known.
    pub const USUAL: Self = Self {
        lasting: 1.0,
        momentary: 1.0,
        age: None,
    };

    /// Returns the multiple of the usual time that work takes.
    pub fn factor(&self) -> f64 {
        self.lasting * self.momentary
    }
}

/// Speed of one run of a server.
#[derive(Debug, Clone)]
pub struct ServerSpeed {
    service: ServiceId,
    start_ms: u64,
    /// Logarithms of ratios that this instance measured.
    own: Evidence,
    /// The lasting part by all evidence as of the last refresh.
    lasting: f64,
    figure: Option<Figure>,
}

impl ServerSpeed {
    const fn new(service: ServiceId, start_ms: u64) -> Self {
        Self {
            service,
            start_ms,
            own: Evidence::EMPTY,
            lasting: 1.0,
            figure: None,
        }
    }

    /// Returns what is believed at `now`.
    pub fn believed(&self, now: Instant) -> BelievedSpeed {
        let figure = self.figure.filter(|f| f.age(now) < FIGURE_TTL);
        BelievedSpeed {
            lasting: self.lasting,
            momentary: figure.map_or(1.0, |f| f.faded(now)),
            age: figure.map(|f| f.age(now)),
        }
    }

    /// Returns the factor of the figure behind a time measured at `now`.
    ///
    /// The figure comes with the head of the response, up to some hundred milliseconds before the first token. It was true
    /// while the server worked, so its age doesn't weaken it.
    fn reported_factor(&self, now: Instant) -> f64 {
        let figure = self.figure.filter(|f| f.age(now) < FIGURE_TTL);
        figure.map_or(1.0, |f| f.value.factor())
    }
}

/// Servers by speed, for the metrics.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct SpeedSummary {
    /// Servers that take clearly less than the usual time.
    pub fast: usize,
    /// Servers that take about the usual time.
    pub usual: usize,
    /// Servers that take clearly more than the usual time.
    pub slow: usize,
    /// Standard deviation of the lasting parts.
    pub spread: f64,
}

/// When figures of a service's servers were last known of.
#[derive(Debug, Clone, Copy)]
struct LastFigure {
    /// Read in a response or told by another instance.
    at: Instant,
    /// Read in a response.
    read_at: Option<Instant>,
}

/// Speeds of all servers of services that report them.
#[derive(Debug, Clone, Default)]
pub struct SpeedTable {
    /// Services whose servers report figures.
    services: BTreeMap<ServiceId, LastFigure>,
    servers: BTreeMap<ServerId, ServerSpeed>,
    /// Usual time of requests without a prompt.
    usual_times: BTreeMap<ServiceId, UsualTime>,
    peers: PeerEvidence,
    index: RunIndex,
    rotation: Rotation,
    refreshed: Option<Instant>,
    seed: u64,
    decisions: u64,
    /// Servers whose reports could not be read, so that each is logged once.
    unreadable: BTreeSet<ServerId>,
}

impl SpeedTable {
    /// Sets what distinguishes the choices of this instance from those of others that know the same.
    pub const fn set_seed(&mut self, seed: u64) {
        self.seed = seed;
    }

    /// Returns whether servers of `service` report how long work takes there.
    pub fn reports(&self, service: ServiceId) -> bool {
        self.services.contains_key(&service)
    }

    /// Returns whether no server reports.
    pub fn is_idle(&self) -> bool {
        self.services.is_empty()
    }

    /// Returns the speed of `server`, if something is known of it.
    pub fn get(&self, server: ServerId) -> Option<&ServerSpeed> {
        self.servers.get(&server)
    }

    /// Returns all known speeds in the order of the servers' identifiers.
    pub(super) fn by_server(&self) -> btree_map::Iter<'_, ServerId, ServerSpeed> {
        self.servers.iter()
    }

    /// Returns what is believed of `server` at `now`.
    pub fn believed(&self, server: ServerId, now: Instant) -> BelievedSpeed {
        let known = self.servers.get(&server);
        known.map_or(BelievedSpeed::USUAL, |s| s.believed(now))
    }

    /// Records that a request was placed, so that the next choice differs.
    pub const fn record_decision(&mut self) {
        self.decisions = self.decisions.wrapping_add(1);
    }

    /// Returns a number from 0 up to 1, which differs by instance, decision and server.
    pub(super) fn chance(&self, server: ServerId) -> f64 {
        let bits = mix(mix(self.seed ^ self.decisions) ^ server.0) >> 11;
        bits as f64 / (1_u64 << 53) as f64
    }

    /// Records the figure that `server` reported in a response.
    pub fn record_figure(
        &mut self,
        server: ServerId,
        registration: &Registration,
        figure: SpeedFigure,
        now: Instant,
    ) {
        let read = LastFigure {
            at: now,
            read_at: Some(now),
        };
        self.services.insert(registration.service, read);
        self.run(server, registration).figure = Some(Figure {
            value: figure,
            at: now,
            told: Told::default(),
        });
    }

    /// Records that work expected to take `expected` at a usual server took `time`; returns the time that it would have
    /// taken there.
    pub fn record_time(
        &mut self,
        server: ServerId,
        registry: &Registry,
        expected: Duration,
        time: Duration,
        now: Instant,
    ) -> Duration {
        let Some(entry) = registry.get(server) else {
            return time;
        };
        let run = self.run(server, &entry.registration);
        let (lasting, momentary) = (run.lasting, run.reported_factor(now));
        let ratio = time.as_secs_f64() / expected.as_secs_f64().max(0.001);
        run.own.add(log_ratio(ratio / momentary), now);
        self.refresh_if_due(registry, now);
        time.div_f64(lasting * momentary)
    }

    /// Records the time of a request without a prompt, whose usual time is learnt as well.
    pub fn record_plain_time(
        &mut self,
        server: ServerId,
        registry: &Registry,
        time: Duration,
        now: Instant,
    ) {
        let Some(entry) = registry.get(server) else {
            return;
        };
        let service = entry.registration.service;
        let usual = self.usual_times.entry(service).or_default();
        let expected = usual.time().unwrap_or(time);
        let usual_time = self.record_time(server, registry, expected, time, now);
        self.usual_times
            .entry(service)
            .or_default()
            .record(usual_time);
    }

    /// Records that a report of `server` could not be read; returns whether it is the first one.
    pub fn mark_unreadable(&mut self, server: ServerId) -> bool {
        self.unreadable.insert(server)
    }

    /// Forgets what was learnt of `server`, whose name may belong to another run from now on.
    pub fn forget(&mut self, server: ServerId) {
        self.unreadable.remove(&server);
        if let Some(speed) = self.servers.remove(&server) {
            self.peers.forget(RunTag::of(server, speed.start_ms));
        }
    }

    /// Counts the servers by speed.
    pub fn summary(&self, now: Instant) -> SpeedSummary {
        let mut summary = SpeedSummary::default();
        let (mut sum, mut squares) = (0.0, 0.0);
        for speed in self.servers.values() {
            let factor = speed.believed(now).factor();
            summary.fast += usize::from(factor < CLASS_BOUNDS.0);
            summary.slow += usize::from(factor > CLASS_BOUNDS.1);
            sum += speed.lasting;
            squares += speed.lasting * speed.lasting;
        }
        let count = self.servers.len();
        summary.usual = count - summary.fast - summary.slow;
        let mean = sum / count.max(1) as f64;
        summary.spread = (squares / count.max(1) as f64 - mean * mean)
            .max(0.0)
            .sqrt();
        summary
    }

    /// Returns the speed of the server's present run; an earlier run's is dropped.
    fn run(&mut self, server: ServerId, registration: &Registration) -> &mut ServerSpeed {
        let new = ServerSpeed::new(registration.service, registration.start_ms);
        let run = self.servers.entry(server).or_insert_with(|| new.clone());
        if run.start_ms != registration.start_ms || run.service != registration.service {
            *run = new;
        }
        run
    }
}

fn log_ratio(ratio: f64) -> f64 {
    ratio
        .max(f64::MIN_POSITIVE)
        .ln()
        .clamp(-MAX_LOG_RATIO, MAX_LOG_RATIO)
}
