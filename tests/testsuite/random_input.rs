//! Parsers of operators' files, with random and with corrupted input.

use hawthornmill::config::parse::parse;
use hawthornmill::ini::parse_sections;
use hawthornmill::labels::{Selector, parse_labels};
use hawthornmill_test_support::procs::small_fleet;
use proptest::prelude::*;

proptest! {
    /// Parsing random bytes must not panic: it returns sections, or errors with valid line numbers.
    #[test]
    fn random_bytes_are_parsed_or_rejected(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let text = String::from_utf8_lossy(&bytes);

        if let Err(errors) = parse_sections("f", &text) {
            prop_assert!(!errors.is_empty());
            prop_assert!(errors.iter().all(|f| f.line <= text.split('\n').count()));
        }
        let _ignored = (parse(1, &[("f", &text)]), Selector::parse(&text), parse_labels(&text));
    }

    /// A valid configuration with some bytes replaced is accepted or rejected as a whole.
    #[test]
    fn corrupted_configuration_is_accepted_or_rejected(
        at in 0usize..2000, replacement in prop::collection::vec(any::<u8>(), 0..12),
    ) {
        let mut bytes = small_fleet().text().as_bytes().to_vec();
        let at = at % bytes.len();
        let end = (at + replacement.len()).min(bytes.len());
        bytes.splice(at..end, replacement);
        let text = String::from_utf8_lossy(&bytes);

        match parse(1, &[("f", &text)]) {
            Ok(config) => prop_assert!(config.servers.values().all(|s| config.services.contains_key(&s.service))),
            Err(errors) => prop_assert!(!errors.is_empty()),
        }
    }
}
