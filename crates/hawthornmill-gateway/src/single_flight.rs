//! A question that one task asks for all that need its answer.

use std::cell::Cell;
use std::time::{Duration, Instant};

use tokio::sync::Notify;

/// A question to the store that many requests may need the answer of; it is asked once at a time.
#[derive(Debug, Default)]
pub struct SingleFlight {
    is_running: Cell<bool>,
    /// Not asked again before this, after a failure.
    retry_at: Cell<Option<Instant>>,
    ended: Notify,
}

impl SingleFlight {
    /// Waits until the question has ended, for `most` at most; `ask` starts it unless it is running.
    ///
    /// Doesn't wait where the question failed a moment ago.
    pub async fn wait(&self, now: Instant, most: Duration, ask: impl FnOnce()) {
        let ended = self.ended.notified();
        if !self.is_running.get() {
            if self.retry_at.get().is_some_and(|at| now < at) {
                return;
            }
            self.is_running.set(true);
            ask();
        }
        let _elapsed = tokio::time::timeout(most, ended).await;
    }

    /// Records that the question has ended, and tells those that wait; `retry_at` is `None` where it was answered.
    pub fn end(&self, retry_at: Option<Instant>) {
        if retry_at.is_some() {
            self.retry_at.set(retry_at);
        }
        self.is_running.set(false);
        self.ended.notify_waiters();
    }
}
