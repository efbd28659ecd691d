//! Choice of replicas: candidates, expected wait, health, and leaving replicas.

use linnethitch_protocol::{
    fleet::{EngineRole, MachineState, ReplicaInfo},
    ids::ModelId,
};
use linnethitch_routing::{
    Class, Phase, ReasonCode, RequestProfile, Router, Target,
    view::{Availability, FailureKind},
};
use rstest::rstest;

use crate::fixture::{
    NOW, application, engine, index, later, model_target, name_of, report, request, rng, router,
    work,
};

fn chosen(router: &Router, profile: &RequestProfile<'_>) -> Result<String, ReasonCode> {
    router
        .choose(NOW, profile, &mut rng())
        .map(|choice| name_of(router, choice.replica))
        .map_err(|refusal| refusal.reason)
}

fn changed(name: &str, change: impl FnOnce(&mut ReplicaInfo)) -> ReplicaInfo {
    let mut info = engine(name, "a");
    change(&mut info);
    info
}

#[rstest]
#[case::model_fits(engine("e1", "a"), Ok("e1"))]
#[case::other_model(changed("e1", |i| i.engine.model = Some(ModelId::from("other"))), Err(ReasonCode::UnknownTarget))]
#[case::nothing_loaded(changed("e1", |i| i.engine.model = None), Err(ReasonCode::UnknownTarget))]
#[case::other_version(changed("e1", |i| i.engine.version = "v0".to_owned()), Err(ReasonCode::NotLoaded))]
#[case::no_adapter(changed("e1", |i| i.engine.adapters.clear()), Err(ReasonCode::NotLoaded))]
#[case::prefill_role(changed("e1", |i| i.engine.role = EngineRole::Prefill), Err(ReasonCode::NotLoaded))]
#[case::decode_role(changed("e1", |i| i.engine.role = EngineRole::Decode), Err(ReasonCode::NotLoaded))]
#[case::listed_as_leaving(changed("e1", |i| i.machine.state = MachineState::Leaving), Err(ReasonCode::NoReplicaTakesWork))]
#[case::reports_leaving(changed("e1", |i| i.engine.leaving = true), Err(ReasonCode::NoReplicaTakesWork))]
#[case::application(application("e1", "a"), Err(ReasonCode::UnknownTarget))]
fn only_replicas_that_serve_the_target_are_candidates(
    #[case] info: ReplicaInfo,
    #[case] expected: Result<&str, ReasonCode>,
) {
    let router = router([info]);
    let profile = RequestProfile {
        target: Target::Model {
            name: "quote",
            adapter: Some("lane"),
            version: Some("v1"),
        },
        ..request()
    };
    assert_eq!(chosen(&router, &profile), expected.map(str::to_owned));
}

#[rstest]
#[case::prefill(Phase::Prefill, EngineRole::Prefill)]
#[case::decode(Phase::Decode, EngineRole::Decode)]
#[case::prefill_and_decode(Phase::PrefillAndDecode, EngineRole::Mixed)]
fn each_phase_goes_to_replicas_with_its_role(#[case] phase: Phase, #[case] role: EngineRole) {
    let all = [EngineRole::Mixed, EngineRole::Prefill, EngineRole::Decode];
    let replicas = all.map(|role| changed(&format!("{role:?}"), |info| info.engine.role = role));
    let router = router(replicas);
    let profile = RequestProfile { phase, ..request() };
    assert_eq!(chosen(&router, &profile), Ok(format!("{role:?}")));
}

#[test]
fn a_service_goes_to_its_own_replicas() {
    let router = router([engine("e1", "a"), application("t1", "a")]);
    let profile = RequestProfile {
        target: Target::Service("tariff"),
        ..request()
    };
    assert_eq!(chosen(&router, &profile), Ok("t1".to_owned()));
}

#[rstest]
#[case::idle_local_zone(0, "home")]
#[case::short_local_queue(500, "home")]
#[case::long_local_queue(20_000, "away")]
fn requests_spill_to_another_zone_only_over_the_spill_limit(
    #[case] local_queued_tokens: u32,
    #[case] expected: &str,
) {
    let mut router = router([engine("home", "a"), engine("away", "b")]);
    let local = index(&router, "home");
    router
        .view_mut()
        .on_load_report(local, report(NOW, 0, local_queued_tokens));
    assert_eq!(chosen(&router, &request()), Ok(expected.to_owned()));
}

#[test]
fn without_a_local_replica_another_zone_serves() {
    let router = router([engine("away", "b")]);
    let choice = router.choose(NOW, &request(), &mut rng()).unwrap();
    assert_eq!(choice.reason, ReasonCode::ZoneWithoutReplica);
}

#[test]
fn short_requests_avoid_the_replica_with_a_long_prompt() {
    let mut router = router([engine("long", "a"), engine("short", "a")]);
    let long = index(&router, "long");
    let ticket = router
        .view_mut()
        .on_sent(NOW, long, work(Class::Online, 20_000), &[]);
    let short = index(&router, "short");
    for _ in 0..8 {
        let _ = router
            .view_mut()
            .on_sent(NOW, short, work(Class::Online, 100), &[]);
    }
    assert_eq!(chosen(&router, &request()), Ok("short".to_owned()));
    drop(ticket);
}

#[test]
fn estimated_load_counts_requests_sent_and_finished_since_the_report() {
    let mut router = router([engine("e1", "a")]);
    let e1 = index(&router, "e1");
    let view = router.view_mut();
    let mut before = view.on_sent(later(0), e1, work(Class::Online, 1_000), &[]);
    view.on_load_report(e1, report(later(100), 4, 1_500));
    let after = view.on_sent(later(200), e1, work(Class::Online, 300), &[]);
    let load = view.replica(e1).estimated_load(later(100));
    assert_eq!((load.online, load.queued_prefill_tokens), (5.0, 1_800.0));

    view.on_first_token(later(250), &mut before);
    let load = view.replica(e1).estimated_load(later(100));
    assert_eq!(
        (load.online, load.queued_prefill_tokens),
        (5.0, 1_200.0),
        "of a prefill from 0 to 250 ms, three fifths remained at 100 ms"
    );

    view.on_finished(later(300), before);
    view.on_load_report(e1, report(later(220), 5, 1_700));
    let load = view.replica(e1).estimated_load(later(220));
    assert_eq!((load.online, load.queued_prefill_tokens), (4.0, 1_580.0));
    let drained = view.replica(e1).estimated_load(later(270));
    assert_eq!(drained.online, 4.0);
    assert!((800.0..1_100.0).contains(&drained.queued_prefill_tokens));

    view.on_load_report(e1, report(later(50), 60, 60_000));
    assert_eq!(
        view.replica(e1).estimated_load(later(220)),
        load,
        "an older report is ignored"
    );
    view.on_cancelled(later(400), after);
}

#[rstest]
#[case::unreachable_immediately(FailureKind::Unreachable, 1, Some(ReasonCode::Unreachable))]
#[case::not_served_immediately(FailureKind::NotServed, 1, Some(ReasonCode::NotLoaded))]
#[case::one_broken_stream(FailureKind::Disconnected, 1, None)]
#[case::three_broken_streams(FailureKind::Disconnected, 3, Some(ReasonCode::Ejected))]
#[case::three_timeouts(FailureKind::TimedOut, 3, Some(ReasonCode::Ejected))]
#[case::three_bad_answers(FailureKind::BadAnswer, 3, Some(ReasonCode::Ejected))]
#[case::full_is_healthy(FailureKind::Full, 10, None)]
fn failures_eject(
    #[case] kind: FailureKind,
    #[case] count: u32,
    #[case] expected: Option<ReasonCode>,
) {
    let mut router = router([engine("e1", "a"), engine("e2", "a")]);
    let e1 = index(&router, "e1");
    let mut ejected = None;
    for _ in 0..count {
        ejected = router.view_mut().on_replica_failure(NOW, e1, kind);
    }
    assert_eq!(ejected, expected);
    let availability = router.view().availability(NOW, e1);
    match expected {
        Some(reason) => assert_eq!(availability, Availability::Unavailable(reason)),
        None => assert_eq!(availability, Availability::Available(1.0)),
    }
}

#[test]
fn ejection_time_doubles_and_a_successful_probe_starts_slow_start() {
    let mut router = router([engine("e1", "a"), engine("e2", "a")]);
    let e1 = index(&router, "e1");
    let view = router.view_mut();
    view.on_replica_failure(later(0), e1, FailureKind::Unreachable);
    assert!(matches!(
        view.availability(later(1_999), e1),
        Availability::Unavailable(_)
    ));
    assert_eq!(view.availability(later(2_000), e1), Availability::Probe);

    let probe = view.on_sent(later(2_000), e1, work(Class::Online, 10), &[]);
    assert!(matches!(
        view.availability(later(2_001), e1),
        Availability::Unavailable(_)
    ));
    view.on_failure(later(2_010), probe, FailureKind::Disconnected);
    assert!(matches!(
        view.availability(later(6_009), e1),
        Availability::Unavailable(_)
    ));
    assert_eq!(view.availability(later(6_010), e1), Availability::Probe);

    let probe = view.on_sent(later(6_010), e1, work(Class::Online, 10), &[]);
    view.on_finished(later(6_100), probe);
    assert_eq!(
        view.availability(later(6_100), e1),
        Availability::Available(0.1)
    );
    assert_eq!(
        view.availability(later(8_600), e1),
        Availability::Available(0.5)
    );
    assert_eq!(
        view.availability(later(11_100), e1),
        Availability::Available(1.0)
    );
}

#[test]
fn at_most_half_of_a_pool_is_ejected() {
    let names = ["e1", "e2", "e3", "e4"];
    let mut router = router(names.map(|name| engine(name, "a")));
    let ejected = names.map(|name| {
        let replica = index(&router, name);
        router
            .view_mut()
            .on_replica_failure(NOW, replica, FailureKind::Unreachable)
            .is_some()
    });
    assert_eq!(ejected, [true, true, false, false]);
}

#[test]
fn a_leaving_response_excludes_a_replica_immediately_although_it_is_listed_as_live() {
    let mut router = router([engine("e1", "a"), engine("e2", "a")]);
    let e1 = index(&router, "e1");
    router.view_mut().on_leaving(NOW, e1);
    router
        .view_mut()
        .set_replicas([engine("e1", "a"), engine("e2", "a")]);
    for at_ms in 0..50 {
        let choice = router.choose(later(at_ms), &request(), &mut rng()).unwrap();
        assert_eq!(name_of(&router, choice.replica), "e2");
    }
}

#[test]
fn a_silent_replica_gets_no_new_work() {
    let mut router = router([engine("e1", "a"), engine("e2", "a")]);
    let e1 = index(&router, "e1");
    let view = router.view_mut();
    let mut ticket = view.on_sent(NOW, e1, work(Class::Online, 10), &[]);
    assert_eq!(
        view.availability(later(1_500), e1),
        Availability::Available(1.0)
    );
    assert_eq!(
        view.availability(later(1_501), e1),
        Availability::Unavailable(ReasonCode::Silent)
    );
    view.on_first_token(later(1_600), &mut ticket);
    assert_eq!(
        view.availability(later(1_700), e1),
        Availability::Available(1.0)
    );
    view.on_finished(later(1_800), ticket);
}

#[test]
fn when_all_are_ejected_one_is_tried_but_never_a_leaving_one() {
    let mut router = router([engine("e1", "a"), engine("e2", "a")]);
    let (e1, e2) = (index(&router, "e1"), index(&router, "e2"));
    router
        .view_mut()
        .on_replica_failure(NOW, e1, FailureKind::Unreachable);
    router.view_mut().on_leaving(NOW, e2);
    let choice = router.choose(NOW, &request(), &mut rng()).unwrap();
    assert_eq!(
        (choice.replica, choice.reason),
        (e1, ReasonCode::AllEjected)
    );
}

#[test]
fn a_tried_replica_is_not_chosen_again() {
    let router = router([engine("e1", "a"), engine("e2", "a")]);
    let tried = [index(&router, "e1"), index(&router, "e2")];
    let profile = RequestProfile {
        exclude: &tried[..1],
        ..request()
    };
    assert_eq!(chosen(&router, &profile), Ok("e2".to_owned()));
    let profile = RequestProfile {
        exclude: &tried,
        ..request()
    };
    assert_eq!(
        chosen(&router, &profile),
        Err(ReasonCode::NoReplicaTakesWork)
    );
}

#[test]
fn a_deadline_that_cannot_be_met_is_refused_immediately_with_a_retry_after() {
    let mut router = router([engine("e1", "a")]);
    let e1 = index(&router, "e1");
    router
        .view_mut()
        .on_load_report(e1, report(NOW, 10, 100_000));
    let profile = RequestProfile {
        deadline: later(500),
        ..request()
    };
    let refusal = router.choose(NOW, &profile, &mut rng()).unwrap_err();
    assert_eq!(refusal.reason, ReasonCode::DeadlineTooClose);
    assert!(refusal.retry_after_ms.unwrap() >= 1_000);
}

#[test]
fn requests_with_a_shared_prefix_go_to_the_replica_that_caches_it() {
    let names = ["e1", "e2", "e3", "e4", "e5", "e6"];
    let mut router = router(names.map(|name| engine(name, "a")));
    let hashes = [11, 22, 33, 44, 55, 66, 77, 88];
    let profile = RequestProfile {
        prompt_tokens: 600,
        prefix_hashes: &hashes,
        ..request()
    };
    let mut generator = rng();
    let first = router.choose(NOW, &profile, &mut generator).unwrap();
    let ticket = router
        .view_mut()
        .on_sent(NOW, first.replica, work(Class::Online, 600), &hashes);
    router.view_mut().on_finished(later(100), ticket);
    for _ in 0..20 {
        let next = router.choose(later(200), &profile, &mut generator).unwrap();
        assert_eq!(next.replica, first.replica);
        assert_eq!(next.cached_tokens, 512);
    }
}

#[test]
fn when_the_replica_preferred_for_a_prefix_is_leaving_the_next_is_always_considered() {
    let names = ["e1", "e2", "e3", "e4", "e5", "e6"];
    let mut router = router(names.map(|name| engine(name, "a")));
    let profile = RequestProfile {
        prefix_hashes: &[11],
        ..request()
    };
    let mut generator = rng();
    let mut always_considered = |router: &Router| {
        let mut common: Vec<_> = names.map(|name| index(router, name)).to_vec();
        for _ in 0..40 {
            let choice = router.choose(NOW, &profile, &mut generator).unwrap();
            let others = choice.alternatives.iter().flatten();
            let considered: Vec<_> = others.map(|other| other.replica).collect();
            common.retain(|replica| *replica == choice.replica || considered.contains(replica));
        }
        common
    };
    let preferred = always_considered(&router);
    assert_eq!(preferred.len(), 1);
    router.view_mut().on_leaving(NOW, preferred[0]);
    let next = always_considered(&router);
    assert_eq!(next.len(), 1);
    assert_ne!(next, preferred);
}

#[test]
fn the_same_seed_gives_the_same_choices() {
    let names = ["e1", "e2", "e3", "e4", "e5", "e6"];
    let router = router(names.map(|name| engine(name, "a")));
    let run = || {
        let mut generator = rng();
        (0..100)
            .map(|_| {
                router
                    .choose(NOW, &request(), &mut generator)
                    .unwrap()
                    .replica
            })
            .collect::<Vec<_>>()
    };
    assert_eq!(run(), run());
    assert!(
        names
            .iter()
            .all(|name| run().contains(&index(&router, name)))
    );
}

#[test]
fn an_unlisted_target_is_unknown() {
    let router = router([engine("e1", "a")]);
    let profile = RequestProfile {
        target: Target::Service("quote"),
        ..request()
    };
    assert_eq!(chosen(&router, &profile), Err(ReasonCode::UnknownTarget));
    assert_eq!(model_target(), request().target);
}
