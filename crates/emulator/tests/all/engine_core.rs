//! Tests of the engine core in virtual time.

use linnethitch_emulator::{
    Time,
    answer::{BLOCK_TOKENS, PromptKey, block_hashes, count_tokens},
    engine::{
        CacheChange, EngineCore, EngineEvent, EngineModel, EngineRequest, Fault, FinishReason,
        Priority, Refusal, SequenceId,
    },
};
use linnethitch_protocol::{
    command::EngineOrder,
    fleet::{EngineRole, EngineState},
    ids::{FencingToken, ModelId, Term},
};
use rstest::rstest;

const MODEL: &str = "quote-writer";
const END: Time = Time::from_millis(600_000);

fn engine(model: EngineModel) -> EngineCore {
    EngineCore::new(model, 7).with_state(EngineState {
        model: Some(ModelId::from(MODEL)),
        ..EngineState::default()
    })
}

fn request(id: u64, prompt: &str) -> EngineRequest {
    EngineRequest {
        id: SequenceId(id),
        model: MODEL.to_owned(),
        prompt: PromptKey::of(prompt),
        prompt_tokens: count_tokens(prompt),
        prefix_hashes: block_hashes(prompt),
        ..EngineRequest::default()
    }
}

fn batch(id: u64, prompt: &str) -> EngineRequest {
    EngineRequest {
        priority: Priority::Batch,
        ..request(id, prompt)
    }
}

fn run(engine: &mut EngineCore, until: Time) -> Vec<EngineEvent> {
    let mut events = Vec::new();
    engine.advance(until, &mut events);
    events
}

fn indexes(events: &[EngineEvent], request_id: u64) -> Vec<u32> {
    events
        .iter()
        .filter_map(|event| match event {
            EngineEvent::Token { id, index, .. } if id.0 == request_id => Some(*index),
            _ => None,
        })
        .collect()
}

fn finish(events: &[EngineEvent], request_id: u64) -> Option<(Time, FinishReason, u32)> {
    events.iter().find_map(|event| match event {
        EngineEvent::Finished {
            at,
            id,
            reason,
            cached_tokens,
        } if id.0 == request_id => Some((*at, *reason, *cached_tokens)),
        _ => None,
    })
}

fn token(sequence: u64) -> FencingToken {
    FencingToken {
        term: Term(1),
        sequence,
    }
}

#[test]
fn an_answer_has_each_token_once_and_in_order() {
    let mut engine = engine(EngineModel::default());
    let submitted = request(1, "what does a pallet to Portland cost");
    let length = submitted.answer_tokens();
    engine.submit(Time::ZERO, submitted).unwrap();
    let events = run(&mut engine, END);
    assert_eq!(indexes(&events, 1), (0..length).collect::<Vec<_>>());
    assert_eq!(finish(&events, 1).unwrap().1, FinishReason::Stop);
    assert_eq!(engine.next_event_at(), None);
}

#[rstest]
#[case::limited_by_max_tokens(Some(5), 0, 5, FinishReason::Length)]
#[case::extended_by_min_tokens(None, 400, 400, FinishReason::Stop)]
#[case::maximum_beats_minimum(Some(300), 400, 300, FinishReason::Length)]
fn limits_set_the_length(
    #[case] max_tokens: Option<u32>,
    #[case] min_tokens: u32,
    #[case] length: usize,
    #[case] reason: FinishReason,
) {
    let mut engine = engine(EngineModel::default());
    let submitted = EngineRequest {
        max_tokens,
        min_tokens,
        ..request(1, "hello")
    };
    engine.submit(Time::ZERO, submitted).unwrap();
    let events = run(&mut engine, END);
    assert_eq!(indexes(&events, 1).len(), length);
    assert_eq!(finish(&events, 1).unwrap().1, reason);
}

#[test]
fn a_resumed_run_continues_where_the_first_ended() {
    let mut first = engine(EngineModel::default());
    let submitted = request(1, "a long contract to sum up");
    let length = submitted.answer_tokens();
    first.submit(Time::ZERO, submitted.clone()).unwrap();
    let mut delivered = indexes(&run(&mut first, Time::from_millis(200)), 1);
    assert!(first.cancel(SequenceId(1)));
    assert!(!first.cancel(SequenceId(1)));
    assert!(run(&mut first, END).is_empty());

    let mut second = engine(EngineModel::default());
    let resumed = EngineRequest {
        resume_tokens: u32::try_from(delivered.len()).unwrap(),
        ..submitted
    };
    second.submit(Time::ZERO, resumed).unwrap();
    delivered.extend(indexes(&run(&mut second, END), 1));
    assert_eq!(delivered, (0..length).collect::<Vec<_>>());
}

#[test]
fn online_preempts_batch_which_keeps_its_tokens() {
    let model = EngineModel {
        max_running: 2,
        ..EngineModel::default()
    };
    let mut engine = engine(model);
    engine.submit(Time::ZERO, batch(1, "first item")).unwrap();
    engine.submit(Time::ZERO, batch(2, "second item")).unwrap();
    let mut events = run(&mut engine, Time::from_millis(100));
    let length = batch(2, "second item").answer_tokens();
    engine
        .submit(Time::from_millis(100), request(3, "a caller waits"))
        .unwrap();
    events.extend(run(&mut engine, END));
    let preempted: Vec<u64> = events
        .iter()
        .filter_map(|event| match event {
            EngineEvent::Preempted { id, .. } => Some(id.0),
            _ => None,
        })
        .collect();
    assert_eq!(preempted, vec![2], "the newest batch request is preempted");
    assert_eq!(indexes(&events, 2), (0..length).collect::<Vec<_>>());
    for id in 1..=3 {
        assert!(finish(&events, id).is_some(), "request {id} ends");
    }
}

#[test]
fn batch_never_preempts_and_waits_behind_online() {
    let model = EngineModel {
        max_running: 1,
        ..EngineModel::default()
    };
    let mut engine = engine(model);
    engine.submit(Time::ZERO, request(1, "first")).unwrap();
    engine.submit(Time::ZERO, batch(2, "item")).unwrap();
    engine.submit(Time::ZERO, request(3, "second")).unwrap();
    let events = run(&mut engine, END);
    let ends: Vec<Time> = [1, 3, 2]
        .into_iter()
        .map(|id| finish(&events, id).unwrap().0)
        .collect();
    assert!(ends.is_sorted(), "{ends:?}");
}

#[test]
fn a_full_memory_preempts_the_least_urgent_and_all_end() {
    let model = EngineModel {
        kv_capacity_tokens: 700,
        ..EngineModel::default()
    };
    let mut engine = engine(model);
    for id in 0..8 {
        let submitted = EngineRequest {
            min_tokens: 300,
            max_tokens: Some(300),
            ..batch(id, &format!("item {id}"))
        };
        engine.submit(Time::ZERO, submitted).unwrap();
    }
    let events = run(&mut engine, END);
    for id in 0..8 {
        assert_eq!(indexes(&events, id), (0..300).collect::<Vec<_>>());
    }
    let preemptions = events
        .iter()
        .filter(|event| matches!(event, EngineEvent::Preempted { .. }));
    assert!(preemptions.count() > 0);
}

#[test]
fn a_long_prompt_is_prefilled_in_chunks_beside_decoding() {
    let mut engine = engine(EngineModel::default());
    engine
        .submit(
            Time::ZERO,
            EngineRequest {
                min_tokens: 100,
                ..request(1, "short")
            },
        )
        .unwrap();
    run(&mut engine, Time::from_millis(20));
    let long = "contract ".repeat(4_000);
    engine
        .submit(Time::from_millis(20), request(2, &long))
        .unwrap();
    let events = run(&mut engine, END);
    let first_of_long = events
        .iter()
        .position(|event| matches!(event, EngineEvent::Token { id, .. } if id.0 == 2))
        .unwrap();
    let decoded_meanwhile = indexes(&events[..first_of_long], 1).len();
    assert!(decoded_meanwhile >= 10, "{decoded_meanwhile}");
}

#[test]
fn a_shared_prefix_is_prefilled_once() {
    let mut engine = engine(EngineModel::default());
    let shared = "rules of the tariff ".repeat(64);
    engine.submit(Time::ZERO, request(1, &shared)).unwrap();
    run(&mut engine, END);
    engine
        .submit(END, request(2, &format!("{shared} and a question")))
        .unwrap();
    let events = run(&mut engine, END + 600_000_000);
    let blocks = u32::try_from(block_hashes(&shared).len()).unwrap();
    assert_eq!(finish(&events, 2).unwrap().2, blocks * BLOCK_TOKENS);
}

#[test]
fn the_cache_is_bounded_and_publishes_its_changes_with_lag_and_gaps() {
    let model = EngineModel {
        cache_blocks: 4,
        cache_event_loss_permille: 300,
        ..EngineModel::default()
    };
    let lag = model.cache_event_lag_micros;
    let mut engine = engine(model);
    let mut now = Time::ZERO;
    for id in 0..20 {
        let prompt = format!("{id} ").repeat(400);
        engine.submit(now, request(id, &prompt)).unwrap();
        now = now + 60_000_000;
        run(&mut engine, now);
    }
    let events = engine.cache_events(now, 0);
    assert!(
        events
            .windows(2)
            .all(|pair| pair[0].sequence < pair[1].sequence)
    );
    assert!(
        events
            .windows(2)
            .any(|pair| pair[1].sequence > pair[0].sequence + 1),
        "some events are lost"
    );
    assert!(
        events
            .iter()
            .any(|event| matches!(event.change, CacheChange::Removed(_)))
    );
    let first = events[0];
    assert!(engine.cache_events(first.at + (lag - 1), 0).is_empty());
    assert_eq!(engine.cache_events(first.at + lag, 0)[0], first);
    let last = events[events.len() - 1];
    assert!(engine.cache_events(now, last.sequence).is_empty());
}

#[test]
fn load_reports_have_a_lag() {
    let mut engine = engine(EngineModel::default());
    let lag = engine.model().report_lag_micros;
    let start = Time::from_millis(1_000);
    engine.submit(start, request(1, "hello")).unwrap();
    assert_eq!(engine.true_load().running_online, 1);
    let before_lag = engine.load_report(start + (lag - 1));
    assert_eq!(before_lag.running_online, 0);
    assert!(before_lag.measured_at.0 < 1_000);
    let after_lag = engine.load_report(start + lag);
    assert_eq!(after_lag.running_online, 1);
    assert_eq!(after_lag.measured_at.0, 1_000);
    run(&mut engine, END);
    let idle = engine.load_report(END);
    assert_eq!(idle.running_online, 0);
    assert_eq!(idle.measured_at.0, END.as_millis() - lag / 1_000);
}

#[test]
fn a_prefilled_prompt_continues_on_another_engine() {
    let mut prefill = engine(EngineModel::default());
    let submitted = request(1, &"terms ".repeat(1_000));
    let length = submitted.answer_tokens();
    prefill
        .submit(
            Time::ZERO,
            EngineRequest {
                prefill_only: true,
                ..submitted.clone()
            },
        )
        .unwrap();
    let events = run(&mut prefill, END);
    assert_eq!(finish(&events, 1).unwrap().1, FinishReason::Prefilled);
    assert!(indexes(&events, 1).is_empty());
    let handle = prefill.export(SequenceId(1)).unwrap();

    let mut decode = engine(EngineModel::default());
    let imported = EngineRequest {
        kv_import: Some(handle.clone()),
        ..submitted.clone()
    };
    decode.submit(Time::ZERO, imported).unwrap();
    let imported_events = run(&mut decode, END);
    assert_eq!(
        indexes(&imported_events, 1),
        (0..length).collect::<Vec<_>>()
    );
    let mut plain = engine(EngineModel::default());
    plain.submit(Time::ZERO, submitted).unwrap();
    let plain_events = run(&mut plain, END);
    assert!(finish(&imported_events, 1).unwrap().0 < finish(&plain_events, 1).unwrap().0);

    let other_prompt = EngineRequest {
        kv_import: Some(handle),
        ..request(2, "another prompt")
    };
    assert_eq!(decode.submit(END, other_prompt), Err(Refusal::WrongHandle));
}

#[test]
fn orders_are_fenced_and_a_load_waits_for_running_work() {
    let mut engine = engine(EngineModel::default());
    engine.submit(Time::ZERO, request(1, "hello")).unwrap();
    let load = EngineOrder::LoadModel {
        model: ModelId::from("other"),
        version: "2".to_owned(),
    };
    assert!(engine.order(Time::ZERO, token(5), load.clone()));
    assert!(engine.order(Time::ZERO, token(5), load));
    let older = EngineOrder::ChangeRole(EngineRole::Prefill);
    assert!(!engine.order(Time::ZERO, token(4), older));
    assert_eq!(engine.state().role, EngineRole::Mixed);
    assert_eq!(
        engine.submit(Time::ZERO, request(2, "more")),
        Err(Refusal::Loading)
    );
    let events = run(&mut engine, END);
    assert!(finish(&events, 1).is_some(), "running work ends first");
    assert_eq!(engine.state().model, Some(ModelId::from("other")));
    assert_eq!(engine.state().version, "2");
    assert_eq!(
        engine.submit(END, request(2, "more")),
        Err(Refusal::WrongModel)
    );
}

#[test]
fn an_adapter_is_served_once_loaded() {
    let mut engine = engine(EngineModel::default());
    let adapted = EngineRequest {
        model: format!("{MODEL}:hartford"),
        ..request(1, "hello")
    };
    assert_eq!(
        engine.submit(Time::ZERO, adapted.clone()),
        Err(Refusal::WrongModel)
    );
    let load = EngineOrder::LoadAdapter {
        adapter: "hartford".to_owned(),
        version: "1".to_owned(),
    };
    assert!(engine.order(Time::ZERO, token(1), load));
    run(&mut engine, END);
    assert_eq!(engine.submit(END, adapted), Ok(()));
}

#[rstest]
#[case::prefill_refuses_decoding(EngineRole::Prefill, false, Err(Refusal::WrongRole))]
#[case::prefill_accepts_prefill(EngineRole::Prefill, true, Ok(()))]
#[case::decode_refuses_prefill(EngineRole::Decode, true, Err(Refusal::WrongRole))]
#[case::decode_accepts_decoding(EngineRole::Decode, false, Ok(()))]
fn roles_limit_accepted_requests(
    #[case] role: EngineRole,
    #[case] prefill_only: bool,
    #[case] expected: Result<(), Refusal>,
) {
    let mut engine = engine(EngineModel::default());
    assert!(engine.order(Time::ZERO, token(1), EngineOrder::ChangeRole(role)));
    let submitted = EngineRequest {
        prefill_only,
        ..request(1, "hello")
    };
    assert_eq!(engine.submit(Time::ZERO, submitted), expected);
}

#[rstest]
#[case::dead(Fault::Die, Err(Refusal::Dead), false)]
#[case::hung(Fault::Hang, Ok(()), false)]
#[case::refusing(Fault::Refuse, Err(Refusal::Fault), true)]
#[case::slow(Fault::Slow { percent: 300 }, Ok(()), true)]
#[case::dropping(Fault::DropMidStream { after_tokens: 3 }, Ok(()), false)]
fn faults_take_effect(
    #[case] fault: Fault,
    #[case] second_result: Result<(), Refusal>,
    #[case] first_ends: bool,
) {
    let mut engine = engine(EngineModel::default());
    engine.submit(Time::ZERO, request(1, "hello")).unwrap();
    engine.inject(Time::ZERO, fault);
    assert_eq!(engine.submit(Time::ZERO, request(2, "more")), second_result);
    let events = run(&mut engine, END);
    assert_eq!(finish(&events, 1).is_some(), first_ends);
    if let Fault::DropMidStream { after_tokens } = fault {
        assert_eq!(indexes(&events, 1).len(), after_tokens as usize);
        assert!(
            events
                .iter()
                .any(|event| matches!(event, EngineEvent::Broken { .. }))
        );
    }
}

#[test]
fn a_hung_engine_continues_after_recovery() {
    let mut engine = engine(EngineModel::default());
    engine.submit(Time::ZERO, request(1, "hello")).unwrap();
    engine.inject(Time::ZERO, Fault::Hang);
    assert_eq!(engine.next_event_at(), None);
    assert!(run(&mut engine, Time::from_millis(5_000)).is_empty());
    engine.inject(Time::from_millis(5_000), Fault::Recover);
    let events = run(&mut engine, END);
    assert!(finish(&events, 1).is_some());
}

#[rstest]
#[case::leaving(|engine: &mut EngineCore| engine.set_leaving(true), Refusal::Leaving)]
#[case::too_long(|_: &mut EngineCore| (), Refusal::TooLong)]
fn refusals_state_the_reason(#[case] prepare: fn(&mut EngineCore), #[case] refusal: Refusal) {
    let mut engine = engine(EngineModel::default());
    prepare(&mut engine);
    let submitted = EngineRequest {
        prompt_tokens: 300_000,
        ..request(1, "hello")
    };
    assert_eq!(engine.submit(Time::ZERO, submitted), Err(refusal));
}

#[test]
fn a_full_queue_and_a_used_id_are_refused() {
    let model = EngineModel {
        max_running: 1,
        max_waiting: 1,
        ..EngineModel::default()
    };
    let mut engine = engine(model);
    engine.submit(Time::ZERO, request(1, "a")).unwrap();
    assert_eq!(
        engine.submit(Time::ZERO, request(1, "a")),
        Err(Refusal::DuplicateId)
    );
    engine.submit(Time::ZERO, request(2, "b")).unwrap();
    assert_eq!(
        engine.submit(Time::ZERO, request(3, "c")),
        Err(Refusal::Full)
    );
    engine
        .submit(Time::ZERO, batch(4, "batch has a queue of its own"))
        .unwrap();
}

#[test]
fn the_same_seed_gives_the_same_run() {
    let run_once = || {
        let mut engine = engine(EngineModel::default());
        for id in 0..30 {
            let prompt = format!("prompt {id} ").repeat(50);
            let at = Time::from_millis(id * 13);
            let mut events = Vec::new();
            engine.advance(at, &mut events);
            engine.submit(at, request(id, &prompt)).unwrap();
        }
        let events = run(&mut engine, END);
        (events, engine.cache_events(END, 0))
    };
    assert_eq!(run_once(), run_once());
}
