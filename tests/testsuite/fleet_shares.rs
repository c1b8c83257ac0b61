//! Shares and slots over several instances, simulated in a deterministic order.

use hawthornmill::blackboard::Tuning;
use hawthornmill_test_support::procs::small_fleet;
use hawthornmill_test_support::steps::Steps;

const PLACES: &[(&str, &str)] = &[("a", "north"), ("b", "north"), ("c", "south")];

/// Keeps `count` requests of `account` waiting at `entry`.
fn keep_waiting(steps: &mut Steps, entry: usize, account: &str, count: usize) {
    while steps.waiting(entry, account, "drafting") < count {
        let accepted = steps.arrive(entry, account, "drafting", 50, 60_000);
        assert_eq!(accepted, Ok(()));
    }
}

/// Two accounts with shares 4 and 1 always wait, at different instances. If shares depended on where
/// callers connect, the ratio of service would not be 4.
#[test]
fn accounts_at_different_instances_get_their_shares() {
    let mut steps = Steps::new(&small_fleet(), PLACES, &Tuning::default());

    steps.run(10_000, |s| {
        keep_waiting(s, 0, "big", 20);
        keep_waiting(s, 1, "small-1", 20);
    });

    let ratio = steps.got("big") / steps.got("small-1");
    assert!((3.5..4.5).contains(&ratio), "ratio {ratio}");
}

/// Requests wait at one instance only. If it used only the pool of its failure domain, the other
/// slots of its region would idle.
#[test]
fn slots_do_not_idle_while_a_request_waits_in_the_region() {
    let mut steps = Steps::new(&small_fleet(), PLACES, &Tuning::default());
    steps.run(2000, |s| keep_waiting(s, 0, "big", 20));
    let before = steps.busy;

    steps.run(4000, |s| keep_waiting(s, 0, "big", 20));

    let used = (steps.busy - before) as f64 / (4000.0 * 8.0);
    assert!(used > 0.94, "used {used}");
    assert!(steps.peak.values().all(|n| *n <= 4), "{:?}", steps.peak);
}

/// Slots that active owners count as used.
fn used_slots(steps: &Steps) -> u32 {
    steps
        .boards
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
    let mut steps = Steps::new(&fleet, &places, &Tuning::default());
    for late in 3..6 {
        steps.kill(late);
    }
    steps.run(3000, |s| keep_waiting(s, 0, "big", 20));
    for late in 3..6 {
        steps.restart(late, &fleet, 1);
    }

    steps.run(6000, |s| {
        keep_waiting(s, 0, "big", 20);
        keep_waiting(s, 5, "small-1", 20);
    });
    steps.run(3000, |_| {});

    assert_eq!(used_slots(&steps), 0);
}

/// An entry loses contact with the owner, switches to another one and back, which the first owner
/// doesn't notice. The entry returned the slots of its finished calls to the other owner, so the
/// first counted them as used forever: a third of all slots idled while calls waited. The calls are
/// long, so that they end while the other instance is the owner.
#[test]
fn no_slot_is_lost_when_an_entry_switches_owner_and_back() {
    let places: Vec<_> = PLACES.iter().chain(PLACES).copied().collect();
    let mut steps = Steps::new(&small_fleet(), &places, &Tuning::default());
    steps.run(4000, |_| {});
    for _ in 0..16 {
        let accepted = steps.arrive(0, "big", "drafting", 900, 60_000);
        assert_eq!(accepted, Ok(()));
    }
    steps.run(100, |_| {});

    for other in 1..6 {
        steps.cut.insert((other, 0));
    }
    steps.run(1000, |_| {});
    steps.cut.clear();
    steps.run(6000, |_| {});

    assert_eq!(used_slots(&steps), 0);
}
