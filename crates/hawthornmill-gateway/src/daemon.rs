//! The gateway process: start, settings reload and shutdown.

use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, SystemTime};

use hawthornmill::clock::Clock;
use hawthornmill::ini::Diagnostic;
use hawthornmill::wire::Sealer;
use hawthornmill_process::incarnation::new_incarnation;
use hawthornmill_process::settings::{bind_error, print_diagnostics};
use hawthornmill_process::sockets;
use serde_json::json;
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::Notify;
use tokio::task::{LocalSet, spawn_local};

use crate::adapter::Adapter;
use crate::datagrams::{self, DatagramSocket};
use crate::endpoints::Endpoint;
use crate::gateway::{Gateway, cleanup_loop, dispatch_loop, monitor_lateness};
use crate::lifecycle::Phase;
use crate::settings::Settings;
use crate::store_watch::Topic;
use crate::{
    endpoints, event_log, gossip, listener, relay, server_crashes, server_runs, state_sync,
    store_watch, stream_versions,
};

/// Multiple of the directory's time to live for which a stopping process still accepts requests.
///
/// Some clients cache a response of the directory for three times its time to live. A request that
/// arrives much later could not complete within the shutdown grace.
const DIRECTORY_TTL_FACTOR: u32 = 3;
/// Longest part of the shutdown grace in which a stopping process still accepts requests.
const MAX_LAME_DUCK_FRACTION: f64 = 0.5;
/// Time before the end of the shutdown grace at which requests in flight are answered with an error.
const EXIT_MARGIN: Duration = Duration::from_millis(400);
/// Time in which these answers are written.
const ANSWER_TIME: Duration = Duration::from_millis(200);
/// Interval at which the requests in flight are checked during shutdown.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Time for which the settings file must stay the same after a signal until it is read; it may be written in parts.
const SETTINGS_REST: Duration = Duration::from_millis(150);
/// Longest time after a signal until the settings file is read.
const MAX_SETTINGS_DELAY: Duration = Duration::from_secs(1);
/// Interval at which the settings file is checked for changes, which may come without a signal.
const SETTINGS_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Runs a gateway until it is told to stop; returns the exit code of the process.
pub fn main(config: &Path, adapter: Adapter) -> u8 {
    let settings = match Settings::load(config) {
        Ok(settings) => settings,
        Err(faults) => return print_diagnostics(&faults),
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    match runtime {
        Ok(runtime) => LocalSet::new().block_on(&runtime, run(settings, config, &adapter)),
        Err(error) => {
            eprintln!("can't start the async runtime: {error}");
            1
        }
    }
}

struct Sockets {
    front: TcpListener,
    endpoints: Vec<(TcpListener, Endpoint)>,
    peer: TcpListener,
    datagrams: UdpSocket,
}

async fn bind(settings: &Settings) -> Result<Sockets, Vec<Diagnostic>> {
    let bind_tcp =
        |address| sockets::listen(address).map_err(|e| bind_error(&address.to_string(), &e));
    let listen = settings.listen;
    let mut endpoints = vec![
        (bind_tcp(listen.ready)?, Endpoint::Ready),
        (bind_tcp(listen.directory)?, Endpoint::Directory),
    ];
    if let Some(metrics) = listen.metrics {
        endpoints.push((bind_tcp(metrics)?, Endpoint::Metrics));
    }
    Ok(Sockets {
        front: bind_tcp(listen.front)?,
        endpoints,
        peer: bind_tcp(listen.peer)?,
        datagrams: UdpSocket::bind(listen.peer)
            .await
            .map_err(|e| bind_error(&listen.peer.to_string(), &e))?,
    })
}

async fn run(settings: Settings, config: &Path, adapter: &Adapter) -> u8 {
    let sockets = match bind(&settings).await {
        Ok(sockets) => sockets,
        Err(faults) => return print_diagnostics(&faults),
    };
    let (Ok(signals), Ok(())) = (Signals::new(), event_log::init(settings.level)) else {
        eprintln!("can't install signal handlers or start the log");
        return 1;
    };
    let gateway = Gateway::new(settings, *adapter, Clock::system(), new_incarnation());
    let instance_name = gateway.settings().name.clone();
    event_log::state_change(
        "start",
        json!({"instance": instance_name, "run": gateway.incarnation.0}),
    );
    spawn_tasks(&gateway, sockets);
    spawn_local(watch_settings(Rc::clone(&gateway), config.to_path_buf()));
    let requests_cut = run_until_signal(&gateway, signals, config).await;
    event_log::state_change(
        "stop",
        json!({"instance": instance_name, "requests_cut": requests_cut}),
    );
    event_log::flush();
    u8::from(requests_cut > 0)
}

fn spawn_tasks(gateway: &Rc<Gateway>, sockets: Sockets) {
    let key = gateway.settings().key;
    let sealer = Sealer::new(key, gateway.id, gateway.incarnation, datagrams::CHANNEL);
    let datagrams = Rc::new(DatagramSocket::new(sockets.datagrams, sealer));
    let silence = Rc::new(Notify::new());
    for topic in [Topic::Catalog, Topic::Servers] {
        let silence = Rc::clone(&silence);
        spawn_local(store_watch::watch(Rc::clone(gateway), topic, silence));
    }
    spawn_local(gossip::send_reports(
        Rc::clone(gateway),
        Rc::clone(&datagrams),
    ));
    spawn_local(gossip::receive(Rc::clone(gateway), Rc::clone(&datagrams)));
    spawn_local(relay::relay_large_domain(
        Rc::clone(gateway),
        Rc::clone(&datagrams),
    ));
    spawn_local(server_crashes::examine_runs(Rc::clone(gateway)));
    spawn_local(server_runs::examine_doubts(Rc::clone(gateway)));
    spawn_local(stream_versions::exchange(
        Rc::clone(gateway),
        Rc::clone(&datagrams),
    ));
    spawn_local(state_sync::sync_from_peers(Rc::clone(gateway), datagrams));
    spawn_local(state_sync::serve_peers(Rc::clone(gateway), sockets.peer));
    for (listener, endpoint) in sockets.endpoints {
        spawn_local(endpoints::serve(Rc::clone(gateway), listener, endpoint));
    }
    spawn_local(listener::accept_connections(
        Rc::clone(gateway),
        sockets.front,
    ));
    spawn_local(dispatch_loop(Rc::clone(gateway)));
    spawn_local(monitor_lateness(Rc::clone(gateway)));
    spawn_local(cleanup_loop(Rc::clone(gateway)));
}

struct Signals {
    term: Signal,
    int: Signal,
    hup: Signal,
}

impl Signals {
    fn new() -> std::io::Result<Self> {
        Ok(Self {
            term: signal(SignalKind::terminate())?,
            int: signal(SignalKind::interrupt())?,
            hup: signal(SignalKind::hangup())?,
        })
    }
}

/// Serves until a signal to stop, then shuts down; returns the number of requests cut off.
async fn run_until_signal(gateway: &Rc<Gateway>, mut signals: Signals, config: &Path) -> usize {
    loop {
        tokio::select! {
            _ = signals.term.recv() => break,
            _ = signals.int.recv() => break,
            _ = signals.hup.recv() => {
                spawn_local(reload_at_rest(Rc::clone(gateway), config.to_path_buf()));
            }
        }
    }
    shut_down(gateway).await
}

/// Lets the requests in flight end, and answers those that don't in time; returns their number.
async fn shut_down(gateway: &Gateway) -> usize {
    let guarantees = gateway.settings().guarantees;
    let time = guarantees.shutdown_grace.saturating_sub(EXIT_MARGIN);
    let end = tokio::time::Instant::now() + time;
    event_log::state_change("leaving", json!({"under_way": gateway.in_flight.get()}));
    gateway.begin_stop(gateway.now() + time);
    let aware = guarantees.directory_ttl * DIRECTORY_TTL_FACTOR;
    tokio::time::sleep(aware.min(time.mul_f64(MAX_LAME_DUCK_FRACTION))).await;
    gateway.set_phase(Phase::Draining);
    wait_for_requests(gateway, end).await;
    let unfinished = gateway.in_flight.get();
    gateway.set_phase(Phase::Ending);
    wait_for_requests(gateway, end + ANSWER_TIME).await;
    unfinished
}

/// Waits until no request is in flight, or until `end`.
async fn wait_for_requests(gateway: &Gateway, end: tokio::time::Instant) {
    while gateway.in_flight.get() > 0 && tokio::time::Instant::now() < end {
        tokio::time::sleep(DRAIN_CHECK_INTERVAL).await;
    }
}

/// Applies changed settings; keeps the current ones if the file has faults.
fn reload_settings(gateway: &Gateway, config: &Path) {
    let settings = match Settings::load(config) {
        Ok(settings) => settings,
        Err(faults) => {
            let faults: Vec<String> = faults.iter().map(ToString::to_string).collect();
            event_log::state_change("settings_refused", json!({"faults": faults}));
            return;
        }
    };
    if settings == *gateway.settings() {
        return;
    }
    if settings.listen != gateway.settings().listen {
        event_log::state_change("settings_need_restart", json!({"section": "listen"}));
    }
    let mut scheduler = gateway.scheduler.borrow_mut();
    scheduler.regions.clone_from(&settings.regions);
    scheduler.fetches_prefixes = settings.fetches_prefixes;
    scheduler.hedging.set_config(settings.hedging);
    scheduler.long_prompts.ratio = settings.long_prompt_ratio;
    scheduler.long_prompts.max_slots = settings.long_prompt_slots;
    let tolerance = settings.guarantees.cold_tolerance;
    scheduler.cold_limiter.set_tolerance(tolerance);
    drop(scheduler);
    gateway.peers.borrow_mut().cpu_percent = settings.cpu_percent;
    let mut quarantine = gateway.quarantine.borrow_mut();
    quarantine.set_exempt(&settings.exempt, gateway.now());
    drop(quarantine);
    gateway.announce_quarantine();
    *gateway.settings.borrow_mut() = Rc::new(settings);
    gateway.share_memory();
    event_log::state_change("settings_in_force", json!({}));
}

/// Reloads the settings file once nobody writes it any more.
async fn reload_at_rest(gateway: Rc<Gateway>, config: PathBuf) {
    let end = tokio::time::Instant::now() + MAX_SETTINGS_DELAY;
    let mut modified = modified_at(&config);
    while tokio::time::Instant::now() < end {
        tokio::time::sleep(SETTINGS_REST).await;
        let before = std::mem::replace(&mut modified, modified_at(&config));
        if before == modified {
            break;
        }
    }
    reload_settings(&gateway, &config);
}

fn modified_at(config: &Path) -> Option<SystemTime> {
    std::fs::metadata(config).and_then(|m| m.modified()).ok()
}

/// Reloads the settings file when it has changed without a signal, and then stayed the same for one check interval.
///
/// The file may be written in parts, and sections that are missing have defaults.
async fn watch_settings(gateway: Rc<Gateway>, config: PathBuf) {
    let (mut checked, mut loaded) = (None, None);
    loop {
        tokio::time::sleep_until(gateway.next_tick(SETTINGS_CHECK_INTERVAL)).await;
        let modified = modified_at(&config);
        if modified == checked && modified != loaded {
            loaded = modified;
            reload_settings(&gateway, &config);
        }
        checked = modified;
    }
}
