//! This instance's view, for operators.

use std::sync::atomic::Ordering;

use hawthornmill::blackboard::Blackboard;
use hawthornmill::config::accept::{self, Manifest};
use hawthornmill::fairness::CostKey;
use poem::http::HeaderMap;

use crate::fleet::Fleet;

/// Tells whether the request carries the operators' token.
///
/// Any caller reaches this page, and an account must not learn what others use. Hashes are compared,
/// by the library in constant time, so the time that it takes tells nothing of the token.
fn is_operator(fleet: &Fleet, headers: &HeaderMap) -> bool {
    let token = super::admit::bearer(headers).map(|t| blake3::hash(t.as_bytes()));
    let known = fleet.settings.operators.map(blake3::Hash::from_bytes);
    token.is_some() && token == known
}

/// The answer of `GET /v1/status`; it holds no tokens, and accounts only for operators.
pub fn answer(fleet: &Fleet, headers: &HeaderMap) -> serde_json::Value {
    let mut status = fleet.view(|board| {
        serde_json::json!({
            "instance": fleet.settings.contact.name,
            "incarnation": fleet.incarnation.0,
            "revision": board.config.revision,
            "digest": digest(&board.manifest),
            "stale": board.stale_since.is_some(),
            "leaving": board.members.own().leaving,
            "waiting": board.waiting.len(),
            "call_bytes_far": board.cross_region.total_bytes,
            "members": members(board),
            "pools": pools(fleet, board),
        })
    });
    if is_operator(fleet, headers) {
        status["accounts"] = fleet.view(accounts);
    }
    let out = &fleet.outgoing;
    status["ready"] = super::routes::is_ready(fleet).into();
    status["flying"] = fleet.flying.load(Ordering::Relaxed).into();
    status["peer_bytes"] = out.sent.load(Ordering::Relaxed).into();
    status["peer_bytes_far"] = out.sent_far.load(Ordering::Relaxed).into();
    status["peer_dropped"] = out.dropped.load(Ordering::Relaxed).into();
    status["peer_refused"] = out.refused.load(Ordering::Relaxed).into();
    status["keys"] = fleet.home.lock().table.len().into();
    status
}

/// One digest over those of all values in force, to compare instances by.
fn digest(manifest: &Manifest) -> Box<str> {
    let all: String = manifest.values.iter().map(|v| &*v.digest).collect();
    accept::digest(&all)
}

fn members(board: &Blackboard) -> serde_json::Value {
    board
        .members
        .map
        .values()
        .map(|m| {
            serde_json::json!({
                "name": m.contact.name,
                "domain": m.contact.domain,
                "region": m.contact.region,
                "http": m.contact.http,
                "live": m.live,
                "leaving": m.leaving,
                "revision": m.revision,
                "incarnation": m.incarnation.0,
            })
        })
        .collect()
}

fn pools(fleet: &Fleet, board: &Blackboard) -> serde_json::Value {
    let now = fleet.clock.now();
    board
        .config
        .pools
        .iter()
        .map(|(id, pool)| {
            let owner = board.sessions.get(id).and_then(|l| l.owner);
            let mine = board.owned_pools.get(id).filter(|o| o.active);
            serde_json::json!({
                "service": board.config.services[&pool.service].name,
                "domain": board.config.domain_names.get(&pool.domain),
                "owner": owner.and_then(|(o, _)| board.members.map.get(&o)).map(|m| m.contact.name.clone()),
                "mine": mine.is_some(),
                "held_here": board.sessions.get(id).map(|l| l.held.len()),
                "granted": mine.map(|o| o.held.len()),
                "idle": mine.map(|o| o.idle_slots(now)),
            })
        })
        .collect()
}

fn accounts(board: &Blackboard) -> serde_json::Value {
    let mut list = Vec::new();
    for service in board.config.services.keys() {
        for (id, account) in &board.config.accounts {
            let key = CostKey {
                service: *service,
                account: *id,
            };
            let total = board.ledger.total(key);
            let waiting = board
                .queues
                .get(&(*service, *id))
                .map_or(0, std::collections::VecDeque::len);
            if total != 0.0 || waiting > 0 {
                list.push(serde_json::json!({
                    "account": account.name,
                    "service": board.config.services[service].name,
                    "service_received": total,
                    "waiting": waiting,
                }));
            }
        }
    }
    list.into()
}
