//! The experiments by name.

mod batch_fill;
mod decision_cost;
mod failures;
mod isolation;
mod routing;

use linnethitch_emulator::{Time, engine::EngineModel};
use linnethitch_errors::ErrorKind;

use crate::{Deployment, Table, plot::Plot, simulation::RunSettings};

/// Parameters of an experiment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Seed of all random choices.
    pub seed: u64,
    /// Length of a run in virtual time, in seconds.
    pub seconds: u64,
    /// Virtual time at the start of a run that is not measured, in seconds.
    pub warm_up_seconds: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            seed: 1,
            seconds: 100,
            warm_up_seconds: 10,
        }
    }
}

impl Settings {
    fn run(&self) -> RunSettings {
        RunSettings {
            seed: self.seed,
            warm_up: Time::from_millis(self.warm_up_seconds * 1_000),
            end: Time::from_millis(self.seconds * 1_000),
            engine: EngineModel::default(),
            incidents: Vec::new(),
        }
    }
}

/// The results of an experiment.
#[derive(Clone, Debug, Default)]
pub struct Finding {
    /// Tables of the measured figures.
    pub tables: Vec<Table>,
    /// Plots of the measured figures.
    pub plots: Vec<Plot>,
}

/// A named experiment.
#[derive(Clone, Copy, Debug)]
pub struct Experiment {
    /// Name on the command line.
    pub name: &'static str,
    /// The question that the experiment answers.
    pub question: &'static str,
    run: fn(&Settings) -> Result<Finding, ErrorKind>,
}

/// All experiments, in the order of the report.
pub const EXPERIMENTS: [Experiment; 7] = [
    Experiment {
        name: "isolation",
        question: "What does batch work cost online requests, and how much batch work gets done?",
        run: isolation::run,
    },
    Experiment {
        name: "ablation",
        question: "What is each mechanism worth?",
        run: isolation::run_ablation,
    },
    Experiment {
        name: "batch-fill",
        question: "How much of the idle capacity does batch work use, next to an oracle?",
        run: batch_fill::run,
    },
    Experiment {
        name: "stale-load",
        question: "What do load reports cost that are 0.1 to 5 s old?",
        run: routing::run_stale_load,
    },
    Experiment {
        name: "herding",
        question: "Do 410 gateways with the same stale view run to the same replicas?",
        run: routing::run_herding,
    },
    Experiment {
        name: "mixed-lengths",
        question: "Do short requests wait behind long ones, and what is prefix affinity worth?",
        run: routing::run_mixed_lengths,
    },
    Experiment {
        name: "failures",
        question: "What do callers see when engines die, slow down or leave?",
        run: failures::run,
    },
];

/// Measures real time on this machine, so its figures are not reproducible and
/// it is not part of `all`.
pub const DECISION_COST: Experiment = Experiment {
    name: "decision-cost",
    question: "What do one choice and one admission cost?",
    run: decision_cost::run,
};

impl Experiment {
    /// Finds an experiment by name.
    #[must_use]
    pub fn find(name: &str) -> Option<Experiment> {
        EXPERIMENTS
            .into_iter()
            .chain([DECISION_COST])
            .find(|experiment| experiment.name == name)
    }

    /// Runs the experiment.
    ///
    /// # Errors
    /// [`ErrorKind::InvalidConfiguration`] when an example fleet file is not valid.
    pub fn run(&self, settings: &Settings) -> Result<Finding, ErrorKind> {
        (self.run)(settings)
    }
}

/// The deployments that most experiments run on.
fn deployments() -> Result<[Deployment; 2], ErrorKind> {
    Ok([Deployment::granite_lane()?, Deployment::hanbit()?])
}
