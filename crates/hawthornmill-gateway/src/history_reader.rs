//! Reads in the store's history which versions served before this instance had its first list, and which catalogs were in force.
//!
//! It is read on demand, for the first stream that is taken up and of which no instance knows the version. All instances
//! share the store's rate of calls, so the calls of one reading are bounded.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use hawthornmill::ident::ServerId;
use hawthornmill::routing::change_times::ReadTime;
use hawthornmill::routing::past_routes::{EarlierCatalogs, PastCatalog};
use hawthornmill::routing::route_table::RouteTable;
use hawthornmill::routing::store_history::{HistoryDates, PastChange, StoreHistory};
use serde_json::json;
use tokio::task::spawn_local;

use crate::adapter::{KvEntry, Page};
use crate::event_log;
use crate::gateway::Gateway;
use crate::single_flight::SingleFlight;
use crate::store_call::{CALL_TIMEOUT, SHORTEST_WAIT, StoreConnection, StoreError};

/// Time that a request waits for the store's history; a store in another region answers all calls of a reading within it.
const MAX_WAIT: Duration = Duration::from_millis(1_200);
/// Time after which a reading is given up.
const READ_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause after a reading that failed.
const RETRY_PAUSE: Duration = Duration::from_secs(1);
/// Calls of one reading that find the oldest change of registrations.
const MAX_CALLS: u32 = 14;
/// Calls of one reading in all.
const MAX_ALL_CALLS: u32 = 17;
/// Changes that the first step back spans; each further step spans `STEP_FACTOR` times as many.
const FIRST_STEP: u64 = 16;
const STEP_FACTOR: u64 = 4;

/// What this instance has read of the store's history.
#[derive(Debug, Default)]
pub struct HistoryReader {
    /// Number of gaps in what this instance knows, when it last read the history.
    read_at_gap: Cell<u32>,
    reading: SingleFlight,
    catalog: Cell<CatalogEntry>,
}

/// Revisions of the catalog's entry; 0 if not known.
#[derive(Debug, Clone, Copy, Default)]
struct CatalogEntry {
    /// When the first catalog was written.
    created: u64,
    /// When the newest one was.
    changed: u64,
}

/// Entries of the catalog that the store still keeps.
struct CatalogHistory {
    /// All changes after this revision are known.
    floor: u64,
    /// Oldest first.
    entries: Vec<KvEntry>,
}

impl HistoryReader {
    /// Records the catalog's present entry.
    pub fn record_catalog(&self, entry: &KvEntry) {
        self.catalog.set(CatalogEntry {
            created: entry.created,
            changed: entry.revision,
        });
    }

    /// Reads the history if that wasn't done since the last gap, and waits a little for it, `left` at most.
    pub async fn read(&self, gateway: &Rc<Gateway>, left: Duration) {
        let gaps = gap_count(gateway);
        if gaps == 0 || gaps == self.read_at_gap.get() {
            return;
        }
        let read = || drop(spawn_local(read_history(Rc::clone(gateway))));
        let wait = self.reading.wait(gateway.now(), MAX_WAIT.min(left), read);
        wait.await;
    }
}

fn gap_count(gateway: &Gateway) -> u32 {
    gateway.scheduler.borrow().registry.versions().gaps()
}

async fn read_history(gateway: Rc<Gateway>) {
    let (gaps, began) = (gap_count(&gateway), gateway.now());
    let mut calls = Calls {
        gateway: &gateway,
        store: StoreConnection::default(),
        count: 0,
    };
    let read = tokio::time::timeout(READ_TIMEOUT, calls.read()).await;
    let now = gateway.now();
    let unix = SystemTime::now().duration_since(UNIX_EPOCH);
    let time = ReadTime {
        at: now,
        unix_ms: unix.map_or(0, |t| t.as_millis() as u64),
        kept: gateway.settings().store_history,
        report_interval: gateway.settings().heartbeat,
        drain_time: gateway.settings().drain_time,
        first_catalog: gateway.streams.history.catalog.get().created,
    };
    let mut earlier = None;
    let why = match &read {
        Ok(Ok(_)) if gap_count(&gateway) != gaps => Some("a list came meanwhile".into()),
        Ok(Ok((history, catalogs))) => {
            let registry = &mut gateway.scheduler.borrow_mut().registry;
            let dates = registry.date_past(history, time);
            if registry.learn_past(history, time) {
                earlier = dates.map(|dates| learn_catalogs(&gateway, catalogs, &dates));
                None
            } else {
                Some("it lacks changes that this instance knows".to_owned())
            }
        }
        Ok(Err(error)) => Some(format!("{error:?}")),
        Err(_elapsed) => Some("no answer".into()),
    };
    let found = read.ok().and_then(Result::ok);
    let (found, catalogs) = found.unzip();
    let fields = json!({
        "catalogs": catalogs.map(|c| c.entries.len()), "earlier_catalogs": earlier.map(EarlierCatalogs::name), "calls": calls.count, "why": why, "took_ms": now.duration_since(began).as_millis() as u64,
        "first_catalog": time.first_catalog, "floor": found.as_ref().map(|h| h.floor), "revision": found.as_ref().map(|h| h.revision),
        "is_oldest": found.as_ref().map(|h| h.is_oldest), "changes": found.as_ref().map(|h| h.changes.len()),
    });
    event_log::state_change("version_history_read", fields);
    let reader = &gateway.streams.history;
    if why.is_none() {
        reader.read_at_gap.set(gaps);
    }
    let retry_at = why.map(|_| now + RETRY_PAUSE);
    reader.reading.end(retry_at);
}

/// Learns the catalogs that the store still keeps.
fn learn_catalogs(
    gateway: &Gateway,
    history: &CatalogHistory,
    dates: &HistoryDates,
) -> EarlierCatalogs {
    let present = gateway.streams.history.catalog.get();
    let read = |entry: &KvEntry| {
        let catalog = (gateway.adapter.parse_catalog)(entry.value.as_ref()?).ok()?;
        let table = RouteTable::new(catalog).ok()?;
        let written = dates.written(entry.revision);
        Some(PastCatalog { table, written })
    };
    // What holds after a catalog that can't be read is known, and nothing before.
    let newest_first = history.entries.iter().rev();
    let mut known: Vec<PastCatalog> = newest_first.map_while(read).collect();
    known.reverse();
    let oldest = history.entries.len() - known.len();
    let earlier = match history.entries.get(oldest) {
        Some(entry) if entry.created == entry.revision => EarlierCatalogs::None,
        Some(entry) => EarlierCatalogs::ReplacedBy(dates.written(entry.revision)),
        None if !history.entries.is_empty() => EarlierCatalogs::ReplacedBy(gateway.now()),
        None if present.created == present.changed => EarlierCatalogs::None,
        None => {
            let next = dates.written(history.floor + 1);
            let since = dates.floor().map_or(next, |floor| floor.min(next));
            EarlierCatalogs::UnchangedSince(since)
        }
    };
    if let Some(table) = gateway.table() {
        let mut past = gateway.streams.past_routes.borrow_mut();
        past.learn(&known, earlier, &table, gateway.now());
    }
    earlier
}

/// Calls of one reading.
struct Calls<'a> {
    gateway: &'a Gateway,
    store: StoreConnection,
    count: u32,
}

impl Calls<'_> {
    /// Returns the changes of registrations and of the catalog that the store still keeps.
    async fn read(&mut self) -> Result<(StoreHistory, CatalogHistory), StoreError> {
        self.find_first_catalog().await?;
        let history = self.oldest_history().await?;
        let catalogs = self.catalogs_since(&history).await?;
        Ok((history, catalogs))
    }

    /// Returns the changes of registrations after a revision; `None` where the store no longer keeps them.
    async fn changes_after(&mut self, revision: u64) -> Result<Option<Page>, StoreError> {
        let prefix = self.gateway.adapter.store.servers_prefix;
        self.changes_of(prefix, revision).await
    }

    /// Returns the changes of the keys with `prefix`; `None` where the store no longer keeps them.
    async fn changes_of(
        &mut self,
        prefix: &str,
        revision: u64,
    ) -> Result<Option<Page>, StoreError> {
        self.count += 1;
        let wait_ms = SHORTEST_WAIT.as_millis() as u64;
        let path = (self.gateway.adapter.store.watch_path)(prefix, revision, wait_ms);
        match self.store.call(self.gateway, &path, CALL_TIMEOUT).await {
            Ok(page) => Ok(Some(page)),
            Err(StoreError::HistoryLost) => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Asks when the first catalog was written, where this instance has its own from a peer.
    async fn find_first_catalog(&mut self) -> Result<(), StoreError> {
        let reader = &self.gateway.streams.history;
        if reader.catalog.get().created > 0 {
            return Ok(());
        }
        self.count += 1;
        let store = &self.gateway.adapter.store;
        let path = (store.list_path)(store.catalog_key, None);
        let page = self.store.call(self.gateway, &path, CALL_TIMEOUT).await?;
        let entry = page.entries.iter().find(|e| *e.key == *store.catalog_key);
        if let Some(entry) = entry {
            reader.record_catalog(entry);
        }
        Ok(())
    }

    /// Returns the catalog's entries since the floor of `history`, or a later one where the store has dropped more meanwhile.
    async fn catalogs_since(
        &mut self,
        history: &StoreHistory,
    ) -> Result<CatalogHistory, StoreError> {
        let key = self.gateway.adapter.store.catalog_key;
        let mut floor = history.floor;
        while self.count < MAX_ALL_CALLS {
            if let Some(page) = self.changes_of(key, floor).await? {
                let mut entries = page.entries;
                entries.retain(|e| *e.key == *key);
                entries.sort_by_key(|e| e.revision);
                return Ok(CatalogHistory { floor, entries });
            }
            floor = floor.midpoint(history.revision) + 1;
        }
        Err(StoreError::HistoryLost)
    }

    /// Returns the changes since the oldest revision that the store keeps, as far as a few calls find it.
    async fn oldest_history(&mut self) -> Result<StoreHistory, StoreError> {
        if let Some(page) = self.changes_after(0).await? {
            return Ok(self.history(0, true, &page));
        }
        let newest = {
            let registry = &self.gateway.scheduler.borrow().registry;
            registry.latest_revision().max(registry.revision())
        };
        let Some(page) = self.changes_after(newest).await? else {
            return Err(StoreError::HistoryLost);
        };
        let (mut refused, mut accepted) = (0, (newest, page));
        let mut step = FIRST_STEP;
        while let Some(floor) = newest.checked_sub(step).filter(|f| *f > 0) {
            let Some(page) = self.changes_after(floor).await? else {
                refused = floor;
                break;
            };
            accepted = (floor, page);
            step *= STEP_FACTOR;
        }
        while accepted.0 - refused > 1 && self.count < MAX_CALLS {
            let floor = refused.midpoint(accepted.0);
            match self.changes_after(floor).await? {
                Some(page) => accepted = (floor, page),
                None => refused = floor,
            }
        }
        let (floor, page) = accepted;
        Ok(self.history(floor, floor - refused <= 1, &page))
    }

    fn history(&self, floor: u64, is_oldest: bool, page: &Page) -> StoreHistory {
        let mut changes: Vec<PastChange> =
            page.entries.iter().map(|e| self.past_change(e)).collect();
        changes.sort_by_key(|c| c.revision);
        StoreHistory {
            floor,
            is_oldest,
            revision: page.revision,
            changes,
        }
    }

    fn past_change(&self, entry: &KvEntry) -> PastChange {
        let adapter = &self.gateway.adapter;
        let name = entry.key.strip_prefix(adapter.store.servers_prefix);
        let name = name.unwrap_or(&entry.key);
        let value = entry.value.as_ref();
        PastChange {
            server: ServerId::of(name),
            revision: entry.revision,
            created: entry.created,
            registration: value.and_then(|v| (adapter.parse_registration)(name, v).ok()),
        }
    }
}
