//! Time per routing and admission decision, in real time on this machine.

use std::{hint::black_box, time::Instant};

use linnethitch_errors::ErrorKind;
use linnethitch_protocol::ids::Timestamp;
use linnethitch_routing::{
    Admission, Class, Phase, ReplicaIndex, RequestProfile, Router, Target,
    admission::{AdmissionOutcome, Arrival},
    costs::Work,
    limits::TenantNumber,
};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use super::{Finding, Settings};
use crate::{Deployment, Table};

/// Numbers of candidate replicas that are compared.
const REPLICAS: [usize; 5] = [50, 100, 200, 400, 600];

/// Number of decisions over which the mean time is taken.
const DECISIONS: u32 = 100_000;

/// Requests already in flight on each replica.
const IN_FLIGHT_PER_REPLICA: usize = 4;

const NOW: Timestamp = Timestamp(1_000_000);
const PREFIXES: [u64; 4] = [11, 12, 13, 14];
const MICROS_PER_SECOND: f64 = 1_000_000.0;

pub(super) fn run(settings: &Settings) -> Result<Finding, ErrorKind> {
    let design = Deployment::design_size()?;
    let mut table = Table::new(
        "decision-cost (of this machine, not the same in each run)",
        &["decision", "replicas", "microseconds"],
    );
    for replicas in REPLICAS {
        let cost = choice_micros(&design, replicas, settings.seed);
        table.push(vec![
            "choice".into(),
            format!("{replicas}"),
            format!("{cost:.3}"),
        ]);
    }
    let cost = admission_micros(&design);
    table.push(vec!["admission".into(), "-".into(), format!("{cost:.3}")]);
    Ok(Finding {
        tables: vec![table],
        ..Finding::default()
    })
}

/// Creates a router with `replicas` replicas in one zone, each with requests in flight.
fn loaded_router(design: &Deployment, replicas: usize) -> Router {
    let mut router = Router::new(design.zones[0].clone(), design.routing.clone());
    let view = router.view_mut();
    view.set_replicas((0..replicas).map(|engine| {
        let mut replica = design.replica(engine);
        replica.machine.zone = design.zones[0].clone();
        replica
    }));
    let work = Work {
        class: Class::Online,
        prefill_tokens: 500,
        output_tokens: 100,
    };
    for request in 0..replicas * IN_FLIGHT_PER_REPLICA {
        let replica = ReplicaIndex((request % replicas) as u32);
        // The ticket is not used: the requests never finish in this measurement.
        let _ticket = view.on_sent(NOW, replica, work, &PREFIXES);
    }
    router
}

/// Profile of the request that is routed.
fn request(design: &Deployment) -> RequestProfile<'_> {
    RequestProfile {
        target: Target::Model {
            name: design.model.as_str(),
            adapter: None,
            version: None,
        },
        class: Class::Online,
        phase: Phase::PrefillAndDecode,
        prompt_tokens: 500,
        expected_output_tokens: 100,
        prefix_hashes: &PREFIXES,
        deadline: Timestamp(NOW.0 + 120_000),
        exclude: &[],
    }
}

fn choice_micros(design: &Deployment, replicas: usize, seed: u64) -> f64 {
    let router = loaded_router(design, replicas);
    let profile = request(design);
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let started = Instant::now();
    for _ in 0..DECISIONS {
        let _ = black_box(router.choose(NOW, black_box(&profile), &mut random));
    }
    started.elapsed().as_secs_f64() * MICROS_PER_SECOND / f64::from(DECISIONS)
}

/// Mean time to queue a request and admit it while others wait, in microseconds.
fn admission_micros(design: &Deployment) -> f64 {
    let mut admission = Admission::new(&design.routing);
    let started = Instant::now();
    for number in 0..DECISIONS {
        let now = Timestamp(NOW.0 + u64::from(number) / 1_000);
        let arrival = Arrival {
            tenant: TenantNumber(number % 64),
            weight: 1,
            cost: 600,
            deadline: Timestamp(now.0 + 120_000),
        };
        let admitted = black_box(admission.offer(now, &arrival, false));
        if matches!(admitted, AdmissionOutcome::Queued(_)) && admission.len() > 32 {
            black_box(admission.pop(now));
        }
    }
    started.elapsed().as_secs_f64() * MICROS_PER_SECOND / f64::from(DECISIONS)
}
