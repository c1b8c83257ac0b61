//! The home's memory of its keys.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use crate::ident::AccountId;

/// An answer that is kept for a repeated key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeptAnswer {
    /// HTTP status.
    pub status: u16,
    /// Value of `Content-Type`, if there was one.
    pub kind: Option<Box<str>>,
    /// Body.
    pub body: Box<[u8]>,
    /// Request id under which it ran.
    pub request: Box<str>,
}

/// What is known of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Mark {
    Running,
    Ran(Option<KeptAnswer>),
    Unknown,
}

#[derive(Debug, Clone)]
struct Row {
    mark: Mark,
    forget: Instant,
    digest: [u8; 32],
}

/// What a call with a key may do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Claim {
    /// First use: run it, and say how it ended.
    Run,
    /// The call runs now.
    Join,
    /// It ran, and this was the answer.
    Kept(KeptAnswer),
    /// It ran; the answer is no longer kept.
    Gone,
    /// It may or may not have run.
    Unknown,
    /// The key was used for a different request.
    Mismatch,
    /// No room to remember a new key.
    Full,
}

/// A key as one account uses it; accounts never see each other's.
pub type OwnKey = (AccountId, Box<str>);

/// Keys of one home.
///
/// A key's mark stays until its prefix may no longer be used; only answers are dropped early, the
/// oldest first, to stay within a bound of bytes.
#[derive(Debug)]
pub struct KeyTable {
    rows: BTreeMap<OwnKey, Row>,
    answers: VecDeque<OwnKey>,
    bytes: usize,
    max_rows: usize,
    max_bytes: usize,
}

impl KeyTable {
    /// A table of at most `max_rows` keys that keeps at most `max_bytes` of answers.
    pub fn new(max_rows: usize, max_bytes: usize) -> Self {
        Self {
            rows: BTreeMap::new(),
            answers: VecDeque::new(),
            bytes: 0,
            max_rows,
            max_bytes,
        }
    }

    /// Claims `key` for a request whose content has `digest`; the mark stays until `forget`.
    pub fn claim(&mut self, key: &OwnKey, digest: [u8; 32], forget: Instant) -> Claim {
        if let Some(row) = self.rows.get(key) {
            if row.digest != digest {
                return Claim::Mismatch;
            }
            return match &row.mark {
                Mark::Running => Claim::Join,
                Mark::Ran(Some(answer)) => Claim::Kept(answer.clone()),
                Mark::Ran(None) => Claim::Gone,
                Mark::Unknown => Claim::Unknown,
            };
        }
        if self.rows.len() >= self.max_rows {
            return Claim::Full;
        }
        let row = Row {
            mark: Mark::Running,
            forget,
            digest,
        };
        self.rows.insert(key.clone(), row);
        Claim::Run
    }

    /// The call did not run: the key may be used again.
    pub fn release(&mut self, key: &OwnKey) {
        self.rows.remove(key);
    }

    /// The call ran; its answer is kept within the bound of bytes.
    pub fn ran(&mut self, key: &OwnKey, answer: Option<KeptAnswer>) {
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
    pub fn unknown(&mut self, key: &OwnKey) {
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
    pub fn sweep(&mut self, now: Instant) {
        let bytes = &mut self.bytes;
        self.rows.retain(|_, row| {
            let keep = row.forget > now || row.mark == Mark::Running;
            if !keep {
                drop_answer(row, bytes);
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

/// Time for which a mark must stay: the rest of the prefix's life and the longest deadline.
pub fn forget_after(ttl: Duration, deadline: Duration) -> Duration {
    ttl + deadline
}
