//! Shares and slots over several instances, driven in a fixed order.

use hawthornmill::board::Tuning;
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

/// Two accounts wait all the time, one with share 4 and one with share 1, at different instances.
/// Each must get its share of all servers, wherever its callers happen to connect.
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

/// Requests wait at one instance only, and the slots of its region must be used all the same.
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
