//! Who is live, leaving or dead.
//!
//! Three sources speak of an instance: the platform's list (lagging), heartbeats inside the failure
//! domain and between instances that work together, and reports that relays pass on. An instance is
//! live while either of the last two is heard; it is leaving as soon as any of the three says so.
//! [`placement`] derives owners, relays and readers from that view; nothing is elected.

pub mod placement;
pub mod reports;
pub mod roster;
pub mod startup;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::ident::{DomainId, Incarnation, InstanceId, RegionId};
use crate::wire::message::Contact;
use placement::STABLE_AFTER;
use roster::Roster;

/// Intervals that may pass in silence before an instance counts as dead.
const MAX_MISSED_HEARTBEATS: u32 = 3;
/// Least silence after which an instance counts as dead.
const MIN_TIMEOUT: Duration = Duration::from_millis(500);
/// Silence after which an instance counts as dead whose heartbeats have ended for want of need.
const RELAYED_TIMEOUT: Duration = Duration::from_secs(3);
/// Silence after which an instance that the platform does not list is forgotten.
const EXPIRE_AFTER: Duration = Duration::from_mins(1);
/// Longest steadiness that is told, in tenths of a second.
const MAX_STABLE_TENTHS: u128 = 255;
/// Difference between the told and the known steadiness that is taken for rounding and delay.
const STABILITY_TOLERANCE: Duration = Duration::from_millis(200);

/// Time for one heartbeat to one instance, so that all of them stay within about 1.2 KB/s.
const HEARTBEAT_SPACING: Duration = Duration::from_millis(50);
/// Longest time between heartbeats.
const MAX_HEARTBEAT_INTERVAL: Duration = Duration::from_secs(5);

/// Time between heartbeats to `targets` instances: `base`, or longer when they are many.
///
/// The receiver's patience follows from the interval, which each heartbeat tells.
pub fn heartbeat_interval(base: Duration, targets: usize) -> Duration {
    (HEARTBEAT_SPACING * targets as u32)
        .min(MAX_HEARTBEAT_INTERVAL)
        .max(base)
}

/// Who says that an instance leaves.
#[derive(Debug, Clone, Copy, Default)]
pub struct LeavingSources {
    /// It said so itself; never taken back within one run.
    pub announced: bool,
    /// The platform's list says so.
    pub listed: bool,
}

/// One instance as this one sees it.
#[derive(Debug, Clone)]
pub struct Member {
    /// How to reach it.
    pub contact: Contact,
    /// Its failure domain.
    pub domain: DomainId,
    /// Its region.
    pub region: RegionId,
    /// Its latest process run that was heard of.
    pub incarnation: Incarnation,
    /// It takes no new work, by any of `words`.
    pub leaving: bool,
    /// Who says that it leaves.
    pub leaving_sources: LeavingSources,
    /// Configuration revision in force there.
    pub revision: u64,
    /// It was heard recently enough.
    pub live: bool,
    /// Since when it is steady: it started, woke, or was heard again after a silence.
    pub stable_since: Instant,
    /// When it was heard again after a silence that was not this instance's own.
    pub returned: Option<Instant>,
    /// Last sign of life.
    pub last_heard: Option<Instant>,
    /// Silence after which it counts as dead.
    pub timeout: Duration,
    /// The last sign came from itself, and more are to come.
    pub direct: bool,
}

impl Member {
    /// Tells whether the last sign of life is recent enough.
    pub fn within_timeout(&self, now: Instant) -> bool {
        self.last_heard
            .is_some_and(|h| now.duration_since(h) <= self.timeout)
    }

    /// Tells whether it has been steady for long enough to be preferred as an owner.
    pub fn is_stable(&self, now: Instant) -> bool {
        now.duration_since(self.stable_since) >= STABLE_AFTER
    }

    fn update_leaving(&mut self) -> bool {
        let leaving = self.leaving_sources.announced || self.leaving_sources.listed;
        std::mem::replace(&mut self.leaving, leaving) != leaving
    }
}

/// A sign of life.
#[derive(Debug, Clone, Copy)]
pub struct LivenessUpdate {
    /// Who gave it.
    pub from: InstanceId,
    /// Process run of the giver.
    pub incarnation: Incarnation,
    /// The giver takes no new work.
    pub leaving: bool,
    /// Configuration revision in force there.
    pub revision: u64,
    /// Time until the next sign of this kind is due; zero when there will be none, and reports that
    /// relays pass on must do.
    pub interval: Duration,
    /// Tenths of a second for which the giver has been steady.
    pub stable_tenths: u8,
    /// It came from the giver itself; a relayed one is older by an unknown time.
    pub direct: bool,
}

/// Every instance that this one knows of, itself included.
#[derive(Debug, Clone)]
pub struct Members {
    /// This instance.
    pub me: InstanceId,
    /// Members by key.
    pub map: BTreeMap<InstanceId, Member>,
    /// Something changed that owners or relays depend on.
    pub changed: bool,
    /// Members that fell silent since owners were last worked out.
    pub newly_dead: Vec<InstanceId>,
    /// Members that were heard again, or for the first time, since then.
    pub newly_live: Vec<InstanceId>,
    /// When most of the own failure domain was last silent.
    partitioned_at: Option<Instant>,
}

impl Members {
    /// A view that knows only this instance.
    pub fn new(me: InstanceId, contact: Contact, incarnation: Incarnation, now: Instant) -> Self {
        let mut own = new_member(contact, now);
        own.incarnation = incarnation;
        own.live = true;
        Self {
            me,
            map: BTreeMap::from([(me, own)]),
            changed: true,
            newly_dead: Vec::new(),
            newly_live: Vec::new(),
            partitioned_at: None,
        }
    }

    /// The record of this instance.
    ///
    /// # Panics
    /// Never: the record is made with the view and not removed.
    pub fn own(&self) -> &Member {
        &self.map[&self.me]
    }

    /// Learns how to reach an instance, from the platform's list or from itself.
    pub fn upsert_contact(&mut self, contact: Contact, now: Instant) {
        let id = InstanceId::of(&contact.name);
        if id == self.me {
            return;
        }
        if let Some(known) = self.map.get_mut(&id) {
            if known.contact != contact {
                known.domain = DomainId::of(&contact.domain);
                known.region = RegionId::of(&contact.region);
                known.contact = contact;
                self.changed = true;
            }
            return;
        }
        self.map.insert(id, new_member(contact, now));
        self.changed = true;
    }

    /// Takes an instance's own word that it is leaving.
    pub fn set_leaving(&mut self, id: InstanceId) {
        if let Some(member) = self.map.get_mut(&id) {
            member.leaving_sources.announced = true;
            self.changed |= member.update_leaving();
        }
    }

    /// Takes contacts and the word on leaving from the platform's list.
    pub fn apply_roster(&mut self, roster: &Roster, now: Instant) {
        for (_, listed) in roster.entries() {
            self.upsert_contact(listed.contact.clone(), now);
        }
        for (id, member) in &mut self.map {
            member.leaving_sources.listed = roster.get(*id).is_some_and(|l| l.leaving);
            self.changed |= member.update_leaving();
        }
    }

    /// Forgets instances that are gone for good, not listed and long silent, and returns them.
    pub fn remove_expired(&mut self, roster: &Roster, now: Instant) -> Vec<InstanceId> {
        let me = self.me;
        let gone = |id: &InstanceId, member: &Member| {
            let last = member.last_heard.unwrap_or(member.stable_since);
            let silent = !member.live && now.duration_since(last) > EXPIRE_AFTER;
            *id != me && silent && roster.get(*id).is_none()
        };
        let ids: Vec<InstanceId> = self
            .map
            .iter()
            .filter(|(id, member)| gone(id, member))
            .map(|(id, _)| *id)
            .collect();
        for id in &ids {
            self.map.remove(id);
        }
        ids
    }

    /// What this instance says of itself.
    pub fn own_liveness(&self, revision: u64, interval: Duration, now: Instant) -> LivenessUpdate {
        let own = self.own();
        LivenessUpdate {
            from: self.me,
            incarnation: own.incarnation,
            leaving: own.leaving_sources.announced,
            revision,
            interval,
            stable_tenths: self.stable_tenths(now),
            direct: true,
        }
    }

    /// Tenths of a second for which this instance has been steady.
    pub fn stable_tenths(&self, now: Instant) -> u8 {
        let tenths = now.duration_since(self.own().stable_since).as_millis() / 100;
        tenths.min(MAX_STABLE_TENTHS) as u8
    }

    /// Takes a sign of life; false when the giver is unknown or the sign is of an earlier run.
    pub fn record_liveness(&mut self, update: LivenessUpdate, now: Instant) -> bool {
        let partitioned = self.was_partitioned(now);
        let Some(member) = self.map.get_mut(&update.from) else {
            return false;
        };
        if update.incarnation < member.incarnation {
            return false;
        }
        let restarted = update.incarnation > member.incarnation;
        let again = !restarted && !member.live;
        if restarted {
            member.leaving_sources.announced = false;
        }
        // All views take how long an instance has been steady from itself, so they agree on who is
        // preferred as an owner. One that comes and goes without noticing starts anew in each view.
        if restarted || again {
            member.returned = (again && !partitioned).then_some(now);
        }
        let told = stable_start(update.stable_tenths, now);
        let since = member.returned.map_or(told, |returned| told.max(returned));
        if restarted
            || again
            || (update.direct
                && stability_changed(member.stable_since, since, update.stable_tenths))
        {
            member.stable_since = since;
            self.changed = true;
        }
        if restarted || again {
            self.newly_live.push(update.from);
        }
        // Within one run leaving is never taken back, so a late frame can't revive it.
        member.leaving_sources.announced |= update.leaving;
        self.changed |= member.update_leaving();
        member.incarnation = update.incarnation;
        member.revision = member.revision.max(update.revision);
        // A relayed report must not cover the silence of the more frequent direct heartbeats.
        let covered = !update.direct && member.direct && member.live && !restarted;
        if covered && member.within_timeout(now) {
            return true;
        }
        let last = update.interval.is_zero();
        member.live = true;
        member.last_heard = Some(now);
        member.direct = update.direct && !last;
        member.timeout = if last {
            RELAYED_TIMEOUT
        } else {
            (update.interval * MAX_MISSED_HEARTBEATS).max(MIN_TIMEOUT)
        };
        if again && partitioned {
            self.reset_stability(now);
        }
        true
    }

    /// This instance was stopped or cut off: others took over meanwhile and should keep it.
    pub fn reset_stability(&mut self, now: Instant) {
        if let Some(own) = self.map.get_mut(&self.me) {
            own.stable_since = now;
        }
        self.changed = true;
    }

    /// Tells whether most of the own failure domain was silent a moment ago.
    ///
    /// Whoever is cut off from the others sees all of them go silent, and all of them come back
    /// when the cut heals. It is the one that went, and must not take their pools.
    fn was_partitioned(&self, now: Instant) -> bool {
        self.partitioned_at
            .is_some_and(|at| now.duration_since(at) < STABLE_AFTER)
    }

    fn detect_partition(&mut self, now: Instant) {
        let home = self.own().domain;
        let mates = self
            .map
            .iter()
            .filter(|(id, m)| **id != self.me && m.domain == home && m.last_heard.is_some());
        let (live, silent): (Vec<_>, Vec<_>) = mates.partition(|(_, m)| m.live);
        if silent.len() > live.len() {
            self.partitioned_at = Some(now);
        }
    }

    /// Marks members that have been silent for too long.
    pub fn expire_silent(&mut self, now: Instant) {
        for (id, member) in &mut self.map {
            if *id == self.me || !member.live {
                continue;
            }
            if !member.within_timeout(now) {
                member.live = false;
                self.changed = true;
                self.newly_dead.push(*id);
            }
        }
        self.detect_partition(now);
    }

    /// Takes a broken connection as a first doubt: the member must be heard again soon.
    pub fn suspect(&mut self, id: InstanceId, now: Instant, grace: Duration) {
        if let Some(member) = self.map.get_mut(&id)
            && let Some(heard) = member.last_heard
        {
            let left = member.timeout.saturating_sub(now.duration_since(heard));
            if left > grace {
                member.last_heard = now.checked_sub(member.timeout.saturating_sub(grace));
            }
        }
    }

    /// Tells whether `id` is live and takes new work.
    pub fn is_available(&self, id: InstanceId) -> bool {
        self.map.get(&id).is_some_and(|m| m.live && !m.leaving)
    }

    /// Tells whether `id` is live.
    pub fn is_live(&self, id: InstanceId) -> bool {
        self.map.get(&id).is_some_and(|m| m.live)
    }

    /// Live instances, this one included.
    pub fn live(&self) -> impl Iterator<Item = (InstanceId, &Member)> {
        self.map
            .iter()
            .filter(|(_, m)| m.live)
            .map(|(id, m)| (*id, m))
    }
}

/// Tells whether a told start of steadiness is other than the known one, rounding apart.
fn stability_changed(known: Instant, told: Instant, tenths: u8) -> bool {
    // The longest time that can be told means: at least that long.
    let longer = u128::from(tenths) == MAX_STABLE_TENTHS && known <= told;
    !longer && known.max(told) - known.min(told) > STABILITY_TOLERANCE
}

fn stable_start(tenths: u8, now: Instant) -> Instant {
    let steady = Duration::from_millis(u64::from(tenths) * 100);
    now.checked_sub(steady).unwrap_or(now)
}

fn new_member(contact: Contact, now: Instant) -> Member {
    Member {
        domain: DomainId::of(&contact.domain),
        region: RegionId::of(&contact.region),
        contact,
        incarnation: Incarnation::default(),
        leaving: false,
        leaving_sources: LeavingSources::default(),
        revision: 0,
        live: false,
        stable_since: now,
        returned: None,
        last_heard: None,
        timeout: Duration::from_secs(2),
        direct: false,
    }
}
