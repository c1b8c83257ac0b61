//! Discovery: which instances a caller may use.

use hawthornmill::board::Board;
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
        "ttl_ms": discovery.ttl.as_millis() as u64,
        "key_prefix": fresh_prefix(fleet),
        "key_ttl_ms": discovery.keys.as_millis() as u64,
    })
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
fn ranked(board: &Board, salt: u64) -> Vec<Box<str>> {
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
