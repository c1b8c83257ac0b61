//! Messages of the build before, kept as the bytes that it wrote (c28f017, and 687914c where it says so).

use hawthornmill::ident::VersionId;
use hawthornmill::routing::stream_tries::ToldTry;
use hawthornmill::routing::stream_versions::{
    HolderState, StreamAnswers, StreamKey, StreamQuestions, StreamRecords, StreamVersion,
    StreamVersions, UNDECIDED,
};
use hawthornmill::wire::Message;
use hawthornmill::wire::previous::{decode_message, decode_state};

const SYNC_RESPONSE: &str = "1501020000008080018080800203000f00000000000000000001012ecf9c6ea3a0603bac020103732d31\
    29070366fbc5b0f9baa2e8ac31a6ea58027631007f000001500ddfc95b0bd6205b0401e80700c09fab03\
    012ecf9c6ea3a0603b00c0a8a504ac02010ddfc95b0bd6205b0401";
const STREAM_VERSIONS: &str = "19010600000000000000baa2e8ac31a6ea58";
const STREAM_QUERY: &str = "1a010600000000000000";
const STREAM_ANSWER: &str = "1b02060000000000000001baa2e8ac31a6ea58070000000000000000";
/// Answers of 687914c, which has a list of undecided streams behind them.
const STREAM_ANSWER_UNDECIDED: &str =
    "1b02060000000000000001baa2e8ac31a6ea58070000000000000000010700000000000000";

/// One message of each kind that gateways send, with all its fields set.
const KEPT: [&str; 14] = [
    "0f007f00000150007f000001500ddfc95b0bd6205b0c01000102ac020400012ecf9c6ea3a0603b01c80103040177979eedd9dc02d7\
     0000c03f000020400105000000000000002ecf9c6ea3a0603b0129070366fbc5b0f901010201007f00000150",
    "10012ecf9c6ea3a0603b01c8010304",
    "110ddfc95b0bd6205b01bea78ac2566ed1960700000000000000007f00000150007f000001500ddfc95b0bd6205b0c0100010202ac0204",
    "12010ddfc95b0bd6205b0102012ecf9c6ea3a0603b01c8010304",
    "130201020177979eedd9dc02d70000c03f000020400129070366fbc5b0f90101020105000000000000002ecf9c6ea3a0603b",
    "1402ac0204",
    SYNC_RESPONSE,
    "16012ecf9c6ea3a0603b03010ddfc95b0bd6205b0401012ecf9c6ea3a0603b00c0a8a504",
    "1702ac0204080201ac02",
    "1808010203010203",
    STREAM_VERSIONS,
    STREAM_QUERY,
    STREAM_ANSWER,
    "1c012ecf9c6ea3a0603be807010101000000000000000200000000000000010300000000000000040501020000000000000006010200\
     000000000000030607",
];

fn bytes(kept: &str) -> Vec<u8> {
    let digits: Vec<u32> = kept.chars().filter_map(|c| c.to_digit(16)).collect();
    let pairs = digits.chunks(2);
    pairs.map(|pair| (pair[0] * 16 + pair[1]) as u8).collect()
}

fn encode(message: &Message) -> Vec<u8> {
    postcard::to_allocvec(message).expect("the message can be encoded")
}

/// Failure: a field is added, and instances of two builds read nothing of each other, or other values than were sent.
#[test]
fn previous_build_and_this_one_read_the_same_fields() {
    for kept in KEPT.map(bytes) {
        let message = decode_message(&kept);

        let message = message.unwrap_or_else(|error| panic!("{kept:02x?}: {error}"));
        let written = encode(&message);
        assert_eq!(written.get(..kept.len()), Some(&*kept), "{message:?}");
    }
}

/// Failure: the end of a message of the build before is missing, and what is left of it is applied.
#[test]
fn cut_message_of_the_previous_build_is_rejected() {
    for kept in KEPT.map(bytes) {
        let read: Vec<usize> = (0..kept.len())
            .filter(|length| decode_message(&kept[..*length]).is_ok())
            .collect();

        assert_eq!(read, [0; 0], "{kept:02x?}");
    }
}

/// Failure: an instance starts beside others of the build before, and reads no state in fragments from them.
#[test]
fn state_of_the_previous_build_is_read() {
    let kept = bytes(SYNC_RESPONSE);

    let state = decode_state(&kept[1..]).expect("the state is valid");

    assert_eq!(state.revision, 300);
    assert_eq!(state.registrations.map(|r| r.len()), Some(1));
    assert_eq!(state.evacuations.len(), 1);
    assert_eq!(state.after_outage, None);
}

/// Failure: the build before tells no gap targets, and its state is read as malformed, or without what follows its evacuations.
#[test]
fn state_without_gap_targets_is_read() {
    let mut kept = bytes(SYNC_RESPONSE);
    kept.extend([1, 1]);

    let state = decode_state(&kept[1..]).expect("the state is valid");

    assert_eq!(state.after_outage, Some(true));
    assert!(state.gap_targets.is_empty());
}

/// Failure: the build before takes a version that isn't known yet for one, and refuses to go on with the stream.
#[test]
fn undecided_streams_are_unknown_to_the_previous_build() {
    let [decided, undecided] =
        [(6, VersionId::of("v1")), (7, UNDECIDED)].map(|(key, version)| StreamVersion {
            key: StreamKey(key),
            version,
        });
    let mut versions = StreamVersions::default();
    let now = std::time::Instant::now();
    versions.record(decided, now);
    versions.record(undecided, now);

    let told = StreamRecords::of(&[decided, undecided]);
    let answers = StreamAnswers::of(&[decided.key, undecided.key], &versions);

    let all: Vec<StreamVersion> = told.streams().collect();
    assert_eq!(all, [decided, undecided]);
    let all: Vec<_> = answers.answers().collect();
    let known = [decided, undecided].map(|s| (s.key, Some(s.version)));
    assert_eq!(all, known);
    for (message, kept) in [
        (Message::StreamVersions(told), STREAM_VERSIONS),
        (Message::StreamAnswer(answers), STREAM_ANSWER),
    ] {
        assert!(encode(&message).starts_with(&bytes(kept)), "{message:?}");
    }
}

/// Failure: instances of the build before ask and answer without earlier requests for streams, and are not understood.
#[test]
fn questions_and_answers_without_earlier_requests_are_read() {
    let kept = [STREAM_QUERY, STREAM_ANSWER_UNDECIDED].map(bytes);

    let read = kept.each_ref().map(|kept| decode_message(kept));

    let [
        Ok(Message::StreamQuery(asked)),
        Ok(Message::StreamAnswer(mut answers)),
    ] = read
    else {
        panic!("{read:?}");
    };
    assert_eq!((asked.keys.len(), asked.tries.len()), (1, 0));
    assert_eq!(answers.undecided, [StreamKey(7)]);
    assert_eq!(answers.holder, HolderState::default());
    let told = ToldTry {
        key: StreamKey(6),
        age_ms: 300,
        left_ms: 4_000,
    };
    let asked = StreamQuestions {
        tries: vec![told],
        ..asked
    };
    answers.holder = HolderState {
        age_ms: Some(7_000),
        tries: vec![told],
    };
    for (message, kept) in [Message::StreamQuery(asked), Message::StreamAnswer(answers)]
        .into_iter()
        .zip(kept)
    {
        let written = encode(&message);
        assert!(written.starts_with(&kept), "{message:?}");
        assert_eq!(decode_message(&written).ok(), Some(message));
    }
}
