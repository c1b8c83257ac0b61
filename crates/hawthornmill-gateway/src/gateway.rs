//! What the tasks of one gateway process share.
//!
//! The process has one thread, so the shared state is borrowed for the length of a call and never
//! across an await.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use hawthornmill::clock::Clock;
use hawthornmill::codes::Code;
use hawthornmill::ident::{Incarnation, InstanceId, ServerId};
use hawthornmill::limits::link::Link;
use hawthornmill::limits::strain::Strain;
use hawthornmill::routing::budget::Budget;
use hawthornmill::routing::catalog::Catalog;
use hawthornmill::routing::desk::Desk;
use hawthornmill::routing::lag::Lag;
use hawthornmill::routing::leaving::{Leavers, Leaving, Source};
use hawthornmill::routing::news::{Mates, Reading};
use hawthornmill::routing::parts::RecentAnswers;
use hawthornmill::routing::place::{Choice, Place};
use hawthornmill::routing::registry::{Change, List};
use hawthornmill::routing::request::{Cause, Refusal, Request, Ticket, Verdict};
use hawthornmill::routing::table::Table;
use serde_json::json;
use slotmap::SecondaryMap;
use tokio::sync::{Notify, oneshot, watch};

use crate::adapter::Adapter;
use crate::event_log;
use crate::metrics::Metrics;
use crate::pending_state::PendingState;
use crate::pool::Pool;
use crate::settings::Settings;

/// Part of the time in which a catalog must be in force after which an instance without it decides nothing; the
/// rest is for news of it on their way.
const OUTDATED: f64 = 0.75;

/// How far the process is on its way out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// It serves.
    Serving,
    /// It was told to stop and serves those that have not heard of it.
    LameDuck,
    /// It refuses new requests and waits for those under way.
    Draining,
}

/// Connections that were turned away because the process was behind.
#[derive(Debug, Default)]
pub struct RejectedConnections {
    /// Requests that were told when to come back.
    pub answered: Vec<Box<str>>,
    /// Connections that were closed unread.
    pub unread: u64,
}

/// The shared state.
#[derive(Debug)]
pub struct Gateway {
    /// Settings in force.
    pub settings: RefCell<Rc<Settings>>,
    /// The adapter.
    pub adapter: Adapter,
    /// Source of time.
    pub clock: Clock,
    /// This instance's key.
    pub id: InstanceId,
    /// This process run.
    pub incarnation: Incarnation,
    /// Decisions.
    pub desk: RefCell<Desk>,
    /// Catalog in force.
    pub table: RefCell<Option<Rc<Table>>>,
    /// Catalogs that others have and this instance has not.
    pub catalog_lag: RefCell<Lag>,
    /// Servers that leave, as heard lately.
    pub leaving_servers: RefCell<Leavers>,
    /// What this instance told others lately of what it knows.
    pub state_cache: RefCell<RecentAnswers>,
    /// What another instance tells of what it knows.
    pub pending_state: PendingState,
    /// The other instances.
    pub peers: RefCell<Mates>,
    /// Connections to servers.
    pub pool: Pool,
    /// Counters.
    pub metrics: Metrics,
    /// Callers' connections that are open.
    pub connections: Cell<usize>,
    /// How full the instance's link is.
    pub link: RefCell<Link>,
    /// How late the process is with its work.
    pub strain: Cell<Strain>,
    /// Connections turned away since the log told of them.
    pub rejected: RefCell<RejectedConnections>,
    /// Requests under way.
    pub in_flight: Cell<usize>,
    /// Bytes of bodies in memory.
    pub body_bytes: Cell<usize>,
    /// The catalog or the registrations came from the store or a mate since the start.
    pub has_registrations: Cell<bool>,
    /// What this instance has to do with the store.
    pub store_access: Cell<Reading>,
    /// A place came free, or something else that waiting requests depend on changed.
    pub queue_wakeup: Notify,
    /// Something that the others should hear at once changed.
    pub news_wakeup: Notify,
    /// The others should hear of this instance's work before its next news.
    pub work_wakeup: Notify,
    phase: watch::Sender<Phase>,
    waiters: RefCell<SecondaryMap<Ticket, oneshot::Sender<Result<Choice, Refusal>>>>,
}

impl Gateway {
    /// The state of a process that has heard nothing yet.
    pub fn new(
        settings: Settings,
        adapter: Adapter,
        clock: Clock,
        incarnation: Incarnation,
    ) -> Rc<Self> {
        let now = clock.now();
        let place = Place {
            domain: settings.domain,
            region: settings.region,
        };
        let mut desk = Desk::new(place, Budget::new(settings.guarantees.resend_budget, now));
        desk.regions.clone_from(&settings.regions);
        Rc::new(Self {
            id: InstanceId::of(&settings.name),
            settings: RefCell::new(Rc::new(settings)),
            adapter,
            clock,
            incarnation,
            desk: RefCell::new(desk),
            table: RefCell::default(),
            catalog_lag: RefCell::default(),
            leaving_servers: RefCell::default(),
            state_cache: RefCell::default(),
            pending_state: PendingState::default(),
            peers: RefCell::new(Mates::new(place.domain)),
            pool: Pool::default(),
            metrics: Metrics::default(),
            connections: Cell::new(0),
            link: RefCell::default(),
            strain: Cell::default(),
            rejected: RefCell::default(),
            in_flight: Cell::new(0),
            body_bytes: Cell::new(0),
            has_registrations: Cell::new(false),
            store_access: Cell::new(Reading::Answered),
            queue_wakeup: Notify::new(),
            news_wakeup: Notify::new(),
            work_wakeup: Notify::new(),
            phase: watch::Sender::new(Phase::Serving),
            waiters: RefCell::default(),
        })
    }

    /// The present instant.
    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Settings in force.
    pub fn settings(&self) -> Rc<Settings> {
        Rc::clone(&self.settings.borrow())
    }

    /// Tells whether times that are measured now tell more of this instance than of servers.
    pub fn is_overloaded(&self) -> bool {
        let now = self.now();
        self.strain.get().is_behind(now) || self.link.borrow().is_late(now)
    }

    /// Catalog in force.
    pub fn table(&self) -> Option<Rc<Table>> {
        self.table.borrow().clone()
    }

    /// Version of the catalog in force; 0 when there is none.
    pub fn catalog_version(&self) -> u64 {
        self.table.borrow().as_ref().map_or(0, |t| t.version())
    }

    /// How far the process is on its way out.
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Tells of changes of the phase.
    pub fn subscribe_phase(&self) -> watch::Receiver<Phase> {
        self.phase.subscribe()
    }

    /// Goes on to `phase`.
    pub fn set_phase(&self, phase: Phase) {
        self.phase.send_replace(phase);
        self.news_wakeup.notify_one();
    }

    /// Tells whether callers may be sent here.
    pub fn is_ready(&self) -> bool {
        let known = self.has_registrations.get() && self.table.borrow().is_some();
        self.phase() == Phase::Serving && known && !self.is_outdated()
    }

    /// Tells whether a newer catalog is in force by now, so that others must decide.
    ///
    /// Where nobody that lives has it, this instance's own is still the best there is.
    pub fn is_outdated(&self) -> bool {
        let now = self.now();
        let late = self.settings().guarantees.apply_time.mul_f64(OUTDATED);
        self.catalog_lag.borrow().time(now) > late
            && self.peers.borrow().has_newer(self.catalog_version(), now)
    }

    /// Puts `catalog` in force unless an equal or newer one is; `from` is told in the log.
    pub fn apply_catalog(&self, catalog: Catalog, from: &str) {
        let (version, before) = (catalog.version, self.catalog_version());
        if version <= before {
            return;
        }
        match Table::new(catalog) {
            Ok(table) => {
                let fields = json!({"version": version, "before": before, "from": from});
                event_log::state_change("catalog_in_force", fields);
                self.desk.borrow_mut().token_rate = table.limits().token_rate;
                *self.table.borrow_mut() = Some(Rc::new(table));
                self.catalog_lag.borrow_mut().reach(version);
                self.queue_wakeup.notify_one();
                self.news_wakeup.notify_one();
            }
            Err((code, what)) => {
                let fields = json!({"version": version, "code": code.number(), "why": what});
                event_log::state_change("catalog_refused", fields);
            }
        }
    }

    /// Another instance decides by the catalog of `version`.
    pub fn observe_version(&self, version: u64) {
        let (own, now) = (self.catalog_version(), self.now());
        self.catalog_lag.borrow_mut().hear(version, own, now);
    }

    /// Takes one change of the registrations.
    pub fn apply_change(&self, change: Change, from: &str) {
        let (told, leaving) = (describe_change(&change, from), change.leaving());
        if self.desk.borrow_mut().register(change, self.now()) {
            event_log::state_change("registration", told);
            self.queue_wakeup.notify_one();
            if let Some(leaving) = leaving {
                self.announce_leaving(leaving, Source::Store);
            }
        }
    }

    /// Takes the word of another instance that servers leave.
    pub fn apply_leaving(&self, all: &[Leaving]) {
        for leaving in all {
            if self.desk.borrow_mut().registry.leaves(*leaving) {
                let server = self.server_name(leaving.server);
                let fields = json!({"server": server, "revision": leaving.revision});
                event_log::state_change("registration_leaving", fields);
                self.announce_leaving(*leaving, Source::Peer);
            }
        }
    }

    fn announce_leaving(&self, leaving: Leaving, source: Source) {
        self.leaving_servers
            .borrow_mut()
            .hear(leaving, source, self.now());
        self.news_wakeup.notify_one();
    }

    /// An entry was removed at `revision`, maybe since the store was away.
    pub fn suspect_removal(&self, server: ServerId, revision: u64) {
        let registry = &mut self.desk.borrow_mut().registry;
        if let Some(known) = registry.get(server) {
            let fields = json!({"server": known.entry.name, "revision": revision});
            event_log::state_change("registration_doubted", fields);
        }
        registry.doubt_anew(server, revision, self.now());
    }

    /// Takes a whole list of registrations.
    pub fn apply_registrations(&self, list: List, from: &str) {
        let fields = json!({
            "servers": list.entries.len(), "doubted": list.doubted.len(), "revision": list.revision,
            "store_was_away": list.away, "from": from,
        });
        event_log::state_change("registrations_listed", fields);
        self.desk.borrow_mut().list(list, self.now());
        self.has_registrations.set(true);
        self.queue_wakeup.notify_one();
    }

    /// Waits until the desk decides on `request`.
    ///
    /// # Errors
    /// Why it is turned away, and when its caller may come back.
    pub async fn select_server(&self, request: &Request) -> Result<Choice, Refusal> {
        let verdict = self.desk.borrow_mut().ask(request, self.now());
        self.announce_work();
        let decided = match verdict {
            Verdict::Decided(decided) => return decided,
            Verdict::Wait(ticket) => self.wait_for_decision(ticket).await,
        };
        // The other end is dropped only together with the gateway, and nobody is served then.
        decided.unwrap_or(Err(Refusal {
            code: Code::NotReady,
            cause: Cause::NoServer,
            again: request.objective,
        }))
    }

    async fn wait_for_decision(&self, ticket: Ticket) -> Option<Result<Choice, Refusal>> {
        let (sender, decided) = oneshot::channel();
        self.waiters.borrow_mut().insert(ticket, sender);
        let mut waiting = Waiting {
            gateway: self,
            ticket,
            decided,
        };
        (&mut waiting.decided).await.ok()
    }

    /// Lets the desk decide on those that wait.
    pub fn dispatch_queue(&self) {
        let decided = self.desk.borrow_mut().turn(self.now());
        self.announce_work();
        for (ticket, decided) in decided {
            let waiter = self.waiters.borrow_mut().remove(ticket);
            let untaken = match waiter {
                Some(waiter) => waiter.send(decided).err(),
                None => Some(decided),
            };
            if let Some(Ok(choice)) = untaken {
                self.release(&choice, false);
            }
        }
    }

    /// Lets the others hear of this instance's work if much of it has changed.
    pub fn announce_work(&self) {
        if self.desk.borrow().loads.is_untold() {
            self.work_wakeup.notify_one();
        }
    }

    /// A request is no longer under way at its server.
    pub fn release(&self, choice: &Choice, began: bool) {
        self.desk.borrow_mut().ended(choice, began);
        self.queue_wakeup.notify_one();
    }

    /// Idle connections that this instance may keep to `server`; none once it is gone.
    ///
    /// A server resets what is over its service's bound, and cannot tell idle connections from needed
    /// ones. Half of the bound, divided by the instances, leaves the other half for requests under way.
    pub fn max_idle(&self, server: ServerId) -> usize {
        let Some(service) = self
            .desk
            .borrow()
            .registry
            .get(server)
            .map(|k| k.entry.service)
        else {
            return 0;
        };
        let table = self.table();
        let bound = table.and_then(|t| Some(t.service(service)?.connections as usize));
        match bound {
            Some(bound) if bound > 0 => (bound / 2 / self.peers.borrow().most().max(1)).max(1),
            _ => usize::MAX,
        }
    }

    /// Name of a server for logs.
    pub fn server_name(&self, server: ServerId) -> Box<str> {
        let desk = self.desk.borrow();
        let known = desk.registry.get(server);
        known.map_or_else(|| "gone".into(), |k| k.entry.name.clone())
    }
}

fn describe_change(change: &Change, from: &str) -> serde_json::Value {
    match &change.entry {
        Some(entry) => json!({
            "server": entry.name, "address": entry.address.to_string(), "draining": entry.draining,
            "revision": change.revision, "from": from,
        }),
        None => json!({"server": format!("{:x}", change.server.0), "gone": true,
            "revision": change.revision, "from": from}),
    }
}

/// A request in the line; takes it out when its caller leaves.
struct Waiting<'a> {
    gateway: &'a Gateway,
    ticket: Ticket,
    decided: oneshot::Receiver<Result<Choice, Refusal>>,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if self
            .gateway
            .waiters
            .borrow_mut()
            .remove(self.ticket)
            .is_some()
        {
            self.gateway.desk.borrow_mut().leave(self.ticket);
        }
        // A place was found and its caller left before it heard; nobody else would free it.
        if let Ok(Ok(choice)) = self.decided.try_recv() {
            self.gateway.release(&choice, false);
        }
    }
}

/// Time between two looks at what waits, beside those that a nudge brings.
const LOOK: Duration = Duration::from_millis(25);
/// Time between two clean-ups.
const SWEEP: Duration = Duration::from_millis(250);

/// Decides on waiting requests for as long as the process lives.
pub async fn dispatch_loop(gateway: Rc<Gateway>) {
    loop {
        if gateway.desk.borrow().waiting() > 0 {
            tokio::select! {
                () = gateway.queue_wakeup.notified() => {}
                () = tokio::time::sleep(LOOK) => {}
            }
        } else {
            gateway.queue_wakeup.notified().await;
        }
        gateway.dispatch_queue();
    }
}

/// Time between two looks at how late the process is.
const TICK: Duration = Duration::from_millis(100);

/// Measures how late the process is for as long as it lives.
pub async fn monitor_lateness(gateway: Rc<Gateway>) {
    loop {
        let now = gateway.now();
        let mut strain = gateway.strain.get();
        strain.tick(now, now + TICK);
        gateway.strain.set(strain);
        log_rejected(&gateway, strain.late(now));
        tokio::time::sleep(TICK).await;
    }
}

/// One line for all connections that were turned away since the last one: a flood has thousands a second.
fn log_rejected(gateway: &Gateway, late: Duration) {
    let rejected = gateway.rejected.take();
    if rejected.unread == 0 && rejected.answered.is_empty() {
        return;
    }
    let fields = json!({
        "code": Code::InstanceFull.number(), "late_ms": late.as_millis() as u64, "unread": rejected.unread,
        "connections": gateway.connections.get(), "requests": rejected.answered,
    });
    event_log::state_change("turned_away", fields);
}

/// Drops what no longer counts for as long as the process lives.
pub async fn cleanup_loop(gateway: Rc<Gateway>) {
    loop {
        tokio::time::sleep(SWEEP).await;
        let now = gateway.now();
        let gone = gateway.desk.borrow_mut().sweep(now);
        for server in gone {
            let fields = json!({"server": format!("{:x}", server.0), "why": "not back in time"});
            event_log::state_change("registration_lapsed", fields);
        }
        let desk = gateway.desk.borrow();
        gateway
            .pool
            .evict(|id| desk.registry.get(id).is_some(), now);
    }
}
