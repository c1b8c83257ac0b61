//! Where a server fetches cached parts of a prompt from.

use std::time::Duration;

use super::{Candidate, PlacementRequest, RequestContext};
use crate::ident::ServerId;

/// Cached tokens from which a server fetches them from another one, if that is faster than to prefill them.
const MIN_FETCHED_TOKENS: u32 = 200;
/// Servers in the order of a family from which others fetch its prefix.
const FETCHED_FROM_HOMES: usize = 2;
/// Time until a fetch begins.
const FETCH_SETUP: Duration = Duration::from_millis(3);

/// Cached tokens that a server fetches from another one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Fetch {
    /// Server that caches them.
    pub source: ServerId,
    /// Number of tokens beyond what the receiving server is known to cache.
    pub tokens: u32,
}

/// Returns from where `server` should fetch cached tokens that it lacks, if that is faster than to prefill them.
///
/// The source has the same software version, since what two versions keep doesn't fit together, and is in the same region:
/// what another request left there may be bound to it, and the link between regions is narrow. The first servers in the order of the family count as caching the shared prefix. One that doesn't costs no more
/// than the attempt to fetch from it, so a home of which this isn't known for sure gets a source too: after a restart or an
/// evacuation of the home, the second server has taken its place meanwhile.
pub(super) fn fetch(
    request: &PlacementRequest<'_>,
    context: &RequestContext<'_>,
    server: ServerId,
) -> Option<Fetch> {
    let engine = request.engine.filter(|e| !e.copy_time.is_zero());
    let engine = engine.filter(|_| request.fetches_prefixes)?;
    let target = context.candidate(server)?;
    let region = target.region?;
    let fits = |c: &Candidate<'_>| c.region == Some(region) && c.version == target.version;
    let is_source = |id: ServerId| id != server && context.candidate(id).is_some_and(fits);
    let homes = context.homes.iter().filter(|home| is_source(**home));
    let homes = homes
        .take(FETCHED_FROM_HOMES)
        .map(|home| (*home, context.shared_tokens));
    let hits = context.hits.iter().filter(|(id, _)| is_source(*id));
    let (source, tokens) = hits
        .copied()
        .chain(homes)
        .reduce(|best, next| if next.1 > best.1 { next } else { best })?;
    let known = context.hits.iter().find(|(id, _)| *id == server);
    let tokens = tokens.saturating_sub(known.map_or(0, |(_, tokens)| *tokens));
    let time = FETCH_SETUP + engine.copy_time * tokens;
    let is_faster = time < request.ttft.prefill_time(tokens);
    (tokens >= MIN_FETCHED_TOKENS && is_faster).then_some(Fetch { source, tokens })
}
