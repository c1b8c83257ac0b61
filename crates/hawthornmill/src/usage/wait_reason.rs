//! Why a call waited or was rejected, as far as its entry can tell.
//!
//! A [`WaitTracker`] reads the board on each tick and records when it last observed each condition
//! that keeps calls waiting. When a call ends, the conditions observed during its wait give the
//! reason. No scheduling decision depends on it.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::blackboard::Blackboard;
use crate::codes::Code;
use crate::ident::{AccountId, Incarnation, InstanceId, PoolId, RegionId, ServiceId};

/// Shorter waits are the round trip of a grant and get no reason.
pub const MIN_WAIT: Duration = Duration::from_millis(5);

/// Why a call waited or was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// It did not wait.
    None,
    /// Every slot that the account may use was busy.
    #[serde(rename = "slots")]
    SlotsBusy,
    /// Slots were free only on servers that no grant allows the account to use.
    #[serde(rename = "confined")]
    SelectorLimit,
    /// A pool that the account may use had no owner, or a new one.
    OwnerChange,
    /// Another region with servers for the account was unreachable.
    #[serde(rename = "region_cut")]
    RegionUnreachable,
    /// The entry had been paused and dispatched nothing until its view of the fleet was confirmed.
    #[serde(rename = "view")]
    ViewUnconfirmed,
    /// The account's queue at the entry was full, or too long for the deadline.
    QueueFull,
    /// The entry held its maximum number of requests.
    InstanceFull,
    /// A backend server could not be reached or failed during the call.
    #[serde(rename = "server")]
    ServerFailed,
    /// The call itself was invalid: its body or its key.
    Rejected,
}

impl Reason {
    /// The reason of a rejection that is independent of waiting.
    pub fn from_code(code: Code) -> Option<Self> {
        match code {
            Code::QueueFull | Code::QueueTooLong => Some(Self::QueueFull),
            Code::InstanceFull | Code::KeyTableFull => Some(Self::InstanceFull),
            Code::BodyTooLarge
            | Code::BadHeader
            | Code::KeyRequired
            | Code::BadKey
            | Code::KeyExpired
            | Code::KeyRejected
            | Code::HomeUnreachable => Some(Self::Rejected),
            Code::UpstreamFailed | Code::UpstreamUnreachable | Code::ResponseMismatch => {
                Some(Self::ServerFailed)
            }
            _ => None,
        }
    }
}

type Owner = (InstanceId, Incarnation);

/// When an entry last observed each condition that keeps calls waiting.
#[derive(Debug, Default)]
pub struct WaitTracker {
    owners: BTreeMap<PoolId, Owner>,
    /// Until when calls of a pool may have waited because of a change of its owner.
    owner_changed: BTreeMap<PoolId, Instant>,
    last_stale: Option<Instant>,
    last_unreachable: BTreeMap<RegionId, Instant>,
}

impl WaitTracker {
    /// Records the present state of the board.
    pub fn observe(&mut self, board: &Blackboard, now: Instant) {
        if board.stale_since.is_some() {
            self.last_stale = Some(now);
        }
        for region in unreachable_regions(board) {
            self.last_unreachable.insert(region, now);
        }
        for (pool, session) in &board.sessions {
            let known = self.owners.get(pool).copied();
            let owner_unreachable = session.owner.is_none_or(|(id, _)| board.is_unreachable(id));
            // The first owner that a process learns of is not a change.
            let changed = known.is_some() && known != session.owner;
            if owner_unreachable || changed {
                // A new owner first collects the state of the entries and issues no grants meanwhile.
                self.owner_changed.insert(*pool, now + board.tuning.rebuild);
            }
            if let Some(owner) = session.owner {
                self.owners.insert(*pool, owner);
            }
        }
    }

    /// Why a call of `account` waited from `arrived` until `now`.
    pub fn reason(
        &self,
        board: &Blackboard,
        service: ServiceId,
        account: AccountId,
        arrived: Instant,
        now: Instant,
    ) -> Reason {
        if now.duration_since(arrived) <= MIN_WAIT {
            return Reason::None;
        }
        let observed = |at: Option<Instant>| at.is_some_and(|at| at >= arrived);
        if observed(self.last_stale) {
            return Reason::ViewUnconfirmed;
        }
        let pools = board.config.pools_by_service.get(&service);
        let usable: SmallVec<[PoolId; 4]> = pools
            .into_iter()
            .flatten()
            .copied()
            .filter(|p| board.config.can_use_pool(account, *p))
            .collect();
        // An unreachable region also changes the owners of its pools, so it is checked first.
        let is_unreachable = |p: &PoolId| {
            observed(
                self.last_unreachable
                    .get(&board.config.pools[p].region)
                    .copied(),
            )
        };
        if usable.iter().any(is_unreachable) {
            return Reason::RegionUnreachable;
        }
        if usable
            .iter()
            .any(|p| observed(self.owner_changed.get(p).copied()))
        {
            return Reason::OwnerChange;
        }
        if has_free_slots_elsewhere(board, service, account) {
            return Reason::SelectorLimit;
        }
        Reason::SlotsBusy
    }
}

/// Other regions with known instances, none of which is live.
fn unreachable_regions(board: &Blackboard) -> impl Iterator<Item = RegionId> {
    let own = board.members.own().region;
    let mut any_live = BTreeMap::new();
    for member in board.members.map.values().filter(|m| m.region != own) {
        *any_live.entry(member.region).or_insert(false) |= member.live;
    }
    any_live
        .into_iter()
        .filter(|(_, live)| !live)
        .map(|(region, _)| region)
}

/// Returns whether a pool with servers that `account` may not use has free slots.
fn has_free_slots_elsewhere(board: &Blackboard, service: ServiceId, account: AccountId) -> bool {
    let config = &board.config;
    let closed = |pool: &PoolId| {
        let servers = config.pools.get(pool).map(|p| &p.servers);
        servers
            .into_iter()
            .flatten()
            .any(|s| config.share(account, *s).is_none())
    };
    let idle = |pool: &PoolId| {
        let owner = board.sessions.get(pool).and_then(|l| l.owner);
        owner
            .and_then(|(id, _)| board.reports.pool_state(*pool, id))
            .is_some_and(|s| s.idle > 0)
    };
    let pools = config.pools_by_service.get(&service);
    pools.into_iter().flatten().any(|p| closed(p) && idle(p))
}
