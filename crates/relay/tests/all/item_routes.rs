//! Whether the route of a leased item has ended, for histories of the route's entry and tables of
//! different ages.

use linnethitch_job_store::AcceptedRoute;
use linnethitch_registry::{Backend, Route, RouteKind, RouteTable};
use linnethitch_relay::{ItemRoute, RouteVerdict};
use rstest::rstest;

use crate::support::{route, table};

/// Version of the table under which the job was accepted.
const ACCEPTED: u64 = 5;
const OLDER: u64 = 4;
const NEWER: u64 = 6;

#[derive(Debug, PartialEq, Eq)]
enum Verdict {
    InForce,
    Ended,
    Unknown,
}

fn batch(host: &str, path_prefix: &str) -> Route {
    Route {
        host: host.to_owned(),
        path_prefix: path_prefix.to_owned(),
        ..route(RouteKind::Batch, 3, true)
    }
}

/// A table of a version with these routes.
fn with(version: u64, routes: Vec<Route>) -> RouteTable {
    RouteTable {
        version,
        routes,
        ..table(route(RouteKind::Safe, 1, false))
    }
}

fn in_force() -> Vec<Route> {
    vec![batch("desk.example", "/a/")]
}

fn of_another_kind() -> Vec<Route> {
    vec![route(RouteKind::Streaming, 1, true)]
}

fn at_another_host() -> Vec<Route> {
    vec![batch("night.example", "/a/")]
}

fn under_another_name() -> Vec<Route> {
    let name = "renamed".to_owned();
    vec![Route {
        name,
        ..batch("desk.example", "/a/")
    }]
}

/// A longer prefix that begins the paths of the job and of its items.
fn with_a_longer_prefix() -> Vec<Route> {
    vec![batch("desk.example", "/a/"), batch("desk.example", "/a/x/")]
}

fn only_a_longer_prefix() -> Vec<Route> {
    vec![batch("desk.example", "/a/x/")]
}

fn only_a_shorter_prefix() -> Vec<Route> {
    vec![batch("desk.example", "/")]
}

/// The route, split over two services.
fn split_over_services() -> Vec<Route> {
    let mut routes = in_force();
    routes[0].backends.push(Backend {
        service: "second-service".to_owned(),
        weight: 1,
    });
    routes
}

/// The route at a service without a replica: the end of replicas does not end a route.
fn without_replicas() -> Vec<Route> {
    let mut routes = in_force();
    routes[0].backends[0].service = "empty-service".to_owned();
    routes
}

fn verdict(table: Option<&RouteTable>, accepted: Option<u64>, is_table_confirmed: bool) -> Verdict {
    let accepted = accepted.map(|table_version| AcceptedRoute {
        table_version,
        path_prefix: "/a/".to_owned(),
    });
    let item = ItemRoute {
        host: "desk.example",
        path: "/a/x/1",
        accepted: accepted.as_ref(),
        is_table_confirmed,
    };
    match RouteVerdict::of(table, &item) {
        RouteVerdict::InForce(route) => {
            assert_eq!(route.path_prefix, "/a/");
            Verdict::InForce
        }
        RouteVerdict::Ended => Verdict::Ended,
        RouteVerdict::Unknown => Verdict::Unknown,
    }
}

/// Guards against items given up by a gateway whose table is older than their route. The age of
/// the table counts, not that control confirms it.
#[rstest]
#[case::new_here(with(OLDER, Vec::new()), Verdict::Unknown)]
#[case::in_force(with(ACCEPTED, in_force()), Verdict::InForce)]
#[case::ended(with(NEWER, Vec::new()), Verdict::Ended)]
#[case::ended_before_and_added_again(with(OLDER, of_another_kind()), Verdict::Unknown)]
#[case::ended_and_added_again(with(NEWER, in_force()), Verdict::InForce)]
#[case::of_another_kind_now(with(NEWER, of_another_kind()), Verdict::Ended)]
#[case::moved_to_another_host(with(NEWER, at_another_host()), Verdict::Ended)]
#[case::at_another_host_before(with(OLDER, at_another_host()), Verdict::Unknown)]
#[case::under_another_name(with(NEWER, under_another_name()), Verdict::InForce)]
#[case::a_longer_prefix_takes_its_path(with(NEWER, with_a_longer_prefix()), Verdict::InForce)]
#[case::only_a_longer_prefix_is_left(with(NEWER, only_a_longer_prefix()), Verdict::Ended)]
#[case::only_a_shorter_prefix_is_left(with(NEWER, only_a_shorter_prefix()), Verdict::Ended)]
#[case::only_a_shorter_prefix_yet(with(OLDER, only_a_shorter_prefix()), Verdict::Unknown)]
#[case::split_over_services(with(NEWER, split_over_services()), Verdict::InForce)]
#[case::without_replicas(with(NEWER, without_replicas()), Verdict::InForce)]
#[case::lacking_in_the_same_table(with(ACCEPTED, Vec::new()), Verdict::Ended)]
fn a_route_has_ended_only_if_the_table_is_as_new_as_the_job(
    #[case] table: RouteTable,
    #[case] expected: Verdict,
    #[values(false, true)] is_table_confirmed: bool,
) {
    let found = verdict(Some(&table), Some(ACCEPTED), is_table_confirmed);
    assert_eq!(found, expected);
}

/// A job of a build that does not record its table: only control's confirmation tells.
#[rstest]
#[case::not_confirmed(with(NEWER, Vec::new()), false, Verdict::Unknown)]
#[case::confirmed(with(NEWER, Vec::new()), true, Verdict::Ended)]
#[case::in_force(with(OLDER, in_force()), false, Verdict::InForce)]
#[case::of_another_kind(with(NEWER, of_another_kind()), false, Verdict::Unknown)]
fn without_the_version_of_the_job_control_has_to_confirm_the_table(
    #[case] table: RouteTable,
    #[case] is_table_confirmed: bool,
    #[case] expected: Verdict,
) {
    assert_eq!(verdict(Some(&table), None, is_table_confirmed), expected);
}

#[rstest]
fn a_gateway_without_a_table_knows_of_no_end(
    #[values(None, Some(ACCEPTED))] accepted: Option<u64>,
    #[values(false, true)] is_table_confirmed: bool,
) {
    assert_eq!(
        verdict(None, accepted, is_table_confirmed),
        Verdict::Unknown
    );
}
