//! Why calls waited, as an entry tells it.

use std::time::Duration;

use hawthornmill::board::Tuning;
use hawthornmill::ident::{AccountId, ServiceId};
use hawthornmill::usage::{Reason, WaitTracker};
use hawthornmill_test_support::procs::small_fleet;
use hawthornmill_test_support::steps::Steps;

const PLACES: &[(&str, &str)] = &[("a", "north"), ("b", "north"), ("c", "south")];

/// Runs `ms` milliseconds with calls of `account` waiting at instance 0, which looks for causes.
fn run(steps: &mut Steps, causes: &mut WaitTracker, account: &str, ms: u64) {
    steps.run(ms, |s| {
        while s.waiting(0, account, "drafting") < 20 {
            let accepted = s.arrive(0, account, "drafting", 50, 60_000);
            assert_eq!(accepted, Ok(()));
        }
        let board = &s.boards[0];
        causes.observe(board, board.ticked);
    });
}

/// Why a call that came 100 ms before the last tick waited until then.
fn why(steps: &Steps, causes: &WaitTracker, account: &str) -> Reason {
    let board = &steps.boards[0];
    let ids = (ServiceId::of("drafting"), AccountId::of(account));
    let arrived = board.ticked.checked_sub(Duration::from_millis(100));
    let arrived = arrived.expect("the steps began seconds ago");
    causes.reason(board, ids.0, ids.1, arrived, board.ticked)
}

/// Every slot is taken by the account's own calls; no fault must be named.
#[test]
fn taken_slots_are_no_fault() {
    let mut steps = Steps::new(&small_fleet(), PLACES, &Tuning::default());
    let mut causes = WaitTracker::default();

    run(&mut steps, &mut causes, "big", 4000);

    assert_eq!(why(&steps, &causes, "big"), Reason::SlotsBusy);
}

/// The other instance of the region dies and its pool's owner with it. Calls that waited meanwhile
/// must say so, and calls after the change must not.
#[test]
fn an_owner_change_is_named_while_it_lasts() {
    let mut steps = Steps::new(&small_fleet(), PLACES, &Tuning::default());
    let mut causes = WaitTracker::default();
    run(&mut steps, &mut causes, "big", 4000);

    steps.dead.insert(1);
    run(&mut steps, &mut causes, "big", 700);
    let meanwhile = why(&steps, &causes, "big");
    run(&mut steps, &mut causes, "big", 6000);
    let after = why(&steps, &causes, "big");

    assert_eq!((meanwhile, after), (Reason::OwnerChange, Reason::SlotsBusy));
}

/// The link between the regions is cut. The account may use servers on both sides, so calls that
/// wait on this side must name the cut and not the owner that is lost behind it.
#[test]
fn a_region_cut_is_named_before_the_owners_behind_it() {
    let mut steps = Steps::new(&small_fleet(), PLACES, &Tuning::default());
    let mut causes = WaitTracker::default();
    run(&mut steps, &mut causes, "big", 4000);

    for pair in [(0, 2), (2, 0), (1, 2), (2, 1)] {
        steps.cut.insert(pair);
    }
    run(&mut steps, &mut causes, "big", 4000);

    assert_eq!(why(&steps, &causes, "big"), Reason::RegionUnreachable);
}

/// An account may use one small server while its neighbours idle. The parent must read that its
/// selector held it back, not that capacity was short.
#[test]
fn a_confined_account_is_told_apart_from_a_full_fleet() {
    let fleet = small_fleet()
        .server("narrow-a", "drafting", "a", 1, "narrow")
        .account("narrow", "narrow")
        .grant("narrow", "size=narrow", "pool=narrow", 1.0);
    let mut steps = Steps::new(&fleet, PLACES, &Tuning::default());
    let mut causes = WaitTracker::default();

    run(&mut steps, &mut causes, "narrow", 4000);

    assert_eq!(why(&steps, &causes, "narrow"), Reason::SelectorLimit);
}

/// The process was stopped and woke up; what waited until its view was confirmed must say so.
#[test]
fn a_pause_is_named_before_all_else() {
    let mut steps = Steps::new(&small_fleet(), PLACES, &Tuning::default());
    let mut causes = WaitTracker::default();
    run(&mut steps, &mut causes, "big", 4000);

    let board = &mut steps.boards[0];
    board.stale = Some(board.ticked);
    causes.observe(board, board.ticked);

    assert_eq!(why(&steps, &causes, "big"), Reason::ViewUnconfirmed);
}
