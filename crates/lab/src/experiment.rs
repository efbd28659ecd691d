//! `linnethitch-lab experiment`: measures routing decisions against emulated engines in
//! virtual time.

use std::path::PathBuf;

use bpaf::Bpaf;
use error_stack::{Report, ResultExt};
use linnethitch_errors::ErrorKind;
use linnethitch_experiments::{
    Experiment, Settings,
    experiment::{DECISION_COST, EXPERIMENTS},
    report::{self, Section},
};

use crate::{
    output::print_line,
    process::{Outcome, Verdict},
};

/// What is run:
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(arguments))]
pub(crate) struct Arguments {
    /// Seed of everything random: the same seed prints the same bytes
    #[bpaf(argument("SEED"), fallback(1), display_fallback)]
    seed: u64,
    /// Length of a run in virtual time, in seconds
    #[bpaf(argument("SECONDS"), fallback(100), display_fallback)]
    seconds: u64,
    /// Folder for the report; made where it is missing
    #[bpaf(argument("DIR"))]
    output: Option<PathBuf>,
    /// Name of the experiment, or `all`; without one, the names are listed
    #[bpaf(positional("NAME"))]
    name: Option<String>,
}

/// Runs the named experiments and prints their tables.
pub(crate) fn run(arguments: &Arguments) -> Outcome {
    let Some(name) = &arguments.name else {
        list();
        return Ok(Verdict::Good);
    };
    let chosen = choose(name)?;
    let settings = Settings {
        seed: arguments.seed,
        seconds: arguments.seconds,
        ..Settings::default()
    };
    let mut sections = Vec::new();
    for experiment in chosen {
        let finding = experiment
            .run(&settings)
            .map_err(Report::new)
            .attach_with(|| format!("experiment {} failed", experiment.name))?;
        for table in &finding.tables {
            print_line(&table.to_text());
        }
        sections.push(Section {
            experiment,
            finding,
        });
    }
    if let Some(folder) = &arguments.output {
        report::write(folder, &settings, &sections)
            .map_err(Report::new)
            .attach_with(|| format!("cannot write the report to {}", folder.display()))?;
    }
    Ok(Verdict::Good)
}

fn list() {
    for experiment in EXPERIMENTS.into_iter().chain([DECISION_COST]) {
        print_line(&format!("{:<16} {}", experiment.name, experiment.question));
    }
}

fn choose(name: &str) -> Result<Vec<Experiment>, Report<ErrorKind>> {
    if name == "all" {
        return Ok(EXPERIMENTS.to_vec());
    }
    let found = Experiment::find(name)
        .ok_or_else(|| Report::new(ErrorKind::InvalidValue))
        .attach_with(|| format!("no experiment is named {name}"))?;
    Ok(vec![found])
}
