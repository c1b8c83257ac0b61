//! Collects the events of one request from the logs of gateways.
//!
//! Logs may be given in any order, from any number of processes whose clocks differ. Within one log
//! the order of lines is the order of events; events of different logs can only be compared by
//! their times, and the output warns about this. A request is logged by the instance that received
//! it; the lines before show the state that this instance had then.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::path::{Path, PathBuf};

use hawthornmill::ini::Diagnostic;
use serde::Serialize;
use serde_json::Value;

/// Events that change an instance's state, each with the field that names the object it is about.
///
/// Only the latest event for each object is shown. An empty field: the event concerns the instance.
const STATE_EVENTS: &[(&str, &str)] = &[
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
/// Event of a registration; shown only for servers of the request, or for all if it had none.
const REGISTRATION_EVENT: &str = "registration";

/// Field that lists the ids of an event that concerns several requests.
const REQUESTS_FIELD: &str = "requests";
/// Events that end a request.
const FINAL_EVENTS: &[&str] = &["ended", "turned_away"];

/// One event of a log.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct LogEvent {
    /// Unix time in milliseconds by the instance's own clock.
    pub time: u64,
    /// Name of the event.
    pub event: Box<str>,
    /// All other fields of the line.
    pub fields: BTreeMap<Box<str>, Value>,
}

/// Events of the request at one instance.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct InstanceTrace {
    /// Name of the instance, or of its log if the log doesn't name it.
    pub instance: Box<str>,
    /// State of the instance when the request arrived: the latest event for each object.
    #[serde(rename = "believed")]
    pub known_state: Vec<LogEvent>,
    /// Events of the request in order.
    pub steps: Vec<LogEvent>,
    /// Descriptions of lines that are missing from the log.
    pub missing: Vec<Box<str>>,
}

/// Events of one request at all instances.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct RequestTrace {
    /// Id of the request.
    pub request: Box<str>,
    /// Instances that logged the request, the earliest first.
    #[serde(rename = "parts")]
    pub instances: Vec<InstanceTrace>,
}

/// Extracts the events of `request` from the log `text`; `None` if it has none.
pub fn read(name: &str, text: &str, request: &str) -> Option<InstanceTrace> {
    let lines: Vec<LogEvent> = text.lines().filter_map(parse_line).collect();
    let is_own = |l: &LogEvent| concerns(l, request);
    let first = lines.iter().position(is_own)?;
    let steps: Vec<LogEvent> = lines.iter().filter(|l| is_own(l)).cloned().collect();
    let before = &lines[..first];
    let start = before.iter().rposition(|l| &*l.event == "start");
    let instance = start.and_then(|at| before[at].fields.get("instance")?.as_str());
    Some(InstanceTrace {
        instance: instance.unwrap_or(name).into(),
        known_state: known_state(&before[start.unwrap_or(0)..], &steps),
        missing: missing_lines(&lines, &steps, start.is_some()),
        steps,
    })
}

/// Returns whether an event concerns `request`, alone or among others.
fn concerns(line: &LogEvent, request: &str) -> bool {
    let list = line.fields.get(REQUESTS_FIELD).and_then(Value::as_array);
    let mut listed = list.into_iter().flatten();
    line.fields.get("request").and_then(Value::as_str) == Some(request)
        || listed.any(|r| r.as_str() == Some(request))
}

/// Parses a line of a log; `None` if it holds no event.
///
/// A log collector may have put a prefix of its own before the JSON object.
fn parse_line(text: &str) -> Option<LogEvent> {
    let object = &text[text.find('{')?..];
    let mut fields: BTreeMap<Box<str>, Value> = serde_json::from_str(object).ok()?;
    let event = fields.remove("event")?.as_str()?.into();
    let time = fields
        .remove("time_ms")
        .and_then(|t| t.as_u64())
        .unwrap_or(0);
    Some(LogEvent {
        time,
        event,
        fields,
    })
}

/// Returns the latest state event for each object, in log order.
fn known_state(before: &[LogEvent], steps: &[LogEvent]) -> Vec<LogEvent> {
    let servers = |l: &LogEvent| -> Vec<Box<str>> {
        let server = l.fields.get("server").and_then(Value::as_str);
        server.into_iter().map(Into::into).collect()
    };
    let request_servers: Vec<Box<str>> = steps.iter().flat_map(servers).collect();
    let mut latest: BTreeMap<(&str, Box<str>), usize> = BTreeMap::new();
    for (index, line) in before.iter().enumerate() {
        let Some((event, key_field)) = STATE_EVENTS.iter().find(|(e, _)| **e == *line.event) else {
            continue;
        };
        let object = line
            .fields
            .get(*key_field)
            .and_then(Value::as_str)
            .unwrap_or_default();
        let other = !request_servers.is_empty() && !request_servers.iter().any(|s| **s == *object);
        if *event == REGISTRATION_EVENT && other {
            continue;
        }
        latest.insert((event, object.into()), index);
    }
    // Sorted by position, not by time: the clock may have been set back between two lines.
    let mut indexes: Vec<usize> = latest.into_values().collect();
    indexes.sort_unstable();
    indexes.into_iter().map(|i| before[i].clone()).collect()
}

fn missing_lines(all: &[LogEvent], steps: &[LogEvent], has_start: bool) -> Vec<Box<str>> {
    let mut missing: Vec<Box<str>> = Vec::new();
    if !has_start {
        missing.push("the log begins after the process's start".into());
    }
    if !steps.iter().any(|l| FINAL_EVENTS.contains(&&*l.event)) {
        missing.push("no last line: the process was killed, or the line was dropped".into());
    }
    let dropped = all.iter().filter(|l| &*l.event == "lines_dropped");
    let count = |name: &str, l: &LogEvent| l.fields.get(name).and_then(Value::as_u64).unwrap_or(0);
    let total: u64 = dropped
        .map(|l| count("ordinary", l) + count("others", l))
        .sum();
    if total > 0 {
        missing.push(format!("{total} lines of this log were dropped under load").into());
    }
    missing
}

/// Formats a trace as text.
pub fn render(trace: &RequestTrace) -> String {
    let mut text = format!("request {}\n", trace.request);
    if trace.instances.is_empty() {
        text.push_str("  not found in these logs\n");
    }
    if trace.instances.len() > 1 {
        text.push_str("  events of several instances; their clocks may differ\n");
    }
    for instance in &trace.instances {
        let _infallible = write!(text, "\nat {}\n  state on arrival:\n", instance.instance);
        instance
            .known_state
            .iter()
            .for_each(|l| text.push_str(&format_event(l, None)));
        text.push_str("  events:\n");
        let begin = instance.steps.first().map(|l| l.time);
        instance
            .steps
            .iter()
            .for_each(|l| text.push_str(&format_event(l, begin)));
        for description in &instance.missing {
            let _infallible = writeln!(text, "  missing: {description}");
        }
    }
    text
}

fn format_event(line: &LogEvent, begin: Option<u64>) -> String {
    let time = match begin {
        Some(begin) => format!("+{} ms", line.time.saturating_sub(begin)),
        None => line.time.to_string(),
    };
    let fields = line
        .fields
        .iter()
        .filter(|(k, v)| &***k != "request" && &***k != REQUESTS_FIELD && !v.is_null());
    let fields: Vec<String> = fields.map(|(k, v)| format!("{k}={v}")).collect();
    format!("    {time:>14}  {:<22} {}\n", line.event, fields.join(" "))
}

/// Prints the trace of `request` from `files` and returns the exit code of the process.
///
/// 0: the trace is complete; 1: lines are missing; 2: a file can't be read.
pub fn main(request: &str, files: &[PathBuf], json: bool) -> u8 {
    let mut instances = Vec::new();
    for file in files {
        match read_file(file, request) {
            Ok(instance) => instances.extend(instance),
            Err(error) => {
                eprintln!("{error}");
                return 2;
            }
        }
    }
    instances.sort_by_key(|p| p.steps.first().map(|l| l.time));
    let trace = RequestTrace {
        request: request.into(),
        instances,
    };
    if json {
        println!("{}", serde_json::to_string(&trace).unwrap_or_default());
    } else {
        print!("{}", render(&trace));
    }
    let is_complete =
        !trace.instances.is_empty() && trace.instances.iter().all(|p| p.missing.is_empty());
    u8::from(!is_complete)
}

fn read_file(file: &Path, request: &str) -> Result<Option<InstanceTrace>, Diagnostic> {
    let name = file.display().to_string();
    let bytes = std::fs::read(file).map_err(|e| Diagnostic::unreadable(file, &e.to_string()))?;
    Ok(read(&name, &String::from_utf8_lossy(&bytes), request))
}
