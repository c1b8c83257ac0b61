//! Servers that crashed, what they ran then, and what has been answered since.
//!
//! A request that happens to run where a server crashes is no cause of it, and each part of a prompt that it shares with others
//! even less. So a crash counts only against what explains all crashes of its group: a rack, a power cut or an operator crashes
//! many servers at once, and no request ran on all of them. What has been answered completely since doesn't count any more:
//! parts that sound requests hold too are cleared within groups. What ran several times at one server is no likely cause
//! either, since the first run would have crashed it; that tells what is popular while nothing is answered. A stream that goes
//! on for some events is not what crashes its server, unless it breaks off at the same event again. And what one cause explains
//! doesn't count against another. What ran several times at a server that was back with many requests waiting may be the cause
//! all the same: such suspects are told apart by what servers do while one of them is held.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::fingerprint::{Fingerprint, Fingerprints};
use crate::routing::registry::ServerRun;

/// Time within which the crashes of several servers count as one; instances notice a crash up to this much apart.
const GROUP_TIME: Duration = Duration::from_millis(100);
/// Time between two crashes of a server whose runs can't be told apart by their start, if they are one.
const SAME_RUN: Duration = Duration::from_millis(500);
/// Crashes of one group of which one may lack what explains the others, since its report may be lost.
const CRASHES_PER_GAP: usize = 4;
/// Events after which a stream is not what crashes its server.
pub const PROGRESS_EVENTS: u32 = 4;
/// Events by which two streams that break off at the same place may differ, as several arrive together.
const SAME_PLACE_EVENTS: u64 = 2;
/// Weight of a crash under something that ran once at the server; several runs there share it.
const CRASH_WEIGHT: u32 = 60;
/// Crashes of one group that weigh; of those beyond, a rack that fails may be the cause.
const MAX_WEIGHED: u32 = 2;
/// Weight, in crashes, under which a request, or a part of a prompt, is taken for their cause.
const CAUSE_CRASHES: u32 = 3;
/// The same for the first part of prompts, which most requests share.
const FIRST_PART_CRASHES: u32 = 5;
/// Groups that a cause explains at least.
const MIN_GROUPS: usize = 2;
/// Crashes under a part that no single request, and no single other cause, explains.
const PART_MARGIN: u32 = 2;
/// Time between the first and the last crash from which on servers that were back have crashed again; others that stay up
/// meanwhile answer what is popular.
const RECURRENCE_TIME: Duration = Duration::from_secs(2);
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

/// What explains crashes.
#[derive(Debug, Clone, Default)]
pub struct Explanation {
    /// What explains them, from what ran at each of them.
    pub causes: Vec<Fingerprint>,
    /// What explains the others, the likeliest first, if it is not only popular.
    pub suspects: Vec<Suspect>,
}

/// What explains crashes, but ran several times at each of them.
#[derive(Debug, Clone, Copy)]
pub struct Suspect {
    /// Identity of the request or the part.
    pub fingerprint: Fingerprint,
    /// Whether it explains the last crashes too.
    pub is_current: bool,
}

/// What is known of recent crashes.
#[derive(Debug, Clone, Default)]
pub struct Evidence {
    /// In the order of their times.
    crashes: Vec<Crash>,
    /// When requests that ran at some crash were last answered.
    answers: BTreeMap<Fingerprint, Instant>,
}

impl Evidence {
    /// Returns whether no crash is known.
    pub const fn is_empty(&self) -> bool {
        self.crashes.is_empty()
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
        let is_same = |e: &&mut Crash| {
            e.run == run && (run.start_ms != 0 || e.at.max(at) - e.at.min(at) < SAME_RUN)
        };
        let known = self.crashes.iter_mut().find(is_same);
        let new: Vec<RunningRequest> = if let Some(crash) = known {
            crash.at = crash.at.min(at);
            let is_new = |r: &&RunningRequest| !crash.has_attempt(r.attempt);
            let room = MAX_RUNNING - crash.running.len();
            let new: Vec<RunningRequest> =
                running.iter().filter(is_new).take(room).cloned().collect();
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
        self.crashes.sort_by_key(|e| e.at);
        new
    }

    fn expire(&mut self, now: Instant) {
        self.crashes
            .retain(|e| now.duration_since(e.at) < CRASH_TTL);
        if self.crashes.len() >= MAX_CRASHES {
            self.crashes.remove(0);
        }
        if self.answers.len() >= MAX_ANSWERS {
            self.answers
                .retain(|_, at| now.duration_since(*at) < CRASH_TTL);
        }
    }

    /// Returns whether a server crashed under `fingerprint` after its last answer.
    pub fn is_suspected(&self, fingerprint: Fingerprint) -> bool {
        self.count(fingerprint) > 0
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
            .is_some_and(|answers| *answers >= at)
    }

    /// Returns whether there were too few groups of crashes for any cause that hasn't been known before.
    pub fn has_few_groups(&self) -> bool {
        self.groups().sizes.len() < MIN_GROUPS
    }

    /// Returns whether a server crashed later than `at`.
    pub fn has_crash_after(&self, at: Instant) -> bool {
        self.crashes.last().is_some_and(|crash| crash.at > at)
    }

    /// Returns when something that ran at a crash was first answered after the last one, and after `since`.
    pub fn answered_since_crashes(&self, since: Instant) -> Option<Instant> {
        let last = self.crashes.last()?.at.max(since);
        self.answers.values().copied().filter(|at| *at > last).min()
    }

    /// Returns what explains the crashes, and what may.
    ///
    /// `is_expired` tells which causes have been known before, so that one more crash is enough, and `is_refused` what is refused
    /// by now.
    pub fn explain(
        &self,
        is_expired: impl Fn(Fingerprint) -> bool,
        is_refused: impl Fn(Fingerprint) -> bool,
    ) -> Explanation {
        let groups = self.groups();
        let mut candidates = self.candidates(&groups, is_expired);
        candidates.sort_by_key(Candidate::rank);
        let causes = select_causes(candidates.iter(), Vec::new());
        let known = causes.len();
        let is_known = |c: &Candidate| causes.iter().any(|k| k.fingerprint == c.fingerprint);
        let suspects = candidates
            .iter()
            .filter(|c| !is_known(c) && self.is_comparable(c) && self.recurs(c));
        let mut suspects: Vec<Candidate> = suspects.map(Candidate::unshared).collect();
        suspects.sort_by_key(|c| (!is_refused(c.fingerprint), c.suspect_rank()));
        let all = select_causes(suspects.iter(), causes);
        let last = groups.sizes.len().wrapping_sub(1);
        let suspect = |c: &Candidate| Suspect {
            fingerprint: c.fingerprint,
            is_current: c.explained & (1 << last) != 0,
        };
        Explanation {
            causes: all[..known].iter().map(|c| c.fingerprint).collect(),
            suspects: all[known..].iter().map(suspect).collect(),
        }
    }

    /// Returns whether servers crashed under a candidate again, after those of before could be back.
    ///
    /// Servers that lose power one after another crash once, while nothing is answered.
    fn recurs(&self, candidate: &Candidate) -> bool {
        let crashes = self.crashes.iter().enumerate();
        let explained = crashes.filter(|(index, _)| candidate.crashes & (1 << index) != 0);
        let mut times = explained.map(|(_, crash)| crash.at);
        let first = times.next();
        let last = times.next_back();
        first
            .zip(last)
            .is_some_and(|(first, last)| last.duration_since(first) >= RECURRENCE_TIME)
    }

    /// Returns whether enough else ran at the crashes that a candidate explains, so that its answers can show the difference.
    fn is_comparable(&self, candidate: &Candidate) -> bool {
        let crashes = self.crashes.iter().enumerate();
        let explained = crashes.filter(|(index, _)| candidate.crashes & (1 << index) != 0);
        let all: usize = explained.map(|(_, crash)| crash.running.len()).sum();
        candidate.needed > 0 && candidate.runs * 4 <= all * 3
    }

    /// Returns what ran at enough crashes to be considered.
    fn candidates(
        &self,
        groups: &CrashGroups,
        is_expired: impl Fn(Fingerprint) -> bool,
    ) -> Vec<Candidate> {
        let mut candidates: Vec<Candidate> = Vec::new();
        for (fingerprint, runs) in self.runs_by_suspect() {
            let depth = runs.iter().filter_map(|r| r.depth).max();
            let needed = match depth {
                _ if is_expired(fingerprint) => 0,
                Some(0) => FIRST_PART_CRASHES,
                _ => CAUSE_CRASHES,
            };
            if runs.len() >= needed.max(1) as usize {
                candidates.push(Candidate::new(fingerprint, depth, needed, &runs, groups));
            }
        }
        candidates
    }

    /// Returns the runs that count against each request and each part of a prompt.
    fn runs_by_suspect(&self) -> BTreeMap<Fingerprint, Vec<Run>> {
        let mut runs: BTreeMap<Fingerprint, Vec<Run>> = BTreeMap::new();
        for (index, crash) in self.crashes.iter().enumerate() {
            for running in &crash.running {
                let suspects = running.suspects().enumerate();
                for (place, suspect) in suspects.filter(|(_, s)| self.counts(crash, *s)) {
                    runs.entry(suspect).or_default().push(Run {
                        crash: index,
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
/// Crashes, one bit each.
type CrashSet = u64;

/// What a server ran when it crashed, as it counts against one suspect.
#[derive(Debug, Clone, Copy)]
struct Run {
    /// Index of the crash.
    crash: usize,
    /// The request that it was.
    request: Fingerprint,
    /// Place of the suspect among the parts of the prompt; `None` for the whole request.
    depth: Option<usize>,
    events: u32,
    position: u64,
}

/// What may be the cause of crashes.
#[derive(Debug, Clone)]
struct Candidate {
    fingerprint: Fingerprint,
    /// Place among the parts of the prompt; `None` for a whole request.
    depth: Option<usize>,
    explained: GroupSet,
    /// Crashes of these groups.
    crashes: CrashSet,
    /// Weight of each group.
    weights: Vec<u32>,
    /// Weight of each group if several runs at a server don't share it.
    unshared: Vec<u32>,
    /// Times that it ran at these crashes.
    runs: usize,
    /// Crashes of each request that held it.
    by_request: BTreeMap<Fingerprint, CrashSet>,
    /// Crashes of full weight that it must explain and no other cause does; one of any weight if it is 0.
    needed: u32,
}

impl Candidate {
    fn new(
        fingerprint: Fingerprint,
        depth: Option<usize>,
        needed: u32,
        runs: &[Run],
        groups: &CrashGroups,
    ) -> Self {
        let mut by_request: BTreeMap<Fingerprint, CrashSet> = BTreeMap::new();
        for run in runs {
            *by_request.entry(run.request).or_default() |= 1 << run.crash;
        }
        let explained = groups.explained(runs);
        let crashes = groups.crashes_of(explained);
        let at_these = runs.iter().filter(|r| crashes & (1 << r.crash) != 0);
        Self {
            fingerprint,
            depth,
            explained,
            crashes,
            weights: groups.weights(runs, u32::MAX),
            unshared: groups.weights(runs, 1),
            runs: at_these.count(),
            by_request,
            needed,
        }
    }

    /// Returns its place in the order in which crashes are explained: what explains most comes first, and what is narrower.
    ///
    /// The first part of prompts comes last: if most requests share it, it ran at more crashes than a part that few hold.
    fn rank(&self) -> (bool, Reverse<u32>, Reverse<usize>) {
        let narrowness = self.depth.unwrap_or(usize::MAX);
        let weight = self.weight(self.explained);
        (self.depth == Some(0), Reverse(weight), Reverse(narrowness))
    }

    /// Returns the same with weights that several runs at a server don't share.
    fn unshared(&self) -> Self {
        let mut candidate = self.clone();
        candidate.weights.clone_from(&self.unshared);
        candidate
    }

    /// Returns its place among those of which it is uncertain whether they are only popular: what explains most crashes comes
    /// first, and what is rarer, since it is there less often by chance.
    fn suspect_rank(&self) -> (bool, Reverse<u32>, usize) {
        let count = self.crashes.count_ones();
        (self.depth == Some(0), Reverse(count), self.runs)
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
        let own = self.explained & !others;
        if self.weight(own) < (self.needed * CRASH_WEIGHT).max(1) {
            return false;
        }
        if self.needed > 0 && (own.count_ones() as usize) < MIN_GROUPS {
            return false;
        }
        // Requests that hold a part bring it into their own crashes, and so does a narrower part.
        let narrower = known.iter().map(|c| c.crashes);
        let mut single = self.by_request.values().copied().chain(narrower);
        self.depth.is_none()
            || self.needed == 0
            || single.all(|set| (self.crashes & !set).count_ones() >= PART_MARGIN)
    }
}

/// Adds those of the candidates to the causes that explain enough of what those before don't.
fn select_causes<'a>(
    candidates: impl Iterator<Item = &'a Candidate>,
    mut causes: Vec<Candidate>,
) -> Vec<Candidate> {
    for candidate in candidates {
        if candidate.is_cause(&causes) {
            causes.push(candidate.clone());
        }
    }
    causes
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
    /// Returns the crashes of some groups.
    fn crashes_of(&self, groups: GroupSet) -> CrashSet {
        let crashes = self.of_crashes.iter().enumerate();
        let own = crashes.filter(|(_, group)| groups & (1 << **group) != 0);
        own.fold(0, |set, (crash, _)| set | 1 << crash)
    }

    /// Returns the weight of each group for something that ran where servers crashed.
    ///
    /// A crash weighs the less the more often it ran there, up to `max_shares` times. Several servers that crash together count
    /// as two, not as one: where it ran at all of them, a whole service would have to crash three times.
    fn weights(&self, runs: &[Run], max_shares: u32) -> Vec<u32> {
        let mut least = vec![CRASH_WEIGHT; self.sizes.len()];
        let mut counts = vec![0_u32; self.sizes.len()];
        for at_crash in runs.chunk_by(|a, b| a.crash == b.crash) {
            let group = self.of_crashes[at_crash[0].crash];
            let shares = (at_crash.len() as u32).min(max_shares);
            least[group] = least[group].min(CRASH_WEIGHT / shares);
            counts[group] += 1;
        }
        let weights = least.iter().zip(&counts);
        let weights = weights.map(|(least, count)| least * (*count).min(MAX_WEIGHED));
        weights.collect()
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
