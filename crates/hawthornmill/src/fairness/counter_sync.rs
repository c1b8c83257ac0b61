//! Transfer of the fleet's fairness counters to a starting instance.
//!
//! Without the counters an instance would treat all accounts as equal and might prefer those that
//! already had their share. It asks one live peer after another, nearest first, and gives up after
//! `MAX_REQUESTS`: when the whole fleet starts, no peer has any counters.

use crate::blackboard::Blackboard;
use crate::ident::InstanceId;
use crate::wire::message::{LedgerSnapshot, Message};

/// Requests, one per report interval, before an instance starts from zero.
const MAX_REQUESTS: u32 = 8;

/// Returns the request to send with this report, if any.
pub fn next_request(board: &mut Blackboard) -> Option<(InstanceId, Message)> {
    if board.ledger.is_synced() {
        return None;
    }
    let next = board.counter_requests as usize;
    board.counter_requests += 1;
    if board.counter_requests > MAX_REQUESTS {
        board.ledger.mark_synced();
        return None;
    }
    let own = board.members.own();
    let mut peers: Vec<(bool, bool, InstanceId)> = board
        .members
        .live()
        .filter(|(id, _)| *id != board.me())
        .map(|(id, m)| (m.domain != own.domain, m.region != own.region, id))
        .collect();
    peers.sort_unstable();
    let (_, _, peer) = peers.get(next % peers.len().max(1))?;
    Some((*peer, Message::LedgerPull))
}

/// Responds to a starting peer, unless this instance has yet to receive the counters itself.
pub fn respond(board: &mut Blackboard, peer: InstanceId) {
    if board.ledger.is_synced() {
        let snapshot = board.ledger.snapshot(board.me(), board.incarnation);
        board.outbox.push((peer, Message::LedgerSnapshot(snapshot)));
    }
}

/// Applies a peer's response.
pub fn apply(board: &mut Blackboard, snapshot: &LedgerSnapshot) {
    let (me, incarnation) = (board.me(), board.incarnation);
    board.ledger.apply_snapshot(me, incarnation, snapshot);
}
