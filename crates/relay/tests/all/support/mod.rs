//! A relay between a caller and stand-in replicas on loopback sockets, with a
//! control member of its own, so that requests take the whole path.

mod control_machine;
mod fleet;
mod gateway;
mod http;
mod log_lines;
mod registrations;
mod replica;
mod tables;

use std::time::Duration;

pub(crate) use self::{
    fleet::{Fleet, listen_apart},
    gateway::Gateway,
    http::{Answer, header, read_answer, read_whole_request},
    replica::{Act, FULL, OK, OTHER_INCARNATION, Replica, reached_by},
    tables::{engine_table, route, table},
};

/// The zone of gateways, and of replicas where no other one is named.
pub(crate) const ZONE: &str = "zone";
/// Its region.
pub(crate) const REGION: &str = "region";
/// The region of the other zone.
pub(crate) const OTHER_REGION: &str = "other-region";
/// A zone of the other region.
pub(crate) const OTHER_ZONE: &str = "other-zone";
/// From being told to stop to the end of a gateway; longer than any answer in a test takes.
pub(crate) const ENDS_WITHIN: Duration = Duration::from_secs(10);
/// Longest time for anything in a test.
pub(crate) const LIMIT: Duration = Duration::from_secs(20);
