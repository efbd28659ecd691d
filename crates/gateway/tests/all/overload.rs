//! Tenant limits, full queues and leaving back ends: what a caller is answered under overload.

use std::time::Duration;

use http::{Method, StatusCode};
use rstest::rstest;

use crate::support::{
    caller::{Answer, call, chat, request},
    control::{FakeControl, Shared, load},
    engine::{FakeEngine, Script, Step, complete_steps},
    gateway::{TestGateway, engine, fleet_file, wait_until},
};

const CHAT: &str = "/v1/chat/completions";

/// A gateway in front of one engine, with further limits in its fleet file.
async fn start(
    engine_server: &FakeEngine,
    tenant: &str,
    routing: &str,
) -> (FakeControl, TestGateway) {
    let named = "name = \"one\"";
    let content = fleet_file().replace(named, &format!("{named}\n{tenant}"));
    let content = format!("{content}\n[routing]\n{routing}");
    let replicas = vec![engine(0, engine_server.address)];
    let control = FakeControl::start(Shared::new(&content, replicas)).await;
    let gateway = TestGateway::attached(&[control.address]).await;
    (control, gateway)
}

fn slow() -> Script {
    let mut steps = complete_steps(3);
    steps.insert(1, Step::Gate);
    Script::Stream(steps)
}

fn assert_refused(answer: &Answer, code: &str) {
    assert_eq!(answer.error_code(), code, "{answer:?}");
    assert_eq!(answer.header("linnethitch-executed"), "no");
    let seconds: u64 = answer.header("retry-after").parse().expect("seconds");
    assert!(seconds >= 1);
}

#[rstest]
#[case::requests("requests_per_second = 1.0", "request_rate_limited")]
#[case::tokens("tokens_per_second = 1.0", "token_rate_limited")]
#[case::in_flight("max_in_flight = 1", "too_many_in_flight")]
#[tokio::test]
async fn a_tenant_over_its_limit_is_refused_at_once(#[case] limit: &str, #[case] code: &str) {
    let engine = FakeEngine::start(vec![slow(); 8]).await;
    let (_control, gateway) = start(&engine, limit, "").await;
    let calls = (0..4).map(|_| tokio::spawn(call(chat(gateway.url(CHAT), false))));
    let calls: Vec<_> = calls.collect();
    wait_until("every call runs or is refused", async || {
        let refused = calls.iter().filter(|call| call.is_finished()).count();
        engine.generations().len() + refused == calls.len()
    })
    .await;
    engine.open_gate();
    let mut refused = 0;
    for answered in calls {
        let answer = answered.await.expect("an answer");
        if answer.status != StatusCode::OK {
            assert_eq!(answer.status, StatusCode::TOO_MANY_REQUESTS);
            assert_refused(&answer, code);
            refused += 1;
        }
    }
    assert_eq!(engine.generations().len() + refused, 4);
    assert!(refused >= 2, "{refused} were refused");
}

#[tokio::test]
async fn a_full_queue_refuses_at_once_and_a_wait_ends_in_time() {
    let engine = FakeEngine::start(Vec::new()).await;
    let routing = "queue_limit = 2\nqueue_timeout_ms = 300";
    let (control, gateway) = start(&engine, "", routing).await;
    control.shared.send_loads(load(16));
    let waiting = async || gateway_queue(&gateway).await;
    let mut calls = Vec::new();
    wait_until("two requests wait", async || {
        if calls.len() < 2 || waiting().await < 2 {
            calls.push(tokio::spawn(call(chat(gateway.url(CHAT), false))));
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        waiting().await == 2
    })
    .await;
    let full = call(chat(gateway.url(CHAT), false)).await;
    assert_refused(&full, "overloaded");
    let runs = engine.generations().len();
    for answered in calls {
        let answer = answered.await.expect("an answer");
        if answer.status != StatusCode::OK {
            assert_refused(&answer, "overloaded");
        }
    }
    assert_eq!(
        engine.generations().len(),
        runs,
        "a refused request never ran"
    );
    control.shared.send_loads(load(0));
    wait_until("a slot is free again", async || {
        call(chat(gateway.url(CHAT), false)).await.status == StatusCode::OK
    })
    .await;
}

async fn gateway_queue(gateway: &TestGateway) -> usize {
    let answer = call(request(Method::GET, gateway.url("/metrics"), "")).await;
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix("linnethitch_queue_length "));
    line.and_then(|number| number.parse().ok()).unwrap_or(0)
}

#[rstest]
#[case::refuses(Script::Status(503, vec![("x-engine-started", "no"), ("x-engine-leaving", "yes")], "leaving"))]
#[case::gone(Script::Silent)]
#[tokio::test]
async fn a_leaving_or_dead_engine_gets_no_more_requests_and_is_reported_to_control(
    #[case] script: Script,
) {
    let leaving = FakeEngine::start(vec![script.clone(); 64]).await;
    let staying = FakeEngine::start(Vec::new()).await;
    let replicas = vec![engine(0, leaving.address), engine(1, staying.address)];
    let control = FakeControl::start(Shared::new(&fleet_file(), replicas)).await;
    let gateway = TestGateway::attached(&[control.address]).await;
    let is_dead = matches!(script, Script::Silent);
    let address = leaving.address;
    if is_dead {
        drop(leaving);
        wait_until("the port is closed", async || {
            tokio::net::TcpStream::connect(address).await.is_err()
        })
        .await;
    }
    for _ in 0..20 {
        let answer = call(chat(gateway.url(CHAT), false)).await;
        assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
    }
    if !is_dead {
        // The leaving engine was asked at most once, or never if the other was always chosen.
        assert_eq!(staying.generations().len(), 20);
    }
    wait_until("control receives the report", async || {
        let (_, suspects) = control.shared.reported();
        suspects
            .iter()
            .any(|replica| replica.as_str() == "engine-0")
    })
    .await;
}
