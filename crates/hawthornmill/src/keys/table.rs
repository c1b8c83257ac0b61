//! The table of idempotency keys that an instance is home to.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use crate::codes::Code;
use crate::ident::AccountId;

/// One account may fill one in this many rows of the table.
const ACCOUNT_DIVISOR: usize = 4;

/// A response stored for repeated calls with the same key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredResponse {
    /// HTTP status.
    pub status: u16,
    /// Value of `Content-Type`, if present.
    pub content_type: Option<Box<str>>,
    /// Body.
    pub body: Box<[u8]>,
    /// Id of the request that ran.
    pub request_id: Box<str>,
}

/// State of the call with a key.
#[derive(Debug, Clone, PartialEq, Eq)]
enum CallState {
    Running,
    Ran(Option<StoredResponse>),
    Unknown,
    Rejected(Code),
}

#[derive(Debug, Clone)]
struct Row {
    state: CallState,
    expires_at: Instant,
    digest: [u8; 32],
}

/// What to do with a call that has a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimResult {
    /// First use: run the call and record its result.
    Run,
    /// The call is running.
    InProgress,
    /// The call ran with this response.
    Replay(StoredResponse),
    /// The call ran; its response is no longer stored.
    Discarded,
    /// The call may or may not have run.
    Unknown,
    /// The key was used for a different request.
    Mismatch,
    /// The call was rejected with this code before it was sent; it never runs under this key.
    Rejected(Code),
    /// The table has no room for a new key; this one never runs.
    Full,
}

/// A use of a key.
#[derive(Debug, Clone, Copy)]
pub struct KeyUse {
    /// Seconds from the start of the home's run until the key's prefix was issued.
    pub issued_secs: u32,
    /// Digest of the request's content.
    pub digest: [u8; 32],
    /// Time until which the table must remember the key.
    pub expires_at: Instant,
}

/// A key of one account; equal keys of different accounts are unrelated.
pub type AccountKey = (AccountId, Box<str>);

/// The keys of one home instance.
///
/// A key stays in the table until its prefix has expired. Only responses are discarded earlier,
/// oldest first, to limit the memory that they use.
///
/// A rejection is final. A client that receives `not_run` for a key may retry with a new key while
/// a copy of the first call is still in flight; if the old key could be claimed again, both would
/// run. So a rejected key stays in the table. If the table is full, every unknown key of that
/// account is rejected from then on, unless its prefix is newer.
#[derive(Debug)]
pub struct KeyTable {
    rows: BTreeMap<AccountKey, Row>,
    counts: BTreeMap<AccountId, usize>,
    /// Newest prefix, by issue time, of which a key was rejected because the table was full.
    rejected_up_to: BTreeMap<AccountId, u32>,
    stored: VecDeque<AccountKey>,
    bytes: usize,
    max_rows: usize,
    max_bytes: usize,
}

impl KeyTable {
    /// A table of at most `max_rows` keys that stores at most `max_bytes` of response bodies.
    pub fn new(max_rows: usize, max_bytes: usize) -> Self {
        Self {
            rows: BTreeMap::new(),
            counts: BTreeMap::new(),
            rejected_up_to: BTreeMap::new(),
            stored: VecDeque::new(),
            bytes: 0,
            max_rows,
            max_bytes,
        }
    }

    /// Claims `key`; returns [`ClaimResult::Run`] at most once for each key.
    pub fn claim(&mut self, key: &AccountKey, key_use: KeyUse) -> ClaimResult {
        if let Some(claim) = self.get(key, key_use.digest) {
            return claim;
        }
        let newest_rejected = self.rejected_up_to.get(&key.0);
        if newest_rejected.is_some_and(|newest_rejected| key_use.issued_secs <= *newest_rejected) {
            return ClaimResult::Full;
        }
        let count = self.counts.entry(key.0).or_default();
        // One account must not fill the table and so block the keys of all others.
        let limit = self.max_rows.div_ceil(ACCOUNT_DIVISOR);
        if *count >= limit || self.rows.len() >= self.max_rows {
            self.rejected_up_to.insert(key.0, key_use.issued_secs);
            return ClaimResult::Full;
        }
        *count += 1;
        let row = Row {
            state: CallState::Running,
            expires_at: key_use.expires_at,
            digest: key_use.digest,
        };
        self.rows.insert(key.clone(), row);
        ClaimResult::Run
    }

    /// The state of `key`, without claiming it; `None` for an unknown key.
    pub fn get(&self, key: &AccountKey, digest: [u8; 32]) -> Option<ClaimResult> {
        let row = self.rows.get(key)?;
        if row.digest != digest {
            return Some(ClaimResult::Mismatch);
        }
        Some(match &row.state {
            CallState::Running => ClaimResult::InProgress,
            CallState::Ran(Some(response)) => ClaimResult::Replay(response.clone()),
            CallState::Ran(None) => ClaimResult::Discarded,
            CallState::Unknown => ClaimResult::Unknown,
            CallState::Rejected(code) => ClaimResult::Rejected(*code),
        })
    }

    /// Records that the call was given up before it was sent: it never runs under this key.
    pub fn reject(&mut self, key: &AccountKey, code: Code) {
        if let Some(row) = self.rows.get_mut(key) {
            row.state = CallState::Rejected(code);
        }
    }

    /// Records that the call ran, and stores its response if it fits.
    pub fn complete(&mut self, key: &AccountKey, response: Option<StoredResponse>) {
        let Some(row) = self.rows.get_mut(key) else {
            return;
        };
        let response = response.filter(|a| a.body.len() <= self.max_bytes);
        if let Some(response) = &response {
            self.bytes += response.body.len();
            self.stored.push_back(key.clone());
        }
        row.state = CallState::Ran(response);
        self.discard_oldest();
    }

    /// Records that the call may or may not have run.
    pub fn set_unknown(&mut self, key: &AccountKey) {
        if let Some(row) = self.rows.get_mut(key) {
            row.state = CallState::Unknown;
        }
    }

    fn discard_oldest(&mut self) {
        while self.bytes > self.max_bytes {
            let Some(oldest) = self.stored.pop_front() else {
                return;
            };
            if let Some(row) = self.rows.get_mut(&oldest) {
                discard_response(row, &mut self.bytes);
            }
        }
    }

    /// Removes keys whose prefix has expired.
    pub fn remove_expired(&mut self, now: Instant) {
        let (bytes, counts) = (&mut self.bytes, &mut self.counts);
        self.rows.retain(|key, row| {
            let keep = row.expires_at > now || row.state == CallState::Running;
            if !keep {
                discard_response(row, bytes);
                decrement_count(counts, key.0);
            }
            keep
        });
        let rows = &self.rows;
        self.stored.retain(|key| rows.contains_key(key));
    }

    /// Number of keys in the table.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Bytes of stored response bodies.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}

fn discard_response(row: &mut Row, bytes: &mut usize) {
    if let CallState::Ran(response) = &mut row.state
        && let Some(response) = response.take()
    {
        *bytes -= response.body.len();
    }
}

fn decrement_count(counts: &mut BTreeMap<AccountId, usize>, account: AccountId) {
    if let Some(count) = counts.get_mut(&account) {
        *count -= 1;
        if *count == 0 {
            counts.remove(&account);
        }
    }
}

/// Time for which a key must be remembered: the lifetime of its prefix and the longest deadline.
pub fn retention(ttl: Duration, deadline: Duration) -> Duration {
    ttl + deadline
}
