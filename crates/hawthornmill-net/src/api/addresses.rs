//! Service discovery: the instances that a caller can use.

use std::time::Duration;

use hawthornmill::blackboard::Blackboard;
use hawthornmill::ident::mix;

use super::key_store::issue_key_prefix;
use crate::fleet::Fleet;

/// The response body of `GET /v1/addresses`.
pub fn to_json(fleet: &Fleet) -> serde_json::Value {
    let salt = rand::random();
    let addresses = fleet.view(|board| ranked_addresses(board, salt));
    let discovery = &fleet.settings.discovery;
    serde_json::json!({
        "addresses": addresses,
        "ttl_ms": remaining_ttl_ms(fleet, discovery.ttl),
        "key_prefix": issue_key_prefix(fleet),
        "key_ttl_ms": remaining_ttl_ms(fleet, discovery.key_ttl),
    })
}

/// Returns `ttl` in milliseconds, limited to the time until this instance stops accepting calls.
///
/// An instance is the home of the key prefixes that it issues, so while it shuts down, neither the
/// prefix nor the addresses may outlast it.
fn remaining_ttl_ms(fleet: &Fleet, ttl: Duration) -> u64 {
    let remaining = fleet
        .closes_at
        .get()
        .map(|at| at.saturating_duration_since(fleet.clock.now()));
    remaining.unwrap_or(ttl).min(ttl).as_millis() as u64
}

/// Addresses of the other instances that accept new calls.
pub fn other_instances(fleet: &Fleet) -> Vec<Box<str>> {
    let salt = rand::random();
    fleet.view(|board| {
        let own = board.members.own().contact.http.clone();
        let mut addresses = ranked_addresses(board, salt);
        addresses.retain(|a| *a != own);
        addresses
    })
}

/// Addresses of the instances that accept new calls, those of the local region first.
///
/// `salt` decides the order within a region, which spreads callers over the instances.
fn ranked_addresses(board: &Blackboard, salt: u64) -> Vec<Box<str>> {
    let region = board.members.own().region;
    let mut addresses: Vec<_> = board
        .members
        .live()
        .filter(|(_, m)| !m.leaving)
        .map(|(id, m)| (m.region != region, mix(id.0 ^ salt), m.contact.http.clone()))
        .collect();
    addresses.sort_unstable();
    addresses
        .into_iter()
        .map(|(_, _, address)| address)
        .collect()
}
