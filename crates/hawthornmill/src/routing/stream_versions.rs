//! Software versions of the servers on which streams began.
//!
//! What two versions of a server write doesn't fit together, so a stream goes on only at the version that brought its
//! first event. A client whose stream broke off comes back at any instance, and the one that carried the stream may be
//! gone. So an instance tells a few others, chosen by a hash of the client's attempt, at which version a stream began, and
//! the instance at which the client comes back asks these. Records are kept in memory only and expire; an instance that
//! starts has none.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use super::stream_tries::ToldTry;
use crate::ident::{AccountId, DomainId, InstanceId, VersionId, mix};

/// Instances that are told of a stream, besides the one that carries it.
pub const HOLDERS: usize = 3;
/// Instances that are asked for a stream: one more, since two views of the fleet differ for a moment.
pub const ASKED: usize = HOLDERS + 1;
/// Time after which no client comes back for its stream.
const RECORD_TTL: Duration = Duration::from_mins(2);
/// Maximum number of records; beyond them, the oldest is dropped.
const MAX_RECORDS: usize = 16_384;

/// The attempt of a client that brought the first event of a stream.
///
/// The account is part of it, so an account can't learn of another one's streams.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StreamKey(#[serde(with = "postcard::fixint::le")] pub u64);

impl StreamKey {
    /// Returns the key of `attempt`, an id that a client of `account` chose.
    pub fn of(account: Option<AccountId>, attempt: &str) -> Self {
        let account = account.map_or(0, |a| mix(a.0));
        let sum = attempt
            .bytes()
            .fold(account, |sum, byte| mix(sum ^ u64::from(byte)));
        Self(sum)
    }
}

/// The version at which a stream began.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamVersion {
    /// The stream.
    pub key: StreamKey,
    /// Version of the server that brought its first event.
    pub version: VersionId,
}

/// Stands for the version of a stream that began at a run of a server whose version isn't known yet.
///
/// Such a stream has a record too: without one, it would be taken for one that began where its key says.
pub const UNDECIDED: VersionId = VersionId(0);
/// Times that one instance lets a begun stream go on before requests of others.
pub(super) const MAX_PREFERENCES: u8 = 4;

/// Records of streams, as one instance tells them to another.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct StreamRecords {
    /// Streams with their versions.
    pub decided: Vec<StreamVersion>,
    /// Streams of [`UNDECIDED`] version; the build before reads none of them.
    pub undecided: Vec<StreamKey>,
}

impl StreamRecords {
    /// Returns the records of `streams`.
    pub fn of(streams: &[StreamVersion]) -> Self {
        let undecided = streams.iter().filter(|s| s.version == UNDECIDED);
        let decided = streams.iter().filter(|s| s.version != UNDECIDED);
        Self {
            undecided: undecided.map(|s| s.key).collect(),
            decided: decided.copied().collect(),
        }
    }

    /// Returns all streams, those of [`UNDECIDED`] version last.
    pub fn streams(&self) -> impl Iterator<Item = StreamVersion> {
        let undecided = self.undecided.iter().map(|key| StreamVersion {
            key: *key,
            version: UNDECIDED,
        });
        self.decided.iter().copied().chain(undecided)
    }
}

/// A question for streams.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct StreamQuestions {
    /// The streams.
    pub keys: Vec<StreamKey>,
    /// The requests for which they are asked, where these name a time; the build before reads none of them.
    pub tries: Vec<ToldTry>,
}

/// What else the sender of answers to questions for streams tells.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct HolderState {
    /// Milliseconds for which its process has run; `None` from the build before.
    pub age_ms: Option<u64>,
    /// First requests for the streams, where it knows any.
    pub tries: Vec<ToldTry>,
}

/// Answers to a question for streams.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct StreamAnswers {
    /// The streams with their versions; `None` where the sender knows no decided one.
    pub decided: Vec<(StreamKey, Option<VersionId>)>,
    /// Those of [`UNDECIDED`] version; the build before reads none of them.
    pub undecided: Vec<StreamKey>,
    /// What else the sender tells; the build before reads none of it.
    pub holder: HolderState,
}

impl StreamAnswers {
    /// Returns the answers for `keys` out of `versions`.
    pub fn of(keys: &[StreamKey], versions: &StreamVersions) -> Self {
        let known = |key: &StreamKey| versions.get(*key);
        let decided = |key: &StreamKey| known(key).filter(|version| *version != UNDECIDED);
        let undecided = keys.iter().filter(|key| known(key) == Some(UNDECIDED));
        Self {
            decided: keys.iter().map(|key| (*key, decided(key))).collect(),
            undecided: undecided.copied().collect(),
            holder: HolderState::default(),
        }
    }

    /// Returns each stream with its version, which may be [`UNDECIDED`]; `None` where the sender has no record.
    pub fn answers(&self) -> impl Iterator<Item = (StreamKey, Option<VersionId>)> {
        self.decided.iter().map(|(key, version)| {
            let undecided = self.undecided.contains(key).then_some(UNDECIDED);
            (*key, version.or(undecided))
        })
    }
}

/// What is recorded of a stream.
#[derive(Debug, Clone, Copy)]
struct Record {
    version: VersionId,
    /// Times that it went on before requests of others.
    preferences: u8,
}

/// Versions at which recent streams began, as far as this instance carried them or was told.
#[derive(Debug, Clone, Default)]
pub struct StreamVersions {
    records: BTreeMap<StreamKey, Record>,
    in_order: VecDeque<(StreamKey, Instant)>,
    unsent: Vec<StreamVersion>,
}

impl StreamVersions {
    /// Records that a stream began here; it is to be told to others.
    pub fn begin(&mut self, stream: StreamVersion, now: Instant) {
        self.record(stream, now);
        self.unsent.push(stream);
    }

    /// Records a stream that began at any instance. The first version that is heard stays, once it is decided.
    pub fn record(&mut self, stream: StreamVersion, now: Instant) {
        self.expire(now);
        match self.records.get_mut(&stream.key) {
            Some(record) if record.version == UNDECIDED => record.version = stream.version,
            Some(_) => {}
            None => {
                let record = Record {
                    version: stream.version,
                    preferences: 0,
                };
                self.records.insert(stream.key, record);
                self.in_order.push_back((stream.key, now));
            }
        }
    }

    /// Returns whether a recorded stream may go on before requests of others once more; its client may ask again and again.
    pub fn take_preference(&mut self, key: StreamKey) -> bool {
        let Some(record) = self.records.get_mut(&key) else {
            return false;
        };
        record.preferences = record.preferences.saturating_add(1);
        record.preferences <= MAX_PREFERENCES
    }

    fn expire(&mut self, now: Instant) {
        let is_over = |(_, at): &(StreamKey, Instant)| now.duration_since(*at) >= RECORD_TTL;
        while self.in_order.front().is_some_and(is_over) || self.in_order.len() >= MAX_RECORDS {
            if let Some((key, _)) = self.in_order.pop_front() {
                self.records.remove(&key);
            }
        }
    }

    /// Returns the version at which the stream began; [`UNDECIDED`] while that isn't known.
    pub fn get(&self, key: StreamKey) -> Option<VersionId> {
        self.records.get(&key).map(|record| record.version)
    }

    /// Returns the streams that began here and were not told to others yet, and clears the list.
    pub fn take_unsent(&mut self) -> Vec<StreamVersion> {
        std::mem::take(&mut self.unsent)
    }
}

/// Returns the instances that are told of a stream, in the order in which they are asked.
///
/// Each lies in another failure domain than those before it, as long as there are further domains.
pub fn holders(
    key: StreamKey,
    instances: impl Iterator<Item = (InstanceId, DomainId)>,
    most: usize,
) -> SmallVec<[InstanceId; ASKED]> {
    let mut ranked: Vec<(u64, InstanceId, DomainId)> = instances
        .map(|(id, domain)| (mix(key.0 ^ id.0), id, domain))
        .collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    let mut chosen = SmallVec::new();
    while chosen.len() < most && !ranked.is_empty() {
        let mut domains: SmallVec<[DomainId; 8]> = SmallVec::new();
        ranked.retain(|(_, id, domain)| {
            let is_new = chosen.len() < most && !domains.contains(domain);
            if is_new {
                domains.push(*domain);
                chosen.push(*id);
            }
            !is_new
        });
    }
    chosen
}
