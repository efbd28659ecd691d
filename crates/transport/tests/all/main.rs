//! Tests of the transport.

mod backoff;
mod connection;
mod datagrams;
mod formats;
mod handshake;
mod support;
