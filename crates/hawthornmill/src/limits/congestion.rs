//! Detects congestion of the instance's own network link.
//!
//! When a flooding account sends more to one instance than its link carries, responses of servers queue behind that
//! traffic for seconds while the processor is idle. If the instance took the delay for slow servers, it would reject
//! every request as unable to meet its deadline, and with no requests sent it would never measure anything better.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use smallvec::SmallVec;

/// Age up to which a connection attempt is taken into account.
const SAMPLE_VALIDITY: Duration = Duration::from_secs(2);
/// Addresses that must be slow for the link to count as congested; a few servers may be down or slow themselves.
const MIN_SAMPLES: usize = 3;
/// Connect time that means congestion; the round trip between two regions is shorter.
const CONGESTED_CONNECT_TIME: Duration = Duration::from_millis(100);

#[derive(Debug, Clone, Copy)]
struct Sample {
    address: SocketAddr,
    took: Duration,
    at: Instant,
}

/// The most recent connection attempt to each server address.
#[derive(Debug, Clone, Default)]
pub struct LinkMonitor {
    recent: SmallVec<[Sample; 16]>,
}

impl LinkMonitor {
    /// Records the duration of a connection attempt to `address`, successful or not.
    pub fn record_connect(&mut self, address: SocketAddr, took: Duration, now: Instant) {
        self.recent
            .retain(|s| s.address != address && now.duration_since(s.at) < SAMPLE_VALIDITY);
        self.recent.push(Sample {
            address,
            took,
            at: now,
        });
    }

    /// Estimated queueing delay of the link: the shortest recent connect time, or zero with too few samples.
    pub fn queueing_delay(&self, now: Instant) -> Duration {
        let recent = self.recent.iter();
        let recent = recent.filter(|s| now.duration_since(s.at) < SAMPLE_VALIDITY);
        let times: SmallVec<[Duration; 16]> = recent.map(|s| s.took).collect();
        let shortest = times.iter().min().copied();
        shortest
            .filter(|_| times.len() >= MIN_SAMPLES)
            .unwrap_or_default()
    }

    /// Returns true if latencies measured now are dominated by the link rather than by servers.
    pub fn is_congested(&self, now: Instant) -> bool {
        self.queueing_delay(now) > CONGESTED_CONNECT_TIME
    }
}
