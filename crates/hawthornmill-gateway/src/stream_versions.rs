//! Tells other instances at which versions of servers streams began, and asks them.
//!
//! [`hawthornmill::routing::stream_versions`] keeps the records and chooses whom to tell and whom to ask.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hawthornmill::ident::{InstanceId, VersionId};
use hawthornmill::routing::caller_times::CallerTimes;
use hawthornmill::routing::lost_streams::LostStreams;
use hawthornmill::routing::stream_versions::{
    ASKED, HOLDERS, StreamAnswers, StreamKey, StreamRecords, StreamVersion, StreamVersions, holders,
};
use hawthornmill::wire::Message;
use tokio::sync::Notify;

use crate::datagrams::DatagramSocket;
use crate::gateway::Gateway;
use crate::history_reader::HistoryReader;
use crate::store_view::StoreView;

/// Time for which records are gathered into one message; those of the last one are lost if the process is killed.
const GATHER_TIME: Duration = Duration::from_millis(5);
/// Records or keys in one message, so that it fits a datagram.
const MAX_IN_MESSAGE: usize = 64;
/// Time after which a question without an answer is repeated; regions are 60 ms apart and back.
const REPEAT_INTERVAL: Duration = Duration::from_millis(100);
/// Times that a question is sent.
const MAX_QUESTIONS: usize = 3;
/// Time that a request waits until the others are heard.
const MAX_MEETING_WAIT: Duration = Duration::from_secs(1);
const MEETING_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// What this instance knows of streams, and what it asks others.
#[derive(Debug, Default)]
pub struct StreamRegister {
    versions: RefCell<StreamVersions>,
    /// Streams asked for, each with the instances that don't know it.
    asked: RefCell<BTreeMap<StreamKey, BTreeSet<InstanceId>>>,
    unsent: RefCell<Vec<StreamKey>>,
    /// Wakes the task that sends.
    wakeup: Notify,
    /// Wakes requests that wait for an answer.
    answered: Notify,
    /// Times that callers gave their requests.
    pub caller_times: RefCell<CallerTimes>,
    /// Streams without a record that went on before requests of others.
    pub lost: RefCell<LostStreams>,
    /// Until when this instance has known the store's registrations.
    pub store_view: StoreView,
    /// Reads which versions served before this instance had its first list.
    pub history: HistoryReader,
}

/// What this instance and others know of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StreamLookup {
    /// The version at which the stream began; `None` if nobody knows it.
    pub version: Option<VersionId>,
    /// Instances that were asked.
    pub asked: usize,
    /// Instances of these that answered.
    pub answered: usize,
    /// Whether this instance has heard the others, so that it knew whom to ask.
    pub has_met_others: bool,
}

/// A question to other instances; forgotten on drop, also when the caller leaves before the answer.
struct Question<'a> {
    register: &'a StreamRegister,
    key: StreamKey,
}

impl Drop for Question<'_> {
    fn drop(&mut self) {
        self.register.asked.borrow_mut().remove(&self.key);
    }
}

impl StreamRegister {
    /// Records that a stream began here, and tells others.
    pub fn begin(&self, gateway: &Gateway, stream: StreamVersion) {
        self.versions.borrow_mut().begin(stream, gateway.now());
        self.wakeup.notify_one();
    }

    /// Returns whether a stream may go on before requests of others once more.
    pub fn take_preference(&self, key: StreamKey) -> bool {
        self.versions.borrow_mut().take_preference(key)
    }

    /// Returns the version at which a stream began, if this instance knows it.
    pub fn known(&self, key: StreamKey) -> Option<VersionId> {
        self.versions.borrow().get(key)
    }

    /// Returns the version at which a stream began, from others if this instance doesn't know it.
    pub async fn find(&self, gateway: &Gateway, key: StreamKey) -> StreamLookup {
        let mut asked = 0;
        let has_met_others = self.known(key).is_some() || meet_others(gateway).await;
        let _question = Question {
            register: self,
            key,
        };
        for _ in 0..MAX_QUESTIONS {
            if self.versions.borrow().get(key).is_some() {
                break;
            }
            let targets = targets(gateway, key, ASKED).len();
            if self.unknown_count(key) >= targets {
                break;
            }
            asked = targets;
            self.unsent.borrow_mut().push(key);
            self.wakeup.notify_one();
            let answer = self.wait_for_answer(key, targets);
            let _elapsed = tokio::time::timeout(REPEAT_INTERVAL, answer).await;
        }
        let version = self.versions.borrow().get(key);
        let unknown = self.unknown_count(key);
        let told = usize::from(version.is_some());
        StreamLookup {
            version,
            asked,
            answered: (unknown + told).min(asked),
            has_met_others,
        }
    }

    fn unknown_count(&self, key: StreamKey) -> usize {
        let mut asked = self.asked.borrow_mut();
        asked.entry(key).or_default().len()
    }

    async fn wait_for_answer(&self, key: StreamKey, targets: usize) {
        loop {
            let answered = self.answered.notified();
            if self.versions.borrow().get(key).is_some() || self.unknown_count(key) >= targets {
                return;
            }
            answered.await;
        }
    }

    /// Records what another instance says about streams.
    pub fn record(&self, gateway: &Gateway, told: &StreamRecords) {
        let now = gateway.now();
        let mut versions = self.versions.borrow_mut();
        for stream in told.streams() {
            versions.record(stream, now);
        }
    }

    /// Returns the answer to another instance's question.
    pub fn answer(&self, keys: &[StreamKey]) -> Message {
        let keys = &keys[..keys.len().min(MAX_IN_MESSAGE)];
        Message::StreamAnswer(StreamAnswers::of(keys, &self.versions.borrow()))
    }

    /// Records the answer of `from` to a question of this instance.
    pub fn record_answer(&self, gateway: &Gateway, from: InstanceId, told: &StreamAnswers) {
        for (key, version) in told.answers() {
            let mut asked = self.asked.borrow_mut();
            let Some(unknown) = asked.get_mut(&key) else {
                continue;
            };
            match version {
                Some(version) => {
                    let mut versions = self.versions.borrow_mut();
                    versions.record(StreamVersion { key, version }, gateway.now());
                }
                None => {
                    unknown.insert(from);
                }
            }
        }
        self.answered.notify_waiters();
    }
}

/// Waits until a process that has just started has heard the others or counts as alone; returns whether it does.
async fn meet_others(gateway: &Gateway) -> bool {
    let has_met = || {
        let age = Duration::from_millis(gateway.age_ms());
        let peers = gateway.peers.borrow();
        peers.has_met_others(age, gateway.now())
    };
    let met = async {
        while !has_met() {
            tokio::time::sleep(MEETING_CHECK_INTERVAL).await;
        }
    };
    // The wait may end together with the time after which a process counts as alone.
    tokio::time::timeout(MAX_MEETING_WAIT, met).await.is_ok() || has_met()
}

/// Returns the addresses of the `most` other instances that are told of a stream or asked for it.
fn targets(gateway: &Gateway, key: StreamKey, most: usize) -> Vec<SocketAddr> {
    let peers = gateway.peers.borrow();
    let live: BTreeMap<InstanceId, _> = peers.live(gateway.now()).collect();
    let others = live.iter().map(|(id, peer)| (*id, peer.info.domain));
    let own = (gateway.id, gateway.settings().domain);
    // Every instance ranks all of them, itself included, so that all name the same ones.
    let chosen = holders(key, others.chain([own]), most);
    let others = chosen.iter().filter_map(|id| live.get(id));
    others.map(|peer| peer.info.peer_addr).collect()
}

/// Sends records and questions until the process ends.
pub async fn exchange(gateway: Rc<Gateway>, datagrams: Rc<DatagramSocket>) {
    let register = &gateway.streams;
    loop {
        register.wakeup.notified().await;
        tokio::time::sleep(GATHER_TIME).await;
        let begun = register.versions.borrow_mut().take_unsent();
        let records = by_target(&gateway, begun, HOLDERS, |s| s.key);
        send_in_parts(&datagrams, records, |part| {
            Message::StreamVersions(StreamRecords::of(&part))
        });
        let questions = register.unsent.take();
        let questions = by_target(&gateway, questions, ASKED, |key| *key);
        send_in_parts(&datagrams, questions, Message::StreamQuery);
    }
}

/// Groups `items` by the instances that get them.
fn by_target<T: Copy>(
    gateway: &Gateway,
    items: Vec<T>,
    most: usize,
    key: impl Fn(&T) -> StreamKey,
) -> BTreeMap<SocketAddr, Vec<T>> {
    let mut all: BTreeMap<SocketAddr, Vec<T>> = BTreeMap::new();
    for item in items {
        for target in targets(gateway, key(&item), most) {
            all.entry(target).or_default().push(item);
        }
    }
    all
}

fn send_in_parts<T: Copy>(
    datagrams: &DatagramSocket,
    items: BTreeMap<SocketAddr, Vec<T>>,
    message: impl Fn(Vec<T>) -> Message,
) {
    for (target, items) in items {
        for part in items.chunks(MAX_IN_MESSAGE) {
            datagrams.send(&message(part.to_vec()), [target]);
        }
    }
}
