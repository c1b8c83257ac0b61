//! Load and demand of an instance, a failure domain or the rest of the fleet, in parts that each fit a datagram.
//!
//! Load pattern: hundreds of instances, servers and accounts. One message for all of them is larger than a packet and is
//! lost as a whole; a limit on its entries would leave the same accounts and servers out each time.

use std::ops::RangeInclusive;

use serde::{Deserialize, Serialize};

use super::gossip::UnmetDemand;
use super::loads::Work;
use super::shape::PrefixKey;
use super::usage::{AccountUsage, ShareStatus};
use crate::ident::{AccountId, DomainId, InstanceId, ServerId, ServiceId, mix};

/// Servers per datagram, at up to 23 bytes each.
const MAX_SERVERS: usize = 56;
/// Bytes of entries in a part of a demand report, so that it fits a datagram.
const MAX_DEMAND_BYTES: usize = 1_200;
/// Bytes of an account with its usage.
const USAGE_BYTES: usize = 16;
/// Bytes of a prefix with its server, at most.
const SPILLED_BYTES: usize = 18;
/// Bytes of an entry of unmet demand, at most.
const UNMET_BYTES: usize = 18;

/// Whose load a part belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Scope {
    /// The instance that sent it.
    Instance,
    /// All live instances of a failure domain.
    Domain(DomainId),
    /// All instances but the receiver, as known to a relay of the receiver's failure domain.
    RestOfFleet,
}

impl Scope {
    /// Returns the key under which a part sent by `sender` is recorded.
    pub fn origin(self, sender: InstanceId) -> InstanceId {
        match self {
            Self::Instance => sender,
            Self::Domain(domain) => InstanceId(mix(domain.0)),
            Self::RestOfFleet => REST_OF_FLEET,
        }
    }

    /// Returns the key of the counters that a part sent by `sender` continues.
    ///
    /// Two relays may have heard of different work, so each one has counters of its own.
    pub fn counters(self, sender: InstanceId) -> InstanceId {
        match self {
            Self::Instance | Self::Domain(_) => self.origin(sender),
            Self::RestOfFleet => InstanceId(mix(sender.0 ^ REST_OF_FLEET.0)),
        }
    }
}

/// Origin of everything that a relay tells its members of the rest of the fleet.
pub const REST_OF_FLEET: InstanceId = InstanceId(u64::MAX);

/// Part of a report under which load is recorded; a newer part with the same key replaces it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct PartKey {
    /// The instance, failure domain or fleet that reported.
    pub origin: InstanceId,
    /// Index of the part.
    pub number: u8,
}

impl PartKey {
    /// Returns the key of a report of `origin` that has one part only.
    pub const fn whole(origin: InstanceId) -> Self {
        Self { origin, number: 0 }
    }

    /// Returns the keys of all parts of `origin` from `number` on.
    pub const fn from_number(origin: InstanceId, number: u8) -> RangeInclusive<Self> {
        let last = Self {
            origin,
            number: u8::MAX,
        };
        Self { origin, number }..=last
    }
}

/// Work in flight, or one part of it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WorkPart {
    /// Whose work it is.
    pub scope: Scope,
    /// Index of the part.
    pub number: u8,
    /// Number of parts of this report.
    pub parts: u8,
    /// Work in flight by server.
    pub work: Vec<(ServerId, Work)>,
}

/// What accounts asked for and received, or one part of it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DemandPart {
    /// Whose demand it is.
    pub scope: Scope,
    /// Index of the part.
    pub number: u8,
    /// Number of parts of this report.
    pub parts: u8,
    /// Usage by account.
    pub usage: Vec<(AccountId, AccountUsage)>,
    /// Recent unmet demand by service and share status.
    pub unmet: Vec<(ServiceId, ShareStatus, UnmetDemand)>,
    /// Shared prefixes recently sent to a server other than their home.
    pub spilled: Vec<(PrefixKey, ServerId)>,
}

impl DemandPart {
    /// Returns the key under which this part, sent by `sender`, is recorded.
    pub fn key(&self, sender: InstanceId) -> PartKey {
        PartKey {
            origin: self.scope.origin(sender),
            number: self.number,
        }
    }

    /// Returns whether the part tells nothing.
    pub const fn is_empty(&self) -> bool {
        self.usage.is_empty() && self.unmet.is_empty() && self.spilled.is_empty()
    }
}

impl WorkPart {
    /// Returns the key under which this part, sent by `sender`, is recorded.
    pub fn key(&self, sender: InstanceId) -> PartKey {
        PartKey {
            origin: self.scope.origin(sender),
            number: self.number,
        }
    }
}

/// Splits `work` into parts; there is one without work if there is none.
pub fn split_work(scope: Scope, work: &[(ServerId, Work)]) -> Vec<WorkPart> {
    let parts = work.len().div_ceil(MAX_SERVERS).max(1);
    let chunk = |number: usize| {
        let first = number * MAX_SERVERS;
        work[first..work.len().min(first + MAX_SERVERS)].to_vec()
    };
    (0..parts)
        .map(|number| WorkPart {
            scope,
            number: number as u8,
            parts: parts as u8,
            work: chunk(number),
        })
        .collect()
}

/// Splits usage, unmet demand and spilled prefixes into parts; there is an empty one if there is none of them.
pub fn split_demand(
    scope: Scope,
    usage: &[(AccountId, AccountUsage)],
    unmet: &[(ServiceId, ShareStatus, UnmetDemand)],
    spilled: &[(PrefixKey, ServerId)],
) -> Vec<DemandPart> {
    let mut packer = Packer::new(scope);
    for entry in usage {
        packer.part_for(USAGE_BYTES).usage.push(*entry);
    }
    for entry in spilled {
        packer.part_for(SPILLED_BYTES).spilled.push(*entry);
    }
    for entry in unmet {
        packer.part_for(UNMET_BYTES).unmet.push(*entry);
    }
    packer.finish()
}

/// Fills one part after the other.
struct Packer {
    scope: Scope,
    parts: Vec<DemandPart>,
    bytes: usize,
}

impl Packer {
    fn new(scope: Scope) -> Self {
        let parts = vec![empty_part(scope)];
        Self {
            scope,
            parts,
            bytes: 0,
        }
    }

    /// Returns the part into which the next `size` bytes go.
    fn part_for(&mut self, size: usize) -> &mut DemandPart {
        self.bytes += size;
        if self.bytes > MAX_DEMAND_BYTES {
            self.bytes = size;
            self.parts.push(empty_part(self.scope));
        }
        let last = self.parts.len() - 1;
        &mut self.parts[last]
    }

    fn finish(mut self) -> Vec<DemandPart> {
        let count = self.parts.len() as u8;
        for (part, number) in self.parts.iter_mut().zip(0..) {
            (part.number, part.parts) = (number, count);
        }
        self.parts
    }
}

const fn empty_part(scope: Scope) -> DemandPart {
    DemandPart {
        scope,
        number: 0,
        parts: 1,
        usage: Vec::new(),
        unmet: Vec::new(),
        spilled: Vec::new(),
    }
}
