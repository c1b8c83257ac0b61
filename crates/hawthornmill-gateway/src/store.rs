//! The platform's store: one list, then a wait for changes, for the catalog and the registrations.
//!
//! The catalog and the registrations are followed apart, each on a connection of its own. A wait
//! that is not answered in its time means a connection that went silent; it is dropped and the next
//! call takes a new one. Every call costs the platform something, so waits are long and news of the
//! other instances tell in between when this one has missed something.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use hawthornmill::ident::ServerId;
use hawthornmill::routing::gossip::StoreRole;
use hawthornmill::routing::registry::{Change, RegistrationList};
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::dialect::{Item, Page};
use crate::gateway::Gateway;
use crate::http::body::{Decoder, Piece};
use crate::http::head;
use crate::http::write::Bytes;
use crate::journal;
use crate::pool::connect;

/// Time for which a wait for changes may stay at the store.
///
/// A connection that went silent shows when the wait is over, well within the bound of four seconds
/// after which the platform counts an instance as undisturbed again, and three more for changes.
const WAIT: Duration = Duration::from_millis(3_500);
/// Pause after a change, in which others gather.
const GATHER: Duration = Duration::from_millis(100);
/// Time allowed for a call besides the wait that it asks for.
const CALL: Duration = Duration::from_millis(900);
/// Bounds of the pause after a call that failed.
const AGAIN: (Duration, Duration) = (Duration::from_millis(60), Duration::from_millis(500));
/// The longest such pause of an instance of a large fleet that knows something already.
///
/// While the store answers nobody, all of them ask it; whoever is answered first tells the others.
const AGAIN_LARGE: Duration = Duration::from_millis(1_800);
/// Time without an answer after which servers may have lapsed through the store's fault.
///
/// Servers write every 1.2 s and lapse after three silent intervals.
const AWAY: Duration = Duration::from_secs(2);
/// Time after the store's return in which missing servers are still waited for.
const RETURN: Duration = Duration::from_millis(2_500);
/// Time between two looks of an instance for which others read.
const LOOK: Duration = Duration::from_millis(200);
/// Bytes of one answer at most: a megabyte of values in base64, and their keys.
const MOST_BYTES: usize = 4 << 20;

/// What is followed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Topic {
    /// The catalog.
    Catalog,
    /// The servers' registrations.
    Servers,
}

/// How a call to the store failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Failure {
    /// The changes asked for are no longer kept.
    HistoryLost,
    /// It said no.
    Refused(u16),
    /// No answer, or none that can be read.
    Silent,
}

struct Follower {
    gateway: Rc<Gateway>,
    topic: Topic,
    link: Option<TcpStream>,
    revision: Option<u64>,
    answered: Instant,
    /// Until when entries that are missing may come back.
    returning: Option<Instant>,
    lost: bool,
    failures: u32,
}

/// Follows `topic` for as long as the process lives.
pub async fn follow(gateway: Rc<Gateway>, topic: Topic) {
    let now = gateway.now();
    let mut follower = Follower {
        gateway,
        topic,
        link: None,
        revision: None,
        answered: now,
        returning: None,
        lost: false,
        failures: 0,
    };
    loop {
        follower.rest().await;
        let result = match follower.revision {
            None => follower.list().await,
            Some(revision) => follower.wait(revision).await,
        };
        follower.settle(result).await;
    }
}

impl Follower {
    /// Waits while other instances read for this one.
    async fn rest(&self) {
        let gateway = &self.gateway;
        loop {
            let known = gateway.listed.get() && gateway.version() > 0;
            let now = gateway.now();
            if !known || gateway.mates.borrow().should_follow_store(gateway.me, now) {
                if gateway.reading.get() == StoreRole::Idle {
                    gateway.reading.set(StoreRole::Connected);
                }
                return;
            }
            gateway.reading.set(StoreRole::Idle);
            tokio::time::sleep(LOOK).await;
        }
    }

    fn prefix(&self) -> &'static str {
        let store = &self.gateway.dialect.store;
        match self.topic {
            Topic::Catalog => store.catalog,
            Topic::Servers => store.servers,
        }
    }

    async fn list(&mut self) -> Result<(), Failure> {
        let store = self.gateway.dialect.store;
        let mut items: Vec<Item> = Vec::new();
        let mut revision = None;
        loop {
            let path = (store.list)(self.prefix(), items.last().map(|i| &*i.key));
            let page = self.call(&path, CALL).await?;
            // Later pages are younger: changes between them come again with the first wait.
            revision.get_or_insert(page.revision);
            items.extend(page.items);
            if !page.more {
                break;
            }
        }
        let revision = revision.unwrap_or_default();
        let away = self.was_away();
        match self.topic {
            Topic::Catalog => items.iter().for_each(|i| self.take(i)),
            Topic::Servers => {
                let list = RegistrationList {
                    entries: items.iter().map(|i| self.change(i)).collect(),
                    unconfirmed: Vec::new(),
                    revision,
                    after_outage: away,
                };
                self.gateway.list(list, "store");
            }
        }
        self.revision = Some(revision);
        Ok(())
    }

    async fn wait(&mut self, after: u64) -> Result<(), Failure> {
        let store = self.gateway.dialect.store;
        let path = (store.watch)(self.prefix(), after, WAIT.as_millis() as u64);
        let page = self.call(&path, WAIT + CALL).await?;
        for item in &page.items {
            self.take(item);
        }
        if !page.items.is_empty() {
            // Changes come in bursts, and a wait that is answered for each one costs a call for each.
            tokio::time::sleep(GATHER).await;
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

    fn take(&self, item: &Item) {
        match (self.topic, &item.value) {
            (Topic::Catalog, Some(value)) if *item.key == *self.prefix() => {
                match (self.gateway.dialect.catalog)(value) {
                    Ok(catalog) => self.gateway.accept(catalog, "store"),
                    Err(why) => {
                        let fields = json!({"revision": item.revision, "why": why});
                        journal::belief("catalog_unreadable", fields);
                    }
                }
            }
            (Topic::Catalog, _) => {}
            (Topic::Servers, None) if self.was_away() => {
                let server = ServerId::of(self.server_name(item));
                self.gateway.doubt(server, item.revision);
            }
            (Topic::Servers, _) => {
                let change = self.change(item);
                self.gateway.register(change, "store");
            }
        }
    }

    fn server_name<'a>(&self, item: &'a Item) -> &'a str {
        item.key.strip_prefix(self.prefix()).unwrap_or(&item.key)
    }

    fn change(&self, item: &Item) -> Change {
        let name = self.server_name(item);
        let read = |value: &Vec<u8>| (self.gateway.dialect.registration)(name, value);
        let entry = match item.value.as_ref().map(read) {
            Some(Ok(entry)) => Some(entry),
            Some(Err(why)) => {
                let fields = json!({"server": name, "revision": item.revision, "why": why});
                journal::belief("registration_unreadable", fields);
                None
            }
            None => None,
        };
        Change {
            server: ServerId::of(name),
            revision: item.revision,
            registration: entry,
        }
    }

    /// Tells whether entries may be missing because servers could not write.
    fn was_away(&self) -> bool {
        self.returning
            .is_some_and(|until| self.gateway.now() < until)
    }

    async fn settle(&mut self, result: Result<(), Failure>) {
        let now = self.gateway.now();
        let topic = format!("{:?}", self.topic);
        match result {
            Ok(()) => {
                if now.duration_since(self.answered) > WAIT + AWAY {
                    self.returning = Some(now + RETURN);
                }
                if std::mem::take(&mut self.lost) {
                    journal::belief("store_regained", json!({"topic": topic}));
                }
                self.answered = now;
                self.failures = 0;
                self.gateway.reading.set(StoreRole::Connected);
            }
            Err(Failure::HistoryLost) => {
                journal::belief("store_history_lost", json!({"topic": topic}));
                self.revision = None;
            }
            Err(failure) => {
                if !std::mem::replace(&mut self.lost, true) {
                    let fields = json!({"topic": topic, "how": format!("{failure:?}")});
                    journal::belief("store_lost", fields);
                }
                self.gateway.reading.set(StoreRole::Disconnected);
                if now.duration_since(self.answered) > AWAY {
                    self.returning = Some(now + RETURN);
                }
                let large = self.gateway.mates.borrow().is_large_fleet() && self.gateway.is_ready();
                let most = if large { AGAIN_LARGE } else { AGAIN.1 };
                let pause = (AGAIN.0 * 2_u32.saturating_pow(self.failures)).min(most);
                self.failures = (self.failures + 1).min(8);
                tokio::time::sleep(pause.mul_f64(rand::random_range(0.6..1.0))).await;
            }
        }
    }

    async fn call(&mut self, path: &str, wait: Duration) -> Result<Page, Failure> {
        let answer = tokio::time::timeout(wait, self.exchange(path)).await;
        let (outcome, result) = match answer {
            Ok(Ok((200, body))) => match (self.gateway.dialect.store.page)(&body) {
                Ok(page) => ("ok", Ok(page)),
                Err(why) => {
                    journal::belief("store_unreadable", json!({"why": why}));
                    ("unreadable", Err(Failure::Silent))
                }
            },
            Ok(Ok((410, _))) => ("history_lost", Err(Failure::HistoryLost)),
            Ok(Ok((status, _))) => ("refused", Err(Failure::Refused(status))),
            Ok(Err(_)) => ("broken", Err(Failure::Silent)),
            Err(_elapsed) => ("silent", Err(Failure::Silent)),
        };
        self.gateway.meters.store(outcome);
        if matches!(result, Err(Failure::Silent)) {
            self.link = None;
        }
        result
    }

    async fn exchange(&mut self, path: &str) -> std::io::Result<(u16, Vec<u8>)> {
        let address = self.gateway.settings().store;
        let mut link = match self.link.take() {
            Some(link) => link,
            None => connect(address).await?,
        };
        let mut request = Bytes::request("GET", path);
        request.field("Host", address.to_string());
        request.end();
        link.write_all(&request.0).await?;
        let (status, body, keep) = read_answer(&mut link).await?;
        // Kept only now: a call that is given up half-way drops its connection.
        self.link = keep.then_some(link);
        Ok((status, body))
    }
}

/// Reads one whole answer; the last value tells whether the connection can be used again.
///
/// # Errors
/// When the connection breaks, or what came is no answer or too long.
pub async fn read_answer(link: &mut TcpStream) -> std::io::Result<(u16, Vec<u8>, bool)> {
    let broken = || std::io::Error::from(std::io::ErrorKind::InvalidData);
    let mut buffer = BytesMut::with_capacity(4096);
    let (head, length) = loop {
        if let Some(found) = head::answer(&buffer).map_err(|_head| broken())? {
            break found;
        }
        if link.read_buf(&mut buffer).await? == 0 || buffer.len() > MOST_BYTES {
            return Err(broken());
        }
    };
    let _head = buffer.split_to(length);
    let mut decoder = Decoder::new(head.framing("GET").map_err(|_framing| broken())?);
    let mut body = Vec::new();
    loop {
        match decoder.next(&mut buffer).map_err(|_body| broken())? {
            Piece::Data(data) => body.extend_from_slice(&data),
            Piece::End => break,
            Piece::More => {
                if link.read_buf(&mut buffer).await? == 0 {
                    if decoder.ends_with_connection() {
                        break;
                    }
                    return Err(broken());
                }
            }
        }
        if body.len() > MOST_BYTES {
            return Err(broken());
        }
    }
    let keep = !head.closes() && !decoder.ends_with_connection() && buffer.is_empty();
    Ok((head.status, body, keep))
}
