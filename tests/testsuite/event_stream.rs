//! Where an event stream may end.

use hawthornmill::event_stream::EventScanner;
use proptest::prelude::*;

fn scanner(text: &str) -> EventScanner {
    let mut scanner = EventScanner::default();
    scanner.scan(text.as_bytes());
    scanner
}

#[test]
fn stream_may_end_after_events_and_comments_only() {
    let complete = [
        "data: a\n\n",
        "data: a\r\n\r\n",
        "data: a\r\r",
        "data: a\r\n\r",
        "data: a\n\n\n",
        "data: a\n\n: comment\n",
        ": comment\n\ndata: a\n\n:\r\n",
    ];
    let cut = [
        "d",
        "data: a",
        "data: a\n",
        "data: a\r\n",
        "data: a\n\nid: 2",
        "data: a\n\nid: 2\n",
        "data: a\n\n: half a comment",
        "data: a\n: comment\n",
    ];

    for text in complete {
        assert!(
            scanner(text).may_end(true) && scanner(text).may_end(false),
            "{text:?}"
        );
    }
    for text in cut {
        assert!(
            !scanner(text).may_end(true) && !scanner(text).may_end(false),
            "{text:?}"
        );
    }
}

/// Failure: a server closes a stream without length before its first event, and nothing is taken for the whole stream.
#[test]
fn stream_without_events_is_complete_only_if_it_is_delimited() {
    for text in ["", "\n", ": comment\n\n"] {
        assert!(scanner(text).may_end(true), "{text:?}");
        assert!(!scanner(text).may_end(false), "{text:?}");
    }
}

fn lines() -> impl Strategy<Value = String> {
    let line = prop_oneof![
        Just(""),
        Just("id: 7"),
        Just("data: x"),
        Just(": note"),
        Just("data")
    ];
    let end = prop_oneof![Just("\n"), Just("\r\n"), Just("\r")];
    prop::collection::vec((line, end), 0..12).prop_map(|lines| {
        lines
            .into_iter()
            .flat_map(|(line, end)| [line, end])
            .collect()
    })
}

/// Whether a stream may end after `text`, found by rewriting all line ends.
fn may_end(text: &str) -> bool {
    let text = text.replace("\r\n", "\n").replace('\r', "\n");
    let after_event = text
        .rfind("\n\n")
        .map_or(text.as_str(), |at| &text[at + 2..]);
    let is_whole_line = text.is_empty() || text.ends_with('\n');
    is_whole_line
        && after_event
            .lines()
            .all(|l| l.is_empty() || l.starts_with(':'))
}

proptest! {
    #[test]
    fn end_is_judged_alike_at_any_cut_and_split(text in lines(), cut in 0_usize..120, split in 0_usize..120) {
        let cut = &text[..cut.min(text.len())];
        let (first, second) = cut.split_at(split.min(cut.len()));

        let mut scanner = EventScanner::default();
        scanner.scan(first.as_bytes());
        scanner.scan(second.as_bytes());

        prop_assert_eq!(scanner.may_end(true), may_end(cut), "{:?}", cut);
    }

    #[test]
    fn blocks_are_the_whole_text_at_any_split(text in lines(), split in 0_usize..120) {
        let (first, second) = text.split_at(split.min(text.len()));
        let mut scanner = EventScanner::default();
        let mut buffer = Vec::new();
        let mut blocks = String::new();
        let mut scanned = 0;

        for part in [first, second] {
            buffer.extend_from_slice(part.as_bytes());
            while let Some(block) = scanner.next_block(&buffer[scanned..]) {
                let bytes: Vec<u8> = buffer.drain(..scanned + block.bytes).collect();
                let text = String::from_utf8(bytes).expect("the text is ASCII");
                prop_assert_eq!(block.is_event, text.lines().flat_map(|l| l.split('\r')).any(|l| !l.is_empty() && !l.starts_with(':')));
                blocks.push_str(&text);
                scanned = 0;
            }
            scanned = buffer.len();
        }

        prop_assert_eq!(blocks + &String::from_utf8_lossy(&buffer), text);
    }
}
