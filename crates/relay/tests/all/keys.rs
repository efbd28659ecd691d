//! Tenant keys: identification of the caller, what a replica receives, and revoked keys.

use std::time::Duration;

use linnethitch_registry::{Configuration, Route, RouteKind};
use linnethitch_relay::KeyPolicy;
use linnethitch_tenants::{KeyDigest, QuotaLimit, Tenant};
use rstest::rstest;
use tokio::time::sleep;

use crate::support::{
    Act, Answer, FULL, Fleet, OK, Replica, engine_table, header, read_answer, route, table,
};

fn tenant(name: &str, keys: &[&str], limit: Option<(f64, f64)>) -> Tenant {
    let quota = limit.and_then(|(rate, burst)| QuotaLimit::new(rate, burst).expect("a limit"));
    Tenant {
        name: name.to_owned(),
        keys: keys.iter().map(|key| KeyDigest::of(key)).collect(),
        rank: None,
        quota,
        homes: Vec::new(),
    }
}

fn configuration(version: u64, route: Route, tenants: Vec<Tenant>) -> Configuration {
    let mut table = table(route);
    table.version = version;
    Configuration {
        table,
        tenants: Some(tenants),
    }
}

fn two_tenants() -> Vec<Tenant> {
    vec![
        tenant("desk", &["desk-key", "second-key"], None),
        tenant("night", &["night-key"], None),
    ]
}

async fn start(route: Route, tenants: Vec<Tenant>, replicas: &[Replica]) -> Fleet {
    let configuration = configuration(1, route, tenants);
    Fleet::start_configured(configuration, KeyPolicy::default(), replicas).await
}

async fn ask(fleet: &Fleet, id: &str, headers: &str) -> Answer {
    let mut stream = fleet.open(id, headers).await;
    read_answer(&mut stream).await
}

/// The caller's headers, the status of the response, and the tenant that the replica receives.
#[rstest]
#[case::known("Authorization: Bearer desk-key\r\n", false, "200", Some("desk"))]
#[case::second_key("authorization: bearer second-key\r\n", false, "200", Some("desk"))]
#[case::says_another(
    "Authorization: Bearer desk-key\r\ntenant: night\r\n",
    false,
    "200",
    Some("desk")
)]
#[case::says_two(
    "tenant: night\r\nAuthorization: Bearer desk-key\r\ntenant: x\r\n",
    false,
    "200",
    Some("desk")
)]
#[case::drops_the_name(
    "Authorization: Bearer desk-key\r\nConnection: tenant\r\n",
    false,
    "200",
    Some("desk")
)]
#[case::unknown("Authorization: Bearer other\r\n", false, "401", None)]
#[case::a_tenants_name("Authorization: Bearer desk\r\n", false, "401", None)]
#[case::no_key("", false, "401", None)]
#[case::says_only("tenant: desk\r\n", false, "401", None)]
#[case::public("", true, "200", None)]
#[case::public_says("tenant: desk\r\n", true, "200", None)]
#[case::public_known("Authorization: Bearer night-key\r\n", true, "200", Some("night"))]
#[case::public_unknown("Authorization: Bearer other\r\n", true, "200", None)]
#[tokio::test]
async fn a_replica_receives_the_tenant_and_never_the_key(
    #[case] said: &str,
    #[case] public: bool,
    #[case] status: &str,
    #[case] told: Option<&str>,
) {
    let replica = Replica::start(vec![Act::Send(OK)]).await;
    let mut route = route(RouteKind::Safe, 1, false);
    route.public = public;
    let fleet = start(route, two_tenants(), std::slice::from_ref(&replica)).await;
    let answer = ask(&fleet, "r-1", said).await;
    assert!(
        answer.head.starts_with(&format!("HTTP/1.1 {status}")),
        "{answer:?}"
    );
    let heads = replica.heads.lock().clone();
    assert_eq!(heads.len(), usize::from(status == "200"));
    for head in &heads {
        assert_eq!(header(head, "tenant"), told);
        assert_eq!(head.matches("tenant:").count(), usize::from(told.is_some()));
        assert!(!head.to_lowercase().contains("authorization"), "{head}");
        assert!(!head.contains("-key"), "{head}");
    }
}

/// All ways in which a request reaches a further replica.
#[rstest]
#[case::refused_by_the_first(RouteKind::Safe, vec![Act::Send(FULL), Act::Send(OK)])]
#[case::broken_off(RouteKind::Safe, vec![Act::SendAndReset(""), Act::Send(OK)])]
#[case::not_whole(RouteKind::Safe, vec![Act::SendAndClose("HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nsignature: s\r\ncontent-length: 9\r\n\r\nhel"), Act::Send(OK)])]
#[case::stream_that_goes_on(RouteKind::Streaming, vec![
    Act::SendAndReset("HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nsignature: s\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n"),
    Act::Send("HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nsignature: s\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\nf\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n"),
])]
#[tokio::test]
async fn no_further_replica_sees_a_key(#[case] kind: RouteKind, #[case] acts: Vec<Act>) {
    let replica = Replica::start(acts).await;
    let fleet = start(
        route(kind, 3, true),
        two_tenants(),
        std::slice::from_ref(&replica),
    )
    .await;
    fleet.add_twin(&replica).await;
    ask(
        &fleet,
        "r-1",
        "Authorization: Bearer desk-key\r\ntenant: night\r\n",
    )
    .await;
    let heads = replica.heads.lock().clone();
    assert_eq!(heads.len(), 2, "{heads:?}");
    for head in &heads {
        assert_eq!(header(head, "tenant"), Some("desk"));
        assert!(!head.contains("desk-key"), "{head}");
    }
}

#[tokio::test]
async fn without_tenants_caller_headers_are_forwarded() {
    let replica = Replica::start(vec![Act::Send(OK)]).await;
    let route = route(RouteKind::Safe, 1, false);
    let fleet = Fleet::start(route, std::slice::from_ref(&replica)).await;
    ask(&fleet, "r-1", "Authorization: Bearer x\r\ntenant: y\r\n").await;
    let head = replica.heads.lock()[0].clone();
    assert_eq!(header(&head, "authorization"), Some("Bearer x"));
    assert_eq!(header(&head, "tenant"), Some("y"));
}

#[tokio::test]
async fn a_revoked_key_is_refused() {
    let replica = Replica::start(vec![Act::Send(OK)]).await;
    let kept = route(RouteKind::Safe, 1, false);
    let fleet = start(kept.clone(), two_tenants(), std::slice::from_ref(&replica)).await;
    let key = "Authorization: Bearer second-key\r\n";
    assert!(
        ask(&fleet, "r-1", key)
            .await
            .head
            .starts_with("HTTP/1.1 200")
    );
    let mut left = two_tenants();
    left[0].keys.pop();
    fleet.put(configuration(2, kept, left)).await;
    assert!(
        ask(&fleet, "r-2", key)
            .await
            .head
            .starts_with("HTTP/1.1 401")
    );
    let other = "Authorization: Bearer desk-key\r\n";
    assert!(
        ask(&fleet, "r-3", other)
            .await
            .head
            .starts_with("HTTP/1.1 200")
    );
    assert_eq!(replica.requests(), 2);
}

/// A request waits for a slot while its key is revoked.
#[tokio::test]
async fn a_queued_request_is_not_sent_with_a_revoked_key() {
    let replica = Replica::start(vec![Act::Silence]).await;
    let mut waiting = route(RouteKind::Safe, 1, false);
    waiting.target_ms = 3_000;
    let mut first = configuration(1, waiting.clone(), two_tenants());
    first.table = engine_table(waiting.clone());
    let replicas = std::slice::from_ref(&replica);
    let fleet = Fleet::start_configured(first.clone(), KeyPolicy::default(), replicas).await;
    fleet.wait_until_coordinated().await;
    let mut holders = Vec::new();
    for number in 0..4 {
        let held = fleet
            .open(
                &format!("h-{number}"),
                "Authorization: Bearer night-key\r\n",
            )
            .await;
        holders.push(held);
    }
    while replica.requests() < 4 {
        sleep(Duration::from_millis(5)).await;
    }
    let mut stream = fleet
        .open("r-1", "Authorization: Bearer desk-key\r\n")
        .await;
    sleep(Duration::from_millis(100)).await;
    first.table.version = 2;
    first.tenants = Some(two_tenants().split_off(1));
    fleet.put(first).await;
    // Callers disconnect and free their slots.
    drop(holders);
    let answer = read_answer(&mut stream).await;
    assert!(answer.head.starts_with("HTTP/1.1 401"), "{answer:?}");
    assert_eq!(replica.requests(), 4);
}

/// What a gateway without contact to control does with a key, by policy.
#[rstest]
#[case::goes_on(None, "200")]
#[case::refuses_in_time(Some(Duration::from_millis(2_600)), "503")]
#[tokio::test]
async fn an_isolated_gateway_follows_the_key_policy(
    #[case] revocation_limit: Option<Duration>,
    #[case] status: &str,
) {
    let replica = Replica::start(vec![Act::Send(OK)]).await;
    let first = configuration(1, route(RouteKind::Safe, 1, false), two_tenants());
    let policy = KeyPolicy { revocation_limit };
    let fleet = Fleet::start_configured(first, policy, std::slice::from_ref(&replica)).await;
    let key = "Authorization: Bearer desk-key\r\n";
    assert!(
        ask(&fleet, "r-1", key)
            .await
            .head
            .starts_with("HTTP/1.1 200")
    );
    fleet.stop_control();
    // Longer than a member without a leader counts as current, and than the remaining time.
    sleep(Duration::from_millis(4_000)).await;
    let answer = ask(&fleet, "r-2", key).await;
    assert!(
        answer.head.starts_with(&format!("HTTP/1.1 {status}")),
        "{answer:?}"
    );
}

#[tokio::test]
async fn a_request_over_the_limit_is_refused_at_once_with_a_retry_time() {
    let replica = Replica::start(vec![Act::Send(OK)]).await;
    let tenants = vec![
        tenant("desk", &["desk-key"], Some((2.0, 0.0))),
        tenant("night", &["night-key"], None),
    ];
    let route = route(RouteKind::Safe, 1, false);
    let fleet = start(route, tenants, std::slice::from_ref(&replica)).await;
    let mut refused = Vec::new();
    for number in 0..30 {
        let answer = ask(
            &fleet,
            &format!("r-{number}"),
            "Authorization: Bearer desk-key\r\n",
        )
        .await;
        if !answer.head.starts_with("HTTP/1.1 200") {
            refused.push(answer);
        }
    }
    // A limit of 2 per second, 10 in a window, and 20 in addition: no more than that may run.
    assert!(replica.requests() <= 31, "{}", replica.requests());
    assert!(!refused.is_empty());
    for answer in &refused {
        assert!(answer.head.starts_with("HTTP/1.1 429"), "{answer:?}");
        let again_in: f64 = header(&answer.head, "retry-after")
            .and_then(|value| value.parse().ok())
            .expect("the response says when to retry");
        assert!(again_in > 0.0 && again_in <= 5.0, "{again_in}");
    }
    let before = replica.requests();
    let other = ask(&fleet, "o-1", "Authorization: Bearer night-key\r\n").await;
    assert!(other.head.starts_with("HTTP/1.1 200"), "{other:?}");
    assert_eq!(replica.requests(), before + 1);
}
