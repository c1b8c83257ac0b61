//! What a stand-in server ran: by tag, by account, and over time.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use serde::Serialize;

/// Runs of one tag.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Runs {
    /// Times that the call was started.
    pub started: u32,
    /// Times that it was run to its end.
    pub finished: u32,
}

/// What one server ran.
#[derive(Debug, Clone, Serialize)]
pub struct Book {
    /// Requests that run now.
    pub running: u32,
    /// The server says that it is about to go.
    pub leaving: bool,
    /// Most requests that ran at once.
    pub peak: u32,
    /// Request-seconds run so far.
    pub busy: f64,
    /// Cost by account.
    pub cost: BTreeMap<Box<str>, f64>,
    /// Runs by tag.
    pub runs: BTreeMap<Box<str>, Runs>,
    #[serde(skip)]
    touched: Instant,
}

/// The book of one server, shared between its calls.
#[derive(Debug)]
pub struct Ledger {
    book: Mutex<Book>,
}

impl Default for Ledger {
    fn default() -> Self {
        Self {
            book: Mutex::new(Book {
                running: 0,
                leaving: false,
                peak: 0,
                busy: 0.0,
                cost: BTreeMap::new(),
                runs: BTreeMap::new(),
                touched: Instant::now(),
            }),
        }
    }
}

/// The account's part of a tag `account/call`.
pub fn account_of(tag: &str) -> &str {
    tag.split_once('/').map_or(tag, |(account, _)| account)
}

impl Ledger {
    /// Locks the book, with busy time counted up to now.
    pub fn lock(&self) -> MutexGuard<'_, Book> {
        let mut book = self.book.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        let passed = now.duration_since(book.touched).as_secs_f64();
        book.busy += passed * f64::from(book.running);
        book.touched = now;
        book
    }

    /// Requests that run now, and whether the server says that it is about to go.
    pub fn load(&self) -> (u32, bool) {
        let book = self.lock();
        (book.running, book.leaving)
    }

    /// Lets the server say that it is about to go.
    pub fn set_leaving(&self, leaving: bool) {
        self.lock().leaving = leaving;
    }

    /// A call begins.
    pub fn start(&self, tag: &str) {
        let mut book = self.lock();
        book.running += 1;
        book.peak = book.peak.max(book.running);
        book.runs.entry(tag.into()).or_default().started += 1;
    }

    /// A call produced `cost` more.
    pub fn add_cost(&self, tag: &str, cost: f64) {
        let mut book = self.lock();
        *book.cost.entry(account_of(tag).into()).or_default() += cost;
    }

    /// A call ends, `whole` when nothing broke it off.
    pub fn end(&self, tag: &str, whole: bool) {
        let mut book = self.lock();
        book.running -= 1;
        if whole {
            book.runs.entry(tag.into()).or_default().finished += 1;
        }
    }
}
