//! What the stand-ins' HTTP servers share.

mod connection;
mod exchange;
mod server;

pub(crate) use self::{
    exchange::{IncomingRequest, Reply, Service, header_text},
    server::Server,
};
