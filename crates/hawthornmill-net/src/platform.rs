//! The platform: configuration watch and instance list, read only.

use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use hawthornmill::blackboard::Blackboard;
use hawthornmill::codes::Code;
use hawthornmill::config::accept::{MAX_VALUE_BYTES, Manifest, Values};
use hawthornmill::membership::placement;
use hawthornmill::wire::message::{Contact, RosterEntry};
use serde::Deserialize;

use crate::fleet::Fleet;
use crate::peers::inbox::install;

/// Time for which a watch may wait at the platform.
const WATCH: Duration = Duration::from_secs(10);
/// The same while the newest revision is a refused one, which may be put right under its number.
const WATCH_REFUSED: Duration = Duration::from_secs(3);
/// Time allowed for any other call.
const CALL: Duration = Duration::from_secs(2);
/// Time between two readings of the instance list.
const LIST: Duration = Duration::from_secs(1);
/// Time without word of a reader after which another instance asks the platform itself.
const FALLBACK: Duration = Duration::from_secs(4);
/// Time between two looks at whether this instance should ask the platform.
const CHECK: Duration = Duration::from_millis(500);
/// Time after which the platform's last answer says nothing about its state.
const ANSWERED: Duration = Duration::from_secs(3);
/// Shortest and longest wait after a call that failed or brought nothing.
const AGAIN: [Duration; 2] = [Duration::from_millis(300), Duration::from_secs(2)];

/// What is known of the platform's answers.
#[derive(Debug, Default)]
pub struct Answers(Mutex<Known>);

#[derive(Debug, Default)]
struct Known {
    own: Option<Instant>,
    mate: Option<Instant>,
    newest: u64,
}

impl Answers {
    fn lock(&self) -> MutexGuard<'_, Known> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The reader that this instance follows was answered by the platform.
    pub fn set_mate_read(&self, now: Instant) {
        self.lock().mate = Some(now);
    }

    /// Tells whether the platform answered this instance in the last seconds.
    pub fn is_answered(&self, now: Instant) -> bool {
        let own = self.lock().own;
        own.is_some_and(|at| now.duration_since(at) < ANSWERED)
    }

    fn is_mate_silent(&self, now: Instant) -> bool {
        let mate = self.lock().mate;
        mate.is_none_or(|at| now.duration_since(at) > FALLBACK)
    }
}

/// An instance in the platform's list.
#[derive(Debug, Clone, Deserialize)]
struct ListedJson {
    #[serde(flatten)]
    contact: Contact,
    #[serde(default)]
    leaving: bool,
}

impl From<ListedJson> for RosterEntry {
    fn from(json: ListedJson) -> Self {
        Self {
            contact: json.contact,
            leaving: json.leaving,
        }
    }
}

/// Starts the tasks that read the platform.
pub fn start(fleet: &Arc<Fleet>) {
    tokio::spawn(watch(Arc::clone(fleet)));
    tokio::spawn(list(Arc::clone(fleet)));
}

async fn get(fleet: &Fleet, path: &str, limit: usize, wait: Duration) -> Option<Vec<u8>> {
    let url = format!("http://{}{path}", fleet.settings.platform);
    let request = fleet.upstream.client().get(url).timeout(wait);
    let mut answer = request.send().await.ok()?;
    if !answer.status().is_success() {
        return None;
    }
    let mut bytes = Vec::new();
    while let Some(chunk) = answer.chunk().await.ok()? {
        bytes.extend_from_slice(&chunk);
        if bytes.len() > limit {
            let code = Code::ValueTooLarge.number();
            log::error!(target: "config", "{path}: code {code}: over {limit} bytes");
            return None;
        }
    }
    Some(bytes)
}

/// How a look at the manifest ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Look {
    /// A newer revision is in force.
    News,
    /// There is nothing newer that could be in force.
    Nothing,
    /// The platform gave no usable answer, or not the whole revision.
    Failed,
}

/// What this instance has to do with the platform now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Role {
    /// It reads for its failure domain.
    Reader,
    /// It knows nothing yet, or no reader passes anything on.
    Alone,
    /// Others read and pass on what they read.
    Follower,
}

fn role(fleet: &Fleet, knows: impl Fn(&Blackboard) -> bool) -> Role {
    let silent = fleet.platform.is_mate_silent(fleet.clock.now());
    fleet.view(|board| {
        let readers = placement::readers(&board.members, board.members.own().domain);
        if readers.contains(&board.me()) {
            Role::Reader
        } else if silent || !knows(board) {
            Role::Alone
        } else {
            Role::Follower
        }
    })
}

/// Waits between half and all of `time`, so that instances don't ask in step.
async fn pause(time: Duration) {
    tokio::time::sleep(time.mul_f64(rand::random_range(0.5..1.0))).await;
}

fn backoff(failures: u32) -> Duration {
    let [first, most] = AGAIN;
    (first * 2_u32.saturating_pow(failures)).min(most)
}

/// Readers hold a watch; others look only while no reader passes anything on.
async fn watch(fleet: Arc<Fleet>) {
    let mut failures = 0;
    loop {
        let role = role(&fleet, |board| board.config.revision > 0);
        if role == Role::Follower {
            pause(CHECK).await;
            continue;
        }
        // Before it has heard its mates, every instance takes itself for a reader.
        let reader = role == Role::Reader && fleet.ready.load(Ordering::Relaxed);
        let (look, quick) = look(&fleet, reader).await;
        failures = if look == Look::Failed {
            failures + 1
        } else {
            0
        };
        match look {
            Look::Failed => pause(backoff(failures)).await,
            // A platform that names an older revision at once must not be asked without a break.
            Look::Nothing if !fleet.ready.load(Ordering::Relaxed) => pause(AGAIN[0]).await,
            Look::Nothing if role == Role::Alone => pause(FALLBACK).await,
            Look::Nothing if quick => pause(AGAIN[1]).await,
            Look::News | Look::Nothing => {}
        }
    }
}

/// Asks for a newer manifest and puts it in force; also tells whether the answer came before its
/// time without being news.
async fn look(fleet: &Arc<Fleet>, reader: bool) -> (Look, bool) {
    let newest = fleet.platform.lock().newest;
    let (have, after) = fleet.view(|board| {
        let have = board.config.revision;
        (have, board.revisions.watch_after(have, newest))
    });
    let wait = match reader {
        false => Duration::ZERO,
        true if after > have => WATCH_REFUSED,
        true => WATCH,
    };
    let began = Instant::now();
    let path = format!("/v1/manifest?after={after}&wait_ms={}", wait.as_millis());
    let Some(bytes) = get(fleet, &path, MAX_VALUE_BYTES, wait + CALL).await else {
        return (Look::Failed, false);
    };
    let Ok(manifest) = serde_json::from_slice::<Manifest>(&bytes) else {
        return (Look::Failed, false);
    };
    fleet.platform.lock().newest = manifest.revision;
    fleet.feed(|board, _| board.startup.platform_answered = true);
    let quick = began.elapsed() < wait / 2;
    let refused = fleet.view(|board| board.revisions.is_rejected(&manifest));
    if manifest.revision <= have || refused {
        return (Look::Nothing, quick);
    }
    let Some(values) = fetch(fleet, &manifest).await else {
        return (Look::Failed, false);
    };
    if install(fleet, &manifest, values) {
        return (Look::News, false);
    }
    // A peer may have been faster, and a verdict is final; anything else is tried again.
    let settled = fleet.view(|board| {
        board.config.revision >= manifest.revision || board.revisions.is_rejected(&manifest)
    });
    let look = if settled { Look::Nothing } else { Look::Failed };
    (look, false)
}

async fn fetch(fleet: &Fleet, manifest: &Manifest) -> Option<Values> {
    let (have, mut values) = fleet.view(|board| (board.manifest.clone(), (*board.values).clone()));
    values.retain(|name, _| manifest.values.iter().any(|v| v.name == *name));
    for value in manifest.values.iter().filter(|v| !have.values.contains(v)) {
        let path = format!("/v1/values/{}?revision={}", value.name, manifest.revision);
        let bytes = get(fleet, &path, MAX_VALUE_BYTES, CALL).await?;
        let text = String::from_utf8(bytes).ok()?;
        values.insert(value.name.clone(), text.into());
    }
    Some(values)
}

/// Readers read the instance list and tell its digest in their heartbeats.
async fn list(fleet: Arc<Fleet>) {
    loop {
        let role = role(&fleet, |board| board.roster.is_known());
        if role == Role::Follower {
            pause(CHECK).await;
            continue;
        }
        read_list(&fleet).await;
        let starting = !fleet.ready.load(Ordering::Relaxed);
        let next = if role == Role::Reader || starting {
            LIST
        } else {
            FALLBACK
        };
        tokio::time::sleep(next.mul_f64(rand::random_range(0.75..1.25))).await;
    }
}

async fn read_list(fleet: &Fleet) {
    let Some(bytes) = get(fleet, "/v1/instances", MAX_VALUE_BYTES, CALL).await else {
        return;
    };
    let Ok(list) = serde_json::from_slice::<Vec<ListedJson>>(&bytes) else {
        return;
    };
    fleet.platform.lock().own = Some(fleet.clock.now());
    fleet.feed(|board, now| {
        if board
            .roster
            .replace(list.into_iter().map(RosterEntry::from).collect())
        {
            board.members.apply_roster(&board.roster, now);
        }
    });
}
