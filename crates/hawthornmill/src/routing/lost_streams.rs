//! Streams that clients take up and of which no instance has a record, since those that carried them were killed.
//!
//! They go on before requests of others, as begun streams do. A client may name streams that never began, so an account has no
//! more of them than may have run for it: of those that it only names, its part at one instance; of those whose callers were
//! seen to count down, its part at all, since an account may come in by one instance alone.

use std::collections::BTreeMap;

use super::stream_versions::{MAX_PREFERENCES, StreamKey};
use crate::ident::AccountId;

/// Even parts of its account that go on at an instance: an account's streams are spread unevenly, and come back at several.
const MAX_PARTS: usize = 2;

/// Who shares the servers of a service.
#[derive(Debug, Clone, Copy)]
pub struct Sharers {
    /// Requests that the ready servers run concurrently.
    pub slots: usize,
    /// Accounts that have requested something lately.
    pub accounts: usize,
    /// Instances, including this one.
    pub instances: usize,
}

impl Sharers {
    /// Returns who shares the servers where all requests of an account come in by one instance.
    #[must_use]
    pub const fn at_one_instance(self) -> Self {
        Self {
            instances: 1,
            ..self
        }
    }
}

/// Streams without a record that went on before requests of others since the start of the process, by account.
#[derive(Debug, Clone, Default)]
pub struct LostStreams {
    named: BTreeMap<AccountId, BTreeMap<StreamKey, u8>>,
}

impl LostStreams {
    /// Returns whether a stream of `account` may go on before requests of others once more.
    pub fn take_preference(
        &mut self,
        account: AccountId,
        key: StreamKey,
        sharers: Sharers,
    ) -> bool {
        let streams = self.named.entry(account).or_default();
        let is_known = streams.contains_key(&key);
        let count = streams.len();
        let accounts = sharers.accounts.max(self.named.len());
        let parts = accounts.max(1) * sharers.instances.max(1);
        let most = (MAX_PARTS * sharers.slots / parts).max(1);
        if !is_known && count >= most {
            return false;
        }
        let streams = self.named.entry(account).or_default();
        let preferences = streams.entry(key).or_default();
        *preferences = preferences.saturating_add(1);
        *preferences <= MAX_PREFERENCES
    }
}
