//! The state that the tasks of a router process share, with the blackboard behind a lock.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, Instant};

use hawthornmill::blackboard::{Blackboard, Dispatch, RequestKey};
use hawthornmill::clock::Clock;
use hawthornmill::codes::Code;
use hawthornmill::events::Event;
use hawthornmill::ident::{Incarnation, InstanceId, PoolId, ServerId};
use hawthornmill::limits::retry::Retries;
use hawthornmill::membership::startup;
use hawthornmill::pools::{self, cross_region, entry, tick};
use hawthornmill::wire::message::{GrantId, Message};
use smallvec::SmallVec;
use tokio::sync::{Notify, oneshot, watch};

use crate::api::body::BodyBudget;
use crate::api::key_store::KeyStore;
use crate::connections::Connections;
use crate::peers::Outgoing;
use crate::platform;
use crate::quarantine::CallQuarantine;
use crate::settings::Settings;
use crate::telemetry::Telemetry;
use crate::upstream::Upstream;

/// Time between two rounds of probes while the process starts.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);

/// Outcome of waiting for a slot: the dispatch, or the code of the rejection.
pub type DispatchResult = Result<Dispatch, Code>;

/// The blackboard and the channels of the requests that wait for a slot.
#[derive(Debug)]
pub struct SharedState {
    /// The blackboard.
    pub board: Blackboard,
    waiters: BTreeMap<RequestKey, oneshot::Sender<DispatchResult>>,
}

/// State that the tasks of one router process share.
#[derive(Debug)]
pub struct Fleet {
    /// Settings, read at startup.
    pub settings: Settings,
    /// Monotonic clock.
    pub clock: Clock,
    /// Start of the process.
    pub started: Instant,
    /// Tells this run of the process from earlier ones.
    pub incarnation: Incarnation,
    state: Mutex<SharedState>,
    retries: Mutex<Retries>,
    /// Calls under which servers end.
    pub quarantine: CallQuarantine,
    /// Messages to peers.
    pub outgoing: Outgoing,
    /// Connections to backend servers.
    pub upstream: Upstream,
    /// Connections of callers.
    pub connections: Connections,
    /// Idempotency keys whose home is this instance.
    pub home: KeyStore,
    /// Logs, spans and metrics.
    pub telemetry: Telemetry,
    /// When the platform was last reached.
    pub platform: platform::PlatformStatus,
    /// Set once this instance knows enough to serve.
    pub ready: AtomicBool,
    /// New calls are refused; set a while after the process starts to leave.
    pub closed: AtomicBool,
    /// When new calls will be refused; set when the process starts to leave.
    pub closes_at: OnceLock<Instant>,
    /// When calls in flight get no more time; set when the process starts to leave.
    pub ends_at: OnceLock<Instant>,
    /// Set once the calls that are still in flight must be answered.
    pub ending: watch::Sender<bool>,
    /// Memory for the bodies that are being read.
    pub body_budget: BodyBudget,
    /// Memory for the answers of calls with keys that are being read.
    pub answer_budget: BodyBudget,
    /// Number of calls in flight.
    pub in_flight: AtomicUsize,
    /// Triggers a heartbeat at once, after a change that peers should know of.
    pub heartbeat_now: Notify,
    next_request: AtomicU64,
    probe_rounds: AtomicU32,
}

impl Fleet {
    /// Creates the state of a process that knows no peers or configuration yet.
    pub fn new(
        settings: Settings,
        clock: Clock,
        incarnation: Incarnation,
        outgoing: Outgoing,
        telemetry: Telemetry,
    ) -> Arc<Self> {
        let now = clock.now();
        let board = Blackboard::new(
            settings.contact.clone(),
            incarnation,
            settings.tuning.clone(),
            now,
        );
        let home = KeyStore::new(&settings.limits);
        Arc::new(Self {
            settings,
            clock,
            started: now,
            incarnation,
            state: Mutex::new(SharedState {
                board,
                waiters: BTreeMap::new(),
            }),
            retries: Mutex::default(),
            quarantine: CallQuarantine::default(),
            outgoing,
            upstream: Upstream::new(),
            connections: Connections::default(),
            home,
            telemetry,
            platform: platform::PlatformStatus::default(),
            ready: AtomicBool::new(false),
            closed: AtomicBool::new(false),
            closes_at: OnceLock::new(),
            ends_at: OnceLock::new(),
            ending: watch::Sender::new(false),
            body_budget: BodyBudget::default(),
            answer_budget: BodyBudget::default(),
            in_flight: AtomicUsize::new(0),
            heartbeat_now: Notify::new(),
            next_request: AtomicU64::new(0),
            probe_rounds: AtomicU32::new(0),
        })
    }

    /// Returns whether a call that may take until `deadline` may be cut by the end of a graceful shutdown.
    pub fn may_cut(&self, deadline: Instant) -> bool {
        self.ends_at.get().is_some_and(|end| deadline > *end)
    }

    /// Waits until the calls in flight must be answered.
    pub async fn must_end(&self) {
        // The sender lives as long as `self`, so the wait doesn't fail.
        let mut ending = self.ending.subscribe();
        let _set = ending.wait_for(|ending| *ending).await;
    }

    fn lock(&self) -> MutexGuard<'_, SharedState> {
        // After a panic under the lock each field of the blackboard is still valid by itself, and
        // continuing to serve is better for callers than refusing every request.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reads the blackboard under the lock.
    pub fn view<T>(&self, read: impl FnOnce(&Blackboard) -> T) -> T {
        read(&self.lock().board)
    }

    /// Applies an event to the blackboard, runs the controllers and passes on their results.
    pub fn apply<T>(&self, event: impl FnOnce(&mut Blackboard, Instant) -> T) -> T {
        let now = self.clock.now();
        let mut state = self.lock();
        // After a pause of the process, a message may be handled before the next tick.
        tick::detect_pause(&mut state.board, now);
        let result = event(&mut state.board, now);
        self.run_turn(&mut state, now);
        result
    }

    fn run_turn(&self, state: &mut SharedState, now: Instant) {
        pools::run_due(&mut state.board, now);
        // A dispatch whose caller is gone returns its slot, which may cause another dispatch.
        while !state.board.dispatches.is_empty() || !state.board.rejections.is_empty() {
            notify_waiters(state, now);
            pools::run_due(&mut state.board, now);
        }
        for event in std::mem::take(&mut state.board.events) {
            log_event(&state.board, event);
        }
        for (to, message) in state.board.outbox.drain(..) {
            self.outgoing.send(to, message);
        }
    }

    /// Retry budgets of this instance.
    pub fn retries(&self) -> MutexGuard<'_, Retries> {
        // A panic between two counter updates leaves a budget slightly wrong, which is harmless.
        self.retries.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a request to its queue.
    ///
    /// # Errors
    /// The code of the rejection when the queue is full; the request did not run.
    pub fn enqueue(self: &Arc<Self>, arrival: entry::Arrival) -> Result<QueuedRequest, Code> {
        self.add_to_queue(|board, now| entry::enqueue(board, arrival, now))
    }

    /// Returns a request that failed at the servers `avoid` to its earlier position in the queue.
    ///
    /// # Errors
    /// None; it shares the return type of [`Self::enqueue`].
    pub fn requeue(
        self: &Arc<Self>,
        arrival: entry::Arrival,
        arrived: Instant,
        avoid: SmallVec<[ServerId; 2]>,
    ) -> Result<QueuedRequest, Code> {
        self.add_to_queue(|board, _| Ok(entry::requeue(board, arrival, arrived, avoid)))
    }

    fn add_to_queue(
        self: &Arc<Self>,
        insert: impl FnOnce(&mut Blackboard, Instant) -> Result<RequestKey, Code>,
    ) -> Result<QueuedRequest, Code> {
        let now = self.clock.now();
        let mut state = self.lock();
        tick::detect_pause(&mut state.board, now);
        let key = insert(&mut state.board, now)?;
        let (sender, receiver) = oneshot::channel();
        state.waiters.insert(key, sender);
        self.run_turn(&mut state, now);
        Ok(QueuedRequest {
            fleet: Arc::clone(self),
            key,
            receiver,
            completed: false,
        })
    }

    /// Handles a message from a peer.
    pub fn receive(&self, from: InstanceId, incarnation: Incarnation, message: Message) {
        self.apply(|board, now| pools::handle_message(board, from, incarnation, message, now));
    }

    /// Sets `ready` as soon as this instance knows enough to serve; it stays set.
    ///
    /// Until then it probes peers for their revision. The condition is [`startup::is_ready`].
    pub fn update_readiness(&self) {
        if self.ready.load(Ordering::Relaxed) {
            return;
        }
        let now = self.clock.now();
        let (ready, revision) = self.view(|board| {
            let ready = startup::is_ready(board, self.started, now);
            (ready, board.config.revision)
        });
        if ready {
            self.ready.store(true, Ordering::Relaxed);
            log::info!(target: "daemon", "ready at revision {revision}");
            return;
        }
        let round = now.duration_since(self.started).as_millis() / PROBE_INTERVAL.as_millis();
        let round = round as u32 + 1;
        if self.probe_rounds.fetch_max(round, Ordering::Relaxed) < round {
            for peer in self.view(|board| startup::probe_targets(board, round)) {
                self.outgoing.send(peer, Message::Probe(0));
            }
        }
    }

    /// Returns a new request id, unique across instances and process runs.
    pub fn request_id(&self) -> Box<str> {
        let number = self.next_request.fetch_add(1, Ordering::Relaxed);
        format!(
            "{:x}-{:x}-{number:x}",
            self.instance_prefix(),
            self.incarnation.0
        )
        .into()
    }

    fn instance_prefix(&self) -> u64 {
        InstanceId::of(&self.settings.contact.name).0 >> 40
    }
}

fn log_event(board: &Blackboard, event: Event) {
    let name = |id: InstanceId| {
        let member = board.members.map.get(&id);
        member.map_or_else(|| "?".into(), |m| m.contact.name.clone())
    };
    match event {
        Event::Down(id) => log::warn!(target: "membership", "{} is down, timed out", name(id)),
        Event::Up(id) => log::info!(target: "membership", "{} is up", name(id)),
        Event::OwnerChanged(pool, id) => {
            let (service, domain) = pool_names(board, pool);
            log::info!(target: "pools", "owner of {service} in {domain} is {}", name(id));
        }
        Event::ProcessPaused(gap) => {
            log::warn!(target: "membership", "paused for {} ms; view is stale", gap.as_millis());
        }
        Event::ViewConfirmed => log::info!(target: "membership", "peers confirmed the view"),
    }
}

fn pool_names(board: &Blackboard, pool: PoolId) -> (Box<str>, Box<str>) {
    let config = &board.config;
    let names = config.pools.get(&pool).and_then(|p| {
        let service = config.services.get(&p.service)?.name.clone();
        Some((service, config.domain_names.get(&p.domain)?.clone()))
    });
    names.unwrap_or_default()
}

fn notify_waiters(state: &mut SharedState, now: Instant) {
    for dispatch in std::mem::take(&mut state.board.dispatches) {
        let (pool, grant) = (dispatch.pool, dispatch.grant);
        let delivered = state
            .waiters
            .remove(&dispatch.request)
            .is_some_and(|w| w.send(Ok(dispatch)).is_ok());
        if !delivered {
            entry::finish(&mut state.board, pool, grant, 0.0, false, now);
        }
    }
    for (request, code) in std::mem::take(&mut state.board.rejections) {
        if let Some(waiter) = state.waiters.remove(&request) {
            // If the caller disconnected, nobody needs the result.
            let _disconnected = waiter.send(Err(code));
        }
    }
}

/// A request in its queue; dropping it removes the request.
#[derive(Debug)]
pub struct QueuedRequest {
    fleet: Arc<Fleet>,
    key: RequestKey,
    receiver: oneshot::Receiver<DispatchResult>,
    completed: bool,
}

impl QueuedRequest {
    /// Waits for a slot.
    ///
    /// # Errors
    /// The code with which the request was rejected; it did not run.
    pub async fn wait(mut self) -> Result<SlotGuard, Code> {
        let result = (&mut self.receiver).await;
        self.completed = true;
        let dispatch = result.unwrap_or(Err(Code::NotReady))?;
        Ok(SlotGuard::new(&self.fleet, dispatch))
    }
}

impl Drop for QueuedRequest {
    fn drop(&mut self) {
        if self.completed {
            return;
        }
        // The caller disconnected: a slot that was granted in the meantime must be returned.
        if let Ok(Ok(dispatch)) = self.receiver.try_recv() {
            drop(SlotGuard::new(&self.fleet, dispatch));
            return;
        }
        let key = self.key;
        self.fleet.apply(|board, _| {
            entry::cancel(board, key);
        });
        self.fleet.lock().waiters.remove(&key);
    }
}

/// A slot in use; dropping the guard returns the slot.
#[derive(Debug)]
pub struct SlotGuard {
    fleet: Arc<Fleet>,
    /// The dispatch that granted the slot.
    pub dispatch: Dispatch,
    /// Time at which the slot was acquired.
    pub acquired_at: Instant,
    cost: f64,
    failed: bool,
    bytes: usize,
}

impl SlotGuard {
    fn new(fleet: &Arc<Fleet>, dispatch: Dispatch) -> Self {
        Self {
            fleet: Arc::clone(fleet),
            acquired_at: fleet.clock.now(),
            dispatch,
            cost: 0.0,
            failed: false,
            bytes: 0,
        }
    }

    /// Adds response bytes, which are charged to the cross-region budget if the server is in
    /// another region.
    pub fn add_bytes(&mut self, bytes: usize) {
        self.bytes += bytes;
    }

    /// Sets the cost that is charged when the slot is returned.
    pub fn set_cost(&mut self, cost: f64) {
        self.cost = cost;
    }

    /// Marks the server as failed: nothing is charged, and the server gets no grants for a while.
    pub fn set_failed(&mut self) {
        self.failed = true;
        self.cost = 0.0;
    }

    /// Returns the cost that is charged when the slot is returned.
    pub fn cost(&self) -> f64 {
        self.cost
    }

    /// Returns the pool and the grant of the slot.
    pub fn pool_and_grant(&self) -> (PoolId, GrantId) {
        (self.dispatch.pool, self.dispatch.grant)
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        let (pool, grant) = self.pool_and_grant();
        let (cost, failed, bytes) = (self.cost, self.failed, self.bytes);
        self.fleet.apply(|board, now| {
            cross_region::spend(board, pool, bytes);
            entry::finish(board, pool, grant, cost, failed, now);
        });
    }
}
