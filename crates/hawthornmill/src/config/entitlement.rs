//! What each account is owed of each service when every account waits all the time.
//!
//! The scheduler's own rule is applied to parts of a slot: a part that comes free on a class of
//! servers goes to the account with the least normalised service among those that may use the
//! class. So overlapping and confining selectors are counted as they work out, not as they read.

use std::collections::BTreeMap;

use super::model::FleetConfig;
use crate::ident::{AccountId, ServiceId};

/// Parts into which the capacity of each class is divided; the result is good to one in a thousand.
const ROUNDS: usize = 4000;

/// Part of a service's slots that an account is owed, from 0 to 1.
pub type Entitlements = BTreeMap<(ServiceId, AccountId), f64>;

#[derive(Debug)]
struct Room<'a> {
    slots: f64,
    shares: &'a BTreeMap<AccountId, f64>,
}

/// Works out what every account is owed of every service; leaving servers have no slots.
pub fn entitlements(config: &FleetConfig) -> Entitlements {
    let mut owed = Entitlements::new();
    for service in config.services.keys() {
        for (account, part) in owed_of(config, *service) {
            owed.insert((*service, account), part);
        }
    }
    owed
}

fn owed_of(config: &FleetConfig, service: ServiceId) -> BTreeMap<AccountId, f64> {
    let rooms = rooms(config, service);
    let total: f64 = rooms.iter().map(|r| r.slots).sum();
    let mut received: BTreeMap<AccountId, f64> = BTreeMap::new();
    let mut normalised: BTreeMap<AccountId, f64> = BTreeMap::new();
    for _ in 0..ROUNDS {
        for room in rooms.iter().filter(|r| !r.shares.is_empty()) {
            let level = |a: &AccountId| normalised.get(a).copied().unwrap_or(0.0);
            let least = room
                .shares
                .iter()
                .min_by(|a, b| level(a.0).total_cmp(&level(b.0)));
            let Some((account, share)) = least else {
                continue;
            };
            let part = room.slots / ROUNDS as f64;
            *received.entry(*account).or_default() += part / total;
            *normalised.entry(*account).or_default() += part / share;
        }
    }
    received
}

/// Slots of `service` by class of servers.
fn rooms(config: &FleetConfig, service: ServiceId) -> Vec<Room<'_>> {
    let mut slots: BTreeMap<u16, f64> = BTreeMap::new();
    let servers = config.servers.values();
    for server in servers.filter(|s| s.service == service && !s.leaving) {
        *slots.entry(server.class).or_default() += f64::from(server.slots);
    }
    slots
        .into_iter()
        .map(|(class, slots)| Room {
            slots,
            shares: &config.classes[usize::from(class)].shares,
        })
        .collect()
}
