//! What the fleet promises of streams, judged event by event over all attempts of their callers.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::callers::{Kind, Outcome, Seen};
use crate::promises::{Breach, Records, Span, breach, is_in_second_domain, plain};
use crate::streams::marked_events;

/// Events of a stream.
pub const EVENTS: u64 = 6;
/// Share of the new streams that begin which the streams that are taken up must reach.
const GOING_ON_SHARE: f64 = 0.5;
/// Streams taken up below which their share tells nothing.
const MIN_TAKEN_UP: usize = 20;
/// New streams beside one that is taken up below which their share tells nothing.
const MIN_NEW: usize = 3;
/// Time from a stream that is taken up within which new ones are compared with it.
const NEAR: Duration = Duration::from_secs(1);

/// An event as its caller saw it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Event {
    /// Its number in the stream.
    pub id: u64,
    /// Version of the server that wrote it.
    pub version: u8,
    /// Number of that server.
    pub server: usize,
}

impl Event {
    /// Returns the events of a stream's body; `None` if it has anything but whole events.
    pub fn all(body: &str) -> Option<Vec<Self>> {
        body.split_inclusive("\n\n").map(Self::read).collect()
    }

    fn read(text: &str) -> Option<Self> {
        let (id, data) = text.strip_prefix("id: ")?.split_once("\ndata: piece ")?;
        let id = id.parse().ok()?;
        let mark = data.strip_prefix(&format!("{id}"))?.trim_end_matches('\n');
        let (version, server) = mark.strip_prefix(" v")?.split_once(" s")?;
        let event = Self {
            id,
            version: version.parse().ok()?,
            server: server.parse().ok()?,
        };
        (text == marked_events(id, id, mark)).then_some(event)
    }
}

/// Returns the events that an attempt brought; none where its answer is no stream of whole events.
fn events(seen: &Seen) -> Vec<Event> {
    Event::all(seen.body()).unwrap_or_default()
}

/// A stream has whole pieces only, each once and in order, and all of them if it ends as complete.
pub fn ordered(seen: &Seen) -> Option<Breach> {
    let Outcome::Answer {
        status: 200,
        whole,
        body,
        ..
    } = &seen.outcome
    else {
        return None;
    };
    // A server that was told to answer slowly, or twice, answers a stream's request with a plain body.
    if !matches!(seen.kind, Kind::Stream | Kind::Whole | Kind::Bad)
        || body.starts_with(&plain(seen))
    {
        return None;
    }
    let found = Event::all(body);
    let events = found.as_deref().unwrap_or_default();
    let last = seen.after() + events.len() as u64;
    let ids = events.iter().map(|e| e.id);
    let in_order = found.is_some() && ids.eq(seen.after() + 1..=last);
    let complete = !*whole || last == EVENTS;
    (!in_order || !complete).then(|| {
        let what = format!("after {}: {body:?}, ended {whole}", seen.after());
        breach("streams in order", &seen.id, what)
    })
}

/// All events of a stream, over all attempts of its caller, have one version and follow each other.
pub fn one_version(records: &Records) -> Vec<Breach> {
    let mut streams: BTreeMap<&str, Vec<(&Seen, Event)>> = BTreeMap::new();
    for seen in &records.seen {
        let first = seen.resumes.as_ref().map_or(&*seen.id, |r| &*r.first);
        let brought = events(seen).into_iter().map(|event| (seen, event));
        streams.entry(first).or_default().extend(brought);
    }
    let mut all = Vec::new();
    for (first, mut events) in streams {
        events.sort_by_key(|(seen, _)| seen.sent);
        let Some((_, begin)) = events.first().copied() else {
            continue;
        };
        let mut numbered = events.iter().zip(begin.id..);
        let wrong = |((_, event), id): &(&(&Seen, Event), u64)| {
            event.version != begin.version || event.id != *id
        };
        if let Some(((seen, event), id)) = numbered.find(wrong) {
            let what = format!("{first} began as {begin:?}, its event {id} is {event:?}");
            all.push(breach("streams of one version", &seen.id, what));
        }
    }
    all
}

/// Returns whether an attempt brought events.
fn goes(seen: &Seen) -> bool {
    !events(seen).is_empty()
}

/// Streams that are taken up while two servers of their version serve go on about as often as new ones begin.
pub fn going_on(records: &Records) -> Option<Breach> {
    let mut taken: BTreeMap<(&str, u64), Vec<&Seen>> = BTreeMap::new();
    for seen in &records.seen {
        if let Some(resumed) = &seen.resumes {
            let key = (&*resumed.first, resumed.after);
            taken.entry(key).or_default().push(seen);
        }
    }
    let by_id: BTreeMap<&str, &Seen> = records.seen.iter().map(|s| (&*s.id, s)).collect();
    let new = records.seen.iter();
    let new = new.filter(|s| s.kind == Kind::Stream && s.resumes.is_none());
    let new: Vec<(Instant, bool)> = new.map(|s| (s.sent, goes(s))).collect();
    let (mut count, mut went_on, mut expected) = (0, 0, 0.0);
    for ((first, _), attempts) in &taken {
        let Some(begin) = by_id.get(first).and_then(|s| events(s).first().copied()) else {
            continue;
        };
        let is_served = |s: &&Seen| serving(records, begin.version, s.sent, s.ended) >= 2;
        let (true, Some(last)) = (attempts.iter().all(is_served), attempts.last()) else {
            continue;
        };
        let is_near = |at: Instant| at < last.sent + NEAR && last.sent < at + NEAR;
        let near = new.iter().filter(|(at, _)| is_near(*at));
        let near: Vec<bool> = near.map(|(_, begun)| *begun).collect();
        if near.len() < MIN_NEW {
            continue;
        }
        count += 1;
        went_on += usize::from(attempts.iter().any(|s| goes(s)));
        expected += near.iter().filter(|begun| **begun).count() as f64 / near.len() as f64;
    }
    let few = (went_on as f64) < GOING_ON_SHARE * expected;
    (few && count >= MIN_TAKEN_UP).then(|| {
        let what = format!("{went_on} of {count}, of as many new ones {expected:.1} begin");
        breach("streams that are taken up go on", "", what)
    })
}

/// Returns how many servers of a version were there for new requests all the time.
fn serving(records: &Records, version: u8, from: Instant, to: Instant) -> usize {
    let covers = |span: &Span| span.0 <= from && span.1 >= to;
    let meets = |span: &Span| span.0 <= to && span.1 >= from;
    let is_sound = |server: usize, span: &Span| {
        let mut crashes = records.server_crashes[server].iter();
        let mut links = records.links.iter();
        let is_evacuated = is_in_second_domain(server) && records.evacuations.iter().any(meets);
        let is_cut = links.any(|(s, link)| *s == server && meets(link));
        let has_crashed = crashes.any(|at| *at >= span.0 && *at <= to);
        [is_evacuated, is_cut, has_crashed] == [false; 3]
    };
    let all = records.serving.iter();
    all.filter(|(server, v, span)| *v == version && covers(span) && is_sound(*server, span))
        .count()
}
