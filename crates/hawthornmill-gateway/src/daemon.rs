//! Joins the parts of a gateway into one process.

use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use hawthornmill::clock::Clock;
use hawthornmill::ini::Fault;
use hawthornmill::wire::Sealer;
use hawthornmill_process::run::incarnation;
use hawthornmill_process::settings::{report, unbound};
use hawthornmill_process::sockets;
use serde_json::json;
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::{LocalSet, spawn_local};

use crate::adapter::Adapter;
use crate::datagrams::{self, DatagramSocket};
use crate::endpoints::Endpoint;
use crate::gateway::{Gateway, Phase, cleanup_loop, dispatch_loop, monitor_lateness};
use crate::settings::Settings;
use crate::{endpoints, event_log, gossip, listener, state_sync, store_watch};

/// Time for which a leaving process takes requests of callers that have not heard of it.
///
/// Some callers keep a directory's answer for three times its lifetime; a request that comes much
/// later could not end within the grace.
const OLD_ANSWERS: u32 = 3;
/// Time before the end of the grace at which the process ends by itself.
const BEFORE_GRACE: Duration = Duration::from_millis(400);
/// Time between two looks at what is under way.
const LOOK: Duration = Duration::from_millis(20);
/// Time between two looks at the settings file, which may change without a signal.
const REREAD: Duration = Duration::from_secs(1);

/// Runs a gateway until it is told to stop; the result is the process's exit code.
pub fn main(config: &Path, adapter: Adapter) -> u8 {
    let settings = match Settings::load(config) {
        Ok(settings) => settings,
        Err(faults) => return report(&faults),
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    match runtime {
        Ok(runtime) => LocalSet::new().block_on(&runtime, run(settings, config, &adapter)),
        Err(error) => {
            eprintln!("the runtime can't start: {error}");
            1
        }
    }
}

struct Sockets {
    front: TcpListener,
    sides: Vec<(TcpListener, Endpoint)>,
    peer: TcpListener,
    news: UdpSocket,
}

async fn bind(settings: &Settings) -> Result<Sockets, Vec<Fault>> {
    let open = |address| sockets::listen(address).map_err(|e| unbound(&address.to_string(), &e));
    let listen = settings.listen;
    let mut sides = vec![
        (open(listen.ready)?, Endpoint::Ready),
        (open(listen.directory)?, Endpoint::Directory),
    ];
    if let Some(metrics) = listen.metrics {
        sides.push((open(metrics)?, Endpoint::Metrics));
    }
    Ok(Sockets {
        front: open(listen.front)?,
        sides,
        peer: open(listen.peer)?,
        news: UdpSocket::bind(listen.peer)
            .await
            .map_err(|e| unbound(&listen.peer.to_string(), &e))?,
    })
}

async fn run(settings: Settings, config: &Path, adapter: &Adapter) -> u8 {
    let sockets = match bind(&settings).await {
        Ok(sockets) => sockets,
        Err(faults) => return report(&faults),
    };
    let (Ok(signals), Ok(())) = (Signals::new(), event_log::init(settings.level)) else {
        eprintln!("signals or the log can't be had");
        return 1;
    };
    let gateway = Gateway::new(settings, *adapter, Clock::system(), incarnation());
    let name = gateway.settings().name.clone();
    event_log::state_change(
        "start",
        json!({"instance": name, "run": gateway.incarnation.0}),
    );
    start(&gateway, sockets);
    spawn_local(reread(Rc::clone(&gateway), config.to_path_buf()));
    let cut = until_told(&gateway, signals, config).await;
    event_log::state_change("stop", json!({"instance": name, "requests_cut": cut}));
    event_log::flush();
    u8::from(cut > 0)
}

fn start(gateway: &Rc<Gateway>, sockets: Sockets) {
    let key = gateway.settings().key;
    let sealer = Sealer::new(key, gateway.id, gateway.incarnation, datagrams::CHANNEL);
    let datagrams = Rc::new(DatagramSocket::new(sockets.news, sealer));
    spawn_local(store_watch::watch(
        Rc::clone(gateway),
        store_watch::Topic::Catalog,
    ));
    spawn_local(store_watch::watch(
        Rc::clone(gateway),
        store_watch::Topic::Servers,
    ));
    spawn_local(gossip::send_news(Rc::clone(gateway), Rc::clone(&datagrams)));
    spawn_local(gossip::receive(Rc::clone(gateway), Rc::clone(&datagrams)));
    spawn_local(state_sync::sync_from_peers(Rc::clone(gateway), datagrams));
    spawn_local(state_sync::serve_peers(Rc::clone(gateway), sockets.peer));
    for (listener, side) in sockets.sides {
        spawn_local(endpoints::serve(Rc::clone(gateway), listener, side));
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

/// Serves until a signal to stop, then ends in order; the result is the number of requests cut.
async fn until_told(gateway: &Rc<Gateway>, mut signals: Signals, config: &Path) -> usize {
    loop {
        tokio::select! {
            _ = signals.term.recv() => break,
            _ = signals.int.recv() => break,
            _ = signals.hup.recv() => load_again(gateway, config),
        }
    }
    leave(gateway).await
}

async fn leave(gateway: &Gateway) -> usize {
    let guarantees = gateway.settings().guarantees;
    let end = tokio::time::Instant::now() + guarantees.shutdown_grace.saturating_sub(BEFORE_GRACE);
    event_log::state_change("leaving", json!({"under_way": gateway.in_flight.get()}));
    gateway.set_phase(Phase::LameDuck);
    tokio::time::sleep(guarantees.directory_ttl * OLD_ANSWERS).await;
    gateway.set_phase(Phase::Draining);
    while gateway.in_flight.get() > 0 && tokio::time::Instant::now() < end {
        tokio::time::sleep(LOOK).await;
    }
    gateway.in_flight.get()
}

/// Takes changed settings; a file with faults changes nothing.
fn load_again(gateway: &Gateway, config: &Path) {
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
    gateway
        .desk
        .borrow_mut()
        .regions
        .clone_from(&settings.regions);
    *gateway.settings.borrow_mut() = Rc::new(settings);
    event_log::state_change("settings_in_force", json!({}));
}

async fn reread(gateway: Rc<Gateway>, config: PathBuf) {
    let stamp = || std::fs::metadata(&config).and_then(|m| m.modified()).ok();
    let mut last = stamp();
    loop {
        tokio::time::sleep(REREAD).await;
        let now = stamp();
        if now != last {
            last = now;
            load_again(&gateway, &config);
        }
    }
}
