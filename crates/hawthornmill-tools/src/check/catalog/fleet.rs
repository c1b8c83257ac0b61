//! What is known of the fleet that a catalog is meant for.

use std::collections::BTreeSet;

use hawthornmill::ident::{DomainId, RegionId, ServiceId};
use hawthornmill::routing::catalog::Route;
use hawthornmill::routing::regions::AllowedRegions;
use hawthornmill::routing::registry::Registration;

/// Services and regions of the servers, as far as they are known.
#[derive(Debug, Default)]
pub struct Fleet {
    /// Regions of the failure domains that the settings name.
    regions: Option<BTreeSet<RegionId>>,
    /// Service and region of each registered server that doesn't leave.
    servers: Option<BTreeSet<(ServiceId, Option<RegionId>)>>,
}

impl Fleet {
    /// Derives the fleet from the failure domains of the settings and the registrations of the store.
    pub fn new(
        domains: Option<&[(DomainId, RegionId)]>,
        registrations: Option<&[Registration]>,
    ) -> Self {
        let region_of = |domain: DomainId| {
            let mut known = domains.unwrap_or_default().iter();
            known.find(|(d, _)| *d == domain).map(|(_, region)| *region)
        };
        let staying = |r: &&Registration| !r.draining;
        Self {
            regions: domains.map(|list| list.iter().map(|(_, region)| *region).collect()),
            servers: registrations.map(|list| {
                let servers = list.iter().filter(staying);
                servers.map(|r| (r.service, region_of(r.domain))).collect()
            }),
        }
    }

    /// Returns whether `service` certainly has no server.
    pub fn lacks_servers(&self, service: ServiceId) -> bool {
        let known = self.servers.as_ref();
        known.is_some_and(|list| !list.iter().any(|(s, _)| *s == service))
    }

    /// Returns whether certainly no server is in `region`.
    pub fn lacks_region(&self, region: RegionId) -> bool {
        let Some(regions) = &self.regions else {
            return false;
        };
        match &self.servers {
            Some(list) => !list.iter().any(|(_, r)| *r == Some(region)),
            None => !regions.contains(&region),
        }
    }

    /// Returns whether requests of `route` that are bound to `allowed` may find a server.
    pub fn serves(&self, route: &Route, allowed: &AllowedRegions) -> bool {
        let Some(regions) = &self.regions else {
            return !allowed.is_empty();
        };
        let Some(servers) = &self.servers else {
            return regions.iter().any(|r| allowed.contains(Some(*r)));
        };
        let used = route.targets.iter().filter(|t| t.weight > 0);
        let services: BTreeSet<ServiceId> = used.map(|t| t.service).collect();
        let mut candidates = servers.iter().filter(|(s, _)| services.contains(s));
        candidates.any(|(_, region)| allowed.contains(*region))
    }
}
