use linnethitch_scale::capacity::{Budget, Kind, MeasuredFile, TWO_YEAR_PLAN};
use rstest::rstest;

use crate::support::{measurement, per_change};

const LIMIT: f64 = 1_000.0;

/// 180 + 2 x 410 = 1,000 at the planned size of 410 gateways.
const EXACT: &[(u64, f64)] = &[(0, 180.0), (10, 200.0)];
const HALF: &[(u64, f64)] = &[(0, 0.0), (410, 500.0)];
const FLAT: &[(u64, f64)] = &[(0, 300.0), (410, 300.0)];

#[rstest]
#[case::nothing_measured(&[], None, None)]
#[case::exactly_at_limit(&[EXACT], Some(1_000.0), Some(1.0))]
#[case::half(&[HALF], Some(500.0), Some(2.0))]
#[case::summed(&[HALF, FLAT], Some(800.0), Some(1.4))]
#[case::no_growth(&[FLAT], Some(300.0), None)]
fn the_use_at_the_plan_and_the_multiple_that_exhausts_the_budget(
    #[case] rows: &[&[(u64, f64)]],
    #[case] used: Option<f64>,
    #[case] multiple: Option<f64>,
) {
    let mut measured = MeasuredFile::default();
    for (number, points) in rows.iter().enumerate() {
        let row = measurement(&format!("row{number}"), Kind::Memory, points);
        measured.merge(vec![row]);
    }
    let budget = Budget {
        kind: Kind::Memory,
        limit: LIMIT,
    };
    assert_close(budget.used_at(&TWO_YEAR_PLAN, &measured), used);
    assert_close(
        budget.exhausting_multiple(&TWO_YEAR_PLAN, &measured),
        multiple,
    );
}

fn assert_close(found: Option<f64>, expected: Option<f64>) {
    let close = match (found, expected) {
        (Some(found), Some(expected)) => (found - expected).abs() < 1e-6,
        (found, expected) => found == expected,
    };
    assert!(close, "{found:?} instead of {expected:?}");
}

#[test]
fn a_cost_per_change_is_multiplied_by_the_changes_per_second() {
    let mut measured = MeasuredFile::default();
    let row = measurement("row", Kind::Cpu, &[(0, 0.0), (410, 86_400.0)]);
    measured.merge(vec![per_change(row)]);
    let budget = Budget {
        kind: Kind::Cpu,
        limit: LIMIT,
    };
    assert_close(budget.used_at(&TWO_YEAR_PLAN, &measured), Some(2_000.0));
    assert_close(
        budget.exhausting_multiple(&TWO_YEAR_PLAN, &measured),
        Some(0.5),
    );
}
