//! The route of a request, and the validation of route tables.

use linnethitch_registry::{Backend, Route, RouteTableError};
use rstest::rstest;

use crate::support::{route, table};

#[rstest]
#[case::only_the_short_one("desk.example", "/a/x", Some("short"))]
#[case::the_longest("desk.example", "/a/b/x", Some("long"))]
#[case::host_with_port("desk.example:8080", "/a/x", Some("short"))]
#[case::host_in_capitals("DESK.example", "/a/x", Some("short"))]
#[case::without_the_slash("desk.example", "/a", None)]
#[case::another_host("other.example", "/a/x", None)]
#[case::another_path("desk.example", "/c/", None)]
fn the_longest_matching_prefix_of_the_host_is_chosen(
    #[case] host: &str,
    #[case] path: &str,
    #[case] name: Option<&str>,
) {
    let routes = vec![
        route("short", "/a/", "rates"),
        route("long", "/a/b/", "rates"),
    ];
    let table = table(1, routes);
    let found = table.find(host, path);
    assert_eq!(found.map(|route| route.name.as_str()), name);
}

fn with(change: impl FnOnce(&mut Route)) -> Route {
    let mut changed = route("bad", "/bad/", "rates");
    change(&mut changed);
    changed
}

fn bad(kind: fn(String) -> RouteTableError) -> RouteTableError {
    kind("bad".to_owned())
}

#[rstest]
#[case::unknown_service(
    with(|r| r.backends[0].service = "none".to_owned()),
    RouteTableError::UnknownService { route: "bad".to_owned(), service: "none".to_owned() }
)]
#[case::same_host_and_prefix(with(|r| r.path_prefix = "/a/".to_owned()), bad(|route| RouteTableError::SameHostAndPrefix { route }))]
#[case::no_weight(with(|r| r.backends[0].weight = 0), bad(|route| RouteTableError::NoWeight { route }))]
#[case::no_back_end(with(|r| r.backends.clear()), bad(|route| RouteTableError::NoWeight { route }))]
#[case::no_timeout(with(|r| r.timeout_ms = 0), bad(|route| RouteTableError::NoTimeout { route }))]
#[case::bad_prefix(with(|r| r.path_prefix = "bad".to_owned()), bad(|route| RouteTableError::BadPrefix { route }))]
fn an_invalid_table_is_refused(#[case] route_added: Route, #[case] reason: RouteTableError) {
    let table = table(1, vec![route("a", "/a/", "rates"), route_added]);
    assert_eq!(table.check(), Err(reason));
}

#[test]
fn a_route_with_two_back_ends_is_valid() {
    let mut split = route("split", "/s/", "rates");
    split.backends.push(Backend {
        service: "rates".to_owned(),
        weight: 0,
    });
    assert_eq!(table(1, vec![split]).check(), Ok(()));
}
