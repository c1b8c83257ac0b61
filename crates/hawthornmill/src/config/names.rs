//! Finds names whose keys are the same.
//!
//! Keys are hashes of names. If two names had one key, the second section would silently replace
//! the first, and two accounts would share one queue and one bill. It is unlikely with 64 bits, and
//! refusing it makes it impossible.

use std::collections::BTreeMap;

/// Names seen so far, by kind and key.
#[derive(Debug, Default)]
pub struct NameRegistry {
    seen: BTreeMap<(&'static str, u64), Box<str>>,
}

impl NameRegistry {
    /// Notes that `name` has `key`; the result is an earlier other name with the same one.
    pub fn register(&mut self, kind: &'static str, key: u64, name: &str) -> Option<Box<str>> {
        let holder = self.seen.entry((kind, key)).or_insert_with(|| name.into());
        (**holder != *name).then(|| holder.clone())
    }
}
