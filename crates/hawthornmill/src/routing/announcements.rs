//! Servers that leave, reported without waiting for the list of registrations.
//!
//! Load pattern: an instance that was cut off, or whose process lags, receives registrations seconds late or holds them as
//! unconfirmed, while others know from the store that a server leaves.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::ident::ServerId;

/// Time for which a departure is reported, so that it outlasts lost datagrams.
const REPORT_TTL: Duration = Duration::from_millis(900);
/// Departures in one report, so that they fit a datagram.
const MAX_REPORTED: usize = 48;

/// A server that is certain to leave, or gone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Departure {
    /// The server.
    pub server: ServerId,
    /// Revision of the store at which it began to leave or its entry was removed.
    pub revision: u64,
}

/// Origin of a departure.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// The platform's store.
    Store,
    /// Another instance.
    Peer,
}

/// Recent departures.
#[derive(Debug, Clone, Default)]
pub struct RecentDepartures {
    recent: Vec<(Departure, Source, Instant)>,
}

impl RecentDepartures {
    /// Records `departure`, received from `source`.
    pub fn record(&mut self, departure: Departure, source: Source, now: Instant) {
        self.recent
            .retain(|(_, _, at)| now.duration_since(*at) < REPORT_TTL);
        self.recent.push((departure, source, now));
    }

    /// Returns departures to report within the own domain: only those from the store, since peers report their own.
    pub fn for_domain(&self, now: Instant) -> Vec<Departure> {
        self.select(now, |source| source == Source::Store)
    }

    /// Returns departures to report to other failure domains: all of them, on behalf of the own domain.
    pub fn for_other_domains(&self, now: Instant) -> Vec<Departure> {
        self.select(now, |_| true)
    }

    fn select(&self, now: Instant, from: impl Fn(Source) -> bool) -> Vec<Departure> {
        let fresh = self.recent.iter().rev();
        let fresh = fresh.filter(|(_, s, at)| from(*s) && now.duration_since(*at) < REPORT_TTL);
        fresh
            .take(MAX_REPORTED)
            .map(|(departure, _, _)| *departure)
            .collect()
    }
}
