//! Tells until when this instance has known all changes of registrations.
//!
//! A watch that isn't answered may have nothing to tell, or its connection may be dead. Before a decision that needs the present
//! registrations, the store is asked whether it has newer ones.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use serde_json::json;
use tokio::task::spawn_local;

use crate::event_log;
use crate::gateway::Gateway;
use crate::single_flight::SingleFlight;
use crate::store_call::{CALL_TIMEOUT, SHORTEST_WAIT, StoreConnection, StoreError};

/// Pause after a question that the store didn't answer, or after which this instance lacked changes.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Time for which a process doesn't run, after which changes may wait that it hasn't read.
pub const STANDSTILL: Duration = Duration::from_secs(1);

/// Until when this instance has known the store's registrations.
#[derive(Debug, Default)]
pub struct StoreView {
    known_until: Cell<Option<Instant>>,
    question: SingleFlight,
    /// The store didn't answer the last question.
    is_silent: Cell<bool>,
    /// When the process last went on after it had stood still.
    went_on_at: Cell<Option<Instant>>,
}

impl StoreView {
    /// Records that this instance knows all changes until `at`, by an answer of the store to a question that it had by then.
    pub fn record(&self, at: Instant) {
        self.is_silent.set(false);
        self.known_until.set(self.known_until.get().max(Some(at)));
    }

    /// Records that the process goes on at `at`, after it stood still for so long that changes came meanwhile.
    pub fn record_standstill(&self, at: Instant) {
        self.went_on_at.set(Some(at));
    }

    /// Returns whether changes from before the process went on may be unknown here.
    pub fn is_behind(&self) -> bool {
        let known = self.known_until.get();
        let is_behind = |at: Instant| known.is_none_or(|until| until < at);
        self.went_on_at.get().is_some_and(is_behind)
    }

    /// Returns whether the store left the last question without an answer.
    pub const fn is_silent(&self) -> bool {
        self.is_silent.get()
    }

    /// Returns whether this instance knows all changes until `most` ago; asks the store if its watch doesn't tell, and waits for
    /// its answer, for `left` at most.
    pub async fn is_newer_than(
        &self,
        gateway: &Rc<Gateway>,
        most: Duration,
        left: Duration,
    ) -> bool {
        let now = gateway.now();
        let is_new = || {
            let known = self.known_until.get();
            known.is_some_and(|until| now.saturating_duration_since(until) <= most)
        };
        if is_new() {
            return true;
        }
        let ask = || drop(spawn_local(ask(Rc::clone(gateway))));
        self.question.wait(now, CALL_TIMEOUT.min(left), ask).await;
        is_new()
    }
}

async fn ask(gateway: Rc<Gateway>) {
    let asked_at = gateway.now();
    let revision = gateway.scheduler.borrow().registry.revision();
    let store = &gateway.adapter.store;
    let path = (store.watch_path)(
        store.servers_prefix,
        revision,
        SHORTEST_WAIT.as_millis() as u64,
    );
    let mut connection = StoreConnection::default();
    let mut is_silent = false;
    // A long answer would bring changes that are missing here, so its end needn't be waited for.
    let call = connection.call(&gateway, &path, CALL_TIMEOUT);
    let answer = tokio::time::timeout(CALL_TIMEOUT, call).await;
    let why = match answer.unwrap_or(Err(StoreError::Silent)) {
        Ok(page) if page.entries.is_empty() => None,
        Ok(page) => Some(format!("{} changes are missing here", page.entries.len())),
        Err(error) => {
            is_silent = true;
            Some(format!("{error:?}"))
        }
    };
    let view = &gateway.streams.store_view;
    view.is_silent.set(is_silent);
    let mut retry_at = None;
    if let Some(why) = why {
        let fields = json!({"revision": revision, "why": why});
        event_log::state_change("store_view_unknown", fields);
        retry_at = Some(gateway.now() + RETRY_PAUSE);
    } else {
        view.record(asked_at);
    }
    view.question.end(retry_at);
}
