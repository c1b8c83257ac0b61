//! Which instances of a large fleet relay between others, and which of them follow the platform's store.
//!
//! Load pattern: if every instance reported to every other one, datagrams would grow with the square of the fleet, and
//! traffic between failure domains is billed. Two *relays* per failure domain send the domain's sums to the relays of the
//! other domains. In a domain of moderate size, instances report to each other, and a relay forwards what other domains
//! report. In a large one, they report to its relays only, and the first relay tells each of them the load of the rest of
//! the fleet in sum. Every instance derives the relays from the live instances that it knows; no state is kept by relays
//! alone.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use smallvec::SmallVec;

use super::gossip::{LARGE_FLEET_PEERS, PeerInfo, PeerTable, StoreRole};
use crate::ident::{DomainId, InstanceId, mix};

/// Relays of a failure domain in a large fleet; one may be cut off or gone and not count as silent yet.
const RELAYS_PER_DOMAIN: usize = 2;
/// A relay sends in one of this many rounds. The two relays alternate, so a domain reports every 0.2 s; each summary is
/// forwarded to every instance of each other domain.
const RELAY_INTERVAL_ROUNDS: u64 = 2;
/// Number of other instances of a failure domain from which they report to its relays only.
const LARGE_DOMAIN_PEERS: usize = 24;
/// Silence of the first relay of a large failure domain after which the second one speaks for it.
const TAKEOVER_SILENCE: Duration = Duration::from_millis(450);
/// Instances per failure domain that follow the store in a large fleet.
///
/// While this one is gone and not replaced yet, which takes 1.3 s, the domain hears from followers in other domains.
const STORE_FOLLOWERS: usize = 1;

/// Order in which instances of a failure domain take roles: the fastest first, and those alike by a hash.
type RoleOrder = (u16, u64);

fn role_order(id: InstanceId, domain: DomainId, cpu_percent: u16) -> RoleOrder {
    (cpu_percent, mix(domain.0 ^ id.0))
}

fn peer_order(id: InstanceId, info: &PeerInfo) -> RoleOrder {
    role_order(id, info.domain, info.cpu_percent)
}

/// Identities of some relays.
pub type RelayIds = SmallVec<[InstanceId; RELAYS_PER_DOMAIN]>;

impl PeerTable {
    fn own_order(&self, me: InstanceId) -> RoleOrder {
        role_order(me, self.domain, self.offered_cpu())
    }

    /// Returns the rank of instance `me` among the relays of its domain, or `None` when it is no relay.
    pub fn relay_rank(&self, me: InstanceId, now: Instant) -> Option<usize> {
        if !self.is_large_fleet() {
            return None;
        }
        let own = self.own_order(me);
        let others = self.domain_peers(now).filter(|(_, p)| !p.leaving);
        let ahead = others
            .filter(|(id, p)| peer_order(*id, &p.info) > own)
            .count();
        (ahead < RELAYS_PER_DOMAIN).then_some(ahead)
    }

    /// Returns whether `id` is a remembered peer of the own failure domain.
    pub fn is_domain_member(&self, id: InstanceId) -> bool {
        let peer = self.peers.get(&id);
        peer.is_some_and(|p| p.info.domain == self.domain)
    }

    /// Returns whether the own failure domain is so large that its instances report to its relays only.
    pub fn is_large_domain(&self) -> bool {
        let own = self.peers.values().filter(|p| p.info.domain == self.domain);
        own.count() >= LARGE_DOMAIN_PEERS
    }

    /// Returns the other relays of the own failure domain if it is large.
    pub(super) fn own_relays(&self, me: InstanceId, now: Instant) -> Option<RelayIds> {
        if !self.is_large_domain() {
            return None;
        }
        let peers = self.domain_peers(now).filter(|(_, p)| !p.leaving);
        let mut ranked: Vec<(RoleOrder, InstanceId)> =
            peers.map(|(id, p)| (peer_order(id, &p.info), id)).collect();
        ranked.push((self.own_order(me), me));
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        let relays = ranked.iter().take(RELAYS_PER_DOMAIN).map(|(_, id)| *id);
        Some(relays.filter(|id| *id != me).collect())
    }

    /// Returns whether instance `me` speaks for its large failure domain: its first relay, or the second one if that is
    /// silent.
    pub fn speaks_for_domain(&self, me: InstanceId, now: Instant) -> bool {
        match self.relay_rank(me, now) {
            Some(0) => true,
            Some(_) => {
                let own = self.own_order(me);
                let mut ahead = self
                    .domain_peers(now)
                    .filter(|(id, p)| !p.leaving && peer_order(*id, &p.info) > own);
                ahead.all(|(_, p)| {
                    p.last_direct
                        .is_none_or(|at| now.duration_since(at) > TAKEOVER_SILENCE)
                })
            }
            None => false,
        }
    }

    /// Returns where the relay of `rank` sends its summary in `round`: one relay of each other failure domain.
    ///
    /// The relays of a domain take turns, so one that is cut off delays a change by two summaries at most.
    pub fn relay_targets(&self, rank: usize, round: u64, now: Instant) -> Vec<SocketAddr> {
        if !(rank as u64 * RELAY_INTERVAL_ROUNDS / 2 + round).is_multiple_of(RELAY_INTERVAL_ROUNDS)
        {
            return Vec::new();
        }
        let turn = rank + (round / RELAY_INTERVAL_ROUNDS) as usize;
        let domains = self.remote_relays(now);
        domains
            .iter()
            .map(|relays| relays[turn % relays.len()])
            .collect()
    }

    /// Returns the addresses of the relays of each other failure domain, the first one first.
    pub fn remote_relays(&self, now: Instant) -> Vec<SmallVec<[SocketAddr; RELAYS_PER_DOMAIN]>> {
        let mut domains: BTreeMap<DomainId, Vec<(RoleOrder, SocketAddr)>> = BTreeMap::new();
        let remote = self
            .live(now)
            .filter(|(_, p)| p.info.domain != self.domain && !p.leaving);
        for (id, state) in remote {
            let ranked = domains.entry(state.info.domain).or_default();
            ranked.push((peer_order(id, &state.info), state.info.peer_addr));
        }
        let relays = |mut ranked: Vec<(RoleOrder, SocketAddr)>| {
            ranked.sort_unstable_by(|a, b| b.cmp(a));
            let first = ranked.into_iter().take(RELAYS_PER_DOMAIN);
            first.map(|(_, address)| address).collect()
        };
        domains.into_values().map(relays).collect()
    }

    /// Returns where work is reported at once: all peers in a small fleet, the own failure domain in a large one, and the
    /// relays of that if it is large too.
    pub fn broadcast_targets(&self, me: InstanceId, now: Instant) -> Vec<SocketAddr> {
        let large = self.is_large_fleet();
        let relays = self.own_relays(me, now);
        let targets = self.live(now).filter(|(id, p)| {
            let is_named = relays.as_ref().is_none_or(|relays| relays.contains(id));
            !large || (p.info.domain == self.domain && is_named)
        });
        targets.map(|(_, p)| p.info.peer_addr).collect()
    }

    /// Returns whether instance `me` should follow the store.
    ///
    /// In a small fleet every instance does, so that each hears of a change at once. In a large one some instances of each
    /// failure domain do, and the others hear from them; an instance that gets no response from the store isn't counted, so
    /// another one takes over.
    pub fn should_follow_store(&self, me: InstanceId, now: Instant) -> bool {
        let others = || self.live(now).filter(|(_, p)| !p.leaving);
        if others().count() < LARGE_FLEET_PEERS
            || others().all(|(_, p)| p.store_role != StoreRole::Connected)
        {
            return true;
        }
        self.is_first_to_follow(me, now)
    }

    /// Returns the number of other instances that hear from the store.
    pub fn connected_readers(&self, now: Instant) -> usize {
        let others = self.live(now).filter(|(_, p)| !p.leaving);
        others
            .filter(|(_, p)| p.store_role == StoreRole::Connected)
            .count()
    }

    /// Returns whether no other instance of the failure domain would follow the store before instance `me`.
    pub fn is_first_to_follow(&self, me: InstanceId, now: Instant) -> bool {
        let own = self.own_order(me);
        let candidates = self
            .domain_peers(now)
            .filter(|(_, p)| !p.leaving && p.store_role != StoreRole::Disconnected);
        candidates
            .filter(|(id, p)| peer_order(*id, &p.info) > own)
            .count()
            < STORE_FOLLOWERS
    }
}
