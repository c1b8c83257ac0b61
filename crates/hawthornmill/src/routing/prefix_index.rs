//! Prompt prefixes that each server has cached, as far as this instance sent them there or was told.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use smallvec::SmallVec;

use super::shape::{PrefixKey, Shape};
use crate::ident::ServerId;

/// Time after its last use for which a prefix counts as cached.
///
/// Engines keep a prefix that is used again within several seconds, and evict the least recently used first.
const PREFIX_TTL: Duration = Duration::from_secs(7);
/// Maximum number of entries; each takes 32 bytes besides the map's overhead.
const MAX_ENTRIES: usize = 20_000;

/// Servers that have cached a prefix of one prompt, each with the number of cached tokens.
pub type PrefixHits = SmallVec<[(ServerId, u32); 8]>;

/// Prefixes that servers have cached, by the time of their last use.
#[derive(Debug, Clone, Default)]
pub struct PrefixIndex {
    last_used: BTreeMap<(PrefixKey, ServerId), Instant>,
}

impl PrefixIndex {
    /// Records that `server` prefills the prompt of `shape`.
    pub fn record(&mut self, server: ServerId, shape: &Shape, now: Instant) {
        if self.last_used.len() >= MAX_ENTRIES {
            self.evict_expired(now);
        }
        if self.last_used.len() >= MAX_ENTRIES {
            return;
        }
        for (key, _) in shape.prefixes() {
            self.last_used.insert((key, server), now);
        }
    }

    /// Records another instance's report that `server` has cached the prefix `key`.
    pub fn record_remote(&mut self, server: ServerId, key: PrefixKey, now: Instant) {
        if self.last_used.len() < MAX_ENTRIES {
            self.last_used.insert((key, server), now);
        }
    }

    /// Returns servers that have cached a part of the prompt, each with the number of cached tokens.
    ///
    /// One range scan per prefix finds all of them, whatever the number of servers.
    pub fn lookup(&self, shape: &Shape, now: Instant) -> PrefixHits {
        let mut hits = PrefixHits::new();
        for (key, tokens) in shape.prefixes() {
            let cached = self
                .last_used
                .range((key, ServerId(0))..=(key, ServerId(u64::MAX)));
            for ((_, server), _) in cached.filter(|(_, at)| now.duration_since(**at) < PREFIX_TTL) {
                // A server that caches a prefix caches everything before it too.
                match hits.iter_mut().find(|(id, _)| id == server) {
                    Some(hit) => hit.1 = tokens,
                    None => hits.push((*server, tokens)),
                }
            }
        }
        hits
    }

    /// Removes prefixes that servers will have evicted.
    pub fn evict_expired(&mut self, now: Instant) {
        self.last_used
            .retain(|_, at| now.duration_since(*at) < PREFIX_TTL);
    }

    /// Removes everything recorded for a server that is gone or has restarted.
    pub fn remove_server(&mut self, server: ServerId) {
        self.last_used.retain(|(_, s), _| *s != server);
    }
}
