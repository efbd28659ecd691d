//! Engines that die, slow down or leave under online and batch load.

use linnethitch_emulator::Time;
use linnethitch_errors::ErrorKind;

use super::{Finding, Settings, deployments};
use crate::{
    Deployment, Table,
    outcome::Outcome,
    simulation::{Incident, IncidentKind, Simulation},
    strategy::Strategy,
    trace::generate,
};

/// Step time of a slow engine, in percent of the normal one.
const SLOW_PERCENT: u32 = 400;

const MICROS_PER_SECOND: u64 = 1_000_000;

const COLUMNS: [&str; 8] = [
    "case",
    "first p50 ms",
    "first p99 ms",
    "between p99 ms",
    "finished",
    "failed",
    "sent again",
    "batch tokens/s",
];

pub(super) fn run(settings: &Settings) -> Result<Finding, ErrorKind> {
    let mut finding = Finding::default();
    for deployment in deployments()? {
        let trace = generate(&deployment, settings.seconds as f64, settings.seed);
        let title = format!("failures: {}", deployment.name);
        let mut table = Table::new(title, &COLUMNS);
        for (name, incidents) in cases(&deployment, settings) {
            let mut run = settings.run();
            run.incidents = incidents;
            let strategy = Strategy::linnethitch();
            let outcome = Simulation::new(&deployment, strategy, &trace, run).run();
            table.push(row(name, &outcome));
        }
        finding.tables.push(table);
    }
    Ok(finding)
}

fn cases(deployment: &Deployment, settings: &Settings) -> [(&'static str, Vec<Incident>); 5] {
    let at = Time(settings.seconds * MICROS_PER_SECOND / 3);
    let on_first_engine = |kind| {
        vec![Incident {
            at,
            engine: 0,
            kind,
        }]
    };
    let engine_zones = deployment.engine_zones.iter().enumerate();
    let zone_loss = engine_zones
        .filter(|(_, zone)| **zone == 0)
        .map(|(engine, _)| Incident {
            at,
            engine,
            kind: IncidentKind::Dies,
        });
    [
        ("calm", Vec::new()),
        ("one engine dies", on_first_engine(IncidentKind::Dies)),
        (
            "one engine slows",
            on_first_engine(IncidentKind::Slows(SLOW_PERCENT)),
        ),
        ("one engine leaves", on_first_engine(IncidentKind::Leaves)),
        ("a zone dies", zone_loss.collect()),
    ]
}

fn row(name: &str, outcome: &Outcome) -> Vec<String> {
    vec![
        name.to_owned(),
        format!("{:.1}", outcome.first_token.percentile_ms(50.0)),
        format!("{:.1}", outcome.first_token.percentile_ms(99.0)),
        format!("{:.1}", outcome.between_tokens.percentile_ms(99.0)),
        format!("{}", outcome.online_finished),
        format!("{}", outcome.online_failed + outcome.online_refused),
        format!("{}", outcome.retries),
        format!("{:.0}", outcome.batch_rate()),
    ]
}
