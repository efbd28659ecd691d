//! Batch throughput relative to oracles that know all idle capacity.
//!
//! An oracle knows the current state of every engine and acts without delay.
//! The experiment runs oracles with different limits. linnethitch, which works
//! with stale load reports and grants, is compared with the oracle of the
//! highest throughput among those whose harms are both in bounds.

use linnethitch_errors::ErrorKind;

use super::{Finding, Settings, deployments, isolation::run_one};
use crate::{
    Deployment, Table,
    outcome::Outcome,
    plot::{Mark, Plot, Series},
    strategy::{OracleLimits, Strategy},
    trace::generate,
};

/// Maximum harm of either kind for a run to be in bounds.
const HARM_BOUND: f64 = 1.05;

/// Maximum batch sequences under pressure of the compared oracles.
const PRESSURE_SEQUENCES: [u32; 5] = [8, 12, 14, 16, 18];

/// Maximum sequences, online and batch together, of the compared oracles.
const MAX_SEQUENCES: [u32; 3] = [24, 40, 64];

/// Online prompt tokens to prefill from which on an engine is under pressure.
const PRESSURE_PREFILL_TOKENS: u32 = 1_024;

const COLUMNS: [&str; 6] = [
    "scheduler",
    "first harm",
    "between harm",
    "in bounds",
    "batch tokens/s",
    "of best oracle",
];

struct Row {
    name: String,
    first_harm: f64,
    between_harm: f64,
    rate: f64,
}

impl Row {
    fn new(name: String, outcome: &Outcome, online_only: &Outcome) -> Row {
        Row {
            name,
            first_harm: outcome.first_token_harm(online_only),
            between_harm: outcome.between_tokens_harm(online_only),
            rate: outcome.batch_rate(),
        }
    }

    fn in_bounds(&self) -> bool {
        self.first_harm <= HARM_BOUND && self.between_harm <= HARM_BOUND
    }
}

pub(super) fn run(settings: &Settings) -> Result<Finding, ErrorKind> {
    let mut finding = Finding::default();
    for deployment in deployments()? {
        let rows = sweep(&deployment, settings);
        finding.tables.push(to_table(&deployment.name, &rows));
        finding.plots.push(frontier(&deployment.name, &rows));
    }
    Ok(finding)
}

fn sweep(deployment: &Deployment, settings: &Settings) -> Vec<Row> {
    let trace = generate(deployment, settings.seconds as f64, settings.seed);
    let online_only = run_one(deployment, &trace, Strategy::without_batch(), settings);
    let linnethitch = run_one(deployment, &trace, Strategy::linnethitch(), settings);
    let mut rows = vec![Row::new(
        "linnethitch".to_owned(),
        &linnethitch,
        &online_only,
    )];
    for limits in oracles() {
        let outcome = run_one(deployment, &trace, Strategy::oracle(limits), settings);
        let name = format!(
            "oracle, {} full, {} pressed",
            limits.max_sequences, limits.pressure_sequences
        );
        rows.push(Row::new(name, &outcome, &online_only));
    }
    rows
}

/// Plots throughput over harm.
fn frontier(deployment: &str, rows: &[Row]) -> Plot {
    let point = |row: &Row| (row.between_harm.max(row.first_harm), row.rate);
    let series = |name: &str, rows: &[Row]| Series {
        name: name.to_owned(),
        points: rows.iter().map(point).collect(),
    };
    Plot {
        name: format!("batch-fill-{deployment}-frontier"),
        title: format!("batch-fill, {deployment}: throughput over harm"),
        x_label: "the larger of both harms",
        y_label: "batch tokens/s",
        mark: Mark::Point,
        series: vec![
            series("linnethitch", &rows[..1]),
            series("oracle", &rows[1..]),
        ],
    }
}

fn oracles() -> Vec<OracleLimits> {
    let mut oracles = vec![limits(64, 64)];
    for max_sequences in MAX_SEQUENCES {
        oracles.extend(
            PRESSURE_SEQUENCES.map(|pressure_sequences| limits(max_sequences, pressure_sequences)),
        );
    }
    oracles
}

fn limits(max_sequences: u32, pressure_sequences: u32) -> OracleLimits {
    OracleLimits {
        max_sequences,
        pressure_sequences,
        pressure_prefill_tokens: PRESSURE_PREFILL_TOKENS,
    }
}

fn to_table(deployment: &str, rows: &[Row]) -> Table {
    let oracles = rows[1..].iter().filter(|row| row.in_bounds());
    let best = oracles.map(|row| row.rate).fold(0.0, f64::max);
    let mut table = Table::new(format!("batch-fill: {deployment}"), &COLUMNS);
    for row in rows {
        let share_of_best = if best > 0.0 {
            format!("{:.3}", row.rate / best)
        } else {
            "-".to_owned()
        };
        table.push(vec![
            row.name.clone(),
            format!("{:.3}", row.first_harm),
            format!("{:.3}", row.between_harm),
            if row.in_bounds() { "yes" } else { "no" }.to_owned(),
            format!("{:.0}", row.rate),
            share_of_best,
        ]);
    }
    table
}
