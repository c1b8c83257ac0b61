//! The platform's instance list, read by few and passed on by them.
//!
//! The readers of a failure domain read the list; the others follow the first of them. Heartbeats
//! name a digest of the list, and whoever holds another one asks for what changed.

use std::collections::BTreeMap;

use crate::ident::InstanceId;
use crate::wire::message::{Listed, RosterDelta};

/// The list by instance.
type Entries = BTreeMap<InstanceId, Listed>;

/// The instance list, and the one before it.
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

    /// Tells whether any list was taken, an empty one included.
    pub fn is_known(&self) -> bool {
        self.known
    }

    /// Entries of the list.
    pub fn entries(&self) -> impl Iterator<Item = (InstanceId, &Listed)> {
        self.entries.iter().map(|(id, listed)| (*id, listed))
    }

    /// The entry of `id`.
    pub fn get(&self, id: InstanceId) -> Option<&Listed> {
        self.entries.get(&id)
    }

    /// Takes a whole list; true when it differs from the one held.
    pub fn replace(&mut self, list: Vec<Listed>) -> bool {
        let entries = list
            .into_iter()
            .map(|l| (InstanceId::of(&l.contact.name), l))
            .collect();
        self.install(entries)
    }

    /// What leads from the list with digest `have` to this one; none when that is the same.
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
            gone,
        })
    }

    /// Takes what changed; false when it does not start from the list held or changes nothing.
    pub fn apply(&mut self, delta: RosterDelta) -> bool {
        let mut entries = match delta.base {
            0 => Entries::new(),
            base if base == self.digest => self.entries.clone(),
            _ => return false,
        };
        for id in &delta.gone {
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
