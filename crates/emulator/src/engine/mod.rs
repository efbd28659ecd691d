//! The emulated model engine.

mod core;
mod faults;
mod loading;
mod model;
mod prefix_cache;
mod request;
mod schedule;
mod sequence;
pub mod server;
mod view;

pub use self::{
    core::EngineCore,
    faults::{Fault, FaultSwitches},
    model::EngineModel,
    prefix_cache::{CacheChange, CacheEvent},
    request::{EngineEvent, EngineRequest, FinishReason, KvHandle, Priority, Refusal, SequenceId},
};
