//! Identifiers of instances, accounts, services, servers, failure domains and pools.
//!
//! An identifier is the first eight bytes of the BLAKE3 hash of a name, so every instance derives
//! the same identifiers from the same configuration without coordination. A configuration in which
//! two names of one kind have the same identifier is rejected.

use serde::{Deserialize, Serialize};

fn hash_name(kind: &str, name: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(kind.as_bytes());
    hasher.update(&[0]);
    hasher.update(name.as_bytes());
    let digest = hasher.finalize();
    let mut first = [0_u8; 8];
    first.copy_from_slice(&digest.as_bytes()[..8]);
    u64::from_le_bytes(first)
}

macro_rules! name_id {
    ($(#[$doc:meta])* $id:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        pub struct $id(#[serde(with = "postcard::fixint::le")] pub u64);

        impl $id {
            /// The identifier of `name`.
            pub fn of(name: &str) -> Self {
                Self(hash_name($kind, name))
            }
        }
    };
}

name_id!(
    /// An instance of the fleet; the identifier stays the same across restarts.
    InstanceId,
    "instance"
);
name_id!(
    /// A client account.
    AccountId,
    "account"
);
name_id!(
    /// A service that backend servers offer.
    ServiceId,
    "service"
);
name_id!(
    /// A route of a catalog.
    RouteId,
    "route"
);
name_id!(
    /// A backend server.
    ServerId,
    "server"
);
name_id!(
    /// A failure domain.
    DomainId,
    "domain"
);
name_id!(
    /// A region: failure domains connected by fast links.
    RegionId,
    "region"
);

name_id!(
    /// A version of the software of a service's backend servers; versions have no order.
    VersionId,
    "version"
);

/// The backend servers of one service in one failure domain.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PoolId(#[serde(with = "postcard::fixint::le")] pub u64);

impl PoolId {
    /// The pool of `service` in `domain`.
    pub fn of(service: ServiceId, domain: DomainId) -> Self {
        Self(mix(service.0 ^ domain.0.rotate_left(17)))
    }
}

/// One run of an instance's process; a later run of the same instance has a greater number.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Default,
)]
pub struct Incarnation(#[serde(with = "postcard::fixint::le")] pub u64);

/// The 64-bit finalizer of `SplitMix64`, used for rendezvous hashing.
pub fn mix(value: u64) -> u64 {
    let mut z = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
