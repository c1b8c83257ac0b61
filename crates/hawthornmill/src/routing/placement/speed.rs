//! How the speed of servers that report it enters the choice.
//!
//! Load pattern: dozens of instances read the same good figure at the same time, long before they hear of each other's
//! choices. If each of them chose the fastest server, it would get all requests for a moment. Therefore a slow server costs
//! its whole additional time, but a fast one gains by chance only: alike servers are chosen in proportion to their speed.

use std::time::{Duration, Instant};

use super::{Candidate, FULL_BATCH_COST, Rejection, RequestContext};
use crate::ident::ServerId;
use crate::routing::server_speed::BelievedSpeed;

/// Range of the random cost that spreads requests over alike servers of usual speed; some steps of [`super::RANK_COST`].
const SPREAD_COST: Duration = Duration::from_millis(40);
/// Own time of a request from which that range grows with it; most requests take less.
const SPREAD_TIME: Duration = Duration::from_millis(150);
/// Fraction by which a server must be faster than the chosen one to be named as passed over.
const NOTED_ADVANTAGE: f64 = 0.9;

/// Why a faster server was passed over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PassedOver {
    /// It was at capacity.
    Full,
    /// It was reserved for requests that go before.
    Reserved,
    /// The request would have been late there.
    TooLate,
    /// It may not prefill the shared prefix.
    PrefixLimit,
    /// Its other costs outweighed its speed, or the random spread did.
    Cost,
}

impl PassedOver {
    /// Returns the name of the reason in log lines.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Full => "full",
            Self::Reserved => "reserved",
            Self::TooLate => "too_late",
            Self::PrefixLimit => "prefix_limit",
            Self::Cost => "cost",
        }
    }
}

/// What was believed of the speed of a chosen server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlacedSpeed {
    /// The speed.
    pub believed: BelievedSpeed,
    /// Whether the server had a free slot, so that the time of the request tells its speed.
    pub has_free_slot: bool,
    /// Why the fastest server was passed over, if it is clearly faster.
    pub passed_over: Option<PassedOver>,
}

/// Speed of a candidate in one choice.
#[derive(Debug, Clone, Copy)]
pub(super) struct CandidateSpeed {
    believed: BelievedSpeed,
    /// From 0 up to 1.
    chance: f64,
}

impl CandidateSpeed {
    /// Returns the speed of `candidate`; `None` where servers of the service report none.
    pub(super) fn of(
        candidate: &Candidate<'_>,
        context: &RequestContext<'_>,
        now: Instant,
    ) -> Option<Self> {
        let speeds = context.speeds?;
        Some(Self {
            believed: candidate.load.speed(now),
            chance: speeds.chance(candidate.server),
        })
    }

    pub(super) fn factor(self) -> f64 {
        self.believed.factor()
    }

    /// Returns the tokens that a usual server prefills in the time that this one takes for `tokens`.
    pub(super) fn scaled(self, tokens: u32) -> u32 {
        (f64::from(tokens) * self.factor()) as u32
    }

    pub(super) const fn placed(self, has_free_slot: bool) -> PlacedSpeed {
        PlacedSpeed {
            believed: self.believed,
            has_free_slot,
            passed_over: None,
        }
    }

    /// Returns what an engine costs beyond its expected time, in seconds; `own_time` is the request's own time at a usual
    /// server.
    pub(super) fn engine_adjustment(self, own_time: Duration) -> f64 {
        let factor = self.factor().min(1.0);
        let withheld = own_time.as_secs_f64() * (1.0 - factor);
        let growth = own_time.div_duration_f64(SPREAD_TIME).max(1.0);
        withheld + SPREAD_COST.as_secs_f64() * growth * factor * self.chance
    }

    /// Returns what a plain server costs instead of its utilization, in seconds: its running requests per slot, at its
    /// speed.
    pub(super) fn plain_adjustment(self, running: u32, slots: u32, utilization: f64) -> f64 {
        let running = f64::from(running) + self.chance;
        let load = running / f64::from(slots.max(1)) * self.factor();
        FULL_BATCH_COST.as_secs_f64() * (load - utilization * utilization)
    }
}

/// Returns the expected and the unloaded TTFT.
///
/// `baseline` and `own_time` are those at a usual server with and without its other work. Where servers report no speed, only
/// a slowdown counts, and it includes the round trip.
pub(super) fn expected_times(
    speed: Option<CandidateSpeed>,
    slowdown: f64,
    baseline: Duration,
    own_time: Duration,
    round_trip: Duration,
) -> (Duration, Duration) {
    if let Some(speed) = speed {
        let factor = speed.factor();
        let expected = baseline.saturating_sub(round_trip).mul_f64(factor) + round_trip;
        return (expected, own_time.mul_f64(factor) + round_trip);
    }
    let slowdown = slowdown.max(1.0);
    let unloaded = slowed(own_time, slowdown) + round_trip;
    (slowed(baseline, slowdown), unloaded)
}

/// Returns `time` on a server that takes `slowdown` times as long, 1 or more.
fn slowed(time: Duration, slowdown: f64) -> Duration {
    if slowdown > 1.0 {
        time.mul_f64(slowdown)
    } else {
        time
    }
}

/// The fastest candidate of a choice.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Fastest(Option<(f64, ServerId, PassedOver)>);

impl Fastest {
    /// Notes a candidate and why it was rejected, if it was.
    pub(super) fn record(
        &mut self,
        server: ServerId,
        speed: CandidateSpeed,
        rejection: Option<&Rejection>,
    ) {
        let factor = speed.factor();
        if self.0.is_some_and(|(least, ..)| least <= factor) {
            return;
        }
        let reason = match rejection {
            Some(Rejection::Full { .. }) => PassedOver::Full,
            Some(Rejection::Reserved) => PassedOver::Reserved,
            Some(Rejection::TooLong | Rejection::TooSlow) => PassedOver::TooLate,
            Some(Rejection::PrefixLimit) => PassedOver::PrefixLimit,
            None => PassedOver::Cost,
        };
        self.0 = Some((factor, server, reason));
    }

    /// Adds to the speed of the chosen server why a faster one was passed over.
    pub(super) fn compare(self, chosen: PlacedSpeed) -> PlacedSpeed {
        let faster = self
            .0
            .filter(|(factor, ..)| *factor < chosen.believed.factor() * NOTED_ADVANTAGE);
        PlacedSpeed {
            passed_over: faster.map(|(_, _, reason)| reason),
            ..chosen
        }
    }
}
