//! Servers that ended, what they ran then, and what has been answered since.
//!
//! A request that happens to run where a server ends is no cause of it, and each part of a prompt that it shares with others
//! even less. So an end counts only against what explains all ends of its moment: a rack, a power cut or an operator ends
//! many servers at once, and no request ran on all of them. What has been answered completely since doesn't count any more:
//! parts that sound requests hold too are cleared within moments. What ran several times at one server is no likely cause
//! either, since the first run would have ended it; that tells what is popular while nothing is answered. A stream that goes
//! on for some events is not what ends its server, unless it breaks off at the same event again. And what one cause explains
//! doesn't count against another.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::fingerprint::{Fingerprint, Fingerprints};
use crate::routing::registry::ServerRun;

/// Time within which the ends of several servers count as one; instances notice an end up to this much apart.
const MOMENT: Duration = Duration::from_millis(100);
/// Time between two ends of a server whose runs can't be told apart by their start, if they are one.
const SAME_RUN: Duration = Duration::from_millis(500);
/// Ends of one moment of which one may lack what explains the others, since its report may be lost.
const ENDS_PER_GAP: usize = 4;
/// Events after which a stream is not what ends its server.
pub const SOUND_EVENTS: u32 = 4;
/// Events by which two streams that break off at the same place may differ, as several arrive together.
const SAME_PLACE_EVENTS: u64 = 2;
/// Weight of a moment at which something ran once where a server ended; that of several runs is shared among them.
const MOMENT_WEIGHT: u32 = 60;
/// Moments of ends under a request, or a part of a prompt, after which it is taken for their cause.
const CAUSE_MOMENTS: u32 = 3;
/// The same for the first part of prompts, which most requests share.
const FIRST_PART_MOMENTS: u32 = 5;
/// Moments under a part that no single request, and no single other cause, explains.
const PART_MARGIN: u32 = 2;
/// Time for which an end counts.
const END_TTL: Duration = Duration::from_mins(10);
/// Maximum number of ends that are kept; moments are bits of a word.
const MAX_ENDS: usize = 64;
/// Maximum number of requests kept for an end.
const MAX_RUNNING: usize = 48;
/// Maximum number of answered requests and parts that are kept; beyond them, the one answered longest ago is dropped.
const MAX_SOUND: usize = 2_048;

/// A request that a server ran when it ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunningRequest {
    /// Hash of the attempt's id.
    #[serde(with = "postcard::fixint::le")]
    pub attempt: u64,
    /// Identity of its content and of its parts.
    pub fingerprints: Fingerprints,
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
    fn has_attempt(&self, attempt: u64) -> bool {
        self.running.iter().any(|r| r.attempt == attempt)
    }

    /// Returns whether the server ran `suspect`, a request or a part that hadn't gone on for some events.
    fn ran(&self, suspect: Fingerprint) -> bool {
        let mut running = self.running.iter();
        running.any(|r| r.suspects().any(|s| s == suspect))
    }
}

impl RunningRequest {
    /// Returns what may have ended the server.
    fn suspects(&self) -> impl Iterator<Item = Fingerprint> {
        let most = if self.events < SOUND_EVENTS {
            usize::MAX
        } else {
            1
        };
        self.fingerprints.all().take(most)
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
        let is_same = |e: &&mut ServerEnd| {
            e.run == run && (run.start_ms != 0 || e.at.max(at) - e.at.min(at) < SAME_RUN)
        };
        let known = self.ends.iter_mut().find(is_same);
        let new: Vec<RunningRequest> = if let Some(end) = known {
            end.at = end.at.min(at);
            let is_new = |r: &&RunningRequest| !end.has_attempt(r.attempt);
            let room = MAX_RUNNING - end.running.len();
            let new: Vec<RunningRequest> =
                running.iter().filter(is_new).take(room).cloned().collect();
            end.running.extend_from_slice(&new);
            new
        } else {
            let running: Vec<RunningRequest> = running.iter().take(MAX_RUNNING).cloned().collect();
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
        let ends = self.ends.iter();
        ends.filter(|end| self.counts(end, fingerprint) && end.ran(fingerprint))
            .count()
    }

    /// Returns whether an end counts against what ran there.
    fn counts(&self, end: &ServerEnd, suspect: Fingerprint) -> bool {
        let answered = self.sound.get(&suspect);
        answered.is_none_or(|at| *at < end.at)
    }

    /// Records that `fingerprint` was answered at `at`.
    pub fn record_sound(&mut self, fingerprint: Fingerprint, at: Instant) {
        if self.sound.len() >= MAX_SOUND && !self.sound.contains_key(&fingerprint) {
            let oldest = self.sound.iter().min_by_key(|(_, at)| **at);
            if let Some(oldest) = oldest.map(|(f, _)| *f) {
                self.sound.remove(&oldest);
            }
        }
        let latest = self.sound.entry(fingerprint).or_insert(at);
        *latest = (*latest).max(at);
    }

    /// Returns whether `fingerprint` was answered at or after `at`.
    pub fn is_sound_since(&self, fingerprint: Fingerprint, at: Instant) -> bool {
        self.sound
            .get(&fingerprint)
            .is_some_and(|sound| *sound >= at)
    }

    /// Returns whether there were too few moments of ends for any cause that hasn't been known before.
    pub fn is_thin(&self) -> bool {
        self.moments().sizes.len() < CAUSE_MOMENTS as usize
    }

    /// Returns what explains the ends.
    ///
    /// `is_lapsed` tells which causes have been known before, so that one more end is enough.
    pub fn causes(&self, is_lapsed: impl Fn(Fingerprint) -> bool) -> Vec<Fingerprint> {
        let moments = self.moments();
        let mut candidates: Vec<Candidate> = Vec::new();
        for (fingerprint, runs) in self.runs_by_suspect() {
            let depth = runs.iter().filter_map(|r| r.depth).max();
            let needed = match depth {
                _ if is_lapsed(fingerprint) => 0,
                Some(0) => FIRST_PART_MOMENTS,
                _ => CAUSE_MOMENTS,
            };
            if runs.len() >= needed.max(1) as usize {
                candidates.push(Candidate::new(fingerprint, depth, needed, &runs, &moments));
            }
        }
        candidates.sort_by_key(Candidate::rank);
        let mut causes: Vec<Candidate> = Vec::new();
        for candidate in candidates {
            if candidate.is_cause(&causes) {
                causes.push(candidate);
            }
        }
        causes.into_iter().map(|c| c.fingerprint).collect()
    }

    /// Returns the runs that count against each request and each part of a prompt.
    fn runs_by_suspect(&self) -> BTreeMap<Fingerprint, Vec<Run>> {
        let mut runs: BTreeMap<Fingerprint, Vec<Run>> = BTreeMap::new();
        for (index, end) in self.ends.iter().enumerate() {
            for running in &end.running {
                let suspects = running.suspects().enumerate();
                for (place, suspect) in suspects.filter(|(_, s)| self.counts(end, *s)) {
                    runs.entry(suspect).or_default().push(Run {
                        end: index,
                        request: running.fingerprints.request,
                        depth: place.checked_sub(1),
                        events: running.events,
                        position: running.position,
                    });
                }
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

/// What a server ran when it ended, as it counts against one suspect.
#[derive(Debug, Clone, Copy)]
struct Run {
    /// Index of the end.
    end: usize,
    /// The request that it was.
    request: Fingerprint,
    /// Place of the suspect among the parts of the prompt; `None` for the whole request.
    depth: Option<usize>,
    events: u32,
    position: u64,
}

/// What may be the cause of ends.
#[derive(Debug)]
struct Candidate {
    fingerprint: Fingerprint,
    /// Place among the parts of the prompt; `None` for a whole request.
    depth: Option<usize>,
    explained: MomentSet,
    /// Weight of each moment.
    weights: Vec<u32>,
    /// Moments of each request that held it.
    by_request: BTreeMap<Fingerprint, MomentSet>,
    /// Moments, each of full weight, that it must explain and no other cause does; one of any weight if it is 0.
    needed: u32,
}

impl Candidate {
    fn new(
        fingerprint: Fingerprint,
        depth: Option<usize>,
        needed: u32,
        runs: &[Run],
        moments: &Moments,
    ) -> Self {
        let mut by_request: BTreeMap<Fingerprint, MomentSet> = BTreeMap::new();
        for run in runs {
            *by_request.entry(run.request).or_default() |= 1 << moments.of_ends[run.end];
        }
        Self {
            fingerprint,
            depth,
            explained: moments.explained(runs),
            weights: moments.weights(runs),
            by_request,
            needed,
        }
    }

    /// Returns its place in the order in which ends are explained: what explains most comes first, and what is narrower.
    ///
    /// The first part of prompts comes last: if most requests share it, it ran at more ends than a part that few hold.
    fn rank(&self) -> (bool, Reverse<u32>, Reverse<usize>) {
        let narrowness = self.depth.unwrap_or(usize::MAX);
        let weight = self.weight(self.explained);
        (self.depth == Some(0), Reverse(weight), Reverse(narrowness))
    }

    fn weight(&self, moments: MomentSet) -> u32 {
        let weights = self.weights.iter().enumerate();
        let counted = weights.filter(|(moment, _)| moments & (1 << moment) != 0);
        counted.map(|(_, weight)| weight).sum()
    }

    /// Returns whether each request that held `other` held this too.
    fn contains(&self, other: &Self) -> bool {
        let mut requests = other.by_request.keys();
        requests.all(|r| self.by_request.contains_key(r))
    }

    /// Returns whether this explains enough that no cause in `known` does.
    fn is_cause(&self, known: &[Self]) -> bool {
        let others = known.iter().filter(|c| !self.contains(c));
        let others = others.fold(0, |set, c| set | c.explained);
        let weight = self.weight(self.explained & !others);
        if weight < (self.needed * MOMENT_WEIGHT).max(1) {
            return false;
        }
        // Requests that hold a part bring it into their own ends, and so does a narrower part.
        let narrower = known.iter().map(|c| c.explained);
        let mut single = self.by_request.values().copied().chain(narrower);
        self.depth.is_none()
            || self.needed == 0
            || single.all(|set| (self.explained & !set).count_ones() >= PART_MARGIN)
    }
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
    /// Returns the weight of each moment for something that ran where servers ended: the less, the more often at one of them.
    fn weights(&self, runs: &[Run]) -> Vec<u32> {
        let mut weights = vec![MOMENT_WEIGHT; self.sizes.len()];
        for of_end in runs.chunk_by(|a, b| a.end == b.end) {
            let weight = &mut weights[self.of_ends[of_end[0].end]];
            *weight = (*weight).min(MOMENT_WEIGHT / of_end.len() as u32);
        }
        weights
    }

    /// Returns the moments whose ends something explains: it ran wherever a server ended, and broke off early or at the
    /// same event each time.
    fn explained(&self, runs: &[Run]) -> MomentSet {
        let mut ends: Vec<usize> = runs.iter().map(|r| r.end).collect();
        ends.dedup();
        let mut counts = vec![0; self.sizes.len()];
        for end in ends {
            counts[self.of_ends[end]] += 1;
        }
        let is_explained = |moment: usize| {
            let size = self.sizes[moment];
            counts[moment] >= size - size / ENDS_PER_GAP
        };
        let seen = runs.iter().map(|run| (self.of_ends[run.end], run));
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
