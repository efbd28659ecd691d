//! How online requests find their engine: stale loads, herding, lengths, prefixes.

use linnethitch_errors::ErrorKind;

use super::{Finding, Settings, deployments, isolation::run_one};
use crate::{
    Deployment, Table,
    outcome::Outcome,
    simulation::Simulation,
    strategy::{OnlineDispatch, Strategy},
    trace::generate,
};

/// Ages of load reports that are compared, in milliseconds.
const LAGS_MS: [u64; 5] = [100, 500, 1_000, 2_000, 5_000];

const MICROS_PER_MILLI: u64 = 1_000;

/// Longest run at the design size, in seconds of virtual time.
const DESIGN_SECONDS: u64 = 20;

const ONLINE_COLUMNS: [&str; 5] = [
    "online requests",
    "first p50 ms",
    "first p99 ms",
    "short p99 ms",
    "between p99 ms",
];

/// Harm and throughput with ever older load reports.
pub(super) fn run_stale_load(settings: &Settings) -> Result<Finding, ErrorKind> {
    const COLUMNS: [&str; 5] = [
        "report lag ms",
        "first p99 ms",
        "first harm",
        "between harm",
        "batch tokens/s",
    ];
    let mut finding = Finding::default();
    for deployment in deployments()? {
        let trace = generate(&deployment, settings.seconds as f64, settings.seed);
        let alone = run_one(&deployment, &trace, Strategy::without_batch(), settings);
        let title = format!("stale-load: {}", deployment.name);
        let mut table = Table::new(title, &COLUMNS);
        for lag_ms in LAGS_MS {
            let mut run = settings.run();
            run.engine.report_lag_micros = lag_ms * MICROS_PER_MILLI;
            let strategy = Strategy::linnethitch();
            let outcome = Simulation::new(&deployment, strategy, &trace, run).run();
            table.push(vec![
                format!("{lag_ms}"),
                format!("{:.1}", outcome.first_token.percentile_ms(99.0)),
                format!("{:.3}", outcome.first_token_harm(&alone)),
                format!("{:.3}", outcome.between_tokens_harm(&alone)),
                format!("{:.0}", outcome.batch_rate()),
            ]);
        }
        finding.tables.push(table);
    }
    Ok(finding)
}

/// Many gateways with the same stale view, at the design size.
pub(super) fn run_herding(settings: &Settings) -> Result<Finding, ErrorKind> {
    let design = Deployment::design_size()?;
    let settings = Settings {
        seconds: settings.seconds.min(DESIGN_SECONDS),
        warm_up_seconds: settings.warm_up_seconds.min(DESIGN_SECONDS / 4),
        ..*settings
    };
    let table = online_table("herding: 410 gateways, 600 replicas", &design, &settings);
    Ok(Finding {
        tables: vec![table],
        ..Finding::default()
    })
}

/// Short requests beside long ones, without batch.
pub(super) fn run_mixed_lengths(settings: &Settings) -> Result<Finding, ErrorKind> {
    let mut finding = Finding::default();
    for deployment in deployments()? {
        let title = format!("mixed-lengths: {}", deployment.name);
        finding
            .tables
            .push(online_table(&title, &deployment, settings));
    }
    Ok(finding)
}

fn online_table(title: &str, deployment: &Deployment, settings: &Settings) -> Table {
    let trace = generate(deployment, settings.seconds as f64, settings.seed);
    let mut table = Table::new(title, &ONLINE_COLUMNS);
    for strategy in online_strategies() {
        let outcome = run_one(deployment, &trace, strategy, settings);
        table.push(online_row(strategy.name, &outcome));
    }
    table
}

fn online_strategies() -> [Strategy; 4] {
    let alone = Strategy::without_batch();
    [
        Strategy {
            name: "linnethitch",
            ..alone
        },
        Strategy {
            name: "without prefix affinity",
            prefix_affinity: false,
            ..alone
        },
        Strategy {
            name: "round robin",
            online: OnlineDispatch::RoundRobin,
            ..alone
        },
        Strategy {
            name: "least in flight",
            online: OnlineDispatch::LeastInFlight,
            ..alone
        },
    ]
}

fn online_row(name: &str, outcome: &Outcome) -> Vec<String> {
    vec![
        name.to_owned(),
        format!("{:.1}", outcome.first_token.percentile_ms(50.0)),
        format!("{:.1}", outcome.first_token.percentile_ms(99.0)),
        format!("{:.1}", outcome.short_first_token.percentile_ms(99.0)),
        format!("{:.1}", outcome.between_tokens.percentile_ms(99.0)),
    ]
}
