//! Whether an instance that knows nothing yet reads the platform's store itself.
//!
//! Load pattern: hundreds of instances start at once. Each call of the store is billed, and one instance of a failure
//! domain can tell the others what it reads. When the fleet starts for the first time, no caller waits for it.

use std::time::Duration;

/// Time in which instances that start for the first time hear of each other.
const MEETING_TIME: Duration = Duration::from_millis(1_200);
/// Time after the start until which an instance waits for others to tell it what they read.
const MAX_PATIENCE: Duration = Duration::from_secs(4);

/// What an instance without catalog or registrations knows of its start.
#[derive(Debug, Clone, Copy)]
pub struct Start {
    /// The whole fleet starts for the first time.
    pub first: bool,
    /// Time since the process started.
    pub age: Duration,
    /// It is the one that follows the store, as far as it knows the other instances.
    pub is_follower: bool,
}

impl Start {
    /// Returns whether the instance reads the store now.
    pub fn reads_store(self) -> bool {
        if !self.first || self.age >= MAX_PATIENCE {
            return true;
        }
        self.is_follower && self.age >= MEETING_TIME
    }
}
