//! Lets requests in, makes them wait, or turns them away.
//!
//! Load pattern: more work arrives than the servers can hold. A request goes to a server only when
//! it can begin there in time, so the servers' own queues, which know no order, stay short. Others
//! wait here for a small part of their objective: that evens out bursts, and a longer wait would
//! only make a late answer of one that could have been refused at once. While anything waits,
//! accounts below their max-min share go first, then urgent routes, then the longest waiting.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use slotmap::SlotMap;
use smallvec::SmallVec;

use super::allowance;
use super::domain_summary::{self, DomainMembers, DomainWork, Member};
use super::gossip::{InstanceReport, UnmetDemand};
use super::loads::{LoadTracker, Work};
use super::placement::{
    HomeServers, Location, Placement, PlacementError, PlacementRequest, PlacementView,
    choose_server, is_prefill_bound,
};
use super::prefix_index::PrefixIndex;
use super::registry::{Change, RegistrationList, Registry};
use super::request::{Admission, Cause, Decision, DecisionContext, Refusal, Request, Ticket};
use super::retry_budget::RetryBudget;
use super::shape::PrefixKey;
use super::ttft::TtftModel;
use super::unmet_demand::{REPORT_TTL, UnmetDemandTracker, preempts_others};
use super::usage::{AccountUsage, DECAY_TIME, FairShare, ShareStatus, UsageTracker, fair_shares};
use crate::codes::Code;
use crate::ident::{AccountId, DomainId, InstanceId, RegionId, ServerId, ServiceId};
use crate::limits::queue_rate::QueueRate;

/// Part of its objective for which a request waits for room at most; the rest is for its answer.
const PATIENCE: f64 = 0.3;
/// Requests that wait at one instance at most; each holds its body.
const MOST_WAITING: usize = 512;
/// Time after which the shares are worked out anew.
const SHARES_EVERY: Duration = Duration::from_millis(200);
/// The refusal when no server of the service is known: most are back, or replaced, within a second.
const NO_SERVER: Refusal = Refusal {
    code: Code::UpstreamUnreachable,
    cause: Cause::NoServer,
    retry_after: Duration::from_millis(700),
};

/// A request that waits.
#[derive(Debug, Clone)]
struct InLine {
    request: Request,
    /// The only servers that it waits for; empty when any server will do.
    homes: HomeServers,
}

/// What those further back in the line may not take, since others that go before wait for it.
#[derive(Debug, Default)]
struct Taken {
    /// Services of which any server would do.
    services: SmallVec<[ServiceId; 4]>,
    servers: HomeServers,
}

/// Everything that decides where requests go.
#[derive(Debug)]
pub struct Scheduler {
    /// Servers.
    pub registry: Registry,
    /// Their work.
    pub loads: LoadTracker,
    /// What they have read.
    pub prefix_index: PrefixIndex,
    /// What accounts asked for and got.
    pub account_usage: UsageTracker,
    /// Second sends.
    pub retry_budget: RetryBudget,
    /// Region of each failure domain.
    pub regions: Vec<(DomainId, RegionId)>,
    /// Tokens a second of all engines; 0 when unknown.
    pub token_rate: f64,
    place: Location,
    times: BTreeMap<ServiceId, TtftModel>,
    paces: BTreeMap<ServiceId, QueueRate>,
    line: SlotMap<Ticket, InLine>,
    fleet: BTreeMap<AccountId, AccountUsage>,
    shares: BTreeMap<AccountId, FairShare>,
    shortages: UnmetDemandTracker,
    strays: VecDeque<(PrefixKey, ServerId, Instant)>,
    heard_strays: VecDeque<(PrefixKey, ServerId, Instant)>,
    shared: Option<Instant>,
}

impl Scheduler {
    /// A scheduler that knows no server.
    pub fn new(place: Location, budget: RetryBudget) -> Self {
        Self {
            registry: Registry::default(),
            loads: LoadTracker::default(),
            prefix_index: PrefixIndex::default(),
            account_usage: UsageTracker::default(),
            retry_budget: budget,
            regions: Vec::new(),
            token_rate: 0.0,
            place,
            times: BTreeMap::new(),
            paces: BTreeMap::new(),
            line: SlotMap::with_key(),
            fleet: BTreeMap::new(),
            shares: BTreeMap::new(),
            shortages: UnmetDemandTracker::default(),
            strays: VecDeque::new(),
            heard_strays: VecDeque::new(),
            shared: None,
        }
    }

    /// Requests that wait.
    pub fn queue_len(&self) -> usize {
        self.line.len()
    }

    /// Decides on a request that came, or that its server did not run.
    pub fn submit(&mut self, request: &Request, now: Instant) -> Admission {
        self.count(request, now);
        self.work_out(now);
        let blocked = self.is_blocked(request, now);
        let mut homes = HomeServers::new();
        if let Some(kept) = self.kept_for_better(request)
            && !blocked
        {
            match self.place(request, &kept, now) {
                Ok(choice) => return Admission::Decided(Ok(choice)),
                Err(PlacementError::NoServer) => return Admission::Decided(Err(NO_SERVER)),
                Err(PlacementError::TooLong) => {
                    return Admission::Decided(Err(self.refuse(request, Cause::TooLong, now)));
                }
                Err(PlacementError::AllFull) => {}
                Err(PlacementError::HomesFull(full)) => homes = full,
            }
        }
        let (standing, cost) = (self.standing(request), request.shape.cost());
        self.shortages.record(request.service, standing, cost, now);
        if blocked {
            return Admission::Decided(Err(self.refuse(request, Cause::OverFairShare, now)));
        }
        if self.line.len() >= MOST_WAITING || self.is_hopeless(request, now) {
            return Admission::Decided(Err(self.refuse(request, Cause::QueueFull, now)));
        }
        let request = request.clone();
        Admission::Queued(self.line.insert(InLine { request, homes }))
    }

    /// Counts a request that came for the first time.
    fn count(&mut self, request: &Request, now: Instant) {
        if !request.tried.is_empty() {
            return;
        }
        self.retry_budget.record_request(request.service, now);
        if let Some(account) = request.account {
            self.account_usage
                .record_requested(account, request.shape.cost(), now);
        }
    }

    /// Decides on those that wait; every request is named at most once.
    ///
    /// Nobody passes one of the same service that goes before and finds no room: a long prompt would
    /// never be placed while short ones keep taking what comes free. One that waits for few servers keeps
    /// the others from just these.
    pub fn dispatch_queued(&mut self, now: Instant) -> Vec<(Ticket, Decision)> {
        self.work_out(now);
        let mut order: Vec<Ticket> = self.line.keys().collect();
        order.sort_by_key(|t| self.rank(&self.line[*t].request));
        let mut taken = Taken::default();
        let mut all = Vec::new();
        for ticket in order {
            let Some(decided) = self.try_waiting(ticket, &mut taken, now) else {
                continue;
            };
            if let Some(waiting) = self.line.remove(ticket) {
                self.left(waiting.request.service, decided.is_ok(), now);
            }
            all.push((ticket, decided));
        }
        all
    }

    /// Decides on one that waits; none when it stays in the line.
    fn try_waiting(&mut self, ticket: Ticket, taken: &mut Taken, now: Instant) -> Option<Decision> {
        let request = self.line[ticket].request.clone();
        let over = now >= patience_end(&request);
        if taken.services.contains(&request.service) || self.is_blocked(&request, now) {
            return over.then(|| Err(self.refuse(&request, Cause::QueueTimeout, now)));
        }
        match self.place(&request, &taken.servers, now) {
            Ok(choice) => Some(Ok(choice)),
            Err(PlacementError::NoServer) => Some(Err(NO_SERVER)),
            Err(PlacementError::TooLong) => Some(Err(self.refuse(&request, Cause::TooLong, now))),
            Err(_full) if over => Some(Err(self.refuse(&request, Cause::QueueTimeout, now))),
            Err(PlacementError::AllFull) => {
                taken.services.push(request.service);
                self.line[ticket].homes.clear();
                None
            }
            Err(PlacementError::HomesFull(homes)) => {
                taken.servers.extend_from_slice(&homes);
                self.line[ticket].homes = homes;
                None
            }
        }
    }

    /// A request that waited is no longer wanted by its caller.
    pub fn cancel(&mut self, ticket: Ticket) {
        self.line.remove(ticket);
    }

    /// Takes one change of a registration; false when it is older than what is known.
    pub fn apply_change(&mut self, change: Change, now: Instant) -> bool {
        let taken = self.registry.apply(change, now);
        self.forget_lost();
        taken
    }

    /// Takes a whole list of registrations, as [`Registry::replace_all`] does.
    pub fn replace_registrations(&mut self, list: RegistrationList, now: Instant) {
        self.registry.replace_all(list, now);
        self.forget_lost();
    }

    /// Forgets what servers had read that are gone, or have started anew under their old name.
    ///
    /// Taken for the run before, such a server would draw prompts whose beginnings it no longer keeps.
    fn forget_lost(&mut self) {
        for server in self.registry.take_lost_caches() {
            self.prefix_index.remove_server(server);
        }
    }

    /// The first token, or the whole answer, came `time` after a request was sent.
    ///
    /// None when this process was behind with its work: the time would tell of that, and not of the server.
    pub fn record_first_token(
        &mut self,
        service: ServiceId,
        choice: &Placement,
        time: Option<Duration>,
        now: Instant,
    ) {
        if let Some(time) = time.filter(|_| choice.queued_prefill > 0) {
            let times = self.times.entry(service).or_default();
            times.observe(
                choice.queued_prefill,
                time.saturating_sub(choice.round_trip),
                now,
            );
            self.loads
                .observe_latency(choice.server, choice.baseline_ttft, time, now);
        }
        let read = Work {
            pending_prefill: choice.work.pending_prefill,
            ..Work::default()
        };
        self.loads.end(choice.server, read);
    }

    /// The request is no longer under way; `began` says whether [`Self::record_first_token`] was called for it.
    pub fn finish(&mut self, choice: &Placement, began: bool) {
        let mut work = choice.work;
        if began {
            work.pending_prefill = 0;
        }
        self.loads.end(choice.server, work);
    }

    /// What a decision on `request` rests on now.
    pub fn decision_context(&self, request: &Request, now: Instant) -> DecisionContext {
        let entries = self.registry.entries();
        let lack = self.better(request, now);
        let mut outlook = DecisionContext {
            share: self.share_of(request),
            usage: self.sums_of(request),
            queue_len: self.line.len(),
            unmet_instances: lack.instances.into(),
            unmet_cost: lack.cost,
            ..DecisionContext::default()
        };
        for (id, known) in entries.filter(|(_, k)| k.registration.service == request.service) {
            outlook.servers += 1;
            outlook.draining += usize::from(known.registration.draining);
            outlook.down += usize::from(self.loads.is_down(id, now));
            let running = self.loads.total(id, now).running;
            outlook.full += usize::from(running >= known.registration.slots);
        }
        outlook
    }

    /// Drops what no longer counts and returns the servers that are gone.
    pub fn sweep(&mut self, now: Instant) -> Vec<ServerId> {
        let gone = self.registry.expire(now);
        self.forget_lost();
        let registry = &self.registry;
        self.loads.sweep(|id| registry.get(id).is_some(), now);
        gone
    }

    fn place(
        &mut self,
        request: &Request,
        kept: &[ServerId],
        now: Instant,
    ) -> Result<Placement, PlacementError> {
        let calm = self.better(request, now).instances == 0;
        let share = self.share_of(request);
        let view = PlacementView {
            registry: &self.registry,
            loads: &self.loads,
            prefix_index: &self.prefix_index,
            location: self.place,
            regions: &self.regions,
        };
        let ask = PlacementRequest {
            service: request.service,
            engine: request.engine,
            shape: &request.shape,
            excluded: &request.tried,
            reserved: kept,
            ttft: self
                .times
                .get(&request.service)
                .copied()
                .unwrap_or_default()
                .decayed(now),
            time_left: (request.arrival + request.objective).saturating_duration_since(now),
            full_objective: request.objective,
            capacity_fraction: allowance::capacity_fraction(share, calm),
            max_copies: allowance::max_prefix_copies(share.status),
        };
        let choice = choose_server(&view, &ask, now)?;
        // Elsewhere it would begin sooner at the price of reading its shared part again, which is
        // what servers have no time for when this one is late.
        let timely = choice.expected_ttft <= ask.time_left;
        if request.tried.is_empty()
            && !timely
            && !(calm && is_prefill_bound(&choice, ask.time_left))
        {
            // What would be late on idle servers too tells of no shortage.
            return Err(if choice.unloaded_ttft > ask.time_left {
                PlacementError::TooLong
            } else {
                PlacementError::AllFull
            });
        }
        self.loads
            .begin(choice.server, choice.work, ask.ttft.prefill_rate(), now);
        self.prefix_index.record(choice.server, &request.shape, now);
        if let (true, Some(family)) = (choice.spilled, request.shape.shared_prefix()) {
            push_stray(&mut self.strays, family, choice.server, now);
        }
        if let Some(account) = request.account
            && request.tried.is_empty()
        {
            self.account_usage
                .record_served(account, request.shape.cost(), now);
        }
        Ok(choice)
    }

    /// The servers for which others wait that go before `request`; none when some of those wait for any server.
    fn kept_for_better(&self, request: &Request) -> Option<HomeServers> {
        let rank = self.rank(request);
        let mut kept = HomeServers::new();
        for waiting in self.same(request.service) {
            if self.rank(&waiting.request) >= rank {
                continue;
            }
            if waiting.homes.is_empty() {
                return None;
            }
            kept.extend_from_slice(&waiting.homes);
        }
        Some(kept)
    }

    /// Those that wait for a server of `service`.
    fn same(&self, service: ServiceId) -> impl Iterator<Item = &InLine> {
        self.line
            .values()
            .filter(move |w| w.request.service == service)
    }

    fn rank(&self, request: &Request) -> (ShareStatus, u32, Instant) {
        (self.standing(request), request.priority, request.arrival)
    }

    fn standing(&self, request: &Request) -> ShareStatus {
        self.share_of(request).status
    }

    fn share_of(&self, request: &Request) -> FairShare {
        let known = request.account.and_then(|a| self.shares.get(&a));
        known.copied().unwrap_or_default()
    }

    fn sums_of(&self, request: &Request) -> AccountUsage {
        let known = request.account.and_then(|a| self.fleet.get(&a));
        known.copied().unwrap_or_default()
    }

    /// What found no room lately, here or elsewhere, of accounts that are not beyond their share.
    fn better(&self, request: &Request, now: Instant) -> UnmetDemand {
        self.shortages
            .ahead_of(request.service, ShareStatus::AboveFairShare, now)
    }

    /// Tells whether accounts that go before this request's find no room, here or elsewhere.
    ///
    /// Only accounts that are owed shut others out. Accounts around an even part change sides several
    /// times a second; if one side shut out the other each time, servers would idle.
    fn is_blocked(&self, request: &Request, now: Instant) -> bool {
        let standing = self.standing(request).min(ShareStatus::BelowFairShare);
        let lack = self.shortages.ahead_of(request.service, standing, now);
        preempts_others(lack, self.token_rate)
    }

    /// Work that found no room lately, for the others.
    pub fn unmet_demand(&self, now: Instant) -> Vec<(ServiceId, ShareStatus, UnmetDemand)> {
        self.shortages.report(now)
    }

    /// Prefixes that were sent to other servers than their homes lately, for the others.
    pub fn spilled_prefixes(&mut self, now: Instant) -> Vec<(PrefixKey, ServerId)> {
        self.strays
            .retain(|(_, _, at)| now.duration_since(*at) < REPORT_TTL);
        self.strays.iter().map(|(f, s, _)| (*f, *s)).collect()
    }

    /// Takes what another instance tells.
    pub fn apply_report(&mut self, from: InstanceId, news: &InstanceReport, now: Instant) {
        self.loads.apply_peer_report(from, news.work.clone(), now);
        self.account_usage
            .apply_peer_report(from, news.usage.clone(), now);
        for (family, server) in &news.spilled {
            self.prefix_index.record_remote(*server, *family, now);
        }
        self.shortages.apply_peer_report(from, &news.unmet, now);
        for (family, server) in &news.spilled {
            push_stray(&mut self.heard_strays, *family, *server, now);
        }
    }

    /// What the own failure domain tells the others: `members` are its live instances, this one among them.
    pub fn domain_members(
        &mut self,
        domain: DomainId,
        members: Vec<Member>,
        now: Instant,
    ) -> DomainMembers {
        let ids: Vec<InstanceId> = members.iter().map(|m| m.id).collect();
        let short = self.shortages.domain_sum(&ids, now);
        let fresh = |at: &Instant| now.duration_since(*at) < REPORT_TTL;
        self.heard_strays.retain(|(_, _, at)| fresh(at));
        let all = self.strays.iter().chain(&self.heard_strays).rev();
        let strays = all.filter(|(_, _, at)| fresh(at));
        DomainMembers {
            domain,
            members,
            unmet: short,
            spilled: strays
                .take(domain_summary::MAX_SPILLED)
                .map(|(f, s, _)| (*f, *s))
                .collect(),
        }
    }

    /// Takes what another failure domain tells of itself.
    pub fn apply_domain_members(&mut self, members: &DomainMembers, now: Instant) {
        let teller = domain_summary::source_id(members.domain, 0);
        self.shortages
            .apply_peer_report(teller, &members.unmet, now);
        for (family, server) in &members.spilled {
            self.prefix_index.record_remote(*server, *family, now);
        }
    }

    /// Takes what another failure domain has under way.
    pub fn apply_domain_work(&mut self, told: DomainWork, now: Instant) {
        let teller = told.source_id();
        if told.number == 0 {
            self.account_usage
                .apply_peer_report(teller, told.usage, now);
        }
        self.loads.apply_peer_report(teller, told.work, now);
    }

    /// Tells whether a request can't get to the head of the line while it may wait.
    fn is_hopeless(&self, request: &Request, now: Instant) -> bool {
        let rank = self.rank(request);
        let same = self.same(request.service);
        let ahead = same.filter(|w| self.rank(&w.request) <= rank).count();
        let left = patience_end(request).saturating_duration_since(now);
        let pace = self.paces.get(&request.service);
        left.is_zero() || pace.is_some_and(|p| p.misses_deadline(ahead, left, now))
    }

    fn refuse(&self, request: &Request, cause: Cause, now: Instant) -> Refusal {
        let ahead = self.same(request.service).count();
        let pace = self
            .paces
            .get(&request.service)
            .copied()
            .unwrap_or_default();
        // The ticket's place in the line is as good a spread as any, and needs no randomness here.
        let draw = (ahead % 8) as f64 / 8.0;
        let again = pace.retry_after(ahead, draw, now);
        Refusal {
            code: Code::QueueTooLong,
            cause,
            retry_after: again.max(request.objective.mul_f64(PATIENCE)),
        }
    }

    fn left(&mut self, service: ServiceId, placed: bool, now: Instant) {
        let left = self.same(service).count();
        let pace = self.paces.entry(service).or_default();
        if placed {
            pace.record_dispatch(left, now);
        } else if left == 0 {
            pace.on_empty();
        }
    }

    /// Works out which accounts have had their share.
    fn work_out(&mut self, now: Instant) {
        if self
            .shared
            .is_some_and(|at| now.duration_since(at) < SHARES_EVERY)
        {
            return;
        }
        self.shared = Some(now);
        self.shares.clear();
        if self.token_rate <= 0.0 {
            return;
        }
        self.fleet = self.account_usage.fleet_totals(now);
        self.shares = fair_shares(&self.fleet, self.token_rate * DECAY_TIME.as_secs_f64());
    }
}

fn push_stray(
    strays: &mut VecDeque<(PrefixKey, ServerId, Instant)>,
    family: PrefixKey,
    server: ServerId,
    now: Instant,
) {
    if strays.len() >= domain_summary::MAX_SPILLED {
        strays.pop_front();
    }
    strays.push_back((family, server, now));
}

fn patience_end(request: &Request) -> Instant {
    (request.arrival + request.objective.mul_f64(PATIENCE)).min(request.deadline)
}
