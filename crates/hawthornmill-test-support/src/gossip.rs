//! What instances of the gateway tell each other.

use hawthornmill::routing::gossip::{InstanceReport, PeerInfo, StoreRole};

/// News of an instance at `mate` that takes requests, reads the store and has nothing else to tell.
pub const fn instance_report(mate: PeerInfo) -> InstanceReport {
    InstanceReport {
        info: mate,
        ready: true,
        leaving: false,
        store_role: StoreRole::Connected,
        catalog_version: 1,
        revision: 1,
        work: Vec::new(),
        usage: Vec::new(),
        spilled: Vec::new(),
        unmet: Vec::new(),
        known_peers: Vec::new(),
    }
}
