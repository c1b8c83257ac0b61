//! Label selectors.

use hawthornmill::labels::{Selector, parse_labels};

fn matches(selector: &str, labels: &str) -> bool {
    let selector = Selector::parse(selector).expect("the selector is valid");
    selector.matches(&parse_labels(labels).expect("the labels are valid"))
}

#[test]
fn every_operator_matches() {
    let labels = "size=small,region=nairobi";

    assert!(matches("", labels));
    assert!(matches("size", labels));
    assert!(matches("size=small, region in (nairobi,mombasa)", labels));
    assert!(matches("!trial,size!=large", labels));
    assert!(matches("region notin (kozep)", labels));
    assert!(!matches("trial", labels));
    assert!(!matches("size=large", labels));
    assert!(!matches("region notin (nairobi)", labels));
    assert!(!matches("!size", labels));
}

#[test]
fn errors_have_a_column() {
    let error_of = |text: &str| {
        let error = Selector::parse(text).expect_err("the selector is invalid");
        error.to_string()
    };

    insta::assert_snapshot!(error_of("size=small,,x"), @"column 12: empty term");
    insta::assert_snapshot!(error_of("size=sm all"), @"column 8: invalid character ` ` in a key or value");
    insta::assert_snapshot!(error_of("region in (a,b"), @"column 11: `(` is never closed");
    insta::assert_snapshot!(error_of("region of (a)"), @"column 1: a list needs `key in` or `key notin` before it");
    insta::assert_snapshot!(error_of("a=b)"), @"column 4: `)` without `(`");
}

/// Failure: of a label that is given twice the last one counts, and an account gets other servers than its operator reads.
#[test]
fn label_that_is_given_twice_is_an_error() {
    let error = parse_labels("size=small, region=a, size=large").expect_err("`size` is ambiguous");

    insta::assert_snapshot!(error.to_string(), @"column 22: the label is given twice");
}
