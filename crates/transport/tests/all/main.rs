//! Tests of the transport.

mod backoff;
mod connection;
mod datagrams;
mod handshake;
mod support;
