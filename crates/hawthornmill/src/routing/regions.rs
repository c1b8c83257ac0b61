//! Regions to which a request is bound, and whether it may be sent to a failure domain.
//!
//! Every choice of a server asks [`Eligibility::allows`]: placement, the home of a prompt family, spills, retries and resumed
//! streams.

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use super::evacuations::Evacuations;
use crate::ident::{DomainId, RegionId};

/// Regions in which a request may be served.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub enum AllowedRegions {
    /// All regions.
    #[default]
    Any,
    /// These only; none if the list is empty.
    Only(SmallVec<[RegionId; 2]>),
}

impl AllowedRegions {
    /// Returns the regions that both `self` and `other` allow.
    #[must_use]
    pub fn intersect(&self, other: &Self) -> Self {
        match (self, other) {
            (Self::Any, bound) | (bound, Self::Any) => bound.clone(),
            (Self::Only(one), Self::Only(two)) => {
                Self::Only(one.iter().filter(|r| two.contains(r)).copied().collect())
            }
        }
    }

    /// Returns whether `region` is allowed; a server whose region is unknown only takes requests for any region.
    pub fn contains(&self, region: Option<RegionId>) -> bool {
        match self {
            Self::Any => true,
            Self::Only(regions) => region.is_some_and(|r| regions.contains(&r)),
        }
    }

    /// Returns whether no region is allowed, so that the request can't be served anywhere.
    pub fn is_empty(&self) -> bool {
        matches!(self, Self::Only(regions) if regions.is_empty())
    }
}

/// Where the failure domains are, and which of them are evacuated.
#[derive(Debug, Clone, Copy)]
pub struct Eligibility<'a> {
    /// Region of each failure domain.
    pub regions: &'a [(DomainId, RegionId)],
    /// Failure domains whose servers take no new requests.
    pub evacuations: &'a Evacuations,
}

impl Eligibility<'_> {
    /// Returns the region of `domain`, if the settings name it.
    pub fn region(&self, domain: DomainId) -> Option<RegionId> {
        let known = self.regions.iter().find(|(d, _)| *d == domain);
        known.map(|(_, region)| *region)
    }

    /// Returns whether a request that is bound to `allowed` may be sent to the servers of `domain` now.
    pub fn allows(&self, allowed: &AllowedRegions, domain: DomainId) -> bool {
        !self.evacuations.is_evacuated(domain) && self.is_within(allowed, domain)
    }

    /// Returns whether `domain` is in one of the `allowed` regions.
    pub fn is_within(&self, allowed: &AllowedRegions, domain: DomainId) -> bool {
        allowed.contains(self.region(domain))
    }
}
