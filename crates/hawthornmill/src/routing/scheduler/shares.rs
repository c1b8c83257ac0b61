//! Fair shares of the accounts, and what this instance may send of those that request more.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::Scheduler;
use crate::ident::AccountId;
use crate::routing::credit::{Credit, ShareOfDemand};
use crate::routing::request::Request;
use crate::routing::usage::{
    AccountUsage, DECAY_TIME, FairShare, ShareStatus, fair_shares, share_levels,
};

/// Interval at which fair shares are recomputed.
const SHARE_INTERVAL: Duration = Duration::from_millis(200);

impl Scheduler {
    pub(super) fn status(&self, request: &Request) -> ShareStatus {
        self.share_of(request).status
    }

    /// Returns the fair share of the request's account.
    ///
    /// A stream that has begun goes on whatever its account has used since; what it uses is charged like any request.
    pub fn share_of(&self, request: &Request) -> FairShare {
        let Some(account) = request.account else {
            return FairShare::default();
        };
        let mut share = self.shares.get(&account).copied().unwrap_or_default();
        if let Some(credit) = self.credits.get(&account) {
            share.is_limited = true;
            share.status = if credit.is_positive() {
                ShareStatus::BelowGuarantee
            } else {
                ShareStatus::AboveFairShare
            };
        }
        if request.goes_on {
            share.status = ShareStatus::BelowGuarantee;
        }
        share
    }

    /// Returns the number of accounts that have requested something of the fleet lately.
    pub fn active_accounts(&self) -> usize {
        self.fleet_usage.len()
    }

    pub(super) fn usage_of(&self, request: &Request) -> AccountUsage {
        let entry = request.account.and_then(|a| self.fleet_usage.get(&a));
        entry.copied().unwrap_or_default()
    }

    /// Recomputes the fair shares of the accounts, and their credit here.
    pub(super) fn update_shares(&mut self, now: Instant) {
        let elapsed = self
            .shares_updated
            .map_or(Duration::MAX, |at| now.duration_since(at));
        if elapsed < SHARE_INTERVAL {
            return;
        }
        self.shares_updated = Some(now);
        self.shares.clear();
        if self.token_rate <= 0.0 {
            self.credits.clear();
            return;
        }
        self.fleet_usage = self.account_usage.fleet_totals(now);
        let guaranteed = self.token_rate * DECAY_TIME.as_secs_f64();
        self.share_levels = share_levels(&self.fleet_usage, guaranteed);
        self.shares = fair_shares(&self.fleet_usage, self.share_levels);
        self.refill_credits(elapsed, now);
    }

    /// Adds credit for `elapsed` to the accounts that request more than their level; the others need none.
    fn refill_credits(&mut self, elapsed: Duration, now: Instant) {
        let local: BTreeMap<AccountId, AccountUsage> =
            self.account_usage.local(now).into_iter().collect();
        let level = self.share_levels.fair;
        let mut credits = BTreeMap::new();
        for (id, fleet) in &self.fleet_usage {
            if f64::from(fleet.requested) <= level {
                continue;
            }
            let share = ShareOfDemand {
                level,
                fleet: *fleet,
                local: local.get(id).copied().unwrap_or_default(),
            };
            let mut credit = self.credits.get(id).copied();
            if let Some(credit) = &mut credit {
                credit.refill(&share, elapsed);
            }
            credits.insert(*id, credit.unwrap_or_else(|| Credit::new(&share)));
        }
        self.credits = credits;
    }
}
