//! When a starting instance knows enough to serve.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use super::placement::contact_candidate;
use crate::blackboard::Blackboard;
use crate::ident::{DomainId, InstanceId};

/// Time for which a starting instance waits for the platform and for peers.
pub const STARTUP_TIMEOUT: Duration = Duration::from_secs(2);
/// Mates in the own failure domain that are asked in one round.
const PROBES_PER_ROUND: usize = 2;

/// What a starting instance was told.
#[derive(Debug, Clone, Copy, Default)]
pub struct Startup {
    /// The platform's configuration service has answered.
    pub platform_answered: bool,
    /// An instance that serves has told its revision.
    pub peer_serving: bool,
    /// Highest revision that an answer to a probe named.
    pub highest_revision: u64,
}

/// Tells whether `board` knows enough to serve; `began` is when the process started.
///
/// A platform that shows an old revision must not take a restarted instance back while peers know a
/// newer one. So the instance must hold the highest revision that it heard of, and must have heard
/// one that serves, which has made sure itself, or every instance of the platform's list. When the
/// platform or peers don't answer for a while, what is known is enough: a fleet that starts after
/// an outage must not wait for those that are gone.
pub fn is_ready(board: &Blackboard, began: Instant, now: Instant) -> bool {
    let others = board
        .members
        .map
        .iter()
        .filter(|(id, _)| **id != board.me());
    let told = others
        .clone()
        .filter(|(_, m)| m.live)
        .map(|(_, m)| m.revision);
    let highest = told.max().unwrap_or(0).max(board.startup.highest_revision);
    let all = board.roster.is_known() && others.clone().all(|(_, m)| m.live);
    let settled = board.startup.platform_answered && (board.startup.peer_serving || all);
    let waited = now.duration_since(began) > STARTUP_TIMEOUT;
    let revision = board.config.revision;
    revision > 0 && revision >= highest && (settled || waited)
}

/// Instances to ask in `round`: some of the own failure domain and one of each other.
pub fn probe_targets(board: &Blackboard, round: u32) -> BTreeSet<InstanceId> {
    let members = &board.members;
    let domains: BTreeSet<DomainId> = members.map.values().map(|m| m.domain).collect();
    let mut asked: BTreeSet<InstanceId> = domains
        .into_iter()
        .filter_map(|domain| contact_candidate(members, domain, round))
        .collect();
    let own = members.own().domain;
    let neighbours: Vec<InstanceId> = members
        .map
        .iter()
        .filter(|(id, m)| **id != members.me && m.domain == own)
        .map(|(id, _)| *id)
        .collect();
    let first = round as usize * PROBES_PER_ROUND;
    let turn = (0..PROBES_PER_ROUND.min(neighbours.len()))
        .map(|n| neighbours[(first + n) % neighbours.len()]);
    asked.extend(turn);
    asked.remove(&members.me);
    asked
}
