//! Small `Copy` keys.
//!
//! A key on the wire is the first eight bytes of the BLAKE3 hash of a name, so every instance
//! derives the same key from the same configuration without an agreement on numbers. Two names of
//! one kind whose keys collide are refused when a configuration is checked.

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

macro_rules! name_key {
    ($(#[$doc:meta])* $key:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        pub struct $key(#[serde(with = "postcard::fixint::le")] pub u64);

        impl $key {
            /// The key of `name`.
            pub fn of(name: &str) -> Self {
                Self(hash_name($kind, name))
            }
        }
    };
}

name_key!(
    /// A router process's place in the fleet; it outlives restarts.
    InstanceId,
    "instance"
);
name_key!(
    /// A client account.
    AccountId,
    "account"
);
name_key!(
    /// A service that backend servers offer.
    ServiceId,
    "service"
);
name_key!(
    /// A backend server.
    ServerId,
    "server"
);
name_key!(
    /// A failure domain.
    DomainId,
    "domain"
);
name_key!(
    /// A region: failure domains joined by fast links.
    RegionId,
    "region"
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

/// A 64-bit finaliser (the one of `SplitMix64`), used for rendezvous scores.
pub fn mix(value: u64) -> u64 {
    let mut z = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
