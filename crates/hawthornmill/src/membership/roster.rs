//! The platform's instance list, read by a few instances and distributed to the others.
//!
//! The readers of a failure domain read the list; the others follow the first reader. Heartbeats
//! carry a digest of the list, and an instance with a different digest requests the changes.

use std::collections::BTreeMap;

use crate::ident::InstanceId;
use crate::wire::message::{RosterDelta, RosterEntry};

/// Entries of the list by instance.
type Entries = BTreeMap<InstanceId, RosterEntry>;

/// The instance list and its previous version, from which deltas are computed.
#[derive(Debug, Clone, Default)]
pub struct Roster {
    entries: Entries,
    digest: u32,
    previous: (u32, Entries),
    known: bool,
}

impl Roster {
    /// Digest of the list; 0 for the empty one.
    pub fn digest(&self) -> u32 {
        self.digest
    }

    /// Returns true if any list was received, even an empty one.
    pub fn is_known(&self) -> bool {
        self.known
    }

    /// Entries of the list.
    pub fn entries(&self) -> impl Iterator<Item = (InstanceId, &RosterEntry)> {
        self.entries.iter().map(|(id, listed)| (*id, listed))
    }

    /// The entry of `id`.
    pub fn get(&self, id: InstanceId) -> Option<&RosterEntry> {
        self.entries.get(&id)
    }

    /// Replaces the list; returns true if it changed.
    pub fn replace(&mut self, list: Vec<RosterEntry>) -> bool {
        let entries = list
            .into_iter()
            .map(|l| (InstanceId::of(&l.contact.name), l))
            .collect();
        self.install(entries)
    }

    /// Changes from the list with digest `have` to this one, or `None` if they are equal.
    ///
    /// The delta starts from the empty list if `have` is not the previous version.
    pub fn delta(&self, have: u32) -> Option<RosterDelta> {
        if have == self.digest {
            return None;
        }
        let empty = Entries::new();
        let (base, old) = if have == self.previous.0 {
            (have, &self.previous.1)
        } else {
            (0, &empty)
        };
        let changed = self
            .entries
            .iter()
            .filter(|(id, listed)| old.get(id) != Some(listed))
            .map(|(_, listed)| listed.clone())
            .collect();
        let gone = old
            .keys()
            .filter(|id| !self.entries.contains_key(id))
            .copied()
            .collect();
        Some(RosterDelta {
            digest: self.digest,
            base,
            changed,
            removed: gone,
        })
    }

    /// Applies a delta; returns false if its base is not this list or nothing changed.
    pub fn apply(&mut self, delta: RosterDelta) -> bool {
        let mut entries = match delta.base {
            0 => Entries::new(),
            base if base == self.digest => self.entries.clone(),
            _ => return false,
        };
        for id in &delta.removed {
            entries.remove(id);
        }
        for listed in delta.changed {
            entries.insert(InstanceId::of(&listed.contact.name), listed);
        }
        self.install(entries)
    }

    fn install(&mut self, entries: Entries) -> bool {
        self.known = true;
        if entries == self.entries {
            return false;
        }
        let digest = digest(&entries);
        self.previous = (self.digest, std::mem::replace(&mut self.entries, entries));
        self.digest = digest;
        true
    }
}

fn digest(entries: &Entries) -> u32 {
    if entries.is_empty() {
        return 0;
    }
    let bytes = postcard::to_allocvec(entries).unwrap_or_default();
    let hash = blake3::hash(&bytes);
    let mut first = [0_u8; 4];
    first.copy_from_slice(&hash.as_bytes()[..4]);
    u32::from_le_bytes(first).max(1)
}
