//! Servers that crashed, what they ran then, and what has been answered since.
//!
//! A request that happens to run where a server crashes is no cause of it, and each part of a prompt that it shares with
//! others even less. So a crash counts only against what explains all crashes of its group: a rack, a power cut or an operator
//! takes down many servers at once, and no request ran on all of them. What has been answered completely since doesn't count
//! any more: parts that sound requests hold too are cleared within moments. What ran several times at one server is no likely
//! cause either, since the first run would have crashed it; that tells what is popular while nothing is answered. A stream
//! that goes on for some events is not what crashes its server, unless it breaks off at the same event again. And what one
//! cause explains doesn't count against another.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::fingerprint::{Fingerprint, Fingerprints};
use crate::routing::registry::ServerRun;

/// Time within which the crashes of several servers form a group; instances notice a crash up to this much apart.
const GROUP_TIME: Duration = Duration::from_millis(100);
/// Time between two crashes of a server whose runs can't be told apart by their start, if they are one.
const SAME_RUN: Duration = Duration::from_millis(500);
/// Crashes of a group of which one may lack what explains the others, since its report may be lost.
const CRASHES_PER_GAP: usize = 4;
/// Events after which a stream is not what crashes its server.
pub const PROGRESS_EVENTS: u32 = 4;
/// Events by which two streams that break off at the same place may differ, as several arrive together.
const SAME_PLACE_EVENTS: u64 = 2;
/// Weight of a crash under something that ran once at the server; several runs there share it.
const CRASH_WEIGHT: u32 = 60;
/// Crashes of a group that weigh; more of them hardly tell more than a rack does that fails.
const MAX_WEIGHED: u32 = 2;
/// Weight, in crashes, from which on a request or a part of a prompt is taken for the cause.
const CAUSE_CRASHES: u32 = 3;
/// The same for the first part of prompts, which most requests share.
const FIRST_PART_CRASHES: u32 = 5;
/// Groups of crashes that any cause explains.
const MIN_GROUPS: u32 = 2;
/// Groups under a part that no single request, and no single other cause, explains.
const PART_MARGIN: u32 = 2;
/// Time for which a crash counts.
const CRASH_TTL: Duration = Duration::from_mins(10);
/// Maximum number of crashes that are kept; groups are bits of a word.
const MAX_CRASHES: usize = 64;
/// Maximum number of requests kept for a crash.
const MAX_RUNNING: usize = 48;
/// Maximum number of answered requests and parts that are kept; beyond them, the one answered longest ago is dropped.
const MAX_ANSWERS: usize = 2_048;

/// A request that a server ran when it crashed.
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

/// The crash of a server's run.
#[derive(Debug, Clone)]
struct Crash {
    run: ServerRun,
    at: Instant,
    running: Vec<RunningRequest>,
}

impl Crash {
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
    /// Returns what may have crashed the server.
    fn suspects(&self) -> impl Iterator<Item = Fingerprint> {
        let most = if self.events < PROGRESS_EVENTS {
            usize::MAX
        } else {
            1
        };
        self.fingerprints.all().take(most)
    }
}

/// Crashes under one suspect since its last answer.
#[derive(Debug, Clone, Copy)]
struct Suspicion {
    first: Instant,
    last: Instant,
    /// Number of runs where a server crashed, answered or not.
    runs: usize,
}

/// What is known of recent crashes.
#[derive(Debug, Clone, Default)]
pub struct Evidence {
    /// In the order of their times.
    crashes: Vec<Crash>,
    /// Requests and parts that ran at a crash and have not been answered since.
    suspected: BTreeMap<Fingerprint, Suspicion>,
    /// When requests that ran at some crash were last answered.
    answers: BTreeMap<Fingerprint, Instant>,
}

impl Evidence {
    /// Returns whether no request is suspected, so that no answer tells anything.
    pub fn is_empty(&self) -> bool {
        self.suspected.is_empty()
    }

    /// Records that a server crashed while it ran `running`; returns what of it is new.
    pub fn record_crash(
        &mut self,
        run: ServerRun,
        at: Instant,
        running: &[RunningRequest],
        now: Instant,
    ) -> Vec<RunningRequest> {
        self.expire(now);
        let is_same = |c: &&mut Crash| {
            c.run == run && (run.start_ms != 0 || c.at.max(at) - c.at.min(at) < SAME_RUN)
        };
        let known = self.crashes.iter_mut().find(is_same);
        let new: Vec<RunningRequest> = if let Some(crash) = known {
            crash.at = crash.at.min(at);
            let is_new = |r: &&RunningRequest| !crash.has_attempt(r.attempt);
            let free = MAX_RUNNING - crash.running.len();
            let new = running.iter().filter(is_new).take(free).cloned();
            let new: Vec<RunningRequest> = new.collect();
            crash.running.extend_from_slice(&new);
            new
        } else {
            let running: Vec<RunningRequest> = running.iter().take(MAX_RUNNING).cloned().collect();
            self.crashes.push(Crash {
                run,
                at,
                running: running.clone(),
            });
            running
        };
        self.crashes.sort_by_key(|c| c.at);
        for suspect in new.iter().flat_map(RunningRequest::suspects) {
            self.suspect(suspect, at);
        }
        new
    }

    fn suspect(&mut self, suspect: Fingerprint, at: Instant) {
        let answered = self.answers.get(&suspect);
        if answered.is_some_and(|answered| *answered >= at) {
            return;
        }
        let new = Suspicion {
            first: at,
            last: at,
            runs: 0,
        };
        let known = self.suspected.entry(suspect).or_insert(new);
        known.runs += 1;
        known.first = known.first.min(at);
        known.last = known.last.max(at);
    }

    fn expire(&mut self, now: Instant) {
        let before = self.crashes.len();
        let is_recent = |at: Instant| now.duration_since(at) < CRASH_TTL;
        self.crashes.retain(|c| is_recent(c.at));
        if self.crashes.len() >= MAX_CRASHES {
            self.crashes.remove(0);
        }
        if self.crashes.len() < before {
            let oldest = self.crashes.first().map_or(now, |c| c.at);
            self.suspected.retain(|_, s| s.last >= oldest);
            self.answers.retain(|_, at| *at >= oldest);
        }
    }

    /// Returns whether a server crashed under `fingerprint` after its last answer.
    pub fn is_suspected(&self, fingerprint: Fingerprint) -> bool {
        self.suspected.contains_key(&fingerprint)
    }

    /// Returns whether an answer to `fingerprint` at `at` came after a crash under it that no earlier answer has cleared.
    pub fn is_cleared_by(&self, fingerprint: Fingerprint, at: Instant) -> bool {
        let suspicion = self.suspected.get(&fingerprint);
        suspicion.is_some_and(|s| s.first <= at)
    }

    /// Returns the number of servers that crashed under `fingerprint` after its last answer.
    pub fn count(&self, fingerprint: Fingerprint) -> usize {
        let crashes = self.crashes.iter();
        crashes
            .filter(|crash| self.counts(crash, fingerprint) && crash.ran(fingerprint))
            .count()
    }

    /// Returns whether a crash counts against what ran there.
    fn counts(&self, crash: &Crash, suspect: Fingerprint) -> bool {
        let answered = self.answers.get(&suspect);
        answered.is_none_or(|at| *at < crash.at)
    }

    /// Records that `fingerprint` was answered at `at`.
    pub fn record_answer(&mut self, fingerprint: Fingerprint, at: Instant) {
        if let Some(suspicion) = self.suspected.get_mut(&fingerprint) {
            suspicion.first = suspicion.first.max(at);
            if suspicion.last <= at {
                self.suspected.remove(&fingerprint);
            }
        }
        if self.answers.len() >= MAX_ANSWERS && !self.answers.contains_key(&fingerprint) {
            let oldest = self.answers.iter().min_by_key(|(_, at)| **at);
            if let Some(oldest) = oldest.map(|(f, _)| *f) {
                self.answers.remove(&oldest);
            }
        }
        let latest = self.answers.entry(fingerprint).or_insert(at);
        *latest = (*latest).max(at);
    }

    /// Returns whether `fingerprint` was answered at or after `at`.
    pub fn is_answered_since(&self, fingerprint: Fingerprint, at: Instant) -> bool {
        self.answers
            .get(&fingerprint)
            .is_some_and(|answered| *answered >= at)
    }

    /// Returns whether there were too few groups of crashes for any cause that hasn't been known before.
    pub fn has_few_groups(&self) -> bool {
        self.groups().sizes.len() < MIN_GROUPS as usize
    }

    /// Returns what explains the crashes.
    ///
    /// `is_expired` tells which causes have been known before, so that one more crash is enough.
    pub fn causes(&self, is_expired: impl Fn(Fingerprint) -> bool) -> Vec<Fingerprint> {
        let groups = self.groups();
        let runs = self.runs_by_suspect(&is_expired);
        let by_suspect = runs.chunk_by(|a, b| a.suspect == b.suspect);
        let candidates = by_suspect.filter_map(|runs| {
            let needed = needed_crashes(runs, &is_expired);
            Candidate::new(runs, needed, &groups)
        });
        let mut candidates: Vec<Candidate> = candidates.collect();
        candidates.sort_by_key(Candidate::rank);
        let mut causes: Vec<Candidate> = Vec::new();
        for candidate in candidates {
            if candidate.is_cause(&causes) {
                causes.push(candidate);
            }
        }
        causes.into_iter().map(|c| c.fingerprint).collect()
    }

    /// Returns the runs that count against each request and each part of a prompt, those of a suspect one after the other.
    ///
    /// Most requests ran at one crash only and are left out.
    fn runs_by_suspect(&self, is_expired: impl Fn(Fingerprint) -> bool) -> Vec<Run> {
        let mut runs = Vec::new();
        for (index, crash) in self.crashes.iter().enumerate() {
            for running in &crash.running {
                for (place, suspect) in running.suspects().enumerate() {
                    let suspicion = self.suspected.get(&suspect);
                    let is_repeated = suspicion.is_some_and(|s| s.runs >= MIN_GROUPS as usize);
                    if (is_repeated || is_expired(suspect)) && self.counts(crash, suspect) {
                        runs.push(Run {
                            suspect,
                            crash: index,
                            request: running.fingerprints.request,
                            depth: place.checked_sub(1),
                            events: running.events,
                            position: running.position,
                        });
                    }
                }
            }
        }
        runs.sort_by_key(|r| (r.suspect, r.crash));
        runs
    }

    /// Groups the crashes that happened together.
    fn groups(&self) -> CrashGroups {
        let mut groups = CrashGroups::default();
        let mut first: Option<Instant> = None;
        for crash in &self.crashes {
            if first.is_none_or(|first| crash.at >= first + GROUP_TIME) {
                first = Some(crash.at);
                groups.sizes.push(0);
            }
            let last = groups.sizes.len() - 1;
            groups.sizes[last] += 1;
            groups.of_crashes.push(last);
        }
        groups
    }
}

/// Groups, one bit each.
type GroupSet = u64;

/// What a server ran when it crashed, as it counts against one suspect.
#[derive(Debug, Clone, Copy)]
struct Run {
    suspect: Fingerprint,
    /// Index of the crash.
    crash: usize,
    /// The request that it was.
    request: Fingerprint,
    /// Place of the suspect among the parts of the prompt; `None` for the whole request.
    depth: Option<usize>,
    events: u32,
    position: u64,
}

/// Returns the weight, in crashes, that the suspect of `runs` needs to be taken for a cause; 0 for one of any weight.
fn needed_crashes(runs: &[Run], is_expired: impl Fn(Fingerprint) -> bool) -> u32 {
    match runs.iter().filter_map(|r| r.depth).max() {
        _ if is_expired(runs[0].suspect) => 0,
        Some(0) => FIRST_PART_CRASHES,
        _ => CAUSE_CRASHES,
    }
}

/// What may be the cause of crashes.
#[derive(Debug)]
struct Candidate {
    fingerprint: Fingerprint,
    /// Place among the parts of the prompt; `None` for a whole request.
    depth: Option<usize>,
    explained: GroupSet,
    /// Weight of each group.
    weights: Vec<u32>,
    /// Groups of each request that held it.
    by_request: BTreeMap<Fingerprint, GroupSet>,
    /// Crashes, each of full weight, that it must explain and no other cause does; one of any weight if it is 0.
    needed: u32,
}

impl Candidate {
    /// Creates the candidate of all `runs` of a suspect; `None` if they explain too little whatever else there is.
    fn new(runs: &[Run], needed: u32, groups: &CrashGroups) -> Option<Self> {
        let mut candidate = Self {
            fingerprint: runs[0].suspect,
            depth: runs.iter().filter_map(|r| r.depth).max(),
            explained: groups.explained(runs),
            weights: groups.weights(runs),
            by_request: BTreeMap::new(),
            needed,
        };
        if !candidate.explains_enough(candidate.explained) {
            return None;
        }
        for run in runs {
            let group = 1 << groups.of_crashes[run.crash];
            *candidate.by_request.entry(run.request).or_default() |= group;
        }
        Some(candidate)
    }

    /// Returns whether `groups` of those that it explains are enough.
    fn explains_enough(&self, groups: GroupSet) -> bool {
        let weight = self.weight(groups);
        if self.needed == 0 {
            return weight > 0;
        }
        weight >= self.needed * CRASH_WEIGHT && self.explained.count_ones() >= MIN_GROUPS
    }

    /// Returns its place in the order in which crashes are explained: what explains most comes first, and what is narrower.
    ///
    /// The first part of prompts comes last: if most requests share it, it ran at more crashes than a part that few hold.
    fn rank(&self) -> (bool, Reverse<u32>, Reverse<usize>) {
        let narrowness = self.depth.unwrap_or(usize::MAX);
        let weight = self.weight(self.explained);
        (self.depth == Some(0), Reverse(weight), Reverse(narrowness))
    }

    fn weight(&self, groups: GroupSet) -> u32 {
        let weights = self.weights.iter().enumerate();
        let counted = weights.filter(|(group, _)| groups & (1 << group) != 0);
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
        self.explains_enough(self.explained & !others)
            && (self.depth.is_none() || self.needed == 0 || self.is_more_than_one(known))
    }

    /// Returns whether a part explains groups beyond those of any single request that holds it, and of any single cause.
    fn is_more_than_one(&self, known: &[Self]) -> bool {
        let causes = known.iter().map(|c| c.explained);
        let mut single = self.by_request.values().copied().chain(causes);
        single.all(|set| (self.explained & !set).count_ones() >= PART_MARGIN)
    }
}

/// Crashes that happened together.
#[derive(Debug, Default)]
struct CrashGroups {
    /// Group of each crash.
    of_crashes: Vec<usize>,
    /// Number of crashes of each group.
    sizes: Vec<usize>,
}

impl CrashGroups {
    /// Returns the weight of each group for something that ran where servers crashed: the less, the more often at one of
    /// them.
    fn weights(&self, runs: &[Run]) -> Vec<u32> {
        let mut least = vec![CRASH_WEIGHT; self.sizes.len()];
        let mut counts = vec![0; self.sizes.len()];
        for at_crash in runs.chunk_by(|a, b| a.crash == b.crash) {
            let group = self.of_crashes[at_crash[0].crash];
            least[group] = least[group].min(CRASH_WEIGHT / at_crash.len() as u32);
            counts[group] += 1;
        }
        let weights = least.iter().zip(&counts);
        let weight = |(least, count): (&u32, &u32)| least * (*count).min(MAX_WEIGHED);
        weights.map(weight).collect()
    }

    /// Returns the groups whose crashes something explains: it ran wherever a server crashed, and broke off early or at the
    /// same event each time.
    fn explained(&self, runs: &[Run]) -> GroupSet {
        let mut crashes: Vec<usize> = runs.iter().map(|r| r.crash).collect();
        crashes.dedup();
        let mut counts = vec![0; self.sizes.len()];
        for crash in crashes {
            counts[self.of_crashes[crash]] += 1;
        }
        let is_explained = |group: usize| {
            let size = self.sizes[group];
            counts[group] >= size - size / CRASHES_PER_GAP
        };
        let seen = runs.iter().map(|run| (self.of_crashes[run.crash], run));
        let seen: Vec<_> = seen.filter(|(group, _)| is_explained(*group)).collect();
        let at_place = |place: u64| -> GroupSet {
            let agreeing = seen.iter().filter(|(_, run)| {
                let is_same = run.position.abs_diff(place) <= SAME_PLACE_EVENTS;
                run.events < PROGRESS_EVENTS || is_same
            });
            agreeing.fold(0, |set, (group, _)| set | 1 << group)
        };
        let sets = seen.iter().map(|(_, run)| at_place(run.position));
        sets.max_by_key(|set| set.count_ones()).unwrap_or(0)
    }
}
