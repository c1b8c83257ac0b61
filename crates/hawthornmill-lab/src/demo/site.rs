//! Stand-ins in this process, routers in processes of their own.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use hawthornmill::config::accept::{Values, accept, manifest};
use hawthornmill::config::{CostKind, FleetConfig};
use hawthornmill::ident::ServerId;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

use crate::load::run::Seeds;
use crate::standin::engine::{Engine, EngineModel};
use crate::standin::ledger::Ledger;
use crate::standin::plain::Plain;
use crate::standin::platform::{Listed, Platform};
use crate::standin::serve::{Running, serve};

/// How a router process is started: a program and the words before `--config`.
#[derive(Debug, Clone)]
pub struct RouterCommand {
    /// Program file.
    pub program: PathBuf,
    /// First arguments.
    pub words: Vec<String>,
}

/// What a site is made of.
#[derive(Debug, Clone)]
pub struct SitePlan {
    /// Fleet configuration; the servers' addresses are replaced by free ones.
    pub fleet: Box<str>,
    /// Failure domains with their regions.
    pub domains: Vec<(Box<str>, Box<str>)>,
    /// Number of routers.
    pub routers: usize,
    /// Lines of the `[scheduling]` section of every router.
    pub scheduling: Box<str>,
    /// Further sections of every router's settings.
    pub extra: Box<str>,
    /// Speed of the engines.
    pub model: EngineModel,
    /// Time that a call of a plain service takes.
    pub work: Duration,
    /// Age of the platform's instance list.
    pub lag: Duration,
    /// Where settings and logs are kept; otherwise they go when the site stops.
    pub keep: Option<PathBuf>,
}

impl SitePlan {
    /// A site of `routers` routers, spread over `domains` in turn.
    pub fn new(fleet: &str, domains: &[(&str, &str)], routers: usize) -> Self {
        Self {
            fleet: fleet.into(),
            domains: domains
                .iter()
                .map(|(d, r)| ((*d).into(), (*r).into()))
                .collect(),
            routers,
            scheduling: "".into(),
            extra: "".into(),
            model: EngineModel::default(),
            work: Duration::from_millis(60),
            lag: Duration::from_millis(500),
            keep: None,
        }
    }
}

/// A stand-in for a backend server.
#[derive(Debug)]
pub enum Standin {
    /// A model engine.
    Engine(Arc<Engine>),
    /// A plain service.
    Plain(Arc<Plain>),
}

impl Standin {
    /// What it ran.
    pub fn ledger(&self) -> &Ledger {
        match self {
            Self::Engine(engine) => &engine.ledger,
            Self::Plain(plain) => &plain.ledger,
        }
    }
}

/// A backend server of the site.
#[derive(Debug)]
pub struct SiteServer {
    /// Key in the configuration.
    pub id: ServerId,
    /// Slots by configuration.
    pub slots: u16,
    /// The stand-in.
    pub standin: Standin,
    _running: Running,
}

/// A router of the site.
#[derive(Debug)]
pub struct Router {
    /// How the platform lists it.
    pub listed: Listed,
    /// Settings file.
    pub config: PathBuf,
    /// Log file; a later run of the same router appends to it.
    pub log: PathBuf,
    child: Option<Child>,
}

impl Router {
    /// Process id, while it runs.
    pub fn pid(&self) -> Option<Pid> {
        self.child
            .as_ref()
            .map(|c| Pid::from_raw(c.id().cast_signed()))
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        if let Some(pid) = self.pid() {
            // The process may have ended by itself.
            let _gone = kill(pid, signal);
        }
    }

    /// Kills the process at once.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // A process that has ended already needs no killing, only its status taken.
            let _ended = (child.kill(), child.wait());
        }
    }

    /// Waits for the process to end and returns its exit code.
    pub async fn wait(&mut self, most: Duration) -> Option<i32> {
        let until = Instant::now() + most;
        let child = self.child.as_mut()?;
        while Instant::now() < until {
            if let Ok(Some(status)) = child.try_wait() {
                self.child = None;
                return status.code();
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        None
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Bytes that routers sent to peers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ControlCount {
    /// By router.
    pub each: Vec<u64>,
    /// To peers in other regions, over all routers.
    pub far: u64,
    /// Of calls that ran in another region than their entry's, over all routers.
    pub far_calls: u64,
}

/// A running site.
#[derive(Debug)]
pub struct Site {
    /// The platform.
    pub platform: Arc<Platform>,
    /// Configuration as published at first.
    pub config: FleetConfig,
    /// Its text.
    pub text: Box<str>,
    /// Backend servers.
    pub servers: Vec<SiteServer>,
    /// Routers.
    pub routers: Vec<Router>,
    /// When the routers were started.
    pub started: Instant,
    command: RouterCommand,
    dir: PathBuf,
    temporary: bool,
    _platform: Running,
}

static SITES: AtomicU64 = AtomicU64::new(0);

impl Site {
    /// Starts the stand-ins and the routers, and waits until every router is ready.
    ///
    /// # Errors
    /// In words, when something can't be started or a router does not get ready.
    pub async fn start(plan: SitePlan, command: RouterCommand) -> Result<Self, Box<str>> {
        let (dir, temporary) = directory(plan.keep.as_ref())?;
        let (text, servers) = start_servers(&plan)?;
        let platform = Platform::new(plan.lag);
        let running = serve("127.0.0.1:0", platform.endpoint()).map_err(|e| e.to_string())?;
        let values = Values::from([("fleet".into(), text.clone())]);
        let config = accept(&manifest(1, &values), &values).map_err(|f| f[0].to_string())?;
        platform.publish(values);
        let routers = (0..plan.routers)
            .map(|n| prepare(&plan, &dir, running.address, n))
            .collect::<Result<Vec<_>, _>>()?;
        platform.set_instances(routers.iter().map(|r| r.listed.clone()).collect());
        let mut site = Self {
            platform,
            config,
            text,
            servers,
            routers,
            started: Instant::now(),
            command,
            dir,
            temporary,
            _platform: running,
        };
        for index in 0..site.routers.len() {
            site.launch(index)?;
        }
        site.wait_ready(Duration::from_secs(20)).await?;
        Ok(site)
    }

    /// Starts the process of router `index`.
    ///
    /// # Errors
    /// When it can't be started.
    pub fn launch(&mut self, index: usize) -> Result<(), Box<str>> {
        let router = &mut self.routers[index];
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(&router.log)
            .map_err(|e| e.to_string())?;
        let errors = log.try_clone().map_err(|e| e.to_string())?;
        let child = Command::new(&self.command.program)
            .args(&self.command.words)
            .arg("--config")
            .arg(&router.config)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .map_err(|e| format!("router can't be started: {e}"))?;
        router.child = Some(child);
        Ok(())
    }

    /// Waits until every running router is ready and knows every other.
    ///
    /// # Errors
    /// Names the router that is not ready in time.
    pub async fn wait_ready(&self, most: Duration) -> Result<(), Box<str>> {
        let client = client();
        let until = Instant::now() + most;
        let running = self.routers.iter().filter(|r| r.child.is_some());
        let count = running.clone().count();
        for router in running {
            loop {
                let status = status(&client, &router.listed.http).await;
                let ready = status.as_ref().is_some_and(|s| {
                    let live = s["members"]
                        .as_array()
                        .map_or(0, |m| m.iter().filter(|m| m["live"] == true).count());
                    s["ready"] == true && live >= count
                });
                if ready {
                    break;
                }
                if Instant::now() > until {
                    let name = &router.listed.name;
                    let ends: Vec<String> = self.routers.iter().map(log_end).collect();
                    return Err(format!("{name} is not ready; {}", ends.join("; ")).into());
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
        Ok(())
    }

    /// Entries by region.
    pub fn seeds(&self) -> Seeds {
        let mut seeds = Seeds::new();
        for router in &self.routers {
            seeds
                .entry(router.listed.region.clone())
                .or_default()
                .push(router.listed.http.clone());
        }
        seeds
    }

    /// The status of every router that answers.
    pub async fn statuses(&self) -> Vec<serde_json::Value> {
        let client = client();
        let mut list = Vec::new();
        for router in &self.routers {
            list.extend(status(&client, &router.listed.http).await);
        }
        list
    }

    /// Bytes that each router sent to its peers, and the sum of those to other regions.
    pub async fn control_bytes(&self) -> ControlCount {
        let statuses = self.statuses().await;
        let of =
            |key: &str| -> Vec<u64> { statuses.iter().filter_map(|s| s[key].as_u64()).collect() };
        ControlCount {
            each: of("peer_bytes"),
            far: of("peer_bytes_far").iter().sum(),
            far_calls: of("call_bytes_far").iter().sum(),
        }
    }

    /// Directory of settings and logs.
    pub fn dir(&self) -> &Path {
        &self.dir
    }

    /// Stops the routers and removes what was written.
    pub async fn stop(mut self) {
        for router in &self.routers {
            router.signal(Signal::SIGTERM);
        }
        for router in &mut self.routers {
            router.wait(Duration::from_secs(8)).await;
            router.kill();
        }
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        for router in &mut self.routers {
            router.kill();
        }
        if self.temporary {
            // What is left in the directory for temporary files harms nobody.
            let _left = std::fs::remove_dir_all(&self.dir);
        }
    }
}

fn directory(keep: Option<&PathBuf>) -> Result<(PathBuf, bool), Box<str>> {
    let number = SITES.fetch_add(1, Ordering::Relaxed);
    let dir = keep.cloned().unwrap_or_else(|| {
        let name = format!("hawthornmill-{}-{number}", std::process::id());
        std::env::temp_dir().join(name)
    });
    std::fs::create_dir_all(&dir).map_err(|e| format!("{}: {e}", dir.display()))?;
    Ok((dir, keep.is_none()))
}

/// Starts a stand-in for each server and puts its address into the configuration.
fn start_servers(plan: &SitePlan) -> Result<(Box<str>, Vec<SiteServer>), Box<str>> {
    let values = Values::from([("fleet".into(), plan.fleet.clone())]);
    let config = accept(&manifest(1, &values), &values).map_err(|f| f[0].to_string())?;
    let mut servers = Vec::new();
    let mut addresses = BTreeMap::new();
    for (id, server) in &config.servers {
        let service = &config.services[&server.service];
        let model = service.cost == CostKind::Reported;
        let (standin, running) = if model {
            let engine = Engine::new(plan.model);
            let running = serve("127.0.0.1:0", engine.endpoint());
            (Standin::Engine(engine), running)
        } else {
            let plain = Plain::new(plan.work);
            let running = serve("127.0.0.1:0", plain.endpoint());
            (Standin::Plain(plain), running)
        };
        let running = running.map_err(|e| e.to_string())?;
        addresses.insert(server.name.clone(), running.address);
        servers.push(SiteServer {
            id: *id,
            slots: server.slots,
            standin,
            _running: running,
        });
    }
    Ok((rewrite(&plan.fleet, &addresses), servers))
}

fn rewrite(text: &str, addresses: &BTreeMap<Box<str>, SocketAddr>) -> Box<str> {
    let mut current = None;
    let mut out = String::new();
    for line in text.lines() {
        if let Some(header) = line.trim().strip_prefix('[') {
            let name = header.trim_end_matches(']').strip_prefix("server ");
            current = name.and_then(|n| addresses.get(n.trim()));
        }
        match current {
            Some(address) if line.trim().starts_with("address") => {
                out.push_str("address = ");
                out.push_str(&address.to_string());
            }
            _ => out.push_str(line),
        }
        out.push('\n');
    }
    out.into()
}

fn prepare(
    plan: &SitePlan,
    dir: &Path,
    platform: SocketAddr,
    number: usize,
) -> Result<Router, Box<str>> {
    let (domain, region) = &plan.domains[number % plan.domains.len()];
    let name = format!("r{}", number + 1);
    let (http, peer) = free_ports()?;
    let listed = Listed {
        name: name.as_str().into(),
        domain: domain.clone(),
        region: region.clone(),
        http: http.to_string().into(),
        peer: peer.to_string().into(),
        leaving: false,
    };
    let key = blake3::hash(b"hawthornmill demo").to_hex();
    let settings = format!(
        "[instance]\nname = {name}\ndomain = {domain}\nregion = {region}\nhttp = {http}\n\
         peer = {peer}\n\n[platform]\naddress = {platform}\n\n[peers]\nkey = {key}\n\n\
         [scheduling]\n{}\n{}",
        plan.scheduling, plan.extra
    );
    let config = dir.join(format!("{name}.ini"));
    std::fs::write(&config, settings).map_err(|e| e.to_string())?;
    Ok(Router {
        listed,
        config,
        log: dir.join(format!("{name}.log")),
        child: None,
    })
}

/// The last line of a router's log that is no metric, span or usage line.
fn log_end(router: &Router) -> String {
    let log = std::fs::read_to_string(&router.log).unwrap_or_default();
    let line = log.lines().rfind(|l| !l.contains("\"kind\":"));
    format!(
        "{}: {}",
        router.listed.name,
        line.unwrap_or("nothing logged")
    )
}

/// Ports for routers, below those that the kernel gives to outgoing connections: a router that starts
/// anew would otherwise find its port taken by a connection of any process on the machine.
const PORTS: std::ops::Range<u32> = 10_000..32_000;
/// Distance between the first ports of two processes with consecutive ids.
const STRIDE: u32 = 977;

/// Ports that this process has handed out.
static HANDED: AtomicU32 = AtomicU32::new(0);

/// Two ports that were free a moment ago, for TCP and UDP alike.
fn free_ports() -> Result<(SocketAddr, SocketAddr), Box<str>> {
    Ok((free_port()?, free_port()?))
}

/// A free port that this process has not handed out before.
///
/// Routers bind their ports some time after these were chosen, so two sites of one process that draw
/// at random now and then get the same one; each process counts up from a place of its own instead.
fn free_port() -> Result<SocketAddr, Box<str>> {
    let count = PORTS.end - PORTS.start;
    let first = std::process::id().wrapping_mul(STRIDE);
    for _ in 0..count {
        let number = first.wrapping_add(HANDED.fetch_add(1, Ordering::Relaxed));
        let port = (PORTS.start + number % count) as u16;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return Ok(address);
        }
    }
    Err("no free port".into())
}

fn client() -> reqwest::Client {
    reqwest::Client::builder()
        .timeout(Duration::from_secs(1))
        .no_proxy()
        .build()
        .expect("the HTTP client needs no files and no network to start")
}

async fn status(client: &reqwest::Client, address: &str) -> Option<serde_json::Value> {
    let url = format!("http://{address}/v1/status");
    let bytes = client.get(url).send().await.ok()?.bytes().await.ok()?;
    serde_json::from_slice(&bytes).ok()
}
