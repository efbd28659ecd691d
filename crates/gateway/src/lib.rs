//! The gateway process that runs beside each caller.
//!
//! It takes OpenAI-compatible HTTP requests, decides where each one runs,
//! streams answers from model engines, passes requests on to application
//! services, stores files and batch jobs through control, and runs batch
//! items under leases.

pub mod batch;
mod batches;
mod claims;
mod clock;
pub mod configuration;
pub mod control;
pub mod control_only;
mod decisions;
mod engine;
mod files;
mod http;
mod identifiers;
mod models;
mod observe;
mod online;
pub mod options;
pub mod process;
mod services;
mod state;
mod tenants;

pub use observe::metric_descriptions;
