//! Requests that are held or refused, since servers crash under them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use super::evidence::{Evidence, Explanation, RunningRequest, Suspect};
use super::fingerprint::{Fingerprint, Fingerprints};
use super::report::{EntryReport, QuarantineReport, RecentChanges, millis};
use crate::routing::recent::{Audience, Source};
use crate::routing::registry::ServerRun;

/// Time from which on a cause is known until its requests are refused; they are held meanwhile.
///
/// Instances hear of crashes and of answers after up to half a second; an answer to the same request shows that it isn't the
/// cause.
const DECISION_DELAY: Duration = Duration::from_millis(600);
/// Shortest time between two searches for causes; in a large fleet, reports of a crash come from hundreds of instances.
const SEARCH_INTERVAL: Duration = Duration::from_millis(100);
/// Time without a request after which a quarantine expires; one more crash renews it.
pub const QUARANTINE_TTL: Duration = Duration::from_mins(10);
/// Time for which a quarantine that has expired is remembered.
const EXPIRED_TTL: Duration = Duration::from_hours(1);
/// Time for which a suspect is held until servers are back and answer other requests.
const TRIAL_TIME: Duration = Duration::from_secs(7);
/// Trials that may fail; where servers crash under all requests, each does.
const MAX_FAILED_TRIALS: usize = 2;
/// Time for which a failed trial counts.
const FAILED_TTL: Duration = Duration::from_mins(10);
/// Maximum number of quarantined requests; beyond them, the one that was refused longest ago is dropped.
const MAX_ENTRIES: usize = 128;
/// Rounds of reports between two announcements of all quarantined requests, for instances that missed one.
pub const REPEAT_ROUNDS: u64 = 10;
/// Time for which a new one is announced in each round.
const NEW_TIME: Duration = Duration::from_millis(900);

/// What may be done with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuarantineStatus {
    /// It may be sent.
    Clear,
    /// It is held until more is known, or until the instant given.
    Held(Instant),
    /// It must not be sent.
    Quarantined(Quarantined),
}

/// A request that must not be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Quarantined {
    /// Identity of what servers crashed under.
    pub fingerprint: Fingerprint,
    /// Servers that crashed under it.
    pub crashes: u32,
    /// Time after which it is tried again, if none comes meanwhile.
    pub retry_after: Duration,
}

/// A change of what is quarantined, for the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// It is quarantined; `heard` tells that another instance said so.
    Quarantined {
        /// Identity of what servers crashed under.
        fingerprint: Fingerprint,
        /// Servers that crashed under it.
        crashes: u32,
        /// Whether another instance decided it.
        heard: bool,
    },
    /// It is held, and what is answered meanwhile shows whether it is the cause.
    Trial(Fingerprint),
    /// It was answered after all, another cause explains the crashes, or an operator trusts it.
    Cleared(Fingerprint),
    /// None has come for a long time.
    Expired(Fingerprint),
}

#[derive(Debug, Clone, Copy)]
struct Entry {
    crashes: u32,
    since: Instant,
    /// When such a request was last refused anywhere.
    refused_at: Instant,
}

/// A suspect that is held until other requests are answered, or a server crashes without it.
#[derive(Debug, Clone, Copy)]
struct Trial {
    fingerprint: Fingerprint,
    since: Instant,
}

/// Crashes of servers, and what is held or refused because of them.
#[derive(Debug, Clone, Default)]
pub struct Quarantine {
    evidence: Evidence,
    /// Causes that are not yet certain, and since when they are known.
    held: BTreeMap<Fingerprint, Instant>,
    /// The suspect that is tried now.
    trial: Option<Trial>,
    /// When an answer was first begun here after the last crash, to a request that shares something with those that ran there.
    begun_at: Option<Instant>,
    /// When trials failed.
    failed_trials: Vec<Instant>,
    entries: BTreeMap<Fingerprint, Entry>,
    /// Quarantines that have expired, and when.
    expired: BTreeMap<Fingerprint, Instant>,
    /// Never held or refused, as an operator says.
    exempt: BTreeSet<Fingerprint>,
    /// When crashes or answers were recorded that no search for causes has seen.
    changed_at: Option<Instant>,
    searched_at: Option<Instant>,
    recent: RecentChanges,
    changes: Vec<Change>,
}

impl Quarantine {
    /// Returns whether nothing is known of any request, so that none needs a look.
    pub fn is_idle(&self) -> bool {
        self.evidence.is_empty() && self.entries.is_empty() && self.expired.is_empty()
    }

    /// Sets the requests that are never held or refused.
    pub fn set_exempt(&mut self, exempt: &[Fingerprint], now: Instant) {
        self.exempt = exempt.iter().copied().collect();
        for fingerprint in exempt {
            if self.entries.remove(fingerprint).is_some() {
                self.changes.push(Change::Cleared(*fingerprint));
            }
        }
        self.find_causes(now, now);
    }

    /// Returns the number of quarantined requests.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether nothing is quarantined.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns whether a request that broke off may be sent again: no server crashed under it before, and at most one under
    /// a part that few requests hold.
    pub fn allows_retry(&self, fingerprints: &Fingerprints) -> bool {
        let rare = fingerprints.parts.iter().skip(1);
        self.evidence.count(fingerprints.request) == 0
            && rare.copied().all(|part| self.evidence.count(part) <= 1)
    }

    /// Returns the number of servers that crashed under `fingerprint` after its last answer.
    pub fn earlier_crashes(&self, fingerprint: Fingerprint) -> usize {
        self.evidence.count(fingerprint)
    }

    /// Returns what may be done with a request; one that must not be sent counts as refused.
    pub fn status(&mut self, fingerprints: &Fingerprints, now: Instant) -> QuarantineStatus {
        self.update(now);
        for fingerprint in fingerprints.all() {
            if let Some(entry) = self.entries.get_mut(&fingerprint) {
                entry.refused_at = now;
                return QuarantineStatus::Quarantined(Quarantined {
                    fingerprint,
                    crashes: entry.crashes,
                    retry_after: QUARANTINE_TTL,
                });
            }
        }
        let held = fingerprints.all().filter_map(|f| self.held_until(f));
        held.max()
            .map_or(QuarantineStatus::Clear, QuarantineStatus::Held)
    }

    /// Returns until when requests with `fingerprint` are held, if nothing more is learnt.
    fn held_until(&self, fingerprint: Fingerprint) -> Option<Instant> {
        let trial = self.trial.filter(|t| t.fingerprint == fingerprint);
        let tried = trial.map(|t| self.decision_at(t).unwrap_or(t.since + TRIAL_TIME));
        let held = self.held.get(&fingerprint).map(|at| *at + DECISION_DELAY);
        tried.max(held)
    }

    /// Returns when a trial shows the cause, if no server crashes until then; `None` while nothing else is answered.
    fn decision_at(&self, trial: Trial) -> Option<Instant> {
        let answered = self.evidence.answered_since_crashes(trial.since);
        let begun = self
            .begun_at
            .filter(|at| *at >= trial.since && !self.evidence.has_crash_after(*at));
        let served = answered.into_iter().chain(begun).min()?;
        Some(served + DECISION_DELAY)
    }

    /// Records that a server crashed at `at` while it ran `running`; returns whether some of it is new.
    pub fn record_crash(
        &mut self,
        run: ServerRun,
        at: Instant,
        running: &[RunningRequest],
        source: Source,
        now: Instant,
    ) -> bool {
        let new = self.evidence.record_crash(run, at, running, now);
        if !new.is_empty() {
            self.recent.record_crash(run, at, &new, source, now);
            self.changed_at = Some(now);
        }
        !new.is_empty()
    }

    /// Records that a request was answered completely at `at`, if a server crashed under it; returns whether one did.
    pub fn record_answer(
        &mut self,
        fingerprint: Fingerprint,
        at: Instant,
        source: Source,
        now: Instant,
    ) -> bool {
        let is_expired = self.expired.remove(&fingerprint).is_some();
        let entry = self.entries.get(&fingerprint);
        let is_wrong = entry.is_some_and(|v| v.since <= at);
        if !is_wrong && !is_expired && !self.evidence.is_suspected(fingerprint) {
            return false;
        }
        self.evidence.record_answer(fingerprint, at);
        self.recent.record_answer(fingerprint, at, source, now);
        if is_wrong {
            self.entries.remove(&fingerprint);
            self.changes.push(Change::Cleared(fingerprint));
        }
        self.held.remove(&fingerprint);
        self.changed_at = Some(now);
        true
    }

    /// Records that a server began to answer a request; returns whether that may decide a trial.
    pub fn record_begin(&mut self, fingerprints: &Fingerprints, now: Instant) -> bool {
        let Some(trial) = self.trial else {
            return false;
        };
        let begun = self.begun_at.filter(|at| *at >= trial.since);
        let is_known = begun.is_some_and(|at| !self.evidence.has_crash_after(at));
        // What was sent with the suspect shows nothing of the others.
        if is_known || fingerprints.all().any(|f| f == trial.fingerprint) {
            return false;
        }
        let mut shared = fingerprints.all();
        let is_related = shared.any(|f| self.evidence.is_suspected(f));
        if is_related {
            self.begun_at = Some(now);
        }
        is_related
    }

    /// Takes over what another instance tells; returns whether some of it is new.
    pub fn apply(&mut self, report: &QuarantineReport, now: Instant) -> bool {
        let mut is_new = false;
        let before = |age_ms: u32| {
            let age = Duration::from_millis(age_ms.into());
            now.checked_sub(age).unwrap_or(now)
        };
        for crash in &report.crashes {
            let at = before(crash.age_ms);
            is_new |= self.record_crash(crash.run, at, &crash.running, Source::Peer, now);
        }
        for answers in &report.answers {
            let at = before(answers.age_ms);
            is_new |= self.record_answer(answers.fingerprint, at, Source::Peer, now);
        }
        for told in &report.entries {
            is_new |= self.apply_entry(told, before(told.age_ms), before(told.idle_ms), now);
        }
        is_new
    }

    fn apply_entry(
        &mut self,
        told: &EntryReport,
        since: Instant,
        refused_at: Instant,
        now: Instant,
    ) -> bool {
        let fingerprint = told.fingerprint;
        let is_over =
            now.duration_since(refused_at) >= QUARANTINE_TTL || self.exempt.contains(&fingerprint);
        if is_over || self.evidence.is_answered_since(fingerprint, since) {
            return false;
        }
        if let Some(known) = self.entries.get_mut(&fingerprint) {
            known.refused_at = known.refused_at.max(refused_at);
            known.crashes = known.crashes.max(told.crashes);
            return false;
        }
        let explanation = self.explain(Some(fingerprint));
        if self.is_superseded(fingerprint, told.crashes, &explanation) {
            return false;
        }
        let entry = Entry {
            crashes: told.crashes,
            since,
            refused_at,
        };
        self.insert_entry(fingerprint, entry, true);
        true
    }

    fn insert_entry(&mut self, fingerprint: Fingerprint, entry: Entry, heard: bool) {
        if self.entries.len() >= MAX_ENTRIES {
            let idle = self.entries.iter().min_by_key(|(_, v)| v.refused_at);
            if let Some(oldest) = idle.map(|(f, _)| *f) {
                self.entries.remove(&oldest);
                self.changes.push(Change::Expired(oldest));
            }
        }
        self.held.remove(&fingerprint);
        self.trial = self.trial.filter(|t| t.fingerprint != fingerprint);
        self.entries.insert(fingerprint, entry);
        self.changes.push(Change::Quarantined {
            fingerprint,
            crashes: entry.crashes,
            heard,
        });
    }

    /// Looks for causes anew in what was known at `known_at`; those that were found before keep their time.
    ///
    /// What was quarantined is let go if another cause turns out to explain all that spoke against it.
    fn find_causes(&mut self, known_at: Instant, now: Instant) {
        let explanation = if self.expired.is_empty() && self.evidence.has_few_groups() {
            Explanation::default()
        } else {
            self.explain(None)
        };
        let entries = self.entries.iter();
        let superseded = entries.filter(|(f, v)| self.is_superseded(**f, v.crashes, &explanation));
        let superseded: Vec<Fingerprint> = superseded.map(|(f, _)| *f).collect();
        for fingerprint in superseded {
            self.entries.remove(&fingerprint);
            self.changes.push(Change::Cleared(fingerprint));
        }
        let known = std::mem::take(&mut self.held);
        for cause in explanation.causes {
            if !self.entries.contains_key(&cause) && !self.exempt.contains(&cause) {
                let since = known.get(&cause).copied().unwrap_or(known_at);
                self.held.insert(cause, since);
            }
        }
        self.find_trial(&explanation.suspects, now);
    }

    /// Returns what explains the crashes; `told` is quarantined elsewhere.
    fn explain(&self, told: Option<Fingerprint>) -> Explanation {
        let is_refused = |f| told == Some(f) || self.entries.contains_key(&f);
        self.evidence
            .explain(|f| self.expired.contains_key(&f), is_refused)
    }

    /// Holds the likeliest suspect of the last crashes.
    ///
    /// What was held when servers crashed is not the cause. Few such trials are made, since one that goes on while another cause
    /// ends would seem to show it.
    fn find_trial(&mut self, suspects: &[Suspect], now: Instant) {
        let is_usable = |s: &&Suspect| {
            let fingerprint = s.fingerprint;
            s.is_current
                && !self.entries.contains_key(&fingerprint)
                && !self.exempt.contains(&fingerprint)
        };
        let mut usable = suspects.iter().filter(is_usable).map(|s| s.fingerprint);
        if let Some(trial) = self.trial {
            if usable.clone().any(|f| f == trial.fingerprint) {
                return;
            }
            self.trial = None;
            let is_cause = self.held.contains_key(&trial.fingerprint);
            let is_suspected = self.evidence.is_suspected(trial.fingerprint);
            if !is_cause && is_suspected && self.evidence.has_crash_after(trial.since) {
                self.failed_trials.push(now);
            }
        }
        let next = usable.next();
        if let Some(fingerprint) = next
            && self.failed_trials.len() < MAX_FAILED_TRIALS
        {
            self.trial = Some(Trial {
                fingerprint,
                since: now,
            });
            self.changes.push(Change::Trial(fingerprint));
        }
    }

    /// Returns whether all the `crashes` that speak against something are known here, and none of them is due to it.
    fn is_superseded(
        &self,
        fingerprint: Fingerprint,
        crashes: u32,
        explanation: &Explanation,
    ) -> bool {
        let mut suspects = explanation.suspects.iter();
        let explains = explanation.causes.contains(&fingerprint)
            || suspects.any(|s| s.fingerprint == fingerprint);
        !explains && self.evidence.count(fingerprint) >= crashes as usize
    }

    /// Quarantines causes that have been known for long enough, and lets quarantines expire that are no longer needed.
    pub fn update(&mut self, now: Instant) {
        let is_recent = |at: Instant| now.duration_since(at) < SEARCH_INTERVAL;
        if let Some(changed) = self.changed_at
            && !self.searched_at.is_some_and(is_recent)
        {
            self.changed_at = None;
            self.searched_at = Some(now);
            self.find_causes(changed, now);
        }
        let is_due = |since: &Instant| now.duration_since(*since) >= DECISION_DELAY;
        let due = self.held.iter().filter(|(_, since)| is_due(since));
        let due: Vec<Fingerprint> = due.map(|(f, _)| *f).collect();
        for fingerprint in due {
            self.decide(fingerprint, now);
        }
        self.update_trial(now);
        self.expire(now);
    }

    fn decide(&mut self, fingerprint: Fingerprint, now: Instant) {
        let entry = Entry {
            crashes: u32::try_from(self.evidence.count(fingerprint)).unwrap_or(u32::MAX),
            since: now,
            refused_at: now,
        };
        self.expired.remove(&fingerprint);
        self.insert_entry(fingerprint, entry, false);
    }

    /// Ends a trial that has shown the cause, or that nothing can show.
    fn update_trial(&mut self, now: Instant) {
        let Some(trial) = self.trial else {
            return;
        };
        if self.decision_at(trial).is_some_and(|at| now >= at) {
            self.decide(trial.fingerprint, now);
        } else if now.duration_since(trial.since) >= TRIAL_TIME {
            self.trial = None;
            self.failed_trials.push(now);
        }
    }

    fn expire(&mut self, now: Instant) {
        self.failed_trials
            .retain(|at| now.duration_since(*at) < FAILED_TTL);
        let is_over = |v: &Entry| now.duration_since(v.refused_at) >= QUARANTINE_TTL;
        let over = self.entries.iter().filter(|(_, v)| is_over(v));
        let over: Vec<Fingerprint> = over.map(|(f, _)| *f).collect();
        for fingerprint in over {
            self.entries.remove(&fingerprint);
            self.expired.insert(fingerprint, now);
            self.changes.push(Change::Expired(fingerprint));
        }
        self.expired
            .retain(|_, at| now.duration_since(*at) < EXPIRED_TTL);
    }

    /// Returns the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// Returns messages with what other instances should learn; `all` adds every quarantined request.
    pub fn messages(&self, audience: Audience, all: bool, now: Instant) -> Vec<QuarantineReport> {
        let is_told = |v: &Entry| all || now.duration_since(v.since) < NEW_TIME;
        let told = self.entries.iter().filter(|(_, v)| is_told(v));
        let entries: Vec<EntryReport> = told
            .map(|(fingerprint, v)| EntryReport {
                fingerprint: *fingerprint,
                crashes: v.crashes,
                age_ms: millis(now.duration_since(v.since)),
                idle_ms: millis(now.duration_since(v.refused_at)),
            })
            .collect();
        self.recent.messages(audience, &entries, now)
    }
}
