//! The reason codes.

use std::collections::HashSet;

use linnethitch_routing::ReasonCode;

#[test]
fn every_reason_has_a_unique_code_and_a_description() {
    let codes: HashSet<&str> = ReasonCode::ALL
        .iter()
        .map(|reason| reason.as_str())
        .collect();
    assert_eq!(codes.len(), ReasonCode::ALL.len());
    for reason in ReasonCode::ALL {
        assert_eq!(ReasonCode::from_code(reason.as_str()), Some(*reason));
        assert!(reason.description().trim().ends_with('.'), "{reason}");
    }
    assert_eq!(ReasonCode::from_code("no such code"), None);
}
