//! Settles calls: the charge for a slot and the usage record.
//!
//! Every attempt that held a slot leaves a record, also when its caller goes away meanwhile, and so
//! does every admitted call that is refused without a slot. Calls that are not admitted (unknown
//! token or service, no grant, bad headers, an instance that takes none) belong to no account's
//! use of a service; they are counted by code only.

use std::sync::Arc;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use hawthornmill::codes::{Code, Outcome};
use hawthornmill::config::CostKind;
use hawthornmill::fairness::CostKey;
use hawthornmill::usage::{Reason, UsageRecord};

use super::call::{Call, cost_of, count};
use super::problem::Problem;
use super::relay::Finished;
use crate::fleet::{Fleet, SlotGuard};

/// A slot whose call is being tried.
///
/// A caller that goes away drops the attempt wherever it stands, perhaps after bytes have left. The
/// drop then settles the slot, so that the server's work is charged and its record is not missing.
#[derive(Debug)]
pub struct Tried<'a> {
    fleet: &'a Arc<Fleet>,
    call: &'a Call,
    slot: Option<SlotGuard>,
}

impl<'a> Tried<'a> {
    /// Watches over `slot`.
    pub fn new(fleet: &'a Arc<Fleet>, call: &'a Call, slot: SlotGuard) -> Self {
        Self {
            fleet,
            call,
            slot: Some(slot),
        }
    }

    /// The slot.
    ///
    /// # Panics
    /// Never: the slot is taken out only by [`Self::into_slot`], which ends this value.
    pub fn slot(&mut self) -> &mut SlotGuard {
        self.slot.as_mut().expect("the slot is there until the end")
    }

    /// Hands the slot over to whoever settles it.
    ///
    /// # Panics
    /// Never, as [`Self::slot`].
    pub fn into_slot(mut self) -> SlotGuard {
        self.slot.take().expect("the slot is there until the end")
    }
}

impl Drop for Tried<'_> {
    fn drop(&mut self) {
        if let Some(slot) = self.slot.take() {
            let finished = Finished {
                code: Code::UpstreamFailed.number(),
                outcome: Outcome::Unknown,
            };
            finish(self.fleet, self.call, slot, None, finished);
        }
    }
}

/// Notes that `call` holds a slot, for the marks.
pub fn begin(fleet: &Fleet, call: &Call) {
    let estimate = estimate(fleet, call);
    let admitted = &call.admitted;
    let open = &fleet.telemetry.usage;
    open.begin(&admitted.service_name, &admitted.account_name, estimate);
}

/// Gives the slot back, charges the call and writes its usage record.
pub fn finish(
    fleet: &Arc<Fleet>,
    call: &Call,
    mut slot: SlotGuard,
    reported: Option<f64>,
    finished: Finished,
) {
    let not_run = finished.outcome == Outcome::NotRun;
    let cost = if not_run {
        0.0
    } else {
        cost_of(fleet, call, &slot, reported)
    };
    slot.set_cost(cost);
    count(fleet, finished.code);
    let waited = slot.taken.duration_since(slot.dispatch.arrived);
    let meters = &fleet.telemetry.meters;
    meters.waited.record(waited.as_secs_f64() * 1000.0, &[]);
    meters.cost.record(cost, &[]);
    let (server, owner) = names(fleet, &slot);
    let mut record = blank(fleet, call);
    record.server = server;
    record.owner = owner;
    record.share = slot.dispatch.share;
    record.cost = cost;
    record.estimated = !not_run && reported.is_none() && call.admitted.cost == CostKind::Reported;
    record.waited_ms = waited.as_secs_f64() * 1000.0;
    record.held_ms = millis(slot.taken, fleet.clock.now());
    record.outcome = finished.outcome.name().into();
    record.code = finished.code;
    record.reason = if not_run {
        Reason::ServerFailed
    } else {
        waited_for(fleet, call, slot.dispatch.arrived, slot.taken)
    };
    drop(slot);
    fleet
        .telemetry
        .usage
        .end(&record.service, &record.account, record.estimate);
    fleet.telemetry.usage.write(record);
}

/// Writes the usage record of an admitted call that got no slot; `since` is when it began to wait.
pub fn record_refusal(fleet: &Fleet, call: &Call, problem: &Problem, since: Instant) {
    let now = fleet.clock.now();
    let mut record = blank(fleet, call);
    record.waited_ms = millis(since, now);
    record.share = any_share(fleet, call);
    record.outcome = problem.attempt.name().into();
    record.code = problem.code.number();
    record.reason =
        Reason::from_code(problem.code).unwrap_or_else(|| waited_for(fleet, call, since, now));
    fleet.telemetry.usage.write(record);
}

fn millis(from: Instant, to: Instant) -> f64 {
    to.duration_since(from).as_secs_f64() * 1000.0
}

fn waited_for(fleet: &Fleet, call: &Call, since: Instant, until: Instant) -> Reason {
    let admitted = &call.admitted;
    fleet.view(|board| {
        let causes = fleet.telemetry.usage.causes();
        causes.reason(board, admitted.service, admitted.account, since, until)
    })
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

/// The account's share on the first server that is open to it.
fn any_share(fleet: &Fleet, call: &Call) -> f64 {
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

fn estimate(fleet: &Fleet, call: &Call) -> f64 {
    let (service, account) = (call.admitted.service, call.admitted.account);
    fleet.view(|board| {
        let known = board.config.services.get(&service);
        let default = known.map_or(0.0, |s| s.estimate);
        board
            .ledger
            .estimated_cost(CostKey { service, account }, default)
    })
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
        estimate: estimate(fleet, call),
        cost: 0.0,
        estimated: false,
        waited_ms: 0.0,
        held_ms: 0.0,
        outcome: "".into(),
        code: 0,
        reason: Reason::None,
    }
}
