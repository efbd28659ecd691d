//! Tests of the engine's HTTP interface against its reference page.

use http::StatusCode;
use linnethitch_emulator::{
    answer::{PromptKey, chat_prompt},
    engine::{
        EngineModel, Fault,
        server::{EngineServer, EngineSettings},
    },
};
use linnethitch_protocol::{fleet::EngineState, ids::ModelId};
use rstest::rstest;
use serde_json::{Value, json};

use crate::client::{TestClient, read_stream};

const MODEL: &str = "quote-writer";
const CHAT: &str = "/v1/chat/completions";
const ID: (&str, &str) = ("x-request-id", "req_1");

async fn engine(compression: u32) -> (EngineServer, TestClient) {
    engine_with(EngineModel::default(), compression).await
}

fn settings(model: EngineModel, compression: u32) -> EngineSettings {
    EngineSettings {
        state: EngineState {
            model: Some(ModelId::from(MODEL)),
            ..EngineState::default()
        },
        time_compression: compression,
        model,
        ..EngineSettings::new("engine-1", "worcester")
    }
}

async fn engine_with(model: EngineModel, compression: u32) -> (EngineServer, TestClient) {
    let server = EngineServer::start(settings(model, compression)).await;
    let server = server.unwrap();
    let client = TestClient::new(server.address());
    (server, client)
}

fn chat(prompt: &str) -> Value {
    json!({"model": MODEL, "messages": [{"role": "user", "content": prompt}]})
}

fn with_members(mut body: Value, more: Value) -> Value {
    let Value::Object(more) = more else {
        panic!("the added members must be a JSON object")
    };
    body.as_object_mut().unwrap().extend(more);
    body
}

fn key(prompt: &str) -> PromptKey {
    PromptKey::of(&chat_prompt([("user", prompt)]))
}

fn expected(prompt: &str) -> String {
    key(prompt).text(key(prompt).natural_length())
}

#[tokio::test]
async fn streamed_and_non_streamed_answers_are_the_same() {
    let (engine, client) = engine(50).await;
    let complete = client.request("POST", CHAT, &[ID], &chat("hello")).await;
    assert_eq!(complete.status, StatusCode::OK);
    assert_eq!(complete.header("x-request-id"), "req_1");
    assert_eq!(complete.body["id"], "req_1");
    assert_eq!(complete.body["object"], "chat.completion");
    let choice = &complete.body["choices"][0];
    assert_eq!(choice["message"]["content"], expected("hello"));
    assert_eq!(choice["finish_reason"], "stop");
    let usage = &complete.body["usage"];
    assert_eq!(usage["completion_tokens"], key("hello").natural_length());

    let body = with_members(
        chat("hello"),
        json!({"stream": true, "stream_options": {"include_usage": true}}),
    );
    let streamed = client.stream(CHAT, &[ID], &body).await;
    assert!(streamed.done && !streamed.broken);
    assert_eq!(streamed.text("req_1"), expected("hello"));
    let indexes: Vec<u64> = streamed
        .tokens("req_1")
        .iter()
        .map(|(index, _)| *index)
        .collect();
    assert_eq!(
        indexes,
        (0..u64::from(key("hello").natural_length())).collect::<Vec<_>>()
    );
    let last = streamed.chunks.len() - 1;
    assert_eq!(streamed.chunks[last]["usage"], *usage);
    assert_eq!(streamed.chunks[last]["choices"], json!([]));
    assert_eq!(
        streamed.chunks[last - 1]["choices"][0]["finish_reason"],
        "stop"
    );
    assert_eq!(engine.executions_of_request("req_1"), 2);
    assert_eq!(engine.executions_of_prompt(key("hello")), 2);
    assert_eq!(engine.executions(), 2);
}

#[tokio::test]
async fn text_completions_have_their_own_form() {
    let (_engine, client) = engine(50).await;
    let body = json!({"model": MODEL, "prompt": "once", "max_tokens": 4});
    let answer = client.post("/v1/completions", &body).await;
    let choice = &answer.body["choices"][0];
    assert_eq!(choice["text"], PromptKey::of("once").text(4));
    assert_eq!(choice["finish_reason"], "length");
    let streamed = client
        .stream(
            "/v1/completions",
            &[ID],
            &with_members(body, json!({"stream": true})),
        )
        .await;
    assert_eq!(streamed.text("req_1"), PromptKey::of("once").text(4));
}

#[tokio::test]
async fn content_parts_are_read_as_text() {
    let (_engine, client) = engine(50).await;
    let body = json!({"model": MODEL, "messages": [
        {"role": "user", "content": [{"type": "text", "text": "hel"}, {"type": "text", "text": "lo"}]}
    ]});
    let answer = client.post(CHAT, &body).await;
    assert_eq!(
        answer.body["choices"][0]["message"]["content"],
        expected("hello")
    );
}

#[tokio::test]
async fn a_resumed_stream_continues_at_its_index() {
    let (_engine, client) = engine(50).await;
    let text = key("hello").text(5);
    let body = with_members(
        chat("hello"),
        json!({"stream": true, "resume": {"text": text, "tokens": 5}}),
    );
    let streamed = client.stream(CHAT, &[ID], &body).await;
    assert_eq!(streamed.tokens("req_1")[0].0, 5);
    assert_eq!(
        format!("{text}{}", streamed.text("req_1")),
        expected("hello")
    );

    let all = key("hello").natural_length();
    let fully_resumed = with_members(
        chat("hello"),
        json!({"stream": true, "resume": {"text": expected("hello"), "tokens": all}}),
    );
    let streamed = client.stream(CHAT, &[ID], &fully_resumed).await;
    assert!(streamed.done);
    assert_eq!(streamed.text("req_1"), "");
    assert_eq!(streamed.chunks[0]["choices"][0]["finish_reason"], "stop");
}

/// Guards against an engine that continues what another software version generated.
#[rstest]
#[case::its_own("emulator", StatusCode::OK, "")]
#[case::another("other", StatusCode::CONFLICT, "no")]
#[tokio::test]
async fn tokens_are_resumed_at_their_software_version_only(
    #[case] software: &str,
    #[case] status: StatusCode,
    #[case] started: &str,
) {
    let (_engine, client) = engine(50).await;
    let text = key("hello").text(5);
    let body = with_members(
        chat("hello"),
        json!({"resume": {"text": text, "tokens": 5}}),
    );
    let headers = [("x-engine-software", software)];
    let answer = client.request("POST", CHAT, &headers, &body).await;
    assert_eq!(answer.status, status);
    assert_eq!(answer.header("x-engine-started"), started);
    assert_eq!(answer.header("x-engine-software"), "emulator");
}

#[rstest]
#[case::no_json(json!("text"), StatusCode::BAD_REQUEST)]
#[case::no_prompt(json!({"model": MODEL}), StatusCode::BAD_REQUEST)]
#[case::another_model(json!({"model": "x", "prompt": "a"}), StatusCode::NOT_FOUND)]
#[case::another_adapter(json!({"model": "quote-writer:x", "prompt": "a"}), StatusCode::NOT_FOUND)]
#[case::foreign_resume(
    json!({"model": MODEL, "prompt": "a", "resume": {"text": "b", "tokens": 1}}),
    StatusCode::BAD_REQUEST
)]
#[case::bad_handle(
    json!({"model": MODEL, "prompt": "a", "kv_import": "x"}),
    StatusCode::BAD_REQUEST
)]
#[case::foreign_handle(
    json!({"model": MODEL, "prompt": "a", "kv_import": "kv-0000000000000001-4"}),
    StatusCode::BAD_REQUEST
)]
#[tokio::test]
async fn refusals_report_that_nothing_started(#[case] body: Value, #[case] status: StatusCode) {
    let (engine, client) = engine(50).await;
    let answer = client.post("/v1/completions", &body).await;
    assert_eq!(answer.status, status);
    assert_eq!(answer.header("x-engine-started"), "no");
    assert!(answer.body["error"]["message"].is_string());
    assert_eq!(engine.executions(), 0);
}

#[tokio::test]
async fn a_full_engine_answers_429() {
    let model = EngineModel {
        max_running: 1,
        max_waiting: 0,
        ..EngineModel::default()
    };
    let (_engine, client) = engine_with(model, 1).await;
    let answer = client.post(CHAT, &chat("hello")).await;
    assert_eq!(answer.status, StatusCode::TOO_MANY_REQUESTS);
    assert_eq!(answer.header("x-engine-started"), "no");
}

#[tokio::test]
async fn a_leaving_engine_announces_it_and_refuses_requests() {
    let (engine, client) = engine(50).await;
    engine.set_leaving(true);
    let answer = client.post(CHAT, &chat("hello")).await;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(answer.header("x-engine-started"), "no");
    assert_eq!(answer.header("x-engine-leaving"), "yes");
    assert_eq!(client.get("/engine/status").await.body["leaving"], true);
    client
        .post("/emulator/leaving", &json!({"leaving": false}))
        .await;
    let answer = client.post(CHAT, &chat("hello")).await;
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(answer.header("x-engine-leaving"), "");
}

#[tokio::test]
async fn load_is_reported_in_a_header_and_by_path() {
    let (_engine, client) = engine(50).await;
    let by_path = client.get("/engine/load").await;
    let header: Value = serde_json::from_str(by_path.header("x-engine-load")).unwrap();
    for member in [
        "measured_at_ms",
        "running_online",
        "running_batch",
        "waiting",
        "queued_prefill_tokens",
        "waiting_batch",
        "queued_batch_prefill_tokens",
        "kv_used_tokens",
        "kv_capacity_tokens",
        "max_running",
    ] {
        assert!(by_path.body[member].is_u64(), "{member}");
        assert!(header[member].is_u64(), "{member}");
    }
}

#[tokio::test]
async fn closing_the_connection_cancels_the_request() {
    let (engine, client) = engine(1).await;
    let body = with_members(chat("hello"), json!({"stream": true, "min_tokens": 10_000}));
    let response = client.send("POST", CHAT, &[ID], &body).await.unwrap();
    assert_eq!(engine.true_load().running_online, 1);
    drop(response);
    while engine.true_load().running_online > 0 {
        tokio::time::sleep(std::time::Duration::from_millis(5)).await;
    }
}

#[tokio::test]
async fn a_cancelled_stream_breaks_instead_of_ending_cleanly() {
    let (engine, client) = engine(1).await;
    let body = with_members(chat("hello"), json!({"stream": true, "min_tokens": 10_000}));
    let response = client.send("POST", CHAT, &[ID], &body).await.unwrap();
    let cancel = ("DELETE", "/engine/requests/req_1");
    let answer = client.request(cancel.0, cancel.1, &[], &Value::Null).await;
    let incarnation = incarnation(&client).await;
    assert_eq!(
        answer.body,
        json!({"cancelled": true, "started": true, "incarnation": incarnation})
    );
    let streamed = read_stream(response.into_body()).await;
    assert!(streamed.broken && !streamed.done);
    assert_eq!(engine.true_load().running_online, 0);
    let again = client.request(cancel.0, cancel.1, &[], &Value::Null).await;
    assert_eq!(again.status, StatusCode::NOT_FOUND);
}

/// The incarnation in the engine's status: 16 hexadecimal digits.
async fn incarnation(client: &TestClient) -> String {
    let status = client.get("/engine/status").await.body;
    let incarnation = status["incarnation"].as_str().expect("a text").to_owned();
    assert!(incarnation.len() == 16 && u64::from_str_radix(&incarnation, 16).is_ok());
    incarnation
}

#[tokio::test]
async fn a_request_that_is_withdrawn_before_it_arrives_is_refused() {
    let (engine, client) = engine(50).await;
    let withdraw = || client.request("DELETE", "/engine/requests/req_1", &[], &Value::Null);
    let answer = withdraw().await;
    assert_eq!(answer.status, StatusCode::NOT_FOUND);
    let first = incarnation(&client).await;
    let never_started = json!({"cancelled": false, "started": false, "incarnation": first});
    assert_eq!(answer.body, never_started);
    let late = client.request("POST", CHAT, &[ID], &chat("hello")).await;
    assert_eq!(late.status, StatusCode::CONFLICT);
    assert_eq!(late.header("x-engine-started"), "no");
    assert_eq!(engine.executions_of_request("req_1"), 0);
    assert_eq!(withdraw().await.body, never_started);
    // An engine that has restarted knows nothing of it, and says so by its incarnation.
    while engine.restart().await.is_err() {
        tokio::time::sleep(std::time::Duration::from_millis(5)).await;
    }
    assert_ne!(incarnation(&client).await, first);
    let complete = client.request("POST", CHAT, &[ID], &chat("hello")).await;
    assert_eq!(complete.status, StatusCode::OK);
    assert_eq!(withdraw().await.body["started"], true);
}

/// Guards against an engine that promises to refuse a request, forgets it, and runs it later.
#[tokio::test]
async fn an_engine_without_room_for_another_withdrawal_promises_nothing() {
    let settings = EngineSettings {
        max_withdrawn_ids: 1,
        ..settings(EngineModel::default(), 50)
    };
    let server = EngineServer::start(settings).await.unwrap();
    let client = TestClient::new(server.address());
    let first = withdraw(&client, "req_1").await;
    assert_eq!(first["started"], false);
    let second = withdraw(&client, "req_2").await;
    assert_eq!(second.get("started"), None);
    let late = client.request("POST", CHAT, &[ID], &chat("hello")).await;
    assert_eq!(late.status, StatusCode::CONFLICT);
}

async fn withdraw(client: &TestClient, id: &str) -> Value {
    let path = format!("/engine/requests/{id}");
    client
        .request("DELETE", &path, &[], &Value::Null)
        .await
        .body
}

#[tokio::test]
async fn a_prefill_is_exported_and_imported() {
    let (_first, prefill) = engine(50).await;
    let body = with_members(chat("hello"), json!({"prefill_only": true}));
    let answer = prefill.request("POST", CHAT, &[ID], &body).await;
    assert_eq!(answer.body["choices"][0]["message"]["content"], "");
    let export = prefill
        .post("/engine/kv/export", &json!({"request_id": "req_1"}))
        .await;
    assert!(export.body["tokens"].as_u64().unwrap() > 0);
    let (_second, decode) = engine(50).await;
    let body = with_members(chat("hello"), json!({"kv_import": export.body["handle"]}));
    let answer = decode.post(CHAT, &body).await;
    assert_eq!(
        answer.body["choices"][0]["message"]["content"],
        expected("hello")
    );
    let unknown = prefill
        .post("/engine/kv/export", &json!({"request_id": "req_2"}))
        .await;
    assert_eq!(unknown.status, StatusCode::NOT_FOUND);
}

#[tokio::test]
async fn orders_are_fenced() {
    let (engine, client) = engine(1_000).await;
    let order = |sequence: u64, order: Value| json!({"token": {"term": 2, "sequence": sequence}, "order": order});
    let load = json!({"type": "load_model", "model": "m", "version": "v"});
    let accepted = client.post("/engine/orders", &order(7, load)).await;
    assert_eq!(accepted.status, StatusCode::ACCEPTED);
    let role = json!({"type": "change_role", "role": "prefill"});
    let older = client.post("/engine/orders", &order(6, role)).await;
    assert_eq!(older.status, StatusCode::CONFLICT);
    while engine.state().model != Some(ModelId::from("m")) {
        tokio::time::sleep(std::time::Duration::from_millis(1)).await;
    }
    let adapter = json!({"type": "load_adapter", "adapter": "a", "version": "1"});
    client.post("/engine/orders", &order(8, adapter)).await;
    while engine.state().adapters.is_empty() {
        tokio::time::sleep(std::time::Duration::from_millis(1)).await;
    }
    assert_eq!(
        client.get("/engine/status").await.body,
        json!({
            "model": "m", "version": "v", "adapters": ["a"], "role": "mixed",
            "fence": {"term": 2, "sequence": 8}, "leaving": false,
            "incarnation": incarnation(&client).await
        })
    );
}

#[tokio::test]
async fn cache_events_are_published() {
    let (_engine, client) = engine(1_000).await;
    client
        .post(CHAT, &chat(&"a long prompt ".repeat(200)))
        .await;
    loop {
        let answer = client.get("/engine/cache/events?after=0").await;
        let events = answer.body["events"].as_array().unwrap().clone();
        if let Some(first) = events.first() {
            assert_eq!(first["type"], "stored");
            assert_eq!(first["block"].as_str().unwrap().len(), 16);
            break;
        }
        tokio::time::sleep(std::time::Duration::from_millis(1)).await;
    }
}

/// Each stream fault has its documented effect on the caller's stream.
#[rstest]
#[case::drop_mid_stream(json!({"fault": "drop_mid_stream", "after_tokens": 3}), true, false, 3)]
#[case::end_early(json!({"fault": "end_early", "after_tokens": 3}), false, false, 3)]
#[case::late(json!({"fault": "late", "millis": 30}), false, true, 16)]
#[case::out_of_order(json!({"fault": "out_of_order"}), false, true, 16)]
#[case::stray(json!({"fault": "stray"}), false, true, 16)]
#[case::slow(json!({"fault": "slow", "percent": 200}), false, true, 16)]
#[tokio::test]
async fn faulty_streams(
    #[case] fault: Value,
    #[case] broken: bool,
    #[case] done: bool,
    #[case] tokens: usize,
) {
    let (_engine, client) = engine(50).await;
    assert_eq!(
        client.post("/emulator/faults", &fault).await.status,
        StatusCode::OK
    );
    let body = with_members(
        chat("hello"),
        json!({"stream": true, "min_tokens": 16, "max_tokens": 16}),
    );
    let streamed = client.stream(CHAT, &[ID], &body).await;
    assert_eq!((streamed.broken, streamed.done), (broken, done));
    let mut own = streamed.tokens("req_1");
    assert_eq!(own.len(), tokens);
    let in_order = own.is_sorted();
    assert_eq!(in_order, fault["fault"] != "out_of_order");
    own.sort();
    let text: String = own.into_iter().map(|(_, text)| text).collect();
    assert_eq!(text, key("hello").text(u32::try_from(tokens).unwrap()));
    let has_stray_chunk = streamed.chunks.iter().any(|chunk| chunk["id"] != "req_1");
    assert_eq!(has_stray_chunk, fault["fault"] == "stray");
    let recover = json!({"fault": "recover"});
    client.post("/emulator/faults", &recover).await;
    let healthy = client.stream(CHAT, &[ID], &body).await;
    assert!(healthy.done && healthy.tokens("req_1").is_sorted());
}

#[tokio::test]
async fn a_dead_engine_breaks_its_streams_and_refuses_connections_until_restarted() {
    let (engine, client) = engine(1).await;
    let body = with_members(chat("hello"), json!({"stream": true, "min_tokens": 10_000}));
    let response = client.send("POST", CHAT, &[ID], &body).await.unwrap();
    engine.inject(Fault::Die);
    let streamed = read_stream(response.into_body()).await;
    assert!(streamed.broken && !streamed.done);
    assert!(
        client
            .send("GET", "/healthz", &[], &Value::Null)
            .await
            .is_err()
    );
    engine.died().await;
    engine.restart().await.unwrap();
    assert_eq!(client.get("/healthz").await.status, StatusCode::OK);
    assert_eq!(
        engine.executions_of_request("req_1"),
        1,
        "counts survive the restart"
    );
    let answer = client
        .post(CHAT, &with_members(chat("hello"), json!({"max_tokens": 1})))
        .await;
    assert_eq!(answer.status, StatusCode::OK);
}

#[tokio::test]
async fn an_engine_killed_over_http_stops_listening() {
    let (engine, client) = engine(1).await;
    // The connection may break before the answer arrives.
    let _ = client
        .send("POST", "/emulator/faults", &[], &json!({"fault": "die"}))
        .await;
    engine.died().await;
    while client
        .send("GET", "/healthz", &[], &Value::Null)
        .await
        .is_ok()
    {
        tokio::time::sleep(std::time::Duration::from_millis(1)).await;
    }
}

#[tokio::test]
async fn a_hung_engine_answers_nothing_until_it_recovers() {
    let (engine, client) = engine(50).await;
    engine.inject(Fault::Hang);
    let wait_limit = std::time::Duration::from_millis(100);
    let health = client.send("GET", "/healthz", &[], &Value::Null);
    assert!(tokio::time::timeout(wait_limit, health).await.is_err());
    let body = chat("hello");
    let pending_answer = client.request("POST", CHAT, &[], &body);
    let recover = async {
        let switch = json!({"fault": "recover"});
        client.post("/emulator/faults", &switch).await;
    };
    let (answer, ()) = tokio::join!(pending_answer, recover);
    assert_eq!(answer.status, StatusCode::OK);
}

#[tokio::test]
async fn executions_can_be_queried_over_http() {
    let (_engine, client) = engine(50).await;
    client.request("POST", CHAT, &[ID], &chat("hello")).await;
    let prompt = format!("{:016x}", key("hello").0);
    for (query, started) in [
        (String::new(), 1),
        ("?request=req_1".to_owned(), 1),
        (format!("?prompt={prompt}"), 1),
        ("?request=req_2".to_owned(), 0),
    ] {
        let answer = client.get(&format!("/emulator/executions{query}")).await;
        assert_eq!(answer.body, json!({"started": started}), "{query}");
    }
}
