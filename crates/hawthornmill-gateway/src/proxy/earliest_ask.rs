//! When the caller of a stream that is taken up first asked, at the earliest.

use std::time::{Duration, Instant};

use hawthornmill::routing::caller_times::{CallerTime, SpentTime};
use hawthornmill::routing::past_routes::{PastTerms, longest_timeout};
use hawthornmill::routing::stream_tries::{CallerAge, StreamTry, Undated};

use super::RequestContext;
use super::admission::{Admitted, host_of};
use crate::stream_versions::StreamLookup;

/// When the caller of a stream first asked, at the earliest, and under which terms.
#[derive(Debug, Clone)]
pub struct EarliestAsk {
    /// `None` where the machine's clock hasn't run for as long.
    pub at: Option<Instant>,
    /// Why it isn't what its caller has left that tells it; `None` where it is.
    pub undated: Option<Undated>,
    /// Terms of its route in earlier catalogs.
    pub past_terms: Vec<PastTerms>,
    /// It may have asked under terms that this process doesn't know.
    pub has_unknown_terms: bool,
}

impl EarliestAsk {
    /// Returns it for a stream of which `lookup` tells what others know.
    pub fn of(
        context: RequestContext<'_>,
        admitted: &Admitted,
        lookup: Option<StreamLookup>,
    ) -> Self {
        let (gateway, arrival) = (context.gateway, admitted.request.arrival);
        let apply_time = gateway.settings().guarantees.apply_time;
        let past_terms = past_terms(context, apply_time);
        let caller = CallerTime {
            past_timeout: longest_timeout(&past_terms, arrival),
            ..admitted.caller
        };
        let spent = gateway.streams.caller_times.borrow().spent(caller, arrival);
        let age = caller_age(admitted, spent, lookup);
        let routes = gateway.streams.past_routes.borrow();
        Self {
            at: arrival.checked_sub(age.most),
            undated: age.undated,
            past_terms,
            has_unknown_terms: routes.has_unknown_terms(apply_time, arrival),
        }
    }

    /// Returns what dates the stream, for logs and counters.
    pub const fn dated_by(&self) -> &'static str {
        match self.undated {
            None => "countdown",
            Some(Undated::NoTime) => "longest",
            Some(_) => "timeout",
        }
    }
}

fn caller_age(admitted: &Admitted, spent: SpentTime, lookup: Option<StreamLookup>) -> CallerAge {
    let age = this_try(admitted).map(|last| {
        let first = lookup.and_then(|l| l.first_try);
        CallerAge::of(spent, first, last, lookup.and_then(|l| l.holder_start))
    });
    age.unwrap_or(CallerAge {
        most: spent.most,
        undated: Some(Undated::NoTime),
    })
}

/// Returns the request as one of those for its stream; `None` where it names no time.
pub fn this_try(admitted: &Admitted) -> Option<StreamTry> {
    let at = admitted.request.arrival;
    admitted.caller.left.map(|left| StreamTry { at, left })
}

/// Returns the terms that earlier catalogs had for the request.
fn past_terms(context: RequestContext<'_>, apply_time: Duration) -> Vec<PastTerms> {
    let Ok(host) = host_of(context.request) else {
        return Vec::new();
    };
    let routes = context.gateway.streams.past_routes.borrow();
    routes.terms(host, context.request.head.path(), apply_time)
}
