//! Chooses the backend server for a request.
//!
//! Load pattern: prompts come in families that share a long beginning. Whoever reads it again pays
//! for it in engine time, so a family has a *home* server that every instance works out alone by
//! rendezvous hashing, and goes elsewhere only when the home is busier than reading anew costs.
//! Families with a short shared part have a home in each failure domain, since carrying the request
//! there costs more than one more reading; long ones have one home in the whole fleet.
//!
//! Each candidate gets an expected time to the first token. What a server can't hold besides what
//! is under way is no candidate; when none is left, the request waits.

use std::time::{Duration, Instant};

use smallvec::SmallVec;

use super::catalog::Engine;
use super::loads::{LoadTracker, Work};
use super::prefix_index::{PrefixHits, PrefixIndex};
use super::registry::Registry;
use super::shape::Shape;
use super::ttft::TtftModel;
use crate::ident::{DomainId, RegionId, ServerId, ServiceId, mix};

/// Shared tokens from which a family has one home in the whole fleet: reading them costs more than the way.
const FLEET_WIDE: u32 = 2_000;
/// Tokens of a shared part from which reading it again takes more of an engine than most requests do.
const LONG_SHARED: u32 = 1_500;
/// Round trip to the own failure domain, to another one of the region, and to another region.
const ROUND_TRIPS: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_millis(3),
    Duration::from_millis(60),
];
/// What reading a shared token again costs beside its own time, in seconds a token: the engine does it
/// in place of other requests' work.
const REREAD: f64 = 200e-6;
/// Servers of a family that are taken in order; beyond them, load alone decides.
const RANKED: usize = 10;
/// What each further place in that order costs: little beside a prompt's reading, much beside the
/// differences between idle servers.
const RANK: Duration = Duration::from_millis(10);
/// Part of the objective from which an expected begin counts as at risk.
const AT_RISK: f64 = 0.6;
/// Times by which each second at risk counts more than one before.
const RISK: f64 = 3.0;
/// Part of the time from which a prompt's own reading makes a request a long one.
const LONG: f64 = 0.6;
/// Part of the time for which a long request may have others before it.
const LONG_WAIT: f64 = 0.2;
/// Time that an answer takes longer on a server whose slots are nearly all taken: a step of a full
/// batch takes some milliseconds more, over the tokens of one event and the wait for a place.
const CROWDED: Duration = Duration::from_millis(120);
/// What a failure costs a request in time: about the objective and a second try.
const FAILURE: Duration = Duration::from_millis(1_500);
/// Part of an engine's memory that requests may take; the rest keeps shared prefixes.
const MEMORY_PART: f64 = 0.65;
/// Requests at a plain server beyond its slots: they wait there for about half a request's time.
const PLAIN_QUEUE: f64 = 0.5;

/// Where this instance stands.
#[derive(Debug, Clone, Copy)]
pub struct Location {
    /// Its failure domain.
    pub domain: DomainId,
    /// Its region.
    pub region: RegionId,
}

/// What a choice looks at.
#[derive(Debug)]
pub struct PlacementView<'a> {
    /// Servers.
    pub registry: &'a Registry,
    /// Their work.
    pub loads: &'a LoadTracker,
    /// What they have read.
    pub prefix_index: &'a PrefixIndex,
    /// Where this instance stands.
    pub location: Location,
    /// Region of each failure domain.
    pub regions: &'a [(DomainId, RegionId)],
}

/// A request that needs a server.
#[derive(Debug, Clone, Copy)]
pub struct PlacementRequest<'a> {
    /// Service that serves it.
    pub service: ServiceId,
    /// Set where model engines serve it.
    pub engine: Option<Engine>,
    /// Its size.
    pub shape: &'a Shape,
    /// Servers that had it before.
    pub excluded: &'a [ServerId],
    /// Servers for which others wait that go before it.
    pub reserved: &'a [ServerId],
    /// How long the service's engines take to a first token.
    pub ttft: TtftModel,
    /// Time that is left of the objective.
    pub time_left: Duration,
    /// The whole objective.
    pub full_objective: Duration,
    /// Part of a server's room and of the objective that the request may take.
    pub capacity_fraction: f64,
    /// Servers of its family, in their order, to which it may go though a long shared part may have to be
    /// read again there.
    pub max_copies: usize,
}

/// The server chosen.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Placement {
    /// The server.
    pub server: ServerId,
    /// What the request adds to the server's work.
    pub work: Work,
    /// Effort of the reading before its first token, its own included, in tokens.
    pub queued_prefill: u32,
    /// Round trip to the server.
    pub round_trip: Duration,
    /// Time to the first token if the server is as fast as the others.
    pub baseline_ttft: Duration,
    /// Expected time to the first token.
    pub expected_ttft: Duration,
    /// The same if nothing were before it there.
    pub unloaded_ttft: Duration,
    /// Tokens of shared parts that the server must read though another one keeps them.
    pub duplicate_prefill: u32,
    /// It goes to another server than the one that keeps its shared prefix.
    pub spilled: bool,
}

/// Servers for which a request waits.
pub type HomeServers = SmallVec<[ServerId; 2]>;

/// Why no server was chosen.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlacementError {
    /// The service has no server that could ever take it.
    NoServer,
    /// All servers that could take it are full.
    AllFull,
    /// The few servers that may read its shared prefix are full, and it goes to no other.
    HomesFull(HomeServers),
    /// It would be late even if nothing were before it.
    TooLong,
}

/// What is the same for all candidates of one request.
struct Known {
    homes: Vec<ServerId>,
    keepers: PrefixHits,
    shared: u32,
}

struct Candidate {
    server: ServerId,
    tier: usize,
    slots: u32,
}

/// Chooses the server with the least expected time to the first token.
///
/// # Errors
/// [`PlacementError`] says whether waiting can help.
pub fn choose_server(
    view: &PlacementView<'_>,
    ask: &PlacementRequest<'_>,
    now: Instant,
) -> Result<Placement, PlacementError> {
    let candidates = candidates(view, ask, now);
    if candidates.is_empty() {
        return Err(PlacementError::NoServer);
    }
    let known = Known {
        homes: homes(&candidates, ask.shape),
        keepers: view.prefix_index.lookup(ask.shape, now),
        shared: ask.shape.shared_tokens(),
    };
    let mut best: Option<(Placement, f64)> = None;
    let mut full = HomeServers::new();
    let mut kept_out = false;
    for candidate in &candidates {
        match weigh(view, ask, candidate, &known, now) {
            Ok(found) if best.is_none_or(|(_, cost)| found.1 < cost) => best = Some(found),
            Ok(_) | Err(Unfit::TooLong) => {}
            Err(Unfit::Full) => full.push(candidate.server),
            Err(Unfit::Copies) => kept_out = true,
        }
    }
    match best {
        Some((choice, _)) => Ok(choice),
        None if full.is_empty() => Err(PlacementError::TooLong),
        None if kept_out => Err(PlacementError::HomesFull(full)),
        None => Err(PlacementError::AllFull),
    }
}

fn candidates(
    view: &PlacementView<'_>,
    ask: &PlacementRequest<'_>,
    now: Instant,
) -> Vec<Candidate> {
    let usable = |id: &ServerId| !ask.excluded.contains(id) && !view.loads.is_down(*id, now);
    view.registry
        .entries()
        .filter(|(id, known)| {
            known.registration.service == ask.service && !known.registration.draining && usable(id)
        })
        .map(|(server, known)| Candidate {
            server,
            tier: tier(view, known.registration.domain),
            slots: known.registration.slots,
        })
        .collect()
}

fn tier(view: &PlacementView<'_>, domain: DomainId) -> usize {
    if domain == view.location.domain {
        return 0;
    }
    let region = view.regions.iter().find(|(d, _)| *d == domain);
    if region.is_some_and(|(_, r)| *r == view.location.region) {
        1
    } else {
        2
    }
}

/// The servers that keep the request's shared prefix, in the order in which every instance takes them.
///
/// The first one is its home. When that is full, all instances go on to the same second one, which
/// therefore keeps the prefix too; so a family has as many copies as its load needs.
fn homes(candidates: &[Candidate], shape: &Shape) -> Vec<ServerId> {
    let Some(family) = shape.shared_prefix() else {
        return Vec::new();
    };
    let nearest = candidates.iter().map(|c| c.tier).min().unwrap_or(0);
    let reach = if shape.shared_tokens() >= FLEET_WIDE {
        2
    } else {
        nearest
    };
    let within = candidates.iter().filter(|c| c.tier <= reach);
    let mut ranked: Vec<(u64, ServerId)> = within
        .map(|c| (mix(family.0 ^ c.server.0), c.server))
        .collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.truncate(RANKED);
    ranked.into_iter().map(|(_, server)| server).collect()
}

/// Why a server can't take a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Unfit {
    /// It has too much under way.
    Full,
    /// The request would be late there with nothing before it.
    TooLong,
    /// Its shared part would be read there once more than its account may ask.
    Copies,
}

/// The choice of one candidate and its cost in seconds.
fn weigh(
    view: &PlacementView<'_>,
    ask: &PlacementRequest<'_>,
    candidate: &Candidate,
    known: &Known,
    now: Instant,
) -> Result<(Placement, f64), Unfit> {
    let homes = &known.homes;
    let home = homes.first().copied();
    let read = to_read(ask, known, candidate.server);
    let unique = ask.shape.prompt_tokens.saturating_sub(known.shared);
    let again = read.saturating_sub(unique);
    let rank = homes.iter().position(|h| *h == candidate.server);
    let rank = rank.unwrap_or(homes.len());
    if again >= LONG_SHARED && rank >= ask.max_copies {
        return Err(Unfit::Copies);
    }
    if ask.reserved.contains(&candidate.server) {
        return Err(Unfit::Full);
    }
    let glance = view.loads.snapshot(candidate.server, now);
    let total = glance.total;
    let room = room(ask, candidate);
    if f64::from(total.running) + 1.0 > (room * ask.capacity_fraction).max(1.0) {
        return Err(Unfit::Full);
    }
    let held = held(ask.shape, read);
    if let Some(engine) = ask.engine
        && total.running > 0
        && f64::from(total.kv_tokens + held)
            > f64::from(engine.kv_capacity) * MEMORY_PART * ask.capacity_fraction
    {
        return Err(Unfit::Full);
    }
    let effort = ask.shape.prefill_cost(read);
    let ahead = glance.backlog + effort;
    let pace = glance.slowdown.max(1.0);
    let first = ask
        .engine
        .map_or(Duration::ZERO, |_| ask.ttft.base_latency());
    let way = ROUND_TRIPS[candidate.tier];
    let usual = first + ask.ttft.prefill_time(ahead) + way;
    let expected = usual.mul_f64(pace);
    let alone = (first + ask.ttft.prefill_time(effort)).mul_f64(pace) + way;
    let allowed = ask.time_left.mul_f64(ask.capacity_fraction);
    if ask.capacity_fraction < 1.0 && expected > allowed {
        return Err(
            if alone > ask.full_objective.mul_f64(ask.capacity_fraction) {
                Unfit::TooLong
            } else {
                Unfit::Full
            },
        );
    }
    let choice = Placement {
        server: candidate.server,
        work: Work {
            running: 1,
            pending_prefill: effort,
            kv_tokens: held,
            total_prefill: 0,
        },
        queued_prefill: ahead,
        round_trip: way,
        baseline_ttft: usual,
        expected_ttft: expected,
        unloaded_ttft: alone,
        duplicate_prefill: again,
        spilled: home.is_some_and(|h| h != candidate.server),
    };
    let full = f64::from(total.running) / room;
    let cost = cost(&choice, ask.time_left, rank, full, glance.failure_rate);
    Ok((choice, cost))
}

/// What a choice costs its request and the others, in seconds.
///
/// `rank` is the server's place among the family's, `full` the part of its room that is taken, `failing` that of
/// its answers that fail.
fn cost(choice: &Placement, objective: Duration, rank: usize, full: f64, failing: f64) -> f64 {
    let risk = choice
        .expected_ttft
        .saturating_sub(objective.mul_f64(AT_RISK));
    choice.expected_ttft.as_secs_f64()
        + REREAD * f64::from(choice.duplicate_prefill)
        + RISK * risk.as_secs_f64()
        + CROWDED.as_secs_f64() * full * full
        + RANK.as_secs_f64() * rank as f64
        + FAILURE.as_secs_f64() * failing
}

/// Tells whether a request is late wherever it goes, and hardly anything is before it at its server.
///
/// A prompt can be so long that its reading alone takes most of the time. It delays several others, so it is served
/// only while nothing else waits.
pub fn is_prefill_bound(choice: &Placement, time: Duration) -> bool {
    let wait = choice.expected_ttft.saturating_sub(choice.unloaded_ttft);
    choice.unloaded_ttft > time.mul_f64(LONG) && wait <= time.mul_f64(LONG_WAIT)
}

/// Requests that the server may have at once.
fn room(ask: &PlacementRequest<'_>, candidate: &Candidate) -> f64 {
    let own = f64::from(candidate.slots.max(1));
    match ask.engine {
        Some(engine) => own.min(f64::from(engine.slots)),
        None => own * (1.0 + PLAIN_QUEUE),
    }
}

/// Prompt tokens that the server must read.
fn to_read(ask: &PlacementRequest<'_>, known: &Known, server: ServerId) -> u32 {
    let seen = known.keepers.iter().find(|(id, _)| *id == server);
    let seen = seen.map_or(0, |(_, tokens)| *tokens);
    let kept = if known.homes.first() == Some(&server) {
        seen.max(known.shared)
    } else {
        seen
    };
    ask.shape.prompt_tokens.saturating_sub(kept)
}

/// Tokens that the request takes in the engine's memory besides what is kept there already.
fn held(shape: &Shape, read: u32) -> u32 {
    read + shape.expected_output()
}
