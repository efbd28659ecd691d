//! `linnethitch-lab measure`: what state and work cost, measured on this machine.

mod state;

use bpaf::Bpaf;

use crate::process::Outcome;

/// What is measured.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(arguments))]
pub(crate) enum Arguments {
    /// Measure the state machine of control at the plan's size: memory, times, bytes
    #[bpaf(command)]
    State(#[bpaf(external(state::arguments))] state::Arguments),
}

/// Runs one measurement.
pub(crate) fn run(arguments: &Arguments) -> Outcome {
    match arguments {
        Arguments::State(arguments) => state::run(arguments),
    }
}
