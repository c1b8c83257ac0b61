//! What servers said of themselves in their responses: that they want a rest, or that they leave.
//!
//! Load pattern: a server sheds load and asks for some seconds without requests. Slots that look free there attract the next
//! requests, each is rejected and needs a second send, and the server has no time to recover. A server that leaves may say
//! so in its responses before its registration shows it, or while the store can't be read.
//!
//! A notice belongs to one run of a server, not to its name or address, which may be used again. It binds this instance
//! only: others get notices of their own.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::registry::RegistryEntry;
use crate::ident::{InstanceId, ServerId, mix};

/// Longest rest; a server that wants more is asked again then.
const MAX_REST: Duration = Duration::from_mins(5);
/// Largest addition to a rest, as a fraction of it, so that the instances don't return at once.
const MAX_SPREAD: f64 = 0.1;
/// Time after which the first request after a rest is taken for lost, and another one may go.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for which the notices of a server without a registration are kept: it may only have lapsed.
const UNREGISTERED_TTL: Duration = Duration::from_mins(2);

/// Whether a server may get a new request from this instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Availability {
    /// It may.
    Available,
    /// It wants none until the instant given.
    Resting(Instant),
    /// Its rest is over, and the first request since then has no response yet.
    Trial,
    /// It leaves.
    Leaving,
}

/// A rest that a server asked for.
#[derive(Debug, Clone, Copy)]
struct Rest {
    until: Instant,
    /// When the first request after the rest was sent.
    trial_sent: Option<Instant>,
}

/// Notices of one run of a server.
#[derive(Debug, Clone, Copy)]
struct Notices {
    /// Start of the run, as its registration gives it.
    start_ms: u64,
    rest: Option<Rest>,
    leaving: bool,
    /// When the server was last seen to be registered.
    registered_at: Instant,
}

/// Notices of all servers.
#[derive(Debug, Clone)]
pub struct ServerNotices {
    me: InstanceId,
    servers: BTreeMap<ServerId, Notices>,
}

impl ServerNotices {
    /// Creates the notices of instance `me`, which has none yet.
    pub const fn new(me: InstanceId) -> Self {
        Self {
            me,
            servers: BTreeMap::new(),
        }
    }

    fn notices(&mut self, server: ServerId, start_ms: u64, now: Instant) -> &mut Notices {
        let none = Notices {
            start_ms,
            rest: None,
            leaving: false,
            registered_at: now,
        };
        let known = self.servers.entry(server).or_insert(none);
        if known.start_ms != start_ms {
            *known = none;
        }
        known
    }

    /// Records that the run of `server` that began at `start_ms` wants no requests for `rest`; the latest end counts.
    ///
    /// Returns the end of the rest.
    pub fn record_rest(
        &mut self,
        server: ServerId,
        start_ms: u64,
        rest: Duration,
        now: Instant,
    ) -> Instant {
        let draw = mix(self.me.0 ^ server.0) as f64 / u64::MAX as f64;
        let until = now + rest.min(MAX_REST).mul_f64(1.0 + MAX_SPREAD * draw);
        let known = &mut self.notices(server, start_ms, now).rest;
        let until = known.map_or(until, |rest| rest.until.max(until));
        *known = Some(Rest {
            until,
            trial_sent: None,
        });
        until
    }

    /// Records that the run of `server` that began at `start_ms` leaves; returns whether that is new.
    pub fn record_leaving(&mut self, server: ServerId, start_ms: u64, now: Instant) -> bool {
        let known = self.notices(server, start_ms, now);
        !std::mem::replace(&mut known.leaving, true)
    }

    /// Records that a request is sent to `server`, which is the trial if a rest is over.
    pub fn record_sent(&mut self, server: ServerId, now: Instant) {
        let known = self.servers.get_mut(&server);
        if let Some(rest) = known.and_then(|n| n.rest.as_mut()) {
            rest.trial_sent = Some(now);
        }
    }

    /// Records a response of `server` that asked for no rest: a trial succeeded.
    pub fn record_response(&mut self, server: ServerId, now: Instant) {
        if let Some(known) = self.servers.get_mut(&server)
            && known.rest.is_some_and(|rest| rest.until <= now)
        {
            known.rest = None;
        }
    }

    /// Returns whether the run of `server` that is registered as `entry` may get a new request.
    pub fn availability(
        &self,
        server: ServerId,
        entry: &RegistryEntry,
        now: Instant,
    ) -> Availability {
        let known = self.servers.get(&server);
        let Some(known) = known.filter(|n| n.start_ms == entry.registration.start_ms) else {
            return Availability::Available;
        };
        if known.leaving {
            return Availability::Leaving;
        }
        match known.rest {
            Some(rest) if now < rest.until => Availability::Resting(rest.until),
            Some(Rest {
                trial_sent: Some(at),
                ..
            }) if now.duration_since(at) < TRIAL_TIMEOUT => Availability::Trial,
            _ => Availability::Available,
        }
    }

    /// Forgets servers that have not been registered for a while; `is_registered` tells which are.
    pub fn sweep(&mut self, is_registered: impl Fn(ServerId) -> bool, now: Instant) {
        self.servers.retain(|server, notices| {
            if is_registered(*server) {
                notices.registered_at = now;
            }
            now.duration_since(notices.registered_at) < UNREGISTERED_TTL
        });
    }

    /// Returns the number of servers that rest, and of those that leave.
    pub fn counts(&self, now: Instant) -> (usize, usize) {
        let resting = |n: &&Notices| n.rest.is_some_and(|rest| now < rest.until);
        let notices = self.servers.values();
        let resting = notices.clone().filter(resting).count();
        (resting, notices.filter(|n| n.leaving).count())
    }
}
