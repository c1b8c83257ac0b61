//! Settings files.

use std::path::Path;

use hawthornmill::codes::Code;
use hawthornmill::ini::Diagnostic;

/// Exit code of a process whose settings have faults.
pub const FAULTY: u8 = 2;

/// Reads the file at `path` and gives its name and text to `parse`.
///
/// # Errors
/// Every fault of the file.
pub fn load<T>(
    path: &Path,
    parse: impl Fn(&str, &str) -> Result<T, Vec<Diagnostic>>,
) -> Result<T, Vec<Diagnostic>> {
    let text = std::fs::read_to_string(path)
        .map_err(|error| vec![Diagnostic::unreadable(path, &error.to_string())])?;
    parse(&path.display().to_string(), &text)
}

/// The fault of an address that can't be bound, and why.
pub fn unbound(address: &str, error: &std::io::Error) -> Vec<Diagnostic> {
    vec![Diagnostic {
        code: Code::BindFailed,
        file: address.into(),
        line: 0,
        column: 0,
        message: error.to_string().into(),
    }]
}

/// Writes faults to standard error and returns the exit code.
pub fn report(faults: &[Diagnostic]) -> u8 {
    for fault in faults {
        eprintln!("{fault}");
    }
    FAULTY
}
