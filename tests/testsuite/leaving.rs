//! Leaving backend servers and instances get no new work.

use std::time::{Duration, Instant};

use hawthornmill::blackboard::{Blackboard, Tuning};
use hawthornmill::ident::{Incarnation, InstanceId, ServerId};
use hawthornmill::membership::LivenessUpdate;
use hawthornmill::pools::{entry, owner};
use hawthornmill::wire::message::RosterEntry;
use hawthornmill_lab::demo::site::Site;
use hawthornmill_lab::standin::platform::Mode;
use hawthornmill_test_support::fleet::FleetText;
use hawthornmill_test_support::procs::{send, small_fleet, small_site};
use hawthornmill_test_support::steps::{Steps, contact};

use crate::{ROUTER, block_on};

const PLACES: &[(&str, &str)] = &[("a", "north"), ("a", "north"), ("b", "north")];

fn keep_waiting(steps: &mut Steps) {
    for entry in 0..PLACES.len() {
        while steps.waiting(entry, "big", "drafting") < 8 {
            let accepted = steps.arrive(entry, "big", "drafting", 50, 60_000);
            assert_eq!(accepted, Ok(()));
        }
    }
}

/// Calls that `server` runs, according to the entries.
fn running(steps: &Steps, server: &str) -> usize {
    let id = ServerId::of(server);
    let sessions = steps.boards.iter().flat_map(|b| b.sessions.values());
    sessions
        .flat_map(|l| l.held.values())
        .filter(|slot| slot.busy && slot.server == id)
        .count()
}

/// The small fleet with `draft-a` leaving.
fn without_draft_a() -> FleetText {
    let text = small_fleet().text();
    let text = text.replacen("slots = 4", "slots = 4\nleaving = yes", 1);
    FleetText::new().line(&text)
}

/// Entries learn that a server is leaving before the owner, which keeps granting its slots. If the
/// entries used the grants, the server would get new work; if they returned them without marking the
/// server, the owner would grant them again at once, in an endless loop of messages.
#[test]
fn entries_return_grants_for_a_leaving_server() {
    let mut steps = Steps::new(&small_fleet(), PLACES, &Tuning::default());
    steps.run(6000, keep_waiting);
    let pool = steps.boards[0].sessions.iter().find(|(id, _)| {
        let server = ServerId::of("draft-a");
        steps.boards[0].config.pools[id].servers.contains(&server)
    });
    let owner = pool
        .and_then(|(_, l)| l.owner)
        .map(|(id, _)| steps.index(id));
    let newer = without_draft_a();
    for index in (0..PLACES.len()).filter(|n| Some(*n) != owner) {
        let (config, manifest, values) = newer.accept(2);
        steps.boards[index].install(config, manifest, values);
    }
    let own = owner.expect("the pool has an owner");

    steps.run(100, keep_waiting);
    let sent = steps.sent["grants"];
    steps.run(1000, keep_waiting);

    let others = (0..PLACES.len()).filter(|n| *n != own);
    let id = ServerId::of("draft-a");
    let held = others
        .flat_map(|n| steps.boards[n].sessions.values())
        .flat_map(|l| l.held.values())
        .filter(|s| s.server == id)
        .count();
    assert_eq!(held, 0);
    let grants = steps.sent["grants"] - sent;
    assert!(grants < 150, "{grants} grants in a second");
}

/// A server announces in its load report, or in a response, that it is leaving before the
/// configuration does. Calls sent there after that would be aborted when it stops.
#[test]
fn leaving_state_announced_by_the_server_is_sufficient() {
    for by_answer in [false, true] {
        let mut steps = Steps::new(&small_fleet(), PLACES, &Tuning::default());
        steps.run(6000, keep_waiting);
        assert!(running(&steps, "draft-a") > 0);
        let server = ServerId::of("draft-a");

        let now = steps.instant();
        for board in &mut steps.boards {
            let pools: Vec<_> = board.owned_pools.keys().copied().collect();
            if by_answer {
                entry::on_server_leaving(board, server, now);
                continue;
            }
            for pool in pools {
                owner::on_leaving_reading(board, pool, server, true);
            }
        }
        steps.run(60, keep_waiting);
        let mut seen = 0;
        steps.run(2000, |s| {
            keep_waiting(s);
            seen += running(s, "draft-a");
        });

        assert_eq!(seen, 0, "by answer: {by_answer}");
    }
}

/// The platform lists an instance as leaving; later it restarts under the same name while the lagging
/// list still shows the old state. A late heartbeat or a timeout must not make a leaving instance
/// available again, but the new run must be available once the list is updated.
#[test]
fn leaving_state_of_an_instance_holds_until_replaced() {
    let now = Instant::now();
    let own = contact("i0", "a", "north");
    let mut board = Blackboard::new(own, Incarnation(1), Tuning::default(), now);
    let other = contact("i1", "a", "north");
    let id = InstanceId::of("i1");
    let list = |leaving, board: &mut Blackboard| {
        let contact = other.clone();
        board.roster.replace(vec![RosterEntry { contact, leaving }]);
        board.members.apply_roster(&board.roster, now);
    };
    let update = |run, millis: u64| LivenessUpdate {
        from: id,
        incarnation: Incarnation(run),
        leaving: false,
        revision: 1,
        interval: Duration::from_millis(100),
        stable_tenths: (millis / 100) as u8,
        direct: true,
    };
    let at = |millis| now + Duration::from_millis(millis);

    list(false, &mut board);
    board.members.record_liveness(update(1, 0), now);
    let before = board.members.is_available(id);
    list(true, &mut board);
    board.members.expire_silent(at(2000));
    board.members.record_liveness(update(1, 2000), at(2000));
    let returned = board.members.is_available(id);
    board.members.record_liveness(update(2, 0), at(3000));
    let lagging = board.members.is_available(id);
    list(false, &mut board);

    assert_eq!((before, returned, lagging), (true, false, false));
    assert!(board.members.is_available(id));
}

/// Number of calls that a server has run so far.
fn runs(site: &Site, server: &str) -> usize {
    let id = ServerId::of(server);
    let found = site.servers.iter().find(|s| s.id == id);
    let book = found.map(|s| s.standin.ledger().lock().runs.len());
    book.expect("the server is there")
}

async fn call(site: &Site, router: usize, count: usize) {
    let client = reqwest::Client::new();
    for number in 0..count {
        let tag = format!("small-1/{number}-{:?}", Instant::now());
        let body = serde_json::json!({"tag": tag, "tokens": 2}).to_string();
        let http = &site.routers[router].listed.http;
        let request = client
            .post(format!("http://{http}/v1/call/drafting/generate"))
            .header("authorization", "Bearer token-small-1")
            .body(body);
        let answer = send(request).await.expect("the call is answered");
        assert_eq!(answer.status, 200);
    }
}

/// A server announces in its load report that it is leaving while the platform is down and one router
/// is paused. If the state were only taken from the configuration, or the paused router resumed with
/// its stale view, the server would get new work.
#[test]
fn a_leaving_server_gets_no_new_work_while_the_platform_is_down() {
    block_on(async {
        let site = small_site(ROUTER, 3).await;
        for router in 0..3 {
            call(&site, router, 10).await;
        }
        assert!(runs(&site, "draft-a") > 0);
        site.platform.set_mode(Mode::Down);
        site.routers[1].signal(nix::sys::signal::Signal::SIGSTOP);
        let leaving = site
            .servers
            .iter()
            .find(|s| s.id == ServerId::of("draft-a"));
        let leaving = leaving.expect("the server is there");
        leaving.standin.ledger().set_leaving(true);

        tokio::time::sleep(Duration::from_secs(3)).await;
        let before = runs(&site, "draft-a");
        site.routers[1].signal(nix::sys::signal::Signal::SIGCONT);
        for router in [1, 0, 2] {
            call(&site, router, 20).await;
        }

        assert_eq!(runs(&site, "draft-a"), before);
        site.stop().await;
    });
}

/// The platform lists a router as leaving while it keeps serving. Only the readers of a failure domain
/// read the list; routers that didn't get it from them would still give out its address.
#[test]
fn leaving_instance_is_not_returned_to_callers() {
    block_on(async {
        let site = small_site(ROUTER, 8).await;
        let mut list: Vec<_> = site.routers.iter().map(|r| r.listed.clone()).collect();
        list[3].leaving = true;
        site.platform.set_instances(list);

        tokio::time::sleep(Duration::from_secs(3)).await;

        let client = reqwest::Client::new();
        for router in &site.routers {
            let url = format!("http://{}/v1/addresses", router.listed.http);
            let answer = send(client.get(url)).await.expect("it answers");
            let named = answer.json()["addresses"].to_string();
            assert!(!named.contains(&*site.routers[3].listed.http), "{named}");
        }
        site.stop().await;
    });
}
