//! Observable instruments for queues, slots, peers and configuration, read at each export.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Weak};

use hawthornmill::blackboard::Blackboard;
use opentelemetry::KeyValue;
use opentelemetry::metrics::AsyncInstrument;

use crate::fleet::Fleet;

type Observer<'a> = &'a dyn AsyncInstrument<u64>;

/// Registers the instruments of `fleet`; they observe nothing after it is dropped.
pub fn register(fleet: &Arc<Fleet>) {
    register_gauge(fleet, "revision", |f, o| {
        o.observe(f.view(|b| b.config.revision), &[]);
    });
    register_gauge(fleet, "in_flight", |f, o| {
        o.observe(f.in_flight.load(Ordering::Relaxed) as u64, &[]);
    });
    register_gauge(fleet, "stale", |f, o| {
        o.observe(f.view(|b| u64::from(b.stale_since.is_some())), &[]);
    });
    register_gauge(fleet, "members_live", |f, o| {
        o.observe(f.view(|b| b.members.live().count() as u64), &[]);
    });
    register_gauge(fleet, "keys", |f, o| {
        o.observe(f.home.lock().table.len() as u64, &[]);
    });
    register_gauge(fleet, "waiting", |f, o| f.view(|b| observe_queues(b, o)));
    register_gauge(fleet, "slots_granted", |f, o| observe_slots(f, o, false));
    register_gauge(fleet, "slots_idle", |f, o| observe_slots(f, o, true));
    register_counter(fleet, "peer_bytes", |f| &f.outgoing.sent_bytes);
    register_counter(fleet, "peer_bytes_far", |f| &f.outgoing.cross_region_bytes);
    register_counter(fleet, "peer_messages_dropped", |f| {
        &f.outgoing.dropped_messages
    });
    register_counter(fleet, "peer_frames_refused", |f| {
        &f.outgoing.rejected_frames
    });
}

fn register_gauge(
    fleet: &Arc<Fleet>,
    name: &'static str,
    read: impl Fn(&Fleet, Observer<'_>) + Send + Sync + 'static,
) {
    let weak: Weak<Fleet> = Arc::downgrade(fleet);
    let meter = &fleet.telemetry.instruments.meter;
    // The meter provider owns the callback, so the instrument can be dropped.
    let _instrument = meter
        .u64_observable_gauge(name)
        .with_callback(move |observer| {
            if let Some(fleet) = weak.upgrade() {
                read(&fleet, observer);
            }
        })
        .build();
}

fn register_counter(fleet: &Arc<Fleet>, name: &'static str, read: fn(&Fleet) -> &AtomicU64) {
    let weak: Weak<Fleet> = Arc::downgrade(fleet);
    let meter = &fleet.telemetry.instruments.meter;
    let _instrument = meter
        .u64_observable_counter(name)
        .with_callback(move |observer| {
            if let Some(fleet) = weak.upgrade() {
                observer.observe(read(&fleet).load(Ordering::Relaxed), &[]);
            }
        })
        .build();
}

/// Observes nonempty queues by service and account; grants limit their number.
fn observe_queues(board: &Blackboard, observer: Observer<'_>) {
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

/// Observes held or idle slots of the pools that this instance owns.
fn observe_slots(fleet: &Fleet, observer: Observer<'_>, idle: bool) {
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
