//! Gossip messages between gateway instances.

use hawthornmill::routing::gossip::{InstanceReport, KnownState, PeerInfo, StoreRole};

/// Returns the report of a ready instance that is connected to the store and has no work.
pub const fn instance_report(peer: PeerInfo) -> InstanceReport {
    InstanceReport {
        info: peer,
        ready: true,
        leaving: false,
        store_role: StoreRole::Connected,
        known: KnownState {
            catalog_version: 1,
            revision: 1,
            evacuation_revision: 0,
        },
        in_parts: false,
        work: Vec::new(),
        usage: Vec::new(),
        spilled: Vec::new(),
        unmet: Vec::new(),
        known_peers: Vec::new(),
    }
}
