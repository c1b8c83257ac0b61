//! Bounds how often a line is logged that others can cause at any rate.

use std::cell::Cell;
use std::time::{Duration, Instant};

/// Time over which lines are counted.
const WINDOW: Duration = Duration::from_secs(10);
/// Lines in that time.
const MAX_LINES: u32 = 20;

/// Lines of one kind that were logged lately.
#[derive(Debug, Default)]
pub struct LineLimit {
    window: Cell<Option<Instant>>,
    lines: Cell<u32>,
    unlogged: Cell<u64>,
}

impl LineLimit {
    /// Returns how many lines were left out since the last one, or `None` if this one is left out too.
    pub fn admit(&self, now: Instant) -> Option<u64> {
        let is_recent = |from: Instant| now.saturating_duration_since(from) < WINDOW;
        if !self.window.get().is_some_and(is_recent) {
            self.window.set(Some(now));
            self.lines.set(0);
        }
        if self.lines.get() >= MAX_LINES {
            self.unlogged.set(self.unlogged.get() + 1);
            return None;
        }
        self.lines.set(self.lines.get() + 1);
        Some(self.unlogged.replace(0))
    }
}
