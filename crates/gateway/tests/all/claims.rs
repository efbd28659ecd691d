//! Idempotency keys and at-most-once requests.

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full};
use rstest::rstest;

use crate::support::{
    caller::{Answer, call, chat, send},
    control::{FakeControl, Shared},
    engine::{FakeEngine, Script, Step, complete_steps},
    gateway::{TestGateway, engine, fleet_file, wait_until},
};

struct Fixture {
    control: FakeControl,
    engine: FakeEngine,
    gateway: TestGateway,
}

impl Fixture {
    async fn start(scripts: Vec<Script>) -> Self {
        let engine_server = FakeEngine::start(scripts).await;
        let content = format!("{}\n[batch]\nlease_ms = 1000\n", fleet_file());
        let replicas = vec![engine(0, engine_server.address)];
        let control = FakeControl::start(Shared::new(&content, replicas)).await;
        let gateway = TestGateway::attached(&[control.address]).await;
        Fixture {
            control,
            engine: engine_server,
            gateway,
        }
    }

    fn request(&self, stream: bool, key: Option<&str>, run: Option<&str>) -> Request<Full<Bytes>> {
        let mut message = chat(self.gateway.url("/v1/chat/completions"), stream);
        let headers = [("idempotency-key", key), ("linnethitch-run", run)];
        for (name, value) in headers {
            if let Some(value) = value {
                let value = value.parse().expect("a value");
                message.headers_mut().insert(name, value);
            }
        }
        message
    }

    /// A request under the key `k`, optionally at most once.
    fn keyed(&self, stream: bool, at_most_once: bool) -> Request<Full<Bytes>> {
        self.request(stream, Some("k"), at_most_once.then_some("at-most-once"))
    }

    fn runs(&self) -> usize {
        self.engine.generations().len()
    }
}

fn summary(answer: &Answer) -> (u16, String, String) {
    let executed = answer.header("linnethitch-executed").to_owned();
    (answer.status.as_u16(), answer.error_code(), executed)
}

fn expected(status: u16, code: &str, executed: &str) -> (u16, String, String) {
    (status, code.to_owned(), executed.to_owned())
}

/// Two tokens, and the remaining ones once the gate is open.
fn slow() -> Script {
    let mut steps = complete_steps(4);
    steps.insert(2, Step::Gate);
    Script::Stream(steps)
}

#[rstest]
#[tokio::test]
async fn a_resend_gets_the_same_answer_and_runs_nothing(
    #[values(false, true)] stream: bool,
    #[values(false, true)] at_most_once: bool,
    #[values(0, 2)] lost_answers: usize,
) {
    let fixture = Fixture::start(Vec::new()).await;
    fixture.control.shared.lose_answers(lost_answers);
    let first = call(fixture.keyed(stream, at_most_once)).await;
    assert_eq!(first.status, StatusCode::OK, "{first:?}");
    let again = call(fixture.keyed(stream, at_most_once)).await;
    assert_eq!((again.status, &again.body), (first.status, &first.body));
    assert_eq!(again.header("content-type"), first.header("content-type"));
    assert_eq!(again.header("linnethitch-replayed"), "yes");
    assert_eq!(fixture.runs(), 1);
    let other = call(fixture.keyed(!stream, at_most_once)).await;
    assert_eq!(summary(&other), expected(409, "idempotency_conflict", "no"));
}

#[rstest]
#[case::no_key(None, Some("at-most-once"), "idempotency_key_required")]
#[case::other_word(Some("k"), Some("twice"), "invalid_value")]
#[case::empty_key(Some(""), None, "invalid_value")]
#[tokio::test]
async fn wrong_headers_are_refused(
    #[case] key: Option<&str>,
    #[case] run: Option<&str>,
    #[case] code: &str,
) {
    let fixture = Fixture::start(Vec::new()).await;
    let answer = call(fixture.request(false, key, run)).await;
    assert_eq!(summary(&answer), expected(400, code, "no"));
    assert_eq!(fixture.runs(), 0);
}

#[rstest]
#[case::silent(false)]
#[case::gone(true)]
#[tokio::test]
async fn without_control_nothing_is_run(#[case] disconnected: bool) {
    let mut fixture = Fixture::start(Vec::new()).await;
    if disconnected {
        let folder = fixture.gateway.stop().await;
        let FakeControl { address, .. } = fixture.control;
        fixture.control = FakeControl::start(Shared::new(&fleet_file(), Vec::new())).await;
        fixture.gateway = TestGateway::attached_in(folder, &[address]).await;
    } else {
        fixture.control.shared.set_answering(false);
    }
    let answer = call(fixture.keyed(false, true)).await;
    assert_eq!(summary(&answer), expected(503, "control_unavailable", "no"));
    assert!(!answer.header("retry-after").is_empty());
    assert_eq!(fixture.runs(), 0);
    if !disconnected {
        // The claim that may have been granted is released.
        fixture.control.shared.set_answering(true);
        wait_until("the key is free", async || {
            call(fixture.keyed(false, true)).await.status == StatusCode::OK
        })
        .await;
        assert_eq!(fixture.runs(), 1);
    }
}

#[rstest]
#[case::died(vec![Step::Token(0), Step::Break], true)]
#[case::died_before_the_first_token(vec![Step::Break], true)]
#[case::died_whole_answer(vec![Step::Token(0), Step::Break], false)]
#[tokio::test]
async fn an_unknown_outcome_is_reported_and_the_request_never_runs_again(
    #[case] steps: Vec<Step>,
    #[case] stream: bool,
) {
    let delivered = stream && steps.len() > 1;
    let fixture = Fixture::start(vec![Script::Stream(steps)]).await;
    let first = call(fixture.keyed(stream, true)).await;
    if delivered {
        let last = first.events().pop().expect("an event");
        assert!(last.contains("outcome_unknown"), "{last}");
    } else {
        assert_eq!(summary(&first), expected(409, "outcome_unknown", "unknown"));
    }
    wait_until("the outcome is stored", async || {
        let again = call(fixture.keyed(stream, true)).await;
        summary(&again) == expected(409, "outcome_unknown", "unknown")
    })
    .await;
    assert_eq!(fixture.runs(), 1);
}

#[rstest]
#[case::never_started(true, Script::Status(503, vec![("x-engine-started", "no")], "leaving"))]
#[case::repeatable(false, Script::Status(500, vec![], "defect"))]
#[tokio::test]
async fn a_request_that_may_be_repeated_runs_again_under_its_key(
    #[case] at_most_once: bool,
    #[case] script: Script,
) {
    let fixture = Fixture::start(vec![script; 3]).await;
    let first = call(fixture.keyed(false, at_most_once)).await;
    assert!(first.status.is_server_error(), "{first:?}");
    wait_until("it runs", async || {
        call(fixture.keyed(false, at_most_once)).await.status == StatusCode::OK
    })
    .await;
}

#[rstest]
#[case::at_most_once(true, 1)]
#[case::repeatable(false, 2)]
#[tokio::test]
async fn a_resend_after_a_disconnect_gets_the_answer(
    #[case] at_most_once: bool,
    #[case] runs: usize,
) {
    let fixture = Fixture::start(vec![slow(), slow()]).await;
    let mut response = send(fixture.keyed(true, at_most_once)).await;
    let frame = response.body_mut().frame().await;
    assert!(frame.is_some(), "the stream has begun");
    let meanwhile = call(fixture.keyed(true, at_most_once)).await;
    assert_eq!(
        summary(&meanwhile),
        expected(409, "idempotency_in_progress", "unknown")
    );
    assert!(!meanwhile.header("retry-after").is_empty());
    drop(response);
    if at_most_once {
        fixture.engine.open_gate();
    } else {
        wait_until("the run is stopped", async || {
            fixture.engine.closed_early() == 1
        })
        .await;
        fixture.engine.open_gate();
    }
    wait_until("the resend is answered", async || {
        let again = call(fixture.keyed(true, at_most_once)).await;
        again.status == StatusCode::OK && again.streamed_text() == "t0 t1 t2 t3 "
    })
    .await;
    assert_eq!(fixture.runs(), runs);
}

#[rstest]
#[case::killed(false)]
#[case::stopped(true)]
#[tokio::test]
async fn another_gateway_never_repeats_an_at_most_once_request(#[case] planned: bool) {
    let mut fixture = Fixture::start(vec![slow(), slow()]).await;
    let mut response = send(fixture.keyed(true, true)).await;
    assert!(response.body_mut().frame().await.is_some());
    let other = TestGateway::attached_as("g2", &[fixture.control.address]).await;
    let first = std::mem::replace(&mut fixture.gateway, other);
    let status = if planned {
        drop(response);
        let stop = tokio::spawn(first.stop());
        fixture.engine.open_gate();
        stop.await.expect("stopped");
        StatusCode::OK
    } else {
        drop(first);
        fixture.engine.open_gate();
        StatusCode::CONFLICT
    };
    wait_until("the outcome is reported", async || {
        let again = call(fixture.keyed(true, true)).await;
        again.status == status && (planned || again.error_code() == "outcome_unknown")
    })
    .await;
    assert_eq!(fixture.runs(), 1);
}
