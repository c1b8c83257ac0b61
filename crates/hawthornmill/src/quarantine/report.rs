//! What instances tell each other of crashed servers and quarantined requests.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::evidence::RunningRequest;
use super::fingerprint::Fingerprint;
use crate::routing::recent::{Audience, Recent, Source};
use crate::routing::registry::ServerRun;

/// Bytes of one message, so that it fits a datagram with its frame.
const MESSAGE_BYTES: usize = 1_100;
/// Most bytes of an item, without the requests of a crash.
const ITEM_BYTES: usize = 28;
/// Most bytes of a request of a crash, without the parts of its prompt.
const REQUEST_BYTES: usize = 33;
/// Bytes of a part.
const PART_BYTES: usize = 8;
/// Items of each kind that are announced at a time.
const MAX_ITEMS: usize = 64;

/// The crash of a server's run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The run.
    pub run: ServerRun,
    /// Milliseconds since it crashed.
    pub age_ms: u32,
    /// Some of the requests that it ran.
    pub running: Vec<RunningRequest>,
}

/// A request that was answered, under which a server had crashed before.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerReport {
    /// Identity of the request.
    pub fingerprint: Fingerprint,
    /// Milliseconds since the answer.
    pub age_ms: u32,
}

/// A quarantined request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryReport {
    /// Identity of the request.
    pub fingerprint: Fingerprint,
    /// Servers that crashed under it.
    pub crashes: u32,
    /// Milliseconds since it was quarantined.
    pub age_ms: u32,
    /// Milliseconds since it was last refused.
    pub idle_ms: u32,
}

/// A message on crashed servers and quarantined requests.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct QuarantineReport {
    /// Servers that crashed.
    pub crashes: Vec<CrashReport>,
    /// Requests that were answered.
    pub answers: Vec<AnswerReport>,
    /// Quarantined requests.
    pub entries: Vec<EntryReport>,
}

/// Recent changes to announce.
#[derive(Debug, Clone, Default)]
pub struct RecentChanges {
    crashes: Recent<(ServerRun, Instant, Vec<RunningRequest>)>,
    answers: Recent<(Fingerprint, Instant)>,
}

/// Returns the most bytes that a request of a crash takes in a message.
fn encoded_bytes(running: &RunningRequest) -> usize {
    REQUEST_BYTES + PART_BYTES * running.fingerprints.parts.len()
}

/// Returns a duration in milliseconds.
pub fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

impl RecentChanges {
    /// Records that a server crashed while it ran `running`.
    pub fn record_crash(
        &mut self,
        run: ServerRun,
        at: Instant,
        running: &[RunningRequest],
        source: Source,
        now: Instant,
    ) {
        let mut rest = running;
        while !rest.is_empty() {
            let sizes = rest.iter().scan(ITEM_BYTES, |sum, running| {
                *sum += encoded_bytes(running);
                Some(*sum)
            });
            let fitting = sizes.take_while(|sum| *sum <= MESSAGE_BYTES).count();
            let (part, later) = rest.split_at(fitting.max(1));
            self.crashes.record((run, at, part.to_vec()), source, now);
            rest = later;
        }
    }

    /// Records that a request was answered.
    pub fn record_answer(
        &mut self,
        fingerprint: Fingerprint,
        at: Instant,
        source: Source,
        now: Instant,
    ) {
        self.answers.record((fingerprint, at), source, now);
    }

    /// Returns messages with what is to be announced, and with `entries`.
    pub fn messages(
        &self,
        audience: Audience,
        entries: &[EntryReport],
        now: Instant,
    ) -> Vec<QuarantineReport> {
        let mut messages = Messages::default();
        for ((run, at, running), _) in self.crashes.select(now, audience, MAX_ITEMS) {
            let bytes = ITEM_BYTES + running.iter().map(encoded_bytes).sum::<usize>();
            messages.with_room(bytes).crashes.push(CrashReport {
                run,
                age_ms: millis(now.duration_since(at)),
                running,
            });
        }
        for ((fingerprint, at), _) in self.answers.select(now, audience, MAX_ITEMS) {
            messages.with_room(ITEM_BYTES).answers.push(AnswerReport {
                fingerprint,
                age_ms: millis(now.duration_since(at)),
            });
        }
        for entry in entries {
            messages.with_room(ITEM_BYTES).entries.push(*entry);
        }
        messages.all
    }
}

/// Messages that are filled one after the other.
#[derive(Debug, Default)]
struct Messages {
    all: Vec<QuarantineReport>,
    /// Bytes of the last one.
    bytes: usize,
}

impl Messages {
    /// Returns a message that has room for another `bytes`.
    fn with_room(&mut self, bytes: usize) -> &mut QuarantineReport {
        if self.all.is_empty() || self.bytes + bytes > MESSAGE_BYTES {
            self.all.push(QuarantineReport::default());
            self.bytes = 0;
        }
        self.bytes += bytes;
        let last = self.all.len() - 1;
        &mut self.all[last]
    }
}
