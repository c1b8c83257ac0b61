//! Samples what the stand-ins and the load tool see while a run goes on.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hawthornmill::ident::{ServerId, ServiceId};
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

use super::site::{Site, Standin};
use crate::load::Watcher;
use crate::load::run::Pair;
use crate::standin::engine::Engine;
use crate::standin::plain::Plain;

const EVERY: Duration = Duration::from_millis(20);

/// One look at the whole site.
#[derive(Debug, Clone)]
pub struct Sample {
    /// Seconds since the sampler started.
    pub at: f64,
    /// Requests that run, by service.
    pub running: BTreeMap<Box<str>, u32>,
    /// Slots, by service.
    pub slots: BTreeMap<Box<str>, u32>,
    /// Slots that are free, by service.
    pub free: BTreeMap<Box<str>, u32>,
    /// Request-seconds run so far, by service.
    pub busy: BTreeMap<Box<str>, f64>,
    /// Cost so far.
    pub cost: BTreeMap<Pair, f64>,
    /// Cost of all calls sent so far.
    pub offered: BTreeMap<Pair, f64>,
    /// Calls without a first byte.
    pub waiting: BTreeMap<Pair, i64>,
}

enum Handle {
    Engine(Arc<Engine>),
    Plain(Arc<Plain>),
}

struct Watched {
    service: Box<str>,
    slots: u16,
    handle: Handle,
}

/// A running sampler.
#[derive(Debug)]
pub struct Sampler {
    stop: oneshot::Sender<()>,
    task: JoinHandle<Vec<Sample>>,
}

impl Sampler {
    /// Starts to sample `site` and `watcher`.
    pub fn start(site: &Site, watcher: &Arc<Watcher>) -> Self {
        let watched = site
            .servers
            .iter()
            .map(|s| watched(site, s.id, s.slots, &s.standin));
        let watched: Vec<Watched> = watched.collect();
        let watcher = Arc::clone(watcher);
        let (stop, mut stopped) = oneshot::channel();
        let task = tokio::spawn(async move {
            let start = Instant::now();
            let mut samples = Vec::new();
            while stopped.try_recv().is_err() {
                samples.push(look(&watched, &watcher, start));
                tokio::time::sleep(EVERY).await;
            }
            samples.push(look(&watched, &watcher, start));
            samples
        });
        Self { stop, task }
    }

    /// Stops and returns the samples.
    pub async fn stop(self) -> Vec<Sample> {
        // The task may have ended with its runtime; then there is nobody to tell.
        let _told = self.stop.send(());
        self.task.await.unwrap_or_default()
    }
}

fn watched(site: &Site, id: ServerId, slots: u16, standin: &Standin) -> Watched {
    let service: ServiceId = site.config.servers[&id].service;
    Watched {
        service: site.config.services[&service].name.clone(),
        slots,
        handle: match standin {
            Standin::Engine(engine) => Handle::Engine(Arc::clone(engine)),
            Standin::Plain(plain) => Handle::Plain(Arc::clone(plain)),
        },
    }
}

fn look(servers: &[Watched], watcher: &Watcher, start: Instant) -> Sample {
    let mut sample = Sample {
        at: start.elapsed().as_secs_f64(),
        running: BTreeMap::new(),
        slots: BTreeMap::new(),
        free: BTreeMap::new(),
        busy: BTreeMap::new(),
        cost: BTreeMap::new(),
        offered: watcher.offered(),
        waiting: watcher.waiting(),
    };
    for server in servers {
        let book = match &server.handle {
            Handle::Engine(engine) => engine.ledger.lock(),
            Handle::Plain(plain) => plain.ledger.lock(),
        };
        let name = &server.service;
        let slots = u32::from(server.slots);
        *sample.running.entry(name.clone()).or_default() += book.running;
        *sample.slots.entry(name.clone()).or_default() += slots;
        *sample.free.entry(name.clone()).or_default() += slots.saturating_sub(book.running);
        *sample.busy.entry(name.clone()).or_default() += book.busy;
        for (account, cost) in &book.cost {
            *sample
                .cost
                .entry((name.clone(), account.clone()))
                .or_default() += cost;
        }
    }
    sample
}
