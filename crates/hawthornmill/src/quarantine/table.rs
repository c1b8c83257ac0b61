//! Requests that are held or refused, since servers end under them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use super::evidence::{Evidence, RunningRequest};
use super::fingerprint::{Fingerprint, Fingerprints};
use super::news::{QuarantineNews, RecentNews, VerdictNews, millis};
use crate::routing::recent::{Audience, Source};
use crate::routing::registry::ServerRun;

/// Time from which on a cause is known until its requests are refused; they are held meanwhile.
///
/// Instances hear of ends and of answers after up to half a second; an answer to the same request shows that it isn't the
/// cause.
const VERDICT_DELAY: Duration = Duration::from_millis(600);
/// Shortest time between two searches for causes; in a large fleet, reports of an end come from hundreds of instances.
const SEARCH_INTERVAL: Duration = Duration::from_millis(100);
/// Time without a request after which a quarantine ends; one more end renews it.
pub const QUARANTINE_TTL: Duration = Duration::from_mins(10);
/// Time for which a quarantine that has ended is remembered.
const LAPSED_TTL: Duration = Duration::from_hours(1);
/// Maximum number of quarantined requests; beyond them, the one that was refused longest ago is dropped.
const MAX_VERDICTS: usize = 128;
/// Rounds of reports between two announcements of all quarantined requests, for instances that missed one.
pub const REPEAT_ROUNDS: u64 = 10;
/// Time for which a new one is announced in each round.
const NEW_TIME: Duration = Duration::from_millis(900);

/// What may be done with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
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
    /// Identity of what servers ended under.
    pub fingerprint: Fingerprint,
    /// Servers that ended under it.
    pub ends: u32,
    /// Time after which it is tried again, if none comes meanwhile.
    pub retry_after: Duration,
}

/// A change of what is quarantined, for the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// It is quarantined; `heard` tells that another instance said so.
    Quarantined {
        /// Identity of what servers ended under.
        fingerprint: Fingerprint,
        /// Servers that ended under it.
        ends: u32,
        /// Whether another instance decided it.
        heard: bool,
    },
    /// It was answered after all, another cause explains the ends, or an operator trusts it.
    Cleared(Fingerprint),
    /// None has come for a long time.
    Lapsed(Fingerprint),
}

#[derive(Debug, Clone, Copy)]
struct Verdict {
    ends: u32,
    since: Instant,
    /// When such a request was last refused anywhere.
    refused_at: Instant,
}

/// Ends of servers, and what is held or refused because of them.
#[derive(Debug, Clone, Default)]
pub struct Quarantine {
    evidence: Evidence,
    /// Causes that are not yet certain, and since when they are known.
    held: BTreeMap<Fingerprint, Instant>,
    verdicts: BTreeMap<Fingerprint, Verdict>,
    /// Quarantines that have ended, and when.
    lapsed: BTreeMap<Fingerprint, Instant>,
    /// Never held or refused, as an operator says.
    trusted: BTreeSet<Fingerprint>,
    /// When ends or answers were recorded that no search for causes has seen.
    changed_at: Option<Instant>,
    searched_at: Option<Instant>,
    recent: RecentNews,
    changes: Vec<Change>,
}

impl Quarantine {
    /// Returns whether nothing is known of any request, so that none needs a look.
    pub fn is_idle(&self) -> bool {
        self.evidence.is_empty() && self.verdicts.is_empty() && self.lapsed.is_empty()
    }

    /// Sets the requests that are never held or refused.
    pub fn set_trusted(&mut self, trusted: &[Fingerprint], now: Instant) {
        self.trusted = trusted.iter().copied().collect();
        for fingerprint in trusted {
            if self.verdicts.remove(fingerprint).is_some() {
                self.changes.push(Change::Cleared(*fingerprint));
            }
        }
        self.find_causes(now);
    }

    /// Returns the number of quarantined requests.
    pub fn len(&self) -> usize {
        self.verdicts.len()
    }

    /// Returns whether nothing is quarantined.
    pub fn is_empty(&self) -> bool {
        self.verdicts.is_empty()
    }

    /// Returns whether a request that broke off may be sent again: no server ended under it before, and at most one under
    /// a part that few requests hold.
    pub fn allows_retry(&self, fingerprints: &Fingerprints) -> bool {
        let rare = fingerprints.parts.iter().skip(1);
        self.evidence.count(fingerprints.request) == 0
            && rare.copied().all(|part| self.evidence.count(part) <= 1)
    }

    /// Returns the number of servers that ended under `fingerprint` after its last answer.
    pub fn earlier_ends(&self, fingerprint: Fingerprint) -> usize {
        self.evidence.count(fingerprint)
    }

    /// Returns what may be done with a request; one that must not be sent counts as refused.
    pub fn standing(&mut self, fingerprints: &Fingerprints, now: Instant) -> Standing {
        self.update(now);
        for fingerprint in fingerprints.all() {
            if let Some(verdict) = self.verdicts.get_mut(&fingerprint) {
                verdict.refused_at = now;
                return Standing::Quarantined(Quarantined {
                    fingerprint,
                    ends: verdict.ends,
                    retry_after: QUARANTINE_TTL,
                });
            }
        }
        let held = fingerprints.all().filter_map(|f| self.held.get(&f));
        match held.max() {
            Some(since) => Standing::Held(*since + VERDICT_DELAY),
            None => Standing::Clear,
        }
    }

    /// Records that a server ended at `at` while it ran `running`; returns whether some of it is new.
    pub fn record_end(
        &mut self,
        run: ServerRun,
        at: Instant,
        running: &[RunningRequest],
        source: Source,
        now: Instant,
    ) -> bool {
        let new = self.evidence.record_end(run, at, running, now);
        if !new.is_empty() {
            self.recent.record_end(run, at, &new, source, now);
            self.changed_at = Some(now);
        }
        !new.is_empty()
    }

    /// Records that a request was answered completely at `at`, if a server ended under it; returns whether one did.
    pub fn record_sound(
        &mut self,
        fingerprint: Fingerprint,
        at: Instant,
        source: Source,
        now: Instant,
    ) -> bool {
        let is_lapsed = self.lapsed.remove(&fingerprint).is_some();
        let verdict = self.verdicts.get(&fingerprint);
        let is_wrong = verdict.is_some_and(|v| v.since <= at);
        if !is_wrong && !is_lapsed && !self.evidence.is_suspected(fingerprint) {
            return false;
        }
        self.evidence.record_sound(fingerprint, at);
        self.recent.record_sound(fingerprint, at, source, now);
        if is_wrong {
            self.verdicts.remove(&fingerprint);
            self.changes.push(Change::Cleared(fingerprint));
        }
        self.held.remove(&fingerprint);
        self.changed_at = Some(now);
        true
    }

    /// Takes over what another instance tells; returns whether some of it is new.
    pub fn apply(&mut self, news: &QuarantineNews, now: Instant) -> bool {
        let mut is_new = false;
        let before = |age_ms: u32| {
            let age = Duration::from_millis(age_ms.into());
            now.checked_sub(age).unwrap_or(now)
        };
        for end in &news.ends {
            let at = before(end.age_ms);
            is_new |= self.record_end(end.run, at, &end.running, Source::Peer, now);
        }
        for sound in &news.sound {
            let at = before(sound.age_ms);
            is_new |= self.record_sound(sound.fingerprint, at, Source::Peer, now);
        }
        for told in &news.verdicts {
            is_new |= self.apply_verdict(told, before(told.age_ms), before(told.idle_ms), now);
        }
        is_new
    }

    fn apply_verdict(
        &mut self,
        told: &VerdictNews,
        since: Instant,
        refused_at: Instant,
        now: Instant,
    ) -> bool {
        let fingerprint = told.fingerprint;
        let is_over =
            now.duration_since(refused_at) >= QUARANTINE_TTL || self.trusted.contains(&fingerprint);
        if is_over || self.evidence.is_sound_since(fingerprint, since) {
            return false;
        }
        if let Some(known) = self.verdicts.get_mut(&fingerprint) {
            known.refused_at = known.refused_at.max(refused_at);
            known.ends = known.ends.max(told.ends);
            return false;
        }
        let lapsed = &self.lapsed;
        let causes = self.evidence.causes(|f| lapsed.contains_key(&f));
        if self.is_unfounded(fingerprint, told.ends, &causes) {
            return false;
        }
        let verdict = Verdict {
            ends: told.ends,
            since,
            refused_at,
        };
        self.insert_verdict(fingerprint, verdict, true);
        true
    }

    fn insert_verdict(&mut self, fingerprint: Fingerprint, verdict: Verdict, heard: bool) {
        if self.verdicts.len() >= MAX_VERDICTS {
            let idle = self.verdicts.iter().min_by_key(|(_, v)| v.refused_at);
            if let Some(oldest) = idle.map(|(f, _)| *f) {
                self.verdicts.remove(&oldest);
                self.changes.push(Change::Lapsed(oldest));
            }
        }
        self.held.remove(&fingerprint);
        self.verdicts.insert(fingerprint, verdict);
        self.changes.push(Change::Quarantined {
            fingerprint,
            ends: verdict.ends,
            heard,
        });
    }

    /// Looks for causes anew in what was known at `now`; those that were found before keep their time.
    ///
    /// What was quarantined is let go if another cause turns out to explain all that spoke against it.
    fn find_causes(&mut self, now: Instant) {
        let lapsed = &self.lapsed;
        let causes = if lapsed.is_empty() && self.evidence.is_thin() {
            Vec::new()
        } else {
            self.evidence.causes(|f| lapsed.contains_key(&f))
        };
        let verdicts = self.verdicts.iter();
        let unfounded = verdicts.filter(|(f, v)| self.is_unfounded(**f, v.ends, &causes));
        let unfounded: Vec<Fingerprint> = unfounded.map(|(f, _)| *f).collect();
        for fingerprint in unfounded {
            self.verdicts.remove(&fingerprint);
            self.changes.push(Change::Cleared(fingerprint));
        }
        let known = std::mem::take(&mut self.held);
        for cause in causes {
            if !self.verdicts.contains_key(&cause) && !self.trusted.contains(&cause) {
                let since = known.get(&cause).copied().unwrap_or(now);
                self.held.insert(cause, since);
            }
        }
    }

    /// Returns whether all the `ends` that speak against something are known here, and none of them is due to it.
    fn is_unfounded(&self, fingerprint: Fingerprint, ends: u32, causes: &[Fingerprint]) -> bool {
        !causes.contains(&fingerprint) && self.evidence.count(fingerprint) >= ends as usize
    }

    /// Quarantines causes that have been known for long enough, and ends quarantines that are no longer needed.
    pub fn update(&mut self, now: Instant) {
        let is_recent = |at: Instant| now.duration_since(at) < SEARCH_INTERVAL;
        if let Some(changed) = self.changed_at
            && !self.searched_at.is_some_and(is_recent)
        {
            self.changed_at = None;
            self.searched_at = Some(now);
            self.find_causes(changed);
        }
        let is_due = |since: &Instant| now.duration_since(*since) >= VERDICT_DELAY;
        let due = self.held.iter().filter(|(_, since)| is_due(since));
        let due: Vec<Fingerprint> = due.map(|(f, _)| *f).collect();
        for fingerprint in due {
            let verdict = Verdict {
                ends: u32::try_from(self.evidence.count(fingerprint)).unwrap_or(u32::MAX),
                since: now,
                refused_at: now,
            };
            self.lapsed.remove(&fingerprint);
            self.insert_verdict(fingerprint, verdict, false);
        }
        self.lapse(now);
    }

    fn lapse(&mut self, now: Instant) {
        let is_over = |v: &Verdict| now.duration_since(v.refused_at) >= QUARANTINE_TTL;
        let over = self.verdicts.iter().filter(|(_, v)| is_over(v));
        let over: Vec<Fingerprint> = over.map(|(f, _)| *f).collect();
        for fingerprint in over {
            self.verdicts.remove(&fingerprint);
            self.lapsed.insert(fingerprint, now);
            self.changes.push(Change::Lapsed(fingerprint));
        }
        self.lapsed
            .retain(|_, at| now.duration_since(*at) < LAPSED_TTL);
    }

    /// Returns the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// Returns messages with what other instances should learn; `all` adds every quarantined request.
    pub fn messages(&self, audience: Audience, all: bool, now: Instant) -> Vec<QuarantineNews> {
        let is_told = |v: &Verdict| all || now.duration_since(v.since) < NEW_TIME;
        let told = self.verdicts.iter().filter(|(_, v)| is_told(v));
        let verdicts: Vec<VerdictNews> = told
            .map(|(fingerprint, v)| VerdictNews {
                fingerprint: *fingerprint,
                ends: v.ends,
                age_ms: millis(now.duration_since(v.since)),
                idle_ms: millis(now.duration_since(v.refused_at)),
            })
            .collect();
        self.recent.messages(audience, &verdicts, now)
    }
}
