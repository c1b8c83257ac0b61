//! A stand-in for the platform's store.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::BytesMut;
use serde_json::{Value, json};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use super::scripted_server::{read_request, write_response};

/// How the store answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    /// As it should.
    Sound,
    /// With 503.
    Refusing,
    /// Not at all.
    Silent,
}

#[derive(Debug, Default)]
struct State {
    items: BTreeMap<String, (Vec<u8>, u64)>,
    history: Vec<Value>,
    kept_from: u64,
    revision: u64,
    refused: Vec<std::net::IpAddr>,
    calls: u64,
}

/// The store, served until it is dropped.
#[derive(Debug, Clone)]
pub struct Store {
    /// Where it listens.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    mode: Arc<watch::Sender<Mode>>,
    changed: Arc<watch::Sender<u64>>,
}

impl Store {
    /// Starts an empty store at `address`.
    pub async fn start(address: SocketAddr) -> Self {
        let listener = TcpListener::bind(address)
            .await
            .expect("the store's address is free");
        let store = Self {
            address,
            state: Arc::default(),
            mode: Arc::new(watch::Sender::new(Mode::Sound)),
            changed: Arc::new(watch::Sender::new(0)),
        };
        let serving = store.clone();
        tokio::spawn(async move {
            while let Ok((link, from)) = listener.accept().await {
                tokio::spawn(serving.clone().serve(link, from));
            }
        });
        store
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }

    /// Writes `key`, as an operator or a server does.
    pub fn put(&self, key: &str, value: &[u8]) -> u64 {
        let mut state = self.lock();
        state.revision += 1;
        let revision = state.revision;
        state.items.insert(key.into(), (value.to_vec(), revision));
        state.history.push(entry(key, value, revision));
        drop(state);
        self.changed.send_replace(revision);
        revision
    }

    /// Removes `key`.
    pub fn remove(&self, key: &str) -> u64 {
        let mut state = self.lock();
        state.revision += 1;
        let revision = state.revision;
        state.items.remove(key);
        state
            .history
            .push(json!({"key": key, "revision": revision, "deleted": true}));
        drop(state);
        self.changed.send_replace(revision);
        revision
    }

    /// Forgets all changes up to now; `quietly` removes `key` besides without telling any wait.
    pub fn lose_history(&self, key: Option<&str>) {
        let mut state = self.lock();
        if let Some(key) = key {
            state.revision += 1;
            state.items.remove(key);
        }
        state.history.clear();
        state.kept_from = state.revision;
        drop(state);
        let revision = self.lock().revision;
        self.changed.send_replace(revision);
    }

    /// Changes how all calls are answered.
    pub fn set_mode(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }

    /// Turns the machine at `ip` away from now on.
    pub fn refuse(&self, ip: std::net::IpAddr) {
        self.lock().refused.push(ip);
        let revision = self.lock().revision;
        self.changed.send_replace(revision);
    }

    /// Calls so far.
    pub fn calls(&self) -> u64 {
        self.lock().calls
    }

    async fn serve(self, mut link: TcpStream, from: SocketAddr) {
        let mut mode = self.mode.subscribe();
        let mut buffer = BytesMut::new();
        while let Some((head, _body)) = read_request(&mut link, &mut buffer).await {
            self.lock().calls += 1;
            if *mode.borrow_and_update() == Mode::Silent {
                std::future::pending::<()>().await;
            }
            let answer = self.answer(&head.target, from);
            let silenced = async {
                let _silent = mode.wait_for(|m| *m == Mode::Silent).await.is_ok();
            };
            let (status, body) = tokio::select! {
                answer = answer => answer,
                () = silenced => std::future::pending().await,
            };
            let refused =
                *mode.borrow() == Mode::Refusing || self.lock().refused.contains(&from.ip());
            let (status, body) = if refused {
                (503, json!({}))
            } else {
                (status, body)
            };
            let body = body.to_string();
            if write_response(&mut link, status, &[], body.as_bytes())
                .await
                .is_err()
            {
                return;
            }
        }
    }

    async fn answer(&self, target: &str, from: SocketAddr) -> (u16, Value) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let find = |name: &str| {
            let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
            pairs
                .find(|(k, _)| *k == name)
                .map(|(_, v)| v.to_owned())
                .unwrap_or_default()
        };
        let (prefix, after) = (find("pathPrefix"), find("afterRevision"));
        match path {
            "/v1/kv-range" => (200, self.range(&prefix, &after)),
            "/v1/kv-watch" => {
                let wait = Duration::from_millis(find("waitMs").parse().unwrap_or(0));
                self.watch(&prefix, after.parse().unwrap_or(0), wait, from)
                    .await
            }
            _ => (404, json!({})),
        }
    }

    /// A page of two items, so that lists take several calls.
    fn range(&self, prefix: &str, after: &str) -> Value {
        let state = self.lock();
        let all = state
            .items
            .iter()
            .filter(|(k, _)| k.starts_with(prefix) && k.as_str() > after);
        let mut entries: Vec<Value> = all.map(|(k, (v, r))| entry(k, v, *r)).collect();
        let more = entries.len() > 2;
        entries.truncate(2);
        json!({"entries": entries, "hasMore": more, "asOf": state.revision})
    }

    async fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: Duration,
        from: SocketAddr,
    ) -> (u16, Value) {
        let mut changed = self.changed.subscribe();
        let end = tokio::time::Instant::now() + wait;
        loop {
            changed.borrow_and_update();
            if let Some(answer) = self.news(prefix, after, from) {
                return answer;
            }
            if tokio::time::timeout_at(end, changed.changed())
                .await
                .is_err()
            {
                let revision = self.lock().revision;
                return (200, json!({"events": [], "asOf": revision}));
            }
        }
    }

    fn news(&self, prefix: &str, after: u64, from: SocketAddr) -> Option<(u16, Value)> {
        let state = self.lock();
        if after < state.kept_from {
            return Some((410, json!({})));
        }
        let fresh = |e: &&Value| {
            let key = e["key"].as_str().unwrap_or_default();
            key.starts_with(prefix) && e["revision"].as_u64().unwrap_or(0) > after
        };
        let events: Vec<&Value> = state.history.iter().filter(fresh).collect();
        let refused = state.refused.contains(&from.ip());
        (!events.is_empty() || refused)
            .then(|| (200, json!({"events": events, "asOf": state.revision})))
    }
}

fn entry(key: &str, value: &[u8], revision: u64) -> Value {
    json!({"key": key, "value": STANDARD.encode(value), "revision": revision, "created": revision, "lease": 0})
}
