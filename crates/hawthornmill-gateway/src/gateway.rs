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
use hawthornmill::routing::catalog::Catalog;
use hawthornmill::routing::departures::{Departure, RecentDepartures, Source};
use hawthornmill::routing::fragments::ResponseCache;
use hawthornmill::routing::gossip::{PeerTable, StoreRole};
use hawthornmill::routing::lag::Lag;
use hawthornmill::routing::placement::{Location, Placement};
use hawthornmill::routing::registry::{Change, RegistrationList};
use hawthornmill::routing::request::{Admission, Cause, Refusal, Request, Ticket};
use hawthornmill::routing::retry_budget::RetryBudget;
use hawthornmill::routing::route_table::RouteTable;
use hawthornmill::routing::scheduler::Scheduler;
use serde_json::json;
use slotmap::SecondaryMap;
use tokio::sync::{Notify, oneshot, watch};

use crate::awaited::Awaited;
use crate::dialect::Dialect;
use crate::journal;
use crate::meters::Meters;
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
    Leaving,
    /// It refuses new requests and waits for those under way.
    Closed,
}

/// Connections that were turned away because the process was behind.
#[derive(Debug, Default)]
pub struct Turned {
    /// Requests that were told when to come back.
    pub told: Vec<Box<str>>,
    /// Connections that were closed unread.
    pub unread: u64,
}

/// The shared state.
#[derive(Debug)]
pub struct Gateway {
    /// Settings in force.
    pub settings: RefCell<Rc<Settings>>,
    /// The adapter.
    pub dialect: Dialect,
    /// Source of time.
    pub clock: Clock,
    /// This instance's key.
    pub me: InstanceId,
    /// This process run.
    pub incarnation: Incarnation,
    /// Decisions.
    pub scheduler: RefCell<Scheduler>,
    /// Catalog in force.
    pub table: RefCell<Option<Rc<RouteTable>>>,
    /// Catalogs that others have and this instance has not.
    pub lag: RefCell<Lag>,
    /// Servers that leave, as heard lately.
    pub leavers: RefCell<RecentDepartures>,
    /// What this instance told others lately of what it knows.
    pub answers: RefCell<ResponseCache>,
    /// What another instance tells of what it knows.
    pub awaited: Awaited,
    /// The other instances.
    pub mates: RefCell<PeerTable>,
    /// Connections to servers.
    pub pool: Pool,
    /// Counters.
    pub meters: Meters,
    /// Callers' connections that are open.
    pub connections: Cell<usize>,
    /// How full the instance's link is.
    pub link: RefCell<Link>,
    /// How late the process is with its work.
    pub strain: Cell<Strain>,
    /// Connections turned away since the log told of them.
    pub turned: RefCell<Turned>,
    /// Requests under way.
    pub flying: Cell<usize>,
    /// Bytes of bodies in memory.
    pub bodies: Cell<usize>,
    /// The catalog or the registrations came from the store or a mate since the start.
    pub listed: Cell<bool>,
    /// What this instance has to do with the store.
    pub reading: Cell<StoreRole>,
    /// A place came free, or something else that waiting requests depend on changed.
    pub nudge: Notify,
    /// Something that the others should hear at once changed.
    pub hurry: Notify,
    /// The others should hear of this instance's work before its next news.
    pub stir: Notify,
    phase: watch::Sender<Phase>,
    waiters: RefCell<SecondaryMap<Ticket, oneshot::Sender<Result<Placement, Refusal>>>>,
}

impl Gateway {
    /// The state of a process that has heard nothing yet.
    pub fn new(
        settings: Settings,
        dialect: Dialect,
        clock: Clock,
        incarnation: Incarnation,
    ) -> Rc<Self> {
        let now = clock.now();
        let place = Location {
            domain: settings.domain,
            region: settings.region,
        };
        let mut scheduler = Scheduler::new(place, RetryBudget::new(settings.promises.resends, now));
        scheduler.regions.clone_from(&settings.regions);
        Rc::new(Self {
            me: InstanceId::of(&settings.name),
            settings: RefCell::new(Rc::new(settings)),
            dialect,
            clock,
            incarnation,
            scheduler: RefCell::new(scheduler),
            table: RefCell::default(),
            lag: RefCell::default(),
            leavers: RefCell::default(),
            answers: RefCell::default(),
            awaited: Awaited::default(),
            mates: RefCell::new(PeerTable::new(place.domain)),
            pool: Pool::default(),
            meters: Meters::default(),
            connections: Cell::new(0),
            link: RefCell::default(),
            strain: Cell::default(),
            turned: RefCell::default(),
            flying: Cell::new(0),
            bodies: Cell::new(0),
            listed: Cell::new(false),
            reading: Cell::new(StoreRole::Connected),
            nudge: Notify::new(),
            hurry: Notify::new(),
            stir: Notify::new(),
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
    pub fn is_behind(&self) -> bool {
        let now = self.now();
        self.strain.get().is_behind(now) || self.link.borrow().is_late(now)
    }

    /// Catalog in force.
    pub fn table(&self) -> Option<Rc<RouteTable>> {
        self.table.borrow().clone()
    }

    /// Version of the catalog in force; 0 when there is none.
    pub fn version(&self) -> u64 {
        self.table.borrow().as_ref().map_or(0, |t| t.version())
    }

    /// How far the process is on its way out.
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Tells of changes of the phase.
    pub fn phases(&self) -> watch::Receiver<Phase> {
        self.phase.subscribe()
    }

    /// Goes on to `phase`.
    pub fn enter(&self, phase: Phase) {
        self.phase.send_replace(phase);
        self.hurry.notify_one();
    }

    /// Tells whether callers may be sent here.
    pub fn is_ready(&self) -> bool {
        let known = self.listed.get() && self.table.borrow().is_some();
        self.phase() == Phase::Serving && known && !self.is_outdated()
    }

    /// Tells whether a newer catalog is in force by now, so that others must decide.
    ///
    /// Where nobody that lives has it, this instance's own is still the best there is.
    pub fn is_outdated(&self) -> bool {
        let now = self.now();
        let late = self.settings().promises.apply.mul_f64(OUTDATED);
        self.lag.borrow().duration(now) > late
            && self.mates.borrow().has_newer_catalog(self.version(), now)
    }

    /// Puts `catalog` in force unless an equal or newer one is; `from` is told in the log.
    pub fn accept(&self, catalog: Catalog, from: &str) {
        let (version, before) = (catalog.version, self.version());
        if version <= before {
            return;
        }
        match RouteTable::new(catalog) {
            Ok(table) => {
                let fields = json!({"version": version, "before": before, "from": from});
                journal::belief("catalog_in_force", fields);
                self.scheduler.borrow_mut().token_rate = table.limits().token_rate;
                *self.table.borrow_mut() = Some(Rc::new(table));
                self.lag.borrow_mut().catch_up(version);
                self.nudge.notify_one();
                self.hurry.notify_one();
            }
            Err((code, what)) => {
                let fields = json!({"version": version, "code": code.number(), "why": what});
                journal::belief("catalog_refused", fields);
            }
        }
    }

    /// Another instance decides by the catalog of `version`.
    pub fn hear_version(&self, version: u64) {
        let (own, now) = (self.version(), self.now());
        self.lag.borrow_mut().observe(version, own, now);
    }

    /// Takes one change of the registrations.
    pub fn register(&self, change: Change, from: &str) {
        let (told, leaving) = (describe(&change, from), change.departure());
        if self.scheduler.borrow_mut().apply_change(change, self.now()) {
            journal::belief("registration", told);
            self.nudge.notify_one();
            if let Some(leaving) = leaving {
                self.tell_leaving(leaving, Source::Store);
            }
        }
    }

    /// Takes the word of another instance that servers leave.
    pub fn hear_leaving(&self, all: &[Departure]) {
        for leaving in all {
            if self.scheduler.borrow_mut().registry.mark_draining(*leaving) {
                let server = self.server_name(leaving.server);
                let fields = json!({"server": server, "revision": leaving.revision});
                journal::belief("registration_leaving", fields);
                self.tell_leaving(*leaving, Source::Peer);
            }
        }
    }

    fn tell_leaving(&self, leaving: Departure, source: Source) {
        self.leavers
            .borrow_mut()
            .record(leaving, source, self.now());
        self.hurry.notify_one();
    }

    /// An entry was removed at `revision`, maybe since the store was away.
    pub fn doubt(&self, server: ServerId, revision: u64) {
        let registry = &mut self.scheduler.borrow_mut().registry;
        if let Some(known) = registry.get(server) {
            let fields = json!({"server": known.registration.name, "revision": revision});
            journal::belief("registration_doubted", fields);
        }
        registry.mark_unconfirmed(server, revision, self.now());
    }

    /// Takes a whole list of registrations.
    pub fn list(&self, list: RegistrationList, from: &str) {
        let fields = json!({
            "servers": list.entries.len(), "doubted": list.unconfirmed.len(), "revision": list.revision,
            "store_was_away": list.after_outage, "from": from,
        });
        journal::belief("registrations_listed", fields);
        self.scheduler
            .borrow_mut()
            .replace_registrations(list, self.now());
        self.listed.set(true);
        self.nudge.notify_one();
    }

    /// Waits until the scheduler decides on `request`.
    ///
    /// # Errors
    /// Why it is turned away, and when its caller may come back.
    pub async fn place(&self, request: &Request) -> Result<Placement, Refusal> {
        let verdict = self.scheduler.borrow_mut().submit(request, self.now());
        self.tell_work();
        let decided = match verdict {
            Admission::Decided(decided) => return decided,
            Admission::Queued(ticket) => self.wait(ticket).await,
        };
        // The other end is dropped only together with the gateway, and nobody is served then.
        decided.unwrap_or(Err(Refusal {
            code: Code::NotReady,
            cause: Cause::NoServer,
            retry_after: request.objective,
        }))
    }

    async fn wait(&self, ticket: Ticket) -> Option<Result<Placement, Refusal>> {
        let (sender, decided) = oneshot::channel();
        self.waiters.borrow_mut().insert(ticket, sender);
        let mut waiting = Waiting {
            gateway: self,
            ticket,
            decided,
        };
        (&mut waiting.decided).await.ok()
    }

    /// Lets the scheduler decide on those that wait.
    pub fn turn(&self) {
        let decided = self.scheduler.borrow_mut().dispatch_queued(self.now());
        self.tell_work();
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
    pub fn tell_work(&self) {
        if self.scheduler.borrow().loads.needs_broadcast() {
            self.stir.notify_one();
        }
    }

    /// A request is no longer under way at its server.
    pub fn release(&self, choice: &Placement, began: bool) {
        self.scheduler.borrow_mut().finish(choice, began);
        self.nudge.notify_one();
    }

    /// Idle connections that this instance may keep to `server`; none once it is gone.
    ///
    /// A server resets what is over its service's bound, and cannot tell idle connections from needed
    /// ones. Half of the bound, divided by the instances, leaves the other half for requests under way.
    pub fn idle_bound(&self, server: ServerId) -> usize {
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
            Some(bound) if bound > 0 => (bound / 2 / self.mates.borrow().max_seen().max(1)).max(1),
            _ => usize::MAX,
        }
    }

    /// Name of a server for logs.
    pub fn server_name(&self, server: ServerId) -> Box<str> {
        let scheduler = self.scheduler.borrow();
        let known = scheduler.registry.get(server);
        known.map_or_else(|| "gone".into(), |k| k.registration.name.clone())
    }
}

fn describe(change: &Change, from: &str) -> serde_json::Value {
    match &change.registration {
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
    decided: oneshot::Receiver<Result<Placement, Refusal>>,
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
            self.gateway.scheduler.borrow_mut().cancel(self.ticket);
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
pub async fn turns(gateway: Rc<Gateway>) {
    loop {
        if gateway.scheduler.borrow().queue_len() > 0 {
            tokio::select! {
                () = gateway.nudge.notified() => {}
                () = tokio::time::sleep(LOOK) => {}
            }
        } else {
            gateway.nudge.notified().await;
        }
        gateway.turn();
    }
}

/// Time between two looks at how late the process is.
const TICK: Duration = Duration::from_millis(100);

/// Measures how late the process is for as long as it lives.
pub async fn ticks(gateway: Rc<Gateway>) {
    loop {
        let now = gateway.now();
        let mut strain = gateway.strain.get();
        strain.tick(now, now + TICK);
        gateway.strain.set(strain);
        tell_turned(&gateway, strain.late(now));
        tokio::time::sleep(TICK).await;
    }
}

/// One line for all connections that were turned away since the last one: a flood has thousands a second.
fn tell_turned(gateway: &Gateway, late: Duration) {
    let turned = gateway.turned.take();
    if turned.unread == 0 && turned.told.is_empty() {
        return;
    }
    let fields = json!({
        "code": Code::InstanceFull.number(), "late_ms": late.as_millis() as u64, "unread": turned.unread,
        "connections": gateway.connections.get(), "requests": turned.told,
    });
    journal::belief("turned_away", fields);
}

/// Drops what no longer counts for as long as the process lives.
pub async fn sweeps(gateway: Rc<Gateway>) {
    loop {
        tokio::time::sleep(SWEEP).await;
        let now = gateway.now();
        let gone = gateway.scheduler.borrow_mut().sweep(now);
        for server in gone {
            let fields = json!({"server": format!("{:x}", server.0), "why": "not back in time"});
            journal::belief("registration_lapsed", fields);
        }
        let scheduler = gateway.scheduler.borrow();
        gateway
            .pool
            .sweep(|id| scheduler.registry.get(id).is_some(), now);
    }
}
