//! Servers that ended, what they ran then, and what has been answered since.
//!
//! A request that happens to run where a server ends is no cause of it. So an end counts only against what explains all
//! ends of its moment: a rack, a power cut or an operator ends many servers at once, and no request ran on all of them.
//! What has been answered completely since doesn't count any more; and a stream that goes on for some events is not what
//! ends its server, unless it breaks off at the same event again.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::fingerprint::Fingerprint;
use crate::routing::registry::ServerRun;

/// Time within which the ends of several servers count as one; instances notice an end up to this much apart.
const MOMENT: Duration = Duration::from_millis(100);
/// Ends of one moment of which one may lack what explains the others, since its report may be lost.
const ENDS_PER_GAP: usize = 4;
/// Events after which a stream is not what ends its server.
pub const SOUND_EVENTS: u32 = 4;
/// Events by which two streams that break off at the same place may differ, as several arrive together.
const SAME_PLACE_EVENTS: u64 = 2;
/// Distinct ends under a request after which it is taken for their cause.
const REQUEST_ENDS: u32 = 3;
/// Time for which an end counts.
const END_TTL: Duration = Duration::from_mins(10);
/// Maximum number of ends that are kept; moments are bits of a word.
const MAX_ENDS: usize = 64;
/// Maximum number of requests kept for an end.
const MAX_RUNNING: usize = 48;
/// Maximum number of answered requests that are kept.
const MAX_SOUND: usize = 512;

/// A request that a server ran when it ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunningRequest {
    /// Identity of its content.
    pub fingerprint: Fingerprint,
    /// Events that this server brought.
    pub events: u32,
    /// Id of the last event that its client has; 0 before the first.
    pub position: u64,
}

/// The end of a server's run.
#[derive(Debug, Clone)]
struct ServerEnd {
    run: ServerRun,
    at: Instant,
    running: Vec<RunningRequest>,
}

impl ServerEnd {
    fn find(&self, fingerprint: Fingerprint) -> Option<&RunningRequest> {
        self.running.iter().find(|r| r.fingerprint == fingerprint)
    }
}

/// What is known of recent ends.
#[derive(Debug, Clone, Default)]
pub struct Evidence {
    /// In the order of their times.
    ends: Vec<ServerEnd>,
    /// When requests that ran at some end were last answered.
    sound: BTreeMap<Fingerprint, Instant>,
}

impl Evidence {
    /// Returns whether no end is known.
    pub const fn is_empty(&self) -> bool {
        self.ends.is_empty()
    }

    /// Records that a server ended while it ran `running`; returns what of it is new.
    pub fn record_end(
        &mut self,
        run: ServerRun,
        at: Instant,
        running: &[RunningRequest],
        now: Instant,
    ) -> Vec<RunningRequest> {
        self.expire(now);
        let known = self.ends.iter_mut().find(|e| e.run == run);
        let new: Vec<RunningRequest> = if let Some(end) = known {
            end.at = end.at.min(at);
            let is_new = |r: &&RunningRequest| end.find(r.fingerprint).is_none();
            let room = MAX_RUNNING - end.running.len();
            let new: Vec<RunningRequest> =
                running.iter().filter(is_new).take(room).copied().collect();
            end.running.extend_from_slice(&new);
            new
        } else {
            let running: Vec<RunningRequest> = running.iter().take(MAX_RUNNING).copied().collect();
            self.ends.push(ServerEnd {
                run,
                at,
                running: running.clone(),
            });
            running
        };
        self.ends.sort_by_key(|e| e.at);
        new
    }

    fn expire(&mut self, now: Instant) {
        self.ends.retain(|e| now.duration_since(e.at) < END_TTL);
        if self.ends.len() >= MAX_ENDS {
            self.ends.remove(0);
        }
        if self.sound.len() >= MAX_SOUND {
            self.sound.retain(|_, at| now.duration_since(*at) < END_TTL);
        }
    }

    /// Returns whether a server ended under `fingerprint` after its last answer.
    pub fn is_suspected(&self, fingerprint: Fingerprint) -> bool {
        self.count(fingerprint) > 0
    }

    /// Returns the number of servers that ended under `fingerprint` after its last answer.
    pub fn count(&self, fingerprint: Fingerprint) -> usize {
        let ends = self.ends.iter().filter(|end| {
            let running = end.find(fingerprint);
            running.is_some_and(|running| self.counts(end, running))
        });
        ends.count()
    }

    /// Returns whether an end counts against a request that ran there.
    fn counts(&self, end: &ServerEnd, running: &RunningRequest) -> bool {
        let answered = self.sound.get(&running.fingerprint);
        answered.is_none_or(|at| *at < end.at)
    }

    /// Records that `fingerprint` was answered at `at`.
    pub fn record_sound(&mut self, fingerprint: Fingerprint, at: Instant) {
        if self.sound.len() < MAX_SOUND {
            let latest = self.sound.entry(fingerprint).or_insert(at);
            *latest = (*latest).max(at);
        }
    }

    /// Returns whether `fingerprint` was answered at or after `at`.
    pub fn is_sound_since(&self, fingerprint: Fingerprint, at: Instant) -> bool {
        self.sound
            .get(&fingerprint)
            .is_some_and(|sound| *sound >= at)
    }

    /// Returns what explains the ends, the strongest cause first.
    ///
    /// `is_lapsed` tells which causes have been known before, so that one more end is enough.
    pub fn causes(&self, is_lapsed: impl Fn(Fingerprint) -> bool) -> Vec<Fingerprint> {
        let moments = self.moments();
        let mut candidates: Vec<Candidate> = Vec::new();
        for (fingerprint, runs) in self.runs_by_request() {
            let lapsed = is_lapsed(fingerprint);
            let needed = if lapsed { 1 } else { REQUEST_ENDS };
            if runs.len() >= needed as usize {
                let explained = moments.explained(&runs);
                candidates.push(Candidate {
                    fingerprint,
                    explained,
                    needed,
                });
            }
        }
        candidates.sort_by_key(|c| (std::cmp::Reverse(c.explained.count_ones()), c.fingerprint));
        let mut taken: MomentSet = 0;
        let mut causes = Vec::new();
        for candidate in candidates {
            if (candidate.explained & !taken).count_ones() >= candidate.needed {
                taken |= candidate.explained;
                causes.push(candidate.fingerprint);
            }
        }
        causes
    }

    /// Returns the runs that count against each request, with the index of the end.
    fn runs_by_request(&self) -> BTreeMap<Fingerprint, Vec<(usize, RunningRequest)>> {
        let mut runs: BTreeMap<Fingerprint, Vec<(usize, RunningRequest)>> = BTreeMap::new();
        for (index, end) in self.ends.iter().enumerate() {
            for running in end.running.iter().filter(|r| self.counts(end, r)) {
                let of_request = runs.entry(running.fingerprint).or_default();
                of_request.push((index, *running));
            }
        }
        runs
    }

    /// Groups the ends that happened at the same moment.
    fn moments(&self) -> Moments {
        let mut moments = Moments::default();
        let mut first: Option<Instant> = None;
        for end in &self.ends {
            if first.is_none_or(|first| end.at >= first + MOMENT) {
                first = Some(end.at);
                moments.sizes.push(0);
            }
            let last = moments.sizes.len() - 1;
            moments.sizes[last] += 1;
            moments.of_ends.push(last);
        }
        moments
    }
}

/// Moments, one bit each.
type MomentSet = u64;

/// A request that may be the cause of ends.
#[derive(Debug)]
struct Candidate {
    fingerprint: Fingerprint,
    explained: MomentSet,
    /// Moments that it must explain and no stronger cause does.
    needed: u32,
}

/// Groups of ends that happened at the same moment.
#[derive(Debug, Default)]
struct Moments {
    /// Moment of each end.
    of_ends: Vec<usize>,
    /// Number of ends of each moment.
    sizes: Vec<usize>,
}

impl Moments {
    /// Returns the moments whose ends a request explains: it ran wherever a server ended, and broke off early or at the
    /// same event each time.
    fn explained(&self, runs: &[(usize, RunningRequest)]) -> MomentSet {
        let mut counts = vec![0; self.sizes.len()];
        for (end, _) in runs {
            counts[self.of_ends[*end]] += 1;
        }
        let is_explained = |moment: usize| {
            let size = self.sizes[moment];
            counts[moment] >= size - size / ENDS_PER_GAP
        };
        let seen = runs.iter().map(|(end, run)| (self.of_ends[*end], run));
        let seen: Vec<_> = seen.filter(|(moment, _)| is_explained(*moment)).collect();
        let at_place = |place: u64| -> MomentSet {
            let agreeing = seen.iter().filter(|(_, run)| {
                let is_same = run.position.abs_diff(place) <= SAME_PLACE_EVENTS;
                run.events < SOUND_EVENTS || is_same
            });
            agreeing.fold(0, |set, (moment, _)| set | 1 << moment)
        };
        let sets = seen.iter().map(|(_, run)| at_place(run.position));
        sets.max_by_key(|set| set.count_ones()).unwrap_or(0)
    }
}
