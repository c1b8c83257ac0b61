//! Connections that are rejected while the process is overloaded.

use std::io::ErrorKind;
use std::time::{Duration, Instant};

use hawthornmill::ident::AccountId;
use hawthornmill::limits::load_shedding::LoadShedder;
use hawthornmill::limits::sender_shares::{Sender, SenderShares};
use nix::sys::signal::Signal;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::fleet::{Fleet, Response, request, send_request, wait_until};
use crate::block_on;

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

const TICK_MS: u64 = 100;

/// The lateness of a process whose timers fired `late` milliseconds late, and the time of the last one.
fn measure_lateness(late: &[u64]) -> (LoadShedder, Instant) {
    let mut now = Instant::now();
    let mut shedder = LoadShedder::default();
    shedder.tick(now, now + millis(TICK_MS));
    for late in late {
        now += millis(TICK_MS + late);
        shedder.tick(now, now + millis(TICK_MS));
    }
    (shedder, now)
}

fn rejection_share(late: &[u64]) -> f64 {
    let (shedder, now) = measure_lateness(late);
    shedder.shed_ratio(now)
}

/// Failure: an overloaded process takes its own lateness for slow servers, and sends them nothing.
#[test]
fn own_lateness_is_not_taken_for_slow_servers() {
    let behind = |late: &[u64]| {
        let (shedder, now) = measure_lateness(late);
        shedder.is_overloaded(now)
    };

    assert!(behind(&[30]));
    assert!(!behind(&[5]));
    assert!(!behind(&[30, 0, 0]));
}

/// Failure: a process whose timers are on time rejects connections.
#[test]
fn punctual_process_rejects_nothing() {
    let parts = [0, 2, 14].map(|late| rejection_share(&[late]));

    assert!(parts.iter().all(|p| *p <= 0.0), "{parts:?}");
}

/// Failure: an overloaded process rejects too few connections to recover, or all of them.
///
/// The clients of one client account send ten times as many requests to one instance as its CPU can read.
/// Each step of a request waits for those of all others, so each request is late by far more than one step.
#[test]
fn rejections_grow_with_lateness_but_never_reach_all() {
    let parts = [20, 40, 60, 5_000].map(|late| rejection_share(&[late]));

    assert!(parts.is_sorted(), "{parts:?}");
    assert!(parts[0] > 0.0 && parts[1] > 0.3, "{parts:?}");
    assert!(parts[3] < 1.0, "{parts:?}");
}

/// Failure: a process that was paused for a second rejects connections for seconds although it is idle.
#[test]
fn rejections_end_within_half_a_second_of_a_pause() {
    let after = [vec![1_000, 0], vec![1_000, 0, 0, 0, 0]].map(|late| rejection_share(&late));

    assert!(after[0] > 0.5, "{after:?}");
    assert!(after[1] <= 0.01, "{after:?}");
}

/// Failure: a process that was paused for a second accepts the backlog before its overdue timer fires.
#[test]
fn overdue_timer_counts_before_it_fires() {
    let (shedder, now) = measure_lateness(&[0]);

    let (due, overdue) = (
        shedder.shed_ratio(now + millis(TICK_MS)),
        shedder.shed_ratio(now + millis(1_000)),
    );

    assert!(due <= 0.0, "{due}");
    assert!(overdue > 0.9, "{overdue}");
}

/// Returns the fraction of each sender's connections that is closed in a second; each opens so many a second, evenly.
fn closed_fractions(rates: &[(Sender, u32)], shed_ratio: f64) -> Vec<f64> {
    let (mut shares, start) = (SenderShares::default(), Instant::now());
    let mut closed = vec![0.0; rates.len()];
    for tick in 0..1_000 {
        for (index, (sender, rate)) in rates.iter().enumerate() {
            let due = |tick: u32| tick * rate / 1_000;
            for _ in due(tick)..due(tick + 1) {
                closed[index] += shares.record(*sender, shed_ratio, start + millis(tick.into()));
            }
        }
    }
    let rates = rates.iter().map(|(_, rate)| f64::from(*rate));
    closed.iter().zip(rates).map(|(c, rate)| c / rate).collect()
}

/// Failure: an account that floods an instance shuts out the others that come in there.
#[test]
fn flood_of_one_account_closes_no_connections_of_others() {
    let account = |id| Sender::Account(AccountId(id));
    let rates = [(account(1), 5_000), (account(2), 100), (account(3), 3_000)];

    let closed = closed_fractions(&rates, 0.9);
    let alone = closed_fractions(&rates[..1], 0.9);

    let kept = 5_000.0 * (1.0 - closed[0]) + 3_000.0 * (1.0 - closed[2]) + 100.0;
    assert!(closed[1] < 0.05, "{closed:?}");
    assert!((kept / 810.0 - 1.0).abs() < 0.1, "{kept} of 8,100 are kept");
    assert!((5.0 * (1.0 - closed[0]) / (3.0 * (1.0 - closed[2])) - 1.0).abs() < 0.1);
    assert!((alone[0] - 0.9).abs() < 0.01, "{alone:?}");
}

/// Sends requests made by `text` while the process is paused; returns the responses.
async fn send_while_paused(
    fleet: &Fleet,
    count: usize,
    text: fn(usize) -> String,
) -> Vec<Option<Response>> {
    let paused = &fleet.gateways[0];
    paused.signal(Signal::SIGSTOP);
    tokio::time::sleep(millis(500)).await;
    let requests = send_all(fleet, count, text);
    let (responses, ()) = tokio::join!(requests, async {
        tokio::time::sleep(millis(300)).await;
        paused.signal(Signal::SIGCONT);
    });
    let served = responses.iter().flatten().filter(|a| a.status() == 200);
    let rejected = count - served.count();
    wait_until("all rejected connections are logged", || async {
        let (answered, unread) = rejected_counts(fleet);
        answered + unread == rejected
    })
    .await;
    responses
}

/// Counts the requests that were logged as rejected, and the connections closed unread.
fn rejected_counts(fleet: &Fleet) -> (usize, usize) {
    let lines = fleet.gateways[0].logged("turned_away");
    let answered = lines
        .iter()
        .filter_map(|l| l["requests"].as_array().map(Vec::len));
    let unread = lines.iter().filter_map(|l| l["unread"].as_u64());
    (answered.sum(), unread.sum::<u64>() as usize)
}

async fn send_all(fleet: &Fleet, count: usize, text: fn(usize) -> String) -> Vec<Option<Response>> {
    let front = fleet.gateways[0].front();
    let tasks = (0..count).map(|n| {
        let text = text(n);
        tokio::spawn(async move { send_request(front, text.as_bytes()).await })
    });
    let tasks: Vec<_> = tasks.collect();
    let mut responses = Vec::new();
    for task in tasks {
        responses.push(task.await.expect("a client's task ends"));
    }
    responses
}

/// Failure: a process that got no CPU time for half a second serves its whole backlog late.
///
/// The requests must not run twice. Those that it can't handle in time are rejected at once with a time
/// to retry. None of them runs, and the log names each.
#[test]
fn overload_does_not_delay_rejections() {
    block_on(async {
        let fleet = Fleet::start(1, 4).await;
        let responses = send_while_paused(&fleet, 60, |n| {
            request("POST", "/once/", &format!("id-{n}"), "")
        })
        .await;

        let status = |code: u16| {
            responses
                .iter()
                .flatten()
                .filter(move |a| a.status() == code)
        };
        let (ran, rejected) = (status(200).count(), status(503).count());
        assert!(rejected > 0, "{ran} of 60 were served, none was rejected");
        assert!(status(503).all(|a| a.field("retry-after").is_some()));
        assert_eq!(fleet.runs(), ran, "rejected requests have not run");
        assert_eq!(
            rejected_counts(&fleet).0,
            rejected,
            "the log names each rejected request"
        );
    });
}

/// Failure: an overloaded process reads a request and closes the connection without a response.
///
/// The client can't tell then whether a request that must not run twice ran. The bodies here are chunked,
/// so the process can't tell whether a request is complete without parsing it. It must close the connection
/// unread: the reset shows the client that it may try another instance.
#[test]
fn overload_reads_no_request_that_it_does_not_answer() {
    block_on(async {
        let fleet = Fleet::start(1, 4).await;
        let paused = &fleet.gateways[0];
        let head = request("POST", "/once/", "long", "Transfer-Encoding: chunked\r\n");
        let text = head + "2\r\nhi\r\n0\r\n\r\n";

        paused.signal(Signal::SIGSTOP);
        let mut clients = Vec::new();
        for _ in 0..40 {
            let mut client = TcpStream::connect(paused.front())
                .await
                .expect("the listen backlog has room");
            client
                .write_all(text.as_bytes())
                .await
                .expect("the send buffer has room");
            clients.push(client);
        }
        tokio::time::sleep(millis(500)).await;
        paused.signal(Signal::SIGCONT);
        let (mut answered, mut reset) = (0, 0);
        for mut client in clients {
            match client.read_u8().await {
                Ok(_begin) => answered += 1,
                Err(error) if error.kind() == ErrorKind::ConnectionReset => reset += 1,
                Err(error) => panic!("closed after reading, without a response: {error}"),
            }
        }

        assert!(reset > 0, "{answered} of 40 were answered");
        assert_eq!(fleet.runs(), answered);
    });
}

/// Failure: the tool does not find a rejected request, whose log line names all those rejected in 0.1 s.
#[test]
fn rejected_request_is_found_in_the_log() {
    let log = "{\"event\":\"start\",\"instance\":\"g0\",\"time_ms\":1}\n\
        {\"event\":\"turned_away\",\"late_ms\":120,\"requests\":[\"a\",\"b\"],\"time_ms\":5}\n";

    let part =
        hawthornmill_tools::request::read("g0", log, "b").expect("the log has a line for it");
    let none = hawthornmill_tools::request::read("g0", log, "c");

    assert_eq!(&*part.steps[0].event, "turned_away");
    assert!(part.missing.is_empty(), "{:?}", part.missing);
    assert!(none.is_none());
}
