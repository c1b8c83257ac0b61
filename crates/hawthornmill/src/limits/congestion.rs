//! Whether an instance's own link is so full that times measured over it tell of the link.
//!
//! Load pattern: callers of a flooding account come to one instance and send more than its link takes. Each answer of
//! a server then waits behind what they send, for seconds, while the processor is idle. Taken for slow servers, it
//! would make the instance refuse every request as too long to be in time, and nothing sent could show otherwise.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use smallvec::SmallVec;

/// Time for which a connection attempt tells of the link.
const RECENT: Duration = Duration::from_secs(2);
/// Addresses that must all have been late: a few servers may be gone or slow by themselves.
const ENOUGH: usize = 3;
/// Time beyond which attempts are late: two regions are less than that apart.
const LATE: Duration = Duration::from_millis(100);

#[derive(Debug, Clone, Copy)]
struct Attempt {
    to: SocketAddr,
    took: Duration,
    at: Instant,
}

/// The last attempts to connect to servers, one for each address.
#[derive(Debug, Clone, Default)]
pub struct LinkMonitor {
    recent: SmallVec<[Attempt; 16]>,
}

impl LinkMonitor {
    /// An attempt to connect to `to` took `took`, whether it succeeded or not.
    pub fn record_connect(&mut self, to: SocketAddr, took: Duration, now: Instant) {
        self.recent
            .retain(|a| a.to != to && now.duration_since(a.at) < RECENT);
        self.recent.push(Attempt { to, took, at: now });
    }

    /// How long bytes wait before the link: what all recent attempts have in common; zero when they are too few.
    pub fn queueing_delay(&self, now: Instant) -> Duration {
        let recent = self.recent.iter();
        let recent = recent.filter(|a| now.duration_since(a.at) < RECENT);
        let waits: SmallVec<[Duration; 16]> = recent.map(|a| a.took).collect();
        let least = waits.iter().min().copied();
        least.filter(|_| waits.len() >= ENOUGH).unwrap_or_default()
    }

    /// Tells whether times that are measured now tell more of the link than of servers.
    pub fn is_congested(&self, now: Instant) -> bool {
        self.queueing_delay(now) > LATE
    }
}
