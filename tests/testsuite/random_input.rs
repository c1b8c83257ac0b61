//! Readers of operators' texts, given random bytes and texts with a random change.

use hawthornmill::config::parse::parse;
use hawthornmill::ini::parse_sections;
use hawthornmill::labels::{Selector, parse_labels};
use hawthornmill_test_support::procs::small_fleet;
use proptest::prelude::*;

proptest! {
    /// Whatever bytes stand in a file, reading it ends with sections or with faults in its lines.
    #[test]
    fn random_bytes_are_read_or_refused(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let text = String::from_utf8_lossy(&bytes);

        if let Err(faults) = parse_sections("f", &text) {
            prop_assert!(!faults.is_empty());
            prop_assert!(faults.iter().all(|f| f.line <= text.split('\n').count()));
        }
        let _refused_or_not = (parse(1, &[("f", &text)]), Selector::parse(&text), parse_labels(&text));
    }

    /// A good configuration with some bytes replaced is accepted or refused whole, never half.
    #[test]
    fn a_changed_configuration_is_accepted_or_refused(
        at in 0usize..2000, put in prop::collection::vec(any::<u8>(), 0..12),
    ) {
        let mut bytes = small_fleet().text().as_bytes().to_vec();
        let at = at % bytes.len();
        let end = (at + put.len()).min(bytes.len());
        bytes.splice(at..end, put);
        let text = String::from_utf8_lossy(&bytes);

        match parse(1, &[("f", &text)]) {
            Ok(config) => prop_assert!(config.servers.values().all(|s| config.services.contains_key(&s.service))),
            Err(faults) => prop_assert!(!faults.is_empty()),
        }
    }
}
