//! State shared by the tasks of one gateway process.
//!
//! The process has one thread, so shared state is borrowed for the length of a call and never across
//! an await.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hawthornmill::clock::Clock;
use hawthornmill::codes::Code;
use hawthornmill::ident::{Incarnation, InstanceId, ServerId, VersionId};
use hawthornmill::limits::congestion::LinkMonitor;
use hawthornmill::limits::load_shedding::LoadShedder;
use hawthornmill::limits::role_fitness::RoleFitness;
use hawthornmill::limits::sender_shares::SenderShares;
use hawthornmill::quarantine::table::Quarantine;
use hawthornmill::routing::announcements::RecentAnnouncements;
use hawthornmill::routing::catalog::Catalog;
use hawthornmill::routing::cold_start::ColdStartLimiter;
use hawthornmill::routing::domain_summary::MemberRotation;
use hawthornmill::routing::fragments::ResponseCache;
use hawthornmill::routing::gossip::{PeerChange, PeerTable, StoreRole};
use hawthornmill::routing::lag::Lag;
use hawthornmill::routing::placement::{Location, Placement};
use hawthornmill::routing::registry::ServerRun;
use hawthornmill::routing::request::{Admission, Cause, Refusal, Request, Ticket};
use hawthornmill::routing::retry_budget::RetryBudget;
use hawthornmill::routing::route_table::RouteTable;
use hawthornmill::routing::scheduler::Scheduler;
use hawthornmill::routing::server_notices::ServerNotices;
use serde_json::json;
use slotmap::SecondaryMap;
use tokio::sync::{Notify, oneshot};

use crate::adapter::Adapter;
use crate::event_log;
use crate::http::blocks::BlockPool;
use crate::lifecycle::{Lifecycle, Phase};
use crate::line_limit::LineLimit;
use crate::listener::{self, RejectedConnections};
use crate::metrics::Metrics;
use crate::pending_state::PendingState;
use crate::pool::Pool;
use crate::proxy::held_bytes::{HeldBytes, HeldResponses};
use crate::proxy::reservation::{Reservations, shared_limit};
use crate::proxy::response_limits;
use crate::server_crashes::ServerCrashes;
use crate::server_runs::ServerRuns;
use crate::settings::Settings;
use crate::store_view::STANDSTILL;
use crate::stream_versions::StreamRegister;

mod addresses;
mod updates;

/// Share of the guaranteed apply time after which an instance without the newest catalog rejects requests.
///
/// The rest covers the time that gossip about a new catalog takes to arrive.
const OUTDATED_FACTOR: f64 = 0.75;

/// Shared state of the process.
#[derive(Debug)]
pub struct Gateway {
    /// Current settings.
    pub settings: RefCell<Rc<Settings>>,
    /// The interface to the platform.
    pub adapter: Adapter,
    /// Source of time.
    pub clock: Clock,
    start: tokio::time::Instant,
    /// Identifies this instance.
    pub id: InstanceId,
    /// Identifies this run of the process.
    pub incarnation: Incarnation,
    /// Selects a server for each request.
    pub scheduler: RefCell<Scheduler>,
    /// Index of the current catalog, if there is one.
    pub table: RefCell<Option<Rc<RouteTable>>>,
    /// How long this instance has lacked a catalog that another one has.
    pub catalog_lag: RefCell<Lag>,
    /// Recent changes to announce to other instances.
    pub announcements: RefCell<RecentAnnouncements>,
    /// Encoded state that was recently sent to peers.
    pub state_cache: RefCell<ResponseCache>,
    /// State that is being received from a peer.
    pub pending_state: PendingState,
    /// The other instances.
    pub peers: RefCell<PeerTable>,
    /// Changes of other instances since they were last logged.
    pub peer_changes: RefCell<Vec<(PeerChange, SocketAddr)>>,
    /// Members of this failure domain that are named to others next.
    pub member_rotation: RefCell<MemberRotation>,
    /// Requests under which servers end.
    pub quarantine: RefCell<Quarantine>,
    /// Wakes requests that are held until it is known whether servers end under them.
    pub quarantine_wakeup: Notify,
    /// Servers that ended while they ran requests.
    pub server_crashes: ServerCrashes,
    /// What servers report of their runs.
    pub server_runs: ServerRuns,
    /// Versions of servers at which streams began.
    pub streams: StreamRegister,
    /// Connections to servers.
    pub pool: Pool,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// Lines about entries of the store that can't be read.
    pub odd_entries: LineLimit,
    /// Number of open client connections.
    pub connections: Cell<usize>,
    /// Congestion of the network link of this instance.
    pub link_monitor: RefCell<LinkMonitor>,
    /// How late the process runs its timers.
    pub load_shedder: Cell<LoadShedder>,
    /// Whose connections are closed while it is late.
    pub sender_shares: RefCell<SenderShares>,
    /// Connections rejected since they were last logged.
    pub rejected: RefCell<RejectedConnections>,
    /// Number of requests in flight.
    pub in_flight: Cell<usize>,
    /// Heads, bodies and kept error responses of requests held in memory.
    pub reservations: Reservations,
    /// Blocks for request bodies.
    pub block_pool: Rc<BlockPool>,
    /// Incomplete responses held in memory.
    pub held_responses: Rc<HeldResponses>,
    /// Whether a list of registrations came from the store or a peer since the start.
    pub has_registrations: Cell<bool>,
    /// Whether this instance reads the store, and whether the store answers.
    pub store_role: Cell<StoreRole>,
    /// When queued requests were last dispatched.
    dispatched: Cell<Instant>,
    /// Wakes the dispatch loop: a slot became free, or another input of queued requests changed.
    pub queue_wakeup: Notify,
    /// Wakes the gossip task: something changed that peers should learn at once.
    pub report_wakeup: Notify,
    /// Wakes the task that pulls state from peers: one of them has newer state.
    pub behind_wakeup: Notify,
    /// Wakes requests that wait for a catalog and registrations: one of them has come.
    pub state_wakeup: Notify,
    /// Reports without work or demand that were sent in a row.
    pub idle_reports: Cell<u32>,
    /// Wakes the gossip task: the work of this instance changed much since it was last announced.
    pub work_wakeup: Notify,
    /// Phase of the process, and when a planned stop ends.
    pub lifecycle: Lifecycle,
    waiters: RefCell<SecondaryMap<Ticket, oneshot::Sender<Result<Placement, Refusal>>>>,
}

impl Gateway {
    /// Creates the state of a process that has not yet received anything.
    pub fn new(
        settings: Settings,
        adapter: Adapter,
        clock: Clock,
        incarnation: Incarnation,
    ) -> Rc<Self> {
        let now = clock.now();
        let id = InstanceId::of(&settings.name);
        let location = Location {
            domain: settings.domain,
            region: settings.region,
        };
        let mut scheduler = Scheduler::new(
            location,
            RetryBudget::new(settings.guarantees.resend_budget, now),
            ColdStartLimiter::new(id, location.domain, settings.guarantees.cold_tolerance, now),
            ServerNotices::new(id),
        );
        scheduler.regions.clone_from(&settings.regions);
        scheduler.fetches_prefixes = settings.fetches_prefixes;
        scheduler.long_prompts.ratio = settings.long_prompt_ratio;
        scheduler.long_prompts.max_slots = settings.long_prompt_slots;
        scheduler.loads.speeds.set_seed(id.0);
        scheduler.hedging.set_config(settings.hedging);
        let mut quarantine = Quarantine::default();
        quarantine.set_exempt(&settings.exempt, now);
        let peers = PeerTable::new(location.domain, settings.cpu_percent);
        let gateway = Rc::new(Self {
            id,
            settings: RefCell::new(Rc::new(settings)),
            adapter,
            clock,
            start: tokio::time::Instant::now(),
            incarnation,
            scheduler: RefCell::new(scheduler),
            table: RefCell::default(),
            catalog_lag: RefCell::default(),
            announcements: RefCell::default(),
            state_cache: RefCell::default(),
            pending_state: PendingState::default(),
            peers: RefCell::new(peers),
            peer_changes: RefCell::default(),
            member_rotation: RefCell::default(),
            quarantine: RefCell::new(quarantine),
            quarantine_wakeup: Notify::new(),
            server_crashes: ServerCrashes::default(),
            server_runs: ServerRuns::default(),
            streams: StreamRegister::default(),
            pool: Pool::default(),
            metrics: Metrics::default(),
            odd_entries: LineLimit::default(),
            connections: Cell::new(0),
            link_monitor: RefCell::default(),
            load_shedder: Cell::default(),
            sender_shares: RefCell::default(),
            rejected: RefCell::default(),
            in_flight: Cell::new(0),
            reservations: Reservations::default(),
            block_pool: Rc::default(),
            held_responses: Rc::default(),
            has_registrations: Cell::new(false),
            store_role: Cell::new(StoreRole::Connected),
            dispatched: Cell::new(now),
            queue_wakeup: Notify::new(),
            report_wakeup: Notify::new(),
            behind_wakeup: Notify::new(),
            state_wakeup: Notify::new(),
            idle_reports: Cell::new(0),
            work_wakeup: Notify::new(),
            lifecycle: Lifecycle::default(),
            waiters: RefCell::default(),
        });
        gateway.share_memory();
        gateway
    }

    /// Returns the current time.
    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Returns the next instant that is a multiple of `interval` after the start.
    ///
    /// Periodic tasks that fall due together wake the process up once.
    pub fn next_tick(&self, interval: Duration) -> tokio::time::Instant {
        let elapsed = self.start.elapsed().as_nanos();
        let ticks = elapsed / interval.as_nanos().max(1) + 1;
        self.start + interval * u32::try_from(ticks).unwrap_or(u32::MAX)
    }

    /// Returns the time since the process started, in milliseconds.
    pub fn age_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// Returns the current settings.
    pub fn settings(&self) -> Rc<Settings> {
        Rc::clone(&self.settings.borrow())
    }

    /// Begins to account the memory that a server's response uses while it is incomplete.
    pub fn hold_response(&self) -> HeldBytes {
        self.held_responses.begin()
    }

    /// Limits incomplete responses and spare blocks to the memory that requests leave.
    pub fn share_memory(&self) {
        let memory_bytes = self.settings.borrow().memory_bytes;
        let left = shared_limit(memory_bytes).saturating_sub(self.reservations.total());
        let limit = response_limits::held_limit(memory_bytes).min(left);
        self.held_responses.set_limit(limit);
        let spare = left.saturating_sub(self.held_responses.total());
        self.block_pool.shrink_to(spare);
    }

    /// Tells whether latency measured now reflects this instance rather than the servers.
    pub fn is_overloaded(&self) -> bool {
        let now = self.now();
        self.load_shedder.get().is_overloaded(now) || self.link_monitor.borrow().is_congested(now)
    }

    /// Returns the index of the current catalog.
    pub fn table(&self) -> Option<Rc<RouteTable>> {
        self.table.borrow().clone()
    }

    /// Returns the version of the current catalog, or 0 if there is none.
    pub fn catalog_version(&self) -> u64 {
        self.table.borrow().as_ref().map_or(0, |t| t.version())
    }

    /// Returns the current phase.
    pub fn phase(&self) -> Phase {
        self.lifecycle.phase()
    }

    /// Changes the phase and announces it to peers.
    pub fn set_phase(&self, phase: Phase) {
        self.lifecycle.set_phase(phase);
        self.report_wakeup.notify_one();
    }

    /// Begins a planned stop in which requests in flight have time until `ends_at`, and announces it to peers.
    pub fn begin_stop(&self, ends_at: Instant) {
        self.lifecycle.begin_stop(ends_at);
        self.report_wakeup.notify_one();
    }

    /// Takes or gives up roles that other instances depend on; `late` is the timer lag that decided it.
    fn set_fitness(&self, fit: bool, late: Duration) {
        let fields = json!({"fit": fit, "late_ms": late.as_millis() as u64});
        event_log::state_change("roles", fields);
        self.peers.borrow_mut().is_fit = fit;
        self.report_wakeup.notify_one();
    }

    /// Tells whether this instance has a catalog and registrations.
    pub fn has_state(&self) -> bool {
        self.has_registrations.get() && self.table.borrow().is_some()
    }

    /// Tells whether clients may be sent to this instance.
    pub fn is_ready(&self) -> bool {
        self.phase() == Phase::Serving && self.has_state() && !self.is_outdated()
    }

    /// Tells whether a live peer has a newer catalog that should be in force by now.
    ///
    /// If no live peer has the newer catalog, this instance's own is still the best available.
    pub fn is_outdated(&self) -> bool {
        let now = self.now();
        let late = self
            .settings()
            .guarantees
            .apply_time
            .mul_f64(OUTDATED_FACTOR);
        self.catalog_lag.borrow().duration(now) > late
            && self
                .peers
                .borrow()
                .has_newer_catalog(self.catalog_version(), now)
    }

    /// Makes `catalog` the current one, unless its version is not newer; `from` is logged.
    pub fn apply_catalog(&self, catalog: Catalog, from: &str) {
        let (version, before) = (catalog.version, self.catalog_version());
        if version <= before {
            return;
        }
        match RouteTable::new(catalog) {
            Ok(table) => {
                let fields = json!({"version": version, "before": before, "from": from, "age_ms": self.age_ms()});
                event_log::state_change("catalog_in_force", fields);
                self.scheduler.borrow_mut().apply_catalog(table.catalog());
                let mut past = self.streams.past_routes.borrow_mut();
                let table = if let Some(previous) = self.table() {
                    past.replace(&previous, &table, self.now());
                    table.succeeding(&previous)
                } else {
                    past.begin(self.now());
                    table
                };
                drop(past);
                *self.table.borrow_mut() = Some(Rc::new(table));
                self.catalog_lag.borrow_mut().catch_up(version);
                self.queue_wakeup.notify_one();
                self.state_wakeup.notify_waiters();
                self.report_wakeup.notify_one();
            }
            Err((code, message)) => {
                let fields = json!({"version": version, "code": code.number(), "why": message});
                event_log::state_change("catalog_refused", fields);
            }
        }
    }

    /// Waits until a server is selected for `request`.
    ///
    /// # Errors
    /// Why the request is rejected, and when its client may retry.
    pub async fn select_server(&self, request: &Request) -> Result<Placement, Refusal> {
        self.dispatch_overdue();
        let admission = self.scheduler.borrow_mut().submit(request, self.now());
        self.announce_work();
        let decided = match admission {
            Admission::Decided(decided) => return decided,
            Admission::Queued(ticket) => self.wait_for_decision(ticket).await,
        };
        // The sender is only dropped together with the gateway.
        decided.unwrap_or(Err(Refusal {
            code: Code::NotReady,
            cause: Cause::NoServer,
            retry_after: request.objective,
        }))
    }

    async fn wait_for_decision(&self, ticket: Ticket) -> Option<Result<Placement, Refusal>> {
        let (sender, decided) = oneshot::channel();
        self.waiters.borrow_mut().insert(ticket, sender);
        let mut queued = QueuedRequest {
            gateway: self,
            ticket,
            decided,
        };
        (&mut queued.decided).await.ok()
    }

    /// Selects servers for queued requests if the dispatch loop is late, so that a new request isn't refused because of
    /// requests that only wait for that loop.
    fn dispatch_overdue(&self) {
        let elapsed = self.now().duration_since(self.dispatched.get());
        if elapsed > DISPATCH_INTERVAL && self.scheduler.borrow().queue_len() > 0 {
            self.dispatch_queue();
        }
    }

    /// Selects servers for queued requests as far as possible.
    pub fn dispatch_queue(&self) {
        self.dispatched.set(self.now());
        let decided = self.scheduler.borrow_mut().dispatch_queued(self.now());
        self.announce_work();
        for (ticket, decided) in decided {
            let waiter = self.waiters.borrow_mut().remove(ticket);
            let unclaimed = match waiter {
                Some(waiter) => waiter.send(decided).err(),
                None => Some(decided),
            };
            if let Some(Ok(placement)) = unclaimed {
                self.release(&placement, false);
            }
        }
    }

    /// Wakes the gossip task if much of this instance's work has changed.
    pub fn announce_work(&self) {
        if self.scheduler.borrow().loads.needs_broadcast() {
            self.work_wakeup.notify_one();
        }
    }

    /// Records that a request is no longer in flight at its server.
    pub fn release(&self, placement: &Placement, began: bool) {
        self.scheduler.borrow_mut().finish(placement, began);
        self.queue_wakeup.notify_one();
    }

    /// Returns how many idle connections this instance may keep to `server`; 0 if it is not registered.
    ///
    /// A server resets connections beyond the limit of its service, whether they are idle or in use.
    /// Half of the limit, divided by the number of instances, leaves the other half for requests in flight.
    pub fn max_idle(&self, server: ServerId) -> usize {
        let Some(service) = self
            .scheduler
            .borrow()
            .registry
            .get(server)
            .map(|k| k.registration.service)
        else {
            return 0;
        };
        let table = self.table();
        let bound = table.and_then(|t| Some(t.service(service)?.max_connections as usize));
        match bound {
            Some(bound) if bound > 0 => (bound / 2 / self.peers.borrow().max_seen().max(1)).max(1),
            _ => usize::MAX,
        }
    }

    /// Returns the name of a server for logs.
    pub fn server_name(&self, server: ServerId) -> Box<str> {
        let scheduler = self.scheduler.borrow();
        let known = scheduler.registry.get(server);
        known.map_or_else(|| "gone".into(), |k| k.registration.name.clone())
    }

    /// Returns the version of a server's software for logs.
    pub fn server_version_name(&self, server: ServerId) -> Option<Box<str>> {
        let scheduler = self.scheduler.borrow();
        let known = scheduler.registry.get(server);
        known.map(|k| k.registration.version_name.clone())
    }

    /// Returns the current run of a server; `None` if it is not registered.
    pub fn server_run(&self, server: ServerId) -> Option<ServerRun> {
        let scheduler = self.scheduler.borrow();
        let start_ms = scheduler.registry.get(server)?.registration.start_ms;
        Some(ServerRun { server, start_ms })
    }

    /// Returns the version of a server's software; `None` if it is not registered.
    pub fn server_version(&self, server: ServerId) -> Option<VersionId> {
        let scheduler = self.scheduler.borrow();
        scheduler
            .registry
            .get(server)
            .map(|k| k.registration.version)
    }
}

/// A queued request; removed from the queue on drop, when its client disconnects.
struct QueuedRequest<'a> {
    gateway: &'a Gateway,
    ticket: Ticket,
    decided: oneshot::Receiver<Result<Placement, Refusal>>,
}

impl Drop for QueuedRequest<'_> {
    fn drop(&mut self) {
        if self
            .gateway
            .waiters
            .borrow_mut()
            .remove(self.ticket)
            .is_some()
        {
            self.gateway.scheduler.borrow_mut().cancel(self.ticket);
        }
        // A server was selected, but the client disconnected before it was told: free the slot here.
        if let Ok(Ok(placement)) = self.decided.try_recv() {
            self.gateway.release(&placement, false);
        }
    }
}

/// Interval at which queued requests are checked without a wakeup.
const DISPATCH_INTERVAL: Duration = Duration::from_millis(25);
const CLEANUP_INTERVAL: Duration = Duration::from_millis(300);

/// Dispatches queued requests until the process ends.
pub async fn dispatch_loop(gateway: Rc<Gateway>) {
    loop {
        if gateway.scheduler.borrow().queue_len() > 0 {
            tokio::select! {
                () = gateway.queue_wakeup.notified() => {}
                () = tokio::time::sleep(DISPATCH_INTERVAL) => {}
            }
        } else {
            gateway.queue_wakeup.notified().await;
        }
        gateway.dispatch_queue();
    }
}

const LATENESS_INTERVAL: Duration = Duration::from_millis(100);

/// Measures how late timers run until the process ends.
pub async fn monitor_lateness(gateway: Rc<Gateway>) {
    let mut fitness = RoleFitness::default();
    loop {
        let now = gateway.now();
        let next = gateway.next_tick(LATENESS_INTERVAL);
        let mut load_shedder = gateway.load_shedder.get();
        load_shedder.tick(now, now + next.duration_since(tokio::time::Instant::now()));
        gateway.load_shedder.set(load_shedder);
        if load_shedder.lag(now) > STANDSTILL {
            gateway.streams.store_view.record_standstill(now);
        }
        if let Some(fit) = fitness.observe(load_shedder.lag(now), now) {
            gateway.set_fitness(fit, load_shedder.lag(now));
        }
        listener::log_rejected(&gateway, load_shedder.lag(now));
        tokio::time::sleep_until(next).await;
    }
}

/// Logs servers that are cold no longer.
fn log_warm(gateway: &Gateway, now: Instant) {
    let warm = gateway.scheduler.borrow_mut().take_warm(now);
    for server in &warm {
        let fields = json!({"server": gateway.server_name(*server)});
        event_log::state_change("server_warm", fields);
    }
    if !warm.is_empty() {
        gateway.queue_wakeup.notify_one();
    }
}

/// Removes expired registrations and idle connections until the process ends.
pub async fn cleanup_loop(gateway: Rc<Gateway>) {
    loop {
        tokio::time::sleep_until(gateway.next_tick(CLEANUP_INTERVAL)).await;
        let now = gateway.now();
        gateway.block_pool.trim();
        let gone = gateway.scheduler.borrow_mut().sweep(now);
        log_warm(&gateway, now);
        for server in gone {
            let fields = json!({"server": format!("{:x}", server.0), "why": "not back in time"});
            event_log::state_change("registration_lapsed", fields);
        }
        let scheduler = gateway.scheduler.borrow();
        gateway
            .pool
            .evict(|id| scheduler.registry.get(id).is_some(), now);
    }
}
