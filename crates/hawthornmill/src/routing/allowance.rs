//! How much of a server a request may take, by how its account stands to its share.
//!
//! Load pattern: a few accounts ask for many times their share. Whatever they leave free, others find at once.

use super::usage::{FairShare, ShareStatus};

/// Part of a server's room and of the objective that a request of each standing may take.
///
/// Accounts beyond their share take what is left over. If they filled the servers, requests of the
/// others would find no room or come behind long prompts, before any could be turned away.
const PARTS: [f64; 3] = [1.0, 0.6, 0.35];
/// The same while nobody who goes before found no room lately.
const CALM_PARTS: [f64; 3] = [1.0, 0.85, 0.6];
/// Servers that may read a family's long shared part for a request of each standing.
///
/// Each further copy takes reading time and memory from all.
const COPIES: [usize; 3] = [usize::MAX, 2, 1];
/// Lead, in times of an even part, from which an account's room shrinks also while nobody lacks room.
const CALM_LEAD: f64 = 1.2;
/// Times by which an account's room shrinks at most for its lead.
const MOST_LEAD: f64 = 4.0;

/// Part of a server's room and of the objective that a request of an account with `share` may take; `calm` says that
/// nobody who goes before accounts beyond their share found no room lately.
pub fn capacity_fraction(share: FairShare, calm: bool) -> f64 {
    // Of two accounts beyond their share, the one that is ahead finds less room: alike, whoever has more entries to
    // come in by would have several times as much.
    let (parts, lead) = if calm {
        (CALM_PARTS, share.usage_ratio / CALM_LEAD)
    } else {
        (PARTS, share.usage_ratio)
    };
    parts[share.status as usize] / lead.clamp(1.0, MOST_LEAD)
}

/// Servers of its family that may read a long shared part for a request of an account of `standing`.
pub const fn max_prefix_copies(standing: ShareStatus) -> usize {
    COPIES[standing as usize]
}
