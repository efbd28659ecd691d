//! Validation of lists of tenants and of limits.

use linnethitch_tenants::{QuotaLimit, QuotaLimitError, TenantsError, check_tenants};
use rstest::rstest;

use super::tenant;

/// Tenants as (name, keys separated by blanks), and the error in the list.
#[rstest]
#[case::no_key(&[("a", "")], None)]
#[case::several_keys(&[("a", "1 2"), ("b", "3")], None)]
#[case::no_name(&[("", "1")], Some(TenantsError::NoName))]
#[case::name_of_two_lines(&[("a\nb", "1")], Some(TenantsError::BadName("a\nb".to_owned())))]
#[case::same_name(&[("a", "1"), ("a", "2")], Some(TenantsError::DuplicateName("a".to_owned())))]
#[case::key_twice(&[("a", "1 1")], Some(TenantsError::DuplicateKey("a".to_owned())))]
#[case::shared_key(
    &[("a", "1 2"), ("b", "3 2")],
    Some(TenantsError::SharedKey { first: "a".to_owned(), second: "b".to_owned() })
)]
fn lists_are_checked(#[case] list: &[(&str, &str)], #[case] error: Option<TenantsError>) {
    let listed = list.iter().map(|(name, keys)| {
        let keys: Vec<&str> = keys.split_whitespace().collect();
        tenant(name, &keys)
    });
    let tenants: Vec<_> = listed.collect();
    assert_eq!(check_tenants(&tenants).err(), error);
}

#[rstest]
#[case::usual(206.0, 103.0, Ok(Some((206.0, 103.0))))]
#[case::fraction(0.25, 0.0, Ok(Some((0.25, 0.0))))]
#[case::none(0.0, 0.0, Ok(None))]
#[case::below_zero(-1.0, 0.0, Err(QuotaLimitError::BadRate))]
#[case::no_number(f64::NAN, 0.0, Err(QuotaLimitError::BadRate))]
#[case::endless(f64::INFINITY, 0.0, Err(QuotaLimitError::BadRate))]
#[case::burst_below_zero(1.0, -1.0, Err(QuotaLimitError::BadBurst))]
#[case::burst_without_rate(0.0, 5.0, Err(QuotaLimitError::BurstWithoutRate))]
fn limits_are_checked(
    #[case] rate: f64,
    #[case] burst: f64,
    #[case] expected: Result<Option<(f64, f64)>, QuotaLimitError>,
) {
    let limit = QuotaLimit::new(rate, burst);
    let numbers = limit.map(|limit| limit.map(|limit| (limit.rate(), limit.burst())));
    assert_eq!(numbers, expected);
}
