use linnethitch_scale::capacity::{Line, Point, fit_line};
use rstest::rstest;

#[rstest]
#[case::no_points(&[], 0.0, 0.0)]
#[case::one_point_is_flat(&[(50, 7.0)], 7.0, 0.0)]
#[case::one_size_twice_is_flat(&[(50, 6.0), (50, 8.0)], 7.0, 0.0)]
#[case::exact(&[(0, 3.0), (10, 23.0)], 3.0, 2.0)]
#[case::least_squares(&[(0, 0.0), (1, 1.0), (2, 0.0), (3, 3.0)], -0.2, 0.8)]
fn the_line_has_the_least_squared_error(
    #[case] points: &[(u64, f64)],
    #[case] fixed: f64,
    #[case] slope: f64,
) {
    let points: Vec<Point> = points
        .iter()
        .map(|&(size, value)| Point { size, value })
        .collect();
    let line = fit_line(&points);
    assert!((line.fixed - fixed).abs() < 1e-9, "{line:?}");
    assert!((line.slope - slope).abs() < 1e-9, "{line:?}");
}

#[rstest]
#[case::reached(1.0, 2.0, 9.0, Some(4.0))]
#[case::already_over(10.0, 2.0, 9.0, Some(0.0))]
#[case::never(1.0, 0.0, 9.0, None)]
fn the_size_that_reaches_a_limit(
    #[case] fixed: f64,
    #[case] slope: f64,
    #[case] limit: f64,
    #[case] expected: Option<f64>,
) {
    assert_eq!(Line { fixed, slope }.size_at(limit), expected);
}
