//! Requests to be scheduled, and the decisions on them.

use std::fmt;
use std::time::{Duration, Instant};

use slotmap::new_key_type;
use smallvec::SmallVec;

use super::catalog::Engine;
use super::placement::Placement;
use super::regions::AllowedRegions;
use super::shape::Shape;
use super::stream_versions::StreamKey;
use super::usage::{AccountUsage, FairShare, ShareLevels};
use crate::codes::Code;
use crate::ident::{AccountId, RouteId, ServerId, ServiceId, VersionId};

new_key_type! {
    /// Identifies a queued request.
    pub struct Ticket;
}

/// A request to be scheduled.
#[derive(Debug, Clone)]
pub struct Request {
    /// Account that is charged; `None` on public routes.
    pub account: Option<AccountId>,
    /// Route by which it came; requests of a route are of one kind.
    pub route: RouteId,
    /// Service that serves it.
    pub service: ServiceId,
    /// Set where model engines serve the request.
    pub engine: Option<Engine>,
    /// Size of its prompt and response.
    pub shape: Shape,
    /// Priority; 0 is served first.
    pub priority: u32,
    /// Latency objective of its route.
    pub objective: Duration,
    /// When it arrived.
    pub arrival: Instant,
    /// When its caller first asked, by the time that it has left.
    pub asked: Instant,
    /// When its caller gives up or the route's timeout passes.
    pub deadline: Instant,
    /// Servers to which it was already sent.
    pub tried: SmallVec<[ServerId; 2]>,
    /// Regions in which it may be served.
    pub allowed_regions: AllowedRegions,
    /// The only version of servers that may go on with its stream; `None` before its first event.
    pub version: Option<VersionId>,
    /// It takes up a stream that has begun.
    pub goes_on: bool,
    /// The stream that it begins, where another request may take that up.
    pub new_stream: Option<StreamKey>,
}

impl Request {
    /// Returns whether only some servers of its service may serve it, so that others can have capacity when it finds none.
    pub fn is_bound(&self) -> bool {
        self.version.is_some() || self.allowed_regions != AllowedRegions::Any
    }
}

/// State on which the decision on a request is based.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct DecisionContext {
    /// Servers registered for the service.
    pub servers: usize,
    /// Draining servers among them.
    pub draining: usize,
    /// Servers of evacuated failure domains among them.
    pub evacuated: usize,
    /// Servers outside the regions in which the request may be served.
    pub out_of_region: usize,
    /// Servers that recently couldn't be reached.
    pub down: usize,
    /// Servers that want a rest.
    pub resting: usize,
    /// Servers that said themselves that they leave.
    pub leaving: usize,
    /// Servers whose slots are all in use.
    pub full: usize,
    /// Queued requests of this instance.
    pub queue_len: usize,
    /// The queued request that goes first to any server of the service.
    pub queue_head: QueueHead,
    /// Instances with recent unmet demand for the service.
    pub unmet_instances: usize,
    /// Cost of that demand, in tokens.
    pub unmet_cost: u32,
    /// Fraction of a server's capacity that the request may use.
    pub capacity_fraction: f64,
    /// Whether accounts ahead of those above their fair share have much unmet demand.
    pub is_contended: bool,
    /// Fair share of the request's account.
    pub share: FairShare,
    /// Tokens that this instance may still send of an account that requests more than its fair share.
    pub credit: Option<f64>,
    /// Recent fleet-wide usage of the account, in tokens.
    pub usage: AccountUsage,
    /// Usage up to which accounts are below their guarantee and below their fair share.
    pub levels: ShareLevels,
}

/// The first queued request of a service; zero when none is queued.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct QueueHead {
    /// Tokens of its prompt.
    pub prompt_tokens: u32,
    /// Time since its arrival.
    pub waited: Duration,
}

/// Cause of a refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// The service has no server that could take it.
    NoServer,
    /// The service has servers, and none of them is in a region in which the request may be served.
    RegionBound,
    /// All servers that could take it want a rest.
    Resting,
    /// Accounts below their guarantee have unmet demand, and this account has had its share.
    OverFairShare,
    /// It would be late even on an idle server.
    TooLong,
    /// Too many requests are queued ahead of it.
    QueueFull,
    /// No capacity became free while it was queued.
    QueueTimeout,
    /// Servers have crashed under it.
    Quarantined,
}

impl Cause {
    /// Returns the name that log lines and metrics use.
    pub const fn name(self) -> &'static str {
        match self {
            Self::NoServer => "NoServer",
            Self::RegionBound => "RegionBound",
            Self::Resting => "Resting",
            Self::OverFairShare => "OthersOwed",
            Self::TooLong => "TooLong",
            Self::QueueFull => "Crowd",
            Self::QueueTimeout => "Waited",
            Self::Quarantined => "Quarantined",
        }
    }
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// Why a request is refused, and when its caller may retry.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Refusal {
    /// Numbered reason for the caller.
    pub code: Code,
    /// Cause for the log.
    pub cause: Cause,
    /// Time after which the caller may retry.
    pub retry_after: Duration,
}

/// The placement of a request, whose work is counted from then on, or its refusal; a refused request has not run.
pub type Decision = Result<Placement, Refusal>;

/// Result of submitting a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Admission {
    /// It is placed or refused.
    Decided(Decision),
    /// It is queued; [`super::scheduler::Scheduler::dispatch_queued`] returns the decision.
    Queued(Ticket),
}
