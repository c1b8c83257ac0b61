//! The store's answers, cut in their heads and bodies.

use std::time::Duration;

use hawthornmill_gateway::store_call::read_response;
use hawthornmill_platform::store::parse_page;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use super::fleet::{Fleet, config, request, wait_until};
use super::raw_servers::{RawAnswer, RawServers};
use super::store::Mode;
use crate::block_on;

const LIST: &str = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 36\r\n\r\n\
                    {\"entries\":[],\"asOf\":7,\"more\":false}";
const CHUNKED_LIST: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n\
                            9\r\n{\"asOf\":7\r\n11\r\n,\"entries\":[] }  \r\n0\r\nSum: 1\r\n\r\n";
const CLOSED_LIST: &str = "HTTP/1.1 200 OK\r\nA: b\r\n\r\n{\"events\":[],\"asOf\":7}";
const NO_BLANK: &str = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n{\"asOf\":7}: {\"asOf\":7}";
/// Bytes of a list after which it is cut: in its status line, around the end of its head, and in its body.
const CUTS: [usize; 5] = [0, 17, 42, 46, 100];

/// Failure: a list or a set of changes that is cut is taken for an empty one, or for a shorter one.
#[test]
fn cut_answer_of_the_store_is_no_page() {
    block_on(async {
        let servers = RawServers::default();
        let address = servers.start().await;
        for (text, can_be_whole) in [
            (LIST, true),
            (CHUNKED_LIST, true),
            (CLOSED_LIST, true),
            (NO_BLANK, false),
        ] {
            let mut whole = 0;
            for bytes in 0..=text.len() {
                let name = format!("{}-{bytes}", text.len());
                servers.set(&name, &[RawAnswer::cut(text, bytes)]);
                let mut stream = TcpStream::connect(address).await.expect("it listens");
                let call = format!("GET /{name} HTTP/1.1\r\nHost: h\r\n\r\n");
                let sent = stream.write_all(call.as_bytes()).await;
                sent.expect("it is read");

                let response = read_response(&mut stream).await;

                let page = response.ok().and_then(|(status, body, _)| {
                    (status == 200).then(|| parse_page(&body).ok()).flatten()
                });
                let is_whole = can_be_whole && bytes == text.len();
                assert_eq!(page.is_some(), is_whole, "{text:?} cut at {bytes}");
                whole += usize::from(is_whole);
            }
            println!("{} cuts, {whole} whole", text.len() + 1);
        }
    });
}

/// Failure: an interim answer of the store is taken for its answer, and the answer for that to the next call.
#[test]
fn interim_answer_of_the_store_is_skipped() {
    block_on(async {
        let servers = RawServers::default();
        let address = servers.start().await;
        let interim = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n";
        let endless = interim.repeat(3_000);
        for (text, expected) in [
            (format!("{interim}{LIST}"), Some(200)),
            (interim.repeat(20) + LIST, Some(200)),
            (interim.into(), None),
            (format!("{endless}{LIST}"), None),
            (format!("HTTP/1.1 101 X\r\n\r\n{LIST}"), None),
            (LIST.replace("200", "000"), None),
        ] {
            servers.set("list", &[RawAnswer::cut(&text, usize::MAX)]);
            let mut stream = TcpStream::connect(address).await.expect("it listens");
            let sent = stream.write_all(b"GET /list HTTP/1.1\r\nHost: h\r\n\r\n");
            sent.await.expect("it is read");

            let response = read_response(&mut stream).await;

            let status = response.ok().map(|(status, ..)| status);
            assert_eq!(status, expected, "{} bytes", text.len());
        }
    });
}

/// Failure: a process that starts beside a store whose lists are cut is ready without servers, or one that runs drops them.
#[test]
fn cut_lists_of_the_store_change_nothing() {
    block_on(async {
        let mut fleet = Fleet::prepare(1, 2).await;
        let text = config(1).to_string();
        fleet.store.put("op/config", text.as_bytes());
        fleet.store.set_mode(Mode::CutLists(0));
        fleet.gateways[0].start();
        for bytes in CUTS {
            cut_some_lists(&fleet, bytes).await;
            assert!(!fleet.gateways[0].is_ready().await, "ready at {bytes}");
        }
        fleet.store.set_mode(Mode::Healthy);
        wait_until("the gateway is ready", || fleet.gateways[0].is_ready()).await;

        fleet.store.set_mode(Mode::CutLists(0));
        fleet.store.drop_history(None);
        for bytes in CUTS {
            cut_some_lists(&fleet, bytes).await;
            let id = format!("id-{bytes}");
            let response = fleet.send_admitted(&request("GET", "/get/", &id, "")).await;
            assert_eq!(response.status(), 200, "refused at {bytes}");
        }
    });
}

/// Lets the store cut a few lists after this many bytes.
async fn cut_some_lists(fleet: &Fleet, bytes: usize) {
    fleet.store.set_mode(Mode::CutLists(bytes));
    let before = fleet.store.calls();
    wait_until("lists are cut", || async { fleet.store.calls() > before }).await;
    tokio::time::sleep(Duration::from_millis(10)).await;
}
