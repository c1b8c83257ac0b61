//! Startup, periodic tasks and graceful shutdown of a router process.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hawthornmill::clock::Clock;
use hawthornmill::ident::{PoolId, ServerId};
use hawthornmill::ini::Diagnostic;
use hawthornmill::pools::{owner, tick};
use hawthornmill_process::incarnation::new_incarnation;
use hawthornmill_process::settings::{bind_error, print_diagnostics};
use poem::Server;
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::Notify;

use crate::api::routes::routes;
use crate::fleet::Fleet;
use crate::peers::{Outgoing, tcp, udp};
use crate::platform;
use crate::settings::Settings;
use crate::sockets::bind_http;
use crate::telemetry::usage::CHECKPOINT_INTERVAL;
use crate::telemetry::{Telemetry, gauges, logs};

const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Time within which every instance learns that this one is leaving.
const LEAVE_PROPAGATION: Duration = Duration::from_millis(500);
/// Time in which the calls that are in flight at the end of a drain are answered.
const ANSWER_TIME: Duration = Duration::from_millis(200);
/// Why a drain ended that left calls in flight, for the log.
const DRAIN_EXPIRED: &str = "drain timeout expired";
const CLEANUP_INTERVAL: Duration = Duration::from_secs(1);

/// Runs a router until a signal stops it; returns the exit code of the process.
pub fn main(config: &Path) -> u8 {
    let settings = match Settings::load(config) {
        Ok(settings) => settings,
        Err(faults) => return print_diagnostics(&faults),
    };
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .worker_threads(2)
        .build();
    match runtime {
        Ok(runtime) => runtime.block_on(run(settings)),
        Err(error) => {
            eprintln!("cannot start the async runtime: {error}");
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
        http: bind_http(http).map_err(|e| bind_error(http, &e))?,
        tcp: TcpListener::bind(peer)
            .await
            .map_err(|e| bind_error(peer, &e))?,
        udp: UdpSocket::bind(peer)
            .await
            .map_err(|e| bind_error(peer, &e))?,
    })
}

async fn run(settings: Settings) -> u8 {
    let sockets = match bind(&settings).await {
        Ok(sockets) => sockets,
        Err(faults) => return print_diagnostics(&faults),
    };
    if logs::init(settings.telemetry.level).is_err() {
        eprintln!("cannot start logging");
        return 1;
    }
    let telemetry = Telemetry::new(&settings.telemetry, &settings.contact.name);
    let drain_timeout = settings.discovery.drain_timeout;
    let fleet = Fleet::new(
        settings,
        Clock::system(),
        new_incarnation(),
        Outgoing::default(),
        telemetry,
    );
    log::info!(target: "daemon", "instance {} starts", fleet.settings.contact.name);
    gauges::register(&fleet);
    udp::start(&fleet, sockets.udp);
    tcp::start(&fleet, sockets.tcp);
    platform::start(&fleet);
    tokio::spawn(run_ticks(Arc::clone(&fleet)));
    tokio::spawn(poll_loads(Arc::clone(&fleet)));
    tokio::spawn(remove_expired(Arc::clone(&fleet)));
    tokio::spawn(write_checkpoints(Arc::clone(&fleet)));
    let stop = Arc::new(Notify::new());
    let shutdown = shut_down(Arc::clone(&fleet), Arc::clone(&stop), drain_timeout);
    let server = Server::new_with_acceptor(fleet.connections.acceptor(sockets.http));
    let stopped = async move { stop.notified().await };
    // When a call finishes, the last bytes of its response may still be buffered, and a slow caller
    // takes long to read them. Connections therefore get the whole drain timeout to close.
    let served = server.run_with_graceful_shutdown(routes(&fleet), stopped, Some(drain_timeout));
    let code = tokio::select! {
        code = shutdown => code,
        result = served => exit_code(&fleet, result),
    };
    log::info!(target: "daemon", "instance {} ends", fleet.settings.contact.name);
    write_checkpoint(&fleet, true);
    fleet.telemetry.flush();
    code
}

fn exit_code(fleet: &Fleet, result: std::io::Result<()>) -> u8 {
    let cut = fleet.in_flight.load(Ordering::SeqCst);
    if cut > 0 {
        log::warn!(target: "daemon", "{cut} calls cut");
    }
    if let Err(error) = result {
        log::error!(target: "daemon", "HTTP server failed: {error}");
        return 1;
    }
    u8::from(cut > 0)
}

async fn run_ticks(fleet: Arc<Fleet>) {
    let mut timer = tokio::time::interval(TICK_INTERVAL);
    timer.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        timer.tick().await;
        fleet.apply(|board, now| {
            // This must come first, since the tick removes the state of what it completes.
            fleet.telemetry.usage.wait_tracker().observe(board, now);
            tick::tick(board, now);
        });
        fleet.update_readiness();
    }
}

async fn write_checkpoints(fleet: Arc<Fleet>) {
    let mut timer = tokio::time::interval(CHECKPOINT_INTERVAL);
    loop {
        timer.tick().await;
        write_checkpoint(&fleet, false);
    }
}

fn write_checkpoint(fleet: &Fleet, end: bool) {
    let name = &fleet.settings.contact.name;
    fleet
        .telemetry
        .usage
        .write_checkpoint(name, fleet.incarnation.0, end);
}

/// Removes expired keys, and retry budgets of services and servers that are no longer configured.
async fn remove_expired(fleet: Arc<Fleet>) {
    let mut timer = tokio::time::interval(CLEANUP_INTERVAL);
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

/// Polls the load of every server in the pools that this instance owns.
async fn poll_loads(fleet: Arc<Fleet>) {
    let mut timer = tokio::time::interval(fleet.settings.load_interval);
    timer.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        timer.tick().await;
        let targets: Vec<(PoolId, ServerId, Box<str>)> = fleet.view(|board| {
            let config = &board.config;
            board
                .owned_pools
                .iter()
                .filter(|(_, owned)| owned.active)
                .flat_map(|(pool, owned)| owned.servers.keys().map(move |s| (*pool, *s)))
                .filter_map(|(p, s)| Some((p, s, config.servers.get(&s)?.address.clone())))
                .collect()
        });
        for (pool, server, address) in targets {
            let fleet = Arc::clone(&fleet);
            tokio::spawn(async move {
                if let Some(load) = fleet.upstream.fetch_load(&address).await {
                    fleet.apply(|board, _| {
                        owner::on_load_reading(board, pool, server, load.running);
                        owner::on_leaving_reading(board, pool, server, load.leaving);
                    });
                }
            });
        }
    }
}

/// Waits for a signal, then drains calls in flight; returns only if a second signal or the timeout
/// ends the drain. After the timeout, the calls that are still in flight are answered.
///
/// Once no call is in flight it tells the HTTP server to close its connections, which ends the
/// process.
async fn shut_down(fleet: Arc<Fleet>, stop: Arc<Notify>, timeout: Duration) -> u8 {
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
    announce_leaving(&fleet, timeout);
    let closing = async {
        drain(&fleet).await;
        stop.notify_one();
        std::future::pending::<()>().await;
    };
    let why = tokio::select! {
        () = closing => "",
        _ = term.recv() => "a second signal",
        _ = int.recv() => "a second signal",
        () = tokio::time::sleep(timeout) => DRAIN_EXPIRED,
    };
    let cut = fleet.in_flight.load(Ordering::SeqCst);
    log::warn!(target: "daemon", "{cut} calls cut: {why}");
    if why == DRAIN_EXPIRED {
        fleet.ending.send_replace(true);
        tokio::time::sleep(ANSWER_TIME).await;
    }
    u8::from(cut > 0)
}

fn announce_leaving(fleet: &Fleet, timeout: Duration) {
    log::info!(target: "daemon", "instance {} leaves", fleet.settings.contact.name);
    let now = fleet.clock.now();
    let closes_at = now + fleet.settings.discovery.ttl + LEAVE_PROPAGATION;
    let _first = fleet.closes_at.set(closes_at);
    let _first = fleet.ends_at.set(now + timeout);
    fleet.apply(|board, _| {
        let me = board.me();
        board.members.set_leaving(me);
    });
    fleet.heartbeat_now.notify_one();
}

/// Serves callers with cached addresses until the discovery TTL expires, then refuses new calls and
/// waits for those in flight.
async fn drain(fleet: &Fleet) {
    // Other instances list this one until they learn that it is leaving, so the TTL of the last
    // list that names it starts up to that much later.
    tokio::time::sleep(fleet.settings.discovery.ttl + LEAVE_PROPAGATION).await;
    fleet.closed.store(true, Ordering::SeqCst);
    // Late callers get a rejection that names other addresses. If the listener closed now, a
    // connection not yet accepted would be reset, and its caller couldn't tell whether its call
    // ran.
    tokio::time::sleep(LEAVE_PROPAGATION).await;
    while fleet.in_flight.load(Ordering::SeqCst) > 0 {
        tokio::time::sleep(TICK_INTERVAL).await;
    }
}
