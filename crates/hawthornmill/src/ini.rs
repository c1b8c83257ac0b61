//! A strict INI parser that knows the line of each section and key.
//!
//! `rust-ini` checks the syntax but keeps no positions, so a second pass over the lines locates
//! each section and key. Settings files and configuration values share this parser; both reject
//! unknown sections and keys instead of ignoring them.

use std::fmt;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use ini::{Ini, ParseOption};

use crate::codes::Code;

/// An error in a configuration text, with its position.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Diagnostic {
    /// Numbered result code.
    pub code: Code,
    /// File or value name.
    pub file: Box<str>,
    /// Line from 1; 0 if the error concerns the whole text.
    pub line: usize,
    /// Column from 1; 0 if the error concerns the whole line.
    pub column: usize,
    /// Description of the error.
    pub message: Box<str>,
}

impl Diagnostic {
    /// The diagnostic for a file that can't be read.
    pub fn unreadable(file: &Path, message: &str) -> Self {
        Self {
            code: Code::FileUnreadable,
            file: file.display().to_string().into(),
            line: 0,
            column: 0,
            message: message.into(),
        }
    }
}

impl fmt::Display for Diagnostic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.file)?;
        if self.line > 0 {
            write!(f, ":{}", self.line)?;
        }
        if self.column > 0 {
            write!(f, ":{}", self.column)?;
        }
        write!(f, ": error {}: {}", self.code.number(), self.message)
    }
}

/// A key with its value.
#[derive(Debug, Clone)]
pub struct Entry {
    /// Name of the key.
    pub key: Box<str>,
    /// Value without surrounding whitespace.
    pub value: Box<str>,
    /// Line from 1.
    pub line: usize,
    /// Column from 1 at which the value starts.
    pub column: usize,
}

/// Longest duration that a setting in milliseconds accepts: one hour.
const MAX_DURATION_MS: f64 = 3_600_000.0;

/// A section `[kind name]` with its keys.
#[derive(Debug, Clone)]
pub struct Section {
    /// First word of the header.
    pub kind: Box<str>,
    /// The rest of the header; empty if there is none.
    pub name: Box<str>,
    /// Line of the header, from 1.
    pub line: usize,
    /// Keys in file order.
    pub entries: Vec<Entry>,
}

impl Section {
    /// The first section of `kind`, or an empty one if there is none.
    pub fn first_or_empty(sections: &[Self], kind: &str) -> Self {
        let found = sections.iter().find(|s| &*s.kind == kind).cloned();
        found.unwrap_or_else(|| Self {
            kind: kind.into(),
            name: "".into(),
            line: 0,
            entries: Vec::new(),
        })
    }

    /// The entry of `key`.
    pub fn get(&self, key: &str) -> Option<&Entry> {
        self.entries.iter().find(|e| &*e.key == key)
    }
}

/// Parses `text` into sections.
///
/// # Errors
/// Every error of the text: syntax, keys outside a section, duplicate sections or keys.
pub fn parse_sections(file: &str, text: &str) -> Result<Vec<Section>, Vec<Diagnostic>> {
    let option = ParseOption {
        enabled_quote: false,
        enabled_escape: false,
        ..ParseOption::default()
    };
    if let Err(error) = Ini::load_from_str_opt(text, option) {
        return Err(vec![Diagnostic {
            code: Code::IniSyntax,
            file: file.into(),
            line: error.line,
            column: error.col,
            message: error.msg.to_string().into(),
        }]);
    }
    let (sections, mut errors) = locate_sections(file, text);
    errors.extend(duplicates(file, &sections));
    if errors.is_empty() {
        Ok(sections)
    } else {
        Err(errors)
    }
}

fn locate_sections(file: &str, text: &str) -> (Vec<Section>, Vec<Diagnostic>) {
    let mut sections: Vec<Section> = Vec::new();
    let mut errors = Vec::new();
    for (index, raw) in text.lines().enumerate() {
        let line = raw.trim();
        if line.is_empty() || line.starts_with(['#', ';']) {
            continue;
        }
        if let Some(header) = line.strip_prefix('[').and_then(|l| l.strip_suffix(']')) {
            sections.push(new_section(header, index + 1));
            continue;
        }
        let Some((key, value)) = line.split_once('=') else {
            errors.push(syntax(
                file,
                index + 1,
                "line is neither a section nor a key",
            ));
            continue;
        };
        let Some(section) = sections.last_mut() else {
            errors.push(syntax(file, index + 1, "key before the first section"));
            continue;
        };
        let start = raw.find('=').unwrap_or(0) + 1;
        let blank = raw[start..].len() - raw[start..].trim_start().len();
        section.entries.push(Entry {
            key: key.trim().into(),
            value: value.trim().into(),
            line: index + 1,
            column: start + blank + 1,
        });
    }
    (sections, errors)
}

fn new_section(header: &str, line: usize) -> Section {
    let (kind, name) = header.trim().split_once(' ').unwrap_or((header.trim(), ""));
    Section {
        kind: kind.into(),
        name: name.trim().into(),
        line,
        entries: Vec::new(),
    }
}

fn syntax(file: &str, line: usize, message: &str) -> Diagnostic {
    Diagnostic {
        code: Code::IniSyntax,
        file: file.into(),
        line,
        column: 0,
        message: message.into(),
    }
}

fn duplicates(file: &str, sections: &[Section]) -> Vec<Diagnostic> {
    let mut errors = Vec::new();
    let mut headers = std::collections::BTreeMap::new();
    for section in sections {
        if let Some(first) = headers.insert((&section.kind, &section.name), section.line) {
            let message = format!(
                "section [{} {}] is already defined at line {first}",
                section.kind, section.name
            );
            errors.push(duplicate(file, section.line, message));
        }
        let mut keys = std::collections::BTreeMap::new();
        for entry in &section.entries {
            if let Some(first) = keys.insert(&entry.key, entry.line) {
                let message = format!("key `{}` is already defined at line {first}", entry.key);
                errors.push(duplicate(file, entry.line, message));
            }
        }
    }
    errors
}

fn duplicate(file: &str, line: usize, message: String) -> Diagnostic {
    Diagnostic {
        code: Code::Duplicate,
        file: file.into(),
        line,
        column: 0,
        message: message.into(),
    }
}

/// Reads typed values from sections and collects every error.
#[derive(Debug)]
pub struct Reader<'a> {
    file: &'a str,
    /// Errors found so far.
    pub diagnostics: Vec<Diagnostic>,
}

impl<'a> Reader<'a> {
    /// Parses `text` into sections and reports those of a kind that is not in `kinds`.
    ///
    /// # Errors
    /// As for [`parse_sections`].
    pub fn open(
        file: &'a str,
        text: &str,
        kinds: &[&str],
    ) -> Result<(Self, Vec<Section>), Vec<Diagnostic>> {
        let sections = parse_sections(file, text)?;
        let mut reader = Self::new(file);
        for section in sections.iter().filter(|s| !kinds.contains(&&*s.kind)) {
            reader.reject_unknown_section(section, kinds);
        }
        Ok((reader, sections))
    }

    /// A reader for the text named `file`.
    pub fn new(file: &'a str) -> Self {
        Self {
            file,
            diagnostics: Vec::new(),
        }
    }

    /// Adds a diagnostic.
    pub fn report(&mut self, code: Code, line: usize, column: usize, message: impl Into<Box<str>>) {
        self.diagnostics.push(Diagnostic {
            code,
            file: self.file.into(),
            line,
            column,
            message: message.into(),
        });
    }

    /// Reports keys of `section` that are not in `known`, each with the most similar known key.
    pub fn reject_unknown_keys(&mut self, section: &Section, known: &[&str]) {
        for entry in &section.entries {
            if !known.contains(&&*entry.key) {
                let message = format!(
                    "unknown key `{}`{}",
                    entry.key,
                    suggestion(&entry.key, known)
                );
                self.report(Code::UnknownKey, entry.line, 0, message);
            }
        }
    }

    /// Reports a section of a kind that is not in `known`.
    pub fn reject_unknown_section(&mut self, section: &Section, known: &[&str]) {
        let message = format!(
            "unknown section [{}]{}",
            section.kind,
            suggestion(&section.kind, known)
        );
        self.report(Code::UnknownSection, section.line, 0, message);
    }

    /// The value of `key`; reports it if it is missing.
    pub fn required(&mut self, section: &Section, key: &str) -> Option<Box<str>> {
        let found = section.get(key).map(|e| e.value.clone());
        if found.is_none() {
            let message = format!("section [{} {}] needs `{key}`", section.kind, section.name);
            self.report(Code::MissingKey, section.line, 0, message);
        }
        found
    }

    /// The value of `key` as a `T`, or `default` if the key is missing or can't be parsed.
    pub fn parse_or<T: std::str::FromStr>(
        &mut self,
        section: &Section,
        key: &str,
        default: T,
    ) -> T {
        let Some(entry) = section.get(key) else {
            return default;
        };
        if let Ok(value) = entry.value.parse() {
            return value;
        }
        let message = format!("invalid value `{}` for `{key}`", entry.value);
        self.report(Code::BadValue, entry.line, entry.column, message);
        default
    }

    /// The value of `key` if it is within `bounds`; otherwise reports it and returns `default`.
    pub fn number_in(
        &mut self,
        section: &Section,
        key: &str,
        default: f64,
        bounds: std::ops::RangeInclusive<f64>,
    ) -> f64 {
        let value: f64 = self.parse_or(section, key, default);
        if bounds.contains(&value) {
            return value;
        }
        let (line, column) = section.get(key).map_or((0, 0), |e| (e.line, e.column));
        let message = format!(
            "`{key}` must be between {} and {}",
            bounds.start(),
            bounds.end()
        );
        self.report(Code::BadValue, line, column, message);
        default
    }

    /// The value of `key` in milliseconds, at least 1 and at most one hour.
    pub fn millis(&mut self, section: &Section, key: &str, default: f64) -> Duration {
        let value = self.number_in(section, key, default, 1.0..=MAX_DURATION_MS);
        Duration::from_secs_f64(value / 1000.0)
    }

    /// The value of `key` as `IP:port`; reports it if it is missing or malformed.
    pub fn address(&mut self, section: &Section, key: &str) -> Option<SocketAddr> {
        let value = self.required(section, key)?;
        let address = value.parse().ok();
        if address.is_none() {
            let line = section.get(key).map_or(0, |e| e.line);
            let message = format!("`{key}` is IP:port, not `{value}`");
            self.report(Code::BadValue, line, 0, message);
        }
        address
    }

    /// The value of `key` as 32 bytes in hexadecimal, if present.
    ///
    /// The diagnostic doesn't repeat the value, since it may be secret.
    pub fn hex_bytes(&mut self, section: &Section, key: &str) -> Option<[u8; 32]> {
        let entry = section.get(key)?;
        if let Ok(hash) = blake3::Hash::from_hex(entry.value.as_bytes()) {
            return Some(*hash.as_bytes());
        }
        let message = format!("`{key}` is 64 hexadecimal digits");
        self.report(Code::BadValue, entry.line, 0, message);
        None
    }

    /// Returns `value` unless errors were reported.
    ///
    /// # Errors
    /// Every error reported so far.
    pub fn finish<T>(self, value: T) -> Result<T, Vec<Diagnostic>> {
        if self.diagnostics.is_empty() {
            Ok(value)
        } else {
            Err(self.diagnostics)
        }
    }

    /// The value of `key` as one of `choices`, or the first of them if the key is missing.
    pub fn choice<T: Copy>(&mut self, section: &Section, key: &str, choices: &[(&str, T)]) -> T {
        let Some(entry) = section.get(key) else {
            return choices[0].1;
        };
        if let Some((_, value)) = choices.iter().find(|(w, _)| *w == &*entry.value) {
            return *value;
        }
        let names: Vec<&str> = choices.iter().map(|(w, _)| *w).collect();
        let message = format!("`{key}` must be one of: {}", names.join(", "));
        self.report(Code::BadValue, entry.line, entry.column, message);
        choices[0].1
    }
}

fn suggestion(word: &str, known: &[&str]) -> String {
    known
        .iter()
        .map(|k| (strsim::damerau_levenshtein(word, k), k))
        .min()
        .filter(|(distance, _)| *distance <= 3)
        .map_or_else(String::new, |(_, k)| format!("; did you mean `{k}`?"))
}
