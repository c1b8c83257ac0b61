//! An operator raises the limit on bodies. Clients go on using channels that were idle meanwhile.

#[path = "../common-2/kit.rs"]
mod kit;

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use kit::{
    Conn, Folder, Gateway, Record, Store, answer, at, config, listen, registration, request, route,
};

/// Limits on bodies of the first and of the second configuration, in bytes.
const LOW: u64 = 64 << 10;
const HIGH: u64 = 1 << 20;
/// Length of the bodies that only the second one allows.
const LONG: usize = 200 << 10;
/// `configApplyMs` of the small sites.
const APPLY: Duration = Duration::from_millis(3_000);
/// Kept channels at each gateway.
const CHANNELS: usize = 6;
/// Time for which they are idle: within four fifths of `idleTimeoutMs`, which is 15 s.
const IDLE: Duration = Duration::from_secs(9);
const DEADLINE_MS: u64 = 6_000;

fn main() {
    let record = Record::create("review/8/record.txt");
    let trouble = kit::has_trouble();
    let folder = Folder::create();
    let store = Store::start(at(250, kit::STORE));
    let routes = [
        route("issue", "non_idempotent", "app", ""),
        route("lookup", "idempotent", "app", ""),
    ];
    let services = "[{\"name\":\"app\",\"maxConnections\":110,\"healthPath\":\"/health\"}]";
    let runs: Arc<Mutex<Vec<String>>> = Arc::default();
    for (number, zone) in [(1, "a"), (2, "b"), (3, "c")] {
        let address = at(100 + number, kit::SERVER);
        let (runs, record) = (Arc::clone(&runs), record.clone());
        listen(address, move |conn| serve(conn, &runs, &record));
        store.put(
            &format!("servers/i-{number}"),
            &registration(address, zone, 6),
        );
    }
    let first = if trouble { LOW } else { HIGH };
    store.put("op/config", &config(1, &routes, services, first));
    record.line(&format!(
        "the operator's version 1 is confirmed: maxBodyBytes {first}"
    ));
    let gateways: Vec<Gateway> = [(1, "a"), (2, "b"), (3, "c")]
        .map(|(n, z)| Gateway::start(&folder, n, z, store.address))
        .into();
    gateways.iter().for_each(Gateway::wait_ready);

    let mut kept: Vec<(String, Conn)> = Vec::new();
    for gateway in &gateways {
        for number in 0..CHANNELS {
            let id = format!("{}-{number}-first", gateway.name);
            let mut conn = Conn::open(gateway.front())
                .unwrap_or_else(|e| kit::give_up(&format!("connect: {e}")));
            let status = exchange(&mut conn, &id, 500, &record);
            if status != 200 {
                kit::give_up(&format!("the first request of a channel got {status}"));
            }
            kept.push((gateway.name.clone(), conn));
        }
    }
    let idle_since = Instant::now();
    thread::sleep(Duration::from_secs(1));
    if trouble {
        store.put("op/config", &config(2, &routes, services, HIGH));
        record.line(&format!(
            "the operator's version 2 is confirmed: maxBodyBytes {HIGH}"
        ));
    }
    thread::sleep(APPLY + Duration::from_millis(500));
    for gateway in &gateways {
        let mut conn =
            Conn::open(gateway.front()).unwrap_or_else(|e| kit::give_up(&format!("connect: {e}")));
        let status = exchange(
            &mut conn,
            &format!("{}-new-channel", gateway.name),
            LONG,
            &record,
        );
        if status != 200 {
            kit::give_up(&format!("a new channel of {} got {status}", gateway.name));
        }
    }
    thread::sleep(IDLE.saturating_sub(idle_since.elapsed()));
    let (mut refused, sent) = (0, kept.len());
    for (number, (name, conn)) in kept.iter_mut().enumerate() {
        let status = exchange(
            conn,
            &format!("{name}-{number}-kept-channel"),
            LONG,
            &record,
        );
        refused += usize::from([413, 431].contains(&status));
    }
    // CONFIG: a machine regresses if it handles one such request as only version 1 allows, as each machine was seen to have
    // version 2 long before. DENIED: more than 5 + one in 500 of all requests.
    let all = 2 * sent + gateways.len();
    let is_denied = refused as f64 > 5.0 + all as f64 / 500.0;
    record.line(&format!("{refused} of {sent} proper requests on kept channels were refused with 413; all requests: {all}"));
    record.line(&format!(
        "CONFIG broken: {}; DENIED broken: {is_denied}",
        refused > 0
    ));
    let code = if refused > 0 { kit::BROKEN } else { kit::HELD };
    record.line(&format!("exit {code}"));
    kit::finish(code)
}

fn exchange(conn: &mut Conn, id: &str, bytes: usize, record: &Record) -> u16 {
    let body = vec![b'x'; bytes];
    record.line(&format!("client sends {id}: POST /issue/1, {bytes} bytes"));
    let _sent = conn.send(&request("POST", "/issue/1", id, DEADLINE_MS, &body));
    let response = conn.read_response(Duration::from_millis(DEADLINE_MS));
    let status = response.as_ref().map_or(0, kit::Message::status);
    let stamp = response
        .as_ref()
        .and_then(|r| r.header("server-stamp"))
        .unwrap_or("none");
    record.line(&format!(
        "client gets {id}: status {status}, Server-Stamp {stamp}"
    ));
    status
}

/// A plain server that runs each request at once.
fn serve(mut conn: Conn, runs: &Mutex<Vec<String>>, record: &Record) {
    while let Ok(Some(mut request)) = conn.read_head() {
        conn.read_body(&mut request, false);
        let id = request.header("attempt-id").unwrap_or("").to_owned();
        record.line(&format!("server runs {id}: {} bytes", request.body.len()));
        runs.lock().unwrap().push(id.clone());
        if conn.send(&answer("200 OK", &id, b"issued")).is_err() {
            return;
        }
    }
}
