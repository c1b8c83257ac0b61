//! Changes that instances tell each other at once, without waiting for the list of registrations.
//!
//! Load pattern: an instance that was cut off, or whose process lags, receives registrations seconds late or holds them as
//! unconfirmed, while others know from the store that a server leaves, has turned cold, or is in an evacuated failure
//! domain.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::evacuations::Evacuation;
use super::recent::{Audience, Recent, Source};
use crate::ident::ServerId;

/// Departures in one message, so that all of it fits a datagram.
const MAX_DEPARTURES: usize = 44;
/// Evacuations in one message.
const MAX_EVACUATIONS: usize = 12;
/// Cold servers in one message.
const MAX_COLD: usize = 24;

/// A server that is certain to leave, or gone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Departure {
    /// The server.
    pub server: ServerId,
    /// Revision of the store at which it began to leave or its entry was removed.
    pub revision: u64,
}

/// A server that has turned cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ColdServer {
    /// The server.
    pub server: ServerId,
    /// Time for which it stays cold.
    pub remaining: Duration,
}

/// What one instance announces to others.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Announcements {
    /// Servers that leave.
    pub departures: Vec<Departure>,
    /// Failure domains that are evacuated or taken back.
    pub evacuations: Vec<Evacuation>,
    /// Servers that have turned cold.
    pub cold_servers: Vec<ColdServer>,
}

impl Announcements {
    /// Returns whether there is nothing to announce.
    pub const fn is_empty(&self) -> bool {
        self.departures.is_empty() && self.evacuations.is_empty() && self.cold_servers.is_empty()
    }
}

/// Recent changes to announce.
#[derive(Debug, Clone, Default)]
pub struct RecentAnnouncements {
    departures: Recent<Departure>,
    evacuations: Recent<Evacuation>,
    cold_servers: Recent<ColdServer>,
}

impl RecentAnnouncements {
    /// Records a departure that was learnt from `source`.
    pub fn record_departure(&mut self, departure: Departure, source: Source, now: Instant) {
        self.departures.record(departure, source, now);
    }

    /// Records a change of an evacuation that was learnt from `source`.
    pub fn record_evacuation(&mut self, change: Evacuation, source: Source, now: Instant) {
        self.evacuations.record(change, source, now);
    }

    /// Records a server that turned cold, as learnt from `source`.
    pub fn record_cold(&mut self, cold: ColdServer, source: Source, now: Instant) {
        self.cold_servers.record(cold, source, now);
    }

    /// Returns what to announce to `audience`.
    pub fn for_audience(&self, audience: Audience, now: Instant) -> Announcements {
        let departures = self.departures.select(now, audience, MAX_DEPARTURES);
        let evacuations = self.evacuations.select(now, audience, MAX_EVACUATIONS);
        let cold_servers = self.cold_servers.select(now, audience, MAX_COLD);
        let remaining = |(cold, age): (ColdServer, Duration)| ColdServer {
            remaining: cold.remaining.saturating_sub(age),
            ..cold
        };
        Announcements {
            departures: departures.into_iter().map(|(d, _)| d).collect(),
            evacuations: evacuations.into_iter().map(|(e, _)| e).collect(),
            cold_servers: cold_servers.into_iter().map(remaining).collect(),
        }
    }
}
