//! Members of the failure domains of a large fleet, as relays name them to each other and to their own domain.
//!
//! Load pattern: the members of a large domain don't fit a datagram, and each of the others needs to know all of them.
//! A relay names some of them in each message, so that every member is named again well before it would count as silent.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::gossip::{KnownState, PeerInfo, StoreRole};
use crate::ident::{DomainId, Incarnation, InstanceId};

/// Members in one message, at up to 62 bytes each, so that they fit a datagram.
const MAX_MEMBERS: usize = 21;
/// Members in one message that are named out of turn since they changed.
const MAX_CHANGED: usize = 8;

/// One instance of a domain.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The instance.
    pub id: InstanceId,
    /// Incarnation of its process.
    pub incarnation: Incarnation,
    /// Its addresses and failure domain.
    pub info: PeerInfo,
    /// It accepts requests of callers.
    pub ready: bool,
    /// It is about to stop.
    pub leaving: bool,
    /// Nothing was heard of it for so long that it counts as gone.
    pub silent: bool,
    /// Its role towards the platform's store.
    pub store_role: StoreRole,
    /// How far it knows the store.
    pub known: KnownState,
}

/// Some of the instances of a domain.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DomainMembers {
    /// The domain.
    pub domain: DomainId,
    /// Instances that are live or were lately; further ones are in other messages.
    pub members: Vec<Member>,
}

/// Chooses the members that a relay names next, so that each message fits a datagram and no member is left out.
#[derive(Debug, Clone, Default)]
pub struct MemberRotation {
    told: BTreeMap<InstanceId, Member>,
    next: usize,
}

impl MemberRotation {
    /// Returns the next of `members` to name: the first one, some that changed, and others by turns.
    ///
    /// The first one is the relay itself; its domain learns from it which catalog and registrations there are.
    pub fn next_batch(&mut self, members: &[Member]) -> Vec<Member> {
        self.told
            .retain(|id, _| members.iter().any(|m| m.id == *id));
        let Some((relay, members)) = members.split_first() else {
            return Vec::new();
        };
        let first = self.next % members.len().max(1);
        let (before, from) = members.split_at(first);
        let in_turn = || from.iter().chain(before);
        let changed = in_turn().filter(|m| self.has_changed(m));
        let mut batch = vec![*relay];
        batch.extend(changed.take(MAX_CHANGED));
        let by_turns = MAX_MEMBERS - batch.len();
        batch.extend(in_turn().take(by_turns));
        self.next = first + by_turns;
        self.told.extend(batch.iter().map(|m| (m.id, *m)));
        batch
    }

    /// Returns whether `member` differs from what was last told, but for its progress in reading the store.
    fn has_changed(&self, member: &Member) -> bool {
        let told = self.told.get(&member.id);
        told.is_none_or(|told| {
            let progress = Member {
                known: told.known,
                ..*member
            };
            progress != *told
        })
    }
}
