//! Messages of the build before, which lack fields at their ends.
//!
//! A build ignores what follows the fields that it knows, so it reads messages of the build after it as they are. Those of
//! the build before are read by their forms here, which give each missing field its default.

use serde::{Deserialize, de::DeserializeOwned};

use super::message::Message;
use crate::ident::VersionId;
use crate::routing::catalog::Catalog;
use crate::routing::evacuations::Evacuation;
use crate::routing::gossip::SyncResponse;
use crate::routing::registry::{Change, Unconfirmed};
use crate::routing::stream_versions::{
    HolderState, StreamAnswers, StreamKey, StreamQuestions, StreamRecords, StreamVersion,
};

/// Numbers of the messages that have another form; a message begins with its number.
const SYNC_RESPONSE: u8 = 21;
const STREAM_VERSIONS: u8 = 25;
const STREAM_QUERY: u8 = 26;
const STREAM_ANSWER: u8 = 27;

/// A [`SyncResponse`] without gap targets.
#[derive(Debug, Deserialize)]
struct PreviousState {
    catalog: Option<Catalog>,
    registrations: Option<Vec<Change>>,
    unconfirmed: Vec<Unconfirmed>,
    revision: u64,
    evacuations: Vec<Evacuation>,
    after_outage: Option<bool>,
}

/// One that doesn't say whether servers may be missing either.
#[derive(Debug, Deserialize)]
struct OlderState {
    catalog: Option<Catalog>,
    registrations: Option<Vec<Change>>,
    unconfirmed: Vec<Unconfirmed>,
    revision: u64,
    evacuations: Vec<Evacuation>,
}

impl From<PreviousState> for SyncResponse {
    fn from(state: PreviousState) -> Self {
        Self {
            catalog: state.catalog,
            registrations: state.registrations,
            unconfirmed: state.unconfirmed,
            revision: state.revision,
            evacuations: state.evacuations,
            after_outage: state.after_outage,
            gap_targets: Vec::new(),
        }
    }
}

impl From<OlderState> for PreviousState {
    fn from(state: OlderState) -> Self {
        Self {
            catalog: state.catalog,
            registrations: state.registrations,
            unconfirmed: state.unconfirmed,
            revision: state.revision,
            evacuations: state.evacuations,
            after_outage: None,
        }
    }
}

/// [`StreamAnswers`] that don't tell the sender's age nor earlier requests; the oldest form has no undecided streams either.
#[derive(Debug, Deserialize)]
struct PreviousAnswers {
    decided: Vec<(StreamKey, Option<VersionId>)>,
    undecided: Vec<StreamKey>,
}

impl From<PreviousAnswers> for StreamAnswers {
    fn from(answers: PreviousAnswers) -> Self {
        Self {
            decided: answers.decided,
            undecided: answers.undecided,
            holder: HolderState::default(),
        }
    }
}

/// Decodes a message of this build, the one before or the one after.
///
/// # Errors
/// If it is none of them; no part of it may be used.
pub fn decode_message(bytes: &[u8]) -> Result<Message, postcard::Error> {
    match postcard::from_bytes(bytes) {
        Err(postcard::Error::DeserializeUnexpectedEnd) => decode_previous(bytes),
        decoded => decoded,
    }
}

/// Decodes the state of a peer that came in fragments, from this build, the one before or the one after.
///
/// # Errors
/// If it is none of them; no part of it may be used.
pub fn decode_state(bytes: &[u8]) -> Result<SyncResponse, postcard::Error> {
    match postcard::from_bytes(bytes) {
        Err(postcard::Error::DeserializeUnexpectedEnd) => {
            decode_previous_state(bytes).map(SyncResponse::from)
        }
        decoded => decoded,
    }
}

fn decode_previous(bytes: &[u8]) -> Result<Message, postcard::Error> {
    let end = postcard::Error::DeserializeUnexpectedEnd;
    let (number, fields) = bytes.split_first().ok_or(end.clone())?;
    match *number {
        SYNC_RESPONSE => {
            decode_previous_state(fields).map(|state| Message::SyncResponse(Box::new(state.into())))
        }
        STREAM_VERSIONS => decode_whole::<Vec<StreamVersion>>(fields).map(|decided| {
            Message::StreamVersions(StreamRecords {
                decided,
                undecided: Vec::new(),
            })
        }),
        STREAM_QUERY => decode_whole::<Vec<StreamKey>>(fields).map(|keys| {
            let tries = Vec::new();
            Message::StreamQuery(StreamQuestions { keys, tries })
        }),
        STREAM_ANSWER => {
            decode_answers(fields).map(|answers| Message::StreamAnswer(answers.into()))
        }
        _ => Err(end),
    }
}

fn decode_previous_state(fields: &[u8]) -> Result<PreviousState, postcard::Error> {
    decode_whole::<PreviousState>(fields)
        .or_else(|_shorter| decode_whole::<OlderState>(fields).map(PreviousState::from))
}

fn decode_answers(fields: &[u8]) -> Result<PreviousAnswers, postcard::Error> {
    decode_whole::<PreviousAnswers>(fields).or_else(|_shorter| {
        let decided = decode_whole::<Vec<(StreamKey, Option<VersionId>)>>(fields)?;
        let undecided = Vec::new();
        Ok(PreviousAnswers { decided, undecided })
    })
}

/// Decodes bytes of which none is left over.
fn decode_whole<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, postcard::Error> {
    let (value, rest) = postcard::take_from_bytes(bytes)?;
    if rest.is_empty() {
        Ok(value)
    } else {
        Err(postcard::Error::DeserializeUnexpectedEnd)
    }
}
