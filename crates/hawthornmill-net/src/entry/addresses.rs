//! Discovery: which instances a caller may use.

use std::time::Duration;

use hawthornmill::blackboard::Blackboard;
use hawthornmill::ident::mix;

use super::home::fresh_prefix;
use crate::fleet::Fleet;

/// The answer of `GET /v1/addresses`.
pub fn answer(fleet: &Fleet) -> serde_json::Value {
    let salt = rand::random();
    let addresses = fleet.view(|board| ranked(board, salt));
    let discovery = &fleet.settings.discovery;
    serde_json::json!({
        "addresses": addresses,
        "ttl_ms": lasting(fleet, discovery.ttl),
        "key_prefix": fresh_prefix(fleet),
        "key_ttl_ms": lasting(fleet, discovery.keys),
    })
}

/// Milliseconds of `ttl`, or what is left until this instance takes no more calls.
///
/// A leaving instance is the home of the prefix that it hands out, so the answer lasts no longer.
fn lasting(fleet: &Fleet, ttl: Duration) -> u64 {
    let left = fleet
        .closing
        .get()
        .map(|at| at.saturating_duration_since(fleet.clock.now()));
    left.unwrap_or(ttl).min(ttl).as_millis() as u64
}

/// Addresses of other instances that take new calls.
pub fn others(fleet: &Fleet) -> Vec<Box<str>> {
    let salt = rand::random();
    fleet.view(|board| {
        let own = board.members.own().contact.http.clone();
        let mut list = ranked(board, salt);
        list.retain(|a| *a != own);
        list
    })
}

/// Usable instances: this region first, in an order that `salt` decides, so that callers spread.
fn ranked(board: &Blackboard, salt: u64) -> Vec<Box<str>> {
    let home = board.members.own().region;
    let mut list: Vec<_> = board
        .members
        .live()
        .filter(|(_, m)| !m.leaving)
        .map(|(id, m)| (m.region != home, mix(id.0 ^ salt), m.contact.http.clone()))
        .collect();
    list.sort_unstable();
    list.into_iter().map(|(_, _, address)| address).collect()
}
