//! What each account asked for and got in the last seconds, over the whole fleet.
//!
//! An account's cost is its tokens read plus twice its tokens generated. While capacity is short,
//! the accounts share it max-min: whoever asks for less than an even share gets all of it, and the
//! rest is divided evenly among the others. The shares are worked out here from what this instance
//! counted and what the others last said, so no instance has to be asked before a request goes.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::ident::{AccountId, InstanceId};

/// Time over which costs are summed; the platform's contract for shares uses the same.
pub const WINDOW: Duration = Duration::from_secs(4);
/// Parts into which the window is divided.
const PARTS: u64 = 8;
/// Time for which a peer's last word counts.
const PEER_LIFE: Duration = Duration::from_millis(2_500);

/// Costs of one account within the window, in tokens.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct Sums {
    /// Cost of requests that came.
    pub asked: f32,
    /// Cost of requests that were sent to a server.
    pub got: f32,
}

/// How an account stands to its share, the ones to serve first in front.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
pub enum Standing {
    /// It has had less than its part of the capacity that operators promise.
    #[default]
    Owed,
    /// It has had that, but less than an even part of what the servers yield.
    Below,
    /// It has had more than an even part.
    Above,
}

/// How an account stands, and how far it is ahead.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Share {
    /// Whose turn it is.
    pub standing: Standing,
    /// What it has had, in times of an even part of what the servers yield.
    pub lead: f64,
}

impl Default for Share {
    fn default() -> Self {
        Self {
            standing: Standing::Owed,
            lead: 1.0,
        }
    }
}

/// The share of each account, from its sums over the fleet and the capacity in tokens a window.
pub fn standings(fleet: &BTreeMap<AccountId, Sums>, promised: f64) -> BTreeMap<AccountId, Share> {
    let asked = || fleet.values().map(|s| f64::from(s.asked));
    let yielded: f64 = fleet.values().map(|s| f64::from(s.got)).sum();
    let owed = level(asked(), promised);
    let even = level(asked(), yielded.max(promised));
    let share = |sums: &Sums| {
        let got = f64::from(sums.got);
        let standing = match got {
            got if got < owed => Standing::Owed,
            got if got < even => Standing::Below,
            _ => Standing::Above,
        };
        let lead = if even.is_finite() { got / even } else { 1.0 };
        Share { standing, lead }
    };
    fleet.iter().map(|(id, sums)| (*id, share(sums))).collect()
}

#[derive(Debug, Clone, Default)]
struct Ring {
    parts: [Sums; PARTS as usize],
    newest: u64,
}

impl Ring {
    fn at(&mut self, part: u64) -> &mut Sums {
        let first = (self.newest + 1).max((part + 1).saturating_sub(PARTS));
        for stale in first..=part {
            self.parts[(stale % PARTS) as usize] = Sums::default();
        }
        self.newest = self.newest.max(part);
        &mut self.parts[(part % PARTS) as usize]
    }

    fn sum(&mut self, part: u64) -> Sums {
        let _current = self.at(part);
        self.parts.iter().fold(Sums::default(), |sum, p| Sums {
            asked: sum.asked + p.asked,
            got: sum.got + p.got,
        })
    }
}

/// Costs by account, here and elsewhere.
#[derive(Debug, Clone)]
pub struct Usage {
    start: Instant,
    own: BTreeMap<AccountId, Ring>,
    peers: BTreeMap<InstanceId, (Instant, Vec<(AccountId, Sums)>)>,
}

impl Usage {
    /// Nothing asked, nothing given.
    pub const fn new(now: Instant) -> Self {
        Self {
            start: now,
            own: BTreeMap::new(),
            peers: BTreeMap::new(),
        }
    }

    fn part(&self, now: Instant) -> u64 {
        let length = WINDOW.as_millis() as u64 / PARTS;
        now.duration_since(self.start).as_millis() as u64 / length
    }

    /// A request of `cost` came.
    pub fn asked(&mut self, account: AccountId, cost: f64, now: Instant) {
        let part = self.part(now);
        self.own.entry(account).or_default().at(part).asked += cost as f32;
    }

    /// A request of `cost` was sent to a server.
    pub fn got(&mut self, account: AccountId, cost: f64, now: Instant) {
        let part = self.part(now);
        self.own.entry(account).or_default().at(part).got += cost as f32;
    }

    /// This instance's sums, for the others.
    pub fn own(&mut self, now: Instant) -> Vec<(AccountId, Sums)> {
        let part = self.part(now);
        let sums = self.own.iter_mut().map(|(id, ring)| (*id, ring.sum(part)));
        sums.filter(|(_, s)| s.asked > 0.0).collect()
    }

    /// Sums of this instance and the `members` of its failure domain.
    pub fn sum(&mut self, members: &[InstanceId], now: Instant) -> Vec<(AccountId, Sums)> {
        let mut all: BTreeMap<AccountId, Sums> = self.own(now).into_iter().collect();
        let peers = members.iter().filter_map(|id| self.peers.get(id));
        for (account, sums) in peers.flat_map(|(_, list)| list) {
            let total = all.entry(*account).or_default();
            total.asked += sums.asked;
            total.got += sums.got;
        }
        all.into_iter().collect()
    }

    /// Takes a peer's sums in place of what it said before.
    pub fn hear(&mut self, peer: InstanceId, sums: Vec<(AccountId, Sums)>, now: Instant) {
        self.peers.insert(peer, (now, sums));
    }

    /// Sums over the fleet.
    pub fn fleet(&mut self, now: Instant) -> BTreeMap<AccountId, Sums> {
        self.peers
            .retain(|_, (at, _)| now.duration_since(*at) < PEER_LIFE);
        let mut all: BTreeMap<AccountId, Sums> = self.own(now).into_iter().collect();
        for (account, sums) in self.peers.values().flat_map(|(_, list)| list) {
            let total = all.entry(*account).or_default();
            total.asked += sums.asked;
            total.got += sums.got;
        }
        all
    }
}

/// The most that an account gets when `capacity` is shared max-min among those that `asked`.
///
/// Infinite when everybody can have all of it.
pub fn level(asked: impl Iterator<Item = f64>, capacity: f64) -> f64 {
    let mut asked: Vec<f64> = asked.collect();
    asked.sort_by(f64::total_cmp);
    let mut left = capacity;
    for (index, amount) in asked.iter().enumerate() {
        let even = left / (asked.len() - index) as f64;
        if *amount > even {
            return even;
        }
        left -= amount;
    }
    f64::INFINITY
}
