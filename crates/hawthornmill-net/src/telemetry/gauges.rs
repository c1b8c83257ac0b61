//! Gauges of queues, slots, peers and configuration, read when metrics are written.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Weak};

use hawthornmill::blackboard::Blackboard;
use opentelemetry::KeyValue;
use opentelemetry::metrics::AsyncInstrument;

use crate::fleet::Fleet;

type Observer<'a> = &'a dyn AsyncInstrument<u64>;

/// Starts every gauge of `fleet`; they read nothing once the fleet is gone.
pub fn start(fleet: &Arc<Fleet>) {
    gauge(fleet, "revision", |f, o| {
        o.observe(f.view(|b| b.config.revision), &[]);
    });
    gauge(fleet, "in_flight", |f, o| {
        o.observe(f.flying.load(Ordering::Relaxed) as u64, &[]);
    });
    gauge(fleet, "stale", |f, o| {
        o.observe(f.view(|b| u64::from(b.stale_since.is_some())), &[]);
    });
    gauge(fleet, "members_live", |f, o| {
        o.observe(f.view(|b| b.members.live().count() as u64), &[]);
    });
    gauge(fleet, "keys", |f, o| {
        o.observe(f.home.lock().table.len() as u64, &[]);
    });
    gauge(fleet, "waiting", |f, o| f.view(|b| waiting(b, o)));
    gauge(fleet, "slots_granted", |f, o| slots(f, o, false));
    gauge(fleet, "slots_idle", |f, o| slots(f, o, true));
    counter(fleet, "peer_bytes", |f| &f.outgoing.sent);
    counter(fleet, "peer_bytes_far", |f| &f.outgoing.sent_far);
    counter(fleet, "peer_messages_dropped", |f| &f.outgoing.dropped);
    counter(fleet, "peer_frames_refused", |f| &f.outgoing.refused);
}

fn gauge(
    fleet: &Arc<Fleet>,
    name: &'static str,
    read: impl Fn(&Fleet, Observer<'_>) + Send + Sync + 'static,
) {
    let weak: Weak<Fleet> = Arc::downgrade(fleet);
    let meter = &fleet.telemetry.meters.meter;
    // The provider keeps the instrument and its callback.
    let _kept = meter
        .u64_observable_gauge(name)
        .with_callback(move |observer| {
            if let Some(fleet) = weak.upgrade() {
                read(&fleet, observer);
            }
        })
        .build();
}

fn counter(fleet: &Arc<Fleet>, name: &'static str, read: fn(&Fleet) -> &AtomicU64) {
    let weak: Weak<Fleet> = Arc::downgrade(fleet);
    let meter = &fleet.telemetry.meters.meter;
    let _kept = meter
        .u64_observable_counter(name)
        .with_callback(move |observer| {
            if let Some(fleet) = weak.upgrade() {
                observer.observe(read(&fleet).load(Ordering::Relaxed), &[]);
            }
        })
        .build();
}

/// Queues that are not empty, by service and account; there are no more than grants allow.
fn waiting(board: &Blackboard, observer: Observer<'_>) {
    for ((service, account), queue) in &board.queues {
        let names = (
            board.config.services.get(service),
            board.config.accounts.get(account),
        );
        if let (Some(service), Some(account)) = names {
            let attributes = [
                KeyValue::new("service", service.name.to_string()),
                KeyValue::new("account", account.name.to_string()),
            ];
            observer.observe(queue.len() as u64, &attributes);
        }
    }
}

/// Slots of the pools that this instance owns.
fn slots(fleet: &Fleet, observer: Observer<'_>, idle: bool) {
    let now = fleet.clock.now();
    fleet.view(|board| {
        for (id, owned) in board.owned_pools.iter().filter(|(_, o)| o.active) {
            let Some(pool) = board.config.pools.get(id) else {
                continue;
            };
            let service = &board.config.services[&pool.service].name;
            let domain = board.config.domain_names.get(&pool.domain);
            let attributes = [
                KeyValue::new("service", service.to_string()),
                KeyValue::new(
                    "domain",
                    domain.map(ToString::to_string).unwrap_or_default(),
                ),
            ];
            let count = if idle {
                u64::from(owned.idle_slots(now))
            } else {
                owned.held.len() as u64
            };
            observer.observe(count, &attributes);
        }
    });
}
