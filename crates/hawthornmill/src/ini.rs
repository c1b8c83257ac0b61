//! INI text with the line of each section and key.
//!
//! `rust-ini` reads the text; it keeps no positions, so a second pass over the lines finds where
//! each section and key stands. Settings files and configuration values share this reader, and
//! both refuse what they do not know instead of passing over it.

use std::fmt;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use ini::{Ini, ParseOption};

use crate::codes::Code;

/// One fault in an INI text: where it stands and what it is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Diagnostic {
    /// Numbered result.
    pub code: Code,
    /// File or value name.
    pub file: Box<str>,
    /// Line from 1; 0 where the fault belongs to the whole text.
    pub line: usize,
    /// Column from 1; 0 where the fault belongs to the whole line.
    pub column: usize,
    /// What is wrong, in words.
    pub message: Box<str>,
}

impl Diagnostic {
    /// A file that can't be read, and why.
    pub fn unreadable(file: &Path, what: &str) -> Self {
        Self {
            code: Code::FileUnreadable,
            file: file.display().to_string().into(),
            line: 0,
            column: 0,
            message: what.into(),
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
    /// Key as written.
    pub key: Box<str>,
    /// Value without surrounding blanks.
    pub value: Box<str>,
    /// Line from 1.
    pub line: usize,
    /// Column from 1 at which the value starts.
    pub column: usize,
}

/// Longest time that a key in milliseconds can say: an hour.
const MOST_MS: f64 = 3_600_000.0;

/// A section `[kind name]` with its keys.
#[derive(Debug, Clone)]
pub struct Section {
    /// First word of the header.
    pub kind: Box<str>,
    /// The rest of the header; empty where there is none.
    pub name: Box<str>,
    /// Line of the header, from 1.
    pub line: usize,
    /// Keys in the order of the text.
    pub entries: Vec<Entry>,
}

impl Section {
    /// The first section of `kind`, or one without keys where there is none.
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

/// Reads `text` into sections.
///
/// # Errors
/// Every fault of the text: syntax, keys outside a section, sections or keys that stand twice.
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
    let (sections, mut faults) = locate(file, text);
    faults.extend(duplicates(file, &sections));
    if faults.is_empty() {
        Ok(sections)
    } else {
        Err(faults)
    }
}

fn locate(file: &str, text: &str) -> (Vec<Section>, Vec<Diagnostic>) {
    let mut sections: Vec<Section> = Vec::new();
    let mut faults = Vec::new();
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
            faults.push(syntax(
                file,
                index + 1,
                "line is neither a section nor a key",
            ));
            continue;
        };
        let Some(section) = sections.last_mut() else {
            faults.push(syntax(file, index + 1, "key stands before any section"));
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
    (sections, faults)
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

fn syntax(file: &str, line: usize, what: &str) -> Diagnostic {
    Diagnostic {
        code: Code::IniSyntax,
        file: file.into(),
        line,
        column: 0,
        message: what.into(),
    }
}

fn duplicates(file: &str, sections: &[Section]) -> Vec<Diagnostic> {
    let mut faults = Vec::new();
    let mut headers = std::collections::BTreeMap::new();
    for section in sections {
        if let Some(first) = headers.insert((&section.kind, &section.name), section.line) {
            let what = format!(
                "section [{} {}] stands already at line {first}",
                section.kind, section.name
            );
            faults.push(duplicate(file, section.line, what));
        }
        let mut keys = std::collections::BTreeMap::new();
        for entry in &section.entries {
            if let Some(first) = keys.insert(&entry.key, entry.line) {
                let what = format!("key `{}` stands already at line {first}", entry.key);
                faults.push(duplicate(file, entry.line, what));
            }
        }
    }
    faults
}

fn duplicate(file: &str, line: usize, what: String) -> Diagnostic {
    Diagnostic {
        code: Code::Duplicate,
        file: file.into(),
        line,
        column: 0,
        message: what.into(),
    }
}

/// Reads typed values out of sections and collects every fault on the way.
#[derive(Debug)]
pub struct Reader<'a> {
    file: &'a str,
    /// Faults found so far.
    pub diagnostics: Vec<Diagnostic>,
}

impl<'a> Reader<'a> {
    /// Reads `text` into sections and notes those of a kind that is not in `kinds`.
    ///
    /// # Errors
    /// As [`parse_sections`].
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

    /// A reader for the text called `file`.
    pub fn new(file: &'a str) -> Self {
        Self {
            file,
            diagnostics: Vec::new(),
        }
    }

    /// Notes a fault.
    pub fn report(&mut self, code: Code, line: usize, column: usize, what: impl Into<Box<str>>) {
        self.diagnostics.push(Diagnostic {
            code,
            file: self.file.into(),
            line,
            column,
            message: what.into(),
        });
    }

    /// Refuses keys of `section` that are not in `known`, each with the nearest known key.
    pub fn reject_unknown_keys(&mut self, section: &Section, known: &[&str]) {
        for entry in &section.entries {
            if !known.contains(&&*entry.key) {
                let what = format!("unknown key `{}`{}", entry.key, nearest(&entry.key, known));
                self.report(Code::UnknownKey, entry.line, 0, what);
            }
        }
    }

    /// Refuses a section of a kind that is not in `known`.
    pub fn reject_unknown_section(&mut self, section: &Section, known: &[&str]) {
        let what = format!(
            "unknown section [{}]{}",
            section.kind,
            nearest(&section.kind, known)
        );
        self.report(Code::UnknownSection, section.line, 0, what);
    }

    /// The value of `key`, or a fault where it is missing.
    pub fn required(&mut self, section: &Section, key: &str) -> Option<Box<str>> {
        let found = section.get(key).map(|e| e.value.clone());
        if found.is_none() {
            let what = format!("section [{} {}] needs `{key}`", section.kind, section.name);
            self.report(Code::MissingKey, section.line, 0, what);
        }
        found
    }

    /// The value of `key` as a `T`, or `default` where the key is missing.
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
        let what = format!("`{key}` can't be `{}`", entry.value);
        self.report(Code::BadValue, entry.line, entry.column, what);
        default
    }

    /// The value of `key` if it lies in `[least, most]`, else a fault and `default`.
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
        let what = format!("`{key}` must lie in {} to {}", bounds.start(), bounds.end());
        self.report(Code::BadValue, line, column, what);
        default
    }

    /// The value of `key` in milliseconds, from one to an hour.
    pub fn millis(&mut self, section: &Section, key: &str, default: f64) -> Duration {
        let value = self.number_in(section, key, default, 1.0..=MOST_MS);
        Duration::from_secs_f64(value / 1000.0)
    }

    /// The value of `key` as `IP:port`, or a fault where it is missing or something else.
    pub fn address(&mut self, section: &Section, key: &str) -> Option<SocketAddr> {
        let value = self.required(section, key)?;
        let address = value.parse().ok();
        if address.is_none() {
            let line = section.get(key).map_or(0, |e| e.line);
            let what = format!("`{key}` is IP:port, not `{value}`");
            self.report(Code::BadValue, line, 0, what);
        }
        address
    }

    /// 32 bytes as hexadecimal digits, where `key` stands; a fault doesn't repeat them, since they may
    /// be secret.
    pub fn hex_bytes(&mut self, section: &Section, key: &str) -> Option<[u8; 32]> {
        let entry = section.get(key)?;
        if let Ok(hash) = blake3::Hash::from_hex(entry.value.as_bytes()) {
            return Some(*hash.as_bytes());
        }
        let what = format!("`{key}` is 64 hexadecimal digits");
        self.report(Code::BadValue, entry.line, 0, what);
        None
    }

    /// What was read, unless there are faults.
    ///
    /// # Errors
    /// Every fault noted so far.
    pub fn finish<T>(self, value: T) -> Result<T, Vec<Diagnostic>> {
        if self.diagnostics.is_empty() {
            Ok(value)
        } else {
            Err(self.diagnostics)
        }
    }

    /// The value of `key` as one of `words`, or the first word where the key is missing.
    pub fn choice<T: Copy>(&mut self, section: &Section, key: &str, words: &[(&str, T)]) -> T {
        let Some(entry) = section.get(key) else {
            return words[0].1;
        };
        if let Some((_, value)) = words.iter().find(|(w, _)| *w == &*entry.value) {
            return *value;
        }
        let names: Vec<&str> = words.iter().map(|(w, _)| *w).collect();
        let what = format!("`{key}` must be one of: {}", names.join(", "));
        self.report(Code::BadValue, entry.line, entry.column, what);
        words[0].1
    }
}

fn nearest(word: &str, known: &[&str]) -> String {
    known
        .iter()
        .map(|k| (strsim::damerau_levenshtein(word, k), k))
        .min()
        .filter(|(distance, _)| *distance <= 3)
        .map_or_else(String::new, |(_, k)| format!("; did you mean `{k}`?"))
}
