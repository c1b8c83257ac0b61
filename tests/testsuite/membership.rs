//! Owners of pools through starts, stops, pauses and cuts, driven in a fixed order.

use std::time::{Duration, Instant};

use hawthornmill::blackboard::Tuning;
use hawthornmill::ident::{DomainId, Incarnation, InstanceId, PoolId, ServiceId};
use hawthornmill::membership::{LivenessUpdate, Members};
use hawthornmill::pools::tick;
use hawthornmill::wire::message::ProbeAck;
use hawthornmill_test_support::fleet::FleetText;
use hawthornmill_test_support::procs::small_fleet;
use hawthornmill_test_support::steps::{Steps, contact};

/// Four instances in one failure domain, one in each of two others.
const PLACES: &[(&str, &str)] = &[
    ("a", "north"),
    ("a", "north"),
    ("a", "north"),
    ("a", "north"),
    ("b", "north"),
    ("c", "south"),
];
const SLOTS_OF_A: u64 = 4;

fn steps() -> Steps {
    let mut steps = Steps::new(&small_fleet(), PLACES, &Tuning::default());
    steps.run(5000, |_| {});
    steps
}

fn pool_of_a() -> PoolId {
    PoolId::of(ServiceId::of("drafting"), DomainId::of("a"))
}

/// Instances that run and grant slots of the pool in failure domain `a`.
fn owners(steps: &Steps) -> Vec<usize> {
    let now = steps.instant();
    (0..PLACES.len())
        .filter(|n| !steps.dead.contains(n) && !steps.frozen.contains(n))
        .filter(|n| {
            let owned = steps.boards[*n].owned_pools.get(&pool_of_a());
            owned.is_some_and(|o| o.active && o.ready_at.is_some_and(|r| r <= now))
        })
        .collect()
}

/// Milliseconds with no owner and with several, and how often the single owner changed.
#[derive(Debug, Default, PartialEq, Eq)]
struct Watch {
    none: u64,
    several: u64,
    changes: u64,
    last: Option<usize>,
}

impl Watch {
    fn look(&mut self, steps: &Steps) {
        match owners(steps)[..] {
            [] => self.none += 1,
            [one] => {
                self.changes += u64::from(self.last.is_some_and(|last| last != one));
                self.last = Some(one);
            }
            _ => self.several += 1,
        }
    }
}

/// Keeps requests waiting at two instances of failure domain `a` and one other.
fn load(steps: &mut Steps) {
    for entry in [0, 1, 4] {
        if steps.dead.contains(&entry) || steps.frozen.contains(&entry) {
            continue;
        }
        while steps.waiting(entry, "big", "drafting") < 8 {
            let accepted = steps.arrive(entry, "big", "drafting", 50, 60_000);
            assert_eq!(accepted, Ok(()));
        }
    }
}

/// An operator replaces the owner of a busy pool. It says that it leaves, and everything that its
/// successor needs is known; but if the successor first waits for the entries to tell it what they
/// hold, callers see a gap in which freed slots idle.
#[test]
fn a_leaving_owner_hands_its_pool_over_without_a_dip() {
    let mut steps = steps();
    steps.run(1000, load);
    let old = owners(&steps)[0];
    let before = steps.busy;
    steps.run(500, load);
    let usual = steps.busy - before;

    let me = steps.boards[old].me();
    steps.boards[old].members.set_leaving(me);
    let mut watch = Watch::default();
    let before = steps.busy;
    steps.run(500, |s| {
        load(s);
        watch.look(s);
    });

    let used = (steps.busy - before) as f64 / usual as f64;
    assert_ne!(watch.last, Some(old));
    assert!(used > 0.95, "used {used}, {watch:?}");
    assert!(watch.none <= 5 && watch.several <= 105, "{watch:?}");
    assert!(steps.peak.values().all(|n| u64::from(*n) <= SLOTS_OF_A));
}

/// The instance that the hash prefers restarts without state. Seen from itself, everybody is as new
/// as it is, so it takes its old pools at once, while all others keep the owner that took over. Two
/// owners then grant the same slots until the newcomer counts as steady everywhere.
#[test]
fn a_restarted_instance_and_the_others_agree_on_the_owner() {
    let mut steps = steps();
    let old = owners(&steps)[0];
    steps.kill(old);
    steps.run(2000, load);

    steps.restart(old, &small_fleet(), 1);
    let mut watch = Watch::default();
    steps.run(6000, |s| {
        load(s);
        watch.look(s);
    });

    assert_eq!(watch.last, Some(old), "it comes back once it is steady");
    assert_eq!(watch.changes, 1, "{watch:?}");
    assert!(watch.several <= 150 && watch.none <= 5, "{watch:?}");
}

/// A faulty instance starts, runs for two seconds and dies, again and again. If it were given its
/// pools each time, each round would cost two changes of owner and a dip.
#[test]
fn a_flapping_instance_does_not_make_ownership_flap() {
    let mut steps = steps();
    let old = owners(&steps)[0];
    steps.kill(old);
    steps.run(2000, load);
    let mut watch = Watch::default();

    for _ in 0..5 {
        steps.restart(old, &small_fleet(), 1);
        steps.run(2000, |s| {
            load(s);
            watch.look(s);
        });
        steps.kill(old);
        steps.run(1000, |s| {
            load(s);
            watch.look(s);
        });
    }

    assert_eq!(watch.changes, 0, "{watch:?}");
    assert_eq!((watch.none, watch.several), (0, 0));
}

/// The owner is cut off from its whole failure domain for four seconds, and the cut heals. It never
/// stopped, so it takes itself for steady and all others for newcomers. They have a new owner, and
/// see the one that was away as the newcomer.
#[test]
fn an_instance_that_was_cut_off_does_not_take_its_pools_back_at_once() {
    let mut steps = steps();
    let old = owners(&steps)[0];
    let rest: Vec<usize> = (0..PLACES.len()).filter(|n| *n != old).collect();
    steps.run(1000, load);
    steps.cut_between(&[old], &rest);
    steps.run(4000, load);
    assert_eq!(owners(&steps).len(), 2, "each side has an owner");

    steps.cut.clear();
    let mut watch = Watch::default();
    steps.run(2500, |s| {
        load(s);
        watch.look(s);
    });

    assert!(watch.several <= 250, "{watch:?}");
    assert_ne!(watch.last, Some(old));
    assert!(watch.none <= 5, "{watch:?}");
}

/// The owner is stopped for three seconds and woken, twice. Calls that it ran have ended, calls wait,
/// and grants from before lay in its socket. If it granted or dispatched on what it knew, slots of
/// the new owner would be given twice, and a server could run more than it has slots.
#[test]
fn a_woken_owner_does_nothing_on_its_old_view() {
    let mut steps = steps();
    let old = owners(&steps)[0];
    steps.run(1000, load);
    for _ in 0..2 {
        for _ in 0..8 {
            let accepted = steps.arrive(old, "small-1", "drafting", 50, 60_000);
            assert_eq!(accepted, Ok(()));
        }
        steps.step();
        steps.frozen.insert(old);
        steps.run(3000, load);
        steps.frozen.remove(&old);

        let waiting = steps.waiting(old, "small-1", "drafting");
        steps.step();
        let mut stale = 0;
        while steps.boards[old].stale_since.is_some() {
            assert_eq!(steps.waiting(old, "small-1", "drafting"), waiting);
            steps.step();
            stale += 1;
        }
        let mut watch = Watch::default();
        steps.run(1500, |s| {
            load(s);
            watch.look(s);
        });

        assert!(waiting > 0 && (1..10).contains(&stale), "{stale}");
        assert_eq!((watch.several, watch.none), (0, 0), "{watch:?}");
        assert_ne!(watch.last, Some(old));
        assert_eq!(steps.waiting(old, "small-1", "drafting"), 0);
        steps.run(3000, load);
    }
}

/// The only instance of a failure domain is stopped and woken. Its pool belongs to it again at once,
/// for there is no other, and its book still lists wants of before. Others granted those slots
/// meanwhile, so nothing may be granted until a peer has answered a question of after the pause; an
/// answer to an earlier one, which lay in the socket, must not count.
#[test]
fn a_lone_woken_owner_waits_for_a_fresh_answer() {
    let mut steps = steps();
    let pool = PoolId::of(ServiceId::of("drafting"), DomainId::of("b"));
    steps.run(1000, load);
    steps.frozen.insert(4);
    steps.run(3000, load);
    steps.frozen.remove(&4);
    let granted = |steps: &Steps| steps.boards[4].owned_pools[&pool].seq;
    let before = granted(&steps);

    steps.step();
    let earlier = ProbeAck {
        number: steps.boards[4].pause_count - 1,
        revision: 1,
        serving: true,
    };
    let now = steps.instant();
    tick::on_probe_ack(&mut steps.boards[4], earlier, now);
    let stale = steps.boards[4].stale_since.is_some();
    let held_back = granted(&steps);
    steps.run(1500, load);

    assert!(stale, "an early answer confirms nothing");
    assert_eq!(held_back, before);
    assert!(steps.boards[4].stale_since.is_none() && granted(&steps) > before);
}

/// While an instance is stopped, a server is taken out of use. The instance wakes, a peer confirms
/// that it is back, and waiting requests go to the server that left long ago, because the
/// confirmation said nothing of the configuration.
#[test]
fn a_woken_instance_waits_for_the_configuration_of_its_peers() {
    let mut steps = steps();
    steps.run(1000, load);
    steps.frozen.insert(0);
    steps.run(1000, load);
    let newer = leaving_fleet();
    for index in 1..PLACES.len() {
        let (config, manifest, values) = newer.accept(2);
        steps.boards[index].install(config, manifest, values);
    }
    steps.run(2000, load);
    steps.frozen.remove(&0);

    steps.run(500, load);
    let before = steps.boards[0].stale_since.is_some();
    let (config, manifest, values) = newer.accept(2);
    steps.boards[0].install(config, manifest, values);
    steps.run(100, load);

    assert!(before, "no view is confirmed that lacks a revision");
    assert!(steps.boards[0].stale_since.is_none());
}

/// The small fleet with one server of failure domain `a` leaving.
fn leaving_fleet() -> FleetText {
    let text = small_fleet().text();
    let text = text.replacen("slots = 4", "slots = 4\nleaving = yes", 1);
    FleetText::new().line(&text)
}

/// An instance that works with more and more others sends its heartbeats more seldom, and says so.
/// If the longer interval were not taken for its word, each view would count it as dead until the
/// next heartbeat, and all pools would move back and forth.
#[test]
fn longer_intervals_between_heartbeats_are_no_silence() {
    let start = Instant::now();
    let own = contact("i0", "a", "north");
    let mut members = Members::new(InstanceId::of("i0"), own, Incarnation(1), start);
    members.upsert_contact(contact("i1", "a", "north"), start);
    let mut at = Duration::ZERO;
    let mut died = 0;

    for interval in [100, 350, 350, 350, 800, 800, 800].map(Duration::from_millis) {
        let sign = LivenessUpdate {
            from: InstanceId::of("i1"),
            incarnation: Incarnation(1),
            leaving: false,
            revision: 1,
            interval,
            stable_tenths: 0,
            direct: true,
        };
        members.record_liveness(sign, start + at);
        at += interval;
        members.expire_silent(start + at);
        died += members.newly_dead.len();
        members.newly_dead.clear();
    }

    assert_eq!(died, 0);
}
