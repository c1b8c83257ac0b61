//! Transfer of a large response in fragments that fit datagrams.
//!
//! Load pattern: callers saturate the link of an instance that is behind. On a connection, everything waits behind their
//! traffic: a response after three round trips took more than four seconds, or never came. Datagrams don't wait for
//! earlier ones, and only lost fragments are sent again.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::gossip::KnownState;

/// Payload bytes of a fragment; with its frame it fits a datagram.
const FRAGMENT_BYTES: usize = 1_200;
/// Maximum number of fragments of a response; a larger one is sent over a connection.
const MAX_FRAGMENTS: usize = 96;
/// Time for which missing fragments of a response can be requested: a few rounds. Remaining grace periods in the
/// response are too long by up to this time.
const RESPONSE_TTL: Duration = Duration::from_millis(800);
/// Maximum number of cached responses, each of up to [`MAX_FRAGMENTS`] fragments.
const MAX_RESPONSES: usize = 8;
/// Timeout of one round of fragments; several round trips between regions.
const ROUND_TIMEOUT: Duration = Duration::from_millis(200);

/// Returns the timeout of one round for a process that lags by `delay`.
///
/// A lagging process reads a fragment only after all earlier input, in the same turn in which the timer fires.
pub fn round_timeout(delay: Duration) -> Duration {
    ROUND_TIMEOUT + delay * 2
}

/// Requests what a peer knows beyond a catalog version and a revision, in fragments.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FragmentRequest {
    /// What the requester has.
    pub sync: KnownState,
    /// Digest of the response to which the missing fragments belong; 0 requests all fragments of the latest one.
    pub digest: u64,
    /// Indexes of the missing fragments.
    pub missing: Vec<u16>,
}

/// One fragment of the response to a [`FragmentRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fragment {
    /// Digest of the whole response.
    pub digest: u64,
    /// Index of the fragment, from 0.
    pub index: u16,
    /// Number of fragments; 0 when the response is too large for datagrams.
    pub count: u16,
    /// Payload of the fragment.
    pub bytes: Vec<u8>,
}

/// Recently sent responses.
///
/// The state changes between two rounds, many times a second while servers are replaced. If each round were served from
/// the current state, a requester that lost one fragment would start over each time.
#[derive(Debug, Clone, Default)]
pub struct ResponseCache {
    responses: VecDeque<CachedResponse>,
}

#[derive(Debug, Clone)]
struct CachedResponse {
    digest: u64,
    payload: Vec<u8>,
    at: Instant,
}

impl ResponseCache {
    /// Returns the fragments that `request` asks for, of the response that it names or else of `latest`.
    pub fn fragments(
        &mut self,
        request: &FragmentRequest,
        latest: impl FnOnce() -> Vec<u8>,
        now: Instant,
    ) -> Vec<Fragment> {
        self.responses
            .retain(|r| now.duration_since(r.at) < RESPONSE_TTL);
        if let Some(response) = self.responses.iter().find(|r| r.digest == request.digest) {
            return split_fragments(&response.payload, request);
        }
        let payload = latest();
        let fragments = split_fragments(&payload, request);
        if self.responses.len() >= MAX_RESPONSES {
            self.responses.pop_front();
        }
        self.responses.push_back(CachedResponse {
            digest: digest(&payload),
            payload,
            at: now,
        });
        fragments
    }
}

/// Returns the fragments of `payload` that `request` asks for, or a single one that says it is too large.
pub fn split_fragments(payload: &[u8], request: &FragmentRequest) -> Vec<Fragment> {
    let digest = digest(payload);
    let count = payload.len().div_ceil(FRAGMENT_BYTES);
    if count > MAX_FRAGMENTS {
        let too_large = Fragment {
            digest,
            index: 0,
            count: 0,
            bytes: Vec::new(),
        };
        return vec![too_large];
    }
    let all = request.digest != digest;
    let chunks = payload.chunks(FRAGMENT_BYTES).zip(0..);
    let chosen = chunks.filter(|(_, index)| all || request.missing.contains(index));
    let fragment = |(bytes, index): (&[u8], u16)| Fragment {
        digest,
        index,
        count: count as u16,
        bytes: bytes.to_vec(),
    };
    chosen.map(fragment).collect()
}

/// Returns a digest of `payload`; never 0, which stands for no digest.
fn digest(payload: &[u8]) -> u64 {
    let hash = blake3::hash(payload);
    let mut first = [0; 8];
    first.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(first).max(1)
}

/// Reassembles the fragments of one response.
#[derive(Debug, Clone, Default)]
pub struct Reassembly {
    digest: u64,
    fragments: Vec<Option<Vec<u8>>>,
    outcome: Option<Outcome>,
}

/// Outcome of a response in fragments.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The whole response.
    Complete(Vec<u8>),
    /// It doesn't fit into datagrams.
    TooLarge,
}

impl Reassembly {
    /// Inserts a fragment; a fragment of another response replaces all earlier ones.
    pub fn insert(&mut self, fragment: Fragment) {
        if fragment.count == 0 {
            self.outcome = Some(Outcome::TooLarge);
            return;
        }
        if usize::from(fragment.count) > MAX_FRAGMENTS {
            return;
        }
        if fragment.digest != self.digest || self.fragments.len() != usize::from(fragment.count) {
            self.digest = fragment.digest;
            self.fragments = vec![None; usize::from(fragment.count)];
        }
        if let Some(slot) = self.fragments.get_mut(usize::from(fragment.index)) {
            *slot = Some(fragment.bytes);
        }
        self.join();
    }

    /// Joins the fragments once all have arrived; drops them when the digest doesn't match.
    fn join(&mut self) {
        let fragments: Option<Vec<&[u8]>> = self.fragments.iter().map(Option::as_deref).collect();
        let Some(payload) = fragments.map(|f| f.concat()) else {
            return;
        };
        if digest(&payload) == self.digest {
            self.outcome = Some(Outcome::Complete(payload));
        } else {
            *self = Self::default();
        }
    }

    /// Returns the outcome, if there is one yet.
    pub const fn outcome(&self) -> Option<&Outcome> {
        self.outcome.as_ref()
    }

    /// Returns the number of fragments that have arrived.
    pub fn received(&self) -> usize {
        self.fragments.iter().flatten().count()
    }

    /// Builds the request for the missing fragments, for a requester whose state is `sync`.
    pub fn request(&self, sync: KnownState) -> FragmentRequest {
        let missing = self.fragments.iter().zip(0..).filter(|(f, _)| f.is_none());
        FragmentRequest {
            sync,
            digest: self.digest,
            missing: missing.map(|(_, index)| index).collect(),
        }
    }
}
