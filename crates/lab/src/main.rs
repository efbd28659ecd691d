//! `linnethitch-lab`: a complete fleet on one machine, emulated back ends, load,
//! experiments and measurements.

mod application;
mod capacity;
mod commands;
mod dev;
mod engine;
mod experiment;
mod load;
mod measure;
mod memory;
mod output;
mod platform;
mod process;
mod scale;
mod simulate;

use std::process::ExitCode;

fn main() -> ExitCode {
    commands::parse().run()
}
