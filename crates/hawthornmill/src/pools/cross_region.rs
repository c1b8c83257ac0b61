//! Which pools an account's requests may use: those of its entry's region first.
//!
//! The link between regions is slow and billed by volume. An entry asks a pool of another region only
//! when slots idle there and none does at home, when home has no open server, or when its account
//! has received clearly less than those that wait there. What crosses is bounded in bytes a second.

use std::time::Instant;

use smallvec::SmallVec;

use crate::blackboard::{Blackboard, Policy};
use crate::fairness::CostKey;
use crate::ident::{AccountId, PoolId, ServiceId};
use crate::wire::message::PoolState;

/// Rounds of a pool's slots by which an account must lag behind it to ask from another region.
///
/// Totals of accounts that are served fairly differ by up to one round, and counters are some
/// hundred milliseconds old; a smaller margin would send calls across for noise.
const MARGIN_ROUNDS: f64 = 2.0;
/// Part of the allowance that is left to accounts that have no server at home.
const RESERVED_SHARE: f64 = 0.5;

/// Pools to ask.
type Pools = SmallVec<[PoolId; 4]>;

/// Bytes of calls that this entry may still send to other regions.
#[derive(Debug, Clone, Copy)]
pub struct CrossRegionBudget {
    available: f64,
    filled: Instant,
    /// Bytes of calls that crossed since the start, requests and answers.
    pub total_bytes: u64,
}

impl CrossRegionBudget {
    /// The full allowance of one second.
    pub fn new(rate: f64, now: Instant) -> Self {
        Self {
            available: rate,
            filled: now,
            total_bytes: 0,
        }
    }

    /// Adds what the time since the last call allows; at most what a second allows is saved up.
    pub fn refill(&mut self, rate: f64, now: Instant) {
        let time = now.duration_since(self.filled).as_secs_f64();
        self.available = (self.available + rate * time).min(rate);
        self.filled = now;
    }

    /// Takes bytes that cross; a debt is paid off before anything more may cross.
    fn spend(&mut self, bytes: usize) {
        self.available -= bytes as f64;
        self.total_bytes += bytes as u64;
    }
}

/// Counts bytes of a call that runs in `pool`, if they cross to another region.
pub fn spend(board: &mut Blackboard, pool: PoolId, bytes: usize) {
    if is_remote(board, pool) {
        board.cross_region.spend(bytes);
    }
}

fn is_remote(board: &Blackboard, pool: PoolId) -> bool {
    let home = board.members.own().region;
    board
        .config
        .pools
        .get(&pool)
        .is_some_and(|p| p.region != home)
}

/// The pools to ask for `account`.
pub fn select_pools(
    board: &Blackboard,
    service: ServiceId,
    account: AccountId,
    pools: &[PoolId],
) -> Pools {
    let open = pools
        .iter()
        .copied()
        .filter(|p| board.config.pool_open(account, *p));
    let (home, away): (Pools, Pools) = open.partition(|p| !is_remote(board, *p));
    if board.tuning.policy == Policy::Static {
        return home.into_iter().chain(away).collect();
    }
    let allowance = board.tuning.cross_bytes;
    if home.is_empty() {
        return if board.cross_region.available > 0.0 {
            away
        } else {
            home
        };
    }
    if board.cross_region.available <= RESERVED_SHARE * allowance {
        return home;
    }
    let idle = |p: &PoolId| pool_state(board, *p).is_some_and(|s| s.idle > 0);
    let idle_home = home.iter().any(idle);
    let wanted = away
        .into_iter()
        .filter(|p| (!idle_home && idle(p)) || is_behind(board, service, account, *p));
    home.iter().copied().chain(wanted).collect()
}

/// Tells whether `account` has received clearly less than those that wait for `pool`.
///
/// Callers of one region may all be confined to a few servers there. Without this an account would
/// get the share of its region, not of the fleet.
fn is_behind(board: &Blackboard, service: ServiceId, account: AccountId, pool: PoolId) -> bool {
    let Some(state) = pool_state(board, pool) else {
        return false;
    };
    let config = &board.config;
    let slots: f64 = config.pools[&pool]
        .servers
        .iter()
        .map(|s| f64::from(config.servers[s].slots))
        .sum();
    let margin = MARGIN_ROUNDS * slots * config.services[&service].estimate;
    let total = board.ledger.total(CostKey { service, account });
    state.level > total + margin
}

fn pool_state(board: &Blackboard, pool: PoolId) -> Option<PoolState> {
    let (owner, _) = board.sessions.get(&pool)?.owner?;
    board.reports.pool_state(pool, owner)
}
