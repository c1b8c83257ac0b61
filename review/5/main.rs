//! A service gets a newer software version, its route a shorter time-out, and all gateway processes are killed. Clients take
//! the streams up that broke off, as the pages tell them; no stream may be joined from two versions.

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

/// Streams, each of a client of its own; ORDER allows two that are joined.
const STREAMS: usize = 24;
const MOST_JOINED: usize = 2;
/// Time-out of the route from version 2 on.
const SHORTER_MS: u64 = 6_000;
/// Servers of the service.
const SERVERS: u8 = 18;
/// Between the begin of the streams and the release, the change of the time-out and the kill of all.
const RELEASE: Duration = Duration::from_millis(500);
const CHANGE: Duration = Duration::from_millis(3_000);
const KILL: Duration = Duration::from_millis(8_000);
/// `herd_kill`: for_s 2.0.
const DOWN: Duration = Duration::from_millis(2_000);
/// `drainMs`.
const DRAIN: Duration = Duration::from_millis(3_000);

/// Returns what came of the attempts of a stream.
fn what(stream: &Stream) -> Vec<&str> {
    stream.tries.iter().map(|(_, what)| what.as_str()).collect()
}

fn main() {
    let record = Record::create("review/5/record.txt");
    let trouble = kit::has_trouble();
    let folder = Folder::create();
    let store = Store::start(at(250, kit::STORE));
    for number in 0..SERVERS {
        start_server(&store, number, "v1", &record);
    }
    let timeout_ms = LIMIT.as_millis() as u64;
    store.put("op/config", &catalog(1, timeout_ms));
    let mut gateways: Vec<Gateway> = [(1, "a"), (2, "b"), (3, "c")]
        .map(|(n, z)| Gateway::start(&folder, n, z, store.address))
        .into();
    gateways.iter().for_each(Gateway::wait_ready);
    thread::sleep(Duration::from_secs(3));

    let fronts: Arc<[SocketAddr]> = gateways.iter().map(Gateway::front).collect();
    let begin = Instant::now();
    let clients: Vec<_> = (0..STREAMS)
        .map(|number| {
            let (fronts, record) = (Arc::clone(&fronts), record.clone());
            thread::spawn(move || Stream::new(number, fronts, Duration::ZERO, record).play())
        })
        .collect();

    wait_for(begin, RELEASE);
    for number in 0..SERVERS {
        start_server(&store, SERVERS + number, "v2", &record);
    }
    for number in 0..SERVERS {
        let address = address_of(number);
        let born = born_of(&store, number);
        store.put(
            &key_of(number),
            &entry_with(address, "draining", "v1", born, 3),
        );
    }
    let drained_at = Instant::now();
    record.line(&format!(
        "{SERVERS} servers of v2 have registered, and {SERVERS} of v1 say that they leave"
    ));
    wait_for(begin, CHANGE);
    store.put("op/config", &catalog(2, SHORTER_MS));
    record.line(&format!(
        "the operator's version 2 is confirmed: timeoutMs {timeout_ms} becomes {SHORTER_MS}"
    ));
    wait_for(drained_at, DRAIN + Duration::from_millis(100));
    for number in 0..SERVERS {
        store.delete(&key_of(number));
    }
    record.line("the entries of v1 are removed; its servers go on with what they run");
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

    let streams: Vec<Stream> = clients.into_iter().filter_map(|c| c.join().ok()).collect();
    let joined = streams.iter().filter(|s| s.versions().len() > 1).count();
    let whole = streams.iter().filter(|s| s.is_whole).count();
    for stream in &streams {
        record.line(&format!(
            "stream {}: versions {:?}, last event {}, whole {}, tries {:?}",
            stream.number,
            stream.versions(),
            stream.last,
            stream.is_whole,
            what(stream)
        ));
    }
    let begun = streams.iter().filter(|s| s.last > 0).count();
    if begun < STREAMS {
        kit::give_up(&format!("only {begun} streams began"));
    }
    record.line(&format!(
        "{joined} of {STREAMS} streams hold events of two versions; {whole} came to their end"
    ));
    let code = if joined > MOST_JOINED {
        kit::BROKEN
    } else {
        kit::HELD
    };
    record.line(&format!("exit {code}"));
    kit::finish(code)
}
