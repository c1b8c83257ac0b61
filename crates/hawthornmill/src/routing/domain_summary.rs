//! Summaries that failure domains exchange in a large fleet.
//!
//! If every instance reported to every other one, datagrams would grow with the square of the fleet, and traffic between
//! failure domains is billed. An instance therefore reports in full to its own domain only. Two *relays* per domain,
//! chosen by a hash over the live instances, send the domain's sums to the relays of the other domains, and a relay
//! forwards what it receives to its own domain unchanged. A lost relay costs every second summary until it counts as
//! silent; no state is kept by relays alone.

use serde::{Deserialize, Serialize};

use super::gossip::{PeerInfo, StoreRole, UnmetDemand};
use super::loads::Work;
use super::shape::PrefixKey;
use super::usage::{AccountUsage, ShareStatus};
use crate::ident::{AccountId, DomainId, Incarnation, InstanceId, ServerId, ServiceId, mix};

/// Servers per datagram, at up to 22 bytes each.
const MAX_SERVERS: usize = 56;
/// Spilled prefixes in one report of an instance or a domain, so that they fit a datagram.
pub const MAX_SPILLED: usize = 24;

/// One live instance of a domain.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The instance.
    pub id: InstanceId,
    /// Incarnation of its process.
    pub incarnation: Incarnation,
    /// Its addresses and failure domain.
    pub info: PeerInfo,
    /// It accepts requests of callers.
    pub ready: bool,
    /// It is about to stop.
    pub leaving: bool,
    /// Its role towards the platform's store.
    pub store_role: StoreRole,
    /// Version of its catalog.
    pub catalog_version: u64,
    /// Revision of its registrations.
    pub revision: u64,
}

/// Live instances of a domain, and the demand that found no capacity there.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DomainMembers {
    /// The domain.
    pub domain: DomainId,
    /// Its live instances.
    pub members: Vec<Member>,
    /// Recent unmet demand by service and share status.
    pub unmet: Vec<(ServiceId, ShareStatus, UnmetDemand)>,
    /// Shared prefixes recently sent to a server other than their home.
    pub spilled: Vec<(PrefixKey, ServerId)>,
}

/// Work in flight of a domain, or one part of it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DomainWork {
    /// The domain.
    pub domain: DomainId,
    /// Index of the part.
    pub number: u8,
    /// Work in flight by server.
    pub work: Vec<(ServerId, Work)>,
    /// Usage of accounts; in the first part only.
    pub usage: Vec<(AccountId, AccountUsage)>,
}

impl DomainWork {
    /// Splits the work and usage of `domain` into parts: usage first, then servers in as many parts as they need.
    pub fn parts(
        domain: DomainId,
        work: &[(ServerId, Work)],
        usage: &[(AccountId, AccountUsage)],
    ) -> Vec<Self> {
        let accounts = Self {
            domain,
            number: 0,
            work: Vec::new(),
            usage: usage.to_vec(),
        };
        let servers = work
            .chunks(MAX_SERVERS)
            .zip(1..)
            .map(|(chunk, number)| Self {
                domain,
                number,
                work: chunk.to_vec(),
                usage: Vec::new(),
            });
        std::iter::once(accounts).chain(servers).collect()
    }

    /// Returns the key under which this part is recorded, as if a single instance had reported it.
    pub fn source_id(&self) -> InstanceId {
        source_id(self.domain, self.number)
    }
}

/// Returns the key under which part `number` of the summary of `domain` is recorded.
pub fn source_id(domain: DomainId, number: u8) -> InstanceId {
    InstanceId(mix(domain.0 ^ u64::from(number)))
}
