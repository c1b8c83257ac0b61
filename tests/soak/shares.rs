//! Accounts that together ask for more than the servers can do, and the promise that each gets its part.
//!
//! Each account comes in by gateways of its own. Meanwhile the store answers late, one gateway's timers slip, and all
//! gateways are restarted in series, each slow to start.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::BytesMut;
use hawthornmill_gateway::http::head::RequestHead;
use nix::sys::signal::Signal;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::callers::{self, Outcome};
use crate::fleet::{Fleet, Gateway, config, wait_until};
use crate::plan::Size;
use crate::promises::Breach;
use crate::scripted_server::Behavior;
use crate::store::Mode;

/// Time that a request takes at a server.
const SERVICE_TIME: Duration = Duration::from_millis(200);
/// Requests that a server runs at once.
const SLOTS: usize = 4;
/// Prompt tokens of a request.
const PROMPT_TOKENS: u32 = 1_000;
/// Most tokens that a request generates.
const OUTPUT_TOKENS: u32 = 50;
/// Cost of a request: its prompt, and twice what it generates.
const COST: f64 = PROMPT_TOKENS as f64 + 2.0 * OUTPUT_TOKENS as f64;
/// Part of what the servers can do that is promised.
const PROMISED: f64 = 0.7;
/// Callers of a busy account for each slot of the servers.
const CALLERS_PER_SLOT: f64 = 1.2;
/// Length of the windows in which accounts are compared.
const WINDOW: u64 = 6;
/// Seconds after the start, or after a kill, that are not compared.
const WARM_UP: u64 = 2;
/// Requests that an account may lack besides.
const ALLOWED: f64 = 3.0;
/// Objective of the route; a request that takes longer waits past it.
const OBJECTIVE: Duration = Duration::from_secs(1);
/// Attempts of a request.
const ATTEMPTS: u32 = 2;
/// Pause before the second attempt, in milliseconds.
const RETRY_MS: std::ops::Range<u64> = 100..300;
/// Callers from which an account is a busy one.
const BUSY_CALLERS: usize = 8;
/// Longest pause of a modest account's caller between two requests, in milliseconds.
const MODEST_REST_MS: u64 = 400;
/// The same for a busy account.
const BUSY_REST_MS: u64 = 10;
/// A starved account sends one of this many requests.
const STARVED_SHARE: u64 = 5;
/// How late the store answers.
const STORE_DELAY: Duration = Duration::from_millis(600);

/// An account and the gateways by which its callers come in.
#[derive(Debug, Clone)]
struct Account {
    name: Box<str>,
    entries: Vec<usize>,
    callers: usize,
}

/// One attempt of a request.
#[derive(Debug, Clone)]
pub struct Call {
    account: usize,
    /// When the request's first attempt was sent.
    sent: Instant,
    is_first: bool,
    /// When a server began it.
    begun: Option<Instant>,
    /// The request was refused or failed at each attempt, or waited past its objective.
    waited: bool,
}

/// What a run left.
#[derive(Debug)]
pub struct Shares {
    names: Vec<Box<str>>,
    calls: Vec<Call>,
    start: Instant,
    seconds: u64,
}

/// What a share run does wrong on purpose.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unfair {
    /// Nothing.
    No,
    /// Callers of the first account give up most requests without sending them.
    Starved,
}

#[derive(Debug)]
struct Shared {
    fronts: Vec<SocketAddr>,
    calls: Mutex<Vec<(Box<str>, Call)>>,
}

impl Shared {
    fn record(&self, id: Box<str>, call: Call) {
        let mut calls = self.calls.lock().expect("no holder panics");
        calls.push((id, call));
    }
}

/// Plays one run of `seed` and returns what was seen.
pub async fn play(seed: u64, size: Size, unfair: Unfair) -> (Shares, Fleet) {
    let mut rng = StdRng::seed_from_u64(seed);
    let accounts = draw_accounts(&mut rng, size);
    let mut fleet = start_fleet(size, &accounts).await;
    let shared = Arc::new(Shared {
        fronts: fleet.gateways.iter().map(Gateway::front).collect(),
        calls: Mutex::default(),
    });
    let start = Instant::now();
    let end = start + size.time;
    let mut tasks = tokio::task::JoinSet::new();
    for (number, account) in accounts.iter().enumerate() {
        for caller in 0..account.callers {
            let name = format!("{seed:x}-{number}-{caller}");
            let seed = name
                .bytes()
                .fold(0_u64, |sum, b| sum.wrapping_mul(31).wrapping_add(b.into()));
            let caller = Caller {
                shared: Arc::clone(&shared),
                account: account.clone(),
                number,
                name,
                starved: unfair == Unfair::Starved && number == 0,
                rng: StdRng::seed_from_u64(seed),
                link: None,
            };
            tasks.spawn(caller.run(end));
        }
    }
    disturb(&mut rng, &mut fleet, start, size).await;
    while tasks.join_next().await.is_some() {}
    let mut calls = std::mem::take(&mut *shared.calls.lock().expect("no holder panics"));
    mark_begun(&fleet, &mut calls);
    let shares = Shares {
        names: accounts.into_iter().map(|a| a.name).collect(),
        calls: calls.into_iter().map(|(_, call)| call).collect(),
        start,
        seconds: size.time.as_secs(),
    };
    (shares, fleet)
}

/// Draws two modest accounts that come in everywhere, and busy ones that come in by one, two or all gateways.
fn draw_accounts(rng: &mut StdRng, size: Size) -> Vec<Account> {
    let slots = size.servers * SLOTS;
    let busy = (slots as f64 * CALLERS_PER_SLOT) as usize;
    let all: Vec<usize> = (0..size.routers).collect();
    let first = rng.random_range(0..size.routers);
    let pair = vec![first, (first + 1) % size.routers];
    let other = (first + 2) % size.routers;
    let account = |name: &str, entries: &[usize], callers| Account {
        name: name.into(),
        entries: entries.to_vec(),
        callers,
    };
    let busy_callers = |rng: &mut StdRng| busy + rng.random_range(0..busy);
    vec![
        account(
            "one",
            &[other, (other + 1) % size.routers],
            busy_callers(rng),
        ),
        account("two", &pair, busy_callers(rng)),
        account("all", &all, busy_callers(rng)),
        account("modest", &all, 1 + slots / 16),
        account("small", &pair, 1 + slots / 16),
    ]
}

async fn start_fleet(size: Size, accounts: &[Account]) -> Fleet {
    let mut fleet = Fleet::prepare(size.routers, size.servers).await;
    for server in fleet.servers.clone() {
        server.set_default(|_head: &RequestHead| {
            Behavior::RespondAfterMs(SERVICE_TIME.as_millis() as u64)
        });
        fleet.write_registration(&server, &json!({"slots": SLOTS}));
    }
    let text = shares_config(size, accounts).to_string();
    fleet.store.put("op/config", text.as_bytes());
    for gateway in &mut fleet.gateways {
        gateway.start();
    }
    for gateway in &fleet.gateways {
        wait_until("the gateway is ready", || gateway.is_ready()).await;
    }
    fleet
}

fn shares_config(size: Size, accounts: &[Account]) -> Value {
    let mut text = config(1);
    let per_second = (size.servers * SLOTS) as f64 / SERVICE_TIME.as_secs_f64();
    text["limits"]["tokensPerS"] = json!(per_second * COST * PROMISED);
    text["services"][0]["engine"] = json!({"slots": SLOTS, "kvCapacity": 1_000_000});
    let tenants = accounts
        .iter()
        .map(|a| json!({"name": a.name, "apiKeys": [a.name]}));
    text["tenants"] = tenants.collect();
    text
}

/// Restarts every gateway in turn, each after a pause, and lets the timers of one slip.
async fn disturb(rng: &mut StdRng, fleet: &mut Fleet, start: Instant, size: Size) {
    let end = start + size.time;
    fleet.store.set_mode(Mode::Late(STORE_DELAY));
    let slipping = rng.random_range(0..size.routers);
    let pause_between = size.time.mul_f64(0.8) / size.routers as u32;
    let mut next_restart = start + pause_between / 2;
    let mut down: Option<(usize, Instant)> = None;
    let (mut number, mut stopping) = (0, None);
    while Instant::now() < end {
        let now = Instant::now();
        if number < size.routers && stopping.is_none() && down.is_none() && now >= next_restart {
            fleet.gateways[number].signal(Signal::SIGTERM);
            stopping = Some(number);
        }
        if let Some(router) = stopping
            && fleet.gateways[router].exit_code().is_some()
        {
            let slow_start = Duration::from_millis(rng.random_range(200..900));
            down = Some((router, now + slow_start));
            stopping = None;
        }
        if let Some((router, at)) = down
            && now >= at
        {
            fleet.gateways[router].kill();
            fleet.gateways[router].start();
            down = None;
            number += 1;
            next_restart = now + pause_between;
        }
        let runs = stopping != Some(slipping) && down.is_none_or(|(router, _)| router != slipping);
        if runs {
            slip(rng, fleet, slipping).await;
        }
        tokio::time::sleep(Duration::from_millis(rng.random_range(50..200))).await;
    }
    fleet.store.set_mode(Mode::Healthy);
}

/// Stops the process of a gateway for a moment, so that its timers run late.
async fn slip(rng: &mut StdRng, fleet: &Fleet, router: usize) {
    fleet.gateways[router].signal(Signal::SIGSTOP);
    tokio::time::sleep(Duration::from_millis(rng.random_range(5..60))).await;
    fleet.gateways[router].signal(Signal::SIGCONT);
}

/// A connection and the gateway at its other end.
type Link = (usize, TcpStream, BytesMut);

/// One caller of an account, which sends one request after the other.
struct Caller {
    shared: Arc<Shared>,
    account: Account,
    /// Number of the account.
    number: usize,
    name: String,
    starved: bool,
    rng: StdRng,
    link: Option<Link>,
}

impl Caller {
    async fn run(mut self, end: Instant) {
        let most_rest = if self.account.callers < BUSY_CALLERS {
            MODEST_REST_MS
        } else {
            BUSY_REST_MS
        };
        let mut count = 0;
        while Instant::now() < end {
            self.ask(count).await;
            count += 1;
            self.rest(most_rest / 2..most_rest).await;
        }
    }

    async fn rest(&mut self, millis: std::ops::Range<u64>) {
        tokio::time::sleep(Duration::from_millis(self.rng.random_range(millis))).await;
    }

    /// Sends a request, a second time when it is refused or lost.
    async fn ask(&mut self, count: u64) {
        let sent = Instant::now();
        for attempt in 0..ATTEMPTS {
            let id: Box<str> = format!("{}-{count}-{attempt}", self.name).into();
            let given_up = self.starved && !count.is_multiple_of(STARVED_SHARE);
            let outcome = if given_up {
                Outcome::Unreached
            } else {
                self.send_once(&id).await
            };
            let served = matches!(outcome, Outcome::Answer { status: 200, .. });
            let late = sent.elapsed() > OBJECTIVE;
            let call = Call {
                account: self.number,
                sent,
                is_first: attempt == 0,
                begun: None,
                waited: (served && late) || (!served && attempt + 1 == ATTEMPTS),
            };
            self.shared.record(id, call);
            if served {
                return;
            }
            self.rest(RETRY_MS).await;
        }
    }

    /// Sends a request on the open connection, or on a new one; one without an answer is closed.
    async fn send_once(&mut self, id: &str) -> Outcome {
        let link = match self.link.take() {
            Some(link) => Some(link),
            None => connect(&self.shared, &self.account, &mut self.rng).await,
        };
        let Some((router, mut stream, buffer)) = link else {
            return Outcome::Unreached;
        };
        let text = format!(
            "POST /get/ HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: {}\r\n\
             Authorization: Token {}\r\nToken-Usage: {PROMPT_TOKENS},{OUTPUT_TOKENS}\r\nContent-Length: 4\r\n\r\nbody",
            callers::DEADLINE_MS,
            self.account.name,
        );
        if stream.write_all(text.as_bytes()).await.is_err() {
            return Outcome::Closed;
        }
        let (outcome, kept) = callers::read_answer((stream, buffer), usize::MAX).await;
        self.link = kept.map(|(stream, buffer)| (router, stream, buffer));
        outcome
    }
}

/// Connects to one of the account's gateways, to the next one where that is gone.
async fn connect(shared: &Shared, account: &Account, rng: &mut StdRng) -> Option<Link> {
    let first = rng.random_range(0..account.entries.len());
    for step in 0..account.entries.len() {
        let router = account.entries[(first + step) % account.entries.len()];
        if let Some((stream, buffer)) = callers::connect(shared.fronts[router]).await {
            return Some((router, stream, buffer));
        }
    }
    None
}

/// Sets when the servers began each call.
fn mark_begun(fleet: &Fleet, calls: &mut [(Box<str>, Call)]) {
    let mut begun: BTreeMap<String, Instant> = BTreeMap::new();
    for server in &fleet.servers {
        for arrival in server.received().into_iter().filter(|a| a.executed) {
            let id = arrival.head.headers.get_str("attempt-id");
            begun.insert(id.unwrap_or_default().to_owned(), arrival.received_at);
        }
    }
    for (id, call) in calls {
        call.begun = begun.get(&**id).copied();
    }
}

/// What one account asked for and got in one second, in requests.
#[derive(Debug, Clone, Copy, Default)]
struct Second {
    asked: f64,
    got: f64,
    waited: bool,
}

impl Shares {
    /// Returns the number of requests, and of those that a server began.
    pub fn counts(&self) -> (usize, usize) {
        let begun = self.calls.iter().filter(|c| c.begun.is_some()).count();
        (self.calls.len(), begun)
    }

    /// Returns the time from the start of the run to `at`.
    pub fn since(&self, at: Instant) -> Duration {
        at.duration_since(self.start)
    }

    fn seconds_of(&self, account: usize) -> Vec<Second> {
        let mut seconds = vec![Second::default(); self.seconds as usize + 1];
        let second = |at: Instant| (at.duration_since(self.start).as_secs()).min(self.seconds);
        for call in self.calls.iter().filter(|c| c.account == account) {
            let first = &mut seconds[second(call.sent) as usize];

            first.asked += f64::from(u8::from(call.is_first));
            first.waited |= call.waited;
            if let Some(at) = call.begun {
                seconds[second(at) as usize].got += 1.0;
            }
        }
        seconds
    }

    /// Returns each account that got less than half of what it asked for, or of what the best served one got, in a window in
    /// each of whose seconds it waited.
    pub fn check(&self) -> Vec<Breach> {
        let all: Vec<Vec<Second>> = (0..self.names.len()).map(|a| self.seconds_of(a)).collect();
        let mut breaches = Vec::new();
        for from in WARM_UP..=self.seconds.saturating_sub(WINDOW) {
            let window = from as usize..(from + WINDOW) as usize;
            let got = |a: usize| all[a][window.clone()].iter().map(|s| s.got).sum::<f64>();
            let best = (0..all.len()).max_by(|a, b| got(*a).total_cmp(&got(*b)));
            let Some(best) = best else { continue };
            for (account, seconds) in all.iter().enumerate() {
                let due = window
                    .clone()
                    .map(|s| seconds[s].asked.min(all[best][s].got));
                let due: f64 = due.sum();
                let waited = window.clone().all(|s| seconds[s].waited);
                if waited && got(account) < due / 2.0 - ALLOWED {
                    breaches.push(Breach {
                        promise: "fair shares",
                        id: "".into(),
                        at: Some(self.start + Duration::from_secs(from)),
                        what: format!(
                            "{} got {} of {due} due, {} got {}",
                            self.names[account],
                            got(account),
                            self.names[best],
                            got(best)
                        ),
                    });
                }
            }
        }
        breaches
    }
}
