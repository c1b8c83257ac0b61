//! Reasons that an entry reports for waiting calls.

use std::time::Duration;

use hawthornmill::blackboard::Tuning;
use hawthornmill::ident::{AccountId, ServiceId};
use hawthornmill::usage::{Reason, WaitTracker};
use hawthornmill_test_support::procs::small_fleet;
use hawthornmill_test_support::steps::Steps;

const PLACES: &[(&str, &str)] = &[("a", "north"), ("b", "north"), ("c", "south")];

/// Runs `ms` milliseconds with calls of `account` waiting at instance 0, which records the reasons.
fn run(steps: &mut Steps, causes: &mut WaitTracker, account: &str, ms: u64) {
    steps.run(ms, |s| {
        while s.waiting(0, account, "drafting") < 20 {
            let accepted = s.arrive(0, account, "drafting", 50, 60_000);
            assert_eq!(accepted, Ok(()));
        }
        let board = &s.boards[0];
        causes.observe(board, board.last_tick);
    });
}

/// Why a call that arrived 100 ms before the last tick waited until then.
fn why(steps: &Steps, causes: &WaitTracker, account: &str) -> Reason {
    let board = &steps.boards[0];
    let ids = (ServiceId::of("drafting"), AccountId::of(account));
    let arrived = board.last_tick.checked_sub(Duration::from_millis(100));
    let arrived = arrived.expect("the simulation began seconds ago");
    causes.reason(board, ids.0, ids.1, arrived, board.last_tick)
}

/// All slots are used by the account's own calls, so no fault may be reported.
#[test]
fn used_slots_are_not_reported_as_a_fault() {
    let mut steps = Steps::new(&small_fleet(), PLACES, &Tuning::default());
    let mut causes = WaitTracker::default();

    run(&mut steps, &mut causes, "big", 4000);

    assert_eq!(why(&steps, &causes, "big"), Reason::SlotsBusy);
}

/// The other instance of the region, which owns a pool, dies. The change of owner must be reported for
/// calls that waited during it, and not for later ones.
#[test]
fn owner_change_is_reported_while_it_lasts() {
    let mut steps = Steps::new(&small_fleet(), PLACES, &Tuning::default());
    let mut causes = WaitTracker::default();
    run(&mut steps, &mut causes, "big", 4000);

    steps.dead.insert(1);
    run(&mut steps, &mut causes, "big", 700);
    let during = why(&steps, &causes, "big");
    run(&mut steps, &mut causes, "big", 6000);
    let after = why(&steps, &causes, "big");

    assert_eq!((during, after), (Reason::OwnerChange, Reason::SlotsBusy));
}

/// The regions are partitioned, and the account may use servers on both sides. Calls that wait on this
/// side must report the partition and not the owner that is unreachable because of it.
#[test]
fn region_partition_is_reported_before_unreachable_owners() {
    let mut steps = Steps::new(&small_fleet(), PLACES, &Tuning::default());
    let mut causes = WaitTracker::default();
    run(&mut steps, &mut causes, "big", 4000);

    for pair in [(0, 2), (2, 0), (1, 2), (2, 1)] {
        steps.cut.insert(pair);
    }
    run(&mut steps, &mut causes, "big", 4000);

    assert_eq!(why(&steps, &causes, "big"), Reason::RegionUnreachable);
}

/// An account may use one small server only while others idle. Its selector must be reported as the
/// reason, not a lack of capacity.
#[test]
fn confined_account_is_distinguished_from_a_full_fleet() {
    let fleet = small_fleet()
        .server("narrow-a", "drafting", "a", 1, "narrow")
        .account("narrow", "narrow")
        .grant("narrow", "size=narrow", "pool=narrow", 1.0);
    let mut steps = Steps::new(&fleet, PLACES, &Tuning::default());
    let mut causes = WaitTracker::default();

    run(&mut steps, &mut causes, "narrow", 4000);

    assert_eq!(why(&steps, &causes, "narrow"), Reason::SelectorLimit);
}

/// The process was paused. This must be reported for calls that waited until its view was confirmed.
#[test]
fn pause_is_reported_before_other_reasons() {
    let mut steps = Steps::new(&small_fleet(), PLACES, &Tuning::default());
    let mut causes = WaitTracker::default();
    run(&mut steps, &mut causes, "big", 4000);

    let board = &mut steps.boards[0];
    board.stale_since = Some(board.last_tick);
    causes.observe(board, board.last_tick);

    assert_eq!(why(&steps, &causes, "big"), Reason::ViewUnconfirmed);
}
