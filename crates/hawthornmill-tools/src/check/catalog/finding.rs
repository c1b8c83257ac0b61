//! Findings of a check, and the report of all of them as text and JSON.

use std::fmt;

use hawthornmill::codes::Code;
use hawthornmill::ini::Diagnostic;
use hawthornmill::routing::catalog::Catalog;
use serde::{Serialize, Serializer};

/// How bad a finding is, the mildest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Severity {
    /// A difference from the version in force.
    Info,
    /// The gateways accept it, but it is hardly meant.
    Warning,
    /// The gateways refuse the configuration, or requests fail by it.
    Error,
    /// Something that is needed for the check can't be read.
    Unreadable,
}

impl Severity {
    /// Returns the severity of all findings with `code`.
    pub const fn of(code: Code) -> Self {
        match code {
            Code::FileUnreadable | Code::PlatformUnreachable => Self::Unreadable,
            _ => match code.number() {
                5200..5300 => Self::Warning,
                5300..5400 => Self::Info,
                5400..5500 => Self::Unreadable,
                _ => Self::Error,
            },
        }
    }

    /// Returns the exit code of a check whose worst finding has this severity.
    pub const fn exit_code(self) -> u8 {
        match self {
            Self::Info => 0,
            Self::Warning => 1,
            Self::Error => 2,
            Self::Unreadable => 3,
        }
    }

    const fn name(self) -> &'static str {
        match self {
            Self::Info => "info",
            Self::Warning => "warning",
            Self::Error => "error",
            Self::Unreadable => "unreadable",
        }
    }
}

/// One result of a check.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// Number of the finding.
    #[serde(serialize_with = "write_number")]
    pub code: Code,
    /// How bad it is.
    pub severity: Severity,
    /// File or address that it concerns.
    pub file: Box<str>,
    /// Line from 1; 0 where none is known.
    pub line: usize,
    /// Description.
    pub message: Box<str>,
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes a reference"
)]
fn write_number<S: Serializer>(code: &Code, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_u16(code.number())
}

impl From<Diagnostic> for Finding {
    fn from(fault: Diagnostic) -> Self {
        Self {
            code: fault.code,
            severity: Severity::of(fault.code),
            file: fault.file,
            line: fault.line,
            message: fault.message,
        }
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.file)?;
        if self.line > 0 {
            write!(f, ":{}", self.line)?;
        }
        let (severity, number) = (self.severity.name(), self.code.number());
        write!(f, ": {severity} {number}: {}", self.message)
    }
}

/// Findings about one file or address, as they are collected.
#[derive(Debug)]
pub struct Findings {
    file: Box<str>,
    list: Vec<Finding>,
}

impl Findings {
    /// Creates an empty list for `file`.
    pub fn of(file: &str) -> Self {
        Self {
            file: file.into(),
            list: Vec::new(),
        }
    }

    /// Adds a finding.
    pub fn add(&mut self, code: Code, message: impl Into<Box<str>>) {
        self.list.push(Finding {
            code,
            severity: Severity::of(code),
            file: self.file.clone(),
            line: 0,
            message: message.into(),
        });
    }

    /// Returns the findings.
    pub fn into_list(self) -> Vec<Finding> {
        self.list
    }
}

/// Result of a check.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Report {
    /// Version of the checked catalog, if it can be parsed.
    pub version: Option<u64>,
    /// Version of the catalog that it was compared with.
    pub in_force: Option<u64>,
    /// Number of routes.
    pub routes: usize,
    /// Number of services.
    pub services: usize,
    /// Number of accounts.
    pub accounts: usize,
    /// The worst findings first.
    pub findings: Vec<Finding>,
}

impl Report {
    /// Sets the version and the numbers of entries.
    pub fn describe(&mut self, catalog: &Catalog) {
        self.version = Some(catalog.version);
        self.routes = catalog.routes.len();
        self.services = catalog.services.len();
        self.accounts = catalog.accounts.len();
    }

    /// Adds findings, and puts the worst ones first.
    pub fn extend(&mut self, findings: impl IntoIterator<Item = Finding>) {
        self.findings.extend(findings);
        self.findings
            .sort_by_key(|f| (std::cmp::Reverse(f.severity), f.code));
    }

    /// Returns the exit code of the process.
    pub fn exit_code(&self) -> u8 {
        let worst = self.findings.iter().map(|f| f.severity).max();
        worst.map_or(0, Severity::exit_code)
    }

    /// Returns the summary and the differences as lines of text.
    pub fn summary(&self) -> String {
        let mut lines = Vec::new();
        if let Some(version) = self.version {
            let (routes, services, accounts) = (self.routes, self.services, self.accounts);
            lines.push(format!(
                "version {version}: {routes} routes, {services} services, {accounts} accounts"
            ));
        }
        if let Some(in_force) = self.in_force {
            lines.push(format!("compared with version {in_force}"));
        }
        let differences = self.of(|severity| severity == Severity::Info);
        lines.extend(differences.map(ToString::to_string));
        let count = |severity: Severity, kind: &str| format!("{} {kind}", self.count(severity));
        let mut counts = vec![
            count(Severity::Error, "errors"),
            count(Severity::Warning, "warnings"),
        ];
        if self.count(Severity::Unreadable) > 0 {
            counts.push(count(Severity::Unreadable, "can't be read"));
        }
        lines.push(counts.join(", "));
        lines.join("\n") + "\n"
    }

    /// Returns the findings that are no mere differences as lines of text.
    pub fn problems(&self) -> String {
        let problems = self.of(|severity| severity > Severity::Info);
        problems.fold(String::new(), |text, finding| {
            text + &format!("{finding}\n")
        })
    }

    /// Returns the report as one JSON object.
    pub fn json(&self) -> String {
        let mut report = serde_json::json!(self);
        report["errors"] = self.count(Severity::Error).into();
        report["warnings"] = self.count(Severity::Warning).into();
        report["unreadable"] = self.count(Severity::Unreadable).into();
        report["exit_code"] = self.exit_code().into();
        format!("{report:#}\n")
    }

    fn of(&self, is_wanted: impl Fn(Severity) -> bool) -> impl Iterator<Item = &Finding> {
        let findings = self.findings.iter();
        findings.filter(move |f| is_wanted(f.severity))
    }

    fn count(&self, severity: Severity) -> usize {
        self.of(|s| s == severity).count()
    }
}
