//! Experiments in virtual time: the real decisions of `linnethitch-routing`
//! against the emulated engines, with the same figures on every machine for
//! the same seed.

pub mod deployment;
pub mod experiment;
mod outcome;
pub mod plot;
pub mod report;
mod simulation;
mod strategy;
mod table;
mod trace;

pub use deployment::Deployment;
pub use experiment::{Experiment, Finding, Settings};
pub use table::Table;
