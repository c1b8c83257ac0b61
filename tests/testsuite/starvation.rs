//! No account starves: single callers, confined accounts and callers in a small region.

use hawthornmill::blackboard::Tuning;
use hawthornmill::ident::AccountId;
use hawthornmill_test_support::loads::{
    Backlog, Drive, EIGHT, LARGEST_COST, MEAN_COST, WIDE_SLOTS, gap_bound, wide_fleet,
};
use hawthornmill_test_support::steps::Steps;

/// Longest wait of a single caller under flood, in costs of the largest call.
const MAX_WAIT_COSTS: f64 = 2.0;

const fn backlog(account: &'static str, share: f64, entries: &'static [usize]) -> Backlog {
    Backlog {
        account,
        share,
        entries,
        depth: 50,
    }
}

/// Two accounts flood every instance, and a third sends one request at a time. If it queued behind
/// the floods instead of being served next, it would wait for most of their backlog.
#[test]
fn single_caller_wait_is_bounded_under_flood() {
    let mut steps = Steps::new(&wide_fleet(), EIGHT, &Tuning::default());
    let all = &[0, 1, 2, 3, 4, 5, 6, 7];
    let mut drive = Drive::new(&[backlog("flood", 1.0, all), backlog("large", 4.0, all)]);
    drive.run(&mut steps, 5000);
    let from = steps.ended.len();

    for _ in 0..200 {
        let sent = steps.arrive(4, "lab-1", "drafting", 60, 600_000);
        assert_eq!(sent, Ok(()));
        drive.run(&mut steps, 100);
    }

    let lab = AccountId::of("lab-1");
    let mut waits: Vec<u64> = steps.ended[from..]
        .iter()
        .filter(|e| e.account == lab)
        .map(|e| e.waited)
        .collect();
    waits.sort_unstable();
    let most = waits.last().copied().unwrap_or(u64::MAX);
    println!(
        "{} waits: median {} most {most} ms",
        waits.len(),
        waits[waits.len() / 2]
    );
    assert!(waits.len() >= 195, "{} answered", waits.len());
    assert!((most as f64) < MAX_WAIT_COSTS * LARGEST_COST, "{most} ms");
}

/// An account is confined to one small server for a long time and may then use all servers. If its
/// whole lag were repaid, the other accounts would wait until it had caught up.
#[test]
fn lag_beyond_the_cap_is_not_repaid() {
    let confined = wide_fleet()
        .server("tiny", "drafting", "a", 1, "tiny")
        .account("lab-7", "confined")
        .grant("tiny", "size in (small,confined)", "pool=tiny", 1.0);
    let opened = confined
        .clone()
        .grant("all", "size=confined", "pool=std", 1.0);
    let mut steps = Steps::new(&confined, EIGHT, &Tuning::default());
    let accounts = [
        backlog("flood", 1.0, &[0, 1, 2]),
        backlog("lab-1", 1.0, &[3]),
        backlog("lab-7", 1.0, &[6]),
    ];
    let mut drive = Drive::new(&accounts);
    drive.run(&mut steps, 25_000);
    let lag = steps.got("lab-1") - steps.got("lab-7");
    for board in &mut steps.boards {
        let (config, manifest, values) = opened.accept(2);
        assert!(board.install(config, manifest, values));
    }
    let before = (steps.got("lab-1"), steps.got("lab-7"));

    drive.run(&mut steps, 10_000);

    let ahead = (steps.got("lab-7") - before.1) - (steps.got("lab-1") - before.0);
    // 17 slots in the largest pool, including the small server.
    let cap = Tuning::default().lag_cap * MEAN_COST * 17.0;
    println!("lag {lag:.0}, made up {ahead:.0}, cap {cap:.0}");
    assert!(lag > 10.0 * cap, "lag {lag}");
    assert!(ahead < cap, "{ahead} of {lag}");
}

/// All callers of one account are in the small region, and all servers are busy. Without calls to the
/// other region the account would get a share of its region only; their traffic must stay bounded.
#[test]
fn account_in_a_small_region_gets_its_share_of_the_fleet() {
    let accounts = [
        backlog("large", 4.0, &[0, 1]),
        backlog("lab-1", 1.0, &[2]),
        backlog("lab-2", 1.0, &[5]),
        backlog("lab-3", 1.0, &[2, 5]),
        backlog("lab-4", 1.0, &[2, 5]),
        backlog("lab-5", 1.0, &[2, 5]),
        backlog("lab-6", 1.0, &[2, 5]),
    ];
    let run = |tuning: &Tuning| {
        let mut steps = Steps::new(&wide_fleet(), EIGHT, tuning);
        let mut drive = Drive::new(&accounts);
        drive.run(&mut steps, 4000);
        drive.mark(&steps);
        let bytes = cross_region_bytes(&steps);
        drive.run(&mut steps, 20_000);
        (
            drive.gap,
            (cross_region_bytes(&steps) - bytes) as f64 / 20.0,
        )
    };

    let free = run(&Tuning::default());
    let bounded = run(&Tuning {
        cross_bytes: 1000.0,
        ..Tuning::default()
    });

    let bound = gap_bound(WIDE_SLOTS, 750, 1.0);
    println!("gap and bytes/s: free {free:.0?}, bounded {bounded:.0?}, bound {bound:.0}");
    assert!(free.0 < bound, "gap {}", free.0);
    // Only the two instances of the south send calls to the other region; some are granted before
    // the budget runs out.
    assert!(bounded.1 < 2.2 * 1000.0, "{} bytes a second", bounded.1);
}

fn cross_region_bytes(steps: &Steps) -> u64 {
    steps
        .boards
        .iter()
        .map(|b| b.cross_region.total_bytes)
        .sum()
}
