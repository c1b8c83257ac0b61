//! Labels and the selectors that match them.
//!
//! The grammar is the usual one of label selectors, terms joined by commas and all of them
//! required: `key`, `!key`, `key=value`, `key!=value`, `key in (a,b)`, `key notin (a,b)`. An empty
//! selector matches everything.

use std::collections::BTreeMap;

use smallvec::SmallVec;
use snafu::Snafu;

/// Labels of an account or a backend server.
pub type Labels = BTreeMap<Box<str>, Box<str>>;

/// Why a selector or a label list can't be parsed.
#[derive(Debug, Snafu, PartialEq, Eq)]
#[snafu(display("column {column}: {message}"))]
pub struct SelectorError {
    /// Column from 1 within the text.
    pub column: usize,
    /// Description of the error.
    pub message: Box<str>,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Condition {
    Exists,
    Absent,
    In(SmallVec<[Box<str>; 2]>),
    NotIn(SmallVec<[Box<str>; 2]>),
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct Term {
    key: Box<str>,
    condition: Condition,
}

/// A conjunction of conditions on labels.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Selector {
    terms: SmallVec<[Term; 2]>,
}

impl Selector {
    /// Parses `text`.
    ///
    /// # Errors
    /// The first error with its column.
    pub fn parse(text: &str) -> Result<Self, SelectorError> {
        let mut terms = SmallVec::new();
        if text.trim().is_empty() {
            return Ok(Self { terms });
        }
        for (start, part) in split_terms(text)? {
            terms.push(parse_term(start, part)?);
        }
        Ok(Self { terms })
    }

    /// Returns whether `labels` satisfy every term.
    pub fn matches(&self, labels: &Labels) -> bool {
        self.terms.iter().all(|t| t.matches(labels))
    }

    /// The label keys that the selector uses.
    pub fn keys(&self) -> impl Iterator<Item = &str> {
        self.terms.iter().map(|t| &*t.key)
    }
}

impl Term {
    fn matches(&self, labels: &Labels) -> bool {
        let value = labels.get(&self.key);
        match &self.condition {
            Condition::Exists => value.is_some(),
            Condition::Absent => value.is_none(),
            Condition::In(set) => value.is_some_and(|v| set.contains(v)),
            Condition::NotIn(set) => value.is_none_or(|v| !set.contains(v)),
        }
    }
}

fn error(column: usize, message: impl Into<Box<str>>) -> SelectorError {
    SelectorError {
        column: column + 1,
        message: message.into(),
    }
}

fn split_terms(text: &str) -> Result<Vec<(usize, &str)>, SelectorError> {
    let mut parts = Vec::new();
    let mut open = None;
    let mut start = 0;
    for (at, c) in text.char_indices() {
        match c {
            '(' if open.is_some() => return Err(error(at, "`(` inside a list")),
            '(' => open = Some(at),
            ')' if open.is_none() => return Err(error(at, "`)` without `(`")),
            ')' => open = None,
            ',' if open.is_none() => {
                parts.push((start, &text[start..at]));
                start = at + 1;
            }
            _ => {}
        }
    }
    if let Some(at) = open {
        return Err(error(at, "`(` is never closed"));
    }
    parts.push((start, &text[start..]));
    Ok(parts)
}

fn parse_term(start: usize, part: &str) -> Result<Term, SelectorError> {
    let at = start + part.len() - part.trim_start().len();
    let term = part.trim();
    if term.is_empty() {
        return Err(error(at, "empty term"));
    }
    if let Some(key) = term.strip_prefix('!') {
        return new_term(at + 1, key, Condition::Absent);
    }
    if let Some((key, value)) = term.split_once("!=") {
        let values = one_value(at + key.len() + 2, value)?;
        return new_term(at, key, Condition::NotIn(values));
    }
    if let Some((key, value)) = term.split_once('=') {
        let value = value.strip_prefix('=').unwrap_or(value);
        let values = one_value(at + key.len() + 1, value)?;
        return new_term(at, key, Condition::In(values));
    }
    parse_set(at, term)
}

fn parse_set(at: usize, term: &str) -> Result<Term, SelectorError> {
    let Some((head, list)) = term.split_once('(') else {
        return new_term(at, term, Condition::Exists);
    };
    let list_at = at + head.len() + 1;
    let Some(list) = list.strip_suffix(')') else {
        return Err(error(at + term.len(), "text after `)`"));
    };
    let mut values = SmallVec::new();
    let mut value_at = list_at;
    for value in list.split(',') {
        values.extend(one_value(value_at, value)?);
        value_at += value.len() + 1;
    }
    match head.trim().rsplit_once(char::is_whitespace) {
        Some((key, "in")) => new_term(at, key, Condition::In(values)),
        Some((key, "notin")) => new_term(at, key, Condition::NotIn(values)),
        _ => Err(error(at, "a list needs `key in` or `key notin` before it")),
    }
}

fn one_value(at: usize, value: &str) -> Result<SmallVec<[Box<str>; 2]>, SelectorError> {
    let value = value.trim();
    check_word(at, value)?;
    Ok(SmallVec::from_iter([Box::from(value)]))
}

fn new_term(at: usize, key: &str, condition: Condition) -> Result<Term, SelectorError> {
    let key = key.trim();
    check_word(at, key)?;
    Ok(Term {
        key: key.into(),
        condition,
    })
}

fn check_word(at: usize, word: &str) -> Result<(), SelectorError> {
    if word.is_empty() {
        return Err(error(at, "a key or value is empty"));
    }
    let allowed = |c: char| c.is_alphanumeric() || matches!(c, '-' | '_' | '.' | '/');
    match word.char_indices().find(|(_, c)| !allowed(*c)) {
        Some((index, c)) => Err(error(
            at + index,
            format!("invalid character `{c}` in a key or value"),
        )),
        None => Ok(()),
    }
}

/// Parses a label list, `key=value, key=value`.
///
/// # Errors
/// The first error with its column.
pub fn parse_labels(text: &str) -> Result<Labels, SelectorError> {
    let mut labels = Labels::new();
    if text.trim().is_empty() {
        return Ok(labels);
    }
    let mut at = 0;
    for part in text.split(',') {
        let Some((key, value)) = part.split_once('=') else {
            return Err(error(at, "a label is written key=value"));
        };
        check_word(at, key.trim())?;
        check_word(at + key.len() + 1, value.trim())?;
        if labels
            .insert(key.trim().into(), value.trim().into())
            .is_some()
        {
            return Err(error(at, "the label is given twice"));
        }
        at += part.len() + 1;
    }
    Ok(labels)
}
