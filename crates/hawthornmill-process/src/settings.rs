//! Loading of settings files and reporting of their errors.

use std::path::Path;

use hawthornmill::codes::Code;
use hawthornmill::ini::Diagnostic;

/// Exit code of a process whose settings are invalid.
pub const EXIT_INVALID_SETTINGS: u8 = 2;

/// Reads the file at `path` and passes its name and text to `parse`.
///
/// # Errors
/// All diagnostics of the file, or the one for a file that can't be read.
pub fn load<T>(
    path: &Path,
    parse: impl Fn(&str, &str) -> Result<T, Vec<Diagnostic>>,
) -> Result<T, Vec<Diagnostic>> {
    let text = std::fs::read_to_string(path)
        .map_err(|error| vec![Diagnostic::unreadable(path, &error.to_string())])?;
    parse(&path.display().to_string(), &text)
}

/// Returns the diagnostic for an address that can't be bound.
pub fn bind_error(address: &str, error: &std::io::Error) -> Vec<Diagnostic> {
    vec![Diagnostic {
        code: Code::BindFailed,
        file: address.into(),
        line: 0,
        column: 0,
        message: error.to_string().into(),
    }]
}

/// Writes diagnostics to standard error and returns [`EXIT_INVALID_SETTINGS`].
pub fn print_diagnostics(diagnostics: &[Diagnostic]) -> u8 {
    for diagnostic in diagnostics {
        eprintln!("{diagnostic}");
    }
    EXIT_INVALID_SETTINGS
}
