//! How long a peer is given to answer a question.
//!
//! Load pattern: an instance's own link is full, or its process is behind, so that every answer reaches it late.
//! Given up each time after the usual time, no question would ever be answered, and the instance would go on by an
//! old configuration.

use std::time::Duration;

/// Time for an answer at first: several round trips between regions, and a catalog's way.
const FIRST: Duration = Duration::from_millis(700);
/// Most time for an answer.
pub const MOST: Duration = Duration::from_secs(3);

/// Time for the next answer; it doubles with each one that a peer who lives does not give.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Patience(Duration);

impl Default for Patience {
    fn default() -> Self {
        Self(FIRST)
    }
}

impl Patience {
    /// Time for the next answer.
    pub const fn time(self) -> Duration {
        self.0
    }

    /// An answer did not come in time; `alive` says that its peer was heard meanwhile.
    ///
    /// More time for one that is gone would only hold up the question to the next one.
    pub fn missed(&mut self, alive: bool) {
        if alive {
            self.0 = (self.0 * 2).min(MOST);
        }
    }
}
