//! Detects names with the same identifier.
//!
//! Identifiers are 64-bit hashes of names. If two names collided, the second section would silently
//! replace the first, and two accounts would share one queue and one bill. Such a configuration is
//! unlikely, and it is rejected.

use std::collections::BTreeMap;

/// Names seen so far, by kind and identifier.
#[derive(Debug, Default)]
pub struct NameRegistry {
    seen: BTreeMap<(&'static str, u64), Box<str>>,
}

impl NameRegistry {
    /// Registers `name` under `id`; returns an earlier, different name with the same identifier.
    pub fn register(&mut self, kind: &'static str, id: u64, name: &str) -> Option<Box<str>> {
        let earlier = self.seen.entry((kind, id)).or_insert_with(|| name.into());
        (**earlier != *name).then(|| earlier.clone())
    }
}
