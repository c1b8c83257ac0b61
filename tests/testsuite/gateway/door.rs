//! Connections that are turned away while the process is behind.

use std::io::ErrorKind;
use std::time::{Duration, Instant};

use hawthornmill::limits::load_shedding::LoadShedder;
use nix::sys::signal::Signal;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::fleet::{Answer, Fleet, call, request, until};
use crate::block_on;

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

const TICK: u64 = 100;

/// A process whose timers came so many milliseconds late one after the other, and the time after that.
fn strained(late: &[u64]) -> (LoadShedder, Instant) {
    let mut now = Instant::now();
    let mut strain = LoadShedder::default();
    strain.tick(now, now + millis(TICK));
    for late in late {
        now += millis(TICK + late);
        strain.tick(now, now + millis(TICK));
    }
    (strain, now)
}

fn part(late: &[u64]) -> f64 {
    let (strain, now) = strained(late);
    strain.shed_ratio(now)
}

/// Failure: a process that is behind takes its own lateness for slow servers, and sends them nothing.
#[test]
fn a_process_that_is_behind_knows_that_its_times_tell_of_itself() {
    let behind = |late: &[u64]| {
        let (strain, now) = strained(late);
        strain.is_overloaded(now)
    };

    assert!(behind(&[30]));
    assert!(!behind(&[5]));
    assert!(!behind(&[30, 0, 0]));
}

#[test]
fn a_process_in_time_turns_nobody_away() {
    let parts = [0, 2, 14].map(|late| part(&[late]));

    assert!(parts.iter().all(|p| *p <= 0.0), "{parts:?}");
}

/// Load pattern: an account's callers come in by one instance, ten times as many as its processor can
/// read. Each step of a request waits behind those of all others, so each request is late, and by far more
/// than one step.
#[test]
fn the_later_a_process_is_the_more_it_turns_away_but_never_all() {
    let parts = [20, 40, 60, 5_000].map(|late| part(&[late]));

    assert!(parts.is_sorted(), "{parts:?}");
    assert!(parts[0] > 0.0 && parts[1] > 0.3, "{parts:?}");
    assert!(parts[3] < 1.0, "{parts:?}");
}

/// A machine freezes for a second and goes on. Its callers were late once; turned away for seconds after,
/// they would lose an instance that has nothing to do.
#[test]
fn after_a_pause_a_process_takes_all_again_within_half_a_second() {
    let after = [vec![1_000, 0], vec![1_000, 0, 0, 0, 0]].map(|late| part(&late));

    assert!(after[0] > 0.5, "{after:?}");
    assert!(after[1] <= 0.01, "{after:?}");
}

/// A process wakes after a second. What came meanwhile is read before its timer has run.
#[test]
fn a_timer_that_should_have_come_counts_before_it_does() {
    let (strain, now) = strained(&[0]);

    let (due, overdue) = (
        strain.shed_ratio(now + millis(TICK)),
        strain.shed_ratio(now + millis(1_000)),
    );

    assert!(due <= 0.0, "{due}");
    assert!(overdue > 0.9, "{overdue}");
}

/// What callers get who come in while the process is paused, each with the request that `text` makes.
async fn ask_paused(fleet: &Fleet, count: usize, text: fn(usize) -> String) -> Vec<Option<Answer>> {
    let paused = &fleet.gateways[0];
    paused.signal(Signal::SIGSTOP);
    tokio::time::sleep(millis(500)).await;
    let asked = ask(fleet, count, text);
    let (answers, ()) = tokio::join!(asked, async {
        tokio::time::sleep(millis(300)).await;
        paused.signal(Signal::SIGCONT);
    });
    let served = answers.iter().flatten().filter(|a| a.status() == 200);
    let away = count - served.count();
    until("the log tells of all that were turned away", || async {
        let (told, unread) = turned_away(fleet);
        told + unread == away
    })
    .await;
    answers
}

/// Requests that the log names as turned away, and connections that were closed unread.
fn turned_away(fleet: &Fleet) -> (usize, usize) {
    let lines = fleet.gateways[0].logged("turned_away");
    let told = lines
        .iter()
        .filter_map(|l| l["requests"].as_array().map(Vec::len));
    let unread = lines.iter().filter_map(|l| l["unread"].as_u64());
    (told.sum(), unread.sum::<u64>() as usize)
}

async fn ask(fleet: &Fleet, count: usize, text: fn(usize) -> String) -> Vec<Option<Answer>> {
    let front = fleet.gateways[0].front();
    let tasks = (0..count).map(|n| {
        let text = text(n);
        tokio::spawn(async move { call(front, text.as_bytes()).await })
    });
    let tasks: Vec<_> = tasks.collect();
    let mut answers = Vec::new();
    for task in tasks {
        answers.push(task.await.expect("a caller's task ends"));
    }
    answers
}

/// A process gets no processor for half a second while requests that must not run twice come in. Read one
/// after the other, all would be late, and new callers would wait behind them. Those that it can't read in
/// time are told so at once, with a time to come back; none of them has run, and the log names each.
#[test]
fn a_process_that_is_behind_tells_new_callers_when_to_come_back() {
    block_on(async {
        let fleet = Fleet::start(1, 4).await;
        let answers = ask_paused(&fleet, 60, |n| {
            request("POST", "/once/", &format!("id-{n}"), "")
        })
        .await;

        let status = |code: u16| answers.iter().flatten().filter(move |a| a.status() == code);
        let (ran, told) = (status(200).count(), status(503).count());
        assert!(told > 0, "{ran} of 60 were answered, nobody was told");
        assert!(status(503).all(|a| a.field("retry-after").is_some()));
        assert_eq!(fleet.runs(), ran, "what was turned away has not run");
        assert_eq!(turned_away(&fleet).0, told, "each is named in the log");
    });
}

/// The same, and the requests have bodies whose end the process would have to look for. Read and then
/// closed without an answer, a request that must not run twice would be lost to its caller, who can't tell
/// whether it ran. Closed with its bytes unread, which a reset shows, it may go to another instance.
#[test]
fn what_is_not_told_when_to_come_back_is_not_read() {
    block_on(async {
        let fleet = Fleet::start(1, 4).await;
        let paused = &fleet.gateways[0];
        let head = request("POST", "/once/", "long", "Transfer-Encoding: chunked\r\n");
        let text = head + "2\r\nhi\r\n0\r\n\r\n";

        paused.signal(Signal::SIGSTOP);
        let mut callers = Vec::new();
        for _ in 0..40 {
            let mut caller = TcpStream::connect(paused.front())
                .await
                .expect("the queue of connections has room");
            caller
                .write_all(text.as_bytes())
                .await
                .expect("the socket has room");
            callers.push(caller);
        }
        tokio::time::sleep(millis(500)).await;
        paused.signal(Signal::SIGCONT);
        let (mut answered, mut reset) = (0, 0);
        for mut caller in callers {
            match caller.read_u8().await {
                Ok(_begin) => answered += 1,
                Err(error) if error.kind() == ErrorKind::ConnectionReset => reset += 1,
                Err(error) => panic!("read and closed without an answer: {error}"),
            }
        }

        assert!(reset > 0, "{answered} of 40 were answered");
        assert_eq!(fleet.runs(), answered);
    });
}

/// Somebody asks why a request was turned away. The log has one line for all of a tenth of a second.
#[test]
fn a_request_that_was_turned_away_has_a_story() {
    let log = "{\"event\":\"start\",\"instance\":\"g0\",\"time_ms\":1}\n\
        {\"event\":\"turned_away\",\"late_ms\":120,\"requests\":[\"a\",\"b\"],\"time_ms\":5}\n";

    let part = hawthornmill_tools::request::read("g0", log, "b").expect("it has a line");
    let none = hawthornmill_tools::request::read("g0", log, "c");

    assert_eq!(&*part.steps[0].event, "turned_away");
    assert!(part.missing.is_empty(), "{:?}", part.missing);
    assert!(none.is_none());
}
