//! Checks recorded copies of calls against the promises to callers.
//!
//! Each key is a write-once register: its call is run once, refused for good, or neither. What an
//! answer says is an operation on that register, from the send to the end of the answer, and the
//! operations of one key must be linearizable. Plain invariants compare the same copies with what
//! the servers counted.

use std::collections::BTreeMap;

use todc_utils::linearizability::history::{Action, History};
use todc_utils::{Specification, WGLChecker};

use crate::load::story::Copy;

/// Runs that the servers counted, by tag of the call.
pub type Books = BTreeMap<Box<str>, u32>;

/// A broken promise.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Violation {
    /// A call ran more than once.
    RanTwice(Box<str>),
    /// A call was answered that no server ran.
    AnswerWithoutRun(Box<str>),
    /// `not_run` was said of a call that ran.
    FalseNotRun(Box<str>),
    /// `ran` was said of a call that did not run.
    FalseRan(Box<str>),
    /// An answer belonged to another call.
    Crossed(Box<str>),
    /// Two calls were answered with the same run.
    SharedRun(Box<str>, Box<str>),
    /// What the answers to one key said has no order in which all of it is true.
    Inconsistent(Box<str>),
}

/// What an answer says of its key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Said {
    /// It ran, and this serial number is of its run.
    Answered(u64),
    /// It ran; the answer is not known.
    Ran,
    /// It did not run and never will.
    Refused,
}

/// State of a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum KeyState {
    Fresh,
    Refused,
    /// Its call ran; 0 while nobody has seen the serial number.
    Ran(u64),
}

/// A key as a write-once register.
#[derive(Debug)]
struct WriteOnce;

impl Specification for WriteOnce {
    type State = KeyState;
    type Operation = Said;

    fn init() -> KeyState {
        KeyState::Fresh
    }

    fn apply(op: &Said, state: &KeyState) -> (bool, KeyState) {
        use KeyState::{Fresh, Ran, Refused};
        match (*op, *state) {
            (Said::Answered(serial), Fresh | Ran(0)) => (true, Ran(serial)),
            (Said::Answered(serial), Ran(known)) => (serial == known, *state),
            (Said::Ran, Fresh) => (true, Ran(0)),
            (Said::Ran, Ran(_)) => (true, *state),
            (Said::Refused, Fresh | Refused) => (true, Refused),
            _ => (false, *state),
        }
    }
}

/// Every promise that `copies` and `books` show broken.
pub fn check(copies: &[Copy], books: &Books) -> Vec<Violation> {
    let mut found = Vec::new();
    for (tag, runs) in books {
        if *runs > 1 {
            found.push(Violation::RanTwice(tag.clone()));
        }
    }
    for copy in copies {
        check_copy(copy, books, &mut found);
    }
    check_serials(copies, &mut found);
    check_attempts(copies, books, &mut found);
    let mut keys: BTreeMap<&str, Vec<&Copy>> = BTreeMap::new();
    for copy in copies {
        if let Some(key) = &copy.key {
            keys.entry(key).or_default().push(copy);
        }
    }
    for (key, copies) in keys {
        if !linearizable(&copies) {
            found.push(Violation::Inconsistent(key.into()));
        }
    }
    found
}

fn runs(books: &Books, tag: &str) -> u32 {
    books.get(tag).copied().unwrap_or(0)
}

fn check_copy(copy: &Copy, books: &Books, found: &mut Vec<Violation>) {
    let ran = runs(books, &copy.tag) > 0;
    if copy.crossed {
        found.push(Violation::Crossed(copy.tag.clone()));
    }
    match &*copy.outcome {
        "whole" if !ran => found.push(Violation::AnswerWithoutRun(copy.tag.clone())),
        "ran" if !ran => found.push(Violation::FalseRan(copy.tag.clone())),
        // A call goes on with a new key after a refusal, so that only its own key's runs count.
        "not_run" if ran && copy.key.is_none() => {
            found.push(Violation::FalseNotRun(copy.tag.clone()));
        }
        _ => {}
    }
}

/// A call of which every copy went nowhere did not run, and a key that was refused never ran.
fn check_attempts(copies: &[Copy], books: &Books, found: &mut Vec<Violation>) {
    let mut calls: BTreeMap<&str, Vec<&Copy>> = BTreeMap::new();
    for copy in copies {
        calls.entry(&copy.tag).or_default().push(copy);
    }
    for (tag, copies) in calls {
        if runs(books, tag) == 0 {
            continue;
        }
        // A run belongs to a key that was not refused and of which some copy went somewhere.
        let possible = copies.iter().any(|copy| {
            let same: Vec<_> = copies.iter().filter(|c| c.key == copy.key).collect();
            same.iter()
                .all(|c| &*c.outcome != "not_run" || c.key.is_none())
                && same.iter().any(|c| &*c.attempt != "not_run")
        });
        if !possible {
            found.push(Violation::FalseNotRun(tag.into()));
        }
    }
}

fn check_serials(copies: &[Copy], found: &mut Vec<Violation>) {
    let mut seen: BTreeMap<u64, &str> = BTreeMap::new();
    for copy in copies.iter().filter(|c| c.serial > 0) {
        let first = *seen.entry(copy.serial).or_insert(&copy.tag);
        if *first != *copy.tag {
            found.push(Violation::SharedRun(first.into(), copy.tag.clone()));
        }
    }
}

fn said(copy: &Copy) -> Option<Said> {
    match &*copy.outcome {
        "whole" => Some(Said::Answered(copy.serial)),
        "ran" => Some(Said::Ran),
        "not_run" => Some(Said::Refused),
        // Nothing was claimed of the key, so any state is fine.
        _ => None,
    }
}

fn linearizable(copies: &[&Copy]) -> bool {
    let mut events = Vec::new();
    for (process, copy) in copies.iter().enumerate() {
        if let Some(said) = said(copy) {
            // At the same microsecond a call counts as before a response, so that they overlap.
            events.push((copy.sent_us, 0, process, Action::Call(said)));
            events.push((copy.end_us, 1, process, Action::Response(said)));
        }
    }
    if events.is_empty() {
        return true;
    }
    events.sort_by_key(|(at, order, process, _)| (*at, *order, *process));
    let actions = events.into_iter().map(|(_, _, process, a)| (process, a));
    WGLChecker::<WriteOnce>::is_linearizable(History::from_actions(actions.collect()))
}
