//! Whether an instance may lack what the others know.

use std::time::{Duration, Instant};

use super::gossip::PeerTable;

/// Silence of all peers after which an instance may be cut off; each reports every 0.2 s.
const CUT_OFF_SILENCE: Duration = Duration::from_millis(600);
/// Silence after which a peer counts as ended; an instance that is left alone must serve.
const ENDED_SILENCE: Duration = Duration::from_secs(20);

impl PeerTable {
    /// Returns whether no peer was heard lately, though some were a while ago that didn't say that they would stop.
    pub fn is_cut_off(&self, now: Instant) -> bool {
        let remembered = self.peers.values().filter(|p| !p.leaving);
        let latest = remembered.map(|p| p.last_seen).max();
        let silence = latest.map(|at| now.duration_since(at));
        silence.is_some_and(|s| (CUT_OFF_SILENCE..ENDED_SILENCE).contains(&s))
    }
}
