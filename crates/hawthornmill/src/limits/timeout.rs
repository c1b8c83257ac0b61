//! Adaptive timeout for a peer's response.
//!
//! When an instance's own link is congested or its process is overloaded, every response reaches it late. With a fixed
//! timeout no request would ever succeed, and the instance would keep serving an old configuration.

use std::time::Duration;

/// Initial timeout: several round trips between regions and the transfer of a catalog.
const INITIAL_TIMEOUT: Duration = Duration::from_millis(700);
/// Upper bound of the timeout.
pub const MAX_TIMEOUT: Duration = Duration::from_secs(3);

/// Response timeout that doubles each time a live peer exceeds it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdaptiveTimeout(Duration);

impl Default for AdaptiveTimeout {
    fn default() -> Self {
        Self(INITIAL_TIMEOUT)
    }
}

impl AdaptiveTimeout {
    /// Timeout for the next request.
    pub const fn current(self) -> Duration {
        self.0
    }

    /// Records a timeout; `peer_alive` means that the peer was heard in the meantime.
    ///
    /// A longer timeout for a dead peer would only delay the request to the next one.
    pub fn on_timeout(&mut self, peer_alive: bool) {
        if peer_alive {
            self.0 = (self.0 * 2).min(MAX_TIMEOUT);
        }
    }
}
