//! Selects owners, relays and readers by rendezvous hashing over the member view.
//!
//! Each instance computes these locally. Views that differ may yield two owners of a pool for a
//! moment. Owners limit their grants by the load that servers report, so this reduces accuracy only.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use super::{Member, Members};
use crate::config::model::Pool;
use crate::ident::{DomainId, InstanceId, PoolId, RegionId, mix};

/// Time for which an instance must have been stable before it is preferred as an owner.
pub const STABLE_AFTER: Duration = Duration::from_secs(3);
/// Number of instances per failure domain that watch the platform's configuration.
pub const READERS: usize = 2;

/// The owner of pool `id`: in the pool's failure domain, else in its region, else anywhere.
pub fn owner(members: &Members, id: PoolId, pool: &Pool, now: Instant) -> Option<InstanceId> {
    let tiers: [&dyn Fn(&Member) -> bool; 3] = [
        &|m| m.domain == pool.domain,
        &|m| m.region == pool.region,
        &|_| true,
    ];
    tiers.iter().find_map(|tier| best(members, id.0, tier, now))
}

fn best(
    members: &Members,
    salt: u64,
    tier: &dyn Fn(&Member) -> bool,
    now: Instant,
) -> Option<InstanceId> {
    members
        .live()
        .filter(|(_, m)| !m.leaving && tier(m))
        // A newly started or flapping instance doesn't take over pools from others.
        .max_by_key(|(id, m)| (m.is_stable(now), mix(salt ^ id.0)))
        .map(|(id, _)| id)
}

/// When the next live instance becomes stable and thus preferred as an owner.
pub fn next_stable_at(members: &Members, now: Instant) -> Option<Instant> {
    members
        .live()
        .filter(|(_, m)| !m.leaving && !m.is_stable(now))
        .map(|(_, m)| m.stable_since + STABLE_AFTER)
        .min()
}

/// The relay of a failure domain.
pub fn domain_relay(members: &Members, domain: DomainId) -> Option<InstanceId> {
    ranked(members, domain.0, &|m| m.domain == domain)
        .first()
        .copied()
}

/// The relay of a region: one of its domains' relays.
pub fn region_relay(members: &Members, region: RegionId) -> Option<InstanceId> {
    let mut domains: Vec<DomainId> = members
        .live()
        .filter(|(_, m)| m.region == region)
        .map(|(_, m)| m.domain)
        .collect();
    domains.sort_unstable();
    domains.dedup();
    domains
        .into_iter()
        .filter_map(|d| domain_relay(members, d))
        .max_by_key(|id| mix(region.0 ^ id.0))
}

/// The member of `domain` to contact in `round`, where no relay of the domain is known.
///
/// The rounds go through all members. After a start or a healed partition no member of the domain
/// has been heard yet, so one side must send first; any live member forwards reports to its relay.
pub fn contact_candidate(members: &Members, domain: DomainId, round: u32) -> Option<InstanceId> {
    let candidates: Vec<InstanceId> = members
        .map
        .iter()
        .filter(|(_, m)| m.domain == domain)
        .map(|(id, _)| *id)
        .collect();
    let index = round as usize % candidates.len().max(1);
    candidates.get(index).copied()
}

/// One member of each failure domain without a live member, if this instance is its region's relay.
pub fn silent_domain_candidates(members: &Members, round: u32) -> Vec<InstanceId> {
    if region_relay(members, members.own().region) != Some(members.me) {
        return Vec::new();
    }
    let live: BTreeSet<DomainId> = members.live().map(|(_, m)| m.domain).collect();
    let all: BTreeSet<DomainId> = members.map.values().map(|m| m.domain).collect();
    all.difference(&live)
        .filter_map(|domain| contact_candidate(members, *domain, round))
        .collect()
}

/// The instances of `domain` that watch the platform.
pub fn readers(members: &Members, domain: DomainId) -> Vec<InstanceId> {
    let mut list = ranked(members, domain.0.rotate_left(7), &|m| m.domain == domain);
    list.truncate(READERS);
    list
}

fn ranked(members: &Members, salt: u64, keep: &dyn Fn(&Member) -> bool) -> Vec<InstanceId> {
    let mut list: Vec<InstanceId> = members
        .live()
        .filter(|(_, m)| !m.leaving && keep(m))
        .map(|(id, _)| id)
        .collect();
    list.sort_by_key(|id| std::cmp::Reverse(mix(salt ^ id.0)));
    list
}
