//! Fraction of a server's capacity that a request may use, by its account's fair-share status.
//!
//! Load pattern: a few accounts request many times their fair share. Capacity that they leave free is available to
//! other accounts without delay.

use super::usage::FairShare;

/// Fraction of a server's capacity that a request of each status may use.
///
/// Accounts above their fair share get what is left over. If they filled the servers, requests of other accounts would
/// find no capacity, or queue behind long prompts, before any request could be refused.
const CONTENDED_FRACTIONS: [f64; 3] = [1.0, 0.6, 0.35];
/// The same while no accounts ahead of those above their fair share have much unmet demand.
const UNCONTENDED_FRACTIONS: [f64; 3] = [1.0, 0.85, 0.6];
/// Servers that may prefill a family's long shared prefix, for a request of each status.
///
/// Each further copy takes prefill time and KV memory from all accounts.
const MAX_COPIES: [usize; 3] = [usize::MAX, 2, 1];
/// The same at most for an account that requests more than its fair share.
const MAX_LIMITED_COPIES: usize = 2;
/// Part of its fraction of the objective that a request may be expected to take, where it may not use all of it.
///
/// Expected times are those of a moment ago; with the rest, a request that goes first is still in time behind it.
const LATENCY_MARGIN: f64 = 0.7;
/// Usage ratio from which an account's capacity shrinks even without contention.
const UNCONTENDED_RATIO: f64 = 1.2;
/// Largest factor by which an account's capacity shrinks for its usage ratio.
const MAX_REDUCTION: f64 = 4.0;
/// Largest fraction for an account that requests more than its fair share; the rest is for those that request less.
const LIMITED_FRACTION: f64 = 0.9;

/// Returns the fraction of a server's capacity for an account with `share`.
///
/// `uncontended` means that no accounts ahead of those above their fair share have much unmet demand.
pub fn capacity_fraction(share: FairShare, uncontended: bool) -> f64 {
    // Of two accounts above their fair share, the one with more usage gets less. With equal fractions, an account that
    // enters at more instances would get several times as much.
    let (fractions, reduction) = if uncontended {
        (UNCONTENDED_FRACTIONS, share.usage_ratio / UNCONTENDED_RATIO)
    } else {
        (CONTENDED_FRACTIONS, share.usage_ratio)
    };
    let most = if share.is_limited {
        LIMITED_FRACTION
    } else {
        1.0
    };
    (fractions[share.status as usize] / reduction.clamp(1.0, MAX_REDUCTION)).min(most)
}

/// Returns the fraction of the latency objective that a request may be expected to take, for its fraction of the capacity.
pub fn latency_fraction(capacity_fraction: f64) -> f64 {
    if capacity_fraction < 1.0 {
        capacity_fraction * LATENCY_MARGIN
    } else {
        1.0
    }
}

/// Returns the number of servers that may prefill a long shared prefix for an account with `share`.
pub fn max_prefix_copies(share: FairShare) -> usize {
    let copies = MAX_COPIES[share.status as usize];
    if share.is_limited {
        copies.min(MAX_LIMITED_COPIES)
    } else {
        copies
    }
}
