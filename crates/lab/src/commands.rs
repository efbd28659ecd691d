//! The subcommands. A new one is a module with `Arguments` and `run`, and one
//! line in each of the two places below.

use std::process::ExitCode;

use bpaf::Bpaf;

use crate::{
    application, capacity, dev, engine, experiment, load, measure, platform, process::exit_code,
    scale, simulate,
};

/// Runs a linnethitch fleet on one machine, puts load on it and measures it.
///
/// Every subcommand explains its flags with --help.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options("linnethitch-lab"), version, fallback_to_usage)]
pub(crate) enum Command {
    /// Run a whole fleet in this process, over loopback, until it is stopped
    #[bpaf(command)]
    Dev(#[bpaf(external(dev::arguments))] dev::Arguments),
    /// Emulate one model engine until it is stopped
    #[bpaf(command)]
    Engine(#[bpaf(external(engine::arguments))] engine::Arguments),
    /// Emulate one replica of an application service until it is stopped
    #[bpaf(command)]
    Application(#[bpaf(external(application::arguments))] application::Arguments),
    /// Emulate the platform: the list of machines and the weight store
    #[bpaf(command)]
    Platform(#[bpaf(external(platform::arguments))] platform::Arguments),
    /// Put load on running gateways and check every answer
    #[bpaf(command)]
    Load(#[bpaf(external(load::arguments))] load::Arguments),
    /// Measure what state and work cost on this machine
    #[bpaf(command)]
    Measure(#[bpaf(external(measure::arguments))] measure::Arguments),
    /// Put a fleet of the plan's size on this machine and check the budgets
    #[bpaf(command)]
    Scale(#[bpaf(external(scale::arguments))] scale::Arguments),
    /// Run one member of a scale run; started by `scale`
    #[bpaf(command("scale-member"), hide)]
    ScaleMember(#[bpaf(external(scale::member_arguments))] scale::MemberArguments),
    /// Write the measured tables of the capacity page anew, or check them
    #[bpaf(command)]
    Capacity(#[bpaf(external(capacity::arguments))] capacity::Arguments),
    /// Measure the decisions against emulated engines in virtual time
    #[bpaf(command)]
    Experiment(#[bpaf(external(experiment::arguments))] experiment::Arguments),
    /// Simulate control, gateways, operators and callers under faults, and check every promise
    #[bpaf(command)]
    Simulate(#[bpaf(external(simulate::arguments))] simulate::Arguments),
}

/// Parses the command line; prints help and exits if the command line asks for it.
pub(crate) fn parse() -> Command {
    command().run()
}

impl Command {
    /// Runs the subcommand to its end.
    pub(crate) fn run(self) -> ExitCode {
        exit_code(match self {
            Command::Dev(arguments) => dev::run(&arguments),
            Command::Engine(arguments) => engine::run(&arguments),
            Command::Application(arguments) => application::run(&arguments),
            Command::Platform(arguments) => platform::run(&arguments),
            Command::Load(arguments) => load::run(arguments),
            Command::Measure(arguments) => measure::run(&arguments),
            Command::Scale(arguments) => scale::run(&arguments),
            Command::ScaleMember(arguments) => scale::run_member(&arguments),
            Command::Capacity(arguments) => capacity::run(&arguments),
            Command::Experiment(arguments) => experiment::run(&arguments),
            Command::Simulate(arguments) => simulate::run(&arguments),
        })
    }
}
