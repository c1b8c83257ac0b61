//! Tracks revisions that an instance doesn't have: requested from a peer, or rejected.

use std::time::{Duration, Instant};

use super::accept::Manifest;
use crate::codes::Code;
use crate::ini::Diagnostic;

/// Time after which a revision is requested again, from the next peer that announces it.
const REQUEST_RETRY: Duration = Duration::from_millis(500);

/// The last rejected revision and the one requested from a peer.
#[derive(Debug, Clone, Default)]
pub struct RevisionTracker {
    rejected: Option<Manifest>,
    requested: Option<(u64, Instant)>,
}

impl RevisionTracker {
    /// Returns whether to request `revision` from a peer that announces it, and records the request.
    ///
    /// Every heartbeat and report carries a revision. Without this check, an instance that is
    /// behind would request the same values once for each of them.
    pub fn should_request(&mut self, revision: u64, have: u64, now: Instant) -> bool {
        if revision <= have {
            return false;
        }
        let pending = self
            .requested
            .is_some_and(|(r, at)| r >= revision && now.duration_since(at) < REQUEST_RETRY);
        if pending {
            return false;
        }
        self.requested = Some((revision, now));
        true
    }

    /// Records that `manifest` was rejected because of `errors`.
    ///
    /// A complete revision is always rejected for the same errors, so fetching it again would only
    /// load the platform. A missing value, or one of another revision, is different: the platform
    /// was read in the middle of a change, and the same manifest may be valid a moment later.
    pub fn reject(&mut self, manifest: &Manifest, errors: &[Diagnostic]) {
        let partial = |f: &Diagnostic| matches!(f.code, Code::ValueMissing | Code::DigestMismatch);
        if !errors.iter().any(partial) {
            self.rejected = Some(manifest.clone());
        }
    }

    /// Returns whether `manifest` was rejected before.
    pub fn is_rejected(&self, manifest: &Manifest) -> bool {
        self.rejected.as_ref() == Some(manifest)
    }

    /// The revision after which to watch the platform for a newer one.
    ///
    /// A platform restored from a backup publishes revisions below the rejected one again. `newest`
    /// is the revision that it published last; if it is lower than the rejected one, the rejected
    /// one no longer counts.
    pub fn watch_after(&self, have: u64, newest: u64) -> u64 {
        let rejected = self.rejected.as_ref().map_or(0, |m| m.revision);
        if newest < rejected {
            have
        } else {
            have.max(rejected)
        }
    }
}
