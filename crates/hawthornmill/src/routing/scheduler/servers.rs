//! What a scheduler learns of the servers: registrations, evacuations, and servers that turn cold or warm.

use std::time::{Duration, Instant};

use super::Scheduler;
use crate::ident::{DomainId, ServerId, ServiceId, VersionId};
use crate::routing::announcements::ColdServer;
use crate::routing::catalog::Catalog;
use crate::routing::evacuations::Evacuation;
use crate::routing::loads::ServerReport;
use crate::routing::placement::{HomeServers, PlacedSpeed, Placement};
use crate::routing::registry::{Change, RegistrationList, ServerRun};
use crate::routing::run_doubt::ReportedRun;
use crate::routing::server_notices::Availability;

impl Scheduler {
    /// Takes over what a catalog that comes into force says of the servers.
    pub fn apply_catalog(&mut self, catalog: &Catalog) {
        self.token_rate = catalog.limits.token_rate;
        let services = catalog.services.iter();
        self.cold_starts = services
            .filter_map(|s| Some((s.id, s.cold_start?)))
            .collect();
    }

    /// Forgets servers that are cold no longer, and returns them.
    pub fn take_warm(&mut self, now: Instant) -> Vec<ServerId> {
        let warm = self.registry.take_warm(now);
        let registry = &self.registry;
        self.cold_limiter
            .retain(|server| !registry.cold_time(server, now).is_zero());
        warm
    }

    /// Applies one change of a registration; returns false when it is older than the current entry.
    pub fn apply_change(&mut self, change: Change, now: Instant) -> bool {
        let applied = self.registry.apply(change, now);
        self.drop_lost_caches();
        self.doubts.follow(&self.registry, now);
        applied
    }

    /// Applies a change of an evacuation; returns whether servers of the domain begin or cease to get requests by it, or
    /// `None` when as much was known already.
    pub fn apply_evacuation(&mut self, change: Evacuation, now: Instant) -> Option<bool> {
        let changed = self.evacuations.apply(change)?;
        if changed && !change.active {
            self.expect_cold(change.domain, now);
        }
        Some(changed)
    }

    /// Takes all servers of a domain for cold that is taken back: they got no requests for a while, and register as cold
    /// up to a heartbeat later.
    fn expect_cold(&mut self, domain: DomainId, now: Instant) {
        let servers = self.registry.entries();
        let servers = servers.filter(|(_, e)| e.registration.domain == domain);
        let cold_time = |service| self.cold_starts.get(&service).map(|c| c.time);
        let cold: Vec<(ServerId, Duration)> = servers
            .filter_map(|(id, e)| Some((id, cold_time(e.registration.service)?)))
            .collect();
        for (server, time) in cold {
            self.registry.mark_cold(server, time, false, now);
        }
    }

    /// Applies a peer's announcement that a server has turned cold.
    pub fn apply_cold(&mut self, cold: ColdServer, now: Instant) {
        if self.registry.get(cold.server).is_some() {
            self.registry
                .mark_cold(cold.server, cold.remaining, true, now);
        }
    }

    /// Returns the servers that have turned cold since the last call, and sends nothing for a moment to those that were in
    /// use.
    pub fn take_turned_cold(&mut self, now: Instant) -> Vec<ServerId> {
        let turned = self.registry.take_turned_cold();
        for cold in turned.iter().filter(|c| c.was_used) {
            let service = self.registry.get(cold.server);
            let service = service.map(|e| e.registration.service);
            if let Some(cold_start) = service.and_then(|s| self.cold_starts.get(&s)) {
                self.cold_limiter.pause(cold.server, *cold_start, now);
            }
        }
        turned.into_iter().map(|c| c.server).collect()
    }

    /// Returns the cold servers of `service` to which this instance may send nothing now.
    pub(super) fn cold_at_limit(&mut self, service: ServiceId, now: Instant) -> HomeServers {
        let Some(cold_start) = self.cold_starts.get(&service) else {
            return HomeServers::new();
        };
        let cold = self.registry.cold_servers(now);
        let cold = cold.filter(|(_, e)| e.registration.service == service);
        cold.filter(|(id, e)| {
            let domain = e.registration.domain;
            !self.cold_limiter.allows(*id, domain, *cold_start, now)
        })
        .map(|(id, _)| id)
        .collect()
    }

    /// Applies what a server reports of itself in a response.
    pub fn apply_server_report(&mut self, server: ServerId, report: ServerReport, now: Instant) {
        self.loads.apply_server_report(server, report, now);
        let Some(figure) = report.speed else {
            return;
        };
        if let Some(entry) = self.registry.get(server) {
            let speeds = &mut self.loads.speeds;
            speeds.record_figure(server, &entry.registration, figure, now);
        }
    }

    /// Returns whether servers of `service` report how long work takes there.
    pub fn reports_speed(&self, service: ServiceId) -> bool {
        self.loads.speeds.reports(service)
    }

    /// Records how long the first token took at a server whose service reports speeds.
    ///
    /// Times count as those of a usual server in the estimate of the service. It would otherwise follow the servers that get
    /// most requests, and the instances would compare servers with different standards.
    pub(super) fn record_speed(
        &mut self,
        service: ServiceId,
        placement: &Placement,
        speed: PlacedSpeed,
        time: Duration,
        now: Instant,
    ) {
        let sent_at = now.checked_sub(time).unwrap_or(now);
        // What a server takes longer while it is cold is no property of it.
        if self.registry.cold_time(placement.server, sent_at) > Duration::ZERO {
            return;
        }
        let served = time.saturating_sub(placement.round_trip);
        let speeds = &mut self.loads.speeds;
        if placement.queued_prefill > 0 {
            let expected = placement.baseline_ttft.saturating_sub(placement.round_trip);
            let usual = speeds.record_time(placement.server, &self.registry, expected, served, now);
            let model = self.ttft_models.entry(service).or_default();
            model.observe(placement.queued_prefill, usual, now);
        } else if speed.has_free_slot {
            speeds.record_plain_time(placement.server, &self.registry, served, now);
        }
    }

    /// Applies a whole list of registrations; see
    /// [`Registry::replace_all`](crate::routing::registry::Registry::replace_all).
    pub fn replace_registrations(&mut self, list: RegistrationList, now: Instant) {
        self.registry.replace_all(list, now);
        self.drop_lost_caches();
        self.doubts.follow(&self.registry, now);
    }

    /// Drops cached prefixes and speeds of servers that are gone or have restarted under the same name.
    ///
    /// Otherwise a restarted server would attract prompts whose prefixes it no longer caches, and a fast server might take
    /// the name of a slow one.
    fn drop_lost_caches(&mut self) {
        for server in self.registry.take_lost_caches() {
            self.prefix_index.remove_server(server);
            self.loads.speeds.forget(server);
        }
    }

    /// Returns whether a request that was placed on `server` may still be sent there.
    pub fn may_send(&self, server: ServerId, now: Instant) -> bool {
        let Some(entry) = self.registry.get(server) else {
            return false;
        };
        let availability = self.notices.availability(server, entry, now);
        let is_told_off = matches!(
            availability,
            Availability::Resting(_) | Availability::Leaving
        );
        let is_evacuated = self.evacuations.is_evacuated(entry.registration.domain);
        !entry.registration.draining && !is_evacuated && !is_told_off
    }

    /// Returns whether the version of `run` is known to be `version`.
    pub fn has_version(&self, run: ServerRun, version: VersionId) -> bool {
        let entry = self.registry.get(run.server);
        let entry = entry.filter(|e| e.registration.start_ms == run.start_ms);
        entry.is_some_and(|e| e.registration.version == version)
            && !self.doubts.is_doubted(run.server)
    }

    /// Records that a connection to `run` broke at the instant `at`; returns whether its version is in doubt from now on and
    /// wasn't before.
    pub fn record_break(&mut self, run: ServerRun, at: Instant, now: Instant) -> bool {
        let entry = self.registry.get(run.server);
        entry.is_some_and(|e| e.registration.start_ms == run.start_ms)
            && self.doubts.record_break(run, at, now)
    }

    /// Records the start that a server reported when it was asked at `asked`, while `run` is registered.
    pub fn record_report(
        &mut self,
        run: ServerRun,
        start_ms: u64,
        asked: Instant,
        now: Instant,
    ) -> ReportedRun {
        let registry = &self.registry;
        self.doubts
            .record_report(run, start_ms, asked, registry, now)
    }

    /// Drops expired state and returns the servers whose registrations expired.
    pub fn sweep(&mut self, now: Instant) -> Vec<ServerId> {
        let expired = self.registry.expire(now);
        self.drop_lost_caches();
        self.doubts.follow(&self.registry, now);
        let registry = &self.registry;
        self.loads.sweep(|id| registry.get(id).is_some(), now);
        self.notices.sweep(|id| registry.get(id).is_some(), now);
        expired
    }
}
