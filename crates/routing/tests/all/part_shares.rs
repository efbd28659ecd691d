//! How common parts of prompts are among the recent requests of a route.

use linnethitch_routing::{PartShare, PartShares};
use rstest::rstest;

const ROUTE: &str = "quotes";
const FIRST: u64 = 1;
const OTHER: u64 = 2;

/// Requests of which each `one_in`th has the other part too.
fn shares(requests: u64, one_in: u64) -> PartShares {
    let mut shares = PartShares::default();
    for number in 0..requests {
        let parts = if number % one_in == 0 {
            &[FIRST, OTHER][..]
        } else {
            &[FIRST]
        };
        shares.note(ROUTE, parts);
    }
    shares
}

/// Guards against a popular sound part that is taken for a rare one, also where little is known.
#[rstest]
#[case::nothing_known(0, 1, PartShare::Unknown, PartShare::Unknown)]
#[case::little_known(15, 2, PartShare::Unknown, PartShare::Unknown)]
#[case::one_in_two(16, 2, PartShare::Common, PartShare::Common)]
#[case::one_in_three(18, 3, PartShare::Common, PartShare::Rare)]
#[case::over_generations(3_000, 3, PartShare::Common, PartShare::Rare)]
fn shares_of_parts(
    #[case] requests: u64,
    #[case] one_in: u64,
    #[case] of_first: PartShare,
    #[case] of_other: PartShare,
) {
    let shares = shares(requests, one_in);
    assert_eq!(shares.share(ROUTE, FIRST), of_first);
    assert_eq!(shares.share(ROUTE, OTHER), of_other);
    assert_eq!(shares.share("another", FIRST), PartShare::Unknown);
}

/// Guards against a part that counts as common for ever because it once was.
#[test]
fn a_part_that_is_no_longer_used_becomes_rare() {
    let mut shares = shares(300, 1);
    assert_eq!(shares.share(ROUTE, OTHER), PartShare::Common);
    (0..600).for_each(|_| shares.note(ROUTE, &[FIRST]));
    assert_eq!(shares.share(ROUTE, OTHER), PartShare::Rare);
}

#[test]
fn routes_that_are_no_longer_served_are_forgotten() {
    let mut shares = shares(100, 2);
    shares.retain_routes(|route| route != ROUTE);
    assert_eq!(shares.share(ROUTE, FIRST), PartShare::Unknown);
}
