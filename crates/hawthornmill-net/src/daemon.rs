//! Joins the parts of a router into one process.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hawthornmill::clock::Clock;
use hawthornmill::ident::{PoolId, ServerId};
use hawthornmill::ini::Diagnostic;
use hawthornmill::pools::{owner, tick};
use hawthornmill_process::run::incarnation;
use hawthornmill_process::settings::{report, unbound};
use poem::Server;
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::Notify;

use crate::entry::routes::routes;
use crate::fleet::Fleet;
use crate::peers::{Outgoing, tcp, udp};
use crate::platform;
use crate::settings::Settings;
use crate::sockets::bind_http;
use crate::telemetry::usage::MARK;
use crate::telemetry::{Telemetry, gauges, logs};

const TICK: Duration = Duration::from_millis(20);
/// Time in which every instance hears that this one leaves.
const SPREAD: Duration = Duration::from_millis(500);
const SWEEP: Duration = Duration::from_secs(1);

/// Runs a router until it is told to leave; the result is the process's exit code.
pub fn main(config: &Path) -> u8 {
    let settings = match Settings::load(config) {
        Ok(settings) => settings,
        Err(faults) => return report(&faults),
    };
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .worker_threads(2)
        .build();
    match runtime {
        Ok(runtime) => runtime.block_on(run(settings)),
        Err(error) => {
            eprintln!("the runtime can't start: {error}");
            1
        }
    }
}

struct Sockets {
    http: TcpListener,
    tcp: TcpListener,
    udp: UdpSocket,
}

async fn bind(settings: &Settings) -> Result<Sockets, Vec<Diagnostic>> {
    let (http, peer) = (&*settings.contact.http, &*settings.contact.peer);
    Ok(Sockets {
        http: bind_http(http).map_err(|e| unbound(http, &e))?,
        tcp: TcpListener::bind(peer)
            .await
            .map_err(|e| unbound(peer, &e))?,
        udp: UdpSocket::bind(peer).await.map_err(|e| unbound(peer, &e))?,
    })
}

async fn run(settings: Settings) -> u8 {
    let sockets = match bind(&settings).await {
        Ok(sockets) => sockets,
        Err(faults) => return report(&faults),
    };
    if logs::start(settings.telemetry.level).is_err() {
        eprintln!("logging can't start");
        return 1;
    }
    let telemetry = Telemetry::new(&settings.telemetry, &settings.contact.name);
    let drain = settings.discovery.drain;
    let fleet = Fleet::new(
        settings,
        Clock::system(),
        incarnation(),
        Outgoing::default(),
        telemetry,
    );
    log::info!(target: "daemon", "instance {} starts", fleet.settings.contact.name);
    gauges::start(&fleet);
    udp::start(&fleet, sockets.udp);
    tcp::start(&fleet, sockets.tcp);
    platform::start(&fleet);
    tokio::spawn(ticks(Arc::clone(&fleet)));
    tokio::spawn(loads(Arc::clone(&fleet)));
    tokio::spawn(sweep(Arc::clone(&fleet)));
    tokio::spawn(marks(Arc::clone(&fleet)));
    let stop = Arc::new(Notify::new());
    let leave = leave(Arc::clone(&fleet), Arc::clone(&stop), drain);
    let server = Server::new_with_acceptor(fleet.connections.acceptor(sockets.http));
    let stopped = async move { stop.notified().await };
    // The last bytes of an answer may still be in the process when its call is settled, and a slow
    // reader takes them in its own time. So connections get the whole bound to end, not a moment.
    let served = server.run_with_graceful_shutdown(routes(&fleet), stopped, Some(drain));
    let code = tokio::select! {
        code = leave => code,
        result = served => ended(&fleet, result),
    };
    log::info!(target: "daemon", "instance {} ends", fleet.settings.contact.name);
    mark(&fleet, true);
    fleet.telemetry.flush();
    code
}

fn ended(fleet: &Fleet, result: std::io::Result<()>) -> u8 {
    let cut = fleet.flying.load(Ordering::SeqCst);
    if cut > 0 {
        log::warn!(target: "daemon", "{cut} calls cut");
    }
    if let Err(error) = result {
        log::error!(target: "daemon", "HTTP server ended: {error}");
        return 1;
    }
    u8::from(cut > 0)
}

async fn ticks(fleet: Arc<Fleet>) {
    let mut timer = tokio::time::interval(TICK);
    timer.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        timer.tick().await;
        fleet.feed(|board, now| {
            // Before the tick, which forgets what it settles.
            fleet.telemetry.usage.causes().observe(board, now);
            tick::tick(board, now);
        });
        fleet.find_ready();
    }
}

async fn marks(fleet: Arc<Fleet>) {
    let mut timer = tokio::time::interval(MARK);
    loop {
        timer.tick().await;
        mark(&fleet, false);
    }
}

fn mark(fleet: &Fleet, end: bool) {
    let name = &fleet.settings.contact.name;
    fleet.telemetry.usage.mark(name, fleet.incarnation.0, end);
}

/// Forgets what nobody can ask for any more.
async fn sweep(fleet: Arc<Fleet>) {
    let mut timer = tokio::time::interval(SWEEP);
    loop {
        timer.tick().await;
        let now = fleet.clock.now();
        fleet.home.lock().table.remove_expired(now);
        let config = fleet.view(|board| Arc::clone(&board.config));
        fleet.retries().retain(
            |service| config.services.contains_key(&service),
            |server| config.servers.contains_key(&server),
        );
    }
}

/// Reads the load of every server of the pools owned here.
async fn loads(fleet: Arc<Fleet>) {
    let mut timer = tokio::time::interval(fleet.settings.load);
    timer.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        timer.tick().await;
        let targets: Vec<(PoolId, ServerId, Box<str>)> = fleet.view(|board| {
            let config = &board.config;
            board
                .owned_pools
                .iter()
                .filter(|(_, o)| o.active)
                .flat_map(|(pool, o)| o.servers.keys().map(move |s| (*pool, *s)))
                .filter_map(|(p, s)| Some((p, s, config.servers.get(&s)?.address.clone())))
                .collect()
        });
        for (pool, server, address) in targets {
            let fleet = Arc::clone(&fleet);
            tokio::spawn(async move {
                if let Some(load) = fleet.upstream.load(&address).await {
                    fleet.feed(|board, _| {
                        owner::on_load_reading(board, pool, server, load.running);
                        owner::on_leaving_reading(board, pool, server, load.leaving);
                    });
                }
            });
        }
    }
}

/// Waits for the signal to leave, then for the calls in flight; ends only when it cuts something.
///
/// Once nothing is in flight it tells the server to close its connections, which ends the process.
async fn leave(fleet: Arc<Fleet>, stop: Arc<Notify>, bound: Duration) -> u8 {
    let Ok(mut term) = signal(SignalKind::terminate()) else {
        return 1;
    };
    let Ok(mut int) = signal(SignalKind::interrupt()) else {
        return 1;
    };
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    announce(&fleet);
    let closing = async {
        drained(&fleet).await;
        stop.notify_one();
        std::future::pending::<()>().await;
    };
    let why = tokio::select! {
        () = closing => "",
        _ = term.recv() => "a second signal",
        _ = int.recv() => "a second signal",
        () = tokio::time::sleep(bound) => "the longest wait is over",
    };
    let cut = fleet.flying.load(Ordering::SeqCst);
    log::warn!(target: "daemon", "{cut} calls cut: {why}");
    u8::from(cut > 0)
}

fn announce(fleet: &Fleet) {
    log::info!(target: "daemon", "instance {} leaves", fleet.settings.contact.name);
    let until = fleet.clock.now() + fleet.settings.discovery.ttl + SPREAD;
    let _first = fleet.closing.set(until);
    fleet.feed(|board, _| {
        let me = board.me();
        board.members.set_leaving(me);
    });
    fleet.hurry.notify_one();
}

/// Serves callers that hold old addresses for as long as discovery allowed, then refuses new calls
/// and waits for the last one in flight.
async fn drained(fleet: &Fleet) {
    // Other instances list this one until they hear that it leaves, so the last old list may be
    // that much younger.
    tokio::time::sleep(fleet.settings.discovery.ttl + SPREAD).await;
    fleet.closed.store(true, Ordering::SeqCst);
    // Refusals with other addresses for callers that come in the last moment: a connection that
    // waits unaccepted when the listener closes is reset, and its caller can't tell what was run.
    tokio::time::sleep(SPREAD).await;
    while fleet.flying.load(Ordering::SeqCst) > 0 {
        tokio::time::sleep(TICK).await;
    }
}
