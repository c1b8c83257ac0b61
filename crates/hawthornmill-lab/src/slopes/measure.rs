//! The measurements.

use std::process::Command;
use std::time::{Duration, Instant};

use hawthornmill::blackboard::Blackboard;
use hawthornmill::config::accept::{accept, manifest};
use hawthornmill::fairness::CostKey;
use hawthornmill::ident::{
    AccountId, DomainId, Incarnation, InstanceId, PoolId, RegionId, ServiceId,
};
use hawthornmill::membership::placement::{domain_relay, region_relay};
use hawthornmill::pools::{self, entry, tick};
use hawthornmill::wire::frame::{HEADER_BYTES, SHORT_HEADER_BYTES, payload_len};
use hawthornmill::wire::message::{ConfigValues, Heartbeat, Message, PoolState, Report};

use super::fixture::{BusyOwner, Size, board, call, contact, hear_all, values};
use super::line::Line;

/// Bytes of the length before each frame on TCP.
const LENGTH: usize = 4;
/// Grants that are made before anything is measured, and while it is.
const GRANTS: (usize, usize) = (2000, 5000);
/// Rounds of reports that are measured, a multiple of the rounds after which all is repeated.
const ROUNDS: usize = 16;
/// Servers of a pool at the size to design for.
const POOL: usize = 70;
/// Accounts of a pool that are backlogged there.
const BACKLOGGED: usize = 23;
/// Entries that ask one owner: the instances of a region.
const ENTRIES: usize = 35;

fn micros(time: Duration, count: usize) -> f64 {
    time.as_secs_f64() * 1e6 / count as f64
}

/// Least time of several runs: other work on the machine only ever adds to it.
fn least(runs: usize, mut run: impl FnMut() -> f64) -> f64 {
    (0..runs).map(|_| run()).fold(f64::INFINITY, f64::min)
}

fn grant_time(waiting: usize, servers: usize, entries: usize) -> f64 {
    let mut owner = BusyOwner::new(waiting.max(230), waiting, servers, entries);
    for _ in 0..GRANTS.0 {
        owner.step();
    }
    least(3, || {
        let start = Instant::now();
        for _ in 0..GRANTS.1 {
            owner.step();
        }
        micros(start.elapsed(), GRANTS.1)
    })
}

/// Owner: time and bytes of a grant.
pub fn grants() -> Vec<Line> {
    let over = |sizes: &[usize], value: &dyn Fn(usize) -> f64| -> Vec<(f64, f64)> {
        sizes.iter().map(|n| (*n as f64, value(*n))).collect()
    };
    let mut owner = BusyOwner::new(230, BACKLOGGED, POOL, ENTRIES);
    let [demand, grant] = owner
        .message_bytes()
        .map(|b| (b + SHORT_HEADER_BYTES + LENGTH) as f64);
    vec![
        Line::through(
            "owner: µs for a release, a want and a grant",
            "accounts that wait",
            over(&[23, 58, 115, 230], &|n| grant_time(n, POOL, ENTRIES)),
        ),
        Line::through(
            "owner: µs for a release, a want and a grant",
            "servers of the pool",
            over(&[70, 140, 280, 560], &|n| {
                grant_time(BACKLOGGED, n, ENTRIES)
            }),
        ),
        Line::through(
            "owner: µs for a release, a want and a grant",
            "entries that ask",
            over(&[5, 10, 20, 35], &|n| grant_time(BACKLOGGED, POOL, n)),
        ),
        Line::through(
            "entry to owner: bytes on TCP, one release and one want in each frame",
            "calls",
            [1.0, 2.0, 4.0, 8.0].map(|n| (n, n * demand)).into(),
        ),
        Line::through(
            "owner to entry: bytes on TCP, one grant in each frame",
            "calls",
            [1.0, 2.0, 4.0, 8.0].map(|n| (n, n * grant)).into(),
        ),
    ]
}

fn arrival_time(ahead: usize) -> f64 {
    let now = Instant::now();
    let size = Size {
        servers: POOL,
        instances: 1,
        domains: 1,
        ..Size::DESIGN
    };
    let mut board = board(size, 0, now);
    let arrival = call(now);
    for _ in 0..ahead {
        // A queue under its bounds takes every call.
        let _queued = entry::enqueue(&mut board, arrival, now);
    }
    least(3, || {
        let start = Instant::now();
        for _ in 0..GRANTS.0 {
            if let Ok(request) = entry::enqueue(&mut board, arrival, now) {
                entry::cancel(&mut board, request);
            }
        }
        micros(start.elapsed(), GRANTS.0)
    })
}

/// Entry: time of a call that arrives and leaves the queue.
pub fn entries() -> Vec<Line> {
    let points = [16, 64, 128, 240].map(|n| (n as f64, arrival_time(n)));
    vec![Line::through(
        "entry: µs for an arrival and its leaving the queue",
        "calls ahead",
        points.into(),
    )]
}

/// What an instance sends in its rounds of reports.
#[derive(Debug, Clone, Copy, Default)]
struct Rounds {
    bytes: f64,
    messages: f64,
    micros: f64,
}

/// Rounds of the instance that `choose` names, while every other one reports with `costs` counters.
fn rounds(
    instances: usize,
    costs: usize,
    choose: impl Fn(&Blackboard) -> Option<InstanceId>,
) -> Rounds {
    let size = Size {
        servers: 24 * POOL,
        instances,
        ..Size::DESIGN
    };
    let now = Instant::now();
    let first = board(size, 0, now);
    let index = choose(&first)
        .and_then(|id| (0..instances).find(|n| InstanceId::of(&format!("i{n}")) == id))
        .unwrap_or(0);
    let mut board = board(size, index, now);
    pools::run_due(&mut board, now);
    let mut sum = Rounds::default();
    for round in 1..=ROUNDS {
        let start = Instant::now();
        take_all(&mut board, size, index, costs, round as u32, now);
        let messages = tick::build_reports(&mut board, now);
        sum.micros += start.elapsed().as_secs_f64() * 1e6;
        sum.messages += messages.len() as f64;
        let bytes = messages.iter().map(|(_, m)| payload_len(m) + HEADER_BYTES);
        sum.bytes += bytes.sum::<usize>() as f64;
    }
    let each = |value: f64| value / ROUNDS as f64;
    Rounds {
        bytes: each(sum.bytes),
        messages: each(sum.messages),
        micros: each(sum.micros),
    }
}

/// Takes the reports of a round as they come along the tree: from members of the own domain
/// directly, from the others through their relays.
fn take_all(
    board: &mut Blackboard,
    size: Size,
    own: usize,
    costs: usize,
    round: u32,
    now: Instant,
) {
    let relays: Vec<Option<InstanceId>> = (0..size.domains)
        .map(|d| domain_relay(&board.members, DomainId::of(&format!("d{d}"))))
        .collect();
    for origin in (0..size.instances).filter(|n| *n != own) {
        let id = InstanceId::of(&format!("i{origin}"));
        let domain = origin % size.domains;
        let from = if domain == own % size.domains {
            id
        } else {
            relays[domain].unwrap_or(id)
        };
        let report = report(origin, costs, round);
        let interval = board.tuning.report;
        let (members, ledger) = (&mut board.members, &mut board.ledger);
        board
            .reports
            .receive(from, report, members, ledger, now, interval);
    }
}

fn report(origin: usize, costs: usize, version: u32) -> Report {
    let service = ServiceId::of("m0");
    Report {
        origin: InstanceId::of(&format!("i{origin}")),
        incarnation: Incarnation(1),
        version,
        leaving: false,
        revision: 1,
        steady_tenths: u8::MAX,
        pools: vec![PoolState {
            pool: PoolId(origin as u64),
            idle: 0,
            min_service: 1.0,
        }],
        costs: (0..costs)
            .map(|n| {
                let account = AccountId::of(&format!("a{n}"));
                (CostKey { service, account }, f64::from(version))
            })
            .collect(),
    }
}

/// Relays: bytes and time of a round of reports.
pub fn reports() -> Vec<Line> {
    let sizes = [48, 96, 192, 350];
    // A relay of a domain that is not the region's relay as well.
    let relay = |b: &Blackboard| {
        let top = region_relay(&b.members, RegionId::of("r0"));
        let both = ["d0", "d1"].map(|d| domain_relay(&b.members, DomainId::of(d)));
        both.into_iter().flatten().find(|id| Some(*id) != top)
    };
    let region = |b: &Blackboard| region_relay(&b.members, RegionId::of("r0"));
    let mut lines = Vec::new();
    for (name, choose) in [
        (
            "domain relay",
            &relay as &dyn Fn(&Blackboard) -> Option<InstanceId>,
        ),
        ("region relay", &region),
    ] {
        let found: Vec<(f64, Rounds)> = sizes
            .iter()
            .map(|n| (*n as f64, rounds(*n, BACKLOGGED, choose)))
            .collect();
        let mut add = |what: &str, value: &dyn Fn(&Rounds) -> f64| {
            let points = found.iter().map(|(n, r)| (*n, value(r))).collect();
            lines.push(Line::through(
                &format!("{name}: {what}"),
                "instances",
                points,
            ));
        };
        add("bytes on UDP in a round of reports", &|r| r.bytes);
        add("messages in a round", &|r| r.messages);
        add("µs for taking and sending a round", &|r| r.micros);
    }
    let costs = [0, 6, 12, 23].map(|n| (n as f64, rounds(350, n, relay).bytes));
    lines.push(Line::through(
        "domain relay: bytes on UDP in a round of reports, 350 instances",
        "counters in a report",
        costs.into(),
    ));
    lines
}

fn refresh_time(size: Size) -> f64 {
    let now = Instant::now();
    let mut board = board(size, 0, now);
    pools::run_due(&mut board, now);
    least(3, || {
        board.members.changed = true;
        let start = Instant::now();
        pools::run_due(&mut board, now);
        micros(start.elapsed(), 1)
    })
}

/// Every role: time of working owners out anew, bytes of heartbeats, memory of a board.
pub fn members() -> Vec<Line> {
    let over = |sizes: [usize; 4], value: &dyn Fn(usize) -> f64| -> Vec<(f64, f64)> {
        sizes.iter().map(|n| (*n as f64, value(*n))).collect()
    };
    let with = |instances| Size {
        instances,
        ..Size::DESIGN
    };
    let serving = |servers| Size {
        servers,
        ..Size::DESIGN
    };
    let heartbeat = |contact| {
        Message::Heartbeat(Heartbeat {
            leaving: false,
            revision: 9700,
            interval_ms: 100,
            steady_tenths: u8::MAX,
            platform_reachable: true,
            roster_digest: u32::MAX,
            contact,
        })
    };
    let beat = heartbeat(None);
    let named = heartbeat(Some(Box::new(contact(Size::DESIGN, 0))));
    let bytes = [&beat, &named].map(|m| (payload_len(m) + HEADER_BYTES) as f64);
    vec![
        Line::through(
            "every instance: µs for working owners out anew",
            "instances",
            over([44, 88, 175, 350], &|n| refresh_time(with(n))),
        ),
        Line::through(
            "every instance: µs for working owners out anew",
            "servers",
            over([3000, 6000, 9000, 12_000], &|n| refresh_time(serving(n))),
        ),
        Line::through(
            "every instance: bytes on UDP of heartbeats without a contact",
            "instances that are sent one",
            [1.0, 8.0, 15.0, 30.0].map(|n| (n, n * bytes[0])).into(),
        ),
        Line::through(
            "every instance: bytes on UDP of heartbeats with a contact",
            "instances that are sent one",
            [1.0, 8.0, 15.0, 30.0].map(|n| (n, n * bytes[1])).into(),
        ),
        Line::through(
            "every instance: KB resident of a process that holds the board",
            "servers",
            over([3000, 6000, 9000, 12_000], &process_memory),
        ),
    ]
}

/// Kilobytes of a process of its own that holds the board of an instance before `servers` servers.
///
/// What building the board took and gave back is in it, as it is in a router.
fn process_memory(servers: usize) -> f64 {
    let child = std::env::current_exe().and_then(|program| {
        let size = servers.to_string();
        Command::new(program).args(["--memory", &size]).output()
    });
    let text = child.map(|c| String::from_utf8_lossy(&c.stdout).into_owned());
    text.ok()
        .and_then(|t| t.trim().parse().ok())
        .unwrap_or(f64::NAN)
}

/// Builds a board before `servers` servers and returns this process's resident kilobytes.
pub fn board_memory(servers: usize) -> f64 {
    let now = Instant::now();
    let size = Size {
        servers,
        ..Size::DESIGN
    };
    let mut board = board(size, 0, now);
    hear_all(&mut board, size, now);
    pools::run_due(&mut board, now);
    let held = resident();
    drop(board);
    held
}

/// Kilobytes of memory of this process that are resident; 0 where the system doesn't say.
fn resident() -> f64 {
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    line.and_then(|l| l.trim().trim_end_matches(" kB").trim().parse().ok())
        .unwrap_or(0.0)
}

/// Configuration reader: time of accepting a revision, bytes that a change of one server moves.
pub fn configuration() -> Vec<Line> {
    let mut accepted = Vec::new();
    let mut moved = Vec::new();
    for servers in [3000, 6000, 9000, 12_000] {
        let size = Size {
            servers,
            ..Size::DESIGN
        };
        let (old, new) = (values(size, 1), values(size, 2));
        let named = manifest(2, &new);
        let time = least(3, || {
            let start = Instant::now();
            let _good = accept(&named, &new);
            micros(start.elapsed(), 1)
        });
        accepted.push((servers as f64, time));
        let changed = new
            .iter()
            .filter(|(name, text)| old.get(*name) != Some(text));
        let message = Message::ConfigValues(ConfigValues {
            manifest: named.clone(),
            values: changed.map(|(n, t)| (n.clone(), t.clone())).collect(),
        });
        moved.push((
            servers as f64,
            (payload_len(&message) + SHORT_HEADER_BYTES + LENGTH) as f64,
        ));
    }
    vec![
        Line::through(
            "every instance: µs for accepting a revision",
            "servers",
            accepted,
        ),
        Line::through(
            "configuration reader: bytes on TCP to one peer when one server changes",
            "servers",
            moved,
        ),
    ]
}
