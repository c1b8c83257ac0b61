//! The platform: a configuration service that is read and watched, and a lagging instance list.
//!
//! `GET /v1/manifest?after=R&wait_ms=T` answers with the manifest as soon as its revision is above
//! `R`, or unchanged after `T`; `GET /v1/values/NAME` and `GET /v1/instances` answer at once. Every
//! call is counted. Under `/admin/`: `publish` puts up a new revision, `mode` makes the platform
//! answer nothing or an older revision, `instances` sets the list, `calls` tells the counts.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use hawthornmill::config::accept::{Manifest, Values, manifest};
use poem::http::StatusCode;
use poem::web::{Data, Json, Path, Query};
use poem::{Endpoint, EndpointExt, Response, Route, get, handler, post};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

/// An instance as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listed {
    /// Name in its settings.
    pub name: Box<str>,
    /// Failure domain by name.
    pub domain: Box<str>,
    /// Region by name.
    pub region: Box<str>,
    /// `IP:port` for callers.
    pub http: Box<str>,
    /// `IP:port` for peers.
    pub peer: Box<str>,
    /// It is about to go.
    #[serde(default)]
    pub leaving: bool,
}

/// How the platform behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// It answers with the newest revision.
    #[default]
    Up,
    /// It answers every call with 503.
    Down,
    /// It answers with the first revision that it ever had.
    Older,
}

#[derive(Debug, Default)]
struct State {
    mode: Mode,
    revisions: BTreeMap<u64, (Manifest, Values)>,
    list: Vec<(Instant, Vec<Listed>)>,
    calls: BTreeMap<Box<str>, u64>,
}

impl State {
    fn served(&self) -> Option<&(Manifest, Values)> {
        let pair = match self.mode {
            Mode::Older => self.revisions.first_key_value(),
            Mode::Up | Mode::Down => self.revisions.last_key_value(),
        };
        pair.map(|(_, v)| v)
    }
}

/// The platform.
#[derive(Debug)]
pub struct Platform {
    state: Mutex<State>,
    lag: Duration,
    changed: watch::Sender<u64>,
}

impl Platform {
    /// A platform whose instance list is `lag` old.
    pub fn new(lag: Duration) -> Arc<Self> {
        Arc::new(Self {
            state: Mutex::new(State::default()),
            lag,
            changed: watch::channel(0).0,
        })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Puts up `values` as the next revision and returns its number.
    pub fn publish(&self, values: Values) -> u64 {
        let mut state = self.lock();
        let revision = state.revisions.last_key_value().map_or(0, |(r, _)| *r) + 1;
        let manifest = manifest(revision, &values);
        state.revisions.insert(revision, (manifest, values));
        drop(state);
        self.changed.send_replace(revision);
        revision
    }

    /// Puts up a manifest and values as they are, right or wrong.
    pub fn publish_raw(&self, manifest: Manifest, values: Values) {
        let revision = manifest.revision;
        self.lock().revisions.insert(revision, (manifest, values));
        self.changed.send_replace(revision);
    }

    /// Sets how the platform behaves.
    pub fn set_mode(&self, mode: Mode) {
        self.lock().mode = mode;
        self.changed.send_modify(|_| {});
    }

    /// Sets the instance list; it shows after the lag.
    pub fn set_instances(&self, list: Vec<Listed>) {
        self.lock().list.push((Instant::now(), list));
    }

    /// Calls by kind so far.
    pub fn calls(&self) -> BTreeMap<Box<str>, u64> {
        self.lock().calls.clone()
    }

    fn count(&self, kind: &str) -> Mode {
        let mut state = self.lock();
        *state.calls.entry(kind.into()).or_default() += 1;
        state.mode
    }

    /// The platform's HTTP calls.
    pub fn endpoint(self: &Arc<Self>) -> impl Endpoint + use<> {
        Route::new()
            .at("/v1/manifest", get(show_manifest))
            .at("/v1/values/:name", get(show_value))
            .at("/v1/instances", get(show_instances))
            .at("/admin/publish", post(do_publish))
            .at("/admin/mode", post(do_mode))
            .at("/admin/instances", post(do_instances))
            .at("/admin/calls", get(show_calls))
            .data(Arc::clone(self))
    }
}

fn down() -> Response {
    Response::builder()
        .status(StatusCode::SERVICE_UNAVAILABLE)
        .finish()
}

fn json<T: Serialize>(value: &T) -> Response {
    Response::builder()
        .content_type("application/json")
        .body(serde_json::to_string(value).unwrap_or_default())
}

#[derive(Debug, Deserialize)]
struct Watch {
    #[serde(default)]
    after: u64,
    #[serde(default)]
    wait_ms: u64,
}

#[handler]
async fn show_manifest(Query(watch): Query<Watch>, Data(p): Data<&Arc<Platform>>) -> Response {
    if p.count("manifest") == Mode::Down {
        return down();
    }
    let mut changed = p.changed.subscribe();
    let until = tokio::time::Instant::now() + Duration::from_millis(watch.wait_ms);
    loop {
        changed.mark_unchanged();
        let found = p.lock().served().map(|(m, _)| m.clone());
        let newer = found.as_ref().is_some_and(|m| m.revision > watch.after);
        let waited = tokio::time::Instant::now() >= until;
        match found {
            Some(manifest) if newer || waited => return json(&manifest),
            None if waited => return json(&Manifest::default()),
            _ => {}
        }
        if p.lock().mode == Mode::Down {
            return down();
        }
        // Both a change and the end of the wait lead to another look.
        let _woken = tokio::time::timeout_at(until, changed.changed()).await;
    }
}

#[derive(Debug, Deserialize)]
struct At {
    revision: u64,
}

#[handler]
fn show_value(
    Path(name): Path<String>,
    Query(at): Query<At>,
    Data(p): Data<&Arc<Platform>>,
) -> Response {
    if p.count("value") == Mode::Down {
        return down();
    }
    let state = p.lock();
    let text = state
        .revisions
        .get(&at.revision)
        .and_then(|(_, values)| values.get(&*name));
    match text {
        Some(text) => Response::builder().body(text.to_string()),
        None => Response::builder().status(StatusCode::NOT_FOUND).finish(),
    }
}

#[handler]
fn show_instances(Data(p): Data<&Arc<Platform>>) -> Response {
    if p.count("instances") == Mode::Down {
        return down();
    }
    let state = p.lock();
    let now = Instant::now();
    let shown = state
        .list
        .iter()
        .rev()
        .find(|(at, _)| now.duration_since(*at) >= p.lag)
        .map(|(_, list)| list.clone());
    json(&shown.unwrap_or_default())
}

#[handler]
fn do_publish(Json(values): Json<Values>, Data(p): Data<&Arc<Platform>>) -> Response {
    json(&serde_json::json!({"revision": p.publish(values)}))
}

#[handler]
fn do_mode(Json(mode): Json<Mode>, Data(p): Data<&Arc<Platform>>) -> Response {
    p.set_mode(mode);
    json(&mode)
}

#[handler]
fn do_instances(Json(list): Json<Vec<Listed>>, Data(p): Data<&Arc<Platform>>) -> Response {
    p.set_instances(list);
    json(&true)
}

#[handler]
fn show_calls(Data(p): Data<&Arc<Platform>>) -> Response {
    json(&p.calls())
}
