//! Queued requests, and what they leave to those behind them.

use smallvec::SmallVec;

use crate::ident::{ServerId, ServiceId};
use crate::routing::placement::HomeServers;
use crate::routing::request::Request;
use crate::routing::usage::ShareStatus;

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
