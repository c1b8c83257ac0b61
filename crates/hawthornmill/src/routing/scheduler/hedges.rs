//! Second copies of requests that have had no answer for some time.

use std::time::Instant;

use super::Scheduler;
use crate::ident::ServiceId;
use crate::routing::hedging::{HedgedServices, SPARE_LIMITS, Withheld};
use crate::routing::placement::{Placement, PlacementError};
use crate::routing::request::Request;

impl Scheduler {
    /// Returns whether settings ask for hedges of requests for `service`.
    pub fn hedges_service(&self, service: ServiceId) -> bool {
        let config = self.hedging.config();
        self.hedging.is_on()
            && (config.services == HedgedServices::All || self.reports_speed(service))
    }

    /// Places a hedge of `request`, which names the servers that have it already.
    ///
    /// It counts as sent from then on. It is never queued: a hedge that waits comes too late, and holds capacity that first
    /// copies need.
    ///
    /// # Errors
    /// Why the hedge must not be sent.
    pub fn place_hedge(&mut self, request: &Request, now: Instant) -> Result<Placement, Withheld> {
        let service = request.service;
        if self.queued_for(service).next().is_some() {
            return Err(Withheld::Queued);
        }
        if self.unmet_tracker.has_any(service, now) {
            return Err(Withheld::UnmetDemand);
        }
        let share = self.hedging.config().share;
        self.retry_budget.check_hedge(service, share, now)?;
        if !self.has_spare(request, now) {
            return Err(Withheld::Busy);
        }
        self.update_shares(now);
        let placement = self
            .place(request, &[], Some(SPARE_LIMITS), now)
            .map_err(|error| match error {
                PlacementError::TooLong => Withheld::TooLate,
                _ => Withheld::NoServer,
            })?;
        self.retry_budget.record_hedge(service, now);
        Ok(placement)
    }

    /// Returns whether the service of a request has spare capacity over all servers that take requests.
    fn has_spare(&self, request: &Request, now: Instant) -> bool {
        let mut loads = self.loads.cursor();
        let (mut running, mut slots) = (0_u32, 0_u32);
        let entries = self.registry.entries();
        for (id, entry) in entries.filter(|(_, e)| e.registration.service == request.service) {
            let load = loads.find(id);
            if load.is_down(now) || !self.may_send(id, now) {
                continue;
            }
            let own = entry.registration.slots;
            running = running.saturating_add(load.snapshot(now).total.running);
            slots = slots.saturating_add(request.engine.map_or(own, |e| own.min(e.slots)));
        }
        SPARE_LIMITS.has_spare(running, slots)
    }
}
