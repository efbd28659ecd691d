//! Clients of the product's own interfaces that are not bound to the limits: the process lives,
//! stays within the memory of a node, and serves ordinary callers while the crowd is there.

use std::{net::SocketAddr, time::Duration};

use linnethitch_crowd::{Crowd, Sends, gather_all, vitals};
use rstest::rstest;

use crate::support::{OneHost, wait_until};

const MIB: usize = 1024 * 1024;
/// Memory of a node for linnethitch, in bytes; bound of each test.
const MEMORY_BYTES: u64 = 256 * MIB as u64;
/// Time for the process to read what a crowd has sent.
const SETTLE: Duration = Duration::from_secs(1);

const COMPLETIONS: Crowd = Crowd {
    clients: 64,
    method: "POST",
    path: "/v1/chat/completions",
    headers: "Authorization: Bearer lh-dev-key\r\nContent-Type: application/json\r\n",
    sends: Sends::Nothing,
    replaces: false,
};
const SERVICE_CALLS: Crowd = Crowd {
    path: "/services/tariff-lookup/crowd",
    ..COMPLETIONS
};
/// An upload whose one line does not end.
const UPLOADS: Crowd = Crowd {
    path: "/v1/files?purpose=batch&filename=crowd.jsonl",
    ..COMPLETIONS
};
const FLEET_FILES: Crowd = Crowd {
    method: "PUT",
    path: "/v1/configuration",
    headers: "Authorization: Bearer lh-dev-operator\r\nLinnethitch-Change: crowd\r\nLinnethitch-Expected-Revision: 1\r\n",
    ..COMPLETIONS
};
const SHORT_BODY: Sends = Sends::Body {
    bytes: 4 * MIB,
    is_whole: false,
};

const fn sending(crowd: Crowd, sends: Sends) -> Crowd {
    Crowd { sends, ..crowd }
}

const fn of(crowd: Crowd, clients: usize) -> Crowd {
    Crowd { clients, ..crowd }
}

async fn gather(crowds: Vec<Crowd>, target: SocketAddr) -> Vec<linnethitch_crowd::Gathered> {
    let gathering = tokio::task::spawn_blocking(move || gather_all(&crowds, target));
    let gathered = gathering.await.expect("the crowds gather");
    tokio::time::sleep(SETTLE).await;
    gathered
}

fn assert_within_memory(process: u32) {
    let peak = vitals::peak_memory(process).expect("the process lives");
    assert!(peak <= MEMORY_BYTES, "{} MB", peak / MIB as u64);
}

async fn ask_as_caller(host: &mut OneHost) {
    let gateway = host.gateway(1);
    let body = r#"{"model":"quote-writer","messages":[{"role":"user","content":"Worcester to Hartford"}],"max_tokens":16}"#;
    let headers = [("content-type", "application/json")];
    wait_until("an ordinary request is answered", async || {
        let path = "/v1/chat/completions";
        let answer = gateway.try_ask("POST", path, &headers, body).await;
        answer.is_some_and(|answer| answer.status == 200)
    })
    .await;
}

#[rstest]
#[case::bodies_without_their_last_byte(vec![sending(COMPLETIONS, SHORT_BODY)])]
#[case::large_chunks_without_an_end(vec![sending(COMPLETIONS, Sends::Chunks { chunk: 64 * 1024, bytes: 4 * MIB - 64 * 1024 })])]
#[case::chunks_of_one_byte(vec![sending(of(COMPLETIONS, 16), Sends::Chunks { chunk: 1, bytes: MIB })])]
#[case::whole_bodies_to_a_service(vec![sending(SERVICE_CALLS, Sends::Body { bytes: 4 * MIB, is_whole: true })])]
#[case::uploads_of_one_line(vec![sending(UPLOADS, SHORT_BODY)])]
#[case::two_crowds(vec![sending(COMPLETIONS, SHORT_BODY), sending(UPLOADS, SHORT_BODY)])]
#[tokio::test]
async fn a_gateway_withstands_crowds(#[case] crowds: Vec<Crowd>) {
    let mut host = OneHost::start_without(&["gateway-2"]).await;
    ask_as_caller(&mut host).await;
    let gathered = gather(crowds, host.gateway(1).address()).await;
    ask_as_caller(&mut host).await;
    drop(gathered);
    ask_as_caller(&mut host).await;
    assert_within_memory(host.process("gateway-1"));
}

#[tokio::test]
async fn a_control_member_withstands_fleet_files() {
    let crowds = vec![sending(FLEET_FILES, SHORT_BODY)];
    let mut host = OneHost::start_without(&["gateway-2"]).await;
    let gathered = gather(crowds, host.operator_address(1)).await;
    ask_as_caller(&mut host).await;
    drop(gathered);
    host.wait_until_ready().await;
    assert_within_memory(host.process("control-1"));
}

/// A single request of the largest legal size is served in calm.
#[tokio::test]
async fn the_largest_request_is_served_in_calm() {
    let mut host = OneHost::start_without(&["gateway-2"]).await;
    let gateway = host.gateway(1);
    let body = "x".repeat(4 * MIB);
    wait_until("the largest request is answered", async || {
        let path = "/services/tariff-lookup/large";
        let answer = gateway.try_ask("POST", path, &[], body.clone()).await;
        answer.is_some_and(|answer| answer.status == 200)
    })
    .await;
}
