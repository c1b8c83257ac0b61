//! What waits at this entry, by account.

use std::collections::BTreeMap;

use crate::ident::AccountId;

/// Waiting requests and the bytes of their bodies.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Backlog {
    /// Requests.
    pub count: usize,
    /// Bytes of their bodies.
    pub bytes: usize,
}

/// Backlog of every account that waits, and of all together.
///
/// The sums are kept with every change, so that an arrival costs the same however long the queues
/// are.
#[derive(Debug, Clone, Default)]
pub struct Backlogs {
    accounts: BTreeMap<AccountId, Backlog>,
    total: Backlog,
}

impl Backlogs {
    /// Backlog of one account over all services.
    pub fn of(&self, account: AccountId) -> Backlog {
        self.accounts.get(&account).copied().unwrap_or_default()
    }

    /// Backlog of all accounts.
    pub const fn total(&self) -> Backlog {
        self.total
    }

    /// Counts a request of `bytes` in.
    pub fn add(&mut self, account: AccountId, bytes: usize) {
        let own = self.accounts.entry(account).or_default();
        for backlog in [own, &mut self.total] {
            backlog.count += 1;
            backlog.bytes += bytes;
        }
    }

    /// Counts a request of `bytes` out.
    pub fn remove(&mut self, account: AccountId, bytes: usize) {
        let Some(own) = self.accounts.get_mut(&account) else {
            return;
        };
        for backlog in [&mut *own, &mut self.total] {
            backlog.count -= 1;
            backlog.bytes -= bytes;
        }
        if own.count == 0 {
            self.accounts.remove(&account);
        }
    }

    /// The account with the largest backlog by `size`.
    pub fn largest(&self, size: impl Fn(Backlog) -> usize) -> Option<(AccountId, Backlog)> {
        self.accounts
            .iter()
            .map(|(account, backlog)| (*account, *backlog))
            .max_by_key(|(_, backlog)| size(*backlog))
    }
}
