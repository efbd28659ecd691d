//! A relay between a caller and fake replicas on loopback sockets, with its own control member,
//! so that requests take the complete path.

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
    fleet::{Fleet, listen_on_own_address},
    gateway::Gateway,
    http::{Answer, header, read_answer, read_whole_request},
    replica::{Act, FULL, OK, OTHER_INCARNATION, Replica, wait_for_requests},
    tables::{engine_table, route, table},
};

/// The zone of gateways, and of replicas unless another zone is given.
pub(crate) const ZONE: &str = "zone";
/// The region of [`ZONE`].
pub(crate) const REGION: &str = "region";
/// The region of the other zone.
pub(crate) const OTHER_REGION: &str = "other-region";
/// A zone of the other region.
pub(crate) const OTHER_ZONE: &str = "other-zone";
/// Time from the request to stop to the end of a gateway; longer than any response in a test
/// takes.
pub(crate) const ENDS_WITHIN: Duration = Duration::from_secs(10);
/// Time limit of any step of a test.
pub(crate) const LIMIT: Duration = Duration::from_secs(20);
