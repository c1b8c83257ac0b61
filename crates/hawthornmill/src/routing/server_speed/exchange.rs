//! Builds the messages on the servers' speed, and takes over those of other instances.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::evidence::Evidence;
use super::refresh::SERVICE_TTL;
use super::report::{
    LastingEntry, MAX_LASTING, MAX_MOMENTARY, MomentaryEntry, RunTag, SpeedReport,
};
use super::{Figure, LastFigure, SpeedTable, USUAL_PERCENT};
use crate::ident::{DomainId, Incarnation, InstanceId};
use crate::routing::load_parts::Scope;
use crate::routing::registry::Registry;

/// Deviation from the usual figure from which a figure is told to others, in percent.
const TOLD_DEVIATION: f64 = 20.0;
/// Age up to which a figure is told.
const TOLD_AGE: Duration = Duration::from_millis(300);
/// Weight below which evidence is neither told nor kept.
const LEAST_WEIGHT: f64 = 0.25;
/// Runs of which one peer's evidence is kept, so that messages can't fill the memory.
const MAX_RUNS: usize = 16_384;

/// Who is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Listeners {
    /// Instances that get this instance's own reports: the failure domain, or the whole small fleet.
    Near,
    /// Relays of other failure domains, on behalf of the own one.
    OtherDomains,
    /// Members of a large failure domain, which hear from its relay only.
    Members,
    /// An instance that has just started.
    Newcomer,
}

/// Who was told a figure, and whether it came from the own failure domain.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Told {
    listeners: [bool; 4],
    is_remote: bool,
    is_heard: bool,
}

impl Told {
    const fn may_tell(self, listeners: Listeners) -> bool {
        let is_known_there = match listeners {
            Listeners::Near => self.is_heard,
            Listeners::OtherDomains => self.is_remote,
            Listeners::Members => false,
            // What is new is worth nothing before it has a catalog.
            Listeners::Newcomer => true,
        };
        !is_known_there && !self.listeners[listeners as usize]
    }
}

/// Whose evidence it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Origin {
    /// One run of an instance; what an earlier run measured still counts.
    Instance(InstanceId, Incarnation),
    Domain(DomainId),
    Fleet,
}

/// Evidence of other instances.
#[derive(Debug, Clone, Default)]
pub(super) struct PeerEvidence {
    by_origin: BTreeMap<Origin, BTreeMap<RunTag, Evidence>>,
}

impl PeerEvidence {
    fn record(&mut self, origin: Origin, entry: LastingEntry, now: Instant) {
        let runs = self.by_origin.entry(origin).or_default();
        if runs.len() < MAX_RUNS || runs.contains_key(&entry.run) {
            let evidence = Evidence::new(entry.log(), entry.weight(), now);
            runs.insert(entry.run, evidence);
        }
    }

    /// Drops what counts no more.
    pub(super) fn drop_faded(&mut self, now: Instant) {
        self.by_origin.retain(|_, runs| {
            runs.retain(|_, evidence| evidence.decayed(now).weight() >= LEAST_WEIGHT);
            !runs.is_empty()
        });
    }

    /// Returns the sums of all evidence with `own`.
    ///
    /// Sums of the fleet hold what instances and domains tell as well, so the heavier of the two counts.
    pub(super) fn sums_with(
        &self,
        own: BTreeMap<RunTag, Evidence>,
        now: Instant,
    ) -> BTreeMap<RunTag, Evidence> {
        let mut sums = merged(self.sums_of(|origin| origin != Origin::Fleet, now), own);
        for (tag, fleet) in self.sums_of(|origin| origin == Origin::Fleet, now) {
            let sum = sums.entry(tag).or_insert(Evidence::EMPTY);
            if fleet.weight() > sum.weight() {
                *sum = fleet;
            }
        }
        sums
    }

    /// Returns the sums of the evidence from origins for which `counts` returns true.
    fn sums_of(&self, counts: impl Fn(Origin) -> bool, now: Instant) -> BTreeMap<RunTag, Evidence> {
        let mut sums: BTreeMap<RunTag, Evidence> = BTreeMap::new();
        let counted = self.by_origin.iter().filter(|(origin, _)| counts(**origin));
        for (tag, evidence) in counted.flat_map(|(_, runs)| runs) {
            let sum = sums.entry(*tag).or_insert(Evidence::EMPTY);
            sum.merge(evidence.decayed(now));
        }
        sums
    }

    pub(super) fn forget(&mut self, run: RunTag) {
        for runs in self.by_origin.values_mut() {
            runs.remove(&run);
        }
    }
}

/// The run after which the next message begins, for each kind of listeners.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Rotation([Option<RunTag>; 4]);

impl Rotation {
    /// Returns the entries of the next message; all of them take turns if there are more than fit.
    fn next(
        &mut self,
        listeners: Listeners,
        all: &BTreeMap<RunTag, Evidence>,
    ) -> Vec<LastingEntry> {
        let last = self.0[listeners as usize];
        let is_after = |tag: RunTag| last.is_none_or(|last| tag > last);
        let after = all.iter().filter(|(tag, _)| is_after(**tag));
        let before = all.iter().filter(|(tag, _)| !is_after(**tag));
        let heavy = after
            .chain(before)
            .filter(|(_, e)| e.weight() >= LEAST_WEIGHT);
        let entries: Vec<LastingEntry> = heavy
            .take(MAX_LASTING)
            .map(|(tag, e)| LastingEntry::new(*tag, e.log(), e.weight()))
            .collect();
        self.0[listeners as usize] = entries.last().map(|e| e.run);
        entries
    }
}

impl SpeedTable {
    /// Returns what this instance measured itself; the lasting parts only if `with_lasting`.
    pub fn own_report(&mut self, with_lasting: bool, now: Instant) -> SpeedReport {
        let lasting = with_lasting.then(|| self.own_evidence(now));
        self.report(Scope::Instance, Listeners::Near, lasting, now)
    }

    /// Returns what the instances of `domain` measured, of which this is one and `is_member` tells the others.
    pub fn domain_report(
        &mut self,
        domain: DomainId,
        is_member: impl Fn(InstanceId) -> bool,
        with_lasting: bool,
        now: Instant,
    ) -> SpeedReport {
        let lasting = with_lasting.then(|| {
            let counts = |origin| matches!(origin, Origin::Instance(id, _) if is_member(id));
            let sums = self.peers.sums_of(counts, now);
            merged(sums, self.own_evidence(now))
        });
        self.report(Scope::Domain(domain), Listeners::OtherDomains, lasting, now)
    }

    /// Returns what instances and failure domains told this relay, for the members of its large domain.
    ///
    /// What another relay told of the fleet is left out, or two relays would tell each other their own sums.
    pub fn fleet_report(&mut self, with_lasting: bool, now: Instant) -> SpeedReport {
        let lasting = with_lasting.then(|| {
            let sums = self.peers.sums_of(|origin| origin != Origin::Fleet, now);
            merged(sums, self.own_evidence(now))
        });
        self.report(Scope::RestOfFleet, Listeners::Members, lasting, now)
    }

    /// Returns the lasting parts by all that is known here, for an instance that has just started.
    pub fn newcomer_report(&mut self, now: Instant) -> SpeedReport {
        let lasting = self.peers.sums_with(self.own_evidence(now), now);
        self.report(Scope::RestOfFleet, Listeners::Newcomer, Some(lasting), now)
    }

    /// Returns the number of messages that tell the lasting parts of all servers.
    pub fn parts(&self) -> usize {
        self.servers.len().div_ceil(MAX_LASTING)
    }

    fn report(
        &mut self,
        scope: Scope,
        listeners: Listeners,
        lasting: Option<BTreeMap<RunTag, Evidence>>,
        now: Instant,
    ) -> SpeedReport {
        let lasting = lasting.map(|all| self.rotation.next(listeners, &all));
        SpeedReport {
            scope,
            lasting: lasting.unwrap_or_default(),
            momentary: self.take_figures(listeners, now),
        }
    }

    /// Returns what this instance measured of services whose figures it reads itself.
    ///
    /// Instances that told each other more would take the service for one that reports figures long after the last one.
    fn own_evidence(&self, now: Instant) -> BTreeMap<RunTag, Evidence> {
        let reads = |service| {
            let last = self.services.get(&service).and_then(|last| last.read_at);
            last.is_some_and(|at| now.saturating_duration_since(at) < SERVICE_TTL)
        };
        let measured = self.servers.iter().filter(|(_, s)| s.own.weight() > 0.0);
        measured
            .filter(|(_, s)| reads(s.service))
            .map(|(server, s)| (RunTag::of(*server, s.start_ms), s.own.decayed(now)))
            .collect()
    }

    /// Returns the new figures that `listeners` should know and were not told.
    fn take_figures(&mut self, listeners: Listeners, now: Instant) -> Vec<MomentaryEntry> {
        let mut entries = Vec::new();
        for (server, speed) in &mut self.servers {
            let Some(known) = &mut speed.figure else {
                continue;
            };
            let deviation = f64::from(known.value.percent()) - USUAL_PERCENT;
            let is_told = deviation.abs() >= TOLD_DEVIATION && known.age(now) < TOLD_AGE;
            if entries.len() < MAX_MOMENTARY && is_told && known.told.may_tell(listeners) {
                known.told.listeners[listeners as usize] = true;
                let run = RunTag::of(*server, speed.start_ms);
                let age = known.age(now).as_millis() as u16;
                entries.push(MomentaryEntry::new(run, known.value, age));
            }
        }
        entries
    }

    /// Takes over what `sender` reports. Reports of the own failure domain `own` in sum are left out: its instances are heard
    /// themselves.
    pub fn apply(
        &mut self,
        (sender, run): (InstanceId, Incarnation),
        own: DomainId,
        report: &SpeedReport,
        registry: &Registry,
        now: Instant,
    ) {
        let origin = match report.scope {
            Scope::Instance => Origin::Instance(sender, run),
            Scope::Domain(domain) if domain == own => return,
            Scope::Domain(domain) => Origin::Domain(domain),
            Scope::RestOfFleet => Origin::Fleet,
        };
        self.update_index(registry);
        for entry in &report.lasting {
            self.peers.record(origin, *entry, now);
            self.mark_reporting(entry.run, now);
        }
        for entry in &report.momentary {
            self.mark_reporting(entry.run, now);
            self.apply_figure(*entry, report.scope != Scope::Instance, registry, now);
        }
        self.refresh_if_due(registry, now);
    }

    fn mark_reporting(&mut self, run: RunTag, now: Instant) {
        if let Some(run) = self.index.get(run) {
            let heard = LastFigure {
                at: now,
                read_at: None,
            };
            self.services.entry(run.service).or_insert(heard).at = now;
        }
    }

    /// Takes over a figure that is newer than the known one.
    fn apply_figure(
        &mut self,
        entry: MomentaryEntry,
        is_remote: bool,
        registry: &Registry,
        now: Instant,
    ) {
        let known = self.index.get(entry.run);
        let registered = known.and_then(|run| registry.get(run.server));
        let (Some(known), Some(registered)) = (known, registered) else {
            return;
        };
        let age = Duration::from_millis(entry.age_ms.into());
        let (Some(figure), Some(at)) = (entry.figure(), now.checked_sub(age)) else {
            return;
        };
        let speed = self.run(known.server, &registered.registration);
        if speed.figure.is_none_or(|f| f.at < at) {
            let told = Told {
                is_remote,
                is_heard: true,
                ..Told::default()
            };
            speed.figure = Some(Figure {
                value: figure,
                at,
                told,
            });
        }
    }
}

/// Returns the sum of `one` and `other`.
fn merged(
    mut one: BTreeMap<RunTag, Evidence>,
    other: BTreeMap<RunTag, Evidence>,
) -> BTreeMap<RunTag, Evidence> {
    for (tag, evidence) in other {
        one.entry(tag).or_insert(Evidence::EMPTY).merge(evidence);
    }
    one
}
