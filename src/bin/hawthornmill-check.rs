//! Validates settings, fleet configurations and catalogs.

use std::process::ExitCode;

use hawthornmill_tools::check;

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    check::run(&words).into()
}
