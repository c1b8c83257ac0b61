//! The table of result codes in docs/ERRORS.md.

use std::fmt::Write;

use hawthornmill::codes::Code;

const PAGE: &str = include_str!("../../docs/ERRORS.md");

/// The table rows that the page must contain.
fn rows() -> String {
    let mut rows = String::new();
    for code in Code::ALL {
        let status = match code.status() {
            0 => "—".to_owned(),
            status => status.to_string(),
        };
        let _infallible = writeln!(rows, "| {} | {status} | {} |", code.number(), code.title());
    }
    rows
}

#[test]
fn errors_page_lists_every_code() {
    let missing: Vec<String> = rows()
        .lines()
        .filter(|row| !PAGE.contains(&format!("{row}\n")))
        .map(str::to_owned)
        .collect();

    assert!(missing.is_empty(), "missing rows:\n{}", missing.join("\n"));
}
