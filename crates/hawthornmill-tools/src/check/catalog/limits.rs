//! Limits of a catalog that contradict each other.

use std::time::Duration;

use hawthornmill::codes::Code;
use hawthornmill::routing::catalog::{Catalog, Limits, Route, Service};

use super::finding::Findings;

/// Reports limits of 0, and limits that don't go together.
pub fn check_limits(catalog: &Catalog, found: &mut Findings) {
    check_callers(&catalog.limits, found);
    for route in &catalog.routes {
        check_route(route, found);
    }
    for service in &catalog.services {
        check_service(service, found);
    }
}

fn check_callers(limits: &Limits, found: &mut Findings) {
    let zeros = [
        ("size of a request's head", limits.header_bytes == 0),
        ("size of a request's body", limits.body_bytes == 0),
        ("time for a request's head", limits.header_timeout.is_zero()),
        ("idle time of a connection", limits.idle_timeout.is_zero()),
    ];
    for (limit, _) in zeros.into_iter().filter(|(_, is_zero)| *is_zero) {
        found.add(Code::LimitOfZero, format!("limits: the {limit} is 0"));
    }
    if limits.token_rate < 0.0 {
        let what = "limits: the token rate is negative, which counts as unknown";
        found.add(Code::ValueIgnored, what);
    }
}

fn check_route(route: &Route, found: &mut Findings) {
    let (name, timeout, objective) = (&route.name, route.timeout, route.objective);
    if timeout == Duration::ZERO {
        found.add(Code::LimitOfZero, format!("route {name}: the timeout is 0"));
    } else if timeout < objective {
        let what = format!(
            "route {name}: the timeout of {timeout:?} is below the latency objective of {objective:?}"
        );
        found.add(Code::TimeoutBelowObjective, what);
    }
    if route.max_attempts == 0 {
        let what = format!("route {name}: 0 attempts count as 1");
        found.add(Code::ValueIgnored, what);
    }
    let sum: u64 = route.targets.iter().map(|t| u64::from(t.weight)).sum();
    // The gateway adds the weights in 32 bits.
    if sum > u64::from(u32::MAX) {
        let what = format!("route {name}: the sum of the weights is too large");
        found.add(Code::WeightsTooLarge, what);
    }
}

fn check_service(service: &Service, found: &mut Findings) {
    let Some(engine) = service.engine else {
        return;
    };
    let (name, connections) = (&service.name, service.max_connections);
    for (limit, value) in [("slots", engine.slots), ("KV capacity", engine.kv_capacity)] {
        if value == 0 {
            let what =
                format!("service {name}: {limit} of 0; each server runs one request at a time");
            found.add(Code::ValueIgnored, what);
        }
    }
    if (1..engine.slots).contains(&connections) {
        let what = format!(
            "service {name}: a server accepts {connections} connections for {} slots",
            engine.slots
        );
        found.add(Code::FewConnections, what);
    }
}
