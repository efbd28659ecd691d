//! Tests of the HTTP interfaces of application replicas and of the platform.

use http::StatusCode;
use linnethitch_emulator::{
    application::{ApplicationModel, ApplicationServer, ApplicationSettings},
    engine::Fault,
    platform::{PlatformModel, PlatformServer, PlatformSettings},
};
use serde_json::{Value, json};

use crate::client::TestClient;

async fn replica() -> (ApplicationServer, TestClient) {
    let settings = ApplicationSettings::new("app-1", "gimhae", "gate-status");
    let server = ApplicationServer::start(settings).await.unwrap();
    let client = TestClient::new(server.address());
    (server, client)
}

#[tokio::test]
async fn a_call_is_echoed_with_the_load() {
    let (server, client) = replica().await;
    let body = json!({"gate": 7});
    let answer = client
        .request(
            "PUT",
            "/gates/7?full=1",
            &[("x-request-id", "req_9")],
            &body,
        )
        .await;
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(answer.header("x-request-id"), "req_9");
    assert_eq!(answer.body["method"], "PUT");
    assert_eq!(answer.body["path"], "/gates/7");
    assert_eq!(answer.body["query"], "full=1");
    assert_eq!(answer.body["body"], body.to_string());
    assert_eq!(answer.body["replica"], "app-1");
    let load: Value = serde_json::from_str(answer.header("x-application-load")).unwrap();
    assert_eq!(load["max_running"], ApplicationModel::default().max_running);
    assert_eq!(server.executions_of("req_9"), 1);
    assert_eq!(server.executions(), 1);
    let counted = client.get("/emulator/executions?request=req_9").await;
    assert_eq!(counted.body, json!({"started": 1}));
    assert!(client.get("/load").await.body["measured_at_ms"].is_u64());
}

#[tokio::test]
async fn injected_faults_and_leaving_refuse_calls() {
    let (server, client) = replica().await;
    client
        .post("/emulator/faults", &json!({"fault": "refuse"}))
        .await;
    let refused = client.post("/x", &Value::Null).await;
    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(refused.header("x-application-started"), "no");
    server.inject(Fault::Recover);
    server.set_leaving(true);
    let leaving = client.post("/x", &Value::Null).await;
    assert_eq!(leaving.header("x-application-leaving"), "yes");
    assert_eq!(leaving.header("x-application-started"), "no");
    assert_eq!(server.executions(), 0);
    server.set_leaving(false);
    server.inject(Fault::Die);
    server.died().await;
    assert!(client.send("POST", "/x", &[], &Value::Null).await.is_err());
    server.restart().await.unwrap();
    assert_eq!(client.post("/x", &Value::Null).await.status, StatusCode::OK);
}

#[tokio::test]
async fn the_platform_lists_machines_after_a_lag() {
    let model = PlatformModel {
        list_lag_micros: 50_000,
        ..PlatformModel::default()
    };
    let settings = PlatformSettings {
        model,
        ..PlatformSettings::default()
    };
    let server = PlatformServer::start(settings).await.unwrap();
    let client = TestClient::new(server.address());
    assert_eq!(client.get("/machines").await.body, json!([]));
    let machine = json!({
        "name": "app-1", "kind": "application", "service": "gate-status",
        "zone": "gimhae", "address": "127.0.0.1:1", "state": "leaving"
    });
    client.post("/emulator/machines", &machine).await;
    while client.get("/machines").await.body != json!([machine]) {
        tokio::time::sleep(std::time::Duration::from_millis(5)).await;
    }
    assert!(server.remove_machine("app-1"));
    while client.get("/machines").await.body != json!([]) {
        tokio::time::sleep(std::time::Duration::from_millis(5)).await;
    }
    server.stop();
    assert!(
        client
            .send("GET", "/machines", &[], &Value::Null)
            .await
            .is_err()
    );
    server.restart().await.unwrap();
    assert_eq!(client.get("/machines").await.status, StatusCode::OK);
}

#[tokio::test]
async fn the_weight_store_answers_429_when_busy() {
    let model = PlatformModel {
        transfer_burst: 1,
        transfer_interval_micros: 60_000_000,
        ..PlatformModel::default()
    };
    let settings = PlatformSettings {
        model,
        ..PlatformSettings::default()
    };
    let server = PlatformServer::start(settings).await.unwrap();
    let client = TestClient::new(server.address());
    let body = json!({"model": "m", "version": "1", "machine": "e"});
    let first = client.post("/weights/reservations", &body).await;
    assert_eq!(first.status, StatusCode::OK);
    assert_eq!(first.body["ready_after_ms"], 1_000);
    let second = client.post("/weights/reservations", &body).await;
    assert_eq!(second.status, StatusCode::TOO_MANY_REQUESTS);
    assert!(second.header("retry-after").parse::<u64>().unwrap() >= 1);
    let bad = client.post("/weights/reservations", &json!({})).await;
    assert_eq!(bad.status, StatusCode::BAD_REQUEST);
}
