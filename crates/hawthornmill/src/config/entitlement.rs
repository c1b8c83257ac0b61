//! The fraction of each service that each account is entitled to when all accounts are backlogged.
//!
//! Simulates the scheduler with small parts of slots: each part on a class of servers goes to the
//! account with the least normalised service among those that may use the class. So the result
//! includes the effect of overlapping and restrictive selectors.

use std::collections::BTreeMap;

use super::model::FleetConfig;
use crate::ident::{AccountId, ServiceId};

/// Parts into which the capacity of each class is divided; gives a precision of 0.1 %.
const ROUNDS: usize = 4000;

/// Fraction of a service's slots that an account is entitled to, from 0 to 1.
pub type Entitlements = BTreeMap<(ServiceId, AccountId), f64>;

#[derive(Debug)]
struct ClassSlots<'a> {
    slots: f64,
    shares: &'a BTreeMap<AccountId, f64>,
}

/// Computes the entitlement of every account on every service; leaving servers have no slots.
pub fn entitlements(config: &FleetConfig) -> Entitlements {
    let mut result = Entitlements::new();
    for service in config.services.keys() {
        for (account, part) in service_entitlements(config, *service) {
            result.insert((*service, account), part);
        }
    }
    result
}

fn service_entitlements(config: &FleetConfig, service: ServiceId) -> BTreeMap<AccountId, f64> {
    let classes = classes(config, service);
    let total: f64 = classes.iter().map(|r| r.slots).sum();
    let mut received: BTreeMap<AccountId, f64> = BTreeMap::new();
    let mut normalised: BTreeMap<AccountId, f64> = BTreeMap::new();
    for _ in 0..ROUNDS {
        for class in classes.iter().filter(|r| !r.shares.is_empty()) {
            let level = |a: &AccountId| normalised.get(a).copied().unwrap_or(0.0);
            let next = class
                .shares
                .iter()
                .min_by(|a, b| level(a.0).total_cmp(&level(b.0)));
            let Some((account, share)) = next else {
                continue;
            };
            let part = class.slots / ROUNDS as f64;
            *received.entry(*account).or_default() += part / total;
            *normalised.entry(*account).or_default() += part / share;
        }
    }
    received
}

/// Slots of `service` by server class.
fn classes(config: &FleetConfig, service: ServiceId) -> Vec<ClassSlots<'_>> {
    let mut slots: BTreeMap<u16, f64> = BTreeMap::new();
    let servers = config.servers.values();
    for server in servers.filter(|s| s.service == service && !s.leaving) {
        *slots.entry(server.class).or_default() += f64::from(server.slots);
    }
    slots
        .into_iter()
        .map(|(class, slots)| ClassSlots {
            slots,
            shares: &config.classes[usize::from(class)].shares,
        })
        .collect()
}
