//! Readiness of a starting instance.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use super::placement::contact_candidate;
use crate::blackboard::Blackboard;
use crate::ident::{DomainId, InstanceId};

/// Time after which a starting instance serves without responses of the platform or of peers.
pub const STARTUP_TIMEOUT: Duration = Duration::from_secs(2);
/// Instances of the own failure domain to probe in one round.
const PROBES_PER_ROUND: usize = 2;

/// Responses that a starting instance has received.
#[derive(Debug, Clone, Copy, Default)]
pub struct Startup {
    /// The platform's configuration service has responded.
    pub platform_answered: bool,
    /// A peer that is serving has reported its revision.
    pub peer_serving: bool,
    /// Highest revision in any response to a probe.
    pub highest_revision: u64,
}

/// Returns true if the instance knows enough to serve; `began` is when the process started.
///
/// A platform that serves an old revision must not revert a restarted instance while peers have a
/// newer one. So the instance needs the highest revision reported to it, and a response from a
/// serving peer, which has already checked its revision, or from every listed instance. After
/// [`STARTUP_TIMEOUT`] any configuration will do: a fleet that starts after an outage must not wait
/// for instances that are gone.
pub fn is_ready(board: &Blackboard, began: Instant, now: Instant) -> bool {
    let others = board
        .members
        .map
        .iter()
        .filter(|(id, _)| **id != board.me());
    let revisions = others
        .clone()
        .filter(|(_, m)| m.live)
        .map(|(_, m)| m.revision);
    let highest = revisions
        .max()
        .unwrap_or(0)
        .max(board.startup.highest_revision);
    let all = board.roster.is_known() && others.clone().all(|(_, m)| m.live);
    let settled = board.startup.platform_answered && (board.startup.peer_serving || all);
    let timed_out = now.duration_since(began) > STARTUP_TIMEOUT;
    let revision = board.config.revision;
    revision > 0 && revision >= highest && (settled || timed_out)
}

/// Instances to probe in `round`: some of the own failure domain and one of each other domain.
pub fn probe_targets(board: &Blackboard, round: u32) -> BTreeSet<InstanceId> {
    let members = &board.members;
    let domains: BTreeSet<DomainId> = members.map.values().map(|m| m.domain).collect();
    let mut targets: BTreeSet<InstanceId> = domains
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
    let next = (0..PROBES_PER_ROUND.min(neighbours.len()))
        .map(|n| neighbours[(first + n) % neighbours.len()]);
    targets.extend(next);
    targets.remove(&members.me);
    targets
}
