//! How long a peer is given to answer a question.
//!
//! Load pattern: an instance's own link is full, or its process is behind, so that every answer reaches it late.
//! Given up each time after the usual time, no question would ever be answered, and the instance would go on by an
//! old configuration.

use std::time::Duration;

/// Time for an answer at first: several round trips between regions, and a catalog's way.
const INITIAL_TIMEOUT: Duration = Duration::from_millis(700);
/// Most time for an answer.
pub const MAX_TIMEOUT: Duration = Duration::from_secs(3);

/// Time for the next answer; it doubles with each one that a peer who lives does not give.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdaptiveTimeout(Duration);

impl Default for AdaptiveTimeout {
    fn default() -> Self {
        Self(INITIAL_TIMEOUT)
    }
}

impl AdaptiveTimeout {
    /// Time for the next answer.
    pub const fn current(self) -> Duration {
        self.0
    }

    /// An answer did not come in time; `alive` says that its peer was heard meanwhile.
    ///
    /// More time for one that is gone would only hold up the question to the next one.
    pub fn on_timeout(&mut self, alive: bool) {
        if alive {
            self.0 = (self.0 * 2).min(MAX_TIMEOUT);
        }
    }
}
