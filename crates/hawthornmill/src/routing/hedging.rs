//! Hedged requests: when a second copy of a request without an answer is sent to another server, and which copy counts.
//!
//! Load pattern: a server that shares its machine is slow for a moment, and the requests that it holds can't be moved. A
//! second copy at another server mostly answers before the first. It is work too, so hedges are bounded by a share of the
//! requests and by the retry budget, and end while the service still has spare capacity.

use std::collections::BTreeMap;
use std::fmt;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;

use super::retry_budget::HedgeLimit;
use crate::ident::ServiceId;

/// Interval at which the counts of response times are halved.
const HALF_LIFE: Duration = Duration::from_secs(20);
/// Weight of one response time, so that single ones in the tail survive some halvings.
const SAMPLE_WEIGHT: u64 = 16;
/// Halvings after which no sample is left, whatever their number.
const MAX_HALVINGS: u32 = 32;
/// Response times from which a quantile is used, whatever the quantile.
const MIN_SAMPLES: f64 = 20.0;
/// Resolution of response times.
const TICK: Duration = Duration::from_micros(100);
/// Longest response time that is told apart from longer ones.
const MAX_TIME: Duration = Duration::from_mins(1);
/// Digits to which response times are kept.
const DIGITS: u8 = 2;
/// Used fraction of its slots from which a server, or a whole service, gets no hedges.
const MAX_UTILIZATION: f64 = 0.7;
/// Recent fraction of failed requests from which a server gets no hedges; one failure counts for about 2.5 s.
const MAX_FAILURE_RATE: f64 = 0.05;

/// Services whose requests are hedged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum HedgedServices {
    /// All of them.
    #[default]
    All,
    /// Those whose servers report their speed.
    SpeedReported,
}

/// Settings of hedged requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HedgingConfig {
    /// Hedges per request of a service; 0 switches hedging off.
    pub share: f64,
    /// Quantile of the response times after which a hedge is sent.
    pub quantile: f64,
    /// Time after which a hedge is sent, instead of the quantile.
    pub after: Option<Duration>,
    /// Services whose requests are hedged.
    pub services: HedgedServices,
}

impl Default for HedgingConfig {
    fn default() -> Self {
        Self {
            share: 0.0,
            quantile: 0.95,
            after: None,
            services: HedgedServices::All,
        }
    }
}

/// Bounds on the load and the failures of a server that may get a hedge.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SpareLimits {
    /// Used fraction of the slots from which a server has no spare capacity.
    pub utilization: f64,
    /// Recent fraction of failed requests from which a server is suspect.
    pub failure_rate: f64,
}

/// Bounds for hedges.
pub const SPARE_LIMITS: SpareLimits = SpareLimits {
    utilization: MAX_UTILIZATION,
    failure_rate: MAX_FAILURE_RATE,
};

impl SpareLimits {
    /// Returns whether `running` requests leave spare capacity among `slots`.
    pub fn has_spare(&self, running: u32, slots: u32) -> bool {
        f64::from(running) < f64::from(slots) * self.utilization
    }
}

/// Why a hedge that was due is not sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Withheld {
    /// The request has no further attempt.
    Attempts,
    /// Servers crashed under requests like it, or may have.
    Quarantine,
    /// This instance runs late, so the time without an answer tells nothing of the server.
    InstanceLate,
    /// Requests for the service are queued.
    Queued,
    /// Requests for the service found no capacity, here or at another instance.
    UnmetDemand,
    /// The service has used too much of its slots.
    Busy,
    /// Hedges have reached their share of the requests.
    Share,
    /// The part of the retry budget that hedges may use is used up.
    Budget,
    /// No other server is usable and has spare capacity.
    NoServer,
    /// The best other server isn't expected to answer before the deadline of the request.
    TooLate,
}

impl Withheld {
    /// Returns the name that log lines and metrics use.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Attempts => "attempts",
            Self::Quarantine => "quarantine",
            Self::InstanceLate => "instance_late",
            Self::Queued => "queued",
            Self::UnmetDemand => "unmet_demand",
            Self::Busy => "busy",
            Self::Share => "share",
            Self::Budget => "budget",
            Self::NoServer => "no_server",
            Self::TooLate => "too_late",
        }
    }
}

impl fmt::Display for Withheld {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl From<HedgeLimit> for Withheld {
    fn from(limit: HedgeLimit) -> Self {
        match limit {
            HedgeLimit::Share => Self::Share,
            HedgeLimit::Budget => Self::Budget,
        }
    }
}

/// Response times of one service, the recent ones with more weight.
#[derive(Debug, Clone)]
struct ResponseTimes {
    histogram: Histogram<u32>,
    halved: Instant,
}

impl ResponseTimes {
    /// Returns an empty histogram; `None` only if the library rejects the bounds above.
    fn new(now: Instant) -> Option<Self> {
        let histogram = Histogram::new_with_bounds(1, ticks(MAX_TIME), DIGITS).ok()?;
        Some(Self {
            histogram,
            halved: now,
        })
    }

    fn record(&mut self, time: Duration, now: Instant) {
        self.decay(now);
        self.histogram
            .saturating_record_n(ticks(time), SAMPLE_WEIGHT as u32);
    }

    fn decay(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.halved);
        let halvings = (elapsed.as_secs_f64() / HALF_LIFE.as_secs_f64()) as u32;
        if halvings == 0 {
            return;
        }
        self.halved += HALF_LIFE * halvings;
        if halvings >= MAX_HALVINGS {
            self.histogram.reset();
            return;
        }
        let counts: Vec<(u64, u64)> = self
            .histogram
            .iter_recorded()
            .map(|v| (v.value_iterated_to(), v.count_since_last_iteration()))
            .collect();
        self.histogram.reset();
        for (value, count) in counts {
            let left = u32::try_from(count >> halvings).unwrap_or(u32::MAX);
            self.histogram.saturating_record_n(value, left);
        }
    }

    /// Returns the quantile, once there are enough response times.
    fn quantile(&mut self, quantile: f64, now: Instant) -> Option<Duration> {
        self.decay(now);
        let samples = self.histogram.len() as f64 / SAMPLE_WEIGHT as f64;
        let needed = MIN_SAMPLES.max(1.0 / (1.0 - quantile).max(f64::EPSILON));
        let value = self.histogram.value_at_quantile(quantile);
        (samples >= needed).then(|| TICK * u32::try_from(value).unwrap_or(u32::MAX))
    }
}

fn ticks(time: Duration) -> u64 {
    let ticks = time.as_nanos() / TICK.as_nanos();
    u64::try_from(ticks).unwrap_or(u64::MAX).max(1)
}

/// When hedges are sent, by service.
#[derive(Debug, Clone, Default)]
pub struct Hedging {
    config: HedgingConfig,
    times: BTreeMap<ServiceId, ResponseTimes>,
}

impl Hedging {
    /// Replaces the settings; what was learnt is kept.
    pub fn set_config(&mut self, config: HedgingConfig) {
        self.config = config;
        if !self.is_on() {
            self.times.clear();
        }
    }

    /// Returns the settings.
    pub const fn config(&self) -> HedgingConfig {
        self.config
    }

    /// Returns whether settings ask for hedges.
    pub fn is_on(&self) -> bool {
        self.config.share > 0.0
    }

    /// Records the time from the sending of a first copy to its answer, or to its end if the hedge won.
    pub fn record_response(&mut self, service: ServiceId, time: Duration, now: Instant) {
        if !self.is_on() {
            return;
        }
        if let Some(known) = self.times.get_mut(&service) {
            known.record(time, now);
        } else if let Some(mut times) = ResponseTimes::new(now) {
            times.record(time, now);
            self.times.insert(service, times);
        }
    }

    /// Returns the time without an answer after which a hedge is due; `None` while it isn't known.
    pub fn delay(&mut self, service: ServiceId, now: Instant) -> Option<Duration> {
        if !self.is_on() {
            return None;
        }
        let quantile = self.config.quantile;
        self.config
            .after
            .or_else(|| self.times.get_mut(&service)?.quantile(quantile, now))
    }
}

/// One of the two copies of a hedged request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestCopy {
    /// The copy that was sent first.
    First,
    /// The copy that was sent later.
    Hedge,
}

impl RequestCopy {
    /// Returns the name that log lines use.
    pub const fn name(self) -> &'static str {
        match self {
            Self::First => "first",
            Self::Hedge => "hedge",
        }
    }
}

/// What to do after the end of one copy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RaceStep {
    /// Wait for the other copy.
    Wait,
    /// Forward the answer of this copy and cancel the other one.
    Deliver(RequestCopy),
    /// Both failed: the retry rules apply once, to the graver failure.
    Fail,
    /// The race is over already; the caller has the answer of the other copy.
    Ignore,
}

/// The race of the two copies of a hedged request.
#[derive(Debug, Clone, Copy, Default)]
pub struct Race {
    winner: Option<RequestCopy>,
    failed: Option<RequestCopy>,
    is_over: bool,
}

impl Race {
    /// Records that `copy` ended, with an answer that can be forwarded if `is_good`.
    pub fn record(&mut self, copy: RequestCopy, is_good: bool) -> RaceStep {
        if self.is_over || self.failed == Some(copy) {
            return RaceStep::Ignore;
        }
        if is_good {
            self.winner = Some(copy);
            self.is_over = true;
            return RaceStep::Deliver(copy);
        }
        self.is_over = self.failed.is_some();
        self.failed = Some(copy);
        if self.is_over {
            RaceStep::Fail
        } else {
            RaceStep::Wait
        }
    }

    /// Returns the copy whose answer is forwarded.
    pub const fn winner(&self) -> Option<RequestCopy> {
        self.winner
    }

    /// Returns whether broken answers count as failures of their servers: only if no copy won.
    pub const fn counts_failures(&self) -> bool {
        self.is_over && self.winner.is_none()
    }
}
