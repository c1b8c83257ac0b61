//! Tells other instances at which versions of servers streams began, and asks them.
//!
//! [`hawthornmill::routing::stream_versions`] keeps the records and chooses whom to tell and whom to ask.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hawthornmill::ident::{InstanceId, VersionId};
use hawthornmill::routing::caller_times::CallerTimes;
use hawthornmill::routing::lost_streams::LostStreams;
use hawthornmill::routing::past_routes::PastRoutes;
use hawthornmill::routing::stream_tries::{LatestCount, StreamTries, StreamTry, ToldTry};
use hawthornmill::routing::stream_versions::{
    ASKED, HOLDERS, HolderState, StreamAnswers, StreamKey, StreamQuestions, StreamRecords,
    StreamVersion, StreamVersions, holders,
};
use hawthornmill::wire::Message;
use smallvec::SmallVec;
use tokio::sync::Notify;

use crate::datagrams::DatagramSocket;
use crate::gateway::Gateway;
use crate::history_reader::HistoryReader;
use crate::store_view::StoreView;

/// Time for which records are gathered into one message; those of the last one are lost if the process is killed.
const GATHER_TIME: Duration = Duration::from_millis(5);
/// Records or keys in one message, so that it fits a datagram.
const MAX_IN_MESSAGE: usize = 64;
/// Streams with earlier requests in one message, so that it fits a datagram.
const MAX_QUESTIONS_IN_MESSAGE: usize = 32;
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
    /// Streams asked for, each with the instances that don't know it and their starts, as far as these are told.
    asked: RefCell<BTreeMap<StreamKey, BTreeMap<InstanceId, Option<Instant>>>>,
    unsent: RefCell<Vec<(StreamKey, Option<StreamTry>)>>,
    /// First requests for streams to go on of which nobody had a record.
    tries: RefCell<StreamTries>,
    /// Wakes the task that sends.
    wakeup: Notify,
    /// Wakes requests that wait for an answer.
    answered: Notify,
    /// Latest begin of a count that is known for a stream without a record.
    pub latest_count: Cell<LatestCount>,
    /// Times that callers gave their requests.
    pub caller_times: RefCell<CallerTimes>,
    /// Routes of earlier catalogs.
    pub past_routes: RefCell<PastRoutes>,
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
    /// First request for it, as far as this instance and those that answered know.
    pub first_try: Option<StreamTry>,
    /// Earliest start of the instances that would have a record if it had begun since.
    pub holder_start: Option<Instant>,
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

    /// Returns the version at which a stream began, from others if this instance doesn't know it; `request` asks for it to go on.
    pub async fn find(
        &self,
        gateway: &Gateway,
        key: StreamKey,
        request: Option<StreamTry>,
    ) -> StreamLookup {
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
            self.unsent.borrow_mut().push((key, request));
            self.wakeup.notify_one();
            let answer = self.wait_for_answer(key, targets);
            let _elapsed = tokio::time::timeout(REPEAT_INTERVAL, answer).await;
        }
        let version = self.versions.borrow().get(key);
        let holder_start = self.holder_start(gateway, key);
        let first_try = request.map(|r| self.tries.borrow_mut().record(key, r, gateway.now()));
        let unknown = self.unknown_count(key);
        let told = usize::from(version.is_some());
        StreamLookup {
            version,
            asked,
            answered: (unknown + told).min(asked),
            has_met_others,
            first_try,
            holder_start,
        }
    }

    /// Returns the earliest start of the instances that are told of a stream where it begins, as far as they answered.
    ///
    /// `None` if one of them doesn't tell its start, as the build before.
    fn holder_start(&self, gateway: &Gateway, key: StreamKey) -> Option<Instant> {
        let holders = told_instances(gateway, key);
        let asked = self.asked.borrow();
        let told = asked.get(&key).into_iter().flatten();
        let told = told.filter(|(id, _)| holders.contains(id));
        let own = holders.contains(&gateway.id).then(|| {
            let age = Duration::from_millis(gateway.age_ms());
            gateway.now().checked_sub(age)
        });
        let starts = told.map(|(_, start)| *start).chain(own);
        let starts: Option<Vec<Instant>> = starts.collect();
        starts?.into_iter().min()
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
    pub fn answer(&self, gateway: &Gateway, asked: &StreamQuestions) -> Message {
        let keys = &asked.keys[..asked.keys.len().min(MAX_IN_MESSAGE)];
        let mut answers = StreamAnswers::of(keys, &self.versions.borrow());
        let (now, mut tries) = (gateway.now(), self.tries.borrow_mut());
        let unknown = answers.answers().filter(|(_, version)| version.is_none());
        let unknown: Vec<StreamKey> = unknown.map(|(key, _)| key).collect();
        let told = asked.tries.iter().take(MAX_QUESTIONS_IN_MESSAGE);
        let first = told.filter(|t| unknown.contains(&t.key)).filter_map(|t| {
            let first = tries.record(t.key, t.request(now)?, now);
            Some(ToldTry::of(t.key, first, now))
        });
        answers.holder = HolderState {
            age_ms: Some(gateway.age_ms()),
            tries: first.collect(),
        };
        Message::StreamAnswer(answers)
    }

    /// Records the answer of `from` to a question of this instance.
    pub fn record_answer(&self, gateway: &Gateway, from: InstanceId, told: &StreamAnswers) {
        let (now, age) = (gateway.now(), told.holder.age_ms);
        let start = age.and_then(|ms| now.checked_sub(Duration::from_millis(ms)));
        for first in &told.holder.tries {
            if self.asked.borrow().contains_key(&first.key)
                && let Some(request) = first.request(now)
            {
                self.tries.borrow_mut().record(first.key, request, now);
            }
        }
        for (key, version) in told.answers() {
            let mut asked = self.asked.borrow_mut();
            let Some(unknown) = asked.get_mut(&key) else {
                continue;
            };
            match version {
                Some(version) => {
                    let mut versions = self.versions.borrow_mut();
                    versions.record(StreamVersion { key, version }, now);
                }
                None => {
                    unknown.insert(from, start);
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

/// Returns the instances that are told of a stream wherever it begins, as this one knows the fleet.
fn told_instances(gateway: &Gateway, key: StreamKey) -> SmallVec<[InstanceId; ASKED]> {
    let peers = gateway.peers.borrow();
    let live = peers.live(gateway.now());
    let others = live.map(|(id, peer)| (id, peer.info.domain));
    let own = (gateway.id, gateway.settings().domain);
    holders(key, others.chain([own]), HOLDERS)
}

/// Sends records and questions until the process ends.
pub async fn exchange(gateway: Rc<Gateway>, datagrams: Rc<DatagramSocket>) {
    let register = &gateway.streams;
    loop {
        register.wakeup.notified().await;
        tokio::time::sleep(GATHER_TIME).await;
        let begun = register.versions.borrow_mut().take_unsent();
        let records = by_target(&gateway, begun, HOLDERS, |s| s.key);
        send_in_parts(&datagrams, records, MAX_IN_MESSAGE, |part| {
            Message::StreamVersions(StreamRecords::of(&part))
        });
        let questions = register.unsent.take();
        let questions = by_target(&gateway, questions, ASKED, |(key, _)| *key);
        send_in_parts(&datagrams, questions, MAX_QUESTIONS_IN_MESSAGE, |part| {
            Message::StreamQuery(question(&part, gateway.now()))
        });
    }
}

/// Returns the question for streams, each with the request for which it is asked.
fn question(streams: &[(StreamKey, Option<StreamTry>)], now: Instant) -> StreamQuestions {
    let tries = streams.iter();
    let tries = tries.filter_map(|(key, request)| Some(ToldTry::of(*key, (*request)?, now)));
    StreamQuestions {
        keys: streams.iter().map(|(key, _)| *key).collect(),
        tries: tries.collect(),
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
    most: usize,
    message: impl Fn(Vec<T>) -> Message,
) {
    for (target, items) in items {
        for part in items.chunks(most) {
            datagrams.send(&message(part.to_vec()), [target]);
        }
    }
}
