//! What instances of the gateway tell each other.

use hawthornmill::routing::news::{Mate, News, Reading};

/// News of an instance at `mate` that takes requests, reads the store and has nothing else to tell.
pub const fn news_of(mate: Mate) -> News {
    News {
        mate,
        ready: true,
        leaving: false,
        reading: Reading::Answered,
        version: 1,
        revision: 1,
        work: Vec::new(),
        usage: Vec::new(),
        strays: Vec::new(),
        short: Vec::new(),
        others: Vec::new(),
    }
}
