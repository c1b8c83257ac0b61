//! Runs the scheduling code of several instances in a deterministic order and in simulated time.
//!
//! There are no sockets, no threads and no random delays. A step is one millisecond; messages sent
//! in a step arrive in the next one, in the order in which they were sent, unless the link between
//! the two instances is broken. A dispatched request occupies its slot for as many milliseconds as
//! it costs. Therefore the same calls give the same results on every machine.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use hawthornmill::blackboard::{Blackboard, Dispatch, RequestKey, Tuning};
use hawthornmill::codes::Code;
use hawthornmill::ident::{AccountId, Incarnation, InstanceId, ServerId, ServiceId};
use hawthornmill::pools::{self, entry, owner, tick};
use hawthornmill::wire::message::{Contact, Message, ProbeAck};

use crate::fleet::FleetBuilder;

const TICK_MS: u64 = 20;
const HEARTBEAT_MS: u64 = 100;
const LOAD_REPORT_MS: u64 = 250;

/// A running request, which occupies a slot.
#[derive(Debug, Clone)]
struct Run {
    entry: usize,
    account: AccountId,
    dispatch: Dispatch,
    cost_ms: u64,
    end_ms: u64,
}

/// A call that waits for its dispatch.
#[derive(Debug, Clone, Copy)]
struct PendingCall {
    account: AccountId,
    cost_ms: u64,
    arrival_ms: u64,
}

/// Result of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallOutcome {
    /// Account that made it.
    pub account: AccountId,
    /// Time in the queue.
    pub waited_ms: u64,
    /// Error code, if the call was rejected.
    pub code: Option<Code>,
}

/// Several instances and their servers.
#[derive(Debug)]
pub struct Simulation {
    /// State of each instance.
    pub boards: Vec<Blackboard>,
    /// Simulated time since the start.
    pub now_ms: u64,
    /// Paused instances: they neither tick nor receive messages; their requests keep running.
    pub paused: BTreeSet<usize>,
    /// Killed instances.
    pub dead: BTreeSet<usize>,
    /// Pairs of sender and receiver whose messages don't arrive: datagrams are lost, messages on
    /// connections are delayed until the link is restored.
    pub broken_links: BTreeSet<(usize, usize)>,
    /// Cost of the completed requests of each account.
    pub cost_by_account: BTreeMap<AccountId, f64>,
    /// Sum of the time that slots were occupied.
    pub busy_ms: u64,
    /// Maximum number of concurrent requests of each server.
    pub peak_running: BTreeMap<ServerId, u16>,
    /// Results of the calls that were dispatched or rejected.
    pub outcomes: Vec<CallOutcome>,
    /// Number of messages sent, by kind.
    pub messages: BTreeMap<&'static str, u64>,
    /// Total bytes of their payloads.
    pub message_bytes: u64,
    start: Instant,
    in_transit: VecDeque<(usize, InstanceId, Message)>,
    running: Vec<Run>,
    pending: BTreeMap<(usize, RequestKey), PendingCall>,
    load_reports: VecDeque<BTreeMap<ServerId, u16>>,
}

/// Returns the contact of an instance.
pub fn contact(name: &str, domain: &str, region: &str) -> Contact {
    Contact {
        name: name.into(),
        domain: domain.into(),
        region: region.into(),
        http: "127.0.0.1:1".into(),
        peer: "127.0.0.1:2".into(),
    }
}

impl Simulation {
    /// Creates instances `i0`, `i1`, … at `places`, all with `fleet` in force.
    ///
    /// A place is a failure domain and its region.
    pub fn new(fleet: &FleetBuilder, places: &[(&str, &str)], tuning: &Tuning) -> Self {
        let start = Instant::now();
        let contacts: Vec<Contact> = places
            .iter()
            .enumerate()
            .map(|(n, (domain, region))| contact(&format!("i{n}"), domain, region))
            .collect();
        let mut sim = Self {
            boards: Vec::new(),
            now_ms: 0,
            paused: BTreeSet::new(),
            dead: BTreeSet::new(),
            broken_links: BTreeSet::new(),
            cost_by_account: BTreeMap::new(),
            busy_ms: 0,
            peak_running: BTreeMap::new(),
            outcomes: Vec::new(),
            messages: BTreeMap::new(),
            message_bytes: 0,
            start,
            in_transit: VecDeque::new(),
            running: Vec::new(),
            pending: BTreeMap::new(),
            load_reports: VecDeque::new(),
        };
        for (number, own) in contacts.iter().enumerate() {
            // Grants carry only half of the incarnation, so it must differ between instances.
            let run = Incarnation(1 + 1000 * number as u64);
            let mut board = Blackboard::new(own.clone(), run, tuning.clone(), start);
            for other in &contacts {
                board.members.upsert_contact(other.clone(), start);
            }
            let (config, manifest, values) = fleet.accept(1);
            board.install(config, manifest, values);
            sim.boards.push(board);
        }
        sim
    }

    /// Returns the simulated time as an instant.
    pub fn instant(&self) -> Instant {
        self.start + Duration::from_millis(self.now_ms)
    }

    /// Returns the index of instance `id`.
    ///
    /// # Panics
    /// If there is none.
    pub fn instance_index(&self, id: InstanceId) -> usize {
        self.boards
            .iter()
            .position(|b| b.me() == id)
            .expect("every instance has a board")
    }

    /// Breaks all links between two groups of instances.
    pub fn partition(&mut self, left: &[usize], right: &[usize]) {
        for a in left {
            for b in right {
                self.broken_links.insert((*a, *b));
                self.broken_links.insert((*b, *a));
            }
        }
    }

    /// Submits a call to instance `entry`.
    ///
    /// # Errors
    /// The code with which the call was rejected immediately.
    pub fn submit_call(
        &mut self,
        entry: usize,
        account: &str,
        service: &str,
        cost_ms: u64,
        deadline_ms: u64,
    ) -> Result<(), Code> {
        let now = self.instant();
        let account = AccountId::of(account);
        let arrival = entry::Arrival {
            service: ServiceId::of(service),
            account,
            bytes: 100,
            deadline: now + Duration::from_millis(deadline_ms),
        };
        tick::detect_pause(&mut self.boards[entry], now);
        let key = entry::enqueue(&mut self.boards[entry], arrival, now)?;
        let call = PendingCall {
            account,
            cost_ms,
            arrival_ms: self.now_ms,
        };
        self.pending.insert((entry, key), call);
        Ok(())
    }

    /// Returns the number of requests of `account` that wait at instance `entry`.
    pub fn queue_length(&self, entry: usize, account: &str, service: &str) -> usize {
        let key = (ServiceId::of(service), AccountId::of(account));
        self.boards[entry].queues.get(&key).map_or(0, VecDeque::len)
    }

    /// Returns the cost of the completed requests of `account`.
    pub fn received_cost(&self, account: &str) -> f64 {
        let id = AccountId::of(account);
        self.cost_by_account.get(&id).copied().unwrap_or_default()
    }

    /// Restarts instance `index` without state, as a new incarnation.
    pub fn restart(&mut self, index: usize, fleet: &FleetBuilder, revision: u64) {
        let now = self.instant();
        let old = &self.boards[index];
        let own = old.members.own().contact.clone();
        let contacts: Vec<Contact> = old
            .members
            .map
            .values()
            .map(|m| m.contact.clone())
            .collect();
        let run = Incarnation(old.incarnation.0 + 1);
        let mut board = Blackboard::new(own, run, old.tuning.clone(), now);
        for other in contacts {
            board.members.upsert_contact(other, now);
        }
        let (config, manifest, values) = fleet.accept(revision);
        board.install(config, manifest, values);
        self.boards[index] = board;
        self.dead.remove(&index);
    }

    /// Kills instance `index` and drops its waiting and running requests.
    pub fn kill(&mut self, index: usize) {
        self.dead.insert(index);
        self.running.retain(|r| r.entry != index);
        self.pending.retain(|(entry, _), _| *entry != index);
        let killed = self.boards[index].me();
        for (other, board) in self.boards.iter_mut().enumerate() {
            if other != index {
                board.broken_peers.insert(killed);
            }
        }
    }

    fn is_running(&self, index: usize) -> bool {
        !self.dead.contains(&index) && !self.paused.contains(&index)
    }

    /// Advances the simulated time by one millisecond.
    pub fn step(&mut self) {
        self.now_ms += 1;
        self.deliver_messages();
        self.finish_runs();
        for index in 0..self.boards.len() {
            if self.is_running(index) {
                self.run_instance(index);
            }
        }
        self.busy_ms += self.running.len() as u64;
        self.report_load();
    }

    /// Runs for `millis`, calling `before_step` before each step.
    pub fn run(&mut self, millis: u64, mut before_step: impl FnMut(&mut Self)) {
        for _ in 0..millis {
            before_step(self);
            self.step();
        }
    }

    fn deliver_messages(&mut self) {
        let now = self.instant();
        for _ in 0..self.in_transit.len() {
            let Some((from, to, message)) = self.in_transit.pop_front() else {
                return;
            };
            let target = self.instance_index(to);
            if self.dead.contains(&target) || self.dead.contains(&from) {
                continue;
            }
            let is_broken = self.broken_links.contains(&(from, target));
            if is_broken && is_datagram(&message) {
                continue;
            }
            // A connection retransmits, so its messages are late but not lost.
            if is_broken || self.paused.contains(&target) {
                self.in_transit.push_back((from, to, message));
                continue;
            }
            self.receive(from, target, message, now);
        }
    }

    fn receive(&mut self, from: usize, target: usize, message: Message, now: Instant) {
        let (sender, run) = (self.boards[from].me(), self.boards[from].incarnation);
        let board = &mut self.boards[target];
        tick::detect_pause(board, now);
        match message {
            Message::Reports(reports) => {
                for report in reports {
                    let (table, members, ledger) =
                        (&mut board.reports, &mut board.members, &mut board.ledger);
                    let interval = board.tuning.report;
                    table.receive(sender, report, members, ledger, now, interval);
                }
            }
            Message::Probe(number) => {
                let ack = ProbeAck {
                    number,
                    revision: board.config.revision,
                    serving: true,
                };
                self.in_transit
                    .push_back((target, sender, Message::ProbeAck(ack)));
            }
            Message::ProbeAck(ack) => tick::on_probe_ack(board, ack, now),
            message => {
                if board.broken_peers.contains(&sender) {
                    entry::on_reconnected(board, sender);
                }
                pools::handle_message(board, sender, run, message, now);
            }
        }
    }

    fn finish_runs(&mut self) {
        let (due, rest): (Vec<Run>, Vec<Run>) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|r| r.end_ms <= self.now_ms && !self.paused.contains(&r.entry));
        self.running = rest;
        let now = self.instant();
        for run in due {
            *self.cost_by_account.entry(run.account).or_default() += run.cost_ms as f64;
            let (pool, grant) = (run.dispatch.pool, run.dispatch.grant);
            let board = &mut self.boards[run.entry];
            tick::detect_pause(board, now);
            entry::finish(board, pool, grant, run.cost_ms as f64, false, now);
        }
    }

    fn run_instance(&mut self, index: usize) {
        let now = self.instant();
        if self.now_ms.is_multiple_of(HEARTBEAT_MS) {
            self.send_heartbeat(index);
        }
        let board = &mut self.boards[index];
        tick::detect_pause(board, now);
        if self.now_ms.is_multiple_of(TICK_MS) {
            tick::tick(board, now);
        }
        let interval = board.tuning.report.as_millis() as u64;
        if self.now_ms % interval == index as u64 % interval {
            let messages = tick::build_reports(board, now);
            board.outbox.extend(messages);
        }
        pools::run_due(board, now);
        self.collect_outcomes(index);
        let outbox = std::mem::take(&mut self.boards[index].outbox);
        for (to, message) in outbox {
            *self.messages.entry(kind(&message)).or_default() += 1;
            self.message_bytes += hawthornmill::wire::frame::payload_len(&message) as u64;
            self.in_transit.push_back((index, to, message));
        }
    }

    fn collect_outcomes(&mut self, index: usize) {
        for dispatch in std::mem::take(&mut self.boards[index].dispatches) {
            let Some(call) = self.pending.remove(&(index, dispatch.request)) else {
                continue;
            };
            self.outcomes.push(CallOutcome {
                account: call.account,
                waited_ms: self.now_ms - call.arrival_ms,
                code: None,
            });
            self.running.push(Run {
                entry: index,
                account: call.account,
                cost_ms: call.cost_ms,
                end_ms: self.now_ms + call.cost_ms,
                dispatch,
            });
        }
        for (request, code) in std::mem::take(&mut self.boards[index].rejections) {
            if let Some(call) = self.pending.remove(&(index, request)) {
                self.outcomes.push(CallOutcome {
                    account: call.account,
                    waited_ms: self.now_ms - call.arrival_ms,
                    code: Some(code),
                });
            }
        }
    }

    /// Delivers a heartbeat of instance `index` to all other instances that it can reach.
    fn send_heartbeat(&mut self, index: usize) {
        let now = self.instant();
        let own = &self.boards[index];
        let interval = Duration::from_millis(HEARTBEAT_MS);
        let heartbeat = own.members.own_liveness(own.config.revision, interval, now);
        for other in 0..self.boards.len() {
            if other != index
                && self.is_running(other)
                && !self.broken_links.contains(&(index, other))
            {
                let board = &mut self.boards[other];
                board.members.record_liveness(heartbeat, now);
                if board.broken_peers.contains(&heartbeat.from) {
                    entry::on_reconnected(board, heartbeat.from);
                }
            }
        }
    }

    /// Passes the servers' number of running requests to the owners, one report interval late.
    fn report_load(&mut self) {
        let mut load: BTreeMap<ServerId, u16> = BTreeMap::new();
        for run in &self.running {
            *load.entry(run.dispatch.server).or_default() += 1;
        }
        for (server, count) in &load {
            let peak = self.peak_running.entry(*server).or_default();
            *peak = (*peak).max(*count);
        }
        if !self.now_ms.is_multiple_of(LOAD_REPORT_MS) {
            return;
        }
        self.load_reports.push_back(load);
        if self.load_reports.len() < 2 {
            return;
        }
        let Some(previous) = self.load_reports.pop_front() else {
            return;
        };
        for index in 0..self.boards.len() {
            if !self.is_running(index) {
                continue;
            }
            let board = &mut self.boards[index];
            let pools = board.config.pools.clone();
            for (id, pool) in &pools {
                for server in &pool.servers {
                    let count = previous.get(server).copied().unwrap_or(0);
                    owner::on_load_reading(board, *id, *server, count);
                }
            }
        }
    }
}

fn is_datagram(message: &Message) -> bool {
    matches!(
        message,
        Message::Reports(_) | Message::Probe(_) | Message::ProbeAck(_)
    )
}

fn kind(message: &Message) -> &'static str {
    match message {
        Message::Demand(_) => "demand",
        Message::Grants(_) => "grants",
        Message::EntryState(_) => "holding",
        Message::Sync { .. } => "sync",
        Message::Reports(_) => "reports",
        Message::Handover(_) => "handover",
        _ => "other",
    }
}
