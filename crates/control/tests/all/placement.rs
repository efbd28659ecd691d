//! Placement by control processes, with an emulated platform and engines.

use linnethitch_config::settings::DEFAULT_SNAPSHOT_LOG_BYTES;
use linnethitch_emulator::{engine::server::EngineServer, platform::PlatformServer};

use crate::{
    back_ends::{MODEL, engine, platform},
    cluster::fleet_file,
    processes::{TestControl, wait_until},
};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_model_is_placed_and_placed_again_by_the_next_leader() {
    let engines = [engine("e1").await, engine("e2").await];
    let platform: PlatformServer = platform(&engines).await;
    let mut control =
        TestControl::start_with(3, platform.address(), DEFAULT_SNAPSHOT_LOG_BYTES).await;
    let file = fleet_file("placed") + MODEL;
    let applied = control.apply(1, "first", 0, &file).await;
    assert_eq!(applied.body["revision"], 1, "{applied:?}");
    let loaded = |engine: &EngineServer| engine.state().version == "v1";
    wait_until("the model is placed", async || loaded(&engines[0])).await;
    let leader = control.leader().await;
    for number in control.running() {
        wait_until("every member lists the replica", async || {
            let status = control.get(number, "/v1/status").await.body;
            status["replicas"][0]["serves"] == "quote v1"
        })
        .await;
    }
    control.stop(leader).await;
    platform.remove_machine("e1");
    wait_until("the model is placed again", async || loaded(&engines[1])).await;
    let next = control.leader().await;
    assert!(engines[1].state().fence > engines[0].state().fence);
    wait_until("the decision is explained", async || {
        let records = control.get(next, "/v1/explain/e2").await.body;
        let records = records["records"].as_array().cloned().unwrap_or_default();
        let has = |reason: &str| records.iter().any(|record| record["reason"] == reason);
        has("placement_missing") && has("order_in_effect")
    })
    .await;
}
