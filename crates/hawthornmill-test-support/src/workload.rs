//! Callers spread unevenly over instances, and the gap between accounts that wait.

use hawthornmill::ident::mix;

use crate::fleet::FleetBuilder;
use crate::simulation::Simulation;

/// Eight instances in three failure domains and two regions.
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

/// Costs of successive calls, in milliseconds; their mean is [`MEAN_COST_MS`].
const COSTS: [u64; 5] = [40, 160, 100, 20, 180];
/// Mean cost of the calls of [`Backlog`].
pub const MEAN_COST_MS: f64 = 100.0;
/// Largest cost of the calls of [`Backlog`].
pub const MAX_COST_MS: f64 = 180.0;

/// Slots of the servers of [`wide_fleet`].
pub const WIDE_FLEET_SLOTS: u16 = 48;

/// One service on six servers of eight slots; `flood`, `large` (share 4) and `lab-1` to `lab-6`.
///
/// Servers `draft-c-1` and `draft-c-2` stand in the south, the others in the north.
pub fn wide_fleet() -> FleetBuilder {
    wide_fleet_with_region("south")
}

/// The same with failure domain `c` in `region`.
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

/// Calls of one account that wait at some instances all the time.
#[derive(Debug, Clone, Copy)]
pub struct Backlog {
    /// Account by name.
    pub account: &'static str,
    /// Its share on every server.
    pub share: f64,
    /// Instances that its callers use.
    pub entries: &'static [usize],
    /// Calls kept waiting at each of them.
    pub depth: usize,
}

/// Drives backlogs and measures the gap between their accounts.
#[derive(Debug, Clone)]
pub struct LoadDriver {
    backlogs: Vec<Backlog>,
    calls: usize,
    base: Vec<f64>,
    /// Largest difference of normalised service since [`LoadDriver::reset_gap`].
    pub gap: f64,
}

impl LoadDriver {
    /// A drive of `backlogs`.
    pub fn new(backlogs: &[Backlog]) -> Self {
        Self {
            backlogs: backlogs.to_vec(),
            calls: 0,
            base: vec![0.0; backlogs.len()],
            gap: 0.0,
        }
    }

    /// Counts the gap from now on.
    pub fn reset_gap(&mut self, sim: &Simulation) {
        self.base = self
            .backlogs
            .iter()
            .map(|b| sim.received_cost(b.account))
            .collect();
        self.gap = 0.0;
    }

    /// Lets `millis` pass; callers send nothing to instances that are dead or frozen.
    pub fn run(&mut self, sim: &mut Simulation, millis: u64) {
        sim.run(millis, |s| {
            self.send(s);
            self.measure(s);
        });
    }

    fn send(&mut self, sim: &mut Simulation) {
        for backlog in &self.backlogs {
            for entry in backlog.entries {
                if sim.dead.contains(entry) || sim.paused.contains(entry) {
                    continue;
                }
                while sim.queue_length(*entry, backlog.account, "drafting") < backlog.depth {
                    let cost = COSTS[self.calls % COSTS.len()];
                    self.calls += 1;
                    let sent = sim.submit_call(*entry, backlog.account, "drafting", cost, 600_000);
                    assert_eq!(sent, Ok(()), "{}", backlog.account);
                }
            }
        }
    }

    fn measure(&mut self, sim: &Simulation) {
        let services = self
            .backlogs
            .iter()
            .zip(&self.base)
            .map(|(b, base)| (sim.received_cost(b.account) - base) / b.share);
        let (least, most) = services.fold((f64::INFINITY, f64::NEG_INFINITY), |(l, m), s| {
            (l.min(s), m.max(s))
        });
        self.gap = self.gap.max(most - least);
    }
}

/// The bound on the gap that docs/design/0010-fair-shares.md works out.
///
/// `staleness` is the age of the oldest counter in milliseconds; each slot serves one unit of cost in
/// a millisecond.
pub fn gap_bound(slots: u16, staleness: u64, least_share: f64) -> f64 {
    f64::from(slots) * (MAX_COST_MS + staleness as f64) / least_share
}

/// Calls that arrive by a fixed sequence, whatever becomes of them.
#[derive(Debug, Clone)]
pub struct ArrivalProcess {
    state: u64,
    next: f64,
    /// Mean calls a millisecond.
    pub rate: f64,
}

impl ArrivalProcess {
    /// A arrivals with mean `rate` calls a millisecond.
    pub fn new(rate: f64) -> Self {
        Self {
            state: 1,
            next: 0.0,
            rate,
        }
    }

    /// The calls of the millisecond `now`: a number that picks the caller, and a cost.
    pub fn due(&mut self, now: u64) -> Vec<(usize, u64)> {
        let mut due = Vec::new();
        while self.next <= now as f64 {
            let pick = self.draw();
            let cost = COSTS[pick % COSTS.len()];
            let gap = -((self.draw() % 9999 + 1) as f64 / 10_000.0).ln();
            self.next += gap / self.rate;
            due.push((pick / COSTS.len(), cost));
        }
        due
    }

    fn draw(&mut self) -> usize {
        self.state = mix(self.state);
        (self.state >> 20) as usize
    }
}
