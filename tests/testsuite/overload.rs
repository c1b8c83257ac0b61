//! More load than the servers can run, simulated in a deterministic order.

use hawthornmill::blackboard::{Blackboard, Tuning};
use hawthornmill::codes::Code;
use hawthornmill::ident::{AccountId, ServiceId};
use hawthornmill::pools::entry;
use hawthornmill_test_support::procs::small_fleet;
use hawthornmill_test_support::steps::Steps;

const PLACES: &[(&str, &str)] = &[("a", "north"), ("b", "north"), ("c", "south")];
const ACCOUNTS: &[&str] = &["big", "small-1", "small-2"];
/// Time that a call holds its slot.
const COST_MS: u64 = 50;
/// Time that a caller waits.
const DEADLINE_MS: u64 = 500;
/// Slots of the fleet's drafting servers.
const SLOTS: u64 = 12;

fn backlog(board: &Blackboard) -> (usize, usize) {
    let total = board.backlogs.total();
    (total.count, total.bytes)
}

/// Callers send three times what the servers can run and time out after ten service times. With
/// queues in order of arrival every slot would go to a call that is about to time out: the servers
/// are busy, but hardly any response is in time.
#[test]
fn threefold_overload_keeps_goodput_and_bounds_the_backlog() {
    let mut steps = Steps::new(&small_fleet(), PLACES, &Tuning::default());
    let mut turn = 0;
    let mut offer = |s: &mut Steps| {
        // 18 calls in 25 ms: three times 12 slots / 50 ms.
        if s.now * 18 % 25 < 18 {
            let (entry, account) = (turn % 3, ACCOUNTS[turn / 3 % 3]);
            turn += 1;
            let _refused = s.arrive(entry, account, "drafting", COST_MS, DEADLINE_MS);
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
        e.code.is_none() && e.waited + COST_MS <= DEADLINE_MS
    };
    let goodput =
        (steps.ended.iter().filter(good).count() as u64 * COST_MS) as f64 / (6000 * SLOTS) as f64;
    assert!(goodput > 0.97, "goodput {goodput}");
    assert!(most.0 < 60, "most that waited at one instance: {most:?}");
}

/// An account may queue more calls than the instance holds, and floods it. If the instance rejected
/// new calls instead of evicting those of the flood, other accounts would not be admitted.
#[test]
fn a_flood_leaves_room_for_the_other_accounts() {
    let fleet = small_fleet().account_with("flood", "large", "max_queue = 100000");
    let tuning = Tuning {
        max_waiting: 300,
        ..Tuning::default()
    };
    let mut steps = Steps::new(&fleet, PLACES, &tuning);
    while steps.arrive(0, "flood", "booking", COST_MS, 60_000).is_ok() {}

    let mine = (0..100).map(|_| steps.arrive(0, "small-1", "booking", COST_MS, 60_000));

    assert!(mine.into_iter().all(|r| r.is_ok()));
    let (count, _) = backlog(&steps.boards[0]);
    assert_eq!(count, 300);
    steps.run(1, |_| {});
    let refused = |e: &&hawthornmill_test_support::steps::Ended| {
        e.account == AccountId::of("flood") && e.code == Some(Code::InstanceFull)
    };
    assert_eq!(steps.ended.iter().filter(refused).count(), 100);
}

/// Seconds after which a caller of `account` that is rejected now should retry.
fn retry_after_seconds(steps: &Steps, account: &str) -> f64 {
    let (service, account) = (ServiceId::of("drafting"), AccountId::of(account));
    let board = &steps.boards[0];
    entry::retry_after(board, service, account, 0.0, steps.instant()).as_secs_f64()
}

/// Two accounts have queues of the same length, but one is served four times as fast. If both got the
/// same retry time, callers of the slower one would retry in vain.
#[test]
fn retry_after_follows_the_rate_of_the_account() {
    let mut steps = Steps::new(&small_fleet(), PLACES, &Tuning::default());
    let fill = |s: &mut Steps| {
        for account in ["big", "small-1"] {
            while s.waiting(0, account, "drafting") < 40 {
                assert_eq!(s.arrive(0, account, "drafting", COST_MS, 60_000), Ok(()));
            }
        }
    };
    steps.run(4000, fill);

    // All calls cost the same, so slots are granted in bursts. A single sample at the end of a burst
    // would be too low, so the time is averaged over several.
    let (mut big, mut small) = (0.0, 0.0);
    steps.run(4 * COST_MS, |s| {
        fill(s);
        big += retry_after_seconds(s, "big");
        small += retry_after_seconds(s, "small-1");
    });

    let ratio = small / big;
    assert!((3.0..5.0).contains(&ratio), "ratio {ratio}");
}

/// The deadline of a call passes while it waits behind others. If that were noticed only when a slot
/// is free for the call, callers would hang and the queue would stay full.
#[test]
fn expired_call_is_rejected_at_once() {
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
    assert!(late.len() >= 40, "{} expired", late.len());
    assert!(late.iter().all(|w| (200..=220).contains(w)), "{late:?}");
    assert_eq!(backlog(&steps.boards[0]), (0, 0));
}
