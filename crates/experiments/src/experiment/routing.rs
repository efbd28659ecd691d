//! Routing of online requests: stale load reports, herding, prompt lengths and prefixes.

use linnethitch_errors::ErrorKind;

use super::{Finding, Settings, deployments, isolation::run_one};
use crate::{
    Deployment, Table,
    outcome::Outcome,
    simulation::Simulation,
    strategy::{OnlineDispatch, Strategy},
    trace::generate,
};

/// Compared ages of load reports, in milliseconds.
const REPORT_LAGS_MS: [u64; 5] = [100, 500, 1_000, 2_000, 5_000];

const MICROS_PER_MILLI: u64 = 1_000;

/// Maximum length of a run at the design size, in seconds of virtual time.
const DESIGN_SECONDS: u64 = 20;

const ONLINE_COLUMNS: [&str; 5] = [
    "online requests",
    "first p50 ms",
    "first p99 ms",
    "short p99 ms",
    "between p99 ms",
];

/// Compares harm and throughput by age of load reports.
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
        let online_only = run_one(&deployment, &trace, Strategy::without_batch(), settings);
        let title = format!("stale-load: {}", deployment.name);
        let mut table = Table::new(title, &COLUMNS);
        for lag_ms in REPORT_LAGS_MS {
            let mut run = settings.run();
            run.engine.report_lag_micros = lag_ms * MICROS_PER_MILLI;
            let strategy = Strategy::linnethitch();
            let outcome = Simulation::new(&deployment, strategy, &trace, run).run();
            table.push(vec![
                format!("{lag_ms}"),
                format!("{:.1}", outcome.first_token.percentile_ms(99.0)),
                format!("{:.3}", outcome.first_token_harm(&online_only)),
                format!("{:.3}", outcome.between_tokens_harm(&online_only)),
                format!("{:.0}", outcome.batch_rate()),
            ]);
        }
        finding.tables.push(table);
    }
    Ok(finding)
}

/// Compares strategies when many gateways have the same stale view, at the design size.
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

/// Compares strategies on mixed short and long requests, without batch work.
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
    let online_only = Strategy::without_batch();
    [
        Strategy {
            name: "linnethitch",
            ..online_only
        },
        Strategy {
            name: "without prefix affinity",
            prefix_affinity: false,
            ..online_only
        },
        Strategy {
            name: "round robin",
            online: OnlineDispatch::RoundRobin,
            ..online_only
        },
        Strategy {
            name: "least in flight",
            online: OnlineDispatch::LeastInFlight,
            ..online_only
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
