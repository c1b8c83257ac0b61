//! Watches what operators write, and the servers' registrations, in the platform's store.
//!
//! Each of them is listed once and then watched for changes, on a connection of its own. A watch that
//! is not answered soon after its wait means that its connection is dead: a call on a new one asks at
//! once for what was missed, without a wait, until the store answers. Each call costs the platform
//! something, so watches are as long as a change may stay unknown (see
//! [`store_wait`](hawthornmill::routing::store_wait)), and gossip tells in between if this instance
//! has missed one.

use std::rc::Rc;
use std::time::{Duration, Instant};

use hawthornmill::ident::{DomainId, ServerId};
use hawthornmill::routing::evacuations::Evacuation;
use hawthornmill::routing::gossip::StoreRole;
use hawthornmill::routing::recent::Source;
use hawthornmill::routing::registry::{Change, RegistrationList};
use hawthornmill::routing::store_start::Start;
use hawthornmill::routing::store_wait::{AnswerTime, watch_wait};
use serde_json::json;
use tokio::sync::Notify;

use crate::adapter::{KvEntry, Page};
use crate::event_log;
use crate::gateway::Gateway;
use crate::store_call::{CALL_TIMEOUT, SHORTEST_WAIT, StoreConnection, StoreError};

/// Delay after a change, so that one watch returns several changes.
const BATCH_DELAY: Duration = Duration::from_millis(100);
/// Time after which a list that isn't complete begins anew; the store keeps changes for longer.
const MAX_LIST_TIME: Duration = Duration::from_secs(10);
/// Shortest and longest delay after a failed call.
const RETRY_DELAY_RANGE: (Duration, Duration) =
    (Duration::from_millis(60), Duration::from_millis(500));
/// Longest delay after a failed call of a ready instance in a large fleet.
///
/// All instances call the store while it is unavailable, and the first one that gets an answer tells the others.
const MAX_RETRY_DELAY_LARGE: Duration = Duration::from_millis(1_800);
/// The same while the store doesn't answer at all: each call is given up only after its time-out.
const MAX_SILENT_DELAY_LARGE: Duration = Duration::from_millis(3_600);
/// Time without an answer after which registrations may have expired because the store was unavailable.
///
/// Servers renew their registrations every 1.2 s, and these expire after three missed renewals.
const OUTAGE_THRESHOLD: Duration = Duration::from_secs(2);
/// Time after an outage of the store in which servers may register again.
const RETURN_GRACE: Duration = Duration::from_millis(2_500);
/// Interval at which an instance checks whether it should read the store itself.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Most bytes that are kept of a list, over all of its pages; the keys and values of 12,000 servers take about 4 MB.
const MAX_LIST_BYTES: usize = 16 << 20;

/// Most of what is logged of why an entry can't be read, which may repeat the entry.
const MAX_WHY_CHARS: usize = 200;

/// What is watched; the log shows the variant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Topic {
    /// What operators write: the catalog and evacuations of failure domains.
    Catalog,
    /// The servers' registrations.
    Servers,
}

/// A list of which not all pages were read yet.
///
/// Each page is parsed when it comes: another writer's values may be long, and are not kept.
#[derive(Debug)]
struct PartialList {
    /// Changes to registrations, of a list of these.
    changes: Vec<Change>,
    /// Entries of operators that mean something here, of a list of these.
    entries: Vec<KvEntry>,
    /// Last key that was read, whether or not its entry is kept.
    last_key: Option<Box<str>>,
    /// Bytes of all keys and values that are kept.
    bytes: usize,
    /// The store's revision at the first page.
    revision: u64,
    started_at: Instant,
}

struct Watcher {
    gateway: Rc<Gateway>,
    topic: Topic,
    /// Wakes the watches of all topics when one of them is late.
    silence: Rc<Notify>,
    store: StoreConnection,
    revision: Option<u64>,
    partial: Option<PartialList>,
    started_at: Instant,
    answered_at: Instant,
    /// Wait of the watch under way.
    wait: Duration,
    answer_time: AnswerTime,
    /// Until when missing registrations may come back.
    grace_until: Option<Instant>,
    unreachable: bool,
    failures: u32,
}

/// Watches `topic` until the process ends.
///
/// `silence` is shared with the watches of other topics: what silences one connection to the store may have silenced all.
pub async fn watch(gateway: Rc<Gateway>, topic: Topic, silence: Rc<Notify>) {
    let now = gateway.now();
    let mut watcher = Watcher {
        gateway,
        topic,
        silence,
        store: StoreConnection::default(),
        revision: None,
        partial: None,
        started_at: now,
        answered_at: now,
        wait: Duration::ZERO,
        answer_time: AnswerTime::default(),
        grace_until: None,
        unreachable: false,
        failures: 0,
    };
    loop {
        watcher.wait_until_reader().await;
        let result = match watcher.revision {
            None => watcher.list_all().await,
            Some(revision) => watcher.watch_changes(revision).await,
        };
        watcher.record_result(result).await;
    }
}

impl Watcher {
    /// Waits while other instances read the store for this one.
    async fn wait_until_reader(&self) {
        let gateway = &self.gateway;
        while !self.is_reader() {
            gateway.store_role.set(StoreRole::Idle);
            tokio::time::sleep_until(gateway.next_tick(ROLE_CHECK_INTERVAL)).await;
        }
        if gateway.store_role.get() == StoreRole::Idle {
            gateway.store_role.set(StoreRole::Connected);
        }
    }

    /// Tells whether this instance reads the store now.
    fn is_reader(&self) -> bool {
        let gateway = &self.gateway;
        let (peers, now) = (gateway.peers.borrow(), gateway.now());
        if gateway.has_registrations.get() && gateway.catalog_version() > 0 {
            return peers.should_follow_store(gateway.id, now);
        }
        let start = Start {
            first: gateway.settings().first_start,
            age: now.duration_since(self.started_at),
            is_follower: peers.is_first_to_follow(gateway.id, now),
        };
        start.reads_store()
    }

    fn prefix(&self) -> &'static str {
        let store = &self.gateway.adapter.store;
        match self.topic {
            Topic::Catalog => store.operator_prefix,
            Topic::Servers => store.servers_prefix,
        }
    }

    async fn list_all(&mut self) -> Result<(), StoreError> {
        let PartialList {
            changes,
            entries,
            revision,
            started_at,
            ..
        } = self.read_pages().await?;
        if self.unreachable {
            self.note_silence();
        }
        let after_outage = self.is_in_grace() || self.has_just_started();
        match self.topic {
            Topic::Catalog => self.apply_operator_list(&entries, revision),
            Topic::Servers => {
                let list = RegistrationList {
                    entries: changes,
                    unconfirmed: Vec::new(),
                    revision,
                    after_outage,
                    asked_at: Some(started_at),
                };
                self.gateway.apply_registrations(list, "store");
                // What has changed between its pages comes by the watch.
                self.gateway.streams.store_view.record(started_at);
            }
        }
        self.revision = Some(revision);
        Ok(())
    }

    /// Reads all pages of a list; after a failed call it goes on where it was.
    ///
    /// While hundreds of instances start at once, the store rejects some calls of each list. If each began anew, none would
    /// ever end.
    async fn read_pages(&mut self) -> Result<PartialList, StoreError> {
        let store = self.gateway.adapter.store;
        let now = self.gateway.now();
        let is_recent = |p: &PartialList| now.duration_since(p.started_at) < MAX_LIST_TIME;
        let mut partial = self.partial.take().filter(is_recent);
        loop {
            let read = partial.as_ref().and_then(|p| p.last_key.as_deref());
            let path = (store.list_path)(self.prefix(), read);
            let began = self.gateway.now();
            let page = match self.store.call(&self.gateway, &path, CALL_TIMEOUT).await {
                Ok(page) => page,
                Err(error) => {
                    self.partial = partial;
                    return Err(error);
                }
            };
            self.failures = 0;
            let time = self.gateway.now().duration_since(began);
            self.answer_time.record(time);
            // Later pages have newer revisions; the first watch repeats the changes between them.
            let list = partial.get_or_insert_with(|| PartialList {
                changes: Vec::new(),
                entries: Vec::new(),
                last_key: None,
                bytes: 0,
                revision: page.revision,
                started_at: now,
            });
            let (has_more, last) = (page.has_more, page.entries.last().map(|e| e.key.clone()));
            // A page without entries, or the same page once more, would be asked for again and again.
            let is_endless = has_more && (last.is_none() || last == list.last_key);
            list.last_key = last.or(list.last_key.take());
            for entry in page.entries {
                self.keep_entry(list, entry);
            }
            if is_endless || list.bytes > MAX_LIST_BYTES {
                event_log::state_change("store_unreadable", json!({"why": "the list doesn't end"}));
                return Err(StoreError::Silent);
            }
            if !has_more && let Some(list) = partial.take() {
                return Ok(list);
            }
        }
    }

    /// Adds what an entry means to a list.
    fn keep_entry(&self, list: &mut PartialList, entry: KvEntry) {
        match self.topic {
            Topic::Servers => {
                let change = self.parse_change(&entry);
                list.bytes += match &change.registration {
                    Some(_) => entry_bytes(&entry),
                    None => size_of::<Change>(),
                };
                list.changes.push(change);
            }
            Topic::Catalog => {
                let catalog_key = self.gateway.adapter.store.catalog_key;
                if *entry.key == *catalog_key || self.evacuation(&entry).is_some() {
                    list.bytes += entry_bytes(&entry);
                    list.entries.push(entry);
                }
            }
        }
    }

    /// Waits for changes, and asks on a new connection if the answer is late.
    async fn read_changes(&mut self, after: u64) -> Result<Page, StoreError> {
        if self.unreachable {
            return self.probe(after).await;
        }
        let gateway = &self.gateway;
        let readers = gateway.peers.borrow().connected_readers(gateway.now());
        self.wait = watch_wait(readers, rand::random());
        let began = gateway.now();
        let margin = self.answer_time.margin(CALL_TIMEOUT);
        let silence = Rc::clone(&self.silence);
        let result = tokio::select! {
            result = self.call_watch(after, self.wait, margin) => Some(result),
            () = silence.notified() => None,
        };
        let elapsed = self.gateway.now().duration_since(began);
        match result {
            Some(Err(StoreError::Silent)) if elapsed > self.wait => {
                self.answer_time.forget();
                self.silence.notify_waiters();
            }
            Some(result) => {
                // An answer that brings changes doesn't tell when they came.
                let late = elapsed.checked_sub(self.wait);
                if let (Ok(page), Some(late)) = (&result, late)
                    && page.entries.is_empty()
                {
                    self.answer_time.record(late);
                }
                return result;
            }
            None => {}
        }
        let topic = format!("{:?}", self.topic);
        let fields = json!({"topic": topic, "waited_ms": elapsed.as_millis() as u64});
        event_log::state_change("store_answer_late", fields);
        self.probe(after).await
    }

    /// Asks for the changes that there are, without a wait.
    async fn probe(&mut self, after: u64) -> Result<Page, StoreError> {
        let began = self.gateway.now();
        let result = self.call_watch(after, SHORTEST_WAIT, CALL_TIMEOUT).await;
        if result.is_ok() {
            let time = self.gateway.now().duration_since(began);
            self.answer_time.record(time);
            self.note_silence();
        }
        result
    }

    async fn call_watch(
        &mut self,
        after: u64,
        wait: Duration,
        margin: Duration,
    ) -> Result<Page, StoreError> {
        let store = self.gateway.adapter.store;
        let path = (store.watch_path)(self.prefix(), after, wait.as_millis() as u64);
        let began = self.gateway.now();
        let page = self.store.call(&self.gateway, &path, wait + margin).await?;
        if self.topic == Topic::Servers {
            // An answer may come late, so the time of its arrival proves nothing.
            let known = if page.entries.is_empty() {
                (began + wait).min(self.gateway.now())
            } else {
                began
            };
            self.gateway.streams.store_view.record(known);
        }
        Ok(page)
    }

    async fn watch_changes(&mut self, after: u64) -> Result<(), StoreError> {
        let page = self.read_changes(after).await?;
        for entry in &page.entries {
            self.apply_entry(entry);
        }
        if !page.entries.is_empty() {
            // Changes come in bursts, and returning each by itself would cost a call for each.
            tokio::time::sleep(BATCH_DELAY).await;
        }
        self.revision = Some(page.revision.max(after));
        if self.topic == Topic::Servers {
            self.gateway
                .scheduler
                .borrow_mut()
                .registry
                .advance(page.revision);
        }
        Ok(())
    }

    fn apply_entry(&self, entry: &KvEntry) {
        match (self.topic, &entry.value) {
            (Topic::Catalog, value) => {
                if let Some(change) = self.evacuation(entry) {
                    self.gateway.apply_evacuation(change, "store", Source::Own);
                } else if let Some(value) = value {
                    self.apply_catalog(entry, value);
                }
            }
            (Topic::Servers, None) if self.is_in_grace() => {
                let server = ServerId::of(self.server_name(entry));
                self.gateway.suspect_removal(server, entry.revision);
            }
            (Topic::Servers, _) => {
                let change = self.parse_change(entry);
                self.gateway.apply_change(change, "store");
            }
        }
    }

    /// Applies the complete list of what operators have written.
    fn apply_operator_list(&self, entries: &[KvEntry], revision: u64) {
        let evacuated = entries.iter().filter_map(|e| self.evacuation(e));
        let evacuated: Vec<Evacuation> = evacuated.collect();
        self.gateway.apply_evacuation_list(&evacuated, revision);
        for entry in entries {
            if let Some(value) = &entry.value {
                self.apply_catalog(entry, value);
            }
        }
    }

    /// Returns the evacuation that `entry` begins or takes back, if it is about one.
    fn evacuation(&self, entry: &KvEntry) -> Option<Evacuation> {
        let prefix = self.gateway.adapter.store.evacuations_prefix;
        let domain = entry.key.strip_prefix(prefix)?;
        Some(Evacuation {
            domain: DomainId::of(domain),
            revision: entry.revision,
            active: entry.value.is_some(),
        })
    }

    fn apply_catalog(&self, entry: &KvEntry, value: &[u8]) {
        if *entry.key != *self.gateway.adapter.store.catalog_key {
            return;
        }
        self.gateway.streams.history.record_catalog(entry);
        match (self.gateway.adapter.parse_catalog)(value) {
            Ok(catalog) => self.gateway.apply_catalog(catalog, "store"),
            Err(why) => {
                let why: String = why.chars().take(MAX_WHY_CHARS).collect();
                let fields = json!({"revision": entry.revision, "why": why});
                event_log::state_change("catalog_unreadable", fields);
            }
        }
    }

    fn server_name<'a>(&self, entry: &'a KvEntry) -> &'a str {
        entry.key.strip_prefix(self.prefix()).unwrap_or(&entry.key)
    }

    fn parse_change(&self, kv: &KvEntry) -> Change {
        let name = self.server_name(kv);
        let read = |value: &Vec<u8>| (self.gateway.adapter.parse_registration)(name, value);
        let entry = match kv.value.as_ref().map(read) {
            Some(Ok(entry)) if self.gateway.is_instance(entry.address) => {
                let why = "an instance listens at its address";
                self.note_unreadable(name, kv.revision, why);
                None
            }
            Some(Ok(entry)) => Some(entry),
            Some(Err(why)) => {
                self.note_unreadable(name, kv.revision, &why);
                None
            }
            None => None,
        };
        Change {
            server: ServerId::of(name),
            revision: kv.revision,
            registration: entry,
        }
    }

    /// Counts a registration that names no server to use, and logs it unless too many were logged just now.
    fn note_unreadable(&self, name: &str, revision: u64, why: &str) {
        let gateway = &self.gateway;
        gateway.metrics.registrations_unreadable(1);
        if let Some(unlogged) = gateway.odd_entries.admit(gateway.now()) {
            let why: String = why.chars().take(MAX_WHY_CHARS).collect();
            let fields =
                json!({"server": name, "revision": revision, "why": why, "unlogged": unlogged});
            event_log::state_change("registration_unreadable", fields);
        }
    }

    /// Tells whether registrations may be missing because servers could not renew them.
    fn is_in_grace(&self) -> bool {
        self.grace_until
            .is_some_and(|until| self.gateway.now() < until)
    }

    /// Tells whether an outage of the store may have ended just before the process started.
    fn has_just_started(&self) -> bool {
        self.gateway.now().duration_since(self.started_at) <= OUTAGE_THRESHOLD
    }

    /// Opens the grace for registrations that may have lapsed, if the store had been silent for long before an answer.
    fn note_silence(&mut self) {
        let now = self.gateway.now();
        if now.duration_since(self.answered_at) > OUTAGE_THRESHOLD {
            self.grace_until = Some(now + RETURN_GRACE);
        }
    }

    async fn record_result(&mut self, result: Result<(), StoreError>) {
        let now = self.gateway.now();
        let topic = format!("{:?}", self.topic);
        match result {
            Ok(()) => {
                if now.duration_since(self.answered_at) > self.wait + OUTAGE_THRESHOLD {
                    self.grace_until = Some(now + RETURN_GRACE);
                }
                if std::mem::take(&mut self.unreachable) {
                    event_log::state_change("store_regained", json!({"topic": topic}));
                }
                self.answered_at = now;
                self.failures = 0;
                self.gateway.store_role.set(StoreRole::Connected);
            }
            Err(StoreError::HistoryLost) => {
                event_log::state_change("store_history_lost", json!({"topic": topic}));
                self.revision = None;
            }
            // A list comes in pages, whatever has changed since.
            Err(StoreError::TooLong) if self.revision.is_some() => {
                event_log::state_change("store_changes_too_long", json!({"topic": topic}));
                self.revision = None;
            }
            Err(failure) => {
                if !std::mem::replace(&mut self.unreachable, true) {
                    let fields = json!({"topic": topic, "how": format!("{failure:?}")});
                    event_log::state_change("store_lost", fields);
                }
                self.gateway.store_role.set(StoreRole::Disconnected);
                if now.duration_since(self.answered_at) > OUTAGE_THRESHOLD {
                    self.grace_until = Some(now + RETURN_GRACE);
                }
                let large = self.gateway.peers.borrow().is_large_fleet() && self.gateway.is_ready();
                let max_delay = match failure {
                    StoreError::Silent if large => MAX_SILENT_DELAY_LARGE,
                    _ if large => MAX_RETRY_DELAY_LARGE,
                    _ => RETRY_DELAY_RANGE.1,
                };
                let delay =
                    (RETRY_DELAY_RANGE.0 * 2_u32.saturating_pow(self.failures)).min(max_delay);
                self.failures = (self.failures + 1).min(8);
                tokio::time::sleep(delay.mul_f64(rand::random_range(0.6..1.0))).await;
            }
        }
    }
}

fn entry_bytes(entry: &KvEntry) -> usize {
    entry.key.len() + entry.value.as_ref().map_or(0, Vec::len)
}
