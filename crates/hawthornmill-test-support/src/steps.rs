//! Drives the decisions of several instances in a fixed order.
//!
//! This is no simulator: there are no sockets, no threads and no random delays. One step is one
//! millisecond; messages sent in a step arrive in the next, in the order in which they were sent,
//! unless the pair of instances is cut. A dispatched request holds its slot for as many milliseconds
//! as it costs. The same calls therefore give the same figures on every machine.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use hawthornmill::blackboard::{Blackboard, Dispatch, RequestKey, Tuning};
use hawthornmill::codes::Code;
use hawthornmill::ident::{AccountId, Incarnation, InstanceId, ServerId, ServiceId};
use hawthornmill::pools::{self, entry, owner, tick};
use hawthornmill::wire::message::{Contact, Message, ProbeAck};

use crate::fleet::FleetText;

const TICK: u64 = 20;
const HEARTBEAT: u64 = 100;
const LOAD: u64 = 250;

/// A request that holds a slot.
#[derive(Debug, Clone)]
struct Run {
    entry: usize,
    account: AccountId,
    dispatch: Dispatch,
    cost: u64,
    end: u64,
}

/// What a call asks for.
#[derive(Debug, Clone, Copy)]
struct Asked {
    account: AccountId,
    cost: u64,
    arrived: u64,
}

/// How a call was answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ended {
    /// Account that made it.
    pub account: AccountId,
    /// Milliseconds that it waited.
    pub waited: u64,
    /// Refusal, if it was not run.
    pub code: Option<Code>,
}

/// Several instances and the servers behind them.
#[derive(Debug)]
pub struct Steps {
    /// The instances' boards.
    pub boards: Vec<Blackboard>,
    /// Milliseconds since the start.
    pub now: u64,
    /// Instances that are stopped: they neither tick nor receive, and their requests go on.
    pub frozen: BTreeSet<usize>,
    /// Instances that are dead.
    pub dead: BTreeSet<usize>,
    /// Pairs of instances, from and to, between which nothing passes; streams are held up.
    pub cut: BTreeSet<(usize, usize)>,
    /// Cost that servers ran, by account.
    pub received: BTreeMap<AccountId, f64>,
    /// Slot-milliseconds that servers ran.
    pub busy: u64,
    /// Most requests that each server ran at once.
    pub peak: BTreeMap<ServerId, u16>,
    /// Calls that were answered.
    pub ended: Vec<Ended>,
    /// Messages sent, by kind.
    pub sent: BTreeMap<&'static str, u64>,
    /// Bytes of their payloads.
    pub bytes: u64,
    start: Instant,
    wire: VecDeque<(usize, InstanceId, Message)>,
    runs: Vec<Run>,
    asked: BTreeMap<(usize, RequestKey), Asked>,
    history: VecDeque<BTreeMap<ServerId, u16>>,
}

/// A contact for an instance called `name`.
pub fn contact(name: &str, domain: &str, region: &str) -> Contact {
    Contact {
        name: name.into(),
        domain: domain.into(),
        region: region.into(),
        http: "127.0.0.1:1".into(),
        peer: "127.0.0.1:2".into(),
    }
}

impl Steps {
    /// Instances `i0`, `i1`, … in the given failure domains and regions, all with `fleet` in force.
    pub fn new(fleet: &FleetText, places: &[(&str, &str)], tuning: &Tuning) -> Self {
        let start = Instant::now();
        let contacts: Vec<Contact> = places
            .iter()
            .enumerate()
            .map(|(n, (domain, region))| contact(&format!("i{n}"), domain, region))
            .collect();
        let mut steps = Self {
            boards: Vec::new(),
            now: 0,
            frozen: BTreeSet::new(),
            dead: BTreeSet::new(),
            cut: BTreeSet::new(),
            received: BTreeMap::new(),
            busy: 0,
            peak: BTreeMap::new(),
            ended: Vec::new(),
            sent: BTreeMap::new(),
            bytes: 0,
            start,
            wire: VecDeque::new(),
            runs: Vec::new(),
            asked: BTreeMap::new(),
            history: VecDeque::new(),
        };
        for (number, own) in contacts.iter().enumerate() {
            // Grants carry half of an incarnation, so no two instances may start with the same.
            let run = Incarnation(1 + 1000 * number as u64);
            let mut board = Blackboard::new(own.clone(), run, tuning.clone(), start);
            for other in &contacts {
                board.members.upsert_contact(other.clone(), start);
            }
            let (config, manifest, values) = fleet.accept(1);
            board.install(config, manifest, values);
            steps.boards.push(board);
        }
        steps
    }

    /// The present instant of the decisions.
    pub fn instant(&self) -> Instant {
        self.start + Duration::from_millis(self.now)
    }

    /// Index of the instance with key `id`.
    ///
    /// # Panics
    /// When there is none.
    pub fn index(&self, id: InstanceId) -> usize {
        self.boards
            .iter()
            .position(|b| b.me() == id)
            .expect("every instance has a board")
    }

    /// Cuts all links between two groups of instances.
    pub fn cut_between(&mut self, left: &[usize], right: &[usize]) {
        for a in left {
            for b in right {
                self.cut.insert((*a, *b));
                self.cut.insert((*b, *a));
            }
        }
    }

    /// A call arrives at instance `entry`.
    ///
    /// # Errors
    /// The code with which it was refused at once.
    pub fn arrive(
        &mut self,
        entry: usize,
        account: &str,
        service: &str,
        cost: u64,
        deadline: u64,
    ) -> Result<(), Code> {
        let now = self.instant();
        let account = AccountId::of(account);
        let arrival = entry::Arrival {
            service: ServiceId::of(service),
            account,
            bytes: 100,
            deadline: now + Duration::from_millis(deadline),
        };
        tick::detect_pause(&mut self.boards[entry], now);
        let key = entry::enqueue(&mut self.boards[entry], arrival, now)?;
        let asked = Asked {
            account,
            cost,
            arrived: self.now,
        };
        self.asked.insert((entry, key), asked);
        Ok(())
    }

    /// Requests of `account` that wait at instance `entry`.
    pub fn waiting(&self, entry: usize, account: &str, service: &str) -> usize {
        let key = (ServiceId::of(service), AccountId::of(account));
        self.boards[entry].queues.get(&key).map_or(0, VecDeque::len)
    }

    /// Cost that servers ran for `account`.
    pub fn got(&self, account: &str) -> f64 {
        let id = AccountId::of(account);
        self.received.get(&id).copied().unwrap_or_default()
    }

    /// Replaces instance `index` by a new run without state.
    pub fn restart(&mut self, index: usize, fleet: &FleetText, revision: u64) {
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

    /// Kills instance `index`: what it ran for its callers is cut.
    pub fn kill(&mut self, index: usize) {
        self.dead.insert(index);
        self.runs.retain(|r| r.entry != index);
        self.asked.retain(|(entry, _), _| *entry != index);
        let gone = self.boards[index].me();
        for (other, board) in self.boards.iter_mut().enumerate() {
            if other != index {
                board.broken_peers.insert(gone);
            }
        }
    }

    fn runs_now(&self, index: usize) -> bool {
        !self.dead.contains(&index) && !self.frozen.contains(&index)
    }

    /// Lets one millisecond pass.
    pub fn step(&mut self) {
        self.now += 1;
        self.deliver();
        self.finish_runs();
        for index in 0..self.boards.len() {
            if self.runs_now(index) {
                self.turn(index);
            }
        }
        self.busy += self.runs.len() as u64;
        self.count_load();
    }

    /// Lets `millis` pass, calling `each` before every one of them.
    pub fn run(&mut self, millis: u64, mut each: impl FnMut(&mut Self)) {
        for _ in 0..millis {
            each(self);
            self.step();
        }
    }

    fn deliver(&mut self) {
        let now = self.instant();
        for _ in 0..self.wire.len() {
            let Some((from, to, message)) = self.wire.pop_front() else {
                return;
            };
            let target = self.index(to);
            if self.dead.contains(&target) || self.dead.contains(&from) {
                continue;
            }
            let cut = self.cut.contains(&(from, target));
            if cut && by_datagram(&message) {
                continue;
            }
            // A connection keeps what it can't deliver and brings it late.
            if cut || self.frozen.contains(&target) {
                self.wire.push_back((from, to, message));
                continue;
            }
            self.take(from, target, message, now);
        }
    }

    fn take(&mut self, from: usize, target: usize, message: Message, now: Instant) {
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
                self.wire
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
        let (due, rest): (Vec<Run>, Vec<Run>) = std::mem::take(&mut self.runs)
            .into_iter()
            .partition(|r| r.end <= self.now && !self.frozen.contains(&r.entry));
        self.runs = rest;
        let now = self.instant();
        for run in due {
            *self.received.entry(run.account).or_default() += run.cost as f64;
            let (pool, grant) = (run.dispatch.pool, run.dispatch.grant);
            let board = &mut self.boards[run.entry];
            tick::detect_pause(board, now);
            entry::finish(board, pool, grant, run.cost as f64, false, now);
        }
    }

    fn turn(&mut self, index: usize) {
        let now = self.instant();
        if self.now.is_multiple_of(HEARTBEAT) {
            self.beat(index);
        }
        let board = &mut self.boards[index];
        tick::detect_pause(board, now);
        if self.now.is_multiple_of(TICK) {
            tick::tick(board, now);
        }
        let every = board.tuning.report.as_millis() as u64;
        if self.now % every == index as u64 % every {
            let messages = tick::build_reports(board, now);
            board.outbox.extend(messages);
        }
        pools::run_due(board, now);
        self.hand_out(index);
        let out = std::mem::take(&mut self.boards[index].outbox);
        for (to, message) in out {
            *self.sent.entry(kind(&message)).or_default() += 1;
            self.bytes += hawthornmill::wire::frame::payload_len(&message) as u64;
            self.wire.push_back((index, to, message));
        }
    }

    fn hand_out(&mut self, index: usize) {
        for dispatch in std::mem::take(&mut self.boards[index].dispatches) {
            let Some(asked) = self.asked.remove(&(index, dispatch.request)) else {
                continue;
            };
            self.ended.push(Ended {
                account: asked.account,
                waited: self.now - asked.arrived,
                code: None,
            });
            self.runs.push(Run {
                entry: index,
                account: asked.account,
                cost: asked.cost,
                end: self.now + asked.cost,
                dispatch,
            });
        }
        for (request, code) in std::mem::take(&mut self.boards[index].rejections) {
            if let Some(asked) = self.asked.remove(&(index, request)) {
                self.ended.push(Ended {
                    account: asked.account,
                    waited: self.now - asked.arrived,
                    code: Some(code),
                });
            }
        }
    }

    /// Every other instance that can hear it takes a sign of life from `index`.
    fn beat(&mut self, index: usize) {
        let now = self.instant();
        let own = &self.boards[index];
        let interval = Duration::from_millis(HEARTBEAT);
        let sign = own.members.own_liveness(own.config.revision, interval, now);
        for other in 0..self.boards.len() {
            if other != index && self.runs_now(other) && !self.cut.contains(&(index, other)) {
                let board = &mut self.boards[other];
                board.members.record_liveness(sign, now);
                if board.broken_peers.contains(&sign.from) {
                    entry::on_reconnected(board, sign.from);
                }
            }
        }
    }

    /// Servers report how much they run, one reading late.
    fn count_load(&mut self) {
        let mut running: BTreeMap<ServerId, u16> = BTreeMap::new();
        for run in &self.runs {
            *running.entry(run.dispatch.server).or_default() += 1;
        }
        for (server, count) in &running {
            let peak = self.peak.entry(*server).or_default();
            *peak = (*peak).max(*count);
        }
        if !self.now.is_multiple_of(LOAD) {
            return;
        }
        self.history.push_back(running);
        if self.history.len() < 2 {
            return;
        }
        let Some(late) = self.history.pop_front() else {
            return;
        };
        for index in 0..self.boards.len() {
            if !self.runs_now(index) {
                continue;
            }
            let board = &mut self.boards[index];
            let pools = board.config.pools.clone();
            for (id, pool) in &pools {
                for server in &pool.servers {
                    let count = late.get(server).copied().unwrap_or(0);
                    owner::on_load_reading(board, *id, *server, count);
                }
            }
        }
    }
}

fn by_datagram(message: &Message) -> bool {
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
