//! The board behind its lock, and what adapters need around it.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, Instant};

use hawthornmill::board::{Board, Dispatch, RequestKey};
use hawthornmill::clock::Clock;
use hawthornmill::codes::Code;
use hawthornmill::ident::{Incarnation, InstanceId, PoolId};
use hawthornmill::pools::{self, entry, tick};
use hawthornmill::wire::message::{GrantId, Message};
use tokio::sync::{Notify, oneshot};

use crate::connections::Connections;
use crate::entry::home::Home;
use crate::peers::Outgoing;
use crate::settings::Settings;
use crate::telemetry::Telemetry;
use crate::upstream::Upstream;

/// Time for which a starting process waits for both the platform and a peer.
const START_WAIT: Duration = Duration::from_secs(2);

/// What a waiting request is told.
pub type Verdict = Result<Dispatch, Code>;

/// The board and the requests that wait on it.
#[derive(Debug)]
pub struct Core {
    /// The blackboard.
    pub board: Board,
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
    /// The platform's configuration service has answered this process.
    pub platform_spoke: AtomicBool,
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
        let board = Board::new(
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
            outgoing,
            upstream: Upstream::new(),
            connections: Connections::default(),
            home,
            telemetry,
            platform_spoke: AtomicBool::new(false),
            ready: AtomicBool::new(false),
            closed: AtomicBool::new(false),
            closing: OnceLock::new(),
            flying: AtomicUsize::new(0),
            hurry: Notify::new(),
            requests: AtomicU64::new(0),
        })
    }

    fn lock(&self) -> MutexGuard<'_, Core> {
        // A panic under the lock leaves a board whose invariants hold per field; serving on is
        // better for callers than refusing everything.
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reads the board.
    pub fn view<T>(&self, read: impl FnOnce(&Board) -> T) -> T {
        read(&self.lock().board)
    }

    /// Feeds an event to the board, runs a turn and hands out what it left.
    pub fn feed<T>(&self, event: impl FnOnce(&mut Board, Instant) -> T) -> T {
        let now = self.clock.now();
        let mut core = self.lock();
        let result = event(&mut core.board, now);
        self.run(&mut core, now);
        result
    }

    fn run(&self, core: &mut Core, now: Instant) {
        pools::turn(&mut core.board, now);
        // A dispatch whose caller is gone gives its slot back, which may lead to another.
        while !core.board.dispatches.is_empty() || !core.board.refusals.is_empty() {
            hand_out(core, now);
            pools::turn(&mut core.board, now);
        }
        for (to, message) in core.board.outbox.drain(..) {
            self.outgoing.send(to, message);
        }
    }

    /// Puts a request into its queue.
    ///
    /// # Errors
    /// A code when there is no room; the request was not run.
    pub fn enqueue(self: &Arc<Self>, arrival: entry::Arrival) -> Result<Ticket, Code> {
        let now = self.clock.now();
        let mut core = self.lock();
        tick::notice_pause(&mut core.board, now);
        let key = entry::enqueue(&mut core.board, arrival, now)?;
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
        self.feed(|board, now| pools::receive(board, from, incarnation, message, now));
    }

    /// Finds out whether enough is known to serve; once that is so, it stays so.
    ///
    /// A starting process must hold the highest revision that it heard of. A platform that shows an
    /// old revision can't take a restarted instance back while peers know a newer one; and when no
    /// peer or no platform answers for a while, the word of the other is enough.
    pub fn find_ready(&self) {
        if self.ready.load(Ordering::Relaxed) {
            return;
        }
        let age = self.clock.now().duration_since(self.started);
        let (revision, highest, peers) = self.view(|board| {
            let others = board
                .members
                .map
                .iter()
                .filter(|(id, _)| **id != board.me());
            let heard = others.clone().any(|(_, m)| m.live);
            let highest = others.map(|(_, m)| m.revision).max().unwrap_or(0);
            (board.config.revision, highest, heard)
        });
        let both = peers && self.platform_spoke.load(Ordering::Relaxed);
        let enough = both || age > START_WAIT;
        if revision > 0 && revision >= highest && enough {
            self.ready.store(true, Ordering::Relaxed);
            log::info!(target: "daemon", "ready at revision {revision}");
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
    for (request, code) in std::mem::take(&mut core.board.refusals) {
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
}

impl SlotGuard {
    fn new(fleet: &Arc<Fleet>, dispatch: Dispatch) -> Self {
        Self {
            fleet: Arc::clone(fleet),
            taken: fleet.clock.now(),
            dispatch,
            cost: 0.0,
            failed: false,
        }
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
        let (cost, failed) = (self.cost, self.failed);
        self.fleet
            .feed(|board, now| entry::finish(board, pool, grant, cost, failed, now));
    }
}
