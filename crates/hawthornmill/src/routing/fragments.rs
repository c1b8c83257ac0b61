//! What an instance knows, in parts that fit datagrams.
//!
//! Load pattern: callers fill the link of an instance that is behind. Whatever comes over a connection waits behind
//! what they send: an answer after three round trips came after more than four seconds, or never. Datagrams don't
//! wait for those before them, and only those that were lost are sent again.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::gossip::SyncRequest;

/// Bytes of one part; with its frame it fits a datagram.
const PART_BYTES: usize = 1_200;
/// Parts of what is sent in datagrams at most; more goes over a connection.
const MOST_PARTS: usize = 96;
/// Time for which missing parts of an answer can be asked for: a few rounds. The graces that it tells are too long by
/// as much.
const KEPT: Duration = Duration::from_millis(800);
/// Answers that are kept at most, each of [`MOST_PARTS`] at most.
const MOST_KEPT: usize = 8;
/// Time for the parts of one round; several round trips between regions.
const ROUND: Duration = Duration::from_millis(200);

/// Time for the parts of one round, where the asker is `late` with all that it does.
///
/// It reads what came only after what came before, in the turn that hears the question's timer too.
pub fn round_timeout(late: Duration) -> Duration {
    ROUND + late * 2
}

/// Asks for what a peer knows beyond a version and a revision, in parts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FragmentRequest {
    /// What the asker has.
    pub sync: SyncRequest,
    /// Digest of what the missing parts belong to; 0 for all parts of whatever is newest.
    pub digest: u64,
    /// Numbers of the missing parts.
    pub missing: Vec<u16>,
}

/// One part of an answer to [`FragmentRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fragment {
    /// Digest of the whole.
    pub digest: u64,
    /// Number of the part, from 0.
    pub index: u16,
    /// Number of parts; 0 when the whole is too large for datagrams.
    pub count: u16,
    /// Its bytes.
    pub bytes: Vec<u8>,
}

/// Answers that were given lately.
///
/// What is known changes between two rounds, many times a second while servers are replaced. Answered from what
/// is known by then, an asker that lost one part would begin anew each time.
#[derive(Debug, Clone, Default)]
pub struct ResponseCache {
    kept: VecDeque<CachedResponse>,
}

#[derive(Debug, Clone)]
struct CachedResponse {
    digest: u64,
    whole: Vec<u8>,
    at: Instant,
}

impl ResponseCache {
    /// The parts that `wanted` asks for, of the answer that it names or else of `newest`.
    pub fn fragments(
        &mut self,
        wanted: &FragmentRequest,
        newest: impl FnOnce() -> Vec<u8>,
        now: Instant,
    ) -> Vec<Fragment> {
        self.kept.retain(|a| now.duration_since(a.at) < KEPT);
        if let Some(answer) = self.kept.iter().find(|a| a.digest == wanted.digest) {
            return split_fragments(&answer.whole, wanted);
        }
        let whole = newest();
        let parts = split_fragments(&whole, wanted);
        if self.kept.len() >= MOST_KEPT {
            self.kept.pop_front();
        }
        self.kept.push_back(CachedResponse {
            digest: digest(&whole),
            whole,
            at: now,
        });
        parts
    }
}

/// The parts of `whole` that `wanted` asks for, or the word that there are too many.
pub fn split_fragments(whole: &[u8], wanted: &FragmentRequest) -> Vec<Fragment> {
    let digest = digest(whole);
    let parts = whole.len().div_ceil(PART_BYTES);
    if parts > MOST_PARTS {
        let too_large = Fragment {
            digest,
            index: 0,
            count: 0,
            bytes: Vec::new(),
        };
        return vec![too_large];
    }
    let all = wanted.digest != digest;
    let chunks = whole.chunks(PART_BYTES).zip(0..);
    let chosen = chunks.filter(|(_, number)| all || wanted.missing.contains(number));
    let part = |(bytes, number): (&[u8], u16)| Fragment {
        digest,
        index: number,
        count: parts as u16,
        bytes: bytes.to_vec(),
    };
    chosen.map(part).collect()
}

/// Never 0, which stands for none.
fn digest(whole: &[u8]) -> u64 {
    let hash = blake3::hash(whole);
    let mut first = [0; 8];
    first.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(first).max(1)
}

/// Puts the parts of one answer together.
#[derive(Debug, Clone, Default)]
pub struct Reassembly {
    digest: u64,
    parts: Vec<Option<Vec<u8>>>,
    outcome: Option<Outcome>,
}

/// How an answer in parts ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// All of it is here.
    Complete(Vec<u8>),
    /// It doesn't fit datagrams.
    TooLarge,
}

impl Reassembly {
    /// Takes one part; those of an older answer are dropped when one of another comes.
    pub fn insert(&mut self, part: Fragment) {
        if part.count == 0 {
            self.outcome = Some(Outcome::TooLarge);
            return;
        }
        if usize::from(part.count) > MOST_PARTS {
            return;
        }
        if part.digest != self.digest || self.parts.len() != usize::from(part.count) {
            self.digest = part.digest;
            self.parts = vec![None; usize::from(part.count)];
        }
        if let Some(place) = self.parts.get_mut(usize::from(part.index)) {
            *place = Some(part.bytes);
        }
        self.join();
    }

    /// Joins the parts once all are there; those that don't belong together are dropped.
    fn join(&mut self) {
        let parts: Option<Vec<&[u8]>> = self.parts.iter().map(Option::as_deref).collect();
        let Some(whole) = parts.map(|p| p.concat()) else {
            return;
        };
        if digest(&whole) == self.digest {
            self.outcome = Some(Outcome::Complete(whole));
        } else {
            *self = Self::default();
        }
    }

    /// How the answer ended, if it has.
    pub const fn outcome(&self) -> Option<&Outcome> {
        self.outcome.as_ref()
    }

    /// Parts that have come.
    pub fn received(&self) -> usize {
        self.parts.iter().flatten().count()
    }

    /// What is still to be asked for by one that has what `pull` says.
    pub fn request(&self, pull: SyncRequest) -> FragmentRequest {
        let missing = self.parts.iter().zip(0..).filter(|(p, _)| p.is_none());
        FragmentRequest {
            sync: pull,
            digest: self.digest,
            missing: missing.map(|(_, number)| number).collect(),
        }
    }
}
