//! When the caller of a stream that is taken up may have asked for it first.

use std::time::{Duration, Instant};

use hawthornmill::routing::caller_times::{CallerTime, SpentTime};
use hawthornmill::routing::past_routes::{PastTerms, past_timeouts};
use hawthornmill::routing::stream_tries::{CallerAge, StreamFacts, StreamTry, Undated};
use hawthornmill::routing::version_history::BeginWindow;

use super::RequestContext;
use super::admission::{Admitted, host_of};
use crate::stream_versions::StreamLookup;

/// Longest pause between two events of a stream that is on time, where its route doesn't tell it.
const DEFAULT_GAP: Duration = Duration::from_millis(100);

/// When the caller of a stream may have asked for it first, and under which terms.
#[derive(Debug, Clone)]
pub struct FirstAsk {
    /// The earliest possible time, if the caller's time began with the stream; `None` where the machine's clock hasn't run for as
    /// long.
    pub after: Option<Instant>,
    /// The same, if its time may have begun anew when the stream broke.
    after_anew: Option<Instant>,
    /// The latest possible time.
    pub by: Instant,
    /// When its count began, if it is one.
    pub count_begin: Option<Instant>,
    /// Why it isn't what its caller has left that tells it; `None` where it is.
    pub undated: Option<Undated>,
    /// Terms of its route in earlier catalogs.
    pub past_terms: Vec<PastTerms>,
    /// It may have asked under terms that this process doesn't know.
    pub has_unknown_terms: bool,
}

impl FirstAsk {
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
            past_timeouts: past_timeouts(&past_terms, arrival),
            ..admitted.caller
        };
        let spent = gateway.streams.caller_times.borrow().spent(caller, arrival);
        let count_begin = spent.counted.and_then(|spent| arrival.checked_sub(spent));
        let latest_count = gateway.streams.latest_count.get();
        let may_be_anew = count_begin.is_none_or(|begin| latest_count.may_be_anew(begin));
        let lasted = may_be_anew.then(|| longest_duration(context, admitted, caller));
        let facts = StreamFacts {
            holder_start: lookup.and_then(|l| l.holder_start),
            lasted: lasted.unwrap_or_default(),
        };
        let age = caller_age(admitted, spent, lookup, facts);
        let routes = gateway.streams.past_routes.borrow();
        Self {
            after: arrival.checked_sub(age.most),
            after_anew: arrival.checked_sub(age.most_anew),
            by: arrival.checked_sub(age.least).unwrap_or(arrival),
            count_begin,
            undated: age.undated,
            past_terms,
            has_unknown_terms: routes.has_unknown_terms(apply_time, arrival),
        }
    }

    /// Returns when the stream may have begun, where instances hear of a change within `lag`; `None` if nothing tells it.
    ///
    /// All states are known since `known_since`, or for the time for which the store usually keeps changes, since `kept_since`.
    /// What a caller means that counts otherwise than most is asked of these alone.
    pub fn window(
        &self,
        lag: Duration,
        known_since: Instant,
        kept_since: Instant,
    ) -> Option<BeginWindow> {
        let asked_after = self.after?.checked_sub(lag)?;
        let told_since = known_since.min(kept_since);
        if self.has_unknown_terms {
            return Some(BeginWindow::since(asked_after.min(told_since)));
        }
        let anew = self.after_anew?.checked_sub(lag)?;
        Some(BeginWindow {
            asked_after: asked_after.min(anew.max(told_since)),
            asked_by: Some(self.by + lag),
        })
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

fn caller_age(
    admitted: &Admitted,
    spent: SpentTime,
    lookup: Option<StreamLookup>,
    facts: StreamFacts,
) -> CallerAge {
    let age = this_try(admitted).map(|last| {
        let first = lookup.and_then(|l| l.first_try);
        CallerAge::of(spent, first, last, facts)
    });
    age.unwrap_or(CallerAge {
        most: spent.most,
        most_anew: spent.most,
        least: Duration::ZERO,
        undated: Some(Undated::NoTime),
    })
}

/// Returns the longest time that a stream takes for the events up to the one that its client names, if it is on time.
fn longest_duration(
    context: RequestContext<'_>,
    admitted: &Admitted,
    caller: CallerTime,
) -> Duration {
    // A server stops an attempt when the time of its route is over.
    let past = caller.past_timeouts.map(|(_, longest)| longest);
    let most = past.unwrap_or_default().max(caller.timeout);
    let name = context.gateway.adapter.headers.last_event_id;
    let last_event = context.request.head.headers.get_str(name);
    let Some(events) = last_event.and_then(|id| id.trim().parse().ok()) else {
        return most;
    };
    let gap = admitted.gap_target.unwrap_or(DEFAULT_GAP);
    gap.saturating_mul(events).min(most)
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
