//! Failure domains that operators evacuate: their servers finish what they run and get no new requests.
//!
//! What is known of a domain comes from the platform's store, directly or through other instances, with the store's
//! revision. The newest revision wins whatever the order of arrival, so a late copy neither restores nor hides an
//! evacuation.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ident::DomainId;

/// Whether a failure domain is evacuated, as of a revision of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuation {
    /// The domain.
    pub domain: DomainId,
    /// The store's revision of the change.
    pub revision: u64,
    /// Its servers get no new requests; false once the operator has taken the evacuation back.
    pub active: bool,
}

/// What is known of every domain that was ever evacuated.
#[derive(Debug, Clone, Default)]
pub struct Evacuations {
    known: BTreeMap<DomainId, Evacuation>,
    /// The store's revision of the newest complete list; 0 before the first one.
    listed_revision: u64,
}

impl Evacuations {
    /// Applies one change; returns whether the domain is evacuated or taken back by it, or `None` when as much was known.
    pub fn apply(&mut self, change: Evacuation) -> Option<bool> {
        let current = self.known.get(&change.domain);
        if current.is_some_and(|c| c.revision >= change.revision) {
            return None;
        }
        let was_active = current.is_some_and(|c| c.active);
        self.known.insert(change.domain, change);
        Some(was_active != change.active)
    }

    /// Returns `change`, or the end of the evacuation if one that is so old is missing from the newest complete list.
    ///
    /// An end that came before the first list is not known otherwise.
    pub fn as_listed(&self, change: Evacuation) -> Evacuation {
        let is_over = change.active
            && change.revision <= self.listed_revision
            && !self.known.contains_key(&change.domain);
        if !is_over {
            return change;
        }
        Evacuation {
            revision: self.listed_revision,
            active: false,
            ..change
        }
    }

    /// Records that a complete list at `revision` was applied.
    pub fn record_list(&mut self, revision: u64) {
        self.listed_revision = self.listed_revision.max(revision);
    }

    /// Returns the changes that a complete list of evacuated domains at `revision` implies: those in the list, and those that
    /// are missing from it and so were taken back.
    pub fn changes_to(&self, listed: &[Evacuation], revision: u64) -> Vec<Evacuation> {
        let is_listed = |domain| listed.iter().any(|e| e.domain == domain);
        let taken_back = self
            .known
            .values()
            .filter(|e| e.active && !is_listed(e.domain));
        let taken_back = taken_back.map(|e| Evacuation {
            revision,
            active: false,
            ..*e
        });
        listed.iter().copied().chain(taken_back).collect()
    }

    /// Returns whether the servers of `domain` get no new requests.
    pub fn is_evacuated(&self, domain: DomainId) -> bool {
        self.known.get(&domain).is_some_and(|e| e.active)
    }

    /// Returns the revision of the newest change; 0 when no domain was ever evacuated.
    pub fn latest_revision(&self) -> u64 {
        self.known.values().map(|e| e.revision).max().unwrap_or(0)
    }

    /// Returns the number of evacuated domains.
    pub fn active_count(&self) -> usize {
        self.known.values().filter(|e| e.active).count()
    }

    /// Returns everything that is known, to tell other instances.
    pub fn snapshot(&self) -> Vec<Evacuation> {
        self.known.values().copied().collect()
    }
}
