//! Experiments in virtual time: the decisions of `linnethitch-routing` run
//! against emulated engines. The same seed gives the same figures on every
//! machine.

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
