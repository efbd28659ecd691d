//! `linnethitch-lab measure`: what state and work cost, measured on this machine.

mod consensus;
mod state;

use bpaf::Bpaf;

use crate::process::Outcome;

/// What is measured.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(arguments))]
pub(crate) enum Arguments {
    /// Measure a group of control members: commits, reads, loss of the leader
    #[bpaf(command)]
    Consensus(#[bpaf(external(consensus::arguments))] consensus::Arguments),
    /// Measure the state machine of control at the plan's size: memory, times, bytes
    #[bpaf(command)]
    State(#[bpaf(external(state::arguments))] state::Arguments),
}

/// Runs one measurement.
pub(crate) fn run(arguments: &Arguments) -> Outcome {
    match arguments {
        Arguments::Consensus(arguments) => consensus::run(arguments),
        Arguments::State(arguments) => state::run(arguments),
    }
}
