//! Work in flight at each backend server, from this instance and from the others, and the health of the servers.
//!
//! An instance knows exactly what it sent itself, and what the others sent from their last report, a fraction of a second
//! old. A server's own report comes with its responses and includes work that no instance accounts for. Health is judged
//! by the outcome of requests, never by the server's report alone.

use std::collections::{BTreeMap, btree_map};
use std::iter::Peekable;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::load_parts::{PartKey, REST_OF_FLEET, Scope, WorkPart};
use super::remote_work::RemoteWork;
use super::server_speed::{BelievedSpeed, ServerSpeed, SpeedFigure, SpeedTable};
use crate::ident::{InstanceId, ServerId};

/// Age up to which a server's own report is used beside what is known of its work.
const SERVER_REPORT_TTL: Duration = Duration::from_millis(300);
/// Backoff after the first failed connection to a server; each further failure doubles it.
const MIN_BACKOFF: Duration = Duration::from_millis(400);
/// Maximum backoff, so that a server that is back gets work soon.
const MAX_BACKOFF: Duration = Duration::from_secs(3);
/// Half-life of a server's failure rate and slowdown without new responses.
const RECOVERY_HALF_LIFE: Duration = Duration::from_secs(2);
/// Prefill tokens begun or finished here since the last report, from which a report is sent at once. An instance that
/// hears late of a long prompt sends short ones behind it.
const BROADCAST_TOKENS: u32 = 2_000;
/// Weight of the newest response in a server's slowdown.
const SLOWDOWN_WEIGHT: f64 = 0.1;
/// Bound of a server's slowdown, as a factor in both directions.
const MAX_SLOWDOWN: f64 = 6.0;
/// Weight of the newest response in a server's failure rate.
const FAILURE_WEIGHT: f64 = 0.12;

/// Work in flight at one server.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct Work {
    /// Number of requests.
    pub running: u32,
    /// Prefill cost of requests without a first token yet, in tokens.
    pub pending_prefill: u32,
    /// Tokens that the requests occupy in the server's KV memory.
    pub kv_tokens: u32,
    /// Prefill cost of all prompts that the reporting instance ever sent there, in tokens; wraps around.
    pub total_prefill: u32,
}

impl Work {
    /// Adds `other`.
    pub(super) const fn add(&mut self, other: Self) {
        self.running = self.running.saturating_add(other.running);
        self.pending_prefill = self.pending_prefill.saturating_add(other.pending_prefill);
        self.kv_tokens = self.kv_tokens.saturating_add(other.kv_tokens);
        self.total_prefill = self.total_prefill.wrapping_add(other.total_prefill);
    }

    /// Subtracts `other`, except its total, which never falls.
    pub(super) const fn subtract(&mut self, other: Self) {
        self.running = self.running.saturating_sub(other.running);
        self.pending_prefill = self.pending_prefill.saturating_sub(other.pending_prefill);
        self.kv_tokens = self.kv_tokens.saturating_sub(other.kv_tokens);
    }
}

/// Load that a server reports itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ServerReport {
    /// Running requests.
    pub running: u32,
    /// Queued requests.
    pub waiting: u32,
    /// Whether either of these counts could be read; one that could not is 0.
    pub has_counts: bool,
    /// Requests that it runs concurrently.
    pub slots: Option<u32>,
    /// How long work takes there now.
    pub speed: Option<SpeedFigure>,
    /// Figures of the report that could not be read.
    pub unreadable: u8,
}

/// Outcome of a request, as far as it concerns the server's health.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerOutcome {
    /// It responded normally.
    Success,
    /// It failed, broke off or timed out.
    Failed,
    /// It was at capacity, which says nothing about its health.
    Full,
    /// No connection could be made, or another server has its address.
    Unreachable,
}

/// Remaining prefill work of a server.
#[derive(Debug, Clone, Copy, Default)]
struct Backlog {
    tokens: f64,
    /// Tokens per second that a server of usual speed prefills.
    usual_rate: f64,
    /// Tokens per second that this server prefills.
    rate: f64,
    at: Option<Instant>,
}

impl Backlog {
    fn at(&self, now: Instant) -> f64 {
        let time = self.at.map_or(Duration::ZERO, |at| now.duration_since(at));
        (self.tokens - self.rate * time.as_secs_f64()).max(0.0)
    }

    /// Sets the rate of a server that takes `factor` times as long as one that prefills `usual_rate`.
    fn set_rate(&mut self, usual_rate: f64, factor: f64) {
        self.usual_rate = usual_rate;
        self.rate = usual_rate / factor;
    }

    fn add(&mut self, effort: u32, now: Instant) {
        self.tokens = self.at(now) + f64::from(effort);
        self.at = Some(now);
    }
}

/// Ratio of a server's times to first token to the expected ones.
#[derive(Debug, Clone, Copy)]
struct Slowdown {
    factor: f64,
    at: Option<Instant>,
}

impl Default for Slowdown {
    fn default() -> Self {
        Self {
            factor: 1.0,
            at: None,
        }
    }
}

impl Slowdown {
    fn observe(&mut self, expected: Duration, time: Duration, now: Instant) {
        let sample = time.as_secs_f64() / expected.as_secs_f64().max(0.001);
        let sample = sample.clamp(1.0 / MAX_SLOWDOWN, MAX_SLOWDOWN);
        self.factor = self.at(now) * (1.0 - SLOWDOWN_WEIGHT) + sample * SLOWDOWN_WEIGHT;
        self.at = Some(now);
    }

    /// Returns the slowdown at `now`. Without responses it returns to 1, so that the server is tried again.
    fn at(&self, now: Instant) -> f64 {
        let Some(at) = self.at else {
            return 1.0;
        };
        let age = now.duration_since(at);
        let weight = 0.5_f64.powf(age.as_secs_f64() / RECOVERY_HALF_LIFE.as_secs_f64());
        1.0 + (self.factor - 1.0) * weight
    }
}

#[derive(Debug, Clone, Default)]
struct Server {
    local: Work,
    backlog: Backlog,
    slowdown: Slowdown,
    report: Option<(ServerReport, Instant)>,
    failure_rate: f64,
    judged_at: Option<Instant>,
    down_until: Option<Instant>,
    down_count: u32,
}

impl Server {
    /// Returns local work and that of `remote` instances.
    fn total(&self, remote: Work, now: Instant) -> Work {
        let mut work = self.local;
        work.add(remote);
        if let Some((report, at)) = self.report
            && now.duration_since(at) < SERVER_REPORT_TTL
        {
            let reported = report.running.saturating_add(report.waiting);
            work.running = work.running.max(reported);
        }
        work
    }
}

/// Load and health of one server at an instant.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadSnapshot {
    /// All work in flight there.
    pub total: Work,
    /// Remaining prefill cost, in tokens.
    pub backlog: u32,
    /// Ratio of its times to first token to the expected ones.
    pub slowdown: f64,
    /// Recent fraction of failed requests.
    pub failure_rate: f64,
}

/// What is known of one server.
#[derive(Debug, Clone, Copy)]
pub struct KnownLoad<'a> {
    local: Option<&'a Server>,
    remote: Work,
    speed: Option<&'a ServerSpeed>,
}

impl KnownLoad<'_> {
    /// Returns load and health of the server.
    pub fn snapshot(&self, now: Instant) -> LoadSnapshot {
        let Some(state) = self.local else {
            return LoadSnapshot {
                total: self.remote,
                backlog: 0,
                slowdown: 1.0,
                failure_rate: 0.0,
            };
        };
        let total = state.total(self.remote, now);
        LoadSnapshot {
            total,
            backlog: state.backlog.at(now).min(f64::from(total.pending_prefill)) as u32,
            slowdown: state.slowdown.at(now),
            failure_rate: decayed_failure_rate(state, now),
        }
    }

    /// Returns what is believed of the server's speed.
    pub fn speed(&self, now: Instant) -> BelievedSpeed {
        self.speed
            .map_or(BelievedSpeed::USUAL, |speed| speed.believed(now))
    }

    /// Returns whether the server gets no work now because it couldn't be reached.
    ///
    /// After its backoff it gets one request, and further ones only after a response to that.
    pub fn is_down(&self, now: Instant) -> bool {
        let Some(state) = self.local else {
            return false;
        };
        match state.down_until {
            Some(until) => now < until || state.local.running > 0,
            None => false,
        }
    }
}

/// Finds servers in the order of their identifiers, without a search for each.
#[derive(Debug)]
pub struct LoadCursor<'a> {
    local: Peekable<btree_map::Iter<'a, ServerId, Server>>,
    remote: Peekable<btree_map::Iter<'a, ServerId, Work>>,
    speeds: Peekable<btree_map::Iter<'a, ServerId, ServerSpeed>>,
}

impl<'a> LoadCursor<'a> {
    /// Returns what is known of `server`, which comes after all servers that were asked for before.
    pub fn find(&mut self, server: ServerId) -> KnownLoad<'a> {
        KnownLoad {
            local: advance_to(&mut self.local, server),
            remote: advance_to(&mut self.remote, server)
                .copied()
                .unwrap_or_default(),
            speed: advance_to(&mut self.speeds, server),
        }
    }
}

fn advance_to<'a, T>(
    entries: &mut Peekable<btree_map::Iter<'a, ServerId, T>>,
    server: ServerId,
) -> Option<&'a T> {
    while entries.next_if(|(id, _)| **id < server).is_some() {}
    let found = entries.peek().filter(|(id, _)| **id == server);
    found.map(|(_, value)| *value)
}

/// Load and health of every server.
#[derive(Debug, Clone, Default)]
pub struct LoadTracker {
    servers: BTreeMap<ServerId, Server>,
    remote: RemoteWork,
    unreported: u32,
    /// Latest known prefill rate of servers, in tokens per second.
    rate: f64,
    /// How long work takes at the servers.
    pub speeds: SpeedTable,
}

impl LoadTracker {
    /// Records a request sent to `server`, which prefills `rate` tokens per second as far as is known.
    pub fn begin(&mut self, server: ServerId, work: Work, rate: f64, now: Instant) {
        self.unreported = self.unreported.saturating_add(work.pending_prefill);
        self.rate = rate;
        self.speeds.record_decision();
        // A momentary figure would count until the next request, long after it has faded.
        let lasting = self.speeds.get(server).map(|s| s.believed(now).lasting);
        let state = self.servers.entry(server).or_default();
        state.local.add(work);
        state.local.total_prefill = state.local.total_prefill.wrapping_add(work.pending_prefill);
        let factor = lasting.unwrap_or_else(|| state.slowdown.at(now));
        state.backlog.set_rate(rate, factor);
        state.backlog.add(work.pending_prefill, now);
    }

    /// Returns the remaining prefill cost at `server`, in tokens.
    ///
    /// A server prefills one prompt after the other, so its backlog drains at the prefill rate. If a long prompt counted in
    /// full until its first token, a server that has nearly finished it would look busy.
    pub fn backlog(&self, server: ServerId, now: Instant) -> u32 {
        self.snapshot(server, now).backlog
    }

    /// Returns load and health of `server` with a single lookup.
    pub fn snapshot(&self, server: ServerId, now: Instant) -> LoadSnapshot {
        self.known(server).snapshot(now)
    }

    fn known(&self, server: ServerId) -> KnownLoad<'_> {
        KnownLoad {
            local: self.servers.get(&server),
            remote: self.remote.at(server),
            speed: self.speeds.get(server),
        }
    }

    /// Returns a cursor over all servers.
    pub fn cursor(&self) -> LoadCursor<'_> {
        LoadCursor {
            local: self.servers.iter().peekable(),
            remote: self.remote.sums().peekable(),
            speeds: self.speeds.by_server().peekable(),
        }
    }

    /// Records that the first token from `server` took `time` instead of `expected`.
    pub fn observe_latency(
        &mut self,
        server: ServerId,
        expected: Duration,
        time: Duration,
        now: Instant,
    ) {
        let state = self.servers.entry(server).or_default();
        state.slowdown.observe(expected, time, now);
    }

    /// Removes a part of the work that [`Self::begin`] added.
    pub fn end(&mut self, server: ServerId, work: Work) {
        self.unreported = self.unreported.saturating_add(work.pending_prefill);
        if let Some(state) = self.servers.get_mut(&server) {
            state.local.subtract(work);
        }
    }

    /// Returns all known work in flight at `server`.
    pub fn total(&self, server: ServerId, now: Instant) -> Work {
        self.snapshot(server, now).total
    }

    /// Returns whether this instance's work should be reported before the next regular report.
    pub const fn needs_broadcast(&self) -> bool {
        self.unreported >= BROADCAST_TOKENS
    }

    /// Marks this instance's work as reported.
    pub const fn mark_broadcast(&mut self) {
        self.unreported = 0;
    }

    /// Returns this instance's work, to report to others.
    pub fn local(&self) -> Vec<(ServerId, Work)> {
        let busy = self.servers.iter().filter(|(_, s)| s.local.running > 0);
        busy.map(|(id, s)| (*id, s.local)).collect()
    }

    /// Returns the total work of this instance and the `members` of its failure domain.
    pub fn domain_sum(&self, members: &[InstanceId]) -> Vec<(ServerId, Work)> {
        let mut all = self.remote.sum_of(members);
        self.add_local(&mut all);
        all.into_iter().collect()
    }

    /// Returns the work of the whole fleet, as far as it is known here.
    pub fn fleet_sum(&self) -> BTreeMap<ServerId, Work> {
        let mut all = self.remote.sum();
        self.add_local(&mut all);
        all
    }

    /// Returns `fleet_sum` without what `member` reported.
    pub fn fleet_without(
        &self,
        fleet_sum: &BTreeMap<ServerId, Work>,
        member: InstanceId,
    ) -> Vec<(ServerId, Work)> {
        let mut all = fleet_sum.clone();
        for (server, own) in self.remote.sum_of(&[member]) {
            if let Some(sum) = all.get_mut(&server) {
                sum.subtract(own);
                sum.total_prefill = sum.total_prefill.wrapping_sub(own.total_prefill);
            }
        }
        all.into_iter().filter(|(_, w)| w.running > 0).collect()
    }

    fn add_local(&self, all: &mut BTreeMap<ServerId, Work>) {
        for (server, work) in self.local() {
            all.entry(server).or_default().add(work);
        }
    }

    /// Replaces what a peer reported before with its new report.
    pub fn apply_peer_report(
        &mut self,
        peer: InstanceId,
        work: Vec<(ServerId, Work)>,
        now: Instant,
    ) {
        self.replace_remote(PartKey::whole(peer), peer, work, now);
    }

    /// Replaces a part of the report of `sender`.
    pub fn apply_part(&mut self, sender: InstanceId, part: WorkPart, now: Instant) {
        let key = part.key(sender);
        if part.scope == Scope::RestOfFleet {
            self.remote.retain_rest_of_fleet();
        }
        self.remote.remove_from(key.origin, part.parts);
        self.replace_remote(key, part.scope.counters(sender), part.work, now);
    }

    /// Forgets what a relay reported of the rest of the fleet.
    pub fn remove_rest_of_fleet(&mut self) {
        self.remote.remove_from(REST_OF_FLEET, 0);
    }

    fn replace_remote(
        &mut self,
        key: PartKey,
        reporter: InstanceId,
        work: Vec<(ServerId, Work)>,
        now: Instant,
    ) {
        // Only new work joins the backlog, not what was prefilled since.
        for (server, begun) in self.remote.replace(key, reporter, work, now) {
            let lasting = self.speeds.get(server).map(|s| s.believed(now).lasting);
            let backlog = &mut self.servers.entry(server).or_default().backlog;
            // Without a rate, the backlog of a server that this instance has not used would never drain, and the server would
            // never be used.
            if backlog.usual_rate <= 0.0 {
                backlog.set_rate(self.rate, lasting.unwrap_or(1.0));
            } else if let Some(lasting) = lasting {
                backlog.set_rate(backlog.usual_rate, lasting);
            }
            backlog.add(begun, now);
        }
    }

    /// Drops silent peers, and servers for which `keep` returns false.
    pub fn sweep(&mut self, keep: impl Fn(ServerId) -> bool, now: Instant) {
        self.remote.sweep(&keep, now);
        self.servers
            .retain(|id, s| s.local.running > 0 || keep(*id));
    }

    /// Applies a server's own report; one without a readable count leaves the previous one in force.
    pub fn apply_server_report(&mut self, server: ServerId, report: ServerReport, now: Instant) {
        if !report.has_counts {
            return;
        }
        self.servers.entry(server).or_default().report = Some((report, now));
    }

    /// Records the outcome of a request.
    pub fn record_outcome(&mut self, server: ServerId, outcome: ServerOutcome, now: Instant) {
        let state = self.servers.entry(server).or_default();
        match outcome {
            ServerOutcome::Success => {
                state.failure_rate = decayed_failure_rate(state, now) * (1.0 - FAILURE_WEIGHT);
                state.judged_at = Some(now);
                state.down_count = 0;
                state.down_until = None;
            }
            ServerOutcome::Failed => {
                state.failure_rate =
                    decayed_failure_rate(state, now) * (1.0 - FAILURE_WEIGHT) + FAILURE_WEIGHT;
                state.judged_at = Some(now);
            }
            ServerOutcome::Full => {}
            ServerOutcome::Unreachable => {
                let time = MIN_BACKOFF * 2_u32.saturating_pow(state.down_count);
                state.down_until = Some(now + time.min(MAX_BACKOFF));
                state.down_count = (state.down_count + 1).min(8);
            }
        }
    }

    /// Returns whether `server` gets no work now because it couldn't be reached.
    pub fn is_down(&self, server: ServerId, now: Instant) -> bool {
        self.known(server).is_down(now)
    }
}

fn decayed_failure_rate(server: &Server, now: Instant) -> f64 {
    let Some(judged_at) = server.judged_at.filter(|_| server.failure_rate > 0.0) else {
        return 0.0;
    };
    let age = now.duration_since(judged_at).as_secs_f64();
    server.failure_rate * 0.5_f64.powf(age / RECOVERY_HALF_LIFE.as_secs_f64())
}
