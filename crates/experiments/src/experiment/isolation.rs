//! Harm of batch work to online requests, and batch throughput.

use linnethitch_errors::ErrorKind;

use super::{Finding, Settings, deployments};
use crate::{
    Deployment, Table,
    outcome::Outcome,
    simulation::Simulation,
    strategy::{OracleLimits, Strategy},
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

/// Oracles from one that only trusts the engines' priorities to cautious ones.
const ORACLES: [(&str, OracleLimits); 4] = [
    ("oracle, unlimited", oracle(64, 64)),
    ("oracle, 16 pressed", oracle(64, 16)),
    ("oracle, 8 pressed", oracle(64, 8)),
    ("oracle, 24 at most", oracle(24, 24)),
];

const fn oracle(full_sequences: u32, pressed_sequences: u32) -> OracleLimits {
    OracleLimits {
        full_sequences,
        pressed_sequences,
        beside_sequences: full_sequences,
        pressed_prefill_tokens: 1_024,
    }
}

pub(super) fn run(settings: &Settings) -> Result<Finding, ErrorKind> {
    let mut finding = Finding::default();
    for deployment in deployments()? {
        finding.tables.push(compare(&deployment, settings));
    }
    Ok(finding)
}

fn compare(deployment: &Deployment, settings: &Settings) -> Table {
    let trace = generate(deployment, settings.seconds as f64, settings.seed);
    let alone = run_one(deployment, &trace, Strategy::without_batch(), settings);
    let title = format!("isolation: {}", deployment.name);
    let mut table = Table::new(title, &COLUMNS);
    table.push(row(Strategy::without_batch().name, &alone, &alone));
    for strategy in strategies() {
        let outcome = run_one(deployment, &trace, strategy, settings);
        table.push(row(strategy.name, &outcome, &alone));
    }
    table
}

fn strategies() -> Vec<Strategy> {
    let mut strategies = vec![Strategy::linnethitch()];
    strategies.extend(Strategy::ablations());
    strategies.extend(Strategy::baselines());
    strategies.extend(ORACLES.map(|(name, limits)| Strategy::oracle(name, limits)));
    strategies
}

fn run_one(
    deployment: &Deployment,
    trace: &Trace,
    strategy: Strategy,
    settings: &Settings,
) -> Outcome {
    Simulation::new(deployment, strategy, trace, settings.run()).run()
}

fn row(name: &str, outcome: &Outcome, alone: &Outcome) -> Vec<String> {
    let first = outcome.first_token.percentile_ms(99.0);
    let between = outcome.between_tokens.percentile_ms(99.0);
    vec![
        name.to_owned(),
        format!("{:.1}", outcome.first_token.percentile_ms(50.0)),
        format!("{first:.1}"),
        format!("{:.3}", first / alone.first_token.percentile_ms(99.0)),
        format!("{:.1}", outcome.short_first_token.percentile_ms(99.0)),
        format!("{:.1}", outcome.between_tokens.percentile_ms(50.0)),
        format!("{between:.1}"),
        format!("{:.3}", between / alone.between_tokens.percentile_ms(99.0)),
        format!("{}", outcome.online_refused + outcome.online_failed),
        format!("{:.0}", outcome.batch_rate()),
        format!("{:.1}", outcome.batch_items as f64 / outcome.seconds),
        format!("{}", outcome.yields),
    ]
}
