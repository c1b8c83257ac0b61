//! Why a call waited or was refused, as far as its entry can tell.
//!
//! The watch reads the board on each tick and remembers when it last saw what keeps calls waiting;
//! a call that ends asks it about its own time of waiting. No decision depends on it.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::blackboard::Blackboard;
use crate::codes::Code;
use crate::ident::{AccountId, Incarnation, InstanceId, PoolId, RegionId, ServiceId};

/// Waiting times up to this one are the round trip of a grant and need no reason.
pub const NO_WAIT: Duration = Duration::from_millis(5);

/// Why a call waited or was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// It did not wait.
    None,
    /// Every slot that is open to the account was taken.
    #[serde(rename = "slots")]
    SlotsBusy,
    /// Slots idled on servers that no grant opens to the account.
    #[serde(rename = "confined")]
    SelectorLimit,
    /// A pool that is open to the account had no owner, or a new one.
    OwnerChange,
    /// Another region with servers for the account was out of reach.
    #[serde(rename = "region_cut")]
    RegionUnreachable,
    /// The entry was paused and dispatched nothing until its view was confirmed.
    #[serde(rename = "view")]
    ViewUnconfirmed,
    /// The account's queue at the entry was full, or too long for the deadline.
    QueueFull,
    /// The entry held as much as it may.
    InstanceFull,
    /// A backend server could not be reached or broke off.
    #[serde(rename = "server")]
    ServerFailed,
    /// The call itself could not be accepted: its body or its key.
    Rejected,
}

impl Reason {
    /// The reason of a refusal that has nothing to do with waiting.
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

/// When an entry last saw what keeps calls waiting.
#[derive(Debug, Default)]
pub struct WaitTracker {
    owners: BTreeMap<PoolId, Owner>,
    unsettled: BTreeMap<PoolId, Instant>,
    stale: Option<Instant>,
    cut: BTreeMap<RegionId, Instant>,
}

impl WaitTracker {
    /// Remembers what the board shows now.
    pub fn observe(&mut self, board: &Blackboard, now: Instant) {
        if board.stale_since.is_some() {
            self.stale = Some(now);
        }
        for region in cut_regions(board) {
            self.cut.insert(region, now);
        }
        for (pool, link) in &board.sessions {
            let known = self.owners.get(pool).copied();
            let silent = link.owner.is_none_or(|(id, _)| board.is_unreachable(id));
            // The first owner that a process hears of is no change.
            let changed = known.is_some() && known != link.owner;
            if silent || changed {
                // A new owner first collects what entries hold and grants nothing meanwhile.
                self.unsettled.insert(*pool, now + board.tuning.rebuild);
            }
            if let Some(owner) = link.owner {
                self.owners.insert(*pool, owner);
            }
        }
    }

    /// Why a call of `account` that arrived at `arrived` waited until `now`.
    pub fn reason(
        &self,
        board: &Blackboard,
        service: ServiceId,
        account: AccountId,
        arrived: Instant,
        now: Instant,
    ) -> Reason {
        if now.duration_since(arrived) <= NO_WAIT {
            return Reason::None;
        }
        let during = |at: Option<Instant>| at.is_some_and(|at| at >= arrived);
        if during(self.stale) {
            return Reason::ViewUnconfirmed;
        }
        let pools = board.config.pools_by_service.get(&service);
        let open: SmallVec<[PoolId; 4]> = pools
            .into_iter()
            .flatten()
            .copied()
            .filter(|p| board.config.can_use_pool(account, *p))
            .collect();
        // A cut also takes the owners of the pools behind it away, so it is looked for first.
        let is_cut = |p: &PoolId| during(self.cut.get(&board.config.pools[p].region).copied());
        if open.iter().any(is_cut) {
            return Reason::RegionUnreachable;
        }
        if open.iter().any(|p| during(self.unsettled.get(p).copied())) {
            return Reason::OwnerChange;
        }
        if is_confined(board, service, account) {
            return Reason::SelectorLimit;
        }
        Reason::SlotsBusy
    }
}

/// Other regions whose instances are known and none of them is heard.
fn cut_regions(board: &Blackboard) -> impl Iterator<Item = RegionId> {
    let own = board.members.own().region;
    let mut heard = BTreeMap::new();
    for member in board.members.map.values().filter(|m| m.region != own) {
        *heard.entry(member.region).or_insert(false) |= member.live;
    }
    heard
        .into_iter()
        .filter(|(_, live)| !live)
        .map(|(region, _)| region)
}

/// Tells whether slots idle in a pool that has servers closed to `account`.
fn is_confined(board: &Blackboard, service: ServiceId, account: AccountId) -> bool {
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
