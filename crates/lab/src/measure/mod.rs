//! `linnethitch-lab measure`: what state and work cost, measured on this machine.

mod consensus;
mod gateway;
mod jobs;
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
    /// Measure control processes: a large job beside claims, repairs and restarts
    #[bpaf(command)]
    Jobs(#[bpaf(external(jobs::arguments))] jobs::Arguments),
    /// Measure the state machine of control at the plan's size: memory, times, bytes
    #[bpaf(command)]
    State(#[bpaf(external(state::arguments))] state::Arguments),
    /// Measure what a gateway adds to streams: first token, processor time a token
    #[bpaf(command)]
    Gateway(#[bpaf(external(gateway::arguments))] gateway::Arguments),
}

/// Runs one measurement.
pub(crate) fn run(arguments: &Arguments) -> Outcome {
    match arguments {
        Arguments::Consensus(arguments) => consensus::run(arguments),
        Arguments::Jobs(arguments) => jobs::run(arguments),
        Arguments::State(arguments) => state::run(arguments),
        Arguments::Gateway(arguments) => gateway::run(arguments),
    }
}
