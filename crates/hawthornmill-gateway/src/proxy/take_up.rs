//! Streams that go on: those that a client takes up, and those sent to another server after their first event.

use std::rc::Rc;
use std::time::{Duration, Instant};

use hawthornmill::ident::{ServerId, VersionId};
use hawthornmill::routing::caller_times::MAX_CALLER_TIME;
use hawthornmill::routing::lost_streams::Sharers;
use hawthornmill::routing::past_routes::services_since;
use hawthornmill::routing::regions::AllowedRegions;
use hawthornmill::routing::stream_tries::Undated;
use hawthornmill::routing::stream_versions::{StreamKey, UNDECIDED};
use hawthornmill::routing::version_history::{BeginVersion, VIEW_LAG, VIEW_LAG_LARGE};
use serde_json::{Value, json};

use super::admission::Admitted;
use super::first_ask::{FirstAsk, this_try};
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

/// Why the version of a stream that a client takes up isn't known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VersionUnknown {
    /// The stream began while the version of its server was in doubt.
    UndecidedRecord,
    /// This process has just started, and instances that know the stream may not have been heard yet.
    UnheardPeers,
    /// The store hasn't answered lately, so that changes may be unknown here.
    SilentStore,
    /// How long ago the stream may have begun is not known.
    NoBegin,
    /// Not all versions that served since its caller first asked are known.
    UnknownHistory,
    /// No server of the service is known since then.
    NoServers,
    /// Several versions served, and the client doesn't name the attempt that began the stream.
    Unnamed,
    /// Several versions served, and the stream is bound to some regions.
    RegionBound,
    /// Its key gives one version only since a time at which other instances may not have heard of an earlier change.
    LongViewLag,
    /// Its key gives another version in one state of the service than in another.
    DoubtfulKey,
}

impl VersionUnknown {
    /// Returns the name for logs and counters.
    pub const fn name(self) -> &'static str {
        match self {
            Self::UndecidedRecord => "undecided_record",
            Self::UnheardPeers => "unheard_peers",
            Self::SilentStore => "silent_store",
            Self::NoBegin => "no_begin",
            Self::UnknownHistory => "unknown_history",
            Self::NoServers => "no_servers",
            Self::Unnamed => "unnamed",
            Self::RegionBound => "region_bound",
            Self::LongViewLag => "long_view_lag",
            Self::DoubtfulKey => "doubtful_key",
        }
    }
}

/// Time after which a caller that counts down shows it by coming back.
const SECOND_TRY_DELAY: Duration = Duration::from_millis(300);
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
/// The same, or why it isn't known.
type VersionResult = Result<KnownVersion, VersionUnknown>;

/// Returns the stream that the request takes up.
///
/// Where nobody knows the attempt, the versions that served since its caller first asked may leave no doubt.
///
/// # Errors
/// When to come back, if the version at which it began isn't known.
pub async fn stream_version(
    context: RequestContext<'_>,
    admitted: &Admitted,
    key: Option<StreamKey>,
) -> Result<TakenUp, Duration> {
    let gateway = context.gateway;
    let lookup = match key {
        Some(key) => {
            let request = this_try(admitted);
            Some(gateway.streams.find(gateway, key, request).await)
        }
        None => None,
    };
    let mut asked = FirstAsk::of(context, admitted, lookup);
    let known = match known_version(lookup) {
        Some((UNDECIDED, _)) => Err(VersionUnknown::UndecidedRecord),
        Some(known) => Ok(known),
        // Those that know it may not have been heard yet.
        None if lookup.is_some_and(|l| !l.has_met_others) => Err(VersionUnknown::UnheardPeers),
        None => {
            record_count(gateway, asked.count_begin);
            learn_past(gateway, admitted).await;
            asked = FirstAsk::of(context, admitted, lookup);
            begin_version(gateway, admitted, key, &asked).await
        }
    };
    let stream = known.map(|(version, source)| {
        let is_genuine = match (source, key) {
            (VersionSource::History, _) => {
                has_lost_records(gateway, &asked) && take_lost(context, admitted, key, &asked)
            }
            (_, Some(key)) => gateway.streams.take_preference(key),
            (_, None) => false,
        };
        TakenUp {
            version,
            is_genuine,
        }
    });
    let is_preferred = stream.is_ok_and(|s| s.is_genuine);
    log_take_up(context, admitted, key, lookup, &asked, known, is_preferred);
    stream.map_err(|why| retry_delay(admitted, key, &asked, why))
}

/// Returns when the caller of a stream of unknown version should come back.
///
/// A second request may show that it counts down, and date its stream; else what is known hardly changes.
fn retry_delay(
    admitted: &Admitted,
    key: Option<StreamKey>,
    asked: &FirstAsk,
    why: VersionUnknown,
) -> Duration {
    use VersionUnknown::{DoubtfulKey, LongViewLag, RegionBound, UnknownHistory};
    let objective = admitted.request.objective;
    let is_by_date = matches!(
        why,
        DoubtfulKey | LongViewLag | RegionBound | UnknownHistory
    );
    if is_by_date && key.is_some() && asked.undated == Some(Undated::OneTry) {
        objective.min(SECOND_TRY_DELAY)
    } else {
        objective
    }
}

fn process_start(gateway: &Gateway) -> Option<Instant> {
    let age = Duration::from_millis(gateway.age_ms());
    gateway.now().checked_sub(age)
}

/// Records when the count of a caller began whose stream nobody knows.
fn record_count(gateway: &Gateway, begin: Option<Instant>) {
    if let (Some(begin), Some(start)) = (begin, process_start(gateway)) {
        let mut latest = gateway.streams.latest_count.get();
        latest.record(begin, start);
        gateway.streams.latest_count.set(latest);
    }
}

/// Returns whether a stream may have begun before this process started, which else would have a record of it.
fn has_lost_records(gateway: &Gateway, asked: &FirstAsk) -> bool {
    let start = process_start(gateway);
    asked
        .after
        .zip(start)
        .is_some_and(|(asked, start)| asked < start)
}

/// Returns whether one more stream of which nobody has a record may go on before requests of others.
fn take_lost(
    context: RequestContext<'_>,
    admitted: &Admitted,
    key: Option<StreamKey>,
    asked: &FirstAsk,
) -> bool {
    let (gateway, account) = (context.gateway, admitted.request.account);
    let Some(id) = account else {
        return false;
    };
    let sharers = {
        let scheduler = gateway.scheduler.borrow();
        let versions = scheduler.registry.versions();
        let servers = admitted.targets.iter().flat_map(|s| versions.current(*s));
        Sharers {
            slots: servers.map(|(_, slots)| *slots as usize).sum(),
            accounts: scheduler.active_accounts(),
            instances: 1 + gateway.peers.borrow().live(gateway.now()).count(),
        }
    };
    let sharers = match asked.undated {
        None => sharers.at_one_instance(),
        Some(_) => sharers,
    };
    let key = key.unwrap_or_else(|| StreamKey::of(account, &context.request.attempt_id));
    gateway
        .streams
        .lost
        .borrow_mut()
        .take_preference(id, key, sharers)
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

/// Reads the store's history, if callers may come back that asked before what this process knows.
async fn learn_past(gateway: &Rc<Gateway>, admitted: &Admitted) {
    let now = gateway.now();
    let known_since = {
        let scheduler = gateway.scheduler.borrow();
        scheduler.registry.versions().known_since(&admitted.targets)
    };
    let is_recent = |since| now.duration_since(since) < MAX_CALLER_TIME;
    if known_since.is_none_or(is_recent) {
        let left = admitted.request.deadline.saturating_duration_since(now);
        gateway.streams.history.read(gateway, left).await;
    }
}

/// Returns what all states of the service since the caller first asked tell of a stream's version.
async fn begin_version(
    gateway: &Rc<Gateway>,
    admitted: &Admitted,
    key: Option<StreamKey>,
    asked: &FirstAsk,
) -> VersionResult {
    let lag = view_lag(gateway);
    let left = admitted.request.deadline;
    let left = left.saturating_duration_since(gateway.now());
    let view = &gateway.streams.store_view;
    if !view.is_newer_than(gateway, lag, left).await {
        return Err(VersionUnknown::SilentStore);
    }
    // A stream that is bound to regions may have begun at another version than all servers together give it.
    let is_bound = admitted.request.allowed_regions != AllowedRegions::Any;
    let used_key = key.filter(|_| !is_bound);
    let arrival = admitted.request.arrival;
    let kept_since = arrival.checked_sub(gateway.settings().store_history);
    let find = |lag: Duration| {
        let scheduler = gateway.scheduler.borrow();
        let versions = scheduler.registry.versions();
        let known_since = versions.known_since(&admitted.targets)?;
        let window = asked.window(lag, known_since, kept_since?)?;
        let services = services_since(&admitted.targets, &asked.past_terms, window.asked_after);
        Some(versions.begin_version(&services, used_key, window))
    };
    match find(lag).ok_or(VersionUnknown::NoBegin)? {
        BeginVersion::Certain(version) => Ok((version, VersionSource::History)),
        _ if matches!(find(VIEW_LAG), Some(BeginVersion::Certain(_))) => {
            Err(VersionUnknown::LongViewLag)
        }
        BeginVersion::Unknown => Err(VersionUnknown::UnknownHistory),
        BeginVersion::Doubtful if !has_seen_servers(gateway, admitted) => {
            Err(VersionUnknown::NoServers)
        }
        BeginVersion::Doubtful if is_bound => Err(VersionUnknown::RegionBound),
        BeginVersion::Doubtful if key.is_none() => Err(VersionUnknown::Unnamed),
        BeginVersion::Doubtful => Err(VersionUnknown::DoubtfulKey),
    }
}

/// Returns whether a server of the route's services is or was registered since the process started.
fn has_seen_servers(gateway: &Gateway, admitted: &Admitted) -> bool {
    let (scheduler, now) = (gateway.scheduler.borrow(), gateway.now());
    let seen = |service| !scheduler.registry.seen_versions(service, now).is_empty();
    admitted.targets.iter().copied().any(seen)
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
    asked: &FirstAsk,
    known: VersionResult,
    is_preferred: bool,
) {
    let gateway = context.gateway;
    let source = known.map_or(NO_SOURCE, |(_, source)| source.name());
    gateway.metrics.stream_taken_up(source);
    let why = known.err().map(VersionUnknown::name);
    if let Some(reason) = why {
        gateway.metrics.take_up_refused(reason);
    }
    let (service, now) = (admitted.request.service, gateway.now());
    let seen = gateway
        .scheduler
        .borrow()
        .registry
        .seen_versions(service, now);
    let version = known.ok().map(|(version, _)| version);
    let name = seen.iter().find(|s| Some(s.version) == version);
    let versions = seen
        .iter()
        .map(|s| json!({"version": s.name, "last_seen_ms": s.last_seen.as_millis() as u64}));
    let window = asked
        .after
        .map(|at| now.duration_since(at) + view_lag(gateway));
    let has_record = known_version(lookup).is_some();
    let dated_by = (!has_record).then(|| asked.dated_by());
    if let Some(dated_by) = dated_by {
        gateway.metrics.stream_dated(dated_by);
    }
    let undated = asked.undated.filter(|_| !has_record).map(Undated::name);
    let fields = json!({
        "stream": key.map(|key| format!("{:016x}", key.0)), "age_ms": gateway.age_ms(), "source": source,
        "why": why, "version": name.map(|s| &s.name), "asked": lookup.map_or(0, |l| l.asked),
        "answered": lookup.map_or(0, |l| l.answered), "versions": versions.collect::<Value>(),
        "window_ms": window.map(|w| w.as_millis() as u64), "asked_by_ms": now.saturating_duration_since(asked.by).as_millis() as u64,
        "dated_by": dated_by, "undated": undated,
        "preferred": is_preferred,
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
