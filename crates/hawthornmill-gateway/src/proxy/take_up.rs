//! Streams that go on: those that a client takes up, and those sent to another server after their first event.

use std::rc::Rc;
use std::time::{Duration, Instant};

use hawthornmill::ident::{ServerId, VersionId};
use hawthornmill::routing::regions::AllowedRegions;
use hawthornmill::routing::stream_versions::{StreamKey, UNDECIDED};
use hawthornmill::routing::version_history::{BeginVersion, VIEW_LAG, VIEW_LAG_LARGE};
use serde_json::{Value, json};

use super::admission::Admitted;
use super::progress::RequestProgress;
use super::retry::RetryDecision;
use super::{RequestContext, RequestOutcome};
use crate::event_log;
use crate::gateway::Gateway;
use crate::stream_versions::StreamLookup;

/// Where the version of a stream that a client takes up is known from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VersionSource {
    /// A record of this instance.
    Record,
    /// Another instance, which was asked.
    Peer,
    /// The versions that the service has had since the stream's caller first asked.
    History,
}

impl VersionSource {
    /// Returns the name for logs and counters.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Record => "record",
            Self::Peer => "peer",
            Self::History => "history",
        }
    }
}

/// Time after the start in which a process hears of the other instances.
const HEARING_TIME: Duration = Duration::from_secs(2);
/// Source of the version of a stream of which nobody knows it, for logs and counters.
const NO_SOURCE: &str = "none";

/// A stream of known version that a client takes up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TakenUp {
    /// The version at which it began.
    pub version: VersionId,
    /// It has begun, as far as can be known, and hasn't gone on often; a client may name an attempt that began none.
    pub is_genuine: bool,
}

/// A version and where it is known from.
type KnownVersion = (VersionId, VersionSource);

/// What the versions that served tell of the one at which a stream began.
#[derive(Debug, Clone, Copy)]
struct Inference {
    /// The stream began after it.
    begun_after: Instant,
    found: BeginVersion,
}

impl Inference {
    const fn known(self) -> Option<KnownVersion> {
        match self.found {
            BeginVersion::Certain(version) => Some((version, VersionSource::History)),
            BeginVersion::Doubtful | BeginVersion::Unknown => None,
        }
    }

    /// Returns the name of what was found, for logs.
    const fn name(self) -> &'static str {
        match self.found {
            BeginVersion::Certain(_) => "certain",
            BeginVersion::Doubtful => "doubtful",
            BeginVersion::Unknown => "unknown",
        }
    }
}

/// Returns the stream that the request takes up; `None` if the version at which it began isn't known.
///
/// Where nobody knows the attempt, the versions that served since its caller first asked may leave no doubt.
pub async fn stream_version(
    context: RequestContext<'_>,
    admitted: &Admitted,
    key: Option<StreamKey>,
) -> Option<TakenUp> {
    let gateway = context.gateway;
    let lookup = match key {
        Some(key) => Some(gateway.streams.find(gateway, key).await),
        None => None,
    };
    let recorded = known_version(lookup);
    let inference = if recorded.is_none() {
        begin_version(gateway, admitted, key).await
    } else {
        None
    };
    let known = recorded.or_else(|| inference?.known());
    let known = known.filter(|(version, _)| *version != UNDECIDED);
    log_take_up(context, admitted, key, lookup, known, inference);
    let (version, source) = known?;
    let is_genuine = match (source, key) {
        (VersionSource::History, _) => has_lost_records(gateway, admitted),
        (_, Some(key)) => gateway.streams.take_preference(key),
        (_, None) => false,
    };
    Some(TakenUp {
        version,
        is_genuine,
    })
}

/// Returns whether streams may have begun of which this process would have a record if it had not started since.
fn has_lost_records(gateway: &Gateway, admitted: &Admitted) -> bool {
    let start = gateway
        .now()
        .checked_sub(Duration::from_millis(gateway.age_ms()));
    admitted
        .first_asked
        .zip(start)
        .is_some_and(|(asked, start)| asked < start)
}

fn known_version(lookup: Option<StreamLookup>) -> Option<KnownVersion> {
    let lookup = lookup?;
    let source = if lookup.asked == 0 {
        VersionSource::Record
    } else {
        VersionSource::Peer
    };
    Some((lookup.version?, source))
}

/// Returns what all states of the service since the caller first asked tell of a stream's version.
async fn begin_version(
    gateway: &Rc<Gateway>,
    admitted: &Admitted,
    key: Option<StreamKey>,
) -> Option<Inference> {
    let begun_after = admitted.first_asked?.checked_sub(view_lag(gateway))?;
    // A stream that is bound to regions may have begun at another version than all servers together give it.
    let key = key.filter(|_| admitted.request.allowed_regions == AllowedRegions::Any);
    let find = || {
        let scheduler = gateway.scheduler.borrow();
        let versions = scheduler.registry.versions();
        versions.begin_version(&admitted.targets, key, begun_after)
    };
    let mut found = find();
    if found == BeginVersion::Unknown {
        let left = admitted.request.deadline;
        let left = left.saturating_duration_since(gateway.now());
        gateway.streams.history.read(gateway, left).await;
        found = find();
    }
    Some(Inference { begun_after, found })
}

/// Returns the time within which every instance hears of a change.
///
/// A process that has just started hasn't heard of most instances yet.
fn view_lag(gateway: &Gateway) -> Duration {
    let has_heard = gateway.age_ms() >= HEARING_TIME.as_millis() as u64;
    if has_heard && !gateway.peers.borrow().is_large_fleet() {
        VIEW_LAG
    } else {
        VIEW_LAG_LARGE
    }
}

fn log_take_up(
    context: RequestContext<'_>,
    admitted: &Admitted,
    key: Option<StreamKey>,
    lookup: Option<StreamLookup>,
    known: Option<KnownVersion>,
    inference: Option<Inference>,
) {
    let gateway = context.gateway;
    let source = known.map_or(NO_SOURCE, |(_, source)| source.name());
    gateway.metrics.stream_taken_up(source);
    let (service, now) = (admitted.request.service, gateway.now());
    let seen = gateway
        .scheduler
        .borrow()
        .registry
        .seen_versions(service, now);
    let name = known.and_then(|(version, _)| seen.iter().find(|s| s.version == version));
    let versions = seen
        .iter()
        .map(|s| json!({"version": s.name, "last_seen_ms": s.last_seen.as_millis() as u64}));
    let fields = json!({
        "stream": key.map(|key| format!("{:016x}", key.0)), "age_ms": gateway.age_ms(), "source": source,
        "version": name.map(|s| &s.name), "asked": lookup.map_or(0, |l| l.asked),
        "answered": lookup.map_or(0, |l| l.answered), "versions": versions.collect::<Value>(),
        "found": inference.map(Inference::name),
        "window_ms": inference.map(|i| now.duration_since(i.begun_after).as_millis() as u64),
    });
    event_log::request_problem("stream_taken_up", &context.request.attempt_id, fields);
}

/// Returns when the current run of a server started, and the age of its registration here, for logs.
pub fn run_fields(gateway: &Gateway, server: ServerId) -> [Value; 2] {
    let scheduler = gateway.scheduler.borrow();
    let Some(entry) = scheduler.registry.get(server) else {
        return [Value::Null, Value::Null];
    };
    let age = gateway.now().duration_since(entry.arrival);
    [
        json!(entry.registration.start_ms),
        json!(age.as_millis() as u64),
    ]
}

/// A send of a stream after its first event; counted on drop, also when its time is over.
#[derive(Debug)]
pub struct Resumption<'a> {
    /// `None` for a send before the first event.
    gateway: Option<&'a Gateway>,
    outcome: &'static str,
}

impl<'a> Resumption<'a> {
    /// Logs the send, if the stream has begun.
    pub fn start(
        context: RequestContext<'a>,
        progress: &RequestProgress,
        server: ServerId,
    ) -> Self {
        let gateway: &Gateway = context.gateway;
        let is_resumption = progress.version.is_some();
        if is_resumption {
            let [born, entry_age] = run_fields(gateway, server);
            let fields = json!({
                "last_event": progress.last_event_id, "version": gateway.server_version_name(server),
                "server": gateway.server_name(server), "born_ms": born, "entry_age_ms": entry_age,
            });
            event_log::request_problem("stream_resumed", &context.request.attempt_id, fields);
        }
        Self {
            gateway: is_resumption.then_some(gateway),
            outcome: "late",
        }
    }

    /// Records how the send ended.
    pub const fn record_end(&mut self, end: Result<RequestOutcome, RetryDecision>) {
        self.outcome = match end {
            Ok(RequestOutcome::Complete) => "complete",
            Ok(RequestOutcome::ClientClosed) => "caller_left",
            Ok(RequestOutcome::Truncated) | Err(_) => "broken_off",
        };
    }
}

impl Drop for Resumption<'_> {
    fn drop(&mut self) {
        if let Some(gateway) = self.gateway {
            gateway.metrics.stream_resumed(self.outcome);
        }
    }
}
