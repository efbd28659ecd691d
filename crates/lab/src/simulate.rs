//! `linnethitch-lab simulate`: runs the fault simulator over many seeds.

use std::sync::{
    Mutex, PoisonError,
    atomic::{AtomicU64, Ordering},
};

use bpaf::Bpaf;
use linnethitch_simulator::{
    FaultKind, FaultSet, SafetyRule, SimulationOptions, SimulationReport, shrink, simulate,
};

use crate::{
    output::print_line,
    process::{Outcome, Verdict},
};

/// What is simulated:
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(arguments))]
pub(crate) struct Arguments {
    /// How many seeds to run
    #[bpaf(argument("N"), fallback(10), display_fallback)]
    seeds: u64,
    /// The first seed; the others follow it
    #[bpaf(argument("SEED"), fallback(1), display_fallback)]
    first_seed: u64,
    /// Simulated hours of each seed
    #[bpaf(argument("HOURS"), fallback(1.0), display_fallback)]
    hours: f64,
    /// Seeds that run at the same time
    #[bpaf(argument("N"), fallback(1), display_fallback)]
    threads: usize,
    /// Inject only this kind of fault; may be repeated
    #[bpaf(argument::<String>("FAULT"), parse(parse_fault), many)]
    only: Vec<FaultKind>,
    /// Leave this kind of fault out; may be repeated
    #[bpaf(argument::<String>("FAULT"), parse(parse_fault), many)]
    without: Vec<FaultKind>,
    /// Switch a safety rule off, to show that this is found; may be repeated
    #[bpaf(argument::<String>("RULE"), parse(parse_rule), many)]
    without_rule: Vec<SafetyRule>,
    /// Do not look for a smaller run that fails as well
    no_shrink: bool,
    /// List faults, members' notices and restarts on standard error
    trace: bool,
}

fn parse_fault(name: String) -> Result<FaultKind, String> {
    FaultKind::from_name(&name).ok_or_else(|| {
        let names: Vec<&str> = FaultKind::ALL.iter().map(|kind| kind.name()).collect();
        format!("no such fault; there are {}", names.join(", "))
    })
}

fn parse_rule(name: String) -> Result<SafetyRule, String> {
    SafetyRule::from_name(&name).ok_or_else(|| {
        let names: Vec<&str> = SafetyRule::ALL.iter().map(|rule| rule.name()).collect();
        format!("no such rule; there are {}", names.join(", "))
    })
}

/// Runs all seeds; the last printed line is a summary.
pub(crate) fn run(arguments: &Arguments) -> Outcome {
    let next = AtomicU64::new(arguments.first_seed);
    let end = arguments.first_seed.saturating_add(arguments.seeds);
    let total = Mutex::new(SimulationReport::default());
    std::thread::scope(|scope| {
        for _ in 0..arguments.threads.max(1) {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= end {
                        return;
                    }
                    let report = run_seed(arguments, seed);
                    total
                        .lock()
                        .unwrap_or_else(PoisonError::into_inner)
                        .add(&report);
                }
            });
        }
    });
    let total = total.into_inner().unwrap_or_else(PoisonError::into_inner);
    print_line(&total.summary());
    if total.violations.is_empty() {
        Ok(Verdict::Good)
    } else {
        Ok(Verdict::Bad)
    }
}

fn run_seed(arguments: &Arguments, seed: u64) -> SimulationReport {
    let mut options = SimulationOptions::new(seed, arguments.hours);
    if !arguments.only.is_empty() {
        options.faults = FaultSet::only(&arguments.only);
    }
    for kind in &arguments.without {
        options.faults = options.faults.without(*kind);
    }
    options.rules_off.clone_from(&arguments.without_rule);
    options.trace = arguments.trace;
    let report = simulate(&options);
    for event in &report.events {
        eprintln!("{event}");
    }
    options.trace = false;
    if let Some(violation) = report.violations.first() {
        print_line(&format!("seed {seed}: {violation}"));
        print_line(&format!("  run it again: {}", rerun_line(&options)));
        if !arguments.no_shrink {
            let (smaller, report) = shrink(&options, report.clone());
            for violation in &report.violations {
                print_line(&format!("  shrunk: {violation}"));
            }
            print_line(&format!("  run it again: {}", rerun_line(&smaller)));
        }
    }
    report
}

/// The command that repeats a run.
fn rerun_line(options: &SimulationOptions) -> String {
    let mut line = format!(
        "linnethitch-lab simulate --first-seed {} --seeds 1 --hours {:.6} --no-shrink",
        options.seed,
        options.hours()
    );
    for kind in FaultKind::ALL {
        if !options.faults.kinds().contains(kind) {
            line.push_str(&format!(" --without {kind}"));
        }
    }
    for rule in &options.rules_off {
        line.push_str(&format!(" --without-rule {}", rule.name()));
    }
    line
}
