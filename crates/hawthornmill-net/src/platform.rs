//! Client of the platform: watches the configuration and polls the instance list.

use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use hawthornmill::blackboard::Blackboard;
use hawthornmill::codes::Code;
use hawthornmill::config::accept::{MAX_VALUE_BYTES, Manifest, Values};
use hawthornmill::membership::placement;
use hawthornmill::wire::message::{Contact, RosterEntry};
use serde::Deserialize;
use serde::de::IgnoredAny;

use crate::fleet::Fleet;
use crate::peers::handler::install;
use crate::upstream::{BodyError, read_body};

/// How long the platform may hold a watch request open.
const WATCH_WAIT: Duration = Duration::from_secs(10);
/// The same while the newest revision was rejected: its values may be corrected under the same
/// number.
const WATCH_REJECTED_WAIT: Duration = Duration::from_secs(3);
/// Timeout of any other request; a watch gets it on top of its wait.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between two polls of the instance list.
const LIST_INTERVAL: Duration = Duration::from_secs(1);
/// Silence of the reader after which an instance that isn't a reader polls the platform itself, and
/// the time between two such polls.
const FALLBACK_INTERVAL: Duration = Duration::from_secs(4);
/// Time between two checks of whether this instance should poll the platform.
const ROLE_INTERVAL: Duration = Duration::from_millis(500);
/// Time for which a response shows that the platform is reachable.
const REACHABLE_TTL: Duration = Duration::from_secs(3);
/// Shortest and longest delay after a request that failed or found nothing new.
const RETRY_DELAYS: [Duration; 2] = [Duration::from_millis(300), Duration::from_secs(2)];

/// When the platform was last reached, and the newest revision that it named.
#[derive(Debug, Default)]
pub struct PlatformStatus(Mutex<LastContact>);

#[derive(Debug, Default)]
struct LastContact {
    own: Option<Instant>,
    reader: Option<Instant>,
    newest_revision: u64,
    /// Items of the last instance list that named no instance.
    odd_instances: usize,
}

impl PlatformStatus {
    fn lock(&self) -> MutexGuard<'_, LastContact> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that the reader of this failure domain reached the platform.
    pub fn record_reader_contact(&self, now: Instant) {
        self.lock().reader = Some(now);
    }

    /// Returns whether this instance reached the platform in the last few seconds.
    pub fn is_reachable(&self, now: Instant) -> bool {
        let own = self.lock().own;
        own.is_some_and(|at| now.duration_since(at) < REACHABLE_TTL)
    }

    fn is_reader_silent(&self, now: Instant) -> bool {
        let reader = self.lock().reader;
        reader.is_none_or(|at| now.duration_since(at) > FALLBACK_INTERVAL)
    }
}

/// An entry of the platform's instance list.
#[derive(Debug, Clone, Deserialize)]
struct ListedJson {
    #[serde(flatten)]
    contact: Contact,
    #[serde(default)]
    leaving: bool,
}

/// An item of the list.
#[derive(Debug, Clone, Deserialize)]
#[serde(untagged)]
enum ListItem {
    Instance(ListedJson),
    Other(IgnoredAny),
}

/// Parses the platform's instance list; returns its entries, and the number of items that name no instance.
///
/// Returns `None` if it is no list.
pub fn parse_instances(bytes: &[u8]) -> Option<(Vec<RosterEntry>, usize)> {
    let items: Vec<ListItem> = serde_json::from_slice(bytes).ok()?;
    let count = items.len();
    let entries = items.into_iter().filter_map(|item| match item {
        ListItem::Instance(json) => Some(RosterEntry::from(json)),
        ListItem::Other(_) => None,
    });
    let entries: Vec<RosterEntry> = entries.collect();
    let skipped = count - entries.len();
    Some((entries, skipped))
}

impl From<ListedJson> for RosterEntry {
    fn from(json: ListedJson) -> Self {
        Self {
            contact: json.contact,
            leaving: json.leaving,
        }
    }
}

/// Starts the tasks that watch the configuration and poll the instance list.
pub fn start(fleet: &Arc<Fleet>) {
    tokio::spawn(watch_config(Arc::clone(fleet)));
    tokio::spawn(poll_list(Arc::clone(fleet)));
}

async fn get(fleet: &Fleet, path: &str, max_bytes: usize, timeout: Duration) -> Option<Vec<u8>> {
    let url = format!("http://{}{path}", fleet.settings.platform);
    let request = fleet.upstream.unpooled_client().get(url).timeout(timeout);
    let mut response = request.send().await.ok()?;
    if !response.status().is_success() {
        return None;
    }
    match read_body(&mut response, max_bytes).await {
        Ok(bytes) => Some(bytes),
        Err(BodyError::TooLarge) => {
            let code = Code::ValueTooLarge.number();
            log::error!(target: "config", "{path}: code {code}: over {max_bytes} bytes");
            None
        }
        Err(BodyError::Broken) => None,
    }
}

/// Outcome of one request for the manifest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Poll {
    /// A newer revision was installed.
    Installed,
    /// There is no newer revision that this instance could install.
    Unchanged,
    /// The platform gave no valid response, or an incomplete revision.
    Failed,
}

/// Whether this instance polls the platform, and why.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Role {
    /// It polls on behalf of its failure domain.
    Reader,
    /// It polls for itself, since it has no data yet or hears from no reader.
    Fallback,
    /// It doesn't poll; readers send it what they receive.
    Follower,
}

fn role(fleet: &Fleet, has_data: impl Fn(&Blackboard) -> bool) -> Role {
    let silent = fleet.platform.is_reader_silent(fleet.clock.now());
    fleet.view(|board| {
        let readers = placement::readers(&board.members, board.members.own().domain);
        if readers.contains(&board.me()) {
            Role::Reader
        } else if silent || !has_data(board) {
            Role::Fallback
        } else {
            Role::Follower
        }
    })
}

/// Sleeps for 50 to 100 % of `delay`, so that instances don't send requests at the same time.
async fn pause(delay: Duration) {
    tokio::time::sleep(delay.mul_f64(rand::random_range(0.5..1.0))).await;
}

fn backoff(failures: u32) -> Duration {
    let [shortest, longest] = RETRY_DELAYS;
    (shortest * 2_u32.saturating_pow(failures)).min(longest)
}

/// Keeps a watch open while this instance is a reader; polls without waiting in the fallback role.
async fn watch_config(fleet: Arc<Fleet>) {
    let mut failures = 0;
    loop {
        let role = role(&fleet, |board| board.config.revision > 0);
        if role == Role::Follower {
            pause(ROLE_INTERVAL).await;
            continue;
        }
        // Until it hears from the others in its domain, every instance considers itself a reader.
        let reader = role == Role::Reader && fleet.ready.load(Ordering::Relaxed);
        let (outcome, early) = poll_manifest(&fleet, reader).await;
        failures = if outcome == Poll::Failed {
            failures + 1
        } else {
            0
        };
        match outcome {
            Poll::Failed => pause(backoff(failures)).await,
            // The platform may answer a watch at once with an older revision; don't ask again
            // without a delay.
            Poll::Unchanged if !fleet.ready.load(Ordering::Relaxed) => pause(RETRY_DELAYS[0]).await,
            Poll::Unchanged if role == Role::Fallback => pause(FALLBACK_INTERVAL).await,
            Poll::Unchanged if early => pause(RETRY_DELAYS[1]).await,
            Poll::Installed | Poll::Unchanged => {}
        }
    }
}

/// Requests a newer manifest and installs it.
///
/// The second result is true if the platform reported nothing new before half of the wait was over.
async fn poll_manifest(fleet: &Arc<Fleet>, reader: bool) -> (Poll, bool) {
    let newest = fleet.platform.lock().newest_revision;
    let (have, after) = fleet.view(|board| {
        let have = board.config.revision;
        (have, board.revisions.watch_after(have, newest))
    });
    let wait = match reader {
        false => Duration::ZERO,
        true if after > have => WATCH_REJECTED_WAIT,
        true => WATCH_WAIT,
    };
    let started = Instant::now();
    let path = format!("/v1/manifest?after={after}&wait_ms={}", wait.as_millis());
    let Some(bytes) = get(fleet, &path, MAX_VALUE_BYTES, wait + REQUEST_TIMEOUT).await else {
        return (Poll::Failed, false);
    };
    let Ok(manifest) = serde_json::from_slice::<Manifest>(&bytes) else {
        let code = Code::BadValue.number();
        log::error!(target: "config", "/v1/manifest: code {code}: not a manifest");
        return (Poll::Failed, false);
    };
    fleet.platform.lock().newest_revision = manifest.revision;
    fleet.apply(|board, _| board.startup.platform_answered = true);
    let early = started.elapsed() < wait / 2;
    let rejected = fleet.view(|board| board.revisions.is_rejected(&manifest));
    if manifest.revision <= have || rejected {
        return (Poll::Unchanged, early);
    }
    let Some(values) = fetch_values(fleet, &manifest).await else {
        return (Poll::Failed, false);
    };
    if install(fleet, &manifest, values) {
        return (Poll::Installed, false);
    }
    // A peer may have sent this revision or a newer one first, and a rejection is final. Anything
    // else is retried.
    let decided = fleet.view(|board| {
        board.config.revision >= manifest.revision || board.revisions.is_rejected(&manifest)
    });
    let outcome = if decided {
        Poll::Unchanged
    } else {
        Poll::Failed
    };
    (outcome, false)
}

async fn fetch_values(fleet: &Fleet, manifest: &Manifest) -> Option<Values> {
    let (have, mut values) = fleet.view(|board| (board.manifest.clone(), (*board.values).clone()));
    values.retain(|name, _| manifest.values.iter().any(|v| v.name == *name));
    for value in manifest.values.iter().filter(|v| !have.values.contains(v)) {
        let path = format!("/v1/values/{}?revision={}", value.name, manifest.revision);
        let bytes = get(fleet, &path, MAX_VALUE_BYTES, REQUEST_TIMEOUT).await?;
        let text = String::from_utf8(bytes).ok()?;
        values.insert(value.name.clone(), text.into());
    }
    Some(values)
}

/// Polls the instance list while this instance is a reader or in the fallback role.
///
/// Heartbeats carry the digest of the list, by which followers know when to request it.
async fn poll_list(fleet: Arc<Fleet>) {
    loop {
        let role = role(&fleet, |board| board.roster.is_known());
        if role == Role::Follower {
            pause(ROLE_INTERVAL).await;
            continue;
        }
        fetch_list(&fleet).await;
        let starting = !fleet.ready.load(Ordering::Relaxed);
        let next = if role == Role::Reader || starting {
            LIST_INTERVAL
        } else {
            FALLBACK_INTERVAL
        };
        tokio::time::sleep(next.mul_f64(rand::random_range(0.75..1.25))).await;
    }
}

async fn fetch_list(fleet: &Fleet) {
    let Some(bytes) = get(fleet, "/v1/instances", MAX_VALUE_BYTES, REQUEST_TIMEOUT).await else {
        return;
    };
    let Some((list, skipped)) = parse_instances(&bytes) else {
        let code = Code::BadValue.number();
        log::error!(target: "config", "/v1/instances: code {code}: not a list");
        return;
    };
    let before = {
        let mut status = fleet.platform.lock();
        status.own = Some(fleet.clock.now());
        std::mem::replace(&mut status.odd_instances, skipped)
    };
    if skipped > before {
        let code = Code::BadValue.number();
        log::error!(target: "config", "/v1/instances: code {code}: {skipped} items name no instance");
    }
    fleet.apply(|board, now| {
        if board.roster.replace(list) {
            board.members.apply_roster(&board.roster, now);
        }
    });
}
