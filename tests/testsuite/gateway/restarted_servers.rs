//! Servers that start again under their id and address with another software version.

use std::time::Duration;

use hawthornmill_gateway::http::head::RequestHead;
use serde_json::json;

use super::fleet::{Client, Fleet, MAX_TURNED_AWAY, Response, request, wait_until};
use super::scripted_server::{Behavior, Server};
use super::streams::last_event_id;
use crate::block_on;

/// What the data of events ends with that servers of the later version write.
const LATER: &str = "/later";
/// Streams per test; one server can run all of them.
const STREAMS: usize = 6;
/// Times that a caller takes its stream up; all callers end well within the time in which a server must register.
const MAX_TAKE_UPS: usize = 3;
/// Pause between two of them.
const TAKE_UP_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which a server is down.
const DOWN_TIME: Duration = Duration::from_millis(300);
/// Time in which streams get some events.
const RUN_TIME: Duration = Duration::from_millis(150);
/// Times after which servers say which run they are: all streams ask before the first answer, and some begin before the last.
const REPORT_PAUSES: [Duration; 2] = [Duration::from_millis(50), Duration::from_millis(150)];

/// Time after which a server that took no connection is chosen again.
const REST_TIME: Duration = Duration::from_millis(1_500);

/// Sends events for three seconds, or three more of a stream that is resumed.
fn stream_long(head: &RequestHead) -> Behavior {
    match last_event_id(head) {
        0 => Behavior::Stream(300),
        after => Behavior::Stream(after + 3),
    }
}

async fn start(gateways: usize, servers: usize) -> Fleet {
    let fleet = Fleet::start(gateways, servers).await;
    for gateway in &fleet.gateways {
        wait_until("the gateway hears the others", || async {
            let text = gateway.metrics().await;
            text.contains(&format!("hawthornmill_mates {}", gateways - 1))
        })
        .await;
    }
    for server in &fleet.servers {
        server.set_default(stream_long);
        server.reset_on_crash();
    }
    fleet
}

/// Returns a path of its own for each stream, so that the end of a server under one of them puts no other in quarantine.
fn path(number: usize) -> String {
    format!("/stream/{number}")
}

/// Returns the request that begins a stream.
fn begin(number: usize, suffix: &str) -> String {
    request("GET", &path(number), &format!("a-{number}{suffix}"), "")
}

/// Waits until a stream has begun; sends it again while the gateway turns it away because its process is late.
async fn wait_for_begin(fleet: &Fleet, client: &mut Client, text: &str) {
    let gateway = &fleet.gateways[0];
    for _ in 0..MAX_TURNED_AWAY {
        let mut head = [0; 12];
        let _read = client.stream.peek(&mut head).await;
        if &head == b"HTTP/1.1 200" {
            return;
        }
        match client.read().await {
            Some(response) => assert!(response.is_turned_away(), "{}", response.text()),
            None => {
                wait_until("the gateway logs what it didn't read", || async {
                    let lines = gateway.logged("turned_away");
                    lines.iter().any(|l| l["unread"].as_u64() > Some(0))
                })
                .await;
            }
        }
        *client = Client::connect(gateway.front()).await;
        client.send(text.as_bytes()).await;
    }
    panic!("the gateway turns every connection away");
}

/// Begins streams at the first gateway, and waits until each has some events.
async fn begin_streams(fleet: &Fleet, suffix: &str) -> Vec<Client> {
    let mut clients = Vec::new();
    for number in 0..STREAMS {
        let mut client = Client::connect(fleet.gateways[0].front()).await;
        client.send(begin(number, suffix).as_bytes()).await;
        clients.push(client);
    }
    for (number, client) in clients.iter_mut().enumerate() {
        wait_for_begin(fleet, client, &begin(number, suffix)).await;
    }
    tokio::time::sleep(RUN_TIME).await;
    clients
}

/// Ends servers and starts them again with the later version; their entries stay.
async fn restart(servers: &[Server]) {
    for server in servers {
        server.kill();
    }
    tokio::time::sleep(DOWN_TIME).await;
    for server in servers {
        server.run_again(LATER).await;
    }
}

/// Takes up the stream of a client after event 3, again while it is refused; `None` if it always is.
async fn take_up(fleet: &Fleet, gateway: usize, number: usize) -> Option<Response> {
    for attempt in 0..MAX_TAKE_UPS {
        let fields = format!("Last-Event-Id: 3\r\nResumes: a-{number}\r\n");
        let id = format!("b-{number}-{attempt}");
        let text = request("GET", &path(number), &id, &fields);
        let response = fleet.send_admitted_to(gateway, &text).await;
        if response.status() == 200 {
            return Some(response);
        }
        tokio::time::sleep(TAKE_UP_INTERVAL).await;
    }
    None
}

async fn take_up_all(fleet: &Fleet, gateway: usize) -> Vec<Response> {
    let mut taken = Vec::new();
    for number in 0..STREAMS {
        taken.extend(take_up(fleet, gateway, number).await);
    }
    taken
}

/// Returns how many of the responses have events of the later version.
fn later_count(responses: &[Response]) -> usize {
    responses
        .iter()
        .filter(|r| r.text().contains(LATER))
        .count()
}

/// Failure: servers start again with another version, and streams that began before are taken up there.
#[test]
fn stream_is_not_taken_up_at_a_later_run_of_its_server() {
    block_on(async {
        let fleet = start(1, 2).await;
        let clients = begin_streams(&fleet, "").await;

        restart(&fleet.servers).await;
        drop(clients);
        let taken = take_up_all(&fleet, 0).await;

        assert_eq!(later_count(&taken), 0, "of {STREAMS}");
    });
}

/// Failure: the same where servers don't tell when they started.
#[test]
fn stream_is_not_taken_up_at_a_later_run_that_reports_nothing() {
    block_on(async {
        let fleet = start(1, 2).await;
        for server in &fleet.servers {
            server.hide_reports();
        }
        let clients = begin_streams(&fleet, "").await;

        restart(&fleet.servers).await;
        drop(clients);
        let taken = take_up_all(&fleet, 0).await;

        assert_eq!(later_count(&taken), 0, "of {STREAMS}");
    });
}

/// Failure: a gateway goes on with a broken answer at a server that has started again with another version.
#[test]
fn answer_does_not_go_on_at_a_later_run_of_another_server() {
    block_on(async {
        let fleet = start(1, 2).await;
        let mut clients = begin_streams(&fleet, "").await;

        restart(&fleet.servers[1..]).await;
        // A server that took no connection isn't chosen for a while.
        tokio::time::sleep(REST_TIME).await;
        fleet.servers[0].kill();
        let mut answers = Vec::new();
        for client in &mut clients {
            answers.extend(client.read().await);
        }

        assert_eq!(later_count(&answers), 0, "of {}", answers.len());
    });
}

/// Failure: a gateway that had no connection to a server sees nothing of its end, and takes its later run for the earlier one.
#[test]
fn stream_is_not_taken_up_at_a_later_run_that_another_gateway_saw_end() {
    block_on(async {
        let fleet = start(2, 2).await;
        let clients = begin_streams(&fleet, "").await;

        restart(&fleet.servers).await;
        drop(clients);
        let taken = take_up_all(&fleet, 1).await;

        assert_eq!(later_count(&taken), 0, "of {STREAMS}");
    });
}

/// Begins streams at servers that start again, takes them up after their entries have come, and returns what came; a server of
/// the earlier version is there all along.
async fn begin_before_entries(fleet: &Fleet, keeps_connections: bool) -> Vec<Response> {
    let restarted = &fleet.servers[..2];
    fleet.register(&fleet.servers[2], "draining");
    wait_until("the server is known to leave", || async {
        let lines = fleet.gateways[0].logged("registration");
        lines.iter().any(|l| l["draining"] == true)
    })
    .await;
    let mut open = begin_streams(fleet, "").await;
    if !keeps_connections {
        open.clear();
        wait_until("their connections are closed", || async {
            let ended = fleet.gateways[0].logged("ended");
            ended
                .iter()
                .filter(|l| l["outcome"] == "caller_left")
                .count()
                == STREAMS
        })
        .await;
    }
    restart(restarted).await;
    drop(open);
    tokio::time::sleep(REST_TIME).await;
    let clients = begin_streams(fleet, "-late").await;
    for server in restarted {
        fleet.write_registration(server, &json!({"version": "v2"}));
    }
    fleet.register(&fleet.servers[2], "ready");
    wait_until("the entries are known", || async {
        let lines = fleet.gateways[0].logged("registration");
        lines.iter().filter(|l| l["version"] == "v2").count() == 2
            && lines.last().is_some_and(|l| l["draining"] == false)
    })
    .await;
    drop(clients);
    let mut taken = Vec::new();
    for number in 0..STREAMS {
        let fields = format!("Last-Event-Id: 3\r\nResumes: a-{number}-late\r\n");
        let text = request("GET", &path(number), &format!("b-{number}"), &fields);
        let response = fleet.send_admitted(&text).await;
        taken.extend(Some(response).filter(|r| r.status() == 200));
    }
    taken
}

/// Failure: streams that begin at a later run of a server before its entry comes count as begun at the earlier one.
#[test]
fn stream_that_begins_before_the_entry_of_its_run_stays_at_its_version() {
    block_on(async {
        let fleet = start(1, 3).await;

        let taken = begin_before_entries(&fleet, true).await;

        assert_eq!((later_count(&taken), taken.len()), (STREAMS, STREAMS));
    });
}

/// Failure: the same at a gateway that had no connection to the servers when they ended.
#[test]
fn stream_that_begins_at_a_run_whose_start_nobody_saw_stays_at_its_version() {
    block_on(async {
        let fleet = start(1, 3).await;

        let taken = begin_before_entries(&fleet, false).await;

        assert_eq!((later_count(&taken), taken.len()), (STREAMS, STREAMS));
    });
}

/// Failure: a server is asked on several connections at once, and a stream that begins between its answers loses its version.
#[test]
fn stream_that_begins_between_two_reports_of_its_run_stays_at_its_version() {
    block_on(async {
        let fleet = start(1, 3).await;
        for server in &fleet.servers {
            server.delay_reports(&REPORT_PAUSES);
        }

        let taken = begin_before_entries(&fleet, false).await;

        assert_eq!((later_count(&taken), taken.len()), (STREAMS, STREAMS));
    });
}

/// Failure: a server fails to say once which run it is, and a restart of it that nobody saw goes unnoticed from then on.
#[test]
fn later_run_is_noticed_though_one_report_failed() {
    for status in [404, 503] {
        block_on(async {
            let fleet = start(1, 3).await;
            for server in &fleet.servers {
                server.set_default(|_| Behavior::Stream(1));
            }
            let first = fleet.send_admitted(&begin(0, "-first")).await;
            for server in &fleet.servers {
                server.set_default(stream_long);
                server.fail_report(status);
            }

            let taken = begin_before_entries(&fleet, false).await;

            assert!(first.whole);
            let expected = (STREAMS, STREAMS);
            assert_eq!((later_count(&taken), taken.len()), expected, "{status}");
        });
    }
}

/// Failure: connections break without an end of their server, and streams that began there are refused from then on.
#[test]
fn stream_goes_on_at_a_server_whose_connections_broke() {
    let late = Duration::from_secs(6);
    for (reports, hidden, pause) in [(0, false, RUN_TIME), (0, true, late), (1, true, late)] {
        block_on(async {
            let fleet = start(1, 1).await;
            fleet.servers[0].script(&vec![Behavior::Stream(1); reports]);
            for number in 1..=reports {
                let _answer = fleet.send_admitted(&begin(number, "")).await;
            }
            if hidden {
                fleet.servers[0].hide_reports();
            }
            fleet.servers[0].script(&[Behavior::BrokenStream(3)]);
            let first = fleet.send_admitted(&begin(0, "")).await;
            tokio::time::sleep(pause).await;

            let taken = take_up(&fleet, 0, 0).await;

            assert!(!first.whole);
            let is_whole = taken.is_some_and(|r| r.whole);
            assert!(is_whole, "hidden: {hidden} after {reports} reports");
        });
    }
}

/// Failure: a server is asked for its run before each stream, also over a connection whose run is known.
#[test]
fn server_is_asked_once_for_a_connection() {
    block_on(async {
        let fleet = start(1, 1).await;
        fleet.servers[0].set_default(|head| Behavior::Stream(last_event_id(head) + 3));

        let mut whole = 0;
        for number in 0..STREAMS {
            whole += usize::from(fleet.send_admitted(&begin(number, "")).await.whole);
            whole += usize::from(take_up(&fleet, 0, number).await.is_some_and(|r| r.whole));
        }

        let metrics = fleet.gateways[0].metrics().await;
        assert_eq!(whole, 2 * STREAMS);
        assert!(
            metrics.contains("hawthornmill_runs_asked_total 1\n"),
            "{metrics}"
        );
    });
}
