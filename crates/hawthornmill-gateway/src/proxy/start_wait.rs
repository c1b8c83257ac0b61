//! Requests that arrive before the process has a catalog and registrations.
//!
//! Callers know the address of an instance that starts again, and come back as soon as it listens. Another instance can
//! tell it all it lacks within a few round trips, so such a request waits for that before it is refused.

use std::time::Duration;

use tokio::time::Instant;

use super::admission::parse_deadline;
use super::read::ClientRequest;
use crate::gateway::Gateway;
use crate::lifecycle::Phase;

/// Longest time for which a request waits.
const MAX_WAIT: Duration = Duration::from_millis(400);
/// Fraction of the time that the caller gives a request for which it may wait.
const MAX_WAIT_FRACTION: f64 = 0.3;
/// Requests in flight beyond which none waits; each holds its body in memory.
const MAX_WAITING: usize = 256;

/// Waits until the process has a catalog and registrations, or for as long as `request` may wait.
pub async fn wait_for_state(gateway: &Gateway, request: &ClientRequest) {
    if gateway.has_state() || gateway.phase() != Phase::Serving {
        return;
    }
    let given = request.head.headers.get(gateway.adapter.headers.deadline);
    let given = parse_deadline(given).ok().flatten();
    let wait = given.map_or(MAX_WAIT, |d| d.mul_f64(MAX_WAIT_FRACTION).min(MAX_WAIT));
    let end = Instant::from_std(request.received) + wait;
    while !gateway.has_state() && gateway.in_flight.get() <= MAX_WAITING {
        let changed = gateway.state_wakeup.notified();
        if tokio::time::timeout_at(end, changed).await.is_err() {
            return;
        }
    }
}
