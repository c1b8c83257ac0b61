//! Membership and failure detection: which instances are live, leaving or dead.
//!
//! There are three sources of information on an instance: the platform's list (which lags),
//! heartbeats within the failure domain and between instances that exchange work, and reports
//! forwarded by relays. An instance is live while heartbeats or reports arrive, and leaving as soon
//! as any source says so. [`placement`] derives owners, relays and readers from this view without an
//! election.

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

/// Heartbeat intervals without a heartbeat after which an instance counts as dead.
const MAX_MISSED_HEARTBEATS: u32 = 3;
/// Shortest time of silence after which an instance counts as dead.
const MIN_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout of an instance that announced the end of its heartbeats and is only heard via relays.
const RELAYED_TIMEOUT: Duration = Duration::from_secs(3);
/// Time of silence after which an instance that the platform does not list is removed.
const EXPIRE_AFTER: Duration = Duration::from_mins(1);
/// Largest stable time that fits into a message, in tenths of a second.
const MAX_STABLE_TENTHS: u128 = 255;
/// Difference in stable time that is attributed to rounding and network delay.
const STABILITY_TOLERANCE: Duration = Duration::from_millis(200);

/// Time between heartbeats to two different instances, which limits them to about 1.2 KB/s in total.
const HEARTBEAT_SPACING: Duration = Duration::from_millis(50);
/// Longest interval between heartbeats to one instance.
const MAX_HEARTBEAT_INTERVAL: Duration = Duration::from_secs(5);

/// Heartbeat interval for `targets` instances: `base`, or longer if there are many.
///
/// Each heartbeat carries the interval, and the receiver derives its timeout from it.
pub fn heartbeat_interval(base: Duration, targets: usize) -> Duration {
    (HEARTBEAT_SPACING * targets as u32)
        .min(MAX_HEARTBEAT_INTERVAL)
        .max(base)
}

/// Which sources say that an instance is leaving.
#[derive(Debug, Clone, Copy, Default)]
pub struct LeavingSources {
    /// The instance announced it; not reverted within one process run.
    pub announced: bool,
    /// The platform's list says so.
    pub listed: bool,
}

/// An instance in the view of this one.
#[derive(Debug, Clone)]
pub struct Member {
    /// How to reach it.
    pub contact: Contact,
    /// Its failure domain.
    pub domain: DomainId,
    /// Its region.
    pub region: RegionId,
    /// Its latest known process run.
    pub incarnation: Incarnation,
    /// It takes no new work, according to any of `leaving_sources`.
    pub leaving: bool,
    /// Which sources say that it is leaving.
    pub leaving_sources: LeavingSources,
    /// Configuration revision in force there.
    pub revision: u64,
    /// It was last heard within its timeout.
    pub live: bool,
    /// When it last started, resumed after a pause, or became live again.
    pub stable_since: Instant,
    /// When it became live again after a silence not caused by a partition of this instance.
    pub returned_at: Option<Instant>,
    /// When it was last heard, directly or via relays.
    pub last_heard: Option<Instant>,
    /// Time of silence after which it counts as dead.
    pub timeout: Duration,
    /// It was last heard directly, and further heartbeats are due.
    pub direct: bool,
}

impl Member {
    /// Returns true if it was heard within its timeout.
    pub fn within_timeout(&self, now: Instant) -> bool {
        self.last_heard
            .is_some_and(|h| now.duration_since(h) <= self.timeout)
    }

    /// Returns true if it has been stable for long enough to be preferred as an owner.
    pub fn is_stable(&self, now: Instant) -> bool {
        now.duration_since(self.stable_since) >= STABLE_AFTER
    }

    fn update_leaving(&mut self) -> bool {
        let leaving = self.leaving_sources.announced || self.leaving_sources.listed;
        std::mem::replace(&mut self.leaving, leaving) != leaving
    }
}

/// Evidence that an instance is live: a heartbeat or a relayed report.
#[derive(Debug, Clone, Copy)]
pub struct LivenessUpdate {
    /// The instance.
    pub from: InstanceId,
    /// Its process run.
    pub incarnation: Incarnation,
    /// It takes no new work.
    pub leaving: bool,
    /// Configuration revision in force there.
    pub revision: u64,
    /// Time until the next update of this kind is due; zero if only relayed reports will follow.
    pub interval: Duration,
    /// Tenths of a second for which the instance has been stable.
    pub stable_tenths: u8,
    /// It came from the instance itself; a relayed one is older by an unknown time.
    pub direct: bool,
}

/// All known instances, including this one.
#[derive(Debug, Clone)]
pub struct Members {
    /// This instance.
    pub me: InstanceId,
    /// Members by ID.
    pub map: BTreeMap<InstanceId, Member>,
    /// A change that may affect owners or relays.
    pub changed: bool,
    /// Members that timed out since owners were last computed.
    pub newly_dead: Vec<InstanceId>,
    /// Members that became live since owners were last computed.
    pub newly_live: Vec<InstanceId>,
    /// When most of the own failure domain was last silent.
    partitioned_at: Option<Instant>,
}

impl Members {
    /// Creates a view with this instance only.
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
    /// Never: the record is created with the view and not removed.
    pub fn own(&self) -> &Member {
        &self.map[&self.me]
    }

    /// Adds or updates the contact of an instance, from the platform's list or from itself.
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

    /// Records that an instance announced that it is leaving.
    pub fn set_leaving(&mut self, id: InstanceId) {
        if let Some(member) = self.map.get_mut(&id) {
            member.leaving_sources.announced = true;
            self.changed |= member.update_leaving();
        }
    }

    /// Applies contacts and leaving states of the platform's list.
    pub fn apply_roster(&mut self, roster: &Roster, now: Instant) {
        for (_, listed) in roster.entries() {
            self.upsert_contact(listed.contact.clone(), now);
        }
        for (id, member) in &mut self.map {
            member.leaving_sources.listed = roster.get(*id).is_some_and(|l| l.leaving);
            self.changed |= member.update_leaving();
        }
    }

    /// Removes instances that are not listed and have long been silent, and returns them.
    pub fn remove_expired(&mut self, roster: &Roster, now: Instant) -> Vec<InstanceId> {
        let me = self.me;
        let is_expired = |id: &InstanceId, member: &Member| {
            let last = member.last_heard.unwrap_or(member.stable_since);
            let silent = !member.live && now.duration_since(last) > EXPIRE_AFTER;
            *id != me && silent && roster.get(*id).is_none()
        };
        let ids: Vec<InstanceId> = self
            .map
            .iter()
            .filter(|(id, member)| is_expired(id, member))
            .map(|(id, _)| *id)
            .collect();
        for id in &ids {
            self.map.remove(id);
        }
        ids
    }

    /// The liveness update that this instance sends about itself.
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

    /// Tenths of a second for which this instance has been stable.
    pub fn stable_tenths(&self, now: Instant) -> u8 {
        let tenths = now.duration_since(self.own().stable_since).as_millis() / 100;
        tenths.min(MAX_STABLE_TENTHS) as u8
    }

    /// Records a liveness update; returns false if it is of an unknown instance or an earlier run.
    pub fn record_liveness(&mut self, update: LivenessUpdate, now: Instant) -> bool {
        let partitioned = self.was_partitioned(now);
        let Some(member) = self.map.get_mut(&update.from) else {
            return false;
        };
        if update.incarnation < member.incarnation {
            return false;
        }
        let restarted = update.incarnation > member.incarnation;
        let returned = !restarted && !member.live;
        if restarted {
            member.leaving_sources.announced = false;
        }
        // Every view uses the stable time that the instance reports, so that all agree on which
        // instances are preferred as owners. One that times out without noticing it restarts at zero
        // in each view.
        if restarted || returned {
            member.returned_at = (returned && !partitioned).then_some(now);
        }
        let reported = stable_start(update.stable_tenths, now);
        let since = member.returned_at.map_or(reported, |at| reported.max(at));
        if restarted
            || returned
            || (update.direct
                && stability_changed(member.stable_since, since, update.stable_tenths))
        {
            member.stable_since = since;
            self.changed = true;
        }
        if restarted || returned {
            self.newly_live.push(update.from);
        }
        // Leaving is not reverted within one run, so that a late frame can't undo it.
        member.leaving_sources.announced |= update.leaving;
        self.changed |= member.update_leaving();
        member.incarnation = update.incarnation;
        member.revision = member.revision.max(update.revision);
        // A relayed report must not hide that the more frequent direct heartbeats have stopped.
        let only_relayed = !update.direct && member.direct && member.live && !restarted;
        if only_relayed && member.within_timeout(now) {
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
        if returned && partitioned {
            self.reset_stability(now);
        }
        true
    }

    /// Restarts the stable time after a pause or a partition.
    ///
    /// Other instances took over the pools of this one in the meantime and should keep them.
    pub fn reset_stability(&mut self, now: Instant) {
        if let Some(own) = self.map.get_mut(&self.me) {
            own.stable_since = now;
        }
        self.changed = true;
    }

    /// Returns true if most of the own failure domain was silent a moment ago.
    ///
    /// A partitioned instance sees all others time out and return when the partition heals. From
    /// their side this instance was the one that failed, so it must not take over their pools.
    fn was_partitioned(&self, now: Instant) -> bool {
        self.partitioned_at
            .is_some_and(|at| now.duration_since(at) < STABLE_AFTER)
    }

    fn detect_partition(&mut self, now: Instant) {
        let home = self.own().domain;
        let neighbours = self
            .map
            .iter()
            .filter(|(id, m)| **id != self.me && m.domain == home && m.last_heard.is_some());
        let (live, silent): (Vec<_>, Vec<_>) = neighbours.partition(|(_, m)| m.live);
        if silent.len() > live.len() {
            self.partitioned_at = Some(now);
        }
    }

    /// Marks members dead that were not heard within their timeout.
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

    /// Suspects a member after a broken connection: it must be heard again within `grace`.
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

    /// Returns true if `id` is live and takes new work.
    pub fn is_available(&self, id: InstanceId) -> bool {
        self.map.get(&id).is_some_and(|m| m.live && !m.leaving)
    }

    /// Returns true if `id` is live.
    pub fn is_live(&self, id: InstanceId) -> bool {
        self.map.get(&id).is_some_and(|m| m.live)
    }

    /// Live instances, including this one.
    pub fn live(&self) -> impl Iterator<Item = (InstanceId, &Member)> {
        self.map
            .iter()
            .filter(|(_, m)| m.live)
            .map(|(id, m)| (*id, m))
    }
}

/// Returns true if the reported start of the stable time differs from the known one beyond rounding.
fn stability_changed(known: Instant, reported: Instant, tenths: u8) -> bool {
    // The largest value that fits means at least that long.
    let at_least = u128::from(tenths) == MAX_STABLE_TENTHS && known <= reported;
    !at_least && known.max(reported) - known.min(reported) > STABILITY_TOLERANCE
}

fn stable_start(tenths: u8, now: Instant) -> Instant {
    let stable = Duration::from_millis(u64::from(tenths) * 100);
    now.checked_sub(stable).unwrap_or(now)
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
        returned_at: None,
        last_heard: None,
        timeout: Duration::from_secs(2),
        direct: false,
    }
}
