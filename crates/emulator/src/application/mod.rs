//! The emulated replica of an application service.

mod core;
mod server;

pub use self::{
    core::{ApplicationCore, ApplicationModel, ApplicationRefusal, CallId, Completed},
    server::{ApplicationServer, ApplicationSettings},
};
