//! Who is live, leaving or dead.
//!
//! Three sources speak of an instance: the platform's list (lagging), heartbeats inside the failure
//! domain and between instances that work together, and reports that relays pass on. An instance is
//! live while either of the last two is heard; it is leaving as soon as any of the three says so.
//! [`place`] derives owners, relays and readers from that view; nothing is elected.

pub mod place;
pub mod reports;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::ident::{DomainId, Incarnation, InstanceId, RegionId};
use crate::wire::message::Contact;

/// Heartbeat intervals that may pass in silence before an instance counts as dead.
const MISSED_BEATS: u32 = 5;

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
    /// It takes no new work.
    pub leaving: bool,
    /// Configuration revision in force there.
    pub revision: u64,
    /// It was heard recently enough.
    pub live: bool,
    /// Since when it is live without a break.
    pub since: Instant,
    /// Last sign of life.
    pub heard: Option<Instant>,
    /// Silence after which it counts as dead.
    pub patience: Duration,
}

impl Member {
    /// Tells whether the last sign of life is recent enough.
    pub fn within_patience(&self, now: Instant) -> bool {
        self.heard
            .is_some_and(|h| now.duration_since(h) <= self.patience)
    }
}

/// A sign of life.
#[derive(Debug, Clone, Copy)]
pub struct Sign {
    /// Who gave it.
    pub from: InstanceId,
    /// Process run of the giver.
    pub incarnation: Incarnation,
    /// The giver takes no new work.
    pub leaving: bool,
    /// Configuration revision in force there.
    pub revision: u64,
    /// Time until the next sign of this kind is due.
    pub interval: Duration,
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
    pub died: Vec<InstanceId>,
    /// Members that were heard again, or for the first time, since then.
    pub revived: Vec<InstanceId>,
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
            died: Vec::new(),
            revived: Vec::new(),
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
    pub fn learn(&mut self, contact: Contact, now: Instant) {
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

    /// Takes the platform's word that an instance is leaving.
    pub fn set_leaving(&mut self, id: InstanceId) {
        if let Some(member) = self.map.get_mut(&id)
            && !member.leaving
        {
            member.leaving = true;
            self.changed = true;
        }
    }

    /// Takes a sign of life; false when the giver is unknown or the sign is of an earlier run.
    pub fn hear(&mut self, sign: Sign, now: Instant) -> bool {
        let Some(member) = self.map.get_mut(&sign.from) else {
            return false;
        };
        if sign.incarnation < member.incarnation {
            return false;
        }
        let restarted = sign.incarnation > member.incarnation;
        if restarted || !member.live {
            member.since = now;
            member.leaving = false;
            self.changed = true;
            self.revived.push(sign.from);
        }
        if sign.leaving != member.leaving {
            // Within one run leaving is never taken back, so a late frame can't revive it.
            member.leaving |= sign.leaving;
            self.changed = true;
        }
        member.incarnation = sign.incarnation;
        member.revision = member.revision.max(sign.revision);
        let patience = sign.interval * MISSED_BEATS;
        let slower = member.live && patience > member.patience;
        // A relayed report must not cover the silence of the more frequent direct heartbeats.
        if slower && !restarted && member.within_patience(now) {
            return true;
        }
        member.live = true;
        member.heard = Some(now);
        member.patience = patience;
        true
    }

    /// Marks members that have been silent for too long.
    pub fn sweep(&mut self, now: Instant) {
        for (id, member) in &mut self.map {
            if *id == self.me || !member.live {
                continue;
            }
            if !member.within_patience(now) {
                member.live = false;
                self.changed = true;
                self.died.push(*id);
            }
        }
    }

    /// Takes a broken connection as a first doubt: the member must be heard again soon.
    pub fn doubt(&mut self, id: InstanceId, now: Instant, grace: Duration) {
        if let Some(member) = self.map.get_mut(&id)
            && let Some(heard) = member.heard
        {
            let left = member.patience.saturating_sub(now.duration_since(heard));
            if left > grace {
                member.heard = now.checked_sub(member.patience.saturating_sub(grace));
            }
        }
    }

    /// Tells whether `id` is live and takes new work.
    pub fn usable(&self, id: InstanceId) -> bool {
        self.map.get(&id).is_some_and(|m| m.live && !m.leaving)
    }

    /// Live instances, this one included.
    pub fn live(&self) -> impl Iterator<Item = (InstanceId, &Member)> {
        self.map
            .iter()
            .filter(|(_, m)| m.live)
            .map(|(id, m)| (*id, m))
    }
}

fn new_member(contact: Contact, now: Instant) -> Member {
    Member {
        domain: DomainId::of(&contact.domain),
        region: RegionId::of(&contact.region),
        contact,
        incarnation: Incarnation::default(),
        leaving: false,
        revision: 0,
        live: false,
        since: now,
        heard: None,
        patience: Duration::from_secs(2),
    }
}
