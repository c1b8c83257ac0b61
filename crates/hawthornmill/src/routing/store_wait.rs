//! How long a watch of the platform's store waits, and when it counts as lost.
//!
//! Load pattern: a store that has no change to tell and a store whose answer is lost look alike until the wait that was asked
//! for is over. So the wait is the time for which a change may stay unknown; but each answer is a call, and each call is
//! billed. Where several instances read the store, they don't wait for the same time, and the first that notices the silence
//! tells the others what it reads anew: each may wait the longer, the more of them there are.

use std::time::Duration;

/// Longest wait of an instance that reads the store alone.
const SINGLE_WAIT: Duration = Duration::from_millis(1_600);
/// Time by which the longest wait grows with each further instance that reads the store.
const WAIT_STEP: Duration = Duration::from_millis(400);
/// Longest wait in any fleet: with the time allowed for the answer of a fast store, within the four seconds after which the
/// platform counts an instance as undisturbed again.
const MAX_WAIT: Duration = Duration::from_millis(3_200);
/// Shortest wait; between it and the longest one, the instances' waits end at different times.
const MIN_WAIT: Duration = Duration::from_millis(1_300);
/// Shortest time allowed for the answer after the wait: a lost packet and a busy process fit in.
const MIN_MARGIN: Duration = Duration::from_millis(400);
/// Measured time of an answer that the time allowed for one covers, as a multiple.
const MARGIN_FACTOR: u32 = 3;
/// Part of the difference by which the measured time follows a faster answer.
const DECREASE_RATE: f64 = 0.5;

/// Returns how long a watch waits where `others` read the store besides this instance; `draw` is from 0 to below 1.
pub fn watch_wait(others: usize, draw: f64) -> Duration {
    let steps = u32::try_from(others).unwrap_or(u32::MAX);
    let longest = SINGLE_WAIT
        .saturating_add(WAIT_STEP.saturating_mul(steps))
        .min(MAX_WAIT);
    MIN_WAIT + longest.saturating_sub(MIN_WAIT).mul_f64(draw)
}

/// How fast the store answers calls that needn't wait.
#[derive(Debug, Clone, Copy, Default)]
pub struct AnswerTime {
    /// `None` while no answer was measured since the store was last silent.
    measured: Option<Duration>,
}

impl AnswerTime {
    /// Records an answer that took `time` besides its wait.
    pub fn record(&mut self, time: Duration) {
        let before = self.measured.unwrap_or(time);
        let decrease = before.saturating_sub(time).mul_f64(DECREASE_RATE);
        self.measured = Some(time.max(before.saturating_sub(decrease)));
    }

    /// Records that a call was not answered in time: the store may have become slower.
    pub fn forget(&mut self) {
        self.measured = None;
    }

    /// Returns the time allowed for an answer besides its wait, at most `longest`.
    pub fn margin(self, longest: Duration) -> Duration {
        let margin = |time: Duration| time.saturating_mul(MARGIN_FACTOR).max(MIN_MARGIN);
        self.measured.map_or(longest, margin).min(longest)
    }
}
