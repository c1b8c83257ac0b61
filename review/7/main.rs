//! A release is under way, and all gateway processes are killed at once. Clients take the streams up that broke off, as the
//! pages tell them, while servers of both versions serve.

#[path = "../common-2/kit.rs"]
mod kit;
#[path = "../common-2/streams.rs"]
mod streams;

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use kit::{Folder, Gateway, Record, Store, at};
use streams::{
    LIMIT, Stream, address_of, born_of, catalog, entry_with, key_of, start_server, wait_for,
};

/// Streams that are taken up, and new ones beside them. LOST asks for 12 or more that are taken up.
const STREAMS: usize = 24;
const LEAST: usize = 12;
/// Servers of the service, and those of them that are replaced: `release` with share 0.5, x 2.0 and gap_s 0.4.
const SERVERS: u8 = 18;
const REPLACED: u8 = 9;
const AT_A_TIME: u8 = 2;
const GAP: Duration = Duration::from_millis(400);
/// Servers that are added afterwards: `scale_out` with share 0.25.
const ADDED: u8 = 4;
/// `drainMs`.
const DRAIN: Duration = Duration::from_millis(3_000);
/// Between the begin of the streams and the kill of all.
const KILL: Duration = Duration::from_millis(5_000);
/// Time until the processes are started again.
const DOWN: Duration = Duration::from_millis(800);
/// `stableMs`: so long after their start machines are in touch.
const STABLE: Duration = Duration::from_millis(4_000);
/// Pause of a client before it comes back; it waits longer if it is told so.
const PAUSE: Duration = Duration::from_millis(1_500);

fn main() {
    let record = Record::create("review/7/record.txt");
    let trouble = kit::has_trouble();
    let folder = Folder::create();
    let store = Store::start(at(250, kit::STORE));
    for number in 0..SERVERS {
        start_server(&store, number, "v1", &record);
    }
    store.put("op/config", &catalog(1, LIMIT.as_millis() as u64));
    let mut gateways: Vec<Gateway> = [(1, "a"), (2, "b"), (3, "c")]
        .map(|(n, z)| Gateway::start(&folder, n, z, store.address))
        .into();
    gateways.iter().for_each(Gateway::wait_ready);
    thread::sleep(Duration::from_secs(3));

    let fronts: Arc<[SocketAddr]> = gateways.iter().map(Gateway::front).collect();
    let begin = Instant::now();
    let play = |first: usize| -> Vec<_> {
        let play_one = |number| {
            let (fronts, record) = (Arc::clone(&fronts), record.clone());
            thread::spawn(move || Stream::new(number, fronts, PAUSE, record).play())
        };
        (first..first + STREAMS).map(play_one).collect()
    };
    let broken_off = play(0);
    if !trouble {
        record.line("no gateway process is killed");
    }
    thread::scope(|scope| {
        scope.spawn(|| release(&store, &record, begin));
        wait_for(begin, KILL);
        if trouble {
            gateways.iter_mut().for_each(Gateway::kill);
            record.line("all gateway processes are killed");
            thread::sleep(DOWN);
            for gateway in &mut gateways {
                gateway.set_restarted();
                gateway.run();
            }
            record.line("all gateway processes are started again");
        }
    });
    let in_touch = begin + KILL + DOWN + STABLE;
    thread::sleep(in_touch.saturating_duration_since(Instant::now()));
    record.line("the machines are in touch; new streams begin beside those that are taken up");
    let new = play(STREAMS);

    let done = |clients: Vec<thread::JoinHandle<Stream>>| -> Vec<Stream> {
        clients.into_iter().filter_map(|c| c.join().ok()).collect()
    };
    let (broken_off, new) = (done(broken_off), done(new));
    for stream in broken_off.iter().chain(&new) {
        let tries: Vec<String> = stream
            .tries
            .iter()
            .map(|(sent, what)| format!("{:.1} s {what}", sent.duration_since(begin).as_secs_f64()))
            .collect();
        record.line(&format!(
            "stream {}: versions {:?}, last event {}, whole {}, tries {tries:?}",
            stream.number,
            stream.versions(),
            stream.last,
            stream.is_whole
        ));
    }
    // A stream is taken up at a machine in touch if an attempt after its first event was sent since then.
    let taken_up = |s: &&Stream| s.tries.iter().skip(1).any(|(sent, _)| *sent >= in_touch);
    let goes_on = |s: &&Stream| {
        s.tries
            .iter()
            .skip(1)
            .any(|(sent, what)| *sent >= in_touch && what.starts_with("200"))
    };
    let up: Vec<&Stream> = broken_off.iter().filter(taken_up).collect();
    let on = up.iter().copied().filter(goes_on).count();
    let begun = new
        .iter()
        .filter(|s| {
            s.tries
                .first()
                .is_some_and(|(_, what)| what.starts_with("200"))
        })
        .count();
    record.line(&format!(
        "{on} of {} streams that were taken up at machines in touch went on; {begun} of {} new ones began",
        up.len(), new.len()
    ));
    let ever = broken_off
        .iter()
        .filter(|s| {
            s.tries
                .iter()
                .skip(1)
                .any(|(_, what)| what.starts_with("200"))
        })
        .count();
    let again = broken_off.iter().filter(|s| s.tries.len() > 1).count();
    record.line(&format!(
        "{ever} of {again} went on at all, also at machines that weren't in touch yet"
    ));
    if begun < LEAST {
        kit::give_up("too few new streams began");
    }
    let share = on as f64 / up.len().max(1) as f64;
    let is_broken = up.len() >= LEAST && share < 0.5 * begun as f64 / new.len() as f64;
    let code = if is_broken { kit::BROKEN } else { kit::HELD };
    record.line(&format!("exit {code}"));
    kit::finish(code)
}

/// Replaces servers, two at a time: the new ones start first, the old ones drain and leave. Then some are added.
fn release(store: &Store, record: &Record, begin: Instant) {
    let start = Duration::from_millis(500);
    let at = |number: u8| start + GAP * u32::from(number / AT_A_TIME);
    for number in 0..REPLACED {
        wait_for(begin, at(number));
        start_server(store, SERVERS + number, "v2", record);
        let born = born_of(store, number);
        store.put(
            &key_of(number),
            &entry_with(address_of(number), "draining", "v1", born, 3),
        );
        record.line(&format!(
            "a server of v2 has registered, and i-{number} of v1 says that it leaves"
        ));
    }
    for number in 0..ADDED {
        wait_for(
            begin,
            at(REPLACED) + Duration::from_millis(100) * u32::from(number + 1),
        );
        start_server(store, SERVERS + REPLACED + number, "v2", record);
    }
    record.line(&format!("{ADDED} more servers of v2 have registered"));
    for number in 0..REPLACED {
        wait_for(begin, at(number) + DRAIN);
        store.delete(&key_of(number));
    }
    record.line(&format!(
        "the entries of {REPLACED} servers of v1 are removed; {} of v1 serve on",
        SERVERS - REPLACED
    ));
}
