//! Whom an instance reports to in each round, and which peers its reports name.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::{PEER_TIMEOUT, PeerState, PeerTable, REMOTE_TIMEOUT};
use crate::ident::InstanceId;

/// Silence after which a peer is forgotten.
const FORGET_AFTER: Duration = Duration::from_mins(1);
/// In a large fleet, one in this many rounds goes to seeds and to peers of other failure domains that report directly.
const REMOTE_INTERVAL_ROUNDS: u64 = 4;
/// The same for seeds and named addresses while a relay of a large failure domain names the fleet's instances.
const SETTLED_INTERVAL_ROUNDS: u64 = 16;
/// In a large fleet, silent peers of other failure domains that get a report in such a round, so that domains which were
/// cut off from each other meet again.
const PROBES_PER_ROUND: usize = 2;
/// In a large fleet, named addresses that get their first report in another round, so that a fleet that starts meets soon.
const NEW_CONTACTS_PER_ROUND: usize = 4;
/// In a large fleet, time for which a peer of another failure domain gets reports after it reported directly.
const DIRECT_TTL: Duration = Duration::from_secs(2);
/// Peers named in one report, so that it fits a datagram.
const SAMPLE_SIZE: usize = 16;

impl PeerTable {
    /// Returns some peers to name in a report, another part of them each `round`.
    ///
    /// The relays of a large failure domain come first, so that an instance that knows others of its domain finds them.
    pub fn peer_sample(&self, me: InstanceId, round: u64, now: Instant) -> Vec<SocketAddr> {
        let all: Vec<SocketAddr> = self.live(now).map(|(_, p)| p.info.peer_addr).collect();
        let first = (round as usize * SAMPLE_SIZE) % all.len().max(1);
        let relays = self.own_relays(me, now).unwrap_or_default();
        let relays = relays.iter().filter_map(|id| self.peers.get(id));
        let mut sample: Vec<SocketAddr> = relays.map(|p| p.info.peer_addr).collect();
        let others = all.iter().cycle().skip(first);
        sample.extend(others.take(SAMPLE_SIZE.min(all.len()) - sample.len()));
        sample
    }

    /// Returns whether a relay of the own failure domain, which is large, was heard lately.
    fn hears_relay(&self, me: InstanceId, now: Instant) -> bool {
        let relays = self.own_relays(me, now).unwrap_or_default();
        let relays = relays.iter().filter_map(|id| self.peers.get(id));
        let mut heard = relays.filter_map(|p| p.last_direct);
        self.relay_rank(me, now).is_none() && heard.any(|at| now.duration_since(at) < PEER_TIMEOUT)
    }

    /// Returns some silent peers that did not say that they stop, others in each `turn`.
    fn silent_sample(&self, turn: u64, now: Instant) -> Vec<SocketAddr> {
        let silent = self
            .peers
            .values()
            .filter(|p| !p.is_live(now) && !p.leaving);
        let mut silent: Vec<SocketAddr> = silent.map(|p| p.info.peer_addr).collect();
        let first = (turn as usize * PROBES_PER_ROUND) % silent.len().max(1);
        silent.rotate_left(first);
        silent.truncate(PROBES_PER_ROUND);
        silent
    }

    /// Returns where to send the report of `round`: to all known peers, all peers named by others, and `seeds`.
    ///
    /// In a large fleet, other failure domains hear from relays. Of their instances, only those that report directly and
    /// that no relay names yet, as when one has just started, get a report in some rounds. In a large failure domain, the
    /// same holds for its own instances.
    pub fn gossip_targets(
        &mut self,
        me: InstanceId,
        seeds: &[SocketAddr],
        round: u64,
        now: Instant,
    ) -> Vec<SocketAddr> {
        self.forget_silent(now);
        let mut all = self.take_due_peers(me, round, now);
        all.extend(self.take_due_strangers(me, seeds, round, now));
        if self.is_large_fleet() && round.is_multiple_of(REMOTE_INTERVAL_ROUNDS) {
            all.extend(self.silent_sample(round / REMOTE_INTERVAL_ROUNDS, now));
        }
        all.sort_unstable();
        all.dedup();
        all
    }

    fn forget_silent(&mut self, now: Instant) {
        self.peers
            .retain(|_, p| now.duration_since(p.last_seen) < FORGET_AFTER);
        let live: BTreeSet<SocketAddr> = self.live(now).map(|(_, p)| p.info.peer_addr).collect();
        self.max_seen = self.max_seen.max(live.len() + 1);
        self.contacts.retain(|address, contact| {
            !live.contains(address) && now.duration_since(contact.named_at) < FORGET_AFTER
        });
    }

    /// Returns the known peers that get a report in `round`.
    fn take_due_peers(&mut self, me: InstanceId, round: u64, now: Instant) -> Vec<SocketAddr> {
        let large = self.is_large_fleet();
        let own_relays = self.own_relays(me, now);
        let is_recent =
            |at: Option<Instant>, ttl: Duration| at.is_some_and(|at| now.duration_since(at) < ttl);
        let is_due = |id: &InstanceId, p: &PeerState| {
            let is_near = p.info.domain == self.domain
                && own_relays.as_ref().is_none_or(|relays| relays.contains(id));
            let direct_only =
                is_recent(p.last_direct, DIRECT_TTL) && !is_recent(p.last_relayed, REMOTE_TIMEOUT);
            let in_turn = !p.reported_to || (id.0 ^ round).is_multiple_of(REMOTE_INTERVAL_ROUNDS);
            !large || is_near || (direct_only && in_turn)
        };
        let due = self.peers.iter().filter(|(id, p)| is_due(id, p));
        let due: Vec<InstanceId> = due.map(|(id, _)| *id).collect();
        let mut addresses = Vec::with_capacity(due.len());
        for id in due {
            if let Some(peer) = self.peers.get_mut(&id) {
                peer.reported_to = true;
                addresses.push(peer.info.peer_addr);
            }
        }
        addresses
    }

    /// Returns the seeds and named addresses that get a report in `round`.
    fn take_due_strangers(
        &mut self,
        me: InstanceId,
        seeds: &[SocketAddr],
        round: u64,
        now: Instant,
    ) -> Vec<SocketAddr> {
        let hears_relay = self.hears_relay(me, now);
        let all_due = if hears_relay {
            round.is_multiple_of(SETTLED_INTERVAL_ROUNDS)
        } else {
            !self.is_large_fleet() || round.is_multiple_of(REMOTE_INTERVAL_ROUNDS)
        };
        let new = self.contacts.iter_mut().filter(|(_, c)| !c.reported);
        let count = match (all_due, hears_relay) {
            (true, _) => usize::MAX,
            (false, true) => 0,
            (false, false) => NEW_CONTACTS_PER_ROUND,
        };
        let mut addresses: Vec<SocketAddr> = Vec::new();
        for (address, contact) in new.take(count) {
            contact.reported = true;
            addresses.push(*address);
        }
        if all_due {
            addresses.extend(self.contacts.keys());
            addresses.extend(seeds);
        }
        addresses
    }
}
