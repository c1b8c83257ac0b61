//! Parsing of heads, bodies and stream events.

use bytes::BytesMut;
use hawthornmill_gateway::http::body::{BodyDecoder, Decoded};
use hawthornmill_gateway::http::head::{self, Framing, Malformed};
use hawthornmill_gateway::proxy::events::EventSplitter;
use hawthornmill_platform::request::event_id;
use proptest::prelude::*;

fn framing(fields: &str) -> Result<Framing, Malformed> {
    let text = format!("POST /a HTTP/1.1\r\nHost: h\r\n{fields}\r\n");
    let (head, _) = head::parse_request(text.as_bytes())?.expect("the head is complete");
    head.framing()
}

/// Failure: gateway and server disagree on where a body ends, so that it can hide a second request.
#[test]
fn ambiguous_body_length_is_rejected() {
    let refused = [
        "Content-Length: 5\r\nContent-Length: 6\r\n",
        "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: gzip, chunked\r\n",
        "Transfer-Encoding: chunked, identity\r\n",
        "Transfer-Encoding: xchunked\r\n",
        "Content-Length: +5\r\n",
        "Content-Length: 5, 5\r\n",
        "Content-Length: -1\r\n",
        "Content-Length: 99999999999999999999999\r\n",
        "Content-Length:\r\n",
    ];

    for fields in refused {
        assert_eq!(framing(fields), Err(Malformed), "{fields}");
    }
    assert_eq!(
        framing("Content-Length: 5\r\nContent-Length: 5\r\n"),
        Ok(Framing::Length(5))
    );
    assert_eq!(
        framing("Transfer-Encoding: Chunked\r\n"),
        Ok(Framing::Chunked)
    );
    assert_eq!(framing(""), Ok(Framing::Empty));
}

#[test]
fn invalid_head_is_rejected() {
    for text in [
        "GET\r\n\r\n",
        "GET /a HTTP/1.1\r\nA B: c\r\n\r\n",
        "GET /a HTTP/1.1\r\n a: b\r\n\r\n",
    ] {
        assert_eq!(
            head::parse_request(text.as_bytes()),
            Err(Malformed),
            "{text}"
        );
    }
}

/// Decodes a body and returns it with the bytes after it, or `None` if it is malformed or incomplete.
fn decode(framing: Framing, parts: &[&[u8]]) -> Option<(Vec<u8>, Vec<u8>)> {
    let mut decoder = BodyDecoder::new(framing);
    let mut buffer = BytesMut::new();
    let mut body = Vec::new();
    let mut parts = parts.iter();
    loop {
        match decoder.next(&mut buffer).ok()? {
            Decoded::Data(data) => body.extend_from_slice(&data),
            Decoded::End => {
                parts.for_each(|part| buffer.extend_from_slice(part));
                return Some((body, buffer.to_vec()));
            }
            Decoded::Incomplete => buffer.extend_from_slice(parts.next()?),
        }
    }
}

#[test]
fn chunked_body_decodes_at_any_split() {
    let text = b"4\r\nWiki\r\n6;x=y\r\npedia \r\n0\r\nTrailer: t\r\n\r\nGET";

    for cut in 0..text.len() {
        let decoded = decode(Framing::Chunked, &[&text[..cut], &text[cut..]]);
        assert_eq!(
            decoded,
            Some((b"Wikipedia ".to_vec(), b"GET".to_vec())),
            "cut at {cut}"
        );
    }
}

#[test]
fn malformed_chunks_are_rejected() {
    let refused: [&[u8]; 6] = [
        b"x\r\n",
        b"\r\n",
        b"4\nWiki\n",
        b"4\r\nWikiX\r\n",
        b"ffffffffffffffff\r\n",
        b"-4\r\n",
    ];

    for text in refused {
        assert_eq!(decode(Framing::Chunked, &[text]), None);
    }
}

proptest! {
    #[test]
    fn random_bytes_never_panic(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let _request = head::parse_request(&bytes);
        let _answer = head::parse_response(&bytes);
        let _body = decode(Framing::Chunked, &[&bytes]);
        let _number = event_id(&bytes);
    }

    #[test]
    fn chunked_body_round_trips(body in proptest::collection::vec(any::<u8>(), 1..500), size in 1_usize..50) {
        let mut text = hawthornmill_gateway::http::write::MessageBuffer::default();
        body.chunks(size).for_each(|chunk| text.chunk(chunk));
        text.last_chunk();

        prop_assert_eq!(decode(Framing::Chunked, &[&text.0]), Some((body, Vec::new())));
    }

    #[test]
    fn events_are_complete_at_any_split(cuts in proptest::collection::vec(0_usize..60, 0..6)) {
        let text = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n".to_vec();
        let mut cuts: Vec<usize> = cuts.into_iter().map(|c| c.min(text.len())).collect();
        cuts.sort_unstable();
        cuts.push(text.len());
        let (mut splitter, mut out, mut from, mut last) = (EventSplitter::default(), Vec::new(), 0, None);

        for cut in cuts {
            if let Some(events) = splitter.push(&text[from..cut], event_id, last) {
                out.extend_from_slice(&events.bytes);
                last = events.last_id.or(last);
            }
            from = cut;
        }

        prop_assert_eq!(out, text);
        prop_assert_eq!(last, Some(3));
    }
}

/// Failure: a server ends its lines with CR; no event is found to be complete, and the caller gets all at the end.
#[test]
fn events_with_any_line_end_are_split() {
    for end in ["\n", "\r", "\r\n"] {
        let mut splitter = EventSplitter::default();
        let text = "id: 4|data: x||id: 5|data: y||id: 6".replace('|', end);

        let events = splitter.push(text.as_bytes(), event_id, None);

        let events = events.expect("there is a complete event");
        assert_eq!(events.last_id, Some(5), "{end:?}");
        assert_eq!(&*splitter.take_rest(), b"id: 6", "{end:?}");
    }
}

/// Failure: a server that resumes a stream repeats an event that the client has already received.
#[test]
fn repeated_events_are_dropped() {
    let mut splitter = EventSplitter::default();

    let events = splitter.push(
        b"id: 4\ndata: x\n\nid: 5\ndata: y\n\nid: 6",
        event_id,
        Some(4),
    );

    let events = events.expect("there is a complete event");
    assert_eq!(&*events.bytes, b"id: 5\ndata: y\n\n");
    assert_eq!(events.last_id, Some(5));
    assert_eq!(&*splitter.take_rest(), b"id: 6");
}
