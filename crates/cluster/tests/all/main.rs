//! Nodes of one process over loopback sockets.

mod evacuations;
mod gateways;
mod silence;
mod support;
