//! Charges calls and writes their usage records.
//!
//! A record is written for every attempt that held a slot, even if its caller disconnected, and for
//! every admitted call that was rejected without a slot. Calls that are not admitted (unknown token
//! or service, no grant, invalid headers, an instance that accepts no calls) belong to no account's
//! usage of a service, so they are only counted by code.

use std::sync::Arc;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use hawthornmill::codes::{Code, Outcome};
use hawthornmill::config::CostKind;
use hawthornmill::fairness::CostKey;
use hawthornmill::usage::{Reason, UsageRecord};

use super::call::{Call, call_cost, count_call};
use super::call_result::CallResult;
use super::problem::Problem;
use crate::fleet::{Fleet, SlotGuard};
use crate::quarantine;

/// The slot of an attempt in progress.
///
/// If the caller disconnects, the attempt is dropped at any point, possibly after bytes were sent.
/// The drop then charges the slot and writes its record, so that the server's work is counted.
#[derive(Debug)]
pub struct AttemptGuard<'a> {
    fleet: &'a Arc<Fleet>,
    call: &'a Call,
    slot: Option<SlotGuard>,
}

impl<'a> AttemptGuard<'a> {
    /// Guards `slot` until the attempt ends.
    pub fn new(fleet: &'a Arc<Fleet>, call: &'a Call, slot: SlotGuard) -> Self {
        Self {
            fleet,
            call,
            slot: Some(slot),
        }
    }

    /// The guarded slot.
    ///
    /// # Panics
    /// Never: the slot is taken out only by [`Self::into_slot`], which ends this value.
    pub fn slot(&mut self) -> &mut SlotGuard {
        self.slot.as_mut().expect("the slot is there until the end")
    }

    /// Takes the slot out; the caller must pass it on to [`finish`].
    ///
    /// # Panics
    /// Never, as for [`Self::slot`].
    pub fn into_slot(mut self) -> SlotGuard {
        self.slot.take().expect("the slot is there until the end")
    }
}

impl Drop for AttemptGuard<'_> {
    fn drop(&mut self) {
        if let Some(slot) = self.slot.take() {
            let result = CallResult {
                code: Code::UpstreamFailed.number(),
                outcome: Outcome::Unknown,
            };
            finish(self.fleet, self.call, slot, None, result);
        }
    }
}

/// Counts `call` as holding a slot, for the usage log's checkpoints.
pub fn start(fleet: &Fleet, call: &Call) {
    let estimate = estimated_cost(fleet, call);
    let admitted = &call.admitted;
    let usage = &fleet.telemetry.usage;
    usage.call_started(&admitted.service_name, &admitted.account_name, estimate);
}

/// Releases the slot, charges the call and writes its usage record.
pub fn finish(
    fleet: &Arc<Fleet>,
    call: &Call,
    mut slot: SlotGuard,
    reported: Option<f64>,
    result: CallResult,
) {
    let not_run = result.outcome == Outcome::NotRun;
    if result.code == 0 && result.outcome == Outcome::Ran {
        quarantine::record_answer(fleet, call);
    }
    let cost = if not_run {
        0.0
    } else {
        call_cost(fleet, call, &slot, reported)
    };
    slot.set_cost(cost);
    count_call(fleet, result.code);
    let waited = slot.acquired_at.duration_since(slot.dispatch.arrived);
    let instruments = &fleet.telemetry.instruments;
    instruments
        .wait_ms
        .record(waited.as_secs_f64() * 1000.0, &[]);
    instruments.cost.record(cost, &[]);
    let (server, owner) = server_and_owner(fleet, &slot);
    let mut record = new_record(fleet, call);
    record.server = server;
    record.owner = owner;
    record.share = slot.dispatch.share;
    record.cost = cost;
    record.estimated = !not_run && reported.is_none() && call.admitted.cost == CostKind::Reported;
    record.waited_ms = waited.as_secs_f64() * 1000.0;
    record.held_ms = millis_between(slot.acquired_at, fleet.clock.now());
    record.outcome = result.outcome.name().into();
    record.code = result.code;
    record.reason = if not_run {
        Reason::ServerFailed
    } else {
        wait_reason(fleet, call, slot.dispatch.arrived, slot.acquired_at)
    };
    drop(slot);
    fleet
        .telemetry
        .usage
        .call_ended(&record.service, &record.account, record.estimate);
    fleet.telemetry.usage.write_record(record);
}

/// Writes the usage record of an admitted call that got no slot and waited since `since`.
pub fn record_rejection(fleet: &Fleet, call: &Call, problem: &Problem, since: Instant) {
    let now = fleet.clock.now();
    let mut record = new_record(fleet, call);
    record.waited_ms = millis_between(since, now);
    record.share = first_share(fleet, call);
    record.outcome = problem.attempt.name().into();
    record.code = problem.code.number();
    record.reason =
        Reason::from_code(problem.code).unwrap_or_else(|| wait_reason(fleet, call, since, now));
    fleet.telemetry.usage.write_record(record);
}

fn millis_between(from: Instant, to: Instant) -> f64 {
    to.duration_since(from).as_secs_f64() * 1000.0
}

fn wait_reason(fleet: &Fleet, call: &Call, since: Instant, until: Instant) -> Reason {
    let admitted = &call.admitted;
    fleet.view(|board| {
        let causes = fleet.telemetry.usage.wait_tracker();
        causes.reason(board, admitted.service, admitted.account, since, until)
    })
}

fn server_and_owner(fleet: &Fleet, slot: &SlotGuard) -> (Box<str>, Box<str>) {
    fleet.view(|board| {
        let server = board.config.servers.get(&slot.dispatch.server);
        let owner = board.members.map.get(&slot.dispatch.owner);
        (
            server.map_or_else(|| "".into(), |s| s.name.clone()),
            owner.map_or_else(|| "".into(), |m| m.contact.name.clone()),
        )
    })
}

/// The account's share on the first of the service's servers that it may use.
fn first_share(fleet: &Fleet, call: &Call) -> f64 {
    let admitted = &call.admitted;
    fleet.view(|board| {
        let config = &board.config;
        let pools = config.pools_by_service.get(&admitted.service);
        let mut servers = pools
            .into_iter()
            .flatten()
            .filter_map(|pool| config.pools.get(pool))
            .flat_map(|pool| &pool.servers);
        servers
            .find_map(|s| config.share(admitted.account, *s))
            .unwrap_or(0.0)
    })
}

fn estimated_cost(fleet: &Fleet, call: &Call) -> f64 {
    let (service, account) = (call.admitted.service, call.admitted.account);
    fleet.view(|board| {
        let service_config = board.config.services.get(&service);
        let default = service_config.map_or(0.0, |s| s.estimate);
        board
            .ledger
            .estimated_cost(CostKey { service, account }, default)
    })
}

fn new_record(fleet: &Fleet, call: &Call) -> UsageRecord {
    UsageRecord {
        entry: fleet.settings.contact.name.clone(),
        incarnation: fleet.incarnation.0,
        seq: 0,
        at_ms: SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |d| d.as_millis() as u64),
        request: call.outbound.id.clone(),
        account: call.admitted.account_name.clone(),
        service: call.admitted.service_name.clone(),
        server: "".into(),
        owner: "".into(),
        share: 0.0,
        estimate: estimated_cost(fleet, call),
        cost: 0.0,
        estimated: false,
        waited_ms: 0.0,
        held_ms: 0.0,
        outcome: "".into(),
        code: 0,
        reason: Reason::None,
    }
}
