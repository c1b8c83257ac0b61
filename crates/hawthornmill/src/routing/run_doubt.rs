//! Runs of servers that may have ended, so that a later run may listen at their address.
//!
//! A server may start again under its id and address with another version of its software, and its new registration comes
//! later. What an instance knows of a server's version ends when a connection to it breaks. It knows the version again when
//! the server says that its run is the registered one, when a later run registers, or after a time in which a later run
//! would have registered. Streams that begin meanwhile get their version then.

use std::collections::BTreeMap;
use std::num::NonZeroU64;
use std::time::{Duration, Instant};

use super::registry::{Registry, ServerRun};
use super::stream_versions::{StreamKey, StreamVersion};
use crate::ident::ServerId;

/// Time in which a later run registers, if this instance learns of registrations meanwhile.
///
/// Servers register at their start and every 1.2 s; a change may be some 4.1 s late where a watch is silent.
pub const REGISTRATION_TIME: Duration = Duration::from_secs(5);
/// Time for which the end of a doubt is kept, for reports of the same break that come late.
const SETTLED_TTL: Duration = Duration::from_mins(1);
/// Maximum number of streams of one server that get their version when a doubt ends.
const MAX_STREAMS: usize = 1_024;

/// How a doubt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DoubtEnd {
    /// The server reported that its run is the registered one.
    Reported,
    /// No later run registered in time.
    Elapsed,
    /// A later run registered.
    Replaced,
    /// The server is registered no longer.
    Gone,
}

impl DoubtEnd {
    /// Returns the name that log lines use.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Reported => "reported",
            Self::Elapsed => "elapsed",
            Self::Replaced => "replaced",
            Self::Gone => "gone",
        }
    }
}

/// What a server's report of its start means.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportedRun {
    /// The registered run listens.
    Registered,
    /// Another run listens, whose version isn't known.
    Other,
    /// The server was asked before the break.
    Outdated,
}

/// What is still to be learned of a run in doubt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DoubtState {
    /// Which run listens.
    Run,
    /// The version of the run that listens.
    Version,
}

/// A stream that began while the version of its server was in doubt.
#[derive(Debug, Clone, Copy)]
struct PendingStream {
    key: StreamKey,
    /// The run at which it began, if that is known.
    start_ms: Option<u64>,
    /// The server reported that run on the stream's own connection, so that the breaks of others say nothing of it.
    is_proven: bool,
}

#[derive(Debug, Clone)]
struct Doubt {
    start_ms: u64,
    /// The latest break.
    since: Instant,
    /// Time since then in which this instance learned of registrations.
    observed: Duration,
    observed_at: Instant,
    /// Start of the later run that listens.
    later: Option<u64>,
    streams: Vec<PendingStream>,
}

impl Doubt {
    /// Forgets at which run streams began, except where their own connection tells.
    fn forget_unproven(&mut self) {
        for stream in self.streams.iter_mut().filter(|s| !s.is_proven) {
            stream.start_ms = None;
        }
    }
}

/// The runs in doubt.
#[derive(Debug, Clone, Default)]
pub struct RunDoubts {
    doubts: BTreeMap<ServerId, Doubt>,
    settled: BTreeMap<ServerRun, Instant>,
    ended: Vec<(ServerRun, DoubtEnd)>,
    resolved: Vec<StreamVersion>,
}

impl RunDoubts {
    /// Records that a connection to the registered `run` broke at the instant `at`; returns whether a doubt begins.
    ///
    /// A break is no news if a doubt ended after it.
    pub fn record_break(&mut self, run: ServerRun, at: Instant, now: Instant) -> bool {
        self.settled
            .retain(|_, ended| now.duration_since(*ended) < SETTLED_TTL);
        if self.settled.get(&run).is_some_and(|ended| *ended >= at) {
            return false;
        }
        let begins = !self.doubts.contains_key(&run.server);
        let doubt = self.doubts.entry(run.server).or_insert_with(|| Doubt {
            start_ms: run.start_ms,
            since: at,
            observed: Duration::ZERO,
            observed_at: now,
            later: None,
            streams: Vec::new(),
        });
        if doubt.start_ms == run.start_ms && (begins || at > doubt.since) {
            doubt.since = at;
            doubt.observed = Duration::ZERO;
            doubt.later = None;
            doubt.forget_unproven();
        }
        begins
    }

    /// Returns whether the version of the server's current run is in doubt.
    pub fn is_doubted(&self, server: ServerId) -> bool {
        self.doubts.contains_key(&server)
    }

    /// Returns what is to be learned of `run`; `None` if it isn't in doubt.
    pub fn state(&self, run: ServerRun) -> Option<DoubtState> {
        let doubt = self.doubts.get(&run.server)?;
        (doubt.start_ms == run.start_ms).then_some(match doubt.later {
            Some(_) => DoubtState::Version,
            None => DoubtState::Run,
        })
    }

    /// Records the start that a server reported when it was asked at `asked`, while `run` is registered.
    pub fn record_report(
        &mut self,
        run: ServerRun,
        start_ms: u64,
        asked: Instant,
        registry: &Registry,
        now: Instant,
    ) -> ReportedRun {
        let is_registered = start_ms == run.start_ms;
        let Some(doubt) = self.doubts.get_mut(&run.server) else {
            return if is_registered {
                ReportedRun::Registered
            } else {
                ReportedRun::Other
            };
        };
        if doubt.start_ms != run.start_ms || asked < doubt.since {
            return ReportedRun::Outdated;
        }
        if is_registered {
            self.end(run.server, DoubtEnd::Reported, registry, now);
            return ReportedRun::Registered;
        }
        let earlier = doubt.later.replace(start_ms);
        if earlier.is_some_and(|earlier| earlier != start_ms) {
            doubt.forget_unproven();
        }
        // What was asked before may have been answered by the run before.
        doubt.since = asked;
        ReportedRun::Other
    }

    /// Records that a stream began at a server in doubt; it gets its version when that is known. `proven` is the start that the
    /// server reported on the stream's connection, if it did.
    pub fn record_stream(&mut self, server: ServerId, key: StreamKey, proven: Option<NonZeroU64>) {
        if let Some(doubt) = self.doubts.get_mut(&server)
            && doubt.streams.len() < MAX_STREAMS
        {
            doubt.streams.push(PendingStream {
                key,
                start_ms: proven.map(NonZeroU64::get).or(doubt.later),
                is_proven: proven.is_some(),
            });
        }
    }

    /// Ends the doubts of servers that are gone, or whose later run has registered.
    pub fn follow(&mut self, registry: &Registry, now: Instant) {
        let mut ended = Vec::new();
        for (server, doubt) in &mut self.doubts {
            let Some(entry) = registry.get(*server) else {
                ended.push((*server, DoubtEnd::Gone));
                continue;
            };
            let start_ms = entry.registration.start_ms;
            if start_ms == doubt.start_ms {
                continue;
            }
            if doubt.later.is_some_and(|later| start_ms < later) {
                // Of a run between the two.
                doubt.start_ms = start_ms;
                doubt.streams.retain(|s| s.start_ms.is_some());
            } else {
                ended.push((*server, DoubtEnd::Replaced));
            }
        }
        for (server, end) in ended {
            self.end(server, end, registry, now);
        }
    }

    /// Ends the doubt of a run if no later one has registered in time; `learns` tells whether this instance learns of
    /// registrations.
    pub fn elapse(&mut self, run: ServerRun, registry: &Registry, learns: bool, now: Instant) {
        let Some(doubt) = self.doubts.get_mut(&run.server) else {
            return;
        };
        if learns {
            let start = doubt.observed_at.max(doubt.since);
            doubt.observed += now.saturating_duration_since(start);
        }
        doubt.observed_at = now;
        if doubt.later.is_none() && doubt.observed >= REGISTRATION_TIME {
            self.end(run.server, DoubtEnd::Elapsed, registry, now);
        }
    }

    fn end(&mut self, server: ServerId, end: DoubtEnd, registry: &Registry, now: Instant) {
        let Some(doubt) = self.doubts.remove(&server) else {
            return;
        };
        let run = ServerRun {
            server,
            start_ms: doubt.start_ms,
        };
        self.settled.insert(run, now);
        self.ended.push((run, end));
        if let Some(entry) = registry.get(server) {
            let (start_ms, version) = (entry.registration.start_ms, entry.registration.version);
            // Without a later run, streams of which nothing else is known began at the registered one.
            let is_registered = |s: &&PendingStream| match s.start_ms {
                Some(began_at) => began_at == start_ms,
                None => end != DoubtEnd::Replaced,
            };
            let streams = doubt.streams.iter().filter(is_registered);
            let resolved = streams.map(|s| StreamVersion {
                key: s.key,
                version,
            });
            self.resolved.extend(resolved);
        }
    }

    /// Returns the runs whose doubts ended, and how, and clears the list.
    pub fn take_ended(&mut self) -> Vec<(ServerRun, DoubtEnd)> {
        std::mem::take(&mut self.ended)
    }

    /// Returns streams that began in doubt and whose version is known since, and clears the list.
    pub fn take_resolved(&mut self) -> Vec<StreamVersion> {
        std::mem::take(&mut self.resolved)
    }
}
