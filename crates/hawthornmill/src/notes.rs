//! What operators should read in the log about decisions.
//!
//! Controllers leave notes on the board; an adapter writes them.

use std::time::Duration;

use crate::ident::{InstanceId, PoolId};

/// One event worth a log line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Note {
    /// A member has not been heard for too long.
    Died(InstanceId),
    /// A member is heard again, or for the first time.
    Revived(InstanceId),
    /// A pool has another owner in this instance's view.
    Owner(PoolId, InstanceId),
    /// This process was stopped for about so long.
    Paused(Duration),
    /// The view was confirmed after a pause; calls are dispatched again.
    Confirmed,
}
