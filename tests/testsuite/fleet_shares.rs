//! Shares and slots over several instances, simulated in a deterministic order.

use hawthornmill::blackboard::Tuning;
use hawthornmill_test_support::procs::small_fleet;
use hawthornmill_test_support::simulation::Simulation;

const PLACES: &[(&str, &str)] = &[("a", "north"), ("b", "north"), ("c", "south")];

/// Keeps `count` requests of `account` waiting at `entry`.
fn keep_waiting(sim: &mut Simulation, entry: usize, account: &str, count: usize) {
    while sim.queue_length(entry, account, "drafting") < count {
        let accepted = sim.submit_call(entry, account, "drafting", 50, 60_000);
        assert_eq!(accepted, Ok(()));
    }
}

/// Two accounts with shares 4 and 1 always wait, at different instances. If shares depended on where
/// callers connect, the ratio of service would not be 4.
#[test]
fn accounts_at_different_instances_get_their_shares() {
    let mut sim = Simulation::new(&small_fleet(), PLACES, &Tuning::default());

    sim.run(10_000, |s| {
        keep_waiting(s, 0, "big", 20);
        keep_waiting(s, 1, "small-1", 20);
    });

    let ratio = sim.received_cost("big") / sim.received_cost("small-1");
    assert!((3.5..4.5).contains(&ratio), "ratio {ratio}");
}

/// Requests wait at one instance only. If it used only the pool of its failure domain, the other
/// slots of its region would idle.
#[test]
fn slots_do_not_idle_while_a_request_waits_in_the_region() {
    let mut sim = Simulation::new(&small_fleet(), PLACES, &Tuning::default());
    sim.run(2000, |s| keep_waiting(s, 0, "big", 20));
    let before = sim.busy_ms;

    sim.run(4000, |s| keep_waiting(s, 0, "big", 20));

    let used = (sim.busy_ms - before) as f64 / (4000.0 * 8.0);
    assert!(used > 0.94, "used {used}");
    assert!(
        sim.peak_running.values().all(|n| *n <= 4),
        "{:?}",
        sim.peak_running
    );
}

/// Slots that active owners count as used.
fn used_slots(sim: &Simulation) -> u32 {
    sim.boards
        .iter()
        .flat_map(|b| b.owned_pools.values())
        .filter(|o| o.active)
        .flat_map(|o| o.servers.values())
        .map(|s| u32::from(s.used))
        .sum()
}

/// Owners change while calls run, since instances that start late are preferred for some pools once
/// they are stable. A slot that an owner counts as used but no entry holds would idle forever.
#[test]
fn no_slot_is_lost_when_owners_change() {
    let places: Vec<_> = PLACES.iter().chain(PLACES).copied().collect();
    let fleet = small_fleet();
    let mut sim = Simulation::new(&fleet, &places, &Tuning::default());
    for late in 3..6 {
        sim.kill(late);
    }
    sim.run(3000, |s| keep_waiting(s, 0, "big", 20));
    for late in 3..6 {
        sim.restart(late, &fleet, 1);
    }

    sim.run(6000, |s| {
        keep_waiting(s, 0, "big", 20);
        keep_waiting(s, 5, "small-1", 20);
    });
    sim.run(3000, |_| {});

    assert_eq!(used_slots(&sim), 0);
}

/// An entry loses contact with the owner, switches to another one and back, which the first owner
/// doesn't notice. The entry returned the slots of its finished calls to the other owner, so the
/// first counted them as used forever: a third of all slots idled while calls waited. The calls are
/// long, so that they end while the other instance is the owner.
#[test]
fn no_slot_is_lost_when_an_entry_switches_owner_and_back() {
    let places: Vec<_> = PLACES.iter().chain(PLACES).copied().collect();
    let mut sim = Simulation::new(&small_fleet(), &places, &Tuning::default());
    sim.run(4000, |_| {});
    for _ in 0..16 {
        let accepted = sim.submit_call(0, "big", "drafting", 900, 60_000);
        assert_eq!(accepted, Ok(()));
    }
    sim.run(100, |_| {});

    for other in 1..6 {
        sim.broken_links.insert((other, 0));
    }
    sim.run(1000, |_| {});
    sim.broken_links.clear();
    sim.run(6000, |_| {});

    assert_eq!(used_slots(&sim), 0);
}
