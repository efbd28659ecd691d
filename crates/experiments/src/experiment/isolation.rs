//! Harm of batch work to online requests, and batch throughput, by strategy.

use linnethitch_errors::ErrorKind;

use super::{Finding, Settings, deployments};
use crate::{
    Deployment, Table,
    outcome::Outcome,
    plot::{Mark, Plot, Series},
    simulation::Simulation,
    strategy::Strategy,
    trace::{Trace, generate},
};

const COLUMNS: [&str; 12] = [
    "strategy",
    "first p50 ms",
    "first p99 ms",
    "first harm",
    "short p99 ms",
    "between p50 ms",
    "between p99 ms",
    "between harm",
    "refused",
    "batch tokens/s",
    "items/s",
    "yields",
];

/// Compares linnethitch with the baselines.
pub(super) fn run(settings: &Settings) -> Result<Finding, ErrorKind> {
    let mut strategies = vec![Strategy::linnethitch(), Strategy::without_yielding()];
    strategies.extend(Strategy::baselines());
    compare_on_all_deployments("isolation", &strategies, settings)
}

/// Compares linnethitch with variants that have one mechanism switched off.
pub(super) fn run_ablation(settings: &Settings) -> Result<Finding, ErrorKind> {
    let mut strategies = vec![Strategy::linnethitch()];
    strategies.extend(Strategy::ablations());
    compare_on_all_deployments("ablation", &strategies, settings)
}

fn compare_on_all_deployments(
    name: &str,
    strategies: &[Strategy],
    settings: &Settings,
) -> Result<Finding, ErrorKind> {
    let mut finding = Finding::default();
    for deployment in deployments()? {
        let title = format!("{name}: {}", deployment.name);
        let mut table = Table::new(title, &COLUMNS);
        let measured = measure(&deployment, strategies, settings);
        for (strategy, outcome, online_only) in &measured {
            table.push(row(strategy.name, outcome, online_only));
        }
        finding.tables.push(table);
        finding
            .plots
            .extend(plots(name, &deployment.name, &measured));
    }
    Ok(finding)
}

type Measured = (Strategy, Outcome, Outcome);

fn plots(experiment: &str, deployment: &str, measured: &[Measured]) -> [Plot; 3] {
    let plot = |kind: &str, x_label, y_label, points: &dyn Fn(&Outcome) -> Vec<(f64, f64)>| Plot {
        name: format!("{experiment}-{deployment}-{kind}"),
        title: format!("{experiment}, {deployment}: {kind}"),
        x_label,
        y_label,
        mark: Mark::Line,
        series: measured
            .iter()
            .filter(|(strategy, ..)| strategy.name != "shared queue")
            .map(|(strategy, outcome, _)| Series {
                name: strategy.name.to_owned(),
                points: points(outcome),
            })
            .collect(),
    };
    [
        plot("first-token", "ms", "share", &|outcome| {
            outcome.first_token.distribution()
        }),
        plot("between-tokens", "ms", "share", &|outcome| {
            outcome.between_tokens.distribution()
        }),
        plot("batch-timeline", "s", "batch tokens/s", &|outcome| {
            let seconds = outcome.batch_timeline.iter().enumerate();
            seconds
                .map(|(second, tokens)| (second as f64, *tokens as f64))
                .collect()
        }),
    ]
}

/// Runs online requests only and then each strategy, all on the same trace.
fn measure(deployment: &Deployment, strategies: &[Strategy], settings: &Settings) -> Vec<Measured> {
    let trace = generate(deployment, settings.seconds as f64, settings.seed);
    let online_only = run_one(deployment, &trace, Strategy::without_batch(), settings);
    let mut measured = vec![(
        Strategy::without_batch(),
        online_only.clone(),
        online_only.clone(),
    )];
    for strategy in strategies {
        let outcome = run_one(deployment, &trace, *strategy, settings);
        measured.push((*strategy, outcome, online_only.clone()));
    }
    measured
}

pub(super) fn run_one(
    deployment: &Deployment,
    trace: &Trace,
    strategy: Strategy,
    settings: &Settings,
) -> Outcome {
    Simulation::new(deployment, strategy, trace, settings.run()).run()
}

fn row(name: &str, outcome: &Outcome, online_only: &Outcome) -> Vec<String> {
    let first = outcome.first_token.percentile_ms(99.0);
    let between = outcome.between_tokens.percentile_ms(99.0);
    vec![
        name.to_owned(),
        format!("{:.1}", outcome.first_token.percentile_ms(50.0)),
        format!("{first:.1}"),
        format!("{:.3}", outcome.first_token_harm(online_only)),
        format!("{:.1}", outcome.short_first_token.percentile_ms(99.0)),
        format!("{:.1}", outcome.between_tokens.percentile_ms(50.0)),
        format!("{between:.1}"),
        format!("{:.3}", outcome.between_tokens_harm(online_only)),
        format!("{}", outcome.online_refused + outcome.online_failed),
        format!("{:.0}", outcome.batch_rate()),
        format!("{:.1}", outcome.batch_items as f64 / outcome.seconds),
        format!("{}", outcome.yields),
    ]
}
