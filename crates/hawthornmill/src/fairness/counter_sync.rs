//! How an instance that starts learns the counters of the fleet.
//!
//! An instance without state would take every account for equal and serve those first that had their
//! share already. It asks one live peer after another, nearest first, and stops after some tries: at
//! the start of a whole fleet there is nobody to ask.

use crate::blackboard::Blackboard;
use crate::ident::InstanceId;
use crate::wire::message::{Message, Standing};

/// Peers that are asked, one with each report, before an instance starts from zero.
const MAX_REQUESTS: u32 = 8;

/// The question that is due with this report, if any.
pub fn next_request(board: &mut Blackboard) -> Option<(InstanceId, Message)> {
    if board.ledger.is_synced() {
        return None;
    }
    let turn = board.counter_requests as usize;
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
    let (_, _, peer) = peers.get(turn % peers.len().max(1))?;
    Some((*peer, Message::StandingPull))
}

/// Answers a peer that starts; an instance that has yet to learn the counters itself says nothing.
pub fn respond(board: &mut Blackboard, peer: InstanceId) {
    if board.ledger.is_synced() {
        let standing = board.ledger.snapshot(board.me(), board.incarnation);
        board.outbox.push((peer, Message::Standing(standing)));
    }
}

/// Takes a peer's answer.
pub fn apply(board: &mut Blackboard, standing: &Standing) {
    let (me, incarnation) = (board.me(), board.incarnation);
    board.ledger.apply_snapshot(me, incarnation, standing);
}
