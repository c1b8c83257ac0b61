//! What is under way at each backend server, here and at the other instances.
//!
//! An instance knows exactly what it sent itself, and what the others sent from their last report,
//! a fraction of a second old. A server's own report rides on its answers and tells of work that
//! nobody here accounts for. Whether a server is sound is judged by what its answers were, never by
//! what it says of itself alone.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::ident::{InstanceId, ServerId};

/// Time for which a peer's last report counts; a peer that is far away in a large fleet reports every
/// 0.8 s, and two of its reports may be lost.
const REPORT_LIFE: Duration = Duration::from_millis(2_500);
/// Age up to which a server's own report counts beside what is known of its work.
const OWN_REPORT_LIFE: Duration = Duration::from_millis(300);
/// First time for which a server that can't be reached gets no work; each further failure doubles it.
const FIRST_DOWN: Duration = Duration::from_millis(400);
/// Longest such time: a server that is back must not stay without work.
const MOST_DOWN: Duration = Duration::from_secs(3);
/// Time in which a server's share of failures falls to half without new ones.
const FORGIVE: Duration = Duration::from_secs(2);
/// Effort of reading begun or done here since the others were told last, from which they are told at
/// once, in tokens: whoever hears late of a long prompt sends short ones behind it.
const TELL_AT: u32 = 2_000;
/// Weight of the newest answer in a server's pace.
const PACE_WEIGHT: f64 = 0.1;
/// Bound of a server's pace, in times of what is expected.
const MOST_PACE: f64 = 6.0;
/// Weight of the newest answer in a server's share of failures.
const NEWEST: f64 = 0.12;

/// Work under way at one server.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct Work {
    /// Requests.
    pub running: u32,
    /// Effort of reading the prompts of requests that have not begun to answer, in tokens.
    pub pending_prefill: u32,
    /// Tokens that the requests take in the server's memory.
    pub kv_tokens: u32,
    /// Effort of all prompts that the teller ever sent there, in tokens; wraps.
    pub total_prefill: u32,
}

impl Work {
    fn add(&mut self, other: Self) {
        self.running += other.running;
        self.pending_prefill += other.pending_prefill;
        self.kv_tokens += other.kv_tokens;
        self.total_prefill = self.total_prefill.wrapping_add(other.total_prefill);
    }

    fn subtract(&mut self, other: Self) {
        self.running = self.running.saturating_sub(other.running);
        self.pending_prefill = self.pending_prefill.saturating_sub(other.pending_prefill);
        self.kv_tokens = self.kv_tokens.saturating_sub(other.kv_tokens);
    }
}

/// What a server says of its load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerReport {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
}

/// How a request to a server ended, as far as the server's soundness goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerOutcome {
    /// It answered as it should.
    Success,
    /// It failed, broke off or stayed silent.
    Failed,
    /// It was full; says nothing of its soundness.
    Full,
    /// No connection could be made, or it is another server by now.
    Unreachable,
}

/// Reading that is left at a server.
#[derive(Debug, Clone, Copy, Default)]
struct Backlog {
    left: f64,
    rate: f64,
    at: Option<Instant>,
}

impl Backlog {
    fn at(&self, now: Instant) -> f64 {
        let time = self.at.map_or(Duration::ZERO, |at| now.duration_since(at));
        (self.left - self.rate * time.as_secs_f64()).max(0.0)
    }

    fn add(&mut self, effort: u32, now: Instant) {
        self.left = self.at(now) + f64::from(effort);
        self.at = Some(now);
    }
}

/// How the times to the first token of a server compare with those expected.
#[derive(Debug, Clone, Copy)]
struct Pace {
    times: f64,
    at: Option<Instant>,
}

impl Default for Pace {
    fn default() -> Self {
        Self {
            times: 1.0,
            at: None,
        }
    }
}

impl Pace {
    fn observe(&mut self, expected: Duration, time: Duration, now: Instant) {
        let sample = time.as_secs_f64() / expected.as_secs_f64().max(0.001);
        let sample = sample.clamp(1.0 / MOST_PACE, MOST_PACE);
        self.times = self.at(now) * (1.0 - PACE_WEIGHT) + sample * PACE_WEIGHT;
        self.at = Some(now);
    }

    /// The pace at `now`: without answers it goes back to the usual one, so that the server is tried again.
    fn at(&self, now: Instant) -> f64 {
        let Some(at) = self.at else {
            return 1.0;
        };
        let age = now.duration_since(at);
        let kept = 0.5_f64.powf(age.as_secs_f64() / FORGIVE.as_secs_f64());
        1.0 + (self.times - 1.0) * kept
    }
}

#[derive(Debug, Clone, Default)]
struct Server {
    own: Work,
    backlog: Backlog,
    pace: Pace,
    report: Option<(ServerReport, Instant)>,
    failing: f64,
    judged: Option<Instant>,
    down: Option<Instant>,
    downs: u32,
}

impl Server {
    /// All work here, with that of `others`.
    fn total(&self, others: Work, now: Instant) -> Work {
        let mut work = self.own;
        work.add(others);
        if let Some((report, at)) = self.report
            && now.duration_since(at) < OWN_REPORT_LIFE
        {
            work.running = work.running.max(report.running + report.waiting);
        }
        work
    }
}

/// One server as a choice sees it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadSnapshot {
    /// All work under way there.
    pub total: Work,
    /// Effort of reading that is left, in tokens.
    pub backlog: u32,
    /// Times that its answers took of what was expected.
    pub slowdown: f64,
    /// Part of its answers that were failures lately.
    pub failure_rate: f64,
}

/// Work and soundness of every server.
#[derive(Debug, Clone, Default)]
pub struct LoadTracker {
    servers: BTreeMap<ServerId, Server>,
    peers: BTreeMap<InstanceId, (Instant, Vec<(ServerId, Work)>)>,
    others: BTreeMap<ServerId, Work>,
    sent: BTreeMap<(InstanceId, ServerId), u32>,
    untold: u32,
    /// Tokens a second that servers read, as far as this instance knows.
    rate: f64,
}

impl LoadTracker {
    /// A request is sent to `server`, which reads `rate` tokens a second as far as is known.
    pub fn begin(&mut self, server: ServerId, work: Work, rate: f64, now: Instant) {
        self.untold = self.untold.saturating_add(work.pending_prefill);
        self.rate = rate;
        let known = self.servers.entry(server).or_default();
        known.own.add(work);
        known.own.total_prefill = known.own.total_prefill.wrapping_add(work.pending_prefill);
        known.backlog.rate = rate / known.pace.at(now);
        known.backlog.add(work.pending_prefill, now);
    }

    /// Effort of reading that is left at `server`, in tokens.
    ///
    /// Prompts are read one after the other, so what was sent there drains at the rate of its reading.
    /// Counted whole until its first token, a long prompt would hide for its whole reading that the
    /// server is nearly through.
    pub fn backlog(&self, server: ServerId, now: Instant) -> u32 {
        self.snapshot(server, now).backlog
    }

    /// What a choice looks at of `server`, found by one search.
    pub fn snapshot(&self, server: ServerId, now: Instant) -> LoadSnapshot {
        let others = self.others.get(&server).copied().unwrap_or_default();
        let Some(known) = self.servers.get(&server) else {
            return LoadSnapshot {
                total: others,
                backlog: 0,
                slowdown: 1.0,
                failure_rate: 0.0,
            };
        };
        let total = known.total(others, now);
        LoadSnapshot {
            total,
            backlog: known.backlog.at(now).min(f64::from(total.pending_prefill)) as u32,
            slowdown: known.pace.at(now),
            failure_rate: faded(known, now),
        }
    }

    /// The first token from `server` came after `time` instead of `expected`.
    pub fn observe_latency(
        &mut self,
        server: ServerId,
        expected: Duration,
        time: Duration,
        now: Instant,
    ) {
        let known = self.servers.entry(server).or_default();
        known.pace.observe(expected, time, now);
    }

    /// Part of what [`Self::begin`] added is over.
    pub fn end(&mut self, server: ServerId, work: Work) {
        self.untold = self.untold.saturating_add(work.pending_prefill);
        if let Some(known) = self.servers.get_mut(&server) {
            known.own.subtract(work);
        }
    }

    /// All work under way at `server` as far as is known.
    pub fn total(&self, server: ServerId, now: Instant) -> Work {
        self.snapshot(server, now).total
    }

    /// Tells whether the others should hear of this instance's work before its next news.
    pub const fn needs_broadcast(&self) -> bool {
        self.untold >= TELL_AT
    }

    /// The others are told of this instance's work now.
    pub const fn mark_broadcast(&mut self) {
        self.untold = 0;
    }

    /// What this instance has under way, for the others.
    pub fn local(&self) -> Vec<(ServerId, Work)> {
        let busy = self.servers.iter().filter(|(_, s)| s.own.running > 0);
        busy.map(|(id, s)| (*id, s.own)).collect()
    }

    /// What this instance and the `members` of its failure domain have under way, in sum.
    pub fn domain_sum(&self, members: &[InstanceId]) -> Vec<(ServerId, Work)> {
        let mut all: BTreeMap<ServerId, Work> = self.local().into_iter().collect();
        let peers = members.iter().filter_map(|id| self.peers.get(id));
        for (server, work) in peers.flat_map(|(_, list)| list) {
            all.entry(*server).or_default().add(*work);
        }
        all.into_iter().collect()
    }

    /// Takes what a peer has under way, in place of what it said before.
    pub fn apply_peer_report(
        &mut self,
        peer: InstanceId,
        work: Vec<(ServerId, Work)>,
        now: Instant,
    ) {
        for (server, work) in &work {
            let before = self.sent.insert((peer, *server), work.total_prefill);
            // What it sent and what was read since is no backlog. The count falls when a teller starts
            // anew, or when a domain's sum misses a member: that brings nothing new.
            let grown = work
                .total_prefill
                .wrapping_sub(before.unwrap_or(0))
                .cast_signed();
            let new = (grown.max(0).cast_unsigned()).min(work.pending_prefill);
            let known = self.servers.entry(*server).or_default();
            // A server that this instance has not used would never seem to read, and so never be used.
            if known.backlog.rate <= 0.0 {
                known.backlog.rate = self.rate;
            }
            known.backlog.add(new, now);
        }
        for (server, work) in &work {
            self.others.entry(*server).or_default().add(*work);
        }
        // Only what changed is summed: a datagram is heard many times a second, and tells of few servers.
        let before = self.peers.insert(peer, (now, work));
        for (server, work) in before.into_iter().flat_map(|(_, list)| list) {
            if let Some(others) = self.others.get_mut(&server) {
                others.subtract(work);
            }
        }
    }

    /// Forgets peers that fell silent and servers that `keep` does not know.
    pub fn sweep(&mut self, keep: impl Fn(ServerId) -> bool, now: Instant) {
        self.sum_others(now);
        self.servers.retain(|id, s| s.own.running > 0 || keep(*id));
        self.sent.retain(|(_, id), _| keep(*id));
    }

    fn sum_others(&mut self, now: Instant) {
        self.peers
            .retain(|_, (at, _)| now.duration_since(*at) < REPORT_LIFE);
        self.others.clear();
        for (server, work) in self.peers.values().flat_map(|(_, list)| list) {
            self.others.entry(*server).or_default().add(*work);
        }
    }

    /// Takes a server's own report.
    pub fn apply_server_report(&mut self, server: ServerId, report: ServerReport, now: Instant) {
        self.servers.entry(server).or_default().report = Some((report, now));
    }

    /// Takes how a request ended.
    pub fn record_outcome(&mut self, server: ServerId, verdict: ServerOutcome, now: Instant) {
        let known = self.servers.entry(server).or_default();
        match verdict {
            ServerOutcome::Success => {
                known.failing = faded(known, now) * (1.0 - NEWEST);
                known.judged = Some(now);
                known.downs = 0;
                known.down = None;
            }
            ServerOutcome::Failed => {
                known.failing = faded(known, now) * (1.0 - NEWEST) + NEWEST;
                known.judged = Some(now);
            }
            ServerOutcome::Full => {}
            ServerOutcome::Unreachable => {
                let time = FIRST_DOWN * 2_u32.saturating_pow(known.downs);
                known.down = Some(now + time.min(MOST_DOWN));
                known.downs = (known.downs + 1).min(8);
            }
        }
    }

    /// Tells whether `server` gets no work now because it couldn't be reached.
    ///
    /// Once its time is over it gets one request, and others only after an answer to that.
    pub fn is_down(&self, server: ServerId, now: Instant) -> bool {
        let Some(known) = self.servers.get(&server) else {
            return false;
        };
        match known.down {
            Some(until) => now < until || known.own.running > 0,
            None => false,
        }
    }
}

fn faded(server: &Server, now: Instant) -> f64 {
    let Some(judged) = server.judged.filter(|_| server.failing > 0.0) else {
        return 0.0;
    };
    let age = now.duration_since(judged).as_secs_f64();
    server.failing * 0.5_f64.powf(age / FORGIVE.as_secs_f64())
}
