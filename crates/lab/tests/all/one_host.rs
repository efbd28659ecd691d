//! Faults of real processes: SIGKILL, lost disks and planned stops. Each test runs the one-host
//! example and injects one fault.

use linnethitch_emulator::answer::PromptKey;
use rstest::rstest;

use crate::support::{Job, OneHost, Run, Stream, key_of, wait_until};

/// Streams in progress when the fault is injected.
const STREAMS: usize = 12;
/// Minimum number of tokens of each stream that have arrived by then.
const TOKENS_BEFORE: usize = 10;
/// Length of an answer that is still in progress by then, in tokens.
const LONG_ANSWER: u32 = 150;
/// Engines of the example.
const ENGINES: u16 = 4;
/// Items of a job.
const ITEMS: u32 = 400;

/// Prompts whose answers are long.
fn long_prompts() -> impl Iterator<Item = String> {
    let prompts = (0..).map(|number| format!("Quote number {number}, please."));
    prompts.filter(|prompt| key_of(prompt).natural_length() >= LONG_ANSWER)
}

/// Opens streams through the first gateway and waits until all are in progress.
async fn streams_in_progress(host: &mut OneHost) -> Vec<Stream> {
    let gateway = host.gateway(1);
    let mut streams = Vec::new();
    for prompt in long_prompts().take(STREAMS) {
        streams.push(Stream::open(&gateway, &prompt).await);
    }
    wait_until("every stream is in progress", async || {
        streams
            .iter()
            .all(|stream| stream.tokens() >= TOKENS_BEFORE)
    })
    .await;
    streams
}

/// Number of the engine that runs a prompt.
async fn engine_of(host: &mut OneHost, key: PromptKey) -> u16 {
    for number in 1..=ENGINES {
        if host.engine(number).executions_of(key).await > 0 {
            return number;
        }
    }
    panic!("no engine has started the prompt");
}

#[tokio::test]
async fn an_engine_killed_mid_stream_loses_no_token() {
    let mut host = OneHost::start_without(&[]).await;
    let streams = streams_in_progress(&mut host).await;
    let engine = engine_of(&mut host, streams[0].key).await;
    assert!(!streams[0].has_ended());
    host.kill(&format!("engine-{engine}"));
    for stream in streams {
        stream.assert_complete().await;
    }
}

#[tokio::test]
async fn a_planned_stop_of_a_gateway_cuts_off_no_stream() {
    let mut host = OneHost::start_without(&[]).await;
    let streams = streams_in_progress(&mut host).await;
    host.terminate("gateway-1");
    let first = host.gateway(1);
    wait_until("the gateway is no longer ready", async || {
        let answer = first.try_get("/readyz").await;
        answer.is_none_or(|answer| answer.status != 200)
    })
    .await;
    assert!(!streams[0].has_ended(), "the stop came too late");
    for stream in streams {
        stream.assert_complete().await;
    }
    assert_eq!(host.wait("gateway-1").code(), Some(0));
    let second = host.gateway(2);
    let prompt = long_prompts().next().unwrap();
    Stream::open(&second, &prompt).await.assert_complete().await;
}

/// Fault that is injected while a job runs.
#[derive(Clone, Copy, Debug)]
enum Fault {
    /// The gateway that runs all of its items is killed.
    Gateway,
    /// The leading control member is killed.
    Leader,
    /// Two control members are killed and their folders deleted.
    TwoDisks,
    /// Everything is stopped as planned and started again.
    Restart,
}

#[rstest]
#[case::of_a_gateway_with_items_in_flight(Fault::Gateway)]
#[case::of_the_leading_control_member(Fault::Leader)]
#[case::of_two_control_members_with_their_disks(Fault::TwoDisks)]
#[case::by_a_planned_restart_of_everything(Fault::Restart)]
#[tokio::test]
async fn an_accepted_job_completes_exactly_once_after_the_loss(#[case] fault: Fault) {
    // Only one gateway runs items before the fault, so items are in flight when it is killed.
    let mut host = OneHost::start_without(&["gateway-2"]).await;
    let first = host.gateway(1);
    let job = Job::submit(&first, ITEMS, Run::Ordinary).await;
    job.wait_until_in_progress(&first).await;
    match fault {
        Fault::Gateway => host.kill("gateway-1"),
        Fault::Leader => {
            let leader = host.leader().await;
            host.kill(&leader);
            assert_eq!(job.create(&first).await, job.id);
            host.start(&leader);
        }
        Fault::TwoDisks => {
            let leader = host.leader().await;
            let other = ["control-1", "control-2"]
                .into_iter()
                .find(|name| *name != leader);
            let lost = [leader, other.unwrap().to_owned()];
            for name in &lost {
                host.kill(name);
                host.wipe(name);
            }
            for name in &lost {
                host.start(name);
            }
        }
        Fault::Restart => host.restart().await,
    }
    host.start("gateway-2");
    host.wait_until_ready().await;
    let second = host.gateway(2);
    job.assert_completes(&second).await;
    assert_eq!(job.create(&second).await, job.id, "a resend finds the job");
}

#[rstest]
#[case::of_the_gateway("gateway-1")]
#[case::of_an_engine("engine-1")]
#[tokio::test]
async fn an_at_most_once_item_is_started_at_most_once_after_the_loss(#[case] lost: &str) {
    let mut host = OneHost::start_without(&["gateway-2"]).await;
    let first = host.gateway(1);
    let job = Job::submit(&first, ITEMS, Run::AtMostOnce).await;
    job.wait_until_in_progress(&first).await;
    host.kill(lost);
    host.start("gateway-2");
    let second = host.gateway(2);
    second.wait_for("/readyz").await;
    // A killed engine can no longer report what it started.
    let alive = (1..=ENGINES).filter(|number| format!("engine-{number}") != lost);
    let engines: Vec<_> = alive.map(|number| host.engine(number)).collect();
    job.assert_ran_at_most_once(&second, &engines).await;
}

#[tokio::test]
async fn cancelling_a_job_stops_its_items_at_the_engines() {
    let mut host = OneHost::start_without(&[]).await;
    let gateway = host.gateway(1);
    let job = Job::submit(&gateway, ITEMS, Run::Ordinary).await;
    job.wait_until_in_progress(&gateway).await;
    job.cancel(&gateway).await;
    let results = job.results(&gateway, "cancelled").await;
    assert!(results.len() < ITEMS as usize);
    for number in 1..=ENGINES {
        let engine = host.engine(number);
        wait_until("the engine is idle", async || {
            let load = engine.get("/engine/load").await.json();
            load["running_batch"] == 0 && load["waiting"] == 0
        })
        .await;
    }
    assert_eq!(job.results(&host.gateway(2), "cancelled").await, results);
}

#[tokio::test]
async fn a_change_resent_after_the_leader_was_killed_takes_effect_once() {
    let mut host = OneHost::start_without(&[]).await;
    let changed = host.fleet_text().replace("tariff-lookup", "fare-lookup");
    let leader = host.leader().await;
    // The answer is lost with the leader, whether or not the change was committed.
    let member = leader.trim_start_matches("control-").parse().unwrap();
    let sent = host.send_change(member, "second", 1, &changed);
    tokio::task::yield_now().await;
    host.kill(&leader);
    let _ = sent.await.unwrap();
    for _ in 0..2 {
        let answer = host.apply("second", 1, &changed).await;
        assert_eq!(answer.json()["revision"], 2, "{}", answer.text());
    }
    let late = host.apply("third", 1, &host.fleet_text()).await;
    assert_eq!(late.json()["error"]["code"], "revision_conflict");
    host.wait_for_status("revision 2 is in force on both gateways", |status| {
        let gateways = status["gateways"].as_array().map_or(0, Vec::len);
        gateways == 2 && status["lowest_in_force"] == 2
    })
    .await;
}
