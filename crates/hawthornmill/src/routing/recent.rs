//! Changes that are announced to other instances for a while.

use std::time::{Duration, Instant};

/// Time for which a change is announced, so that it outlasts lost datagrams.
const REPORT_TTL: Duration = Duration::from_millis(900);

/// Origin of an announcement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// This instance itself: it saw the change, or read it from the platform's store.
    Own,
    /// Another instance.
    Peer,
}

/// Which instances are told of changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Audience {
    /// Those of the own failure domain, where each instance announces what it learnt itself.
    Domain,
    /// Those of other failure domains, which are told everything on behalf of the own one.
    OtherDomains,
}

impl Audience {
    const fn is_told(self, source: Source) -> bool {
        matches!((self, source), (Self::OtherDomains, _) | (_, Source::Own))
    }
}

/// Recent changes of one kind, with their origin.
#[derive(Debug, Clone)]
pub struct Recent<T> {
    recent: Vec<(T, Source, Instant)>,
}

impl<T> Default for Recent<T> {
    fn default() -> Self {
        Self { recent: Vec::new() }
    }
}

impl<T: Clone> Recent<T> {
    /// Records a change.
    pub fn record(&mut self, change: T, source: Source, now: Instant) {
        self.recent
            .retain(|(_, _, at)| now.duration_since(*at) < REPORT_TTL);
        self.recent.push((change, source, now));
    }

    /// Returns the newest fresh changes that `audience` is told, with their age.
    pub fn select(&self, now: Instant, audience: Audience, most: usize) -> Vec<(T, Duration)> {
        let fresh = self.recent.iter().rev().filter_map(|(change, source, at)| {
            let age = now.duration_since(*at);
            (audience.is_told(*source) && age < REPORT_TTL).then(|| (change.clone(), age))
        });
        fresh.take(most).collect()
    }
}
