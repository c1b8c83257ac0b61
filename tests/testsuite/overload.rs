//! More work than the servers can run, driven in a fixed order.

use hawthornmill::blackboard::{Blackboard, Tuning};
use hawthornmill::codes::Code;
use hawthornmill::ident::{AccountId, ServiceId};
use hawthornmill::pools::entry;
use hawthornmill_test_support::procs::small_fleet;
use hawthornmill_test_support::steps::Steps;

const PLACES: &[(&str, &str)] = &[("a", "north"), ("b", "north"), ("c", "south")];
const ACCOUNTS: &[&str] = &["big", "small-1", "small-2"];
/// Milliseconds that a call holds its slot.
const COST: u64 = 50;
/// Milliseconds that a caller waits.
const DEADLINE: u64 = 500;
/// Slots of the fleet's drafting servers.
const SLOTS: u64 = 12;

fn backlog(board: &Blackboard) -> (usize, usize) {
    let total = board.backlogs.total();
    (total.count, total.bytes)
}

/// Callers send three times what the servers can run and give up after ten service times. With a
/// queue in the order of arrival every slot goes to a call that is about to be given up on, so the
/// servers are busy and hardly any caller gets its answer in time.
#[test]
fn threefold_overload_leaves_the_goodput_and_bounds_the_backlog() {
    let mut steps = Steps::new(&small_fleet(), PLACES, &Tuning::default());
    let mut turn = 0;
    let mut offer = |s: &mut Steps| {
        // 18 calls in 25 ms: three times 12 slots / 50 ms.
        if s.now * 18 % 25 < 18 {
            let (entry, account) = (turn % 3, ACCOUNTS[turn / 3 % 3]);
            turn += 1;
            let _refused = s.arrive(entry, account, "drafting", COST, DEADLINE);
        }
    };
    steps.run(3000, &mut offer);
    steps.ended.clear();
    let mut most = (0, 0);

    steps.run(6000, |s| {
        offer(s);
        for (count, bytes) in s.boards.iter().map(backlog) {
            most = (most.0.max(count), most.1.max(bytes));
        }
    });

    let good = |e: &&hawthornmill_test_support::steps::Ended| {
        e.code.is_none() && e.waited + COST <= DEADLINE
    };
    let goodput =
        (steps.ended.iter().filter(good).count() as u64 * COST) as f64 / (6000 * SLOTS) as f64;
    assert!(goodput > 0.97, "goodput {goodput}");
    assert!(most.0 < 60, "most that waited at one instance: {most:?}");
}

/// One account that may queue more than the instance holds floods it. The calls of another account
/// must be let in all the same: the flood makes room, not those who come after it.
#[test]
fn a_flood_leaves_room_for_the_other_accounts() {
    let fleet = small_fleet().account_with("flood", "large", "max_queue = 100000");
    let tuning = Tuning {
        max_waiting: 300,
        ..Tuning::default()
    };
    let mut steps = Steps::new(&fleet, PLACES, &tuning);
    while steps.arrive(0, "flood", "booking", COST, 60_000).is_ok() {}

    let mine = (0..100).map(|_| steps.arrive(0, "small-1", "booking", COST, 60_000));

    assert!(mine.into_iter().all(|r| r.is_ok()));
    let (count, _) = backlog(&steps.boards[0]);
    assert_eq!(count, 300);
    steps.run(1, |_| {});
    let refused = |e: &&hawthornmill_test_support::steps::Ended| {
        e.account == AccountId::of("flood") && e.code == Some(Code::InstanceFull)
    };
    assert_eq!(steps.ended.iter().filter(refused).count(), 100);
}

/// Seconds after which a caller of `account` that is refused now is told to come back.
fn after(steps: &Steps, account: &str) -> f64 {
    let (service, account) = (ServiceId::of("drafting"), AccountId::of(account));
    let board = &steps.boards[0];
    entry::retry_after(board, service, account, 0.0, steps.instant()).as_secs_f64()
}

/// Two accounts have queues of the same length, and one is served four times as fast. The one that
/// is served slowly must be told to come back later, or its callers come back for nothing.
#[test]
fn the_time_to_come_back_follows_the_account_s_own_rate() {
    let mut steps = Steps::new(&small_fleet(), PLACES, &Tuning::default());
    let fill = |s: &mut Steps| {
        for account in ["big", "small-1"] {
            while s.waiting(0, account, "drafting") < 40 {
                assert_eq!(s.arrive(0, account, "drafting", COST, 60_000), Ok(()));
            }
        }
    };
    steps.run(4000, fill);

    // Slots come in bursts here, as all calls cost the same. One look may fall on the end of a burst
    // and tell too short a time, so the time is averaged over several.
    let (mut big, mut small) = (0.0, 0.0);
    steps.run(4 * COST, |s| {
        fill(s);
        big += after(s, "big");
        small += after(s, "small-1");
    });

    let ratio = small / big;
    assert!((3.0..5.0).contains(&ratio), "ratio {ratio}");
}

/// A caller gives up while its call waits behind others. It must hear so at the next tick, and its
/// place must be free; if it were noticed only when the call's turn comes, callers would hang.
#[test]
fn a_call_that_is_given_up_on_is_answered_at_once() {
    let mut steps = Steps::new(&small_fleet(), PLACES, &Tuning::default());
    steps.run(1000, |_| {});
    for _ in 0..60 {
        let accepted = steps.arrive(0, "big", "drafting", 5000, 200);
        assert_eq!(accepted, Ok(()));
    }

    steps.run(230, |_| {});

    let late: Vec<u64> = steps
        .ended
        .iter()
        .filter(|e| e.code == Some(Code::DeadlinePassed))
        .map(|e| e.waited)
        .collect();
    assert!(late.len() >= 40, "{} were given up", late.len());
    assert!(late.iter().all(|w| (200..=220).contains(w)), "{late:?}");
    assert_eq!(backlog(&steps.boards[0]), (0, 0));
}
