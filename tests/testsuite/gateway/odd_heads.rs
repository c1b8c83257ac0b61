//! Servers whose answers begin with what is no head of an answer.

use serde_json::Value;

use super::broken_heads::{play, start};
use super::raw_client::Received;
use super::raw_servers::{RawAnswer, WHOLE_BODY};
use crate::block_on;

/// Status lines that begin no answer to a request that asked for no other protocol.
pub const ODD_STATUS_LINES: &[&str] = &[
    "HTTP/1.1 000 X",
    "HTTP/1.1 000",
    "HTTP/1.1 001 X",
    "HTTP/1.1 099 X",
    "HTTP/1.1 101 Switching Protocols",
    "HTTP/1.1 600 X",
    "HTTP/1.1 999 X",
    "HTTP/1.1 20 OK",
    "HTTP/1.1 2000 OK",
    "HTTP/1.1 -20 OK",
    "HTTP/1.1 +20 OK",
    "HTTP/1.1 2e2 OK",
    "HTTP/1.1  200 OK",
    "HTTP/1.1\t200 OK",
    "HTTP/1.1 200 O\u{1}K",
    "HTTP/0.9 200 OK",
    "HTTP/2.0 200 OK",
    "HTTP 200 OK",
    " HTTP/1.1 200 OK",
    "ICY 200 OK",
];

/// Lines of a head that are no fields.
pub const ODD_FIELDS: &[&str] = &[
    "Odd Name: a",
    "Odd : a",
    "Odd\t: a",
    "O\u{0}dd: a",
    "O\u{1}dd: a",
    "O\u{7f}dd: a",
    "O\rdd: a",
    "O\u{80}dd: a",
    "O(dd: a",
    ": a",
    "Odd",
    "Odd: a\u{0}",
    "Odd: a\u{1}b",
    "Odd: a\u{7f}b",
    "Odd: a\rb",
    "Content-Length : 2",
    "Transfer-Encoding : chunked",
    "Transfer Encoding: chunked",
    " Odd: a",
    "\tOdd: a",
];

/// Returns answers with an odd status line, or with an odd line before or behind sound fields; `{id}` stands for the request's.
pub fn odd_answers() -> Vec<String> {
    let fields = "Attempt-Id: {id}\r\nServer-Stamp: s.1\r\nContent-Length: 5\r\n";
    let with_status = |line: &&str| format!("{line}\r\n{fields}\r\nhello");
    let with_field = |line: &&str| {
        let (before, after) = (format!("{line}\r\n{fields}"), format!("{fields}{line}\r\n"));
        [before, after].map(|head| format!("HTTP/1.1 200 OK\r\n{head}\r\nhello"))
    };
    let statuses = ODD_STATUS_LINES.iter().map(with_status);
    statuses
        .chain(ODD_FIELDS.iter().flat_map(with_field))
        .collect()
}

/// Returns the number of the error that the gateway itself answered with; 0 if it is another answer.
fn error_number(got: &Received) -> u64 {
    let body: Value = serde_json::from_slice(&got.body).unwrap_or_default();
    body["code"].as_u64().unwrap_or_default()
}

fn whole(text: &str) -> RawAnswer {
    RawAnswer::cut(text, usize::MAX)
}

/// Failure: what a server sends is no answer, as its status or a field isn't one, and the client gets it as an answer.
#[test]
fn odd_head_is_no_answer() {
    block_on(async {
        let site = start(2, "").await;
        let mut taken = Vec::new();
        for text in odd_answers() {
            let (got, arrivals) = play(&site, ("GET", "/one/"), &[whole(&text)]).await;

            let got = got.expect("the client is told");
            let told = (got.status, error_number(&got), got.whole, got.rest);
            if (told, arrivals) != ((502, 3016, true, 0), 1) {
                taken.push((text, got.status, arrivals));
            }
        }
        assert!(taken.is_empty(), "{taken:#?}");
    });
}

/// Failure: the same behind an interim answer, or where the odd answer is itself an interim one.
#[test]
fn odd_head_behind_an_interim_answer_is_no_answer() {
    block_on(async {
        let site = start(2, "").await;
        let sound = "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nContent-Length: 5\r\n\r\nhello";
        let behind = odd_answers()
            .into_iter()
            .map(|text| format!("HTTP/1.1 100 Continue\r\n\r\n{text}"));
        let before = ODD_FIELDS
            .iter()
            .map(|line| format!("HTTP/1.1 103 Early Hints\r\nLink: a\r\n{line}\r\n\r\n{sound}"));
        let switching =
            format!("HTTP/1.1 101 Switching Protocols\r\nUpgrade: other\r\n\r\n{sound}");
        let mut taken = Vec::new();
        for text in behind.chain(before).chain([switching]) {
            let (got, _arrivals) = play(&site, ("GET", "/one/"), &[whole(&text)]).await;

            let status = got.map(|got| got.status);
            if status != Some(502) {
                taken.push((text, status));
            }
        }
        assert!(taken.is_empty(), "{taken:#?}");
    });
}

/// Failure: a request that may not run twice is sent again after an odd head, or is said not to have run.
#[test]
fn booking_with_an_odd_head_is_not_repeated() {
    block_on(async {
        let site = start(2, "").await;
        let mut wrong = Vec::new();
        for text in odd_answers() {
            let (got, arrivals) = play(&site, ("POST", "/once/"), &[whole(&text)]).await;

            let status = got.map(|got| got.status);
            if (status, arrivals) != (Some(502), 1) {
                wrong.push((text, status, arrivals));
            }
        }
        assert!(wrong.is_empty(), "{wrong:#?}");
    });
}

/// Failure: a server's odd head ends a request that another server would have answered.
#[test]
fn second_try_after_an_odd_head_is_whole() {
    block_on(async {
        let site = start(2, "").await;
        let (mut sent_twice, mut played) = (0, 0);
        for text in odd_answers() {
            let (got, arrivals) = play(&site, ("GET", "/get/"), &[whole(&text)]).await;

            let got = got.expect("the client is told");
            let expected = if arrivals == 2 { 200 } else { 502 };
            assert_eq!(got.status, expected, "{text:?}: {got:?}");
            if got.is_success() {
                assert_eq!(&*got.body, WHOLE_BODY.as_bytes());
                sent_twice += 1;
            }
            played += 1;
        }
        assert!(
            sent_twice * 10 >= played * 9,
            "{sent_twice} of {played} recovered"
        );
    });
}
