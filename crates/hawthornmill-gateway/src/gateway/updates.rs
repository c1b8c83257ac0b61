//! What a gateway learns of the platform and of the servers, from the store and from peers.

use std::time::Duration;

use hawthornmill::ident::ServerId;
use hawthornmill::quarantine::report::QuarantineReport;
use hawthornmill::quarantine::table::Change as QuarantineChange;
use hawthornmill::routing::announcements::{Announcements, ColdServer, Departure};
use hawthornmill::routing::evacuations::Evacuation;
use hawthornmill::routing::gossip::KnownState;
use hawthornmill::routing::recent::Source;
use hawthornmill::routing::registry::{Change, RegistrationList};
use serde_json::json;

use super::Gateway;
use crate::event_log;
use crate::server_runs;

impl Gateway {
    /// Returns how far this instance knows the store.
    pub fn known_state(&self) -> KnownState {
        let scheduler = self.scheduler.borrow();
        KnownState {
            catalog_version: self.catalog_version(),
            revision: scheduler.registry.latest_revision(),
            evacuation_revision: scheduler.evacuations.latest_revision(),
        }
    }

    /// Records how far a peer knows the store.
    pub fn observe_known(&self, peer: KnownState) {
        let (own, now) = (self.known_state(), self.now());
        self.catalog_lag
            .borrow_mut()
            .observe(peer.catalog_version, own.catalog_version, now);
        if peer.is_ahead_of(own) {
            self.behind_wakeup.notify_one();
        }
    }

    /// Applies a change of an evacuation.
    pub fn apply_evacuation(&self, change: Evacuation, from: &str, source: Source) {
        let now = self.now();
        let mut scheduler = self.scheduler.borrow_mut();
        let change = scheduler.evacuations.as_listed(change);
        let Some(changed) = scheduler.apply_evacuation(change, now) else {
            return;
        };
        drop(scheduler);
        self.announcements
            .borrow_mut()
            .record_evacuation(change, source, now);
        self.report_wakeup.notify_one();
        if !changed {
            return;
        }
        let event = if change.active {
            "domain_evacuated"
        } else {
            "domain_taken_back"
        };
        let domain = self.settings().domain_name(change.domain);
        let fields = json!({"domain": domain, "revision": change.revision, "from": from});
        event_log::state_change(event, fields);
        self.announce_cold(from, source);
        self.queue_wakeup.notify_one();
    }

    /// Applies the complete list of evacuated failure domains at `revision`.
    pub fn apply_evacuation_list(&self, listed: &[Evacuation], revision: u64) {
        let scheduler = self.scheduler.borrow();
        let changes = scheduler.evacuations.changes_to(listed, revision);
        drop(scheduler);
        for change in changes {
            self.apply_evacuation(change, "store", Source::Own);
        }
        let evacuations = &mut self.scheduler.borrow_mut().evacuations;
        evacuations.record_list(revision);
    }

    /// Applies a change of one registration.
    pub fn apply_change(&self, change: Change, from: &str) {
        let (fields, leaving) = (describe_change(&change, from), change.departure());
        let is_known = self
            .scheduler
            .borrow()
            .registry
            .get(change.server)
            .is_some();
        // An entry that is no server's, and was none before, concerns nobody.
        let is_odd = change.registration.is_none() && !is_known;
        if self.scheduler.borrow_mut().apply_change(change, self.now()) {
            if is_odd {
                return;
            }
            event_log::state_change("registration", fields);
            server_runs::settle(self);
            self.queue_wakeup.notify_one();
            self.announce_cold(from, Source::Own);
            if let Some(leaving) = leaving {
                self.announce_leaving(leaving, Source::Own);
            }
        }
    }

    /// Applies what a peer announces.
    pub fn apply_announcements(&self, announced: &Announcements) {
        for change in &announced.evacuations {
            self.apply_evacuation(*change, "peer", Source::Peer);
        }
        for cold in &announced.cold_servers {
            self.scheduler.borrow_mut().apply_cold(*cold, self.now());
        }
        self.announce_cold("peer", Source::Peer);
        for leaving in &announced.departures {
            if self
                .scheduler
                .borrow_mut()
                .registry
                .mark_draining(*leaving, self.now())
            {
                let server = self.server_name(leaving.server);
                let fields = json!({"server": server, "revision": leaving.revision});
                event_log::state_change("registration_leaving", fields);
                self.announce_leaving(*leaving, Source::Peer);
            }
        }
    }

    /// Logs and announces the servers that have turned cold.
    fn announce_cold(&self, from: &str, source: Source) {
        let now = self.now();
        let mut scheduler = self.scheduler.borrow_mut();
        for server in scheduler.take_turned_cold(now) {
            let remaining = scheduler.registry.cold_time(server, now);
            let known = scheduler.registry.get(server);
            let name = known.map(|k| k.registration.name.clone());
            let fields =
                json!({"server": name, "cold_ms": remaining.as_millis() as u64, "from": from});
            event_log::state_change("server_cold", fields);
            let cold = ColdServer { server, remaining };
            self.announcements
                .borrow_mut()
                .record_cold(cold, source, now);
            self.report_wakeup.notify_one();
        }
    }

    fn announce_leaving(&self, leaving: Departure, source: Source) {
        self.announcements
            .borrow_mut()
            .record_departure(leaving, source, self.now());
        self.report_wakeup.notify_one();
    }

    /// Records that a registration was removed at `revision`, possibly because the store was unavailable.
    ///
    /// The server could not renew its registration then, and may come back.
    pub fn suspect_removal(&self, server: ServerId, revision: u64) {
        let registry = &mut self.scheduler.borrow_mut().registry;
        if let Some(known) = registry.get(server) {
            let fields = json!({"server": known.registration.name, "revision": revision});
            event_log::state_change("registration_doubted", fields);
        }
        registry.mark_unconfirmed(server, revision, self.now());
    }

    /// Applies what a peer tells of ended servers and quarantined requests.
    pub fn apply_quarantine_report(&self, news: &QuarantineReport) {
        let now = self.now();
        for crash in &news.crashes {
            let age = Duration::from_millis(crash.age_ms.into());
            let at = now.checked_sub(age).unwrap_or(now);
            server_runs::record_break(self, crash.run, at, "peer");
        }
        let mut quarantine = self.quarantine.borrow_mut();
        if quarantine.apply(news, now) {
            drop(quarantine);
            self.announce_quarantine();
        }
    }

    /// Logs what changed in the quarantine, and tells held requests and other instances.
    pub fn announce_quarantine(&self) {
        self.log_quarantine();
        self.quarantine_wakeup.notify_waiters();
        self.report_wakeup.notify_one();
    }

    /// Logs what changed in the quarantine.
    pub fn log_quarantine(&self) {
        for change in self.quarantine.borrow_mut().take_changes() {
            match change {
                QuarantineChange::Quarantined {
                    fingerprint,
                    crashes,
                    heard,
                } => {
                    let fields = json!({"fingerprint": format!("{:x}", fingerprint.0), "ends": crashes, "heard": heard});
                    event_log::state_change("quarantine_begun", fields);
                }
                QuarantineChange::Trial(fingerprint) => {
                    let fields = json!({"fingerprint": format!("{:x}", fingerprint.0)});
                    event_log::state_change("quarantine_trial", fields);
                }
                QuarantineChange::Cleared(fingerprint) | QuarantineChange::Expired(fingerprint) => {
                    let cleared = matches!(change, QuarantineChange::Cleared(_));
                    let fields =
                        json!({"fingerprint": format!("{:x}", fingerprint.0), "cleared": cleared});
                    event_log::state_change("quarantine_ended", fields);
                }
            }
        }
    }

    /// Applies a complete list of registrations.
    pub fn apply_registrations(&self, list: RegistrationList, from: &str) {
        let fields = json!({
            "servers": list.entries.len(), "doubted": list.unconfirmed.len(), "revision": list.revision,
            "store_was_away": list.after_outage, "from": from, "age_ms": self.age_ms(),
        });
        event_log::state_change("registrations_listed", fields);
        self.scheduler
            .borrow_mut()
            .replace_registrations(list, self.now());
        server_runs::settle(self);
        // The own domain isn't told: its instances get the list too.
        self.announce_cold(from, Source::Peer);
        self.has_registrations.set(true);
        self.state_wakeup.notify_waiters();
        self.queue_wakeup.notify_one();
    }
}

fn describe_change(change: &Change, from: &str) -> serde_json::Value {
    match &change.registration {
        Some(entry) => json!({
            "server": entry.name, "address": entry.address.to_string(), "draining": entry.draining,
            "version": entry.version_name, "revision": change.revision, "from": from,
        }),
        None => json!({"server": format!("{:x}", change.server.0), "gone": true,
            "revision": change.revision, "from": from}),
    }
}
