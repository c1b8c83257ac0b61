//! What a failure domain tells the others in a large fleet.
//!
//! If every instance told every other one, datagrams would grow with the square of the fleet, and those
//! between failure domains are billed. So an instance tells its own domain everything, and two *relays*
//! of the domain, picked by a hash over the live instances, tell the relays of the other domains what the
//! domain has in sum. A relay passes such datagrams on to its own domain as they came. A lost relay costs
//! one of two tellings until it counts as silent; nothing is kept by relays alone.

use serde::{Deserialize, Serialize};

use super::gossip::{PeerInfo, StoreRole, UnmetDemand};
use super::loads::Work;
use super::shape::PrefixKey;
use super::usage::{AccountUsage, ShareStatus};
use crate::ident::{AccountId, DomainId, Incarnation, InstanceId, ServerId, ServiceId, mix};

/// Servers in one datagram, each of up to 22 bytes.
const MOST_SERVERS: usize = 56;
/// Prefixes sent astray that are told at once, by an instance and by a domain: they fit a packet.
pub const MAX_SPILLED: usize = 24;

/// One live instance of a domain.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The instance.
    pub id: InstanceId,
    /// Its process run.
    pub incarnation: Incarnation,
    /// How to reach it.
    pub info: PeerInfo,
    /// It takes requests of callers.
    pub ready: bool,
    /// It is about to stop.
    pub leaving: bool,
    /// What it has to do with the store.
    pub store_role: StoreRole,
    /// Version of its catalog.
    pub catalog_version: u64,
    /// Revision of its registrations.
    pub revision: u64,
}

/// Who is in a domain, and what is scarce there.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DomainMembers {
    /// The domain.
    pub domain: DomainId,
    /// Its live instances.
    pub members: Vec<Member>,
    /// What found no room lately, by service and standing.
    pub unmet: Vec<(ServiceId, ShareStatus, UnmetDemand)>,
    /// Shared prefixes that were sent to other servers than their homes lately.
    pub spilled: Vec<(PrefixKey, ServerId)>,
}

/// What a domain has under way, or a part of it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DomainWork {
    /// The domain.
    pub domain: DomainId,
    /// Number of the part.
    pub number: u8,
    /// Work by server.
    pub work: Vec<(ServerId, Work)>,
    /// What accounts asked for and got; in the first part only.
    pub usage: Vec<(AccountId, AccountUsage)>,
}

impl DomainWork {
    /// All parts of what `domain` has: its accounts, then its servers in as many parts as they need.
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
        let servers = work.chunks(MOST_SERVERS).zip(1..).map(|(some, part)| Self {
            domain,
            number: part,
            work: some.to_vec(),
            usage: Vec::new(),
        });
        std::iter::once(accounts).chain(servers).collect()
    }

    /// The key under which this part is counted, as if one instance had told it.
    pub fn source_id(&self) -> InstanceId {
        source_id(self.domain, self.number)
    }
}

/// The key under which part `part` of what `domain` tells is counted.
pub fn source_id(domain: DomainId, part: u8) -> InstanceId {
    InstanceId(mix(domain.0 ^ u64::from(part)))
}
