//! Selects the pools for an account's requests, preferring the entry's own region.
//!
//! The link between regions is slow and billed by volume. An entry asks a pool of another region only
//! if slots idle there and none in its own region, if its own region has no server for the account,
//! or if the account has received clearly less service than those that wait there. The traffic is
//! limited in bytes per second.

use std::time::Instant;

use smallvec::SmallVec;

use crate::blackboard::{Blackboard, Policy};
use crate::fairness::CostKey;
use crate::ident::{AccountId, PoolId, ServiceId};
use crate::wire::message::PoolState;

/// Lag behind a pool of another region from which an account uses it, in rounds of the pool's slots.
///
/// Totals of fairly served accounts differ by up to one round, and counters are some hundred
/// milliseconds old; with a smaller margin, noise would send calls to other regions.
const MARGIN_ROUNDS: f64 = 2.0;
/// Fraction of the budget reserved for accounts without a server in this region.
const RESERVED_SHARE: f64 = 0.5;

/// Selected pools.
type Pools = SmallVec<[PoolId; 4]>;

/// Token bucket of bytes that this entry may exchange with other regions.
#[derive(Debug, Clone, Copy)]
pub struct CrossRegionBudget {
    available: f64,
    refilled_at: Instant,
    /// Bytes of requests and responses exchanged since the start.
    pub total_bytes: u64,
}

impl CrossRegionBudget {
    /// Creates a full bucket for `rate` bytes per second.
    pub fn new(rate: f64, now: Instant) -> Self {
        Self {
            available: rate,
            refilled_at: now,
            total_bytes: 0,
        }
    }

    /// Refills the bucket for the time since the last call, up to the bytes of one second.
    pub fn refill(&mut self, rate: f64, now: Instant) {
        let elapsed = now.duration_since(self.refilled_at).as_secs_f64();
        self.available = (self.available + rate * elapsed).min(rate);
        self.refilled_at = now;
    }

    /// Takes bytes from the bucket; it may go negative and must then refill first.
    fn spend(&mut self, bytes: usize) {
        self.available -= bytes as f64;
        self.total_bytes += bytes as u64;
    }
}

/// Counts bytes of a call that runs in `pool`, if that is in another region.
pub fn spend(board: &mut Blackboard, pool: PoolId, bytes: usize) {
    if is_remote(board, pool) {
        board.cross_region.spend(bytes);
    }
}

fn is_remote(board: &Blackboard, pool: PoolId) -> bool {
    let local = board.members.own().region;
    board
        .config
        .pools
        .get(&pool)
        .is_some_and(|p| p.region != local)
}

/// Selects the pools to ask for `account`.
pub fn select_pools(
    board: &Blackboard,
    service: ServiceId,
    account: AccountId,
    pools: &[PoolId],
) -> Pools {
    let open = pools
        .iter()
        .copied()
        .filter(|p| board.config.can_use_pool(account, *p));
    let (local, remote): (Pools, Pools) = open.partition(|p| !is_remote(board, *p));
    if board.tuning.policy == Policy::Static {
        return local.into_iter().chain(remote).collect();
    }
    let rate = board.tuning.cross_bytes;
    if local.is_empty() {
        return if board.cross_region.available > 0.0 {
            remote
        } else {
            local
        };
    }
    if board.cross_region.available <= RESERVED_SHARE * rate {
        return local;
    }
    let idle = |p: &PoolId| pool_state(board, *p).is_some_and(|s| s.idle > 0);
    let idle_locally = local.iter().any(idle);
    let useful = remote
        .into_iter()
        .filter(|p| (!idle_locally && idle(p)) || is_behind(board, service, account, *p));
    local.iter().copied().chain(useful).collect()
}

/// Returns true if `account` has received clearly less service than those that wait for `pool`.
///
/// All callers of an account may be in a region with few servers. Without this rule, the account
/// would get a share of that region only, not of the fleet.
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
    state.min_service > total + margin
}

fn pool_state(board: &Blackboard, pool: PoolId) -> Option<PoolState> {
    let (owner, _) = board.sessions.get(&pool)?.owner?;
    board.reports.pool_state(pool, owner)
}
