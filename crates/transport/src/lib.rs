//! Framed, authenticated TCP connections between linnethitch's own processes.
//!
//! A connection starts with a handshake in which both sides prove that they
//! have the cluster key. Typed messages are then sent in frames
//! ([`linnethitch_protocol::frame`]). Send queues are bounded
//! ([`ConnectionOptions`]), and a connection ends after a timeout when the peer
//! is silent or does not read. The connection is authenticated at its start
//! only and is not encrypted: it is meant for a private network.

mod backoff;
mod connection;
mod datagrams;
mod handshake;
mod key;
mod link_runtime;
mod listener;
mod message;
mod options;
mod queue;
mod receiver;
mod supported_formats;
mod traffic;
mod writer;

pub use backoff::Backoff;
pub use connection::{Connection, MessageSender, connect};
pub use datagrams::Datagrams;
pub use key::{ClusterIdentity, ClusterKey};
pub use link_runtime::LinkRuntime;
pub use listener::{IncomingConnection, Listener};
pub use message::WireMessage;
pub use options::ConnectionOptions;
pub use queue::SendRefused;
pub use receiver::MessageReceiver;
pub use traffic::{KindTraffic, Traffic, TrafficSnapshot};
