//! HTTP server shared by the emulators.

mod connection;
mod exchange;
mod server;

pub(crate) use self::{
    exchange::{IncomingRequest, Reply, Service, header_text},
    server::Server,
};
