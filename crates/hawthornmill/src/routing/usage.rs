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

/// Time in which a cost counts for a third of what it did.
///
/// Costs fade, since an account whose costs leave a window all at once gets nothing until then, and then too much.
pub const FADE: Duration = Duration::from_secs(1);
/// Cost, in tokens, under which an account is no longer told of.
const LEAST: f32 = 1.0;
/// Time for which a peer's last word counts.
const PEER_LIFE: Duration = Duration::from_millis(2_500);

/// Times of what the servers were seen to yield that accounts may share: with just as much for everybody, what idles
/// would never be found.
const GROWTH: f64 = 1.2;

/// Costs of one account as they count now, in tokens.
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
    /// It has had that, but less than an even part of what the servers may yield.
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

/// One account's sums over the fleet, and what it asked here.
#[derive(Debug, Clone, Copy)]
struct Known {
    fleet: Sums,
    here: f32,
}

/// The shares of all accounts: as they were last worked out, and what was sent here since.
///
/// Load pattern: an account asks for many times its share at one instance. Judged by what was known a fraction of a
/// second ago, it would take all servers at once and then be turned away until that has faded.
#[derive(Debug, Clone, Default)]
pub struct Shares {
    owed: f64,
    even: f64,
    accounts: BTreeMap<AccountId, Known>,
}

impl Shares {
    /// Works the shares out from the sums over the fleet, those here, and the promised capacity in tokens a window.
    pub fn work_out(
        fleet: &BTreeMap<AccountId, Sums>,
        here: &[(AccountId, Sums)],
        promised: f64,
    ) -> Self {
        let asked = || fleet.values().map(|s| f64::from(s.asked));
        let yielded: f64 = fleet.values().map(|s| f64::from(s.got)).sum();
        let known = |fleet: &Sums| Known {
            fleet: *fleet,
            here: 0.0,
        };
        let mut shares = Self {
            owed: level(asked(), promised),
            even: level(asked(), (yielded * GROWTH).max(promised)),
            accounts: fleet.iter().map(|(id, s)| (*id, known(s))).collect(),
        };
        for (account, sums) in here {
            if let Some(known) = shares.accounts.get_mut(account) {
                known.here = sums.asked;
            }
        }
        shares
    }

    /// How `account` stands to its share; none when nothing is known of it.
    pub fn of(&self, account: AccountId) -> Option<Share> {
        let got = f64::from(self.accounts.get(&account)?.fleet.got);
        let standing = match got {
            got if got < self.owed => Standing::Owed,
            got if got < self.even => Standing::Below,
            _ => Standing::Above,
        };
        let lead = if self.even.is_finite() {
            got / self.even
        } else {
            1.0
        };
        Some(Share { standing, lead })
    }

    /// Sums of `account` over the fleet.
    pub fn sums(&self, account: AccountId) -> Option<Sums> {
        Some(self.accounts.get(&account)?.fleet)
    }

    /// A request of `cost` of `account` was sent from here, one of so many `instances`.
    ///
    /// The other instances meanwhile send theirs, each by its part of what the account asks; so one here stands for
    /// several, at most for an even part. Whoever asks for less than that is due all of it.
    pub fn sent(&mut self, account: AccountId, cost: f64, instances: usize) {
        let even = self.even;
        let Some(known) = self.accounts.get_mut(&account) else {
            return;
        };
        let asked = f64::from(known.fleet.asked);
        if asked < even {
            return;
        }
        let times = asked / f64::from(known.here).max(cost);
        let times = times.clamp(1.0, instances.max(1) as f64);
        known.fleet.got += (cost * times).min(even).max(cost) as f32;
    }
}

impl Sums {
    /// What is left of it after `time`.
    fn faded(self, time: Duration) -> Self {
        let left = (-time.as_secs_f32() / FADE.as_secs_f32()).exp();
        Self {
            asked: self.asked * left,
            got: self.got * left,
        }
    }

    fn add(&mut self, other: Self) {
        self.asked += other.asked;
        self.got += other.got;
    }
}

/// Sums at an instant.
#[derive(Debug, Clone, Copy)]
struct Fading {
    sums: Sums,
    at: Instant,
}

impl Fading {
    fn at(&self, now: Instant) -> Sums {
        self.sums.faded(now.saturating_duration_since(self.at))
    }

    fn add(&mut self, sums: Sums, now: Instant) {
        self.sums = self.at(now);
        self.at = now;
        self.sums.add(sums);
    }
}

/// Costs by account, here and elsewhere.
#[derive(Debug, Clone, Default)]
pub struct Usage {
    own: BTreeMap<AccountId, Fading>,
    peers: BTreeMap<InstanceId, (Instant, Vec<(AccountId, Sums)>)>,
}

impl Usage {
    fn count(&mut self, account: AccountId, sums: Sums, now: Instant) {
        let none = Fading {
            sums: Sums::default(),
            at: now,
        };
        self.own.entry(account).or_insert(none).add(sums, now);
    }

    /// A request of `cost` came.
    pub fn asked(&mut self, account: AccountId, cost: f64, now: Instant) {
        let asked = cost as f32;
        self.count(account, Sums { asked, got: 0.0 }, now);
    }

    /// A request of `cost` was sent to a server.
    pub fn got(&mut self, account: AccountId, cost: f64, now: Instant) {
        let got = cost as f32;
        self.count(account, Sums { asked: 0.0, got }, now);
    }

    /// This instance's sums, for the others.
    pub fn own(&mut self, now: Instant) -> Vec<(AccountId, Sums)> {
        self.own.retain(|_, f| f.at(now).asked >= LEAST);
        self.own.iter().map(|(id, f)| (*id, f.at(now))).collect()
    }

    /// Sums of this instance and the `members` of its failure domain.
    pub fn sum(&mut self, members: &[InstanceId], now: Instant) -> Vec<(AccountId, Sums)> {
        let mut all: BTreeMap<AccountId, Sums> = self.own(now).into_iter().collect();
        let peers = members.iter().filter_map(|id| self.peers.get(id));
        add_told(&mut all, peers, now);
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
        add_told(&mut all, self.peers.values(), now);
        all
    }
}

fn add_told<'a>(
    all: &mut BTreeMap<AccountId, Sums>,
    told: impl Iterator<Item = &'a (Instant, Vec<(AccountId, Sums)>)>,
    now: Instant,
) {
    for (at, list) in told {
        let age = now.saturating_duration_since(*at);
        for (account, sums) in list {
            all.entry(*account).or_default().add(sums.faded(age));
        }
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
