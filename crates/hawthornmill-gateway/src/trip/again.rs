//! Whether a request that failed at one server goes to another.
//!
//! A request that reached no server may go on freely. One that a server refused, or that may have
//! run, takes from the fleet's budget of second sends; one that may have run must besides be allowed
//! to run again.

use hawthornmill::ident::ServerId;
use hawthornmill::routing::loads::ServerOutcome;
use serde_json::json;

use super::admit::Admitted;
use super::read::Call;
use super::send::Answer;
use super::settle::Trip;
use crate::gateway::Gateway;
use crate::journal;

/// Servers that one request may fail to reach; each costs up to a connection's time.
const MOST_UNREACHED: u32 = 3;

/// What follows a failure.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// Another server gets the request.
    Again,
    /// It has not run and is refused.
    Refuse,
    /// It may have run and fails.
    Fail,
}

/// Tells whether a server's answer is a failure that another server might not give.
pub fn is_failure(answer: &Answer) -> bool {
    answer.head.status >= 500
}

/// Notes how a request to `server` ended.
pub fn judge(gateway: &Gateway, server: ServerId, verdict: ServerOutcome) {
    let now = gateway.now();
    gateway
        .scheduler
        .borrow_mut()
        .loads
        .record_outcome(server, verdict, now);
}

/// Takes a second send for a request that may have run.
pub fn may(gateway: &Gateway, admitted: &Admitted, trip: &mut Trip) -> bool {
    admitted.repeat.allows_retry() && take(gateway, admitted, trip)
}

/// Tells whether the request may go to another server after one that may have run it.
pub fn is_left(admitted: &Admitted, trip: &Trip) -> bool {
    admitted.repeat.allows_retry() && trip.arrivals < admitted.attempts
}

fn take(gateway: &Gateway, admitted: &Admitted, trip: &mut Trip) -> bool {
    if trip.arrivals >= admitted.attempts {
        return false;
    }
    let service = admitted.request.service;
    let taken = gateway
        .scheduler
        .borrow_mut()
        .retry_budget
        .try_acquire(service, gateway.now());
    if taken {
        gateway.meters.resent(&admitted.service_name);
    }
    taken
}

/// What ends a request that no other server gets: only one that has not run may be called refused.
const fn give_up(trip: &Trip) -> Next {
    if trip.may_have_run() {
        Next::Fail
    } else {
        Next::Refuse
    }
}

/// The server could not be reached.
pub fn after_unreached(
    gateway: &Gateway,
    call: &Call,
    trip: &mut Trip,
    server: ServerId,
    why: &str,
) -> Next {
    let fields = json!({"server": gateway.server_name(server), "why": why});
    journal::trouble("server_unreached", &call.attempt, fields);
    gateway.pool.drop_idle(server);
    judge(gateway, server, ServerOutcome::Unreachable);
    trip.unreached += 1;
    if trip.unreached <= MOST_UNREACHED {
        Next::Again
    } else {
        give_up(trip)
    }
}

/// The server says that it did not run the request.
pub fn after_not_run(
    gateway: &Gateway,
    admitted: &Admitted,
    trip: &mut Trip,
    server: ServerId,
    moved: bool,
) -> Next {
    if moved {
        gateway.pool.drop_idle(server);
        judge(gateway, server, ServerOutcome::Unreachable);
    } else {
        judge(gateway, server, ServerOutcome::Full);
    }
    trip.not_run();
    if take(gateway, admitted, trip) {
        Next::Again
    } else {
        give_up(trip)
    }
}

/// The server broke off, and may have run the request.
pub fn after_break(
    gateway: &Gateway,
    admitted: &Admitted,
    trip: &mut Trip,
    server: ServerId,
) -> Next {
    judge(gateway, server, ServerOutcome::Failed);
    if may(gateway, admitted, trip) {
        Next::Again
    } else {
        Next::Fail
    }
}
