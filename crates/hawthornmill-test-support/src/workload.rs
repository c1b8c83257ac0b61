//! Generates unevenly distributed calls, and measures the service gap between accounts.

use hawthornmill::ident::mix;

use crate::fleet::FleetBuilder;
use crate::simulation::Simulation;

/// Failure domain and region of eight instances.
pub const EIGHT_INSTANCES: &[(&str, &str)] = &[
    ("a", "north"),
    ("b", "north"),
    ("c", "south"),
    ("a", "north"),
    ("b", "north"),
    ("c", "south"),
    ("a", "north"),
    ("b", "north"),
];

/// Costs of successive calls; their mean is [`MEAN_COST_MS`].
const COSTS_MS: [u64; 5] = [40, 160, 100, 20, 180];
/// Mean cost of the calls of [`Backlog`].
pub const MEAN_COST_MS: f64 = 100.0;
/// Maximum cost of the calls of [`Backlog`].
pub const MAX_COST_MS: f64 = 180.0;

/// Slots of all servers of [`wide_fleet`].
pub const WIDE_FLEET_SLOTS: u16 = 48;

/// Returns a fleet with one service on six servers of eight slots each.
///
/// Its accounts are `large` with share 4, and `flood` and `lab-1` to `lab-6` with share 1. Servers
/// `draft-c-1` and `draft-c-2` are in region south, the others in north.
pub fn wide_fleet() -> FleetBuilder {
    wide_fleet_with_region("south")
}

/// Like [`wide_fleet`], with failure domain `c` in `region`.
pub fn wide_fleet_with_region(region: &str) -> FleetBuilder {
    let mut fleet = FleetBuilder::new()
        .domain("a", "north")
        .domain("b", "north")
        .domain("c", region)
        .service("drafting");
    for domain in ["a", "b", "c"] {
        for number in 1..=2 {
            let name = format!("draft-{domain}-{number}");
            fleet = fleet.server(&name, "drafting", domain, 8, "std");
        }
    }
    fleet = fleet.account("flood", "small").account("large", "large");
    for number in 1..=6 {
        fleet = fleet.account(&format!("lab-{number}"), "small");
    }
    fleet.grant("large", "size=large", "pool=std", 4.0).grant(
        "small",
        "size=small",
        "pool=std",
        1.0,
    )
}

/// An account that always has calls waiting at some instances.
#[derive(Debug, Clone, Copy)]
pub struct Backlog {
    /// Name of the account.
    pub account: &'static str,
    /// Its share on every server.
    pub share: f64,
    /// Instances at which its calls arrive.
    pub entries: &'static [usize],
    /// Number of calls kept waiting at each of them.
    pub depth: usize,
}

/// Keeps backlogs filled and measures the service gap between their accounts.
#[derive(Debug, Clone)]
pub struct LoadDriver {
    backlogs: Vec<Backlog>,
    calls: usize,
    base_costs: Vec<f64>,
    /// Largest difference since [`LoadDriver::reset_gap`] between the service of two accounts, each
    /// divided by its share.
    pub gap: f64,
}

impl LoadDriver {
    /// Creates a driver of `backlogs`.
    pub fn new(backlogs: &[Backlog]) -> Self {
        Self {
            backlogs: backlogs.to_vec(),
            calls: 0,
            base_costs: vec![0.0; backlogs.len()],
            gap: 0.0,
        }
    }

    /// Restarts the measurement of the gap.
    pub fn reset_gap(&mut self, sim: &Simulation) {
        self.base_costs = self
            .backlogs
            .iter()
            .map(|b| sim.received_cost(b.account))
            .collect();
        self.gap = 0.0;
    }

    /// Runs for `millis`; instances that are dead or paused receive no calls.
    pub fn run(&mut self, sim: &mut Simulation, millis: u64) {
        sim.run(millis, |s| {
            self.fill_queues(s);
            self.update_gap(s);
        });
    }

    fn fill_queues(&mut self, sim: &mut Simulation) {
        for backlog in &self.backlogs {
            for entry in backlog.entries {
                if sim.dead.contains(entry) || sim.paused.contains(entry) {
                    continue;
                }
                while sim.queue_length(*entry, backlog.account, "drafting") < backlog.depth {
                    let cost = COSTS_MS[self.calls % COSTS_MS.len()];
                    self.calls += 1;
                    let accepted =
                        sim.submit_call(*entry, backlog.account, "drafting", cost, 600_000);
                    assert_eq!(accepted, Ok(()), "{}", backlog.account);
                }
            }
        }
    }

    fn update_gap(&mut self, sim: &Simulation) {
        let services = self
            .backlogs
            .iter()
            .zip(&self.base_costs)
            .map(|(b, base)| (sim.received_cost(b.account) - base) / b.share);
        let (least, most) = services.fold((f64::INFINITY, f64::NEG_INFINITY), |(l, m), s| {
            (l.min(s), m.max(s))
        });
        self.gap = self.gap.max(most - least);
    }
}

/// Returns the bound on the service gap that is derived in docs/design/0010-fair-shares.md.
///
/// `staleness_ms` is the age of the oldest counter; each slot serves one unit of cost
/// per millisecond.
pub fn gap_bound(slots: u16, staleness_ms: u64, least_share: f64) -> f64 {
    f64::from(slots) * (MAX_COST_MS + staleness_ms as f64) / least_share
}

/// Pseudorandom arrivals at a mean rate, independent of the outcome of earlier calls.
///
/// The sequence is the same in every run.
#[derive(Debug, Clone)]
pub struct ArrivalProcess {
    state: u64,
    next_ms: f64,
    /// Mean number of calls per millisecond.
    pub calls_per_ms: f64,
}

impl ArrivalProcess {
    /// Returns arrivals at a mean rate of `calls_per_ms`.
    pub fn new(calls_per_ms: f64) -> Self {
        Self {
            state: 1,
            next_ms: 0.0,
            calls_per_ms,
        }
    }

    /// Returns the calls that arrive until `now_ms`.
    ///
    /// Each has a random number, which chooses the caller, and a cost.
    pub fn due(&mut self, now_ms: u64) -> Vec<(usize, u64)> {
        let mut due = Vec::new();
        while self.next_ms <= now_ms as f64 {
            let random = self.next_random();
            let cost = COSTS_MS[random % COSTS_MS.len()];
            let interval = -((self.next_random() % 9999 + 1) as f64 / 10_000.0).ln();
            self.next_ms += interval / self.calls_per_ms;
            due.push((random / COSTS_MS.len(), cost));
        }
        due
    }

    fn next_random(&mut self) -> usize {
        self.state = mix(self.state);
        (self.state >> 20) as usize
    }
}
