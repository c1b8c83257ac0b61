//! Selectors.

use hawthornmill::labels::{Selector, parse_labels};

fn matches(selector: &str, labels: &str) -> bool {
    let selector = Selector::parse(selector).expect("the selector is good");
    selector.matches(&parse_labels(labels).expect("the labels are good"))
}

#[test]
fn every_form_of_a_term_is_understood() {
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
fn faults_come_with_their_column() {
    let fault = |text: &str| {
        let error = Selector::parse(text).expect_err("the selector is bad");
        error.to_string()
    };

    insta::assert_snapshot!(fault("size=small,,x"), @"column 12: empty term");
    insta::assert_snapshot!(fault("size=sm all"), @"column 8: invalid character ` ` in a key or value");
    insta::assert_snapshot!(fault("region in (a,b"), @"column 11: `(` is never closed");
    insta::assert_snapshot!(fault("region of (a)"), @"column 1: a list needs `key in` or `key notin` before it");
    insta::assert_snapshot!(fault("a=b)"), @"column 4: `)` without `(`");
}
