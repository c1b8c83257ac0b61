//! Servers that leave, told at once to whom the list of registrations comes late.
//!
//! Load pattern: an instance that was cut off, or whose process is behind, hears of registrations seconds late or doubts them,
//! while others know from the store that a server leaves.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::ident::ServerId;

/// Time for which a server that leaves is told of, so that it outlives lost datagrams.
const TOLD: Duration = Duration::from_millis(900);
/// Servers told of at once: they fit a datagram.
const MOST: usize = 48;

/// A server that leaves or is gone, for sure.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Departure {
    /// The server.
    pub server: ServerId,
    /// The store's revision of its word, or of its entry's removal.
    pub revision: u64,
}

/// Who told of a server that leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// The store.
    Store,
    /// Another instance.
    Peer,
}

/// Servers that leave, as heard lately.
#[derive(Debug, Clone, Default)]
pub struct RecentDepartures {
    heard: Vec<(Departure, Source, Instant)>,
}

impl RecentDepartures {
    /// `leaving` was heard from `source`.
    pub fn record(&mut self, leaving: Departure, source: Source, now: Instant) {
        self.heard
            .retain(|(_, _, at)| now.duration_since(*at) < TOLD);
        self.heard.push((leaving, source, now));
    }

    /// What to tell those nearby: what the store told here, since they hear from each other.
    pub fn for_domain(&self, now: Instant) -> Vec<Departure> {
        self.told(now, |source| source == Source::Store)
    }

    /// What to tell the other failure domains: all of it, in the name of those nearby.
    pub fn for_other_domains(&self, now: Instant) -> Vec<Departure> {
        self.told(now, |_| true)
    }

    fn told(&self, now: Instant, from: impl Fn(Source) -> bool) -> Vec<Departure> {
        let fresh = self.heard.iter().rev();
        let fresh = fresh.filter(|(_, s, at)| from(*s) && now.duration_since(*at) < TOLD);
        fresh.take(MOST).map(|(leaving, _, _)| *leaving).collect()
    }
}
