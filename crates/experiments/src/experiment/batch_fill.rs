//! Batch throughput against oracles that know all idle capacity.
//!
//! An oracle sees each engine as it is and acts without delay. How far it may
//! fill an engine is swept; the best one that keeps both harms in bounds is
//! the measure of linnethitch, which works with stale loads and grants.

use linnethitch_errors::ErrorKind;

use super::{Finding, Settings, deployments, isolation::run_one};
use crate::{
    Deployment, Table,
    outcome::Outcome,
    plot::{Mark, Plot, Series},
    strategy::{OracleLimits, Strategy},
    trace::generate,
};

/// Harm of either kind up to which an oracle counts.
const HARM_BOUND: f64 = 1.05;

/// Batch sequences under pressure that are swept.
const PRESSED: [u32; 5] = [8, 12, 14, 16, 18];

/// Batch sequences without pressure that are swept.
const FULL: [u32; 3] = [24, 40, 64];

/// Online prompt tokens from which on an engine counts as pressed.
const PRESSED_PREFILL_TOKENS: u32 = 1_024;

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
    fn new(name: String, outcome: &Outcome, alone: &Outcome) -> Row {
        Row {
            name,
            first_harm: outcome.first_token_harm(alone),
            between_harm: outcome.between_tokens_harm(alone),
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
    let alone = run_one(deployment, &trace, Strategy::without_batch(), settings);
    let linnethitch = run_one(deployment, &trace, Strategy::linnethitch(), settings);
    let mut rows = vec![Row::new("linnethitch".to_owned(), &linnethitch, &alone)];
    for limits in oracles() {
        let outcome = run_one(deployment, &trace, Strategy::oracle(limits), settings);
        let name = format!(
            "oracle, {} full, {} pressed",
            limits.full_sequences, limits.pressed_sequences
        );
        rows.push(Row::new(name, &outcome, &alone));
    }
    rows
}

/// Throughput over harm.
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
    for full in FULL {
        oracles.extend(PRESSED.map(|pressed| limits(full, pressed)));
    }
    oracles
}

fn limits(full_sequences: u32, pressed_sequences: u32) -> OracleLimits {
    OracleLimits {
        full_sequences,
        pressed_sequences,
        pressed_prefill_tokens: PRESSED_PREFILL_TOKENS,
    }
}

fn to_table(deployment: &str, rows: &[Row]) -> Table {
    let oracles = rows[1..].iter().filter(|row| row.in_bounds());
    let best = oracles.map(|row| row.rate).fold(0.0, f64::max);
    let mut table = Table::new(format!("batch-fill: {deployment}"), &COLUMNS);
    for row in rows {
        let of_best = if best > 0.0 {
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
            of_best,
        ]);
    }
    table
}
