//! Tells the story of one request from the logs of gateways.
//!
//! Logs may come in any order, from any number of processes whose clocks differ. Within one log the
//! order of lines is the order of events; between logs only the times can be compared, and the story
//! says so. A request has its lines in one log, that of the instance that took it in; what that
//! instance believed then stands in the lines before.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::path::{Path, PathBuf};

use hawthornmill::ini::Diagnostic;
use serde::Serialize;
use serde_json::Value;

/// Beliefs that a story repeats, and by which field two lines are about different things.
const BELIEFS: &[(&str, &str)] = &[
    ("start", ""),
    ("leaving", ""),
    ("catalog_in_force", ""),
    ("catalog_refused", ""),
    ("registrations_listed", ""),
    ("registration", "server"),
    ("store_lost", "topic"),
    ("store_regained", "topic"),
    ("store_history_lost", "topic"),
    ("settings_refused", ""),
];
/// Registrations of other servers than the request's are left out, unless it had none.
const REGISTRATION: &str = "registration";

/// Field of a line that is about several requests.
const SEVERAL: &str = "requests";
/// Events after which a request has no further line.
const LAST: &[&str] = &["ended", "turned_away"];

/// One line of a log that matters.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Line {
    /// Milliseconds of Unix time by the instance's own clock.
    pub time: u64,
    /// What happened.
    pub event: Box<str>,
    /// Everything else that the line says.
    pub fields: BTreeMap<Box<str>, Value>,
}

/// What one instance did with the request.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Part {
    /// The instance, or its log's name where it never said.
    pub instance: Box<str>,
    /// What it believed when the request came, the latest word on each matter.
    pub believed: Vec<Line>,
    /// The request's own lines in order.
    pub steps: Vec<Line>,
    /// Lines that should be there and are not.
    pub missing: Vec<Box<str>>,
}

/// The story of one request.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Story {
    /// The request.
    pub request: Box<str>,
    /// One part for each instance that has lines of it, the earliest first.
    pub parts: Vec<Part>,
}

/// Reads one log and takes from it what concerns `request`; none when nothing does.
pub fn read(name: &str, text: &str, request: &str) -> Option<Part> {
    let lines: Vec<Line> = text.lines().filter_map(line).collect();
    let own = |l: &Line| concerns(l, request);
    let first = lines.iter().position(own)?;
    let steps: Vec<Line> = lines.iter().filter(|l| own(l)).cloned().collect();
    let before = &lines[..first];
    let started = before.iter().rposition(|l| &*l.event == "start");
    let instance = started.and_then(|at| before[at].fields.get("instance")?.as_str());
    Some(Part {
        instance: instance.unwrap_or(name).into(),
        believed: believed(&before[started.unwrap_or(0)..], &steps),
        missing: missing(&lines, &steps, started.is_some()),
        steps,
    })
}

/// Tells whether a line is about `request`, alone or as one of several.
fn concerns(line: &Line, request: &str) -> bool {
    let list = line.fields.get(SEVERAL).and_then(Value::as_array);
    let mut several = list.into_iter().flatten();
    line.fields.get("request").and_then(Value::as_str) == Some(request)
        || several.any(|r| r.as_str() == Some(request))
}

/// A line of the log; none where there is no object on it.
///
/// The collector of the logs may have put its own words before the object.
fn line(text: &str) -> Option<Line> {
    let object = &text[text.find('{')?..];
    let mut fields: BTreeMap<Box<str>, Value> = serde_json::from_str(object).ok()?;
    let event = fields.remove("event")?.as_str()?.into();
    let time = fields
        .remove("time_ms")
        .and_then(|t| t.as_u64())
        .unwrap_or(0);
    Some(Line {
        time,
        event,
        fields,
    })
}

/// The latest word on each matter.
fn believed(before: &[Line], steps: &[Line]) -> Vec<Line> {
    let servers = |l: &Line| -> Vec<Box<str>> {
        let one = l.fields.get("server").and_then(Value::as_str);
        one.into_iter().map(Into::into).collect()
    };
    let involved: Vec<Box<str>> = steps.iter().flat_map(servers).collect();
    let mut latest: BTreeMap<(&str, Box<str>), usize> = BTreeMap::new();
    for (at, line) in before.iter().enumerate() {
        let Some((event, about)) = BELIEFS.iter().find(|(e, _)| **e == *line.event) else {
            continue;
        };
        let about = line
            .fields
            .get(*about)
            .and_then(Value::as_str)
            .unwrap_or_default();
        let other = !involved.is_empty() && !involved.iter().any(|s| **s == *about);
        if *event == REGISTRATION && other {
            continue;
        }
        latest.insert((event, about.into()), at);
    }
    // The order of lines is that of events; the clock may have been set back between them.
    let mut places: Vec<usize> = latest.into_values().collect();
    places.sort_unstable();
    places.into_iter().map(|at| before[at].clone()).collect()
}

fn missing(all: &[Line], steps: &[Line], started: bool) -> Vec<Box<str>> {
    let mut missing: Vec<Box<str>> = Vec::new();
    if !started {
        missing.push("the log begins after the process's start".into());
    }
    if !steps.iter().any(|l| LAST.contains(&&*l.event)) {
        missing.push("no last line: the process was killed, or the line was dropped".into());
    }
    let dropped = all.iter().filter(|l| &*l.event == "lines_dropped");
    let count = |name: &str, l: &Line| l.fields.get(name).and_then(Value::as_u64).unwrap_or(0);
    let total: u64 = dropped
        .map(|l| count("ordinary", l) + count("others", l))
        .sum();
    if total > 0 {
        missing.push(format!("{total} lines of this log were dropped under load").into());
    }
    missing
}

/// The story as text.
pub fn text(story: &Story) -> String {
    let mut text = format!("request {}\n", story.request);
    if story.parts.is_empty() {
        text.push_str("  no line of it in these logs\n");
    }
    if story.parts.len() > 1 {
        text.push_str("  lines of several instances; their clocks may differ\n");
    }
    for part in &story.parts {
        // Writing to memory can't fail.
        let _ok = write!(text, "\nat {}\n  believed when it came:\n", part.instance);
        part.believed
            .iter()
            .for_each(|l| text.push_str(&show(l, None)));
        text.push_str("  what became of it:\n");
        let begin = part.steps.first().map(|l| l.time);
        part.steps
            .iter()
            .for_each(|l| text.push_str(&show(l, begin)));
        for what in &part.missing {
            let _ok = writeln!(text, "  missing: {what}");
        }
    }
    text
}

fn show(line: &Line, begin: Option<u64>) -> String {
    let time = match begin {
        Some(begin) => format!("+{} ms", line.time.saturating_sub(begin)),
        None => line.time.to_string(),
    };
    let fields = line
        .fields
        .iter()
        .filter(|(k, v)| &***k != "request" && &***k != SEVERAL && !v.is_null());
    let fields: Vec<String> = fields.map(|(k, v)| format!("{k}={v}")).collect();
    format!("    {time:>14}  {:<22} {}\n", line.event, fields.join(" "))
}

/// Reads `files` and prints the story; the result is the process's exit code: 0 when it is whole, 1
/// when lines are missing, 2 when a file can't be read.
pub fn main(request: &str, files: &[PathBuf], json: bool) -> u8 {
    let mut parts = Vec::new();
    for file in files {
        match read_file(file, request) {
            Ok(part) => parts.extend(part),
            Err(fault) => {
                eprintln!("{fault}");
                return 2;
            }
        }
    }
    parts.sort_by_key(|p| p.steps.first().map(|l| l.time));
    let story = Story {
        request: request.into(),
        parts,
    };
    if json {
        println!("{}", serde_json::to_string(&story).unwrap_or_default());
    } else {
        print!("{}", text(&story));
    }
    let whole = !story.parts.is_empty() && story.parts.iter().all(|p| p.missing.is_empty());
    u8::from(!whole)
}

fn read_file(file: &Path, request: &str) -> Result<Option<Part>, Diagnostic> {
    let name = file.display().to_string();
    let bytes = std::fs::read(file).map_err(|e| Diagnostic::unreadable(file, &e.to_string()))?;
    Ok(read(&name, &String::from_utf8_lossy(&bytes), request))
}
