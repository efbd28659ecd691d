//! The emulated platform: the lagging list of machines and the weight store.

mod core;
mod server;

pub use self::{
    core::{PlatformCore, PlatformModel, Reservation, StoreBusy},
    server::{PlatformServer, PlatformSettings, machines_from_json},
};
