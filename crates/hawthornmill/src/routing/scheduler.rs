//! Admits requests, queues them or refuses them.
//!
//! Load pattern: more work arrives than the servers can hold. A request is sent only to a server where it can begin in
//! time, so the servers' own queues, which know no priorities, stay short. Other requests wait here for a small fraction
//! of their objective. That smooths bursts; a longer wait would only turn an immediate refusal into a late response. The
//! queue is served in the order of the accounts' max-min fair shares, then of priority, then of arrival.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use slotmap::SlotMap;

use super::allowance::{self, LatencyLimit};
use super::catalog::ColdStart;
use super::cold_start::ColdStartLimiter;
use super::credit::Credit;
use super::evacuations::Evacuations;
use super::gossip::UnmetDemand;
use super::hedging::{Hedging, SpareLimits};
use super::loads::{LoadTracker, Work};
use super::long_prompts::LongPrompts;
use super::placement::{
    HomeServers, Location, Placement, PlacementError, PlacementRequest, PlacementView,
    is_prefill_bound,
};
use super::prefix_index::PrefixIndex;
use super::regions::Eligibility;
use super::registry::Registry;
use super::request::{Admission, Cause, Decision, DecisionContext, Refusal, Request, Ticket};
use super::retry_budget::RetryBudget;
use super::run_doubt::RunDoubts;
use super::server_notices::{Availability, ServerNotices};
use super::ttft::{TtftEstimate, TtftModel};
use super::unmet_demand::{UnmetDemandTracker, UnmetReason, preempts_others};
use super::usage::{AccountUsage, FairShare, ShareLevels, ShareStatus, UsageTracker};
use crate::codes::Code;
use crate::ident::{AccountId, DomainId, RegionId, ServerId, ServiceId};
use crate::limits::queue_rate::QueueRate;

mod exchange;
mod hedges;
mod queue;
mod servers;
mod shares;
mod versions;

use exchange::SpilledPrefixes;
use queue::{Awaited, MAX_WAIT_FRACTION, QueuedRequest, Reserved, Turn, wait_deadline};
use versions::choose_version_server;

/// Maximum number of queued requests of one instance; each holds its body in memory.
const MAX_QUEUE_LEN: usize = 512;
/// Refusal while the service has no known server; most servers are back, or replaced, within a second.
const NO_SERVER: Refusal = Refusal {
    code: Code::UpstreamUnreachable,
    cause: Cause::NoServer,
    retry_after: Duration::from_millis(700),
};

/// Refusal while no server is in a region in which the request may be served; evacuations and outages of all of them
/// last some seconds.
const REGION_BOUND: Refusal = Refusal {
    code: Code::RegionUnavailable,
    cause: Cause::RegionBound,
    retry_after: Duration::from_secs(1),
};

/// Decides which requests run where and when.
#[derive(Debug)]
pub struct Scheduler {
    /// Registered servers.
    pub registry: Registry,
    /// Load and health of the servers.
    pub loads: LoadTracker,
    /// Prompt prefixes that the servers have cached.
    pub prefix_index: PrefixIndex,
    /// Usage of the accounts.
    pub account_usage: UsageTracker,
    /// Budget for retries.
    pub retry_budget: RetryBudget,
    /// When second copies of requests are sent.
    pub hedging: Hedging,
    /// Region of each failure domain.
    pub regions: Vec<(DomainId, RegionId)>,
    /// Evacuated failure domains.
    pub evacuations: Evacuations,
    /// Whether servers may fetch cached parts of prompts from others.
    pub fetches_prefixes: bool,
    /// Long prompts that are owed.
    pub long_prompts: LongPrompts,
    /// Tokens per second that all engines yield; 0 when unknown.
    pub token_rate: f64,
    /// What servers of each service bear after a start.
    pub cold_starts: BTreeMap<ServiceId, ColdStart>,
    /// What this instance may send to cold servers.
    pub cold_limiter: ColdStartLimiter,
    /// What the servers said of themselves.
    pub notices: ServerNotices,
    /// Servers whose version is in doubt.
    pub doubts: RunDoubts,
    location: Location,
    ttft_models: BTreeMap<ServiceId, TtftModel>,
    queue_rates: BTreeMap<ServiceId, QueueRate>,
    queue: SlotMap<Ticket, QueuedRequest>,
    fleet_usage: BTreeMap<AccountId, AccountUsage>,
    share_levels: ShareLevels,
    shares: BTreeMap<AccountId, FairShare>,
    /// Of accounts that request more than their level.
    credits: BTreeMap<AccountId, Credit>,
    unmet_tracker: UnmetDemandTracker,
    spilled: SpilledPrefixes,
    peer_spilled: SpilledPrefixes,
    shares_updated: Option<Instant>,
    /// Work ended since queued requests were last dispatched.
    has_freed: bool,
}

impl Scheduler {
    /// Creates a scheduler without servers.
    pub fn new(
        location: Location,
        budget: RetryBudget,
        cold_limiter: ColdStartLimiter,
        notices: ServerNotices,
    ) -> Self {
        Self {
            registry: Registry::default(),
            loads: LoadTracker::default(),
            prefix_index: PrefixIndex::default(),
            account_usage: UsageTracker::default(),
            retry_budget: budget,
            hedging: Hedging::default(),
            regions: Vec::new(),
            evacuations: Evacuations::default(),
            fetches_prefixes: true,
            long_prompts: LongPrompts::default(),
            token_rate: 0.0,
            cold_starts: BTreeMap::new(),
            cold_limiter,
            notices,
            doubts: RunDoubts::default(),
            location,
            ttft_models: BTreeMap::new(),
            queue_rates: BTreeMap::new(),
            queue: SlotMap::with_key(),
            fleet_usage: BTreeMap::new(),
            share_levels: ShareLevels::default(),
            shares: BTreeMap::new(),
            credits: BTreeMap::new(),
            unmet_tracker: UnmetDemandTracker::default(),
            spilled: SpilledPrefixes::default(),
            peer_spilled: SpilledPrefixes::default(),
            shares_updated: None,
            has_freed: false,
        }
    }

    /// Returns the number of queued requests.
    pub fn queue_len(&self) -> usize {
        self.queue.len()
    }

    /// Decides on a request that arrived, or that its last server did not run.
    pub fn submit(&mut self, request: &Request, now: Instant) -> Admission {
        self.record_arrival(request, now);
        self.update_shares(now);
        let blocked = self.is_blocked(request, now);
        let turn = self.turn(request, now);
        let mut awaited = Awaited::Any(None);
        if let Turn::Now(reserved) = &turn
            && !blocked
        {
            match self.try_place(request, reserved, now) {
                Ok(placement) => return Admission::Decided(Ok(placement)),
                Err(PlacementError::NoServer) => return Admission::Decided(Err(NO_SERVER)),
                Err(PlacementError::RegionBound) => return Admission::Decided(Err(REGION_BOUND)),
                Err(PlacementError::TooLong) => {
                    return Admission::Decided(Err(self.refuse(request, Cause::TooLong, now)));
                }
                Err(PlacementError::Resting(until)) if until >= wait_deadline(request) => {
                    return Admission::Decided(Err(resting(request, until, now)));
                }
                Err(PlacementError::AllFull(soonest)) if self.is_bound(request) => {
                    awaited = Awaited::Homes(soonest.into_iter().collect());
                }
                Err(PlacementError::Resting(_)) if self.is_bound(request) => {
                    awaited = Awaited::Homes(HomeServers::new());
                }
                Err(PlacementError::Resting(_)) => {}
                Err(PlacementError::AllFull(soonest)) => {
                    let is_first = self.queue_head(request.service, now).is_none();
                    awaited = Awaited::Any(soonest.filter(|_| is_first));
                }
                Err(PlacementError::HomesFull(full)) => awaited = Awaited::Homes(full),
            }
        }
        let unmet = match turn {
            Turn::AfterDispatch => None,
            _ if blocked => Some(UnmetReason::Preempted),
            Turn::Now(_) => Some(UnmetReason::NoCapacity),
            Turn::Full => Some(UnmetReason::Behind),
        };
        if let Some(reason) = unmet {
            let (status, cost) = (self.status(request), request.shape.cost());
            self.unmet_tracker
                .record(request.service, status, reason, cost, now);
        }
        if blocked {
            return Admission::Decided(Err(self.refuse(request, Cause::OverFairShare, now)));
        }
        if self.queue.len() >= MAX_QUEUE_LEN || self.is_hopeless(request, now) {
            return Admission::Decided(Err(self.refuse(request, Cause::QueueFull, now)));
        }
        let was_tried = !matches!(turn, Turn::AfterDispatch);
        let tried_as = was_tried.then(|| self.status(request));
        let request = request.clone();
        Admission::Queued(self.queue.insert(QueuedRequest {
            request,
            awaited,
            tried_as,
        }))
    }

    /// Records a request's first attempt.
    fn record_arrival(&mut self, request: &Request, now: Instant) {
        if !request.tried.is_empty() {
            return;
        }
        self.retry_budget.record_request(request.service, now);
        self.long_prompts
            .record_arrival(request.route, request.shape.cost(), now);
        if let Some(account) = request.account {
            self.account_usage
                .record_requested(account, request.shape.cost(), now);
        }
    }

    /// Decides on queued requests; each request is returned at most once.
    ///
    /// A request that finds no capacity is overtaken only by smaller ones, and reserves a server: the one that will have
    /// capacity first, or each of the few that it waits for. Otherwise short prompts would keep taking each free slot, and a
    /// long one would never be placed. The requests behind it need not wait for that server; one that is no smaller
    /// would find no capacity either.
    pub fn dispatch_queued(&mut self, now: Instant) -> Vec<(Ticket, Decision)> {
        self.update_shares(now);
        self.has_freed = false;
        let mut order: Vec<Ticket> = self.queue.keys().collect();
        order.sort_by_key(|t| self.rank(&self.queue[*t].request));
        let mut reserved = Reserved::default();
        let mut all = Vec::new();
        for ticket in order {
            let Some(decision) = self.try_dispatch(ticket, &mut reserved, now) else {
                continue;
            };
            if let Some(queued) = self.queue.remove(ticket) {
                self.record_dequeue(queued.request.service, decision.is_ok(), now);
            }
            all.push((ticket, decision));
        }
        all
    }

    /// Decides on a queued request; returns `None` when it stays in the queue.
    fn try_dispatch(
        &mut self,
        ticket: Ticket,
        reserved: &mut Reserved,
        now: Instant,
    ) -> Option<Decision> {
        let queued = &self.queue[ticket].request;
        let (service, tokens) = (queued.service, queued.shape.prompt_tokens);
        let expired = now >= wait_deadline(queued);
        let least = reserved.least_tokens(service);
        if least.is_some_and(|least| tokens >= least) || self.is_blocked(queued, now) {
            let refusal = expired.then(|| Err(self.refuse(queued, Cause::QueueTimeout, now)));
            let status = self.status(queued);
            self.queue[ticket].tried_as = Some(status);
            self.queue[ticket].awaited = Awaited::Any(None);
            return refusal;
        }
        let request = queued.clone();
        self.queue[ticket].tried_as = Some(self.status(&request));
        match self.try_place(&request, &reserved.servers, now) {
            Ok(placement) => Some(Ok(placement)),
            Err(PlacementError::NoServer) => Some(Err(NO_SERVER)),
            Err(PlacementError::RegionBound) => Some(Err(REGION_BOUND)),
            Err(PlacementError::TooLong) => Some(Err(self.refuse(&request, Cause::TooLong, now))),
            Err(PlacementError::Resting(until)) if expired || until >= wait_deadline(&request) => {
                Some(Err(resting(&request, until, now)))
            }
            Err(_full) if expired => Some(Err(self.refuse(&request, Cause::QueueTimeout, now))),
            Err(PlacementError::AllFull(soonest)) if self.is_bound(&request) => {
                reserved.servers.extend(soonest);
                self.queue[ticket].awaited = Awaited::Homes(soonest.into_iter().collect());
                None
            }
            Err(PlacementError::Resting(_)) if self.is_bound(&request) => {
                self.queue[ticket].awaited = Awaited::Homes(HomeServers::new());
                None
            }
            Err(PlacementError::Resting(_)) => {
                reserved.record_full(service, 0);
                self.queue[ticket].awaited = Awaited::Any(None);
                None
            }
            Err(PlacementError::AllFull(soonest)) => {
                let soonest = soonest.filter(|_| least.is_none());
                reserved.record_full(service, tokens);
                reserved.servers.extend(soonest);
                self.queue[ticket].awaited = Awaited::Any(soonest);
                None
            }
            Err(PlacementError::HomesFull(homes)) => {
                reserved.servers.extend_from_slice(&homes);
                self.queue[ticket].awaited = Awaited::Homes(homes);
                None
            }
        }
    }

    /// Removes a queued request whose caller no longer wants it.
    pub fn cancel(&mut self, ticket: Ticket) {
        self.queue.remove(ticket);
    }

    /// Records the first token, or the whole response, `time` after the request was sent.
    ///
    /// `time` is `None` when this process lagged: it would measure the process and not the server.
    pub fn record_first_token(
        &mut self,
        service: ServiceId,
        placement: &Placement,
        time: Option<Duration>,
        now: Instant,
    ) {
        if let (Some(speed), Some(time)) = (placement.speed, time) {
            self.record_speed(service, placement, speed, time, now);
        } else if let Some(time) = time.filter(|_| placement.queued_prefill > 0) {
            let model = self.ttft_models.entry(service).or_default();
            model.observe(
                placement.queued_prefill,
                time.saturating_sub(placement.round_trip),
                now,
            );
            self.loads
                .observe_latency(placement.server, placement.baseline_ttft, time, now);
        }
        let prefill = Work {
            pending_prefill: placement.work.pending_prefill,
            ..Work::default()
        };
        self.loads.end(placement.server, prefill);
        self.has_freed = true;
    }

    /// Ends a request; `prefilled` tells whether [`Self::record_first_token`] was called for it.
    pub fn finish(&mut self, placement: &Placement, prefilled: bool) {
        let mut work = placement.work;
        if prefilled {
            work.pending_prefill = 0;
        }
        self.loads.end(placement.server, work);
        self.has_freed = true;
    }

    /// Returns what a decision on `request` is based on now.
    pub fn decision_context(&self, request: &Request, now: Instant) -> DecisionContext {
        let entries = self.registry.entries();
        let (share, unmet) = (self.share_of(request), self.unmet_ahead(request, now));
        let is_contended = preempts_others(unmet, self.token_rate);
        let mut context = DecisionContext {
            share,
            usage: self.usage_of(request),
            levels: self.share_levels,
            queue_len: self.queue.len(),
            queue_head: self.queue_head(request.service, now).unwrap_or_default(),
            credit: request
                .account
                .and_then(|a| self.credits.get(&a))
                .map(Credit::tokens),
            unmet_instances: unmet.instances.into(),
            unmet_cost: unmet.cost,
            capacity_fraction: allowance::capacity_fraction(share, !is_contended),
            is_contended,
            ..DecisionContext::default()
        };
        for (id, entry) in entries.filter(|(_, e)| e.registration.service == request.service) {
            context.servers += 1;
            let domain = entry.registration.domain;
            let is_within = self
                .eligibility()
                .is_within(&request.allowed_regions, domain);
            context.draining += usize::from(entry.registration.draining);
            context.evacuated += usize::from(self.evacuations.is_evacuated(domain));
            context.out_of_region += usize::from(!is_within);
            match self.notices.availability(id, entry, now) {
                Availability::Resting(_) | Availability::Trial => context.resting += 1,
                Availability::Leaving => context.leaving += 1,
                Availability::Available => {}
            }
            context.down += usize::from(self.loads.is_down(id, now));
            let running = self.loads.total(id, now).running;
            context.full += usize::from(running >= entry.registration.slots);
        }
        context
    }

    fn try_place(
        &mut self,
        request: &Request,
        reserved: &[ServerId],
        now: Instant,
    ) -> Result<Placement, PlacementError> {
        self.place(request, reserved, None, now)
    }

    /// Places a request; a hedge, which has bounds on `spare` capacity, is charged to its account too.
    fn place(
        &mut self,
        request: &Request,
        reserved: &[ServerId],
        spare: Option<SpareLimits>,
        now: Instant,
    ) -> Result<Placement, PlacementError> {
        let mut unavailable = self.cold_at_limit(request.service, now);
        unavailable.extend_from_slice(reserved);
        let uncontended = !self.is_contended(request, now);
        let share = self.share_of(request);
        let capacity_fraction = allowance::capacity_fraction(share, uncontended);
        let long = &self.long_prompts;
        let is_owed =
            long.applies(request.engine) && long.is_owed(request.route, request.shape.cost());
        let view = PlacementView {
            registry: &self.registry,
            loads: &self.loads,
            notices: &self.notices,
            doubts: &self.doubts,
            prefix_index: &self.prefix_index,
            location: self.location,
            eligibility: self.eligibility(),
        };
        let query = PlacementRequest {
            service: request.service,
            engine: request.engine,
            shape: &request.shape,
            excluded: &request.tried,
            allowed_regions: &request.allowed_regions,
            version: request.version.or_else(|| self.chosen_version(request)),
            reserved: &unavailable,
            ttft: self.ttft_estimate(request.service, now),
            time_left: (request.arrival + request.objective).saturating_duration_since(now),
            full_objective: request.objective,
            capacity_fraction,
            latency_limit: LatencyLimit::new(share, capacity_fraction, is_owed),
            max_copies: allowance::max_prefix_copies(share),
            fetches_prefixes: self.fetches_prefixes,
            spare,
        };
        let placement = choose_version_server(&view, &query, request.version, now)?;
        if spare.is_some() && now + placement.expected_ttft >= request.deadline {
            return Err(PlacementError::TooLong);
        }
        // Another server would begin sooner, at the price of a second prefill of the shared prefix. When this server is
        // late, there is no capacity for that.
        let on_time = placement.expected_ttft <= query.time_left;
        if request.tried.is_empty()
            && !on_time
            && !(uncontended && is_prefill_bound(&placement, query.time_left))
        {
            // A request that is late even on idle servers is no sign of unmet demand.
            return Err(if placement.unloaded_ttft > query.time_left {
                PlacementError::TooLong
            } else {
                PlacementError::AllFull(Some(placement.server))
            });
        }
        self.loads.begin(
            placement.server,
            placement.work,
            query.ttft.prefill_rate,
            now,
        );
        if !self.registry.cold_time(placement.server, now).is_zero() {
            self.cold_limiter.record(placement.server, now);
        }
        self.notices.record_sent(placement.server, now);
        if request.tried.is_empty() {
            self.retry_budget.record_placed(request.service, now);
        }
        self.prefix_index
            .record(placement.server, &request.shape, now);
        if let (true, Some(prefix)) = (placement.spilled, request.shape.shared_prefix()) {
            self.spilled.push(prefix, placement.server, now);
        }
        if request.tried.is_empty() {
            self.long_prompts
                .record_placed(request.route, request.shape.cost(), now);
        }
        if let Some(account) = request.account
            && (request.tried.is_empty() || spare.is_some())
        {
            let cost = request.shape.cost();
            self.account_usage.record_served(account, cost, now);
            if let Some(credit) = self.credits.get_mut(&account) {
                credit.charge(cost);
            }
        }
        Ok(placement)
    }

    fn ttft_estimate(&self, service: ServiceId, now: Instant) -> TtftEstimate {
        let model = self.ttft_models.get(&service).copied();
        model.unwrap_or_default().decayed(now).estimate()
    }

    /// Returns the regions of the failure domains, and evacuated ones.
    fn eligibility(&self) -> Eligibility<'_> {
        Eligibility {
            regions: &self.regions,
            evacuations: &self.evacuations,
        }
    }

    /// Recent unmet demand, here or elsewhere, of accounts not above their fair share.
    fn unmet_ahead(&self, request: &Request, now: Instant) -> UnmetDemand {
        self.unmet_tracker
            .ahead_of(request.service, ShareStatus::AboveFairShare, now)
    }

    /// Returns whether accounts not above their fair share have much unmet demand, here or elsewhere.
    fn is_contended(&self, request: &Request, now: Instant) -> bool {
        preempts_others(self.unmet_ahead(request, now), self.token_rate)
    }

    /// Returns whether accounts ahead of this request's account have unmet demand, here or elsewhere.
    ///
    /// Only accounts below their guarantee preempt others. Accounts around their fair share change sides several times a
    /// second; if one side preempted the other each time, servers would idle.
    fn is_blocked(&self, request: &Request, now: Instant) -> bool {
        let status = self.status(request).min(ShareStatus::BelowFairShare);
        let unmet = self.unmet_tracker.ahead_of(request.service, status, now);
        preempts_others(unmet, self.token_rate)
    }

    /// Returns whether a request can't reach the head of the queue within its time to wait.
    fn is_hopeless(&self, request: &Request, now: Instant) -> bool {
        let rank = self.rank(request);
        let queued = self.waiting_for(request.service, now);
        let ahead = queued.filter(|q| self.rank(&q.request) <= rank).count();
        let left = wait_deadline(request).saturating_duration_since(now);
        let queue_rate = self.queue_rates.get(&request.service);
        left.is_zero() || queue_rate.is_some_and(|r| r.misses_deadline(ahead, left, now))
    }

    fn refuse(&self, request: &Request, cause: Cause, now: Instant) -> Refusal {
        let ahead = self.queued_for(request.service).count();
        let queue_rate = self
            .queue_rates
            .get(&request.service)
            .copied()
            .unwrap_or_default();
        // The position in the queue spreads retries well enough without a source of randomness.
        let jitter = (ahead % 8) as f64 / 8.0;
        let retry_after = queue_rate.retry_after(ahead, jitter, now);
        Refusal {
            code: Code::QueueTooLong,
            cause,
            retry_after: retry_after.max(request.objective.mul_f64(MAX_WAIT_FRACTION)),
        }
    }

    fn record_dequeue(&mut self, service: ServiceId, placed: bool, now: Instant) {
        let left = self.queued_for(service).count();
        let queue_rate = self.queue_rates.entry(service).or_default();
        if placed {
            queue_rate.record_dispatch(left, now);
        } else if left == 0 {
            queue_rate.on_empty();
        }
    }
}

/// Refuses a request whose servers rest beyond its time to wait: until the first of them is back.
fn resting(request: &Request, until: Instant, now: Instant) -> Refusal {
    Refusal {
        code: Code::UpstreamUnreachable,
        cause: Cause::Resting,
        retry_after: until
            .saturating_duration_since(now)
            .max(request.objective.mul_f64(MAX_WAIT_FRACTION)),
    }
}
