//! Which server has read which prompt prefix lately, as far as this instance sent it there or heard.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use smallvec::SmallVec;

use super::shape::{PrefixKey, Shape};
use crate::ident::ServerId;

/// Time for which a prefix is taken to be kept after its last use: engines keep what is used again
/// within several seconds, and give up the least recently used first.
const KEPT: Duration = Duration::from_secs(7);
/// Prefixes that are remembered at most; each takes 32 bytes besides the map's own.
const MOST: usize = 20_000;

/// Servers and the tokens of one prompt that each keeps.
pub type PrefixHits = SmallVec<[(ServerId, u32); 8]>;

/// Prefixes that servers have read.
#[derive(Debug, Clone, Default)]
pub struct PrefixIndex {
    used: BTreeMap<(PrefixKey, ServerId), Instant>,
}

impl PrefixIndex {
    /// `server` reads the prompt of `shape`.
    pub fn record(&mut self, server: ServerId, shape: &Shape, now: Instant) {
        if self.used.len() >= MOST {
            self.evict_expired(now);
        }
        if self.used.len() >= MOST {
            return;
        }
        for (key, _) in shape.prefixes() {
            self.used.insert((key, server), now);
        }
    }

    /// Another instance says that `server` has read the prefix `key`.
    pub fn record_remote(&mut self, server: ServerId, key: PrefixKey, now: Instant) {
        if self.used.len() < MOST {
            self.used.insert((key, server), now);
        }
    }

    /// Servers that need not read all of the prompt, with the tokens that each one keeps.
    ///
    /// One search for each prefix finds all of them, however many servers there are.
    pub fn lookup(&self, shape: &Shape, now: Instant) -> PrefixHits {
        let mut keepers = PrefixHits::new();
        for (key, tokens) in shape.prefixes() {
            let all = self
                .used
                .range((key, ServerId(0))..=(key, ServerId(u64::MAX)));
            for ((_, server), _) in all.filter(|(_, at)| now.duration_since(**at) < KEPT) {
                // Whoever keeps a prefix keeps all that is before it.
                match keepers.iter_mut().find(|(id, _)| id == server) {
                    Some(known) => known.1 = tokens,
                    None => keepers.push((*server, tokens)),
                }
            }
        }
        keepers
    }

    /// Forgets what servers will have given up.
    pub fn evict_expired(&mut self, now: Instant) {
        self.used.retain(|_, at| now.duration_since(*at) < KEPT);
    }

    /// Forgets everything of a server that is gone or has started anew.
    pub fn remove_server(&mut self, server: ServerId) {
        self.used.retain(|(_, s), _| *s != server);
    }
}
