//! Tests of the transport.

mod backoff;
mod connection;
mod handshake;
mod support;
