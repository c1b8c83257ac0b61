//! Spare capacity of servers, which hedges need.

use std::time::Instant;

use super::{PlacementRequest, PlacementView};
use crate::ident::ServerId;
use crate::routing::loads::KnownLoad;
use crate::routing::registry::RegistryEntry;

/// Returns whether a server has the spare capacity that the request needs, if it needs some.
pub(super) fn has_spare(
    view: &PlacementView<'_>,
    request: &PlacementRequest<'_>,
    (server, entry): (ServerId, &RegistryEntry),
    load: KnownLoad<'_>,
    now: Instant,
) -> bool {
    let Some(limits) = request.spare else {
        return true;
    };
    let load = load.snapshot(now);
    let slots = entry.registration.slots;
    let slots = request.engine.map_or(slots, |e| slots.min(e.slots));
    limits.has_spare(load.total.running, slots)
        && load.failure_rate < limits.failure_rate
        && view.registry.cold_time(server, now).is_zero()
}
