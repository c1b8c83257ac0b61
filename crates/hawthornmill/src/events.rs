//! What operators should read in the log about decisions.
//!
//! Controllers leave notes on the board; an adapter writes them.

use std::time::Duration;

use crate::ident::{InstanceId, PoolId};

/// One event worth a log line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// A member has not been heard for too long.
    InstanceDown(InstanceId),
    /// A member is heard again, or for the first time.
    InstanceUp(InstanceId),
    /// A pool has another owner in this instance's view.
    OwnerChanged(PoolId, InstanceId),
    /// This process was stopped for about so long.
    ProcessPaused(Duration),
    /// The view was confirmed after a pause; calls are dispatched again.
    ViewConfirmed,
}
