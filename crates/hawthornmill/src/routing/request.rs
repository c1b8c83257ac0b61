//! A request that wants a server, and what can become of it.

use std::time::{Duration, Instant};

use slotmap::new_key_type;
use smallvec::SmallVec;

use super::catalog::Engine;
use super::placement::Placement;
use super::shape::Shape;
use super::usage::{AccountUsage, FairShare};
use crate::codes::Code;
use crate::ident::{AccountId, ServerId, ServiceId};

new_key_type! {
    /// A request that waits.
    pub struct Ticket;
}

/// A request that wants a server.
#[derive(Debug, Clone)]
pub struct Request {
    /// Account that pays; none on public routes.
    pub account: Option<AccountId>,
    /// Service that serves it.
    pub service: ServiceId,
    /// Set where model engines serve it.
    pub engine: Option<Engine>,
    /// Its size.
    pub shape: Shape,
    /// Rank; 0 goes first.
    pub priority: u32,
    /// Time to the answer's begin that its caller is promised.
    pub objective: Duration,
    /// When it came.
    pub arrival: Instant,
    /// When its caller gives up or the route's timeout passes.
    pub deadline: Instant,
    /// Servers that had it before.
    pub tried: SmallVec<[ServerId; 2]>,
}

/// What an instance believes of a request's service and account.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct DecisionContext {
    /// Servers registered for the service.
    pub servers: usize,
    /// Those of them that drain.
    pub draining: usize,
    /// Those that could not be reached lately.
    pub down: usize,
    /// Those whose slots are all taken.
    pub full: usize,
    /// Requests that wait at this instance.
    pub queue_len: usize,
    /// Instances at which requests of the service found no room lately.
    pub unmet_instances: usize,
    /// Cost of those, in tokens.
    pub unmet_cost: u32,
    /// How the request's account stands to its share.
    pub share: FairShare,
    /// What the account asked for and got over the fleet lately, in tokens.
    pub usage: AccountUsage,
}

/// What turned a request away.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// No server could take it.
    NoServer,
    /// Accounts that are owed find no room, and its account has had its part.
    OverFairShare,
    /// It would begin too late even if nothing were before it.
    TooLong,
    /// Too many wait before it.
    QueueFull,
    /// No room came free while it waited.
    QueueTimeout,
}

impl Cause {
    /// Name in log lines.
    pub const fn log_name(self) -> &'static str {
        match self {
            Self::NoServer => "NoServer",
            Self::OverFairShare => "OthersOwed",
            Self::TooLong => "TooLong",
            Self::QueueFull => "Crowd",
            Self::QueueTimeout => "Waited",
        }
    }
}

/// Why a request is turned away, and when its caller may come back.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Refusal {
    /// Numbered reason.
    pub code: Code,
    /// What turned it away, for the log.
    pub cause: Cause,
    /// Time after which to come back.
    pub retry_after: Duration,
}

/// The server for a request, where its work is counted from then on, or why it is turned away; it has
/// not run then.
pub type Decision = Result<Placement, Refusal>;

/// What becomes of a request that comes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Admission {
    /// It goes to a server or is turned away.
    Decided(Decision),
    /// It waits; [`super::scheduler::Scheduler::dispatch_queued`] tells when that is over.
    Queued(Ticket),
}
