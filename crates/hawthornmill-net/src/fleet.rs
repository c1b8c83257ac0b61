//! The board behind its lock, and what adapters need around it.

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
use tokio::sync::{Notify, oneshot};

use crate::connections::Connections;
use crate::entry::home::Home;
use crate::peers::Outgoing;
use crate::platform;
use crate::settings::Settings;
use crate::telemetry::Telemetry;
use crate::upstream::Upstream;

/// Time between two rounds of questions of a starting process.
const ASK_EVERY: Duration = Duration::from_millis(200);

/// What a waiting request is told.
pub type Verdict = Result<Dispatch, Code>;

/// The board and the requests that wait on it.
#[derive(Debug)]
pub struct Core {
    /// The blackboard.
    pub board: Blackboard,
    waiters: BTreeMap<RequestKey, oneshot::Sender<Verdict>>,
}

/// Everything that one router process shares between its tasks.
#[derive(Debug)]
pub struct Fleet {
    /// Settings of the process.
    pub settings: Settings,
    /// Monotonic time.
    pub clock: Clock,
    /// When the process started.
    pub started: Instant,
    /// This process run.
    pub incarnation: Incarnation,
    core: Mutex<Core>,
    retries: Mutex<Retries>,
    /// Messages to peers.
    pub outgoing: Outgoing,
    /// Connections to backend servers.
    pub upstream: Upstream,
    /// Connections of callers.
    pub connections: Connections,
    /// Keys of calls that must not repeat.
    pub home: Home,
    /// Logs, spans and metrics.
    pub telemetry: Telemetry,
    /// What is known of the platform's answers.
    pub platform: platform::Answers,
    /// Enough is known to serve.
    pub ready: AtomicBool,
    /// New calls are refused; set some time after the process began to leave.
    pub closed: AtomicBool,
    /// When new calls will be refused; set when the process begins to leave.
    pub closing: OnceLock<Instant>,
    /// Calls that are in flight.
    pub flying: AtomicUsize,
    /// Something about this instance changed that peers should hear at once.
    pub hurry: Notify,
    requests: AtomicU64,
    asked: AtomicU32,
}

impl Fleet {
    /// Joins the parts of a process.
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
        let home = Home::new(&settings.limits);
        Arc::new(Self {
            settings,
            clock,
            started: now,
            incarnation,
            core: Mutex::new(Core {
                board,
                waiters: BTreeMap::new(),
            }),
            retries: Mutex::default(),
            outgoing,
            upstream: Upstream::new(),
            connections: Connections::default(),
            home,
            telemetry,
            platform: platform::Answers::default(),
            ready: AtomicBool::new(false),
            closed: AtomicBool::new(false),
            closing: OnceLock::new(),
            flying: AtomicUsize::new(0),
            hurry: Notify::new(),
            requests: AtomicU64::new(0),
            asked: AtomicU32::new(0),
        })
    }

    fn lock(&self) -> MutexGuard<'_, Core> {
        // A panic under the lock leaves a board whose invariants hold per field; serving on is
        // better for callers than refusing everything.
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reads the board.
    pub fn view<T>(&self, read: impl FnOnce(&Blackboard) -> T) -> T {
        read(&self.lock().board)
    }

    /// Feeds an event to the board, runs a turn and hands out what it left.
    pub fn feed<T>(&self, event: impl FnOnce(&mut Blackboard, Instant) -> T) -> T {
        let now = self.clock.now();
        let mut core = self.lock();
        // After a pause, a message may be taken before the next tick.
        tick::detect_pause(&mut core.board, now);
        let result = event(&mut core.board, now);
        self.run(&mut core, now);
        result
    }

    fn run(&self, core: &mut Core, now: Instant) {
        pools::run_due(&mut core.board, now);
        // A dispatch whose caller is gone gives its slot back, which may lead to another.
        while !core.board.dispatches.is_empty() || !core.board.rejections.is_empty() {
            hand_out(core, now);
            pools::run_due(&mut core.board, now);
        }
        for event in std::mem::take(&mut core.board.events) {
            log_event(&core.board, event);
        }
        for (to, message) in core.board.outbox.drain(..) {
            self.outgoing.send(to, message);
        }
    }

    /// Retry budgets of this instance.
    pub fn retries(&self) -> MutexGuard<'_, Retries> {
        // Counters that a panic left halfway make a budget a little wrong, which does no harm.
        self.retries.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Puts a request into its queue.
    ///
    /// # Errors
    /// A code when there is no room; the request was not run.
    pub fn enqueue(self: &Arc<Self>, arrival: entry::Arrival) -> Result<Ticket, Code> {
        self.queue(|board, now| entry::enqueue(board, arrival, now))
    }

    /// Puts a request that failed at the servers `avoid` back to its place in the queue.
    ///
    /// # Errors
    /// Never; the type is that of [`Self::enqueue`].
    pub fn requeue(
        self: &Arc<Self>,
        arrival: entry::Arrival,
        arrived: Instant,
        avoid: SmallVec<[ServerId; 2]>,
    ) -> Result<Ticket, Code> {
        self.queue(|board, _| Ok(entry::requeue(board, arrival, arrived, avoid)))
    }

    fn queue(
        self: &Arc<Self>,
        put: impl FnOnce(&mut Blackboard, Instant) -> Result<RequestKey, Code>,
    ) -> Result<Ticket, Code> {
        let now = self.clock.now();
        let mut core = self.lock();
        tick::detect_pause(&mut core.board, now);
        let key = put(&mut core.board, now)?;
        let (sender, receiver) = oneshot::channel();
        core.waiters.insert(key, sender);
        self.run(&mut core, now);
        Ok(Ticket {
            fleet: Arc::clone(self),
            key,
            receiver,
            settled: false,
        })
    }

    /// Takes a message from a peer.
    pub fn receive(&self, from: InstanceId, incarnation: Incarnation, message: Message) {
        self.feed(|board, now| pools::handle_message(board, from, incarnation, message, now));
    }

    /// Finds out whether enough is known to serve; once that is so, it stays so.
    ///
    /// Until then it asks peers for their revision; [`startup::is_ready`] has the rule.
    pub fn find_ready(&self) {
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
        let round = now.duration_since(self.started).as_millis() / ASK_EVERY.as_millis();
        let round = round as u32 + 1;
        if self.asked.fetch_max(round, Ordering::Relaxed) < round {
            for peer in self.view(|board| startup::probe_targets(board, round)) {
                self.outgoing.send(peer, Message::Probe(0));
            }
        }
    }

    /// A fresh request id, unique over all process runs.
    pub fn request_id(&self) -> Box<str> {
        let number = self.requests.fetch_add(1, Ordering::Relaxed);
        format!(
            "{:x}-{:x}-{number:x}",
            self.settings_id(),
            self.incarnation.0
        )
        .into()
    }

    fn settings_id(&self) -> u64 {
        InstanceId::of(&self.settings.contact.name).0 >> 40
    }
}

fn log_event(board: &Blackboard, event: Event) {
    let name = |id: InstanceId| {
        let member = board.members.map.get(&id);
        member.map_or_else(|| "?".into(), |m| m.contact.name.clone())
    };
    match event {
        Event::InstanceDown(id) => {
            log::warn!(target: "membership", "{} is not heard any more", name(id));
        }
        Event::InstanceUp(id) => log::info!(target: "membership", "{} is heard", name(id)),
        Event::OwnerChanged(pool, id) => {
            let (service, domain) = pool_names(board, pool);
            log::info!(target: "pools", "owner of {service} in {domain} is {}", name(id));
        }
        Event::ProcessPaused(gap) => {
            log::warn!(target: "membership", "stopped for {} ms; view is old", gap.as_millis());
        }
        Event::ViewConfirmed => log::info!(target: "membership", "view is confirmed"),
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

fn hand_out(core: &mut Core, now: Instant) {
    for dispatch in std::mem::take(&mut core.board.dispatches) {
        let (pool, grant) = (dispatch.pool, dispatch.grant);
        let taken = core
            .waiters
            .remove(&dispatch.request)
            .is_some_and(|w| w.send(Ok(dispatch)).is_ok());
        if !taken {
            entry::finish(&mut core.board, pool, grant, 0.0, false, now);
        }
    }
    for (request, code) in std::mem::take(&mut core.board.rejections) {
        if let Some(waiter) = core.waiters.remove(&request) {
            // The caller may have gone away; then nobody needs the answer.
            let _gone = waiter.send(Err(code));
        }
    }
}

/// A request's place in its queue; dropping it takes the request out.
#[derive(Debug)]
pub struct Ticket {
    fleet: Arc<Fleet>,
    key: RequestKey,
    receiver: oneshot::Receiver<Verdict>,
    settled: bool,
}

impl Ticket {
    /// Waits for a slot.
    ///
    /// # Errors
    /// The code with which the request is given up; it was not run.
    pub async fn wait(mut self) -> Result<SlotGuard, Code> {
        let verdict = (&mut self.receiver).await;
        self.settled = true;
        let dispatch = verdict.unwrap_or(Err(Code::NotReady))?;
        Ok(SlotGuard::new(&self.fleet, dispatch))
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        if self.settled {
            return;
        }
        // The caller broke off: a slot that was handed over in this very moment must go back.
        if let Ok(Ok(dispatch)) = self.receiver.try_recv() {
            drop(SlotGuard::new(&self.fleet, dispatch));
            return;
        }
        let key = self.key;
        self.fleet.feed(|board, _| {
            entry::cancel(board, key);
        });
        self.fleet.lock().waiters.remove(&key);
    }
}

/// A slot in use; it goes back when this is dropped.
#[derive(Debug)]
pub struct SlotGuard {
    fleet: Arc<Fleet>,
    /// What was dispatched.
    pub dispatch: Dispatch,
    /// When the slot was taken.
    pub taken: Instant,
    cost: f64,
    failed: bool,
    bytes: usize,
}

impl SlotGuard {
    fn new(fleet: &Arc<Fleet>, dispatch: Dispatch) -> Self {
        Self {
            fleet: Arc::clone(fleet),
            taken: fleet.clock.now(),
            dispatch,
            cost: 0.0,
            failed: false,
            bytes: 0,
        }
    }

    /// Counts bytes of the answer, which are paid for where they cross to another region.
    pub fn add_bytes(&mut self, bytes: usize) {
        self.bytes += bytes;
    }

    /// Sets what is charged when the slot goes back.
    pub fn set_cost(&mut self, cost: f64) {
        self.cost = cost;
    }

    /// The server could not be reached: nothing is charged, and it gets no grants for a while.
    pub fn set_failed(&mut self) {
        self.failed = true;
        self.cost = 0.0;
    }

    /// What is charged when the slot goes back.
    pub fn cost(&self) -> f64 {
        self.cost
    }

    /// Pool and grant of the slot.
    pub fn place(&self) -> (PoolId, GrantId) {
        (self.dispatch.pool, self.dispatch.grant)
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        let (pool, grant) = self.place();
        let (cost, failed, bytes) = (self.cost, self.failed, self.bytes);
        self.fleet.feed(|board, now| {
            cross_region::spend(board, pool, bytes);
            entry::finish(board, pool, grant, cost, failed, now);
        });
    }
}
