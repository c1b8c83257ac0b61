//! Settles a call at its end: slot, charge, usage record.

use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use hawthornmill::codes::Outcome;
use hawthornmill::usage::UsageRecord;

use super::call::{Call, cost_of, count};
use super::problem::Problem;
use crate::fleet::{Fleet, SlotGuard};
use crate::upstream::COST;

/// How a call ended.
#[derive(Debug, Clone, Copy)]
pub struct Finished {
    /// Numbered code; 0 for a whole answer.
    pub code: u16,
    /// What is known of the request.
    pub outcome: Outcome,
}

/// The cost that the head of an answer reports.
pub fn reported(answer: &reqwest::Response) -> Option<f64> {
    let value = answer.headers().get(COST)?.to_str().ok()?;
    value
        .parse()
        .ok()
        .filter(|c: &f64| c.is_finite() && *c >= 0.0)
}

/// Gives the slot back, charges the call and writes its usage record.
pub fn finish(
    fleet: &Arc<Fleet>,
    call: &Call,
    mut slot: SlotGuard,
    reported: Option<f64>,
    finished: Finished,
) {
    let cost = if finished.outcome == Outcome::NotRun {
        0.0
    } else {
        cost_of(fleet, call, &slot, reported)
    };
    slot.set_cost(cost);
    count(fleet, finished.code);
    let held = fleet.clock.now().duration_since(slot.taken);
    let waited = slot.taken.duration_since(call.admitted.arrived);
    let meters = &fleet.telemetry.meters;
    meters.waited.record(waited.as_secs_f64() * 1000.0, &[]);
    meters.cost.record(cost, &[]);
    let (server, owner) = names(fleet, &slot);
    let mut record = blank(fleet, call);
    record.server = server;
    record.owner = owner;
    record.share = slot.dispatch.share;
    record.cost = cost;
    record.waited_ms = waited.as_secs_f64() * 1000.0;
    record.held_ms = held.as_secs_f64() * 1000.0;
    record.outcome = finished.outcome.name().into();
    record.code = finished.code;
    record.reason = if record.waited_ms > 5.0 {
        "slots"
    } else {
        "none"
    }
    .into();
    drop(slot);
    fleet.telemetry.usage(record);
}

fn names(fleet: &Fleet, slot: &SlotGuard) -> (Box<str>, Box<str>) {
    fleet.view(|board| {
        let server = board.config.servers.get(&slot.dispatch.server);
        let owner = board.members.map.get(&slot.dispatch.owner);
        (
            server.map_or_else(|| "".into(), |s| s.name.clone()),
            owner.map_or_else(|| "".into(), |m| m.contact.name.clone()),
        )
    })
}

/// Writes the usage record of a request that got no slot.
pub fn record_refusal(fleet: &Arc<Fleet>, call: &Call, problem: &Problem) {
    let mut record = blank(fleet, call);
    let waited = fleet.clock.now().duration_since(call.admitted.arrived);
    record.waited_ms = waited.as_secs_f64() * 1000.0;
    record.outcome = problem.outcome.name().into();
    record.code = problem.code.number();
    record.reason = "slots".into();
    fleet.telemetry.usage(record);
}

fn blank(fleet: &Fleet, call: &Call) -> UsageRecord {
    UsageRecord {
        entry: fleet.settings.contact.name.clone(),
        incarnation: fleet.incarnation.0,
        seq: 0,
        at_ms: SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |d| d.as_millis() as u64),
        request: call.out.id.clone(),
        account: call.admitted.account_name.clone(),
        service: call.admitted.service_name.clone(),
        server: "".into(),
        owner: "".into(),
        share: 0.0,
        cost: 0.0,
        waited_ms: 0.0,
        held_ms: 0.0,
        outcome: "".into(),
        code: 0,
        reason: "none".into(),
    }
}
