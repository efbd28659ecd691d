//! Batch items whose content or parts are refused as online requests.

use std::time::Duration;

use linnethitch_job_store::ItemSpec;
use linnethitch_registry::{ConsecutiveEnds, EndedRun, RequestContent, RequestFingerprint};
use linnethitch_relay::KeyPolicy;
use rstest::rstest;
use tokio::time::{sleep, timeout};

use crate::{
    items::{homed, results, run, submit_items},
    streams::COMPLETE,
    support::{Act, Fleet, LIMIT, Replica},
};

const PART: u64 = 0xdead;
const BODY: &[u8] = b"body";
const PATH: &str = "/a/x";
/// Ends after which an online request or one of its parts is refused.
const ENDS: usize = 3;

fn content() -> RequestFingerprint {
    RequestFingerprint::of(&RequestContent {
        method: "POST",
        host: b"desk.example",
        path: PATH,
        caller: b"",
        body: BODY,
    })
}

fn part() -> RequestFingerprint {
    RequestFingerprint::of_part("service", PART)
}

fn refused_part() -> RequestFingerprint {
    RequestFingerprint::of_refused_part("service", PART)
}

/// Guards against an owed item that is put aside for as long as online requests like it, or with
/// one of its parts, are refused; also by what a gateway of an earlier build recorded.
#[rstest]
#[case::its_content(&[content()])]
#[case::its_part(&[part()])]
#[case::the_refusal_of_its_part(&[refused_part()])]
#[case::all(&[content(), part(), refused_part()])]
#[tokio::test]
async fn an_item_runs_although_requests_like_it_are_refused(
    #[case] refused: &[RequestFingerprint],
) {
    let replica = Replica::start(vec![Act::Send(COMPLETE)]).await;
    let replicas = std::slice::from_ref(&replica);
    let configuration = homed(1, &[], &[]);
    let fleet = Fleet::start_configured(configuration, KeyPolicy::default(), replicas).await;
    fleet.wait_until_coordinated().await;
    fleet.start_store().await;
    let gateway = fleet.relay.gateway();
    let ended = refused.iter().map(|fingerprint| EndedRun {
        fingerprint: *fingerprint,
        known: ConsecutiveEnds::with_equal_lengths(0, ENDS as u32 - 1),
        ran_ms: 0,
    });
    assert!(
        gateway
            .report_replica_ended("i-9", ended.collect(), LIMIT)
            .await
    );
    while gateway.fleet().suspicions().len() < refused.len() {
        sleep(Duration::from_millis(10)).await;
    }
    run(&fleet.relay, 1);
    let item = ItemSpec {
        id: "item".to_owned(),
        path: PATH.to_owned(),
        headers: vec![("parts".to_owned(), format!("f1,{PART:x},1"))],
        body: BODY.to_vec(),
        tokens: 100,
    };
    submit_items(&fleet, vec![item]).await;
    let page = timeout(LIMIT, results(&fleet)).await.expect("it is listed");
    assert_eq!(page.results.len(), 1);
    // Its response says nothing of the requests that are refused.
    assert_eq!(gateway.fleet().suspicions().len(), refused.len());
}
