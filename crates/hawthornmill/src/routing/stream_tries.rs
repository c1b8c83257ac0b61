//! Times at which clients asked for streams of which nobody has a record, and whether they count down.
//!
//! What a caller has left dates its stream only if the caller takes off what it has spent, which not every client does. So the
//! instances that are asked for a stream remember when it was first asked for and how much was left then, and tell it the
//! instance at which the client tries again: what is left must have gone down by the time that went by.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::caller_times::{MAX_CALLER_TIME, SpentTime};
use super::stream_versions::StreamKey;

/// Time between two tries below which delays on the way hide whether a caller counts down.
pub const MIN_TRY_GAP: Duration = Duration::from_millis(200);
/// Part of the time between two tries that may be missing in what is left, for delays on the way.
const MAX_MISSING_PART: u32 = 4;
/// Time that what is left may go down by beyond twice the time between two tries, as the first one was read late.
const MAX_EXTRA: Duration = Duration::from_millis(250);
/// Time after which no client comes back for its stream.
const TRY_TTL: Duration = Duration::from_mins(2);
/// Maximum number of streams; beyond them, the oldest is dropped.
const MAX_STREAMS: usize = 16_384;

/// A request for a stream to go on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StreamTry {
    /// When it came.
    pub at: Instant,
    /// Time that its caller had left.
    pub left: Duration,
}

/// A request for a stream to go on, as one instance tells it to another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ToldTry {
    /// The stream.
    pub key: StreamKey,
    /// Milliseconds since the request came.
    pub age_ms: u32,
    /// Milliseconds that its caller had left.
    pub left_ms: u32,
}

impl ToldTry {
    /// Returns what is told of a request for the stream of `key`.
    pub fn of(key: StreamKey, request: StreamTry, now: Instant) -> Self {
        let ms = |time: Duration| u32::try_from(time.as_millis()).unwrap_or(u32::MAX);
        Self {
            key,
            age_ms: ms(now.saturating_duration_since(request.at)),
            left_ms: ms(request.left),
        }
    }

    /// Returns the request; `None` if it came before the machine's clock began.
    pub fn request(&self, now: Instant) -> Option<StreamTry> {
        let at = now.checked_sub(Duration::from_millis(self.age_ms.into()))?;
        let left = Duration::from_millis(self.left_ms.into());
        Some(StreamTry { at, left })
    }
}

/// First requests for streams to go on, as far as this instance received them or was told.
#[derive(Debug, Clone, Default)]
pub struct StreamTries {
    first: BTreeMap<StreamKey, StreamTry>,
    in_order: VecDeque<(StreamKey, Instant)>,
}

impl StreamTries {
    /// Records a request for a stream, and returns the first one that is known.
    pub fn record(&mut self, key: StreamKey, request: StreamTry, now: Instant) -> StreamTry {
        let is_over = |(_, at): &(StreamKey, Instant)| now.duration_since(*at) >= TRY_TTL;
        while self.in_order.front().is_some_and(is_over) {
            self.drop_oldest();
        }
        if let Some(first) = self.first.get_mut(&key) {
            if request.at < first.at {
                *first = request;
            }
            return *first;
        }
        if self.in_order.len() >= MAX_STREAMS {
            self.drop_oldest();
        }
        self.first.insert(key, request);
        self.in_order.push_back((key, now));
        request
    }

    fn drop_oldest(&mut self) {
        if let Some((key, _)) = self.in_order.pop_front() {
            self.first.remove(&key);
        }
    }
}

/// Time within which callers whose streams broke off together begin their counts anew.
const ANEW_SPREAD: Duration = Duration::from_millis(500);

/// The latest begin of a count that is known for a stream without a record, from before a process started.
///
/// Counts begin with their streams or when these break. Where all break together, as all instances are killed, those that began
/// anew all begin then, and one that began well before another one began with its stream.
#[derive(Debug, Clone, Copy, Default)]
pub struct LatestCount(Option<Instant>);

impl LatestCount {
    /// Records the begin of a count; `start` is that of the process.
    pub fn record(&mut self, begin: Instant, start: Instant) {
        if begin <= start {
            self.0 = self.0.max(Some(begin));
        }
    }

    /// Returns whether a count that began at `begin` may have begun when its stream broke.
    pub fn may_be_anew(self, begin: Instant) -> bool {
        self.0.is_none_or(|latest| begin + ANEW_SPREAD >= latest)
    }
}

/// Why what its caller has left doesn't date a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Undated {
    /// The caller says nothing that tells how much time it has spent.
    NoTime,
    /// It was not asked for twice, at times far enough apart.
    OneTry,
    /// The caller had all its time left, though its stream had begun.
    AllLeft,
    /// What is left didn't go down by the time that went by.
    NotCounted,
    /// An instance that would have a record of it has run since before it was first asked for, by that count.
    NoRecord,
}

impl Undated {
    /// Returns the name for logs.
    pub const fn name(self) -> &'static str {
        match self {
            Self::NoTime => "no_time",
            Self::OneTry => "one_try",
            Self::AllLeft => "all_left",
            Self::NotCounted => "not_counted",
            Self::NoRecord => "no_record",
        }
    }
}

/// For how long the caller of a stream may have asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerAge {
    /// At most this, if its time began with the stream.
    pub most: Duration,
    /// At most this, if its time may have begun anew when the stream broke.
    pub most_anew: Duration,
    /// At least this.
    pub least: Duration,
    /// Why it isn't what its caller has left that tells it; `None` where it is.
    pub undated: Option<Undated>,
}

/// What is known of a stream besides the requests for it to go on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StreamFacts {
    /// Earliest start of the instances that would have a record if the stream had begun since; `None` where they don't tell.
    pub holder_start: Option<Instant>,
    /// Time that it took at most for the events after which it is taken up.
    pub lasted: Duration,
}

impl CallerAge {
    /// Returns it for a caller whose present request is `last`; `first` is the first request for the stream that is known.
    ///
    /// A caller whose count isn't believed may have asked for as long as its route allows when it came first, so each further
    /// request makes it older. A count may have begun anew when the stream broke; then the time for which the stream lasted comes
    /// before it.
    ///
    /// With 10 s on the route, 6 s left at first and 5.7 s left 0.3 s later, it has asked for 4.3 s; with 6 s left both times, for
    /// up to 10.3 s.
    pub fn of(
        spent: SpentTime,
        first: Option<StreamTry>,
        last: StreamTry,
        facts: StreamFacts,
    ) -> Self {
        let first = first.unwrap_or(last);
        let elapsed = last.at.saturating_duration_since(first.at);
        if first.left > spent.most {
            // It gave more than anyone here has heard of.
            return Self {
                most: MAX_CALLER_TIME,
                most_anew: MAX_CALLER_TIME,
                least: Duration::ZERO,
                undated: Some(Undated::NoTime),
            };
        }
        match counted_time(spent, first, last, facts.holder_start) {
            Ok(counted) => Self {
                most: counted.most,
                most_anew: (counted.most + facts.lasted).min(MAX_CALLER_TIME),
                least: counted.least,
                undated: None,
            },
            Err(why) => {
                let most = spent.most + elapsed;
                let anew = spent.counted.unwrap_or(spent.most) + facts.lasted + elapsed;
                Self {
                    most: most.min(MAX_CALLER_TIME),
                    most_anew: anew.max(most).min(MAX_CALLER_TIME),
                    least: Duration::ZERO,
                    undated: Some(why),
                }
            }
        }
    }
}

/// Time for which a caller has asked by its own count.
#[derive(Debug, Clone, Copy)]
struct CountedTime {
    most: Duration,
    least: Duration,
}

/// Returns the time for which a caller has asked by its own count.
///
/// # Errors
/// Why its count isn't believed. What a second request can't mend comes first.
fn counted_time(
    spent: SpentTime,
    first: StreamTry,
    last: StreamTry,
    holder_start: Option<Instant>,
) -> Result<CountedTime, Undated> {
    let counted = spent.counted.ok_or(Undated::NoTime)?;
    let elapsed = last.at.saturating_duration_since(first.at);
    let at_first = (counted + last.left).saturating_sub(first.left);
    if at_first.is_zero() {
        return Err(Undated::AllLeft);
    }
    let time = counted.max(elapsed + at_first);
    let is_before = |start: Instant| last.at.checked_sub(time).is_none_or(|asked| asked < start);
    if !holder_start.is_some_and(is_before) {
        return Err(Undated::NoRecord);
    }
    if elapsed < MIN_TRY_GAP {
        return Err(Undated::OneTry);
    }
    let decrease = first.left.saturating_sub(last.left);
    let (least, most) = (
        elapsed.saturating_sub(elapsed / MAX_MISSING_PART),
        elapsed * 2 + MAX_EXTRA,
    );
    if (least..=most).contains(&decrease) {
        let least_at_first = (spent.counted_least + last.left).saturating_sub(first.left);
        Ok(CountedTime {
            most: time,
            least: spent.counted_least.min(elapsed + least_at_first),
        })
    } else {
        Err(Undated::NotCounted)
    }
}
