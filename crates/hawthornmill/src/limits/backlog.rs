//! Waiting requests at this entry, by account.

use std::collections::BTreeMap;

use crate::ident::AccountId;

/// Waiting requests and the bytes of their bodies.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Backlog {
    /// Number of requests.
    pub count: usize,
    /// Total size of their bodies.
    pub bytes: usize,
}

/// Backlog of each account with waiting requests, and the total.
///
/// The sums are updated with every change, so that the cost of an arrival doesn't depend on the
/// length of the queues.
#[derive(Debug, Clone, Default)]
pub struct Backlogs {
    accounts: BTreeMap<AccountId, Backlog>,
    total: Backlog,
}

impl Backlogs {
    /// Backlog of one account over all services.
    pub fn account(&self, account: AccountId) -> Backlog {
        self.accounts.get(&account).copied().unwrap_or_default()
    }

    /// Backlog of all accounts.
    pub const fn total(&self) -> Backlog {
        self.total
    }

    /// Adds a request of `bytes`.
    pub fn add(&mut self, account: AccountId, bytes: usize) {
        let own = self.accounts.entry(account).or_default();
        for backlog in [own, &mut self.total] {
            backlog.count += 1;
            backlog.bytes += bytes;
        }
    }

    /// Removes a request of `bytes`.
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

    /// The account with the largest backlog as measured by `size`.
    pub fn largest(&self, size: impl Fn(Backlog) -> usize) -> Option<(AccountId, Backlog)> {
        self.accounts
            .iter()
            .map(|(account, backlog)| (*account, *backlog))
            .max_by_key(|(_, backlog)| size(*backlog))
    }
}
