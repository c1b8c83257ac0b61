//! The home's memory of its keys.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use crate::codes::Code;
use crate::ident::AccountId;

/// Part of the table that one account may fill: one in so many rows.
const ACCOUNT_PART: usize = 4;

/// An answer that is kept for a repeated key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredResponse {
    /// HTTP status.
    pub status: u16,
    /// Value of `Content-Type`, if there was one.
    pub content_type: Option<Box<str>>,
    /// Body.
    pub body: Box<[u8]>,
    /// Request id under which it ran.
    pub request_id: Box<str>,
}

/// What is known of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Mark {
    Running,
    Ran(Option<StoredResponse>),
    Unknown,
    Refused(Code),
}

#[derive(Debug, Clone)]
struct Row {
    mark: Mark,
    forget: Instant,
    digest: [u8; 32],
}

/// What a call with a key may do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimResult {
    /// First use: run it, and say how it ended.
    Run,
    /// The call runs now.
    InProgress,
    /// It ran, and this was the answer.
    Replay(StoredResponse),
    /// It ran; the answer is no longer kept.
    Discarded,
    /// It may or may not have run.
    Unknown,
    /// The key was used for a different request.
    Mismatch,
    /// It was refused with this code before a byte left; it never runs under this key.
    Rejected(Code),
    /// No room to remember a new key; this one never runs.
    Full,
}

/// A use of a key.
#[derive(Debug, Clone, Copy)]
pub struct KeyUse {
    /// Seconds of the home's run at which the key's prefix was made.
    pub issued_secs: u32,
    /// Digest of the request's content.
    pub digest: [u8; 32],
    /// Until when the key's mark must stay.
    pub expires_at: Instant,
}

/// A key as one account uses it; accounts never see each other's.
pub type AccountKey = (AccountId, Box<str>);

/// Keys of one home.
///
/// A key's mark stays until its prefix may no longer be used; only answers are dropped early, the
/// oldest first, to stay within a bound of bytes.
///
/// A refusal is final. A caller who is told `not_run` of a key may go on with a new one, while an
/// older copy of the call is still on its way; were the key free again, that copy would run beside
/// the new one. So a refused key keeps its mark, and where there is no room for a mark, every key
/// of that account that the table doesn't know is refused from then on, unless its prefix is newer.
#[derive(Debug)]
pub struct KeyTable {
    rows: BTreeMap<AccountKey, Row>,
    counts: BTreeMap<AccountId, usize>,
    /// Newest prefix of which a key was refused for want of room.
    floors: BTreeMap<AccountId, u32>,
    answers: VecDeque<AccountKey>,
    bytes: usize,
    max_rows: usize,
    max_bytes: usize,
}

impl KeyTable {
    /// A table of at most `max_rows` keys that keeps at most `max_bytes` of answers.
    pub fn new(max_rows: usize, max_bytes: usize) -> Self {
        Self {
            rows: BTreeMap::new(),
            counts: BTreeMap::new(),
            floors: BTreeMap::new(),
            answers: VecDeque::new(),
            bytes: 0,
            max_rows,
            max_bytes,
        }
    }

    /// Claims `key`; [`ClaimResult::Run`] is said once for each key.
    pub fn claim(&mut self, key: &AccountKey, usage: KeyUse) -> ClaimResult {
        if let Some(claim) = self.get(key, usage.digest) {
            return claim;
        }
        let floor = self.floors.get(&key.0);
        if floor.is_some_and(|floor| usage.issued_secs <= *floor) {
            return ClaimResult::Full;
        }
        let count = self.counts.entry(key.0).or_default();
        // A flood of keys by one account must leave room for the others' keys.
        let part = self.max_rows.div_ceil(ACCOUNT_PART);
        if *count >= part || self.rows.len() >= self.max_rows {
            self.floors.insert(key.0, usage.issued_secs);
            return ClaimResult::Full;
        }
        *count += 1;
        let row = Row {
            mark: Mark::Running,
            forget: usage.expires_at,
            digest: usage.digest,
        };
        self.rows.insert(key.clone(), row);
        ClaimResult::Run
    }

    /// What is known of `key`, without a claim to it; none for an unknown key.
    pub fn get(&self, key: &AccountKey, digest: [u8; 32]) -> Option<ClaimResult> {
        let row = self.rows.get(key)?;
        if row.digest != digest {
            return Some(ClaimResult::Mismatch);
        }
        Some(match &row.mark {
            Mark::Running => ClaimResult::InProgress,
            Mark::Ran(Some(answer)) => ClaimResult::Replay(answer.clone()),
            Mark::Ran(None) => ClaimResult::Discarded,
            Mark::Unknown => ClaimResult::Unknown,
            Mark::Refused(code) => ClaimResult::Rejected(*code),
        })
    }

    /// The call was given up before a byte left: the key never runs.
    pub fn reject(&mut self, key: &AccountKey, code: Code) {
        if let Some(row) = self.rows.get_mut(key) {
            row.mark = Mark::Refused(code);
        }
    }

    /// The call ran; its answer is kept within the bound of bytes.
    pub fn complete(&mut self, key: &AccountKey, answer: Option<StoredResponse>) {
        let Some(row) = self.rows.get_mut(key) else {
            return;
        };
        let fitting = answer.filter(|a| a.body.len() <= self.max_bytes);
        if let Some(answer) = &fitting {
            self.bytes += answer.body.len();
            self.answers.push_back(key.clone());
        }
        row.mark = Mark::Ran(fitting);
        self.shrink();
    }

    /// Nobody can say whether the call ran.
    pub fn set_unknown(&mut self, key: &AccountKey) {
        if let Some(row) = self.rows.get_mut(key) {
            row.mark = Mark::Unknown;
        }
    }

    fn shrink(&mut self) {
        while self.bytes > self.max_bytes {
            let Some(oldest) = self.answers.pop_front() else {
                return;
            };
            if let Some(row) = self.rows.get_mut(&oldest) {
                drop_answer(row, &mut self.bytes);
            }
        }
    }

    /// Forgets keys whose prefix can't be used any more.
    pub fn remove_expired(&mut self, now: Instant) {
        let (bytes, counts) = (&mut self.bytes, &mut self.counts);
        self.rows.retain(|key, row| {
            let keep = row.forget > now || row.mark == Mark::Running;
            if !keep {
                drop_answer(row, bytes);
                drop_count(counts, key.0);
            }
            keep
        });
        let rows = &self.rows;
        self.answers.retain(|key| rows.contains_key(key));
    }

    /// Number of keys remembered.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Tells whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Bytes of answers kept.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}

fn drop_answer(row: &mut Row, bytes: &mut usize) {
    if let Mark::Ran(answer) = &mut row.mark
        && let Some(answer) = answer.take()
    {
        *bytes -= answer.body.len();
    }
}

fn drop_count(counts: &mut BTreeMap<AccountId, usize>, account: AccountId) {
    if let Some(count) = counts.get_mut(&account) {
        *count -= 1;
        if *count == 0 {
            counts.remove(&account);
        }
    }
}

/// Time for which a mark must stay: the rest of the prefix's life and the longest deadline.
pub fn retention(ttl: Duration, deadline: Duration) -> Duration {
    ttl + deadline
}
