//! What an instance does about revisions that it does not hold.

use std::time::{Duration, Instant};

use super::accept::Manifest;
use crate::codes::Code;
use crate::ini::Diagnostic;

/// Time after which a revision that was asked of a peer is asked again, of whoever names it then.
const ASK_AGAIN: Duration = Duration::from_millis(500);

/// Revisions that were refused, and the one that a peer was asked for.
#[derive(Debug, Clone, Default)]
pub struct RevisionTracker {
    refused: Option<Manifest>,
    asked: Option<(u64, Instant)>,
}

impl RevisionTracker {
    /// Tells whether a peer that names `revision` should be asked for it; a yes is remembered.
    ///
    /// Every heartbeat and report names a revision. Without this, an instance that is behind would
    /// ask each peer with each of them and be sent the same values many times over.
    pub fn should_request(&mut self, revision: u64, have: u64, now: Instant) -> bool {
        if revision <= have {
            return false;
        }
        let waits = self
            .asked
            .is_some_and(|(r, at)| r >= revision && now.duration_since(at) < ASK_AGAIN);
        if waits {
            return false;
        }
        self.asked = Some((revision, now));
        true
    }

    /// Remembers that `manifest` was refused for `faults`.
    ///
    /// The verdict on a whole revision never changes, so fetching it again would only load the
    /// platform. A value that is missing, or of another revision, is no verdict: the platform was
    /// read in the middle of a change, and the same manifest may be good a moment later.
    pub fn reject(&mut self, manifest: &Manifest, faults: &[Diagnostic]) {
        let partial = |f: &Diagnostic| matches!(f.code, Code::ValueMissing | Code::DigestMismatch);
        if !faults.iter().any(partial) {
            self.refused = Some(manifest.clone());
        }
    }

    /// Tells whether `manifest` was refused before.
    pub fn is_rejected(&self, manifest: &Manifest) -> bool {
        self.refused.as_ref() == Some(manifest)
    }

    /// The revision after which a watch waits for news.
    ///
    /// A platform that was put back to an older state names revisions below the refused one again;
    /// `newest` is the revision that it named last, and one that fell lifts the refusal's bound.
    pub fn watch_after(&self, have: u64, newest: u64) -> u64 {
        let refused = self.refused.as_ref().map_or(0, |m| m.revision);
        if newest < refused {
            have
        } else {
            have.max(refused)
        }
    }
}
