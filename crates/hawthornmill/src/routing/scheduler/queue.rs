//! Queued requests, and what they leave to those behind them.

use std::time::Instant;

use smallvec::SmallVec;

use super::Scheduler;
use crate::ident::{ServerId, ServiceId};
use crate::routing::placement::HomeServers;
use crate::routing::request::{QueueHead, Request};
use crate::routing::usage::ShareStatus;

/// Fraction of its objective for which a request may be queued; the rest is left for its response.
pub(super) const MAX_WAIT_FRACTION: f64 = 0.3;
/// Steps of usage, per fair share, between which accounts are ordered; within a step the earlier request goes first.
const USAGE_STEPS: f64 = 4.0;

/// A queued request.
#[derive(Debug, Clone)]
pub(super) struct QueuedRequest {
    pub request: Request,
    pub awaited: Awaited,
    /// Status of its account when it last found no capacity; `None` before it was tried.
    pub tried_as: Option<ShareStatus>,
}

/// Servers of which a queued request waits for one.
#[derive(Debug, Clone)]
pub(super) enum Awaited {
    /// Any server; the one given is reserved for it.
    Any(Option<ServerId>),
    /// Some servers only; those given are reserved for it.
    Homes(HomeServers),
}

/// Capacity reserved for queued requests, which later ones in the queue may not take.
#[derive(Debug, Default)]
pub(super) struct Reserved {
    /// Services whose requests wait for any server, each with the prompt tokens of the smallest of those.
    services: SmallVec<[(ServiceId, u32); 4]>,
    pub servers: HomeServers,
}

impl Reserved {
    /// Returns the prompt tokens from which requests of `service` find no capacity; `None` before one did not.
    pub fn least_tokens(&self, service: ServiceId) -> Option<u32> {
        let mut services = self.services.iter();
        services.find(|(s, _)| *s == service).map(|(_, t)| *t)
    }

    /// Records that a request for `service` found no capacity on any server.
    pub fn record_full(&mut self, service: ServiceId, tokens: u32) {
        match self.services.iter_mut().find(|(s, _)| *s == service) {
            Some((_, least)) => *least = tokens.min(*least),
            None => self.services.push((service, tokens)),
        }
    }
}

/// What the requests ahead of a new one leave to it.
pub(super) enum Turn {
    /// It may go to any server but these.
    Now(HomeServers),
    /// One ahead that is no larger finds no capacity.
    Full,
    /// Capacity became free, or one ahead may use more than when it was tried, and it has not been tried since.
    AfterDispatch,
}

impl Scheduler {
    /// Returns whether `request` may be placed now, beside the queued requests ahead of it.
    pub(super) fn turn(&self, request: &Request, now: Instant) -> Turn {
        let rank = self.rank(request);
        let mut reserved = HomeServers::new();
        for queued in self.waiting_for(request.service, now) {
            if self.rank(&queued.request) >= rank {
                continue;
            }
            match &queued.awaited {
                Awaited::Any(_) if self.has_freed || self.may_use_more(queued) => {
                    return Turn::AfterDispatch;
                }
                Awaited::Any(_)
                    if queued.request.shape.prompt_tokens <= request.shape.prompt_tokens =>
                {
                    return Turn::Full;
                }
                Awaited::Any(server) => reserved.extend(*server),
                Awaited::Homes(homes) => reserved.extend_from_slice(homes),
            }
        }
        Turn::Now(reserved)
    }

    /// Returns whether a queued request may find capacity where it found none when it was last tried, if it was.
    fn may_use_more(&self, queued: &QueuedRequest) -> bool {
        let status = self.status(&queued.request);
        queued.tried_as.is_none_or(|tried_as| status < tried_as)
    }

    /// Queued requests for `service`.
    pub(super) fn queued_for(&self, service: ServiceId) -> impl Iterator<Item = &QueuedRequest> {
        self.queue
            .values()
            .filter(move |q| q.request.service == service)
    }

    /// Returns the queued request for `service` that goes first to any server.
    pub(super) fn queue_head(&self, service: ServiceId, now: Instant) -> Option<QueueHead> {
        let queued = self.queued_for(service);
        let any = queued.filter(|q| matches!(q.awaited, Awaited::Any(_)));
        let first = any.min_by_key(|q| self.rank(&q.request))?;
        Some(QueueHead {
            prompt_tokens: first.request.shape.prompt_tokens,
            waited: now.saturating_duration_since(first.request.arrival),
        })
    }

    /// Queued requests for `service` whose time to wait is not over; the others only wait to be told so.
    pub(super) fn waiting_for(
        &self,
        service: ServiceId,
        now: Instant,
    ) -> impl Iterator<Item = &QueuedRequest> {
        let queued = self.queued_for(service);
        queued.filter(move |q| now < wait_deadline(&q.request))
    }

    /// Returns the position of a request in the queue; with the same status and priority, accounts with less usage go first.
    pub(super) fn rank(&self, request: &Request) -> (ShareStatus, u32, u32, Instant) {
        let share = self.share_of(request);
        let usage = (share.usage_ratio * USAGE_STEPS) as u32;
        (share.status, request.priority, usage, request.arrival)
    }
}

/// Returns when a queued request must have found a server.
pub(super) fn wait_deadline(request: &Request) -> Instant {
    (request.arrival + request.objective.mul_f64(MAX_WAIT_FRACTION)).min(request.deadline)
}
