//! Lifecycle of the process, and the steps of a planned stop.

use std::cell::Cell;
use std::time::Instant;

use tokio::sync::watch;

/// Phase of the process in its lifecycle.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Accepts requests.
    Serving,
    /// Was told to stop, and still accepts requests of clients that have not heard of it.
    LameDuck,
    /// Rejects new requests and waits for those in flight.
    Draining,
    /// Answers the requests that are still in flight with an error, and ends.
    Ending,
}

/// The current phase, and when a planned stop ends.
#[derive(Debug)]
pub struct Lifecycle {
    phase: watch::Sender<Phase>,
    /// When requests in flight get no more time; `None` before a planned stop.
    ends_at: Cell<Option<Instant>>,
}

impl Default for Lifecycle {
    fn default() -> Self {
        Self {
            phase: watch::Sender::new(Phase::Serving),
            ends_at: Cell::new(None),
        }
    }
}

impl Lifecycle {
    /// Returns the current phase.
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Changes the phase.
    pub fn set_phase(&self, phase: Phase) {
        self.phase.send_replace(phase);
    }

    /// Begins a planned stop in which requests in flight have time until `ends_at`.
    pub fn begin_stop(&self, ends_at: Instant) {
        self.ends_at.set(Some(ends_at));
        self.set_phase(Phase::LameDuck);
    }

    /// Returns whether a request that may take until `deadline` may be cut by the end of a planned stop.
    pub fn may_cut(&self, deadline: Instant) -> bool {
        self.ends_at.get().is_some_and(|end| deadline > end)
    }

    /// Waits until the process takes no more requests.
    pub async fn draining(&self) {
        self.reached(Phase::Draining).await;
    }

    /// Waits until the requests in flight must be answered.
    pub async fn ending(&self) {
        self.reached(Phase::Ending).await;
    }

    async fn reached(&self, phase: Phase) {
        // The sender lives as long as `self`, so the wait doesn't fail.
        let mut phases = self.phase.subscribe();
        let _reached = phases.wait_for(|p| *p >= phase).await;
    }
}
