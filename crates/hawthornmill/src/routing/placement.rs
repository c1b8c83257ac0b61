//! Chooses the backend server for a request.
//!
//! Load pattern: prompts come in families that share a long prefix, and a second prefill of it costs engine time. Every
//! instance computes the same *home* server of a family by rendezvous hashing, and a request spills to another server only
//! when waiting for the home costs more than the second prefill. Families with a short prefix have a home in each failure
//! domain, since sending the request to another domain costs more than one more prefill; long ones have one home in the
//! whole fleet.
//!
//! Each candidate gets an expected time to the first token (TTFT). A server without capacity beside its work in flight is
//! no candidate; when none is left, the request is queued.

use std::time::{Duration, Instant};

use smallvec::SmallVec;

use super::allowance::LatencyLimit;
use super::catalog::Engine;
use super::hedging::SpareLimits;
use super::loads::{KnownLoad, LoadTracker, Work};
use super::prefix_index::{PrefixHits, PrefixIndex};
use super::regions::{AllowedRegions, Eligibility};
use super::registry::{Registry, RegistryEntry};
use super::run_doubt::RunDoubts;
use super::server_notices::{Availability, ServerNotices};
use super::server_speed::SpeedTable;
use super::shape::Shape;
use super::ttft::TtftEstimate;
use crate::ident::{DomainId, RegionId, ServerId, ServiceId, VersionId, mix};

mod fetch;
mod spare;
mod speed;

pub use fetch::Fetch;
use fetch::fetch;
use spare::has_spare;
use speed::{CandidateSpeed, Fastest, expected_times};
pub use speed::{PassedOver, PlacedSpeed};

/// Shared tokens from which a family has one home in the whole fleet: their prefill costs more than the round trip.
const FLEET_WIDE_TOKENS: u32 = 2_000;
/// Shared tokens whose second prefill takes more of an engine than most requests do.
const LONG_PREFIX_TOKENS: u32 = 1_500;
/// Index of other regions among the round trips.
const FLEET_TIER: usize = 2;
/// Round trip within the own failure domain, to another domain of the region, and to another region.
const ROUND_TRIPS: [Duration; FLEET_TIER + 1] = [
    Duration::ZERO,
    Duration::from_millis(3),
    Duration::from_millis(60),
];
/// Cost of a duplicate prefill besides its own time, in seconds per token: it displaces other requests' work.
const DUPLICATE_TOKEN_COST_S: f64 = 200e-6;
/// Servers in the order of a family; beyond them, load alone decides.
const MAX_RANKED: usize = 10;
/// Cost of each further rank in that order: small beside a prefill, large beside the differences between idle servers.
const RANK_COST: Duration = Duration::from_millis(10);
/// Fraction of the objective from which an expected TTFT counts as at risk.
const RISK_THRESHOLD: f64 = 0.6;
/// Additional weight of each second at risk.
const RISK_WEIGHT: f64 = 3.0;
/// Fraction of the time left from which a request's own prefill makes it prefill-bound.
const PREFILL_BOUND_FRACTION: f64 = 0.6;
/// Fraction of the time left that a prefill-bound request may wait for others.
const MAX_WAIT_FRACTION: f64 = 0.2;
/// Additional latency on a server whose slots are nearly all used: a step of a full batch takes some milliseconds
/// longer, over the tokens of one event and the wait for a slot.
const FULL_BATCH_COST: Duration = Duration::from_millis(120);
/// Cost of a failure to a request: about its objective and a second attempt.
const FAILURE_COST: Duration = Duration::from_millis(1_500);
/// Fraction of an engine's KV memory for requests; the rest caches shared prefixes.
const KV_FRACTION: f64 = 0.65;
/// Requests queued at a plain server, as a fraction of its slots; they wait there for about half a request's time.
const PLAIN_QUEUE_FRACTION: f64 = 0.5;

/// Failure domain and region of this instance.
#[derive(Debug, Clone, Copy)]
pub struct Location {
    /// Its failure domain.
    pub domain: DomainId,
    /// Its region.
    pub region: RegionId,
}

/// State on which a choice is based.
#[derive(Debug)]
pub struct PlacementView<'a> {
    /// Registered servers.
    pub registry: &'a Registry,
    /// Load and health of the servers.
    pub loads: &'a LoadTracker,
    /// What the servers said of themselves.
    pub notices: &'a ServerNotices,
    /// Servers whose version is in doubt.
    pub doubts: &'a RunDoubts,
    /// Prompt prefixes that the servers have cached.
    pub prefix_index: &'a PrefixIndex,
    /// Location of this instance.
    pub location: Location,
    /// Regions of the failure domains, and evacuated ones.
    pub eligibility: Eligibility<'a>,
}

/// A request to be placed.
#[derive(Debug, Clone, Copy)]
pub struct PlacementRequest<'a> {
    /// Service that serves it.
    pub service: ServiceId,
    /// Set where model engines serve the request.
    pub engine: Option<Engine>,
    /// Size of its prompt and response.
    pub shape: &'a Shape,
    /// Servers to which it was already sent.
    pub excluded: &'a [ServerId],
    /// Regions in which it may be served.
    pub allowed_regions: &'a AllowedRegions,
    /// The only version of servers that may serve it; `None` for any.
    pub version: Option<VersionId>,
    /// Servers reserved for queued requests that go before it.
    pub reserved: &'a [ServerId],
    /// TTFT estimate of the service's engines.
    pub ttft: TtftEstimate,
    /// Time left of the latency objective.
    pub time_left: Duration,
    /// The whole latency objective.
    pub full_objective: Duration,
    /// Fraction of a server's capacity that the request may use.
    pub capacity_fraction: f64,
    /// What it may be expected to take.
    pub latency_limit: LatencyLimit,
    /// Number of servers, in the order of its family, where a long shared prefix may be prefilled for it.
    pub max_copies: usize,
    /// Whether its server may fetch cached parts of the prompt from another one.
    pub fetches_prefixes: bool,
    /// Bounds on servers that may get it, where only warm ones with spare capacity may; `None` for any.
    pub spare: Option<SpareLimits>,
}

/// The chosen server and the expected latency there.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Placement {
    /// The server.
    pub server: ServerId,
    /// Work that the request adds to the server.
    pub work: Work,
    /// Prefill cost ahead of its first token, including its own, in tokens.
    pub queued_prefill: u32,
    /// Round trip to the server.
    pub round_trip: Duration,
    /// TTFT if the server is as fast as the others.
    pub baseline_ttft: Duration,
    /// Expected TTFT.
    pub expected_ttft: Duration,
    /// Expected TTFT without other work on the server.
    pub unloaded_ttft: Duration,
    /// Shared tokens that the server must prefill though another one has cached them.
    pub duplicate_prefill: u32,
    /// The server is not the home of its shared prefix.
    pub spilled: bool,
    /// Where the server fetches cached tokens that it lacks.
    pub fetch: Option<Fetch>,
    /// What was believed of the server's speed; set where servers of the service report it.
    pub speed: Option<PlacedSpeed>,
}

/// Servers that a queued request waits for.
pub type HomeServers = SmallVec<[ServerId; 2]>;

/// Why no server was chosen.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlacementError {
    /// The service has no usable server.
    NoServer,
    /// The service has usable servers, and none of them is in a region in which the request may be served.
    RegionBound,
    /// All usable servers want no requests, the first of them until the instant given.
    Resting(Instant),
    /// All usable servers are at capacity; the one given has the least to prefill before the request could begin.
    AllFull(Option<ServerId>),
    /// The few servers that may prefill its shared prefix are at capacity, and it may go to no other.
    HomesFull(HomeServers),
    /// It would be late even on an idle server.
    TooLong,
}

/// Values that are common to all candidates of a request.
struct RequestContext<'a> {
    /// In the order of their identifiers.
    candidates: &'a [Candidate<'a>],
    homes: Vec<ServerId>,
    hits: PrefixHits,
    shared_tokens: u32,
    /// TTFT from which the request is at risk of being late.
    risk_start: Duration,
    /// Set where servers of the service report their speed.
    speeds: Option<&'a SpeedTable>,
}

impl RequestContext<'_> {
    /// Returns a server that the request may use.
    fn candidate(&self, server: ServerId) -> Option<&Candidate<'_>> {
        let found = self.candidates.binary_search_by_key(&server, |c| c.server);
        Some(&self.candidates[found.ok()?])
    }
}

struct Candidate<'a> {
    server: ServerId,
    load: KnownLoad<'a>,
    tier: usize,
    region: Option<RegionId>,
    version: VersionId,
    slots: u32,
}

/// Chooses the server with the least cost; most of it is the expected TTFT.
///
/// # Errors
/// [`PlacementError`] tells whether waiting can help.
pub fn choose_server(
    view: &PlacementView<'_>,
    request: &PlacementRequest<'_>,
    now: Instant,
) -> Result<Placement, PlacementError> {
    let candidates = candidates(view, request, now);
    if candidates.is_empty() {
        return Err(if let Some(until) = first_rest_end(view, request, now) {
            PlacementError::Resting(until)
        } else if has_servers_elsewhere(view, request) {
            PlacementError::RegionBound
        } else {
            PlacementError::NoServer
        });
    }
    let context = RequestContext {
        candidates: &candidates,
        homes: homes(&candidates, request.shape),
        hits: view.prefix_index.lookup(request.shape, now),
        shared_tokens: request.shape.shared_tokens(),
        risk_start: request.time_left.mul_f64(RISK_THRESHOLD),
        speeds: Some(&view.loads.speeds).filter(|s| s.reports(request.service)),
    };
    let mut fastest = Fastest::default();
    let mut best: Option<(Placement, f64)> = None;
    let mut full = HomeServers::new();
    let mut soonest: Option<(u32, ServerId)> = None;
    let mut prefix_limited = false;
    for candidate in &candidates {
        let speed = CandidateSpeed::of(candidate, &context, now);
        let evaluated = evaluate(request, candidate, &context, speed, now);
        if let Some(speed) = speed {
            fastest.record(candidate.server, speed, evaluated.as_ref().err());
        }
        match evaluated {
            Ok(found) if best.is_none_or(|(_, cost)| found.1 < cost) => best = Some(found),
            Ok(_) | Err(Rejection::TooLong) => {}
            Err(Rejection::Full { queued }) => {
                full.push(candidate.server);
                if soonest.is_none_or(|(least, _)| queued < least) {
                    soonest = Some((queued, candidate.server));
                }
            }
            Err(Rejection::Reserved | Rejection::TooSlow) => full.push(candidate.server),
            Err(Rejection::PrefixLimit) => prefix_limited = true,
        }
    }
    match best {
        Some((placement, _)) => Ok(Placement {
            fetch: fetch(request, &context, placement.server),
            speed: placement.speed.map(|speed| fastest.compare(speed)),
            ..placement
        }),
        None if full.is_empty() => Err(PlacementError::TooLong),
        None if prefix_limited => Err(PlacementError::HomesFull(full)),
        None => Err(PlacementError::AllFull(soonest.map(|(_, server)| server))),
    }
}

fn candidates<'a>(
    view: &PlacementView<'a>,
    request: &PlacementRequest<'_>,
    now: Instant,
) -> Vec<Candidate<'a>> {
    let mut loads = view.loads.cursor();
    // There are far fewer failure domains than servers.
    let mut places: SmallVec<[Place; 8]> = SmallVec::new();
    view.registry
        .entries()
        .filter(|(id, entry)| {
            takes_requests(view, request, *id, entry)
                && view.notices.availability(*id, entry, now) == Availability::Available
        })
        .filter_map(|(server, entry)| {
            let load = loads.find(server);
            if load.is_down(now) || !has_spare(view, request, (server, entry), load, now) {
                return None;
            }
            let domain = entry.registration.domain;
            let known = places.iter().find(|p| p.domain == domain).copied();
            let place = known.unwrap_or_else(|| {
                let place = place(view, request, domain);
                places.push(place);
                place
            });
            place.is_allowed.then_some(Candidate {
                server,
                load,
                tier: place.tier,
                region: place.region,
                version: entry.registration.version,
                slots: entry.registration.slots,
            })
        })
        .collect()
}

/// Returns whether a server provides the service and takes the request, as far as its registration tells.
fn takes_requests(
    view: &PlacementView<'_>,
    request: &PlacementRequest<'_>,
    server: ServerId,
    entry: &RegistryEntry,
) -> bool {
    entry.registration.service == request.service
        && !entry.registration.draining
        && !request.excluded.contains(&server)
        && request
            .version
            .is_none_or(|v| v == entry.registration.version && !view.doubts.is_doubted(server))
}

/// Returns when the first server that the request may use takes requests again.
fn first_rest_end(
    view: &PlacementView<'_>,
    request: &PlacementRequest<'_>,
    now: Instant,
) -> Option<Instant> {
    let usable = view.registry.entries().filter(|(id, entry)| {
        takes_requests(view, request, *id, entry)
            && !view.loads.is_down(*id, now)
            && place(view, request, entry.registration.domain).is_allowed
    });
    let ends = usable.filter_map(
        |(id, entry)| match view.notices.availability(id, entry, now) {
            Availability::Resting(until) => Some(until),
            Availability::Trial => Some(now),
            Availability::Available | Availability::Leaving => None,
        },
    );
    ends.min()
}

/// Where a failure domain is, as a request sees it.
#[derive(Debug, Clone, Copy)]
struct Place {
    domain: DomainId,
    region: Option<RegionId>,
    /// Index among the round trips.
    tier: usize,
    /// Its servers may get the request.
    is_allowed: bool,
}

fn place(view: &PlacementView<'_>, request: &PlacementRequest<'_>, domain: DomainId) -> Place {
    Place {
        domain,
        region: view.eligibility.region(domain),
        tier: tier(view, domain),
        is_allowed: view.eligibility.allows(request.allowed_regions, domain),
    }
}

/// Returns whether servers of the service are registered in regions in which the request may not be served.
fn has_servers_elsewhere(view: &PlacementView<'_>, request: &PlacementRequest<'_>) -> bool {
    view.registry.entries().any(|(_, entry)| {
        let registration = &entry.registration;
        registration.service == request.service
            && !view
                .eligibility
                .is_within(request.allowed_regions, registration.domain)
    })
}

fn tier(view: &PlacementView<'_>, domain: DomainId) -> usize {
    if domain == view.location.domain {
        return 0;
    }
    if view.eligibility.region(domain) == Some(view.location.region) {
        1
    } else {
        2
    }
}

/// Returns the servers that cache the request's shared prefix, in the order in which every instance tries them.
///
/// The first one is the home. When it is at capacity, all instances go on to the same second server, which then caches
/// the prefix too; so a family has as many copies as its load needs.
fn homes(candidates: &[Candidate<'_>], shape: &Shape) -> Vec<ServerId> {
    let Some(family) = shape.shared_prefix() else {
        return Vec::new();
    };
    let nearest = candidates.iter().map(|c| c.tier).min().unwrap_or(0);
    let widest_tier = if shape.shared_tokens() >= FLEET_WIDE_TOKENS {
        FLEET_TIER
    } else {
        nearest
    };
    let within = candidates.iter().filter(|c| c.tier <= widest_tier);
    let mut ranked: Vec<(u64, ServerId)> = within
        .map(|c| (mix(family.0 ^ c.server.0), c.server))
        .collect();
    if ranked.len() > MAX_RANKED {
        ranked.select_nth_unstable_by(MAX_RANKED, |a, b| b.cmp(a));
        ranked.truncate(MAX_RANKED);
    }
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.into_iter().map(|(_, server)| server).collect()
}

/// Why a server can't take a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Rejection {
    /// It is at capacity.
    Full {
        /// Prefill cost there until the request's first token, in tokens of a server of usual speed.
        queued: u32,
    },
    /// It is reserved for requests that go before.
    Reserved,
    /// The request would be late there even without other work.
    TooLong,
    /// The request would be in time there at the usual speed, but isn't at the present one.
    TooSlow,
    /// It isn't among the servers that may prefill the shared prefix for this account.
    PrefixLimit,
}

/// Returns the placement on one candidate and its cost in seconds.
fn evaluate(
    request: &PlacementRequest<'_>,
    candidate: &Candidate<'_>,
    context: &RequestContext<'_>,
    speed: Option<CandidateSpeed>,
    now: Instant,
) -> Result<(Placement, f64), Rejection> {
    let homes = &context.homes;
    let home = homes.first().copied();
    let uncached = uncached_tokens(request, context, candidate.server);
    let own_tokens = request
        .shape
        .prompt_tokens
        .saturating_sub(context.shared_tokens);
    let duplicate = uncached.saturating_sub(own_tokens);
    let rank = homes.iter().position(|h| *h == candidate.server);
    let rank = rank.unwrap_or(homes.len());
    if duplicate >= LONG_PREFIX_TOKENS && rank >= request.max_copies {
        return Err(Rejection::PrefixLimit);
    }
    if request.reserved.contains(&candidate.server) {
        return Err(Rejection::Reserved);
    }
    let load = candidate.load.snapshot(now);
    let total = load.total;
    let prefill = request.shape.prefill_cost(uncached);
    let queued = load.backlog.saturating_add(prefill);
    let full = Rejection::Full {
        queued: speed.map_or(queued, |s| s.scaled(queued)),
    };
    let capacity = capacity(request, candidate);
    if f64::from(total.running) + 1.0 > (capacity * request.capacity_fraction).max(1.0) {
        return Err(full);
    }
    let kv_tokens = kv_tokens(request.shape, uncached);
    if let Some(engine) = request.engine
        && total.running > 0
        && f64::from(total.kv_tokens.saturating_add(kv_tokens))
            > f64::from(engine.kv_capacity) * KV_FRACTION * request.capacity_fraction
    {
        return Err(full);
    }
    let base = request
        .engine
        .map_or(Duration::ZERO, |_| request.ttft.base_latency);
    let round_trip = ROUND_TRIPS[candidate.tier];
    let own_time = base + request.ttft.prefill_time(prefill);
    let baseline = base + request.ttft.prefill_time(queued) + round_trip;
    let (expected, unloaded) = expected_times(speed, load.slowdown, baseline, own_time, round_trip);
    let (limit, objective) = (request.latency_limit, request.full_objective);
    if !limit.allows(expected, unloaded, request.time_left, objective) {
        return Err(if limit.is_too_long(unloaded, objective) {
            Rejection::TooLong
        } else {
            full
        });
    }
    // A slow server gets nothing that would have been in time at the usual speed, also if it was queued since; a retry takes
    // what there is.
    let is_slow = speed.is_some_and(|s| s.factor() > 1.0);
    let is_late = expected > request.time_left && own_time + round_trip <= request.full_objective;
    if is_slow && is_late && request.excluded.is_empty() {
        return Err(Rejection::TooSlow);
    }
    let placement = Placement {
        server: candidate.server,
        work: Work {
            running: 1,
            pending_prefill: prefill,
            kv_tokens,
            total_prefill: 0,
        },
        queued_prefill: queued,
        round_trip,
        baseline_ttft: baseline,
        expected_ttft: expected,
        unloaded_ttft: unloaded,
        duplicate_prefill: duplicate,
        spilled: home.is_some_and(|h| h != candidate.server),
        fetch: None,
        speed: speed.map(|s| s.placed(total.running < candidate.slots)),
    };
    let utilization = f64::from(total.running) / capacity;
    let cost = cost(
        &placement,
        context.risk_start,
        rank,
        utilization,
        load.failure_rate,
    );
    let adjustment = speed.map_or(0.0, |speed| match request.engine {
        Some(_) => speed.engine_adjustment(own_time),
        None => speed.plain_adjustment(total.running, candidate.slots, utilization),
    });
    Ok((placement, cost + adjustment))
}

/// Returns the cost of a placement to its request and to others, in seconds.
///
/// `rank` is the server's position in the family's order, `utilization` the used fraction of its capacity, `failure_rate`
/// its recent fraction of failed requests.
fn cost(
    placement: &Placement,
    risk_start: Duration,
    rank: usize,
    utilization: f64,
    failure_rate: f64,
) -> f64 {
    let risk = placement.expected_ttft.saturating_sub(risk_start);
    placement.expected_ttft.as_secs_f64()
        + DUPLICATE_TOKEN_COST_S * f64::from(placement.duplicate_prefill)
        + RISK_WEIGHT * risk.as_secs_f64()
        + FULL_BATCH_COST.as_secs_f64() * utilization * utilization
        + RANK_COST.as_secs_f64() * rank as f64
        + FAILURE_COST.as_secs_f64() * failure_rate
}

/// Returns whether a request would be late on any server, and waits for hardly any other work on its own.
///
/// A prompt can be so long that its prefill alone takes most of the time. It delays several other requests, so it is
/// served only while nothing else is queued.
pub fn is_prefill_bound(placement: &Placement, time: Duration) -> bool {
    let wait = placement
        .expected_ttft
        .saturating_sub(placement.unloaded_ttft);
    placement.unloaded_ttft > time.mul_f64(PREFILL_BOUND_FRACTION)
        && wait <= time.mul_f64(MAX_WAIT_FRACTION)
}

/// Returns the number of concurrent requests that the server may have.
fn capacity(request: &PlacementRequest<'_>, candidate: &Candidate<'_>) -> f64 {
    let own = f64::from(candidate.slots.max(1));
    match request.engine {
        Some(engine) => own.min(f64::from(engine.slots)),
        None => own * (1.0 + PLAIN_QUEUE_FRACTION),
    }
}

/// Returns the prompt tokens that the server must prefill.
fn uncached_tokens(
    request: &PlacementRequest<'_>,
    context: &RequestContext<'_>,
    server: ServerId,
) -> u32 {
    let cached = context.hits.iter().find(|(id, _)| *id == server);
    let cached = cached.map_or(0, |(_, tokens)| *tokens);
    let retained = if context.homes.first() == Some(&server) {
        cached.max(context.shared_tokens)
    } else {
        cached
    };
    request.shape.prompt_tokens.saturating_sub(retained)
}

/// Returns the tokens that the request occupies in the engine's KV memory besides what is cached there.
fn kv_tokens(shape: &Shape, uncached: u32) -> u32 {
    uncached.saturating_add(shape.expected_output())
}
