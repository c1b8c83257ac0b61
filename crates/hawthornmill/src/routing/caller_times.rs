//! How long callers may have asked for the streams that they take up.
//!
//! A caller that comes back says how long it will wait, not how much time it gave at first nor whether it takes off what it has
//! spent. What it gave is at most its route's timeout, unless the request itself or earlier ones of its account say more; that
//! it counts down has to be seen, see [`stream_tries`](super::stream_tries).

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::ident::{AccountId, RouteId};

/// Time after which no caller comes back for its stream; states of services are kept for a little longer.
pub const MAX_CALLER_TIME: Duration = Duration::from_secs(110);

/// What a request tells of the time of its caller.
#[derive(Debug, Clone, Copy)]
pub struct CallerTime {
    /// Its account; `None` on public routes.
    pub account: Option<AccountId>,
    /// Its route.
    pub route: RouteId,
    /// Longest time for which the operator wants callers of the route to wait.
    pub timeout: Duration,
    /// Shortest and longest such time in earlier catalogs under which the caller may have asked; `None` if there are none.
    pub past_timeouts: Option<(Duration, Duration)>,
    /// Time that the caller has left; `None` if it doesn't say so.
    pub left: Option<Duration>,
}

/// Time for which a caller may have asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SpentTime {
    /// When it comes first, at most this, unless it gave more than anyone has heard of.
    pub most: Duration,
    /// The same if the caller counts down over its attempts; `None` where what it says tells nothing.
    pub counted: Option<Duration>,
    /// Time for which it has asked at least, if it counts down.
    pub counted_least: Duration,
}

/// Longest time that callers gave within one to two times [`MAX_CALLER_TIME`].
#[derive(Debug, Clone, Copy)]
struct Longest {
    since: Instant,
    /// Of the requests since then.
    current: Duration,
    /// Of those in the time before.
    before: Duration,
}

/// Times that callers gave their requests, where these exceed the timeouts of their routes.
#[derive(Debug, Clone, Default)]
pub struct CallerTimes {
    longer: BTreeMap<(Option<AccountId>, RouteId), Longest>,
}

impl CallerTimes {
    /// Records what a request tells.
    pub fn record(&mut self, caller: CallerTime, now: Instant) {
        if let Some(left) = caller.left.filter(|left| *left > caller.timeout) {
            self.record_longer((caller.account, caller.route), left, now);
        }
    }

    /// Returns the time for which a caller may have asked.
    ///
    /// More time left than the timeout doesn't tell how much was given at first.
    pub fn spent(&self, caller: CallerTime, now: Instant) -> SpentTime {
        let id = (caller.account, caller.route);
        let unlimited = SpentTime {
            most: MAX_CALLER_TIME,
            counted: None,
            counted_least: Duration::ZERO,
        };
        let Some(left) = caller.left else {
            return unlimited;
        };
        if left > caller.timeout {
            return unlimited;
        }
        let longer = self.longer.get(&id).map(|longest| longest.at(now));
        let (shortest, longest) = caller
            .past_timeouts
            .unwrap_or((caller.timeout, caller.timeout));
        let given = longer.unwrap_or_default().max(caller.timeout).max(longest);
        let least_given = caller.timeout.min(shortest);
        SpentTime {
            most: given.min(MAX_CALLER_TIME),
            counted: Some(given.saturating_sub(left).min(MAX_CALLER_TIME)),
            counted_least: least_given.saturating_sub(left),
        }
    }

    fn record_longer(&mut self, id: (Option<AccountId>, RouteId), given: Duration, now: Instant) {
        self.longer.retain(|_, longest| !longest.at(now).is_zero());
        let longest = self.longer.entry(id).or_insert(Longest {
            since: now,
            current: Duration::ZERO,
            before: Duration::ZERO,
        });
        if now.duration_since(longest.since) >= MAX_CALLER_TIME {
            longest.before = longest.current;
            (longest.since, longest.current) = (now, Duration::ZERO);
        }
        longest.current = longest.current.max(given);
    }
}

impl Longest {
    /// Returns the longest time that still counts.
    fn at(&self, now: Instant) -> Duration {
        let age = now.duration_since(self.since);
        if age < MAX_CALLER_TIME {
            self.current.max(self.before)
        } else if age < 2 * MAX_CALLER_TIME {
            self.current
        } else {
            Duration::ZERO
        }
    }
}
