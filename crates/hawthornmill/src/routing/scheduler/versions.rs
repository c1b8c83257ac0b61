//! The version at which new streams begin.

use std::time::Instant;

use super::Scheduler;
use crate::ident::VersionId;
use crate::routing::placement::{
    Placement, PlacementError, PlacementRequest, PlacementView, choose_server,
};
use crate::routing::request::Request;
use crate::routing::version_history::choose;

impl Scheduler {
    /// Returns the version at which a new stream begins; `None` where the servers have one, or it begins none.
    pub(super) fn chosen_version(&self, request: &Request) -> Option<VersionId> {
        let key = request.new_stream?;
        let present = self.registry.choice(request.service)?;
        let versions = self.registry.versions();
        let first = versions.first_choice(request.service, key, request.asked);
        first.or_else(|| choose(key, &present))
    }

    /// Returns whether only some servers of its service may serve a request, so that others can have capacity when it finds none.
    pub(super) fn is_bound(&self, request: &Request) -> bool {
        request.is_bound() || self.chosen_version(request).is_some()
    }
}

/// Chooses a server of the version in `query`; of any version if that has none and the request is not `bound` to it.
///
/// Work doesn't wait for servers of a version while others could take it. Nobody can work such a choice out again, so these
/// streams rely on the records of instances alone. So a version whose servers are merely down, in doubt or were tried before
/// keeps its streams. A hedge is left out too.
pub(super) fn choose_version_server(
    view: &PlacementView<'_>,
    query: &PlacementRequest<'_>,
    bound: Option<VersionId>,
    now: Instant,
) -> Result<Placement, PlacementError> {
    let is_free = bound.is_none() && query.version.is_some() && query.spare.is_none();
    match choose_server(view, query, now) {
        Err(PlacementError::NoServer | PlacementError::RegionBound)
            if is_free && !has_servers(view, query) =>
        {
            let any = PlacementRequest {
                version: None,
                ..*query
            };
            choose_server(view, &any, now)
        }
        decided => decided,
    }
}

/// Returns whether servers of the version in `query` are registered where the request may be served.
fn has_servers(view: &PlacementView<'_>, query: &PlacementRequest<'_>) -> bool {
    let mut entries = view.registry.entries().map(|(_, e)| &e.registration);
    entries.any(|r| {
        r.service == query.service
            && Some(r.version) == query.version
            && !r.draining
            && view.eligibility.allows(query.allowed_regions, r.domain)
    })
}
