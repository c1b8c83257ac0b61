//! Events that are logged for operators.
//!
//! Controllers append events to the blackboard; an adapter writes them to the log.

use std::time::Duration;

use crate::ident::{InstanceId, PoolId};

/// An event to log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// A member timed out.
    InstanceDown(InstanceId),
    /// A member is live again, or for the first time.
    InstanceUp(InstanceId),
    /// The owner of a pool changed in this instance's view.
    OwnerChanged(PoolId, InstanceId),
    /// This process was stopped for about this time.
    ProcessPaused(Duration),
    /// The view was confirmed after a pause, and dispatching resumes.
    ViewConfirmed,
}
