//! `GET /v1/status`: status of the fleet.

use gotham::helpers::http::Body;
use http::{Response, StatusCode};
use linnethitch_errors::Failure;
use linnethitch_http_server::answer::json_response;
use linnethitch_protocol::query::{
    FleetStatus, GatewayStatus, MemberStatus, Query, QueryAnswer, ReplicaStatus,
};
use serde::Serialize;

use super::{Operator, unexpected};

#[derive(Serialize)]
struct StatusBody {
    revision: u64,
    lowest_in_force: u64,
    highest_in_force: u64,
    members: Vec<MemberBody>,
    gateways: Vec<GatewayBody>,
    replicas: Vec<ReplicaBody>,
    evacuated_zones: Vec<String>,
    open_jobs: u64,
    pending_items: u64,
    leased_items: u64,
}

#[derive(Serialize)]
struct MemberBody {
    machine: u32,
    disk: String,
    voter: bool,
    leader: bool,
    matched: u64,
    silent_ms: u64,
}

#[derive(Serialize)]
struct GatewayBody {
    gateway: String,
    revision: u64,
    silent_ms: u64,
}

#[derive(Serialize)]
struct ReplicaBody {
    replica: String,
    zone: String,
    serves: String,
    state: String,
}

/// Answers with the leader's status of the fleet.
pub(super) async fn status(operator: &Operator) -> Result<Response<Body>, Failure> {
    match operator.query(Query::Status).await? {
        QueryAnswer::Status(status) => Ok(json_response(StatusCode::OK, &StatusBody::from(status))),
        _ => Err(unexpected()),
    }
}

impl From<FleetStatus> for StatusBody {
    fn from(status: FleetStatus) -> Self {
        StatusBody {
            revision: status.revision.0,
            lowest_in_force: status.lowest_in_force.0,
            highest_in_force: status.highest_in_force.0,
            members: status.members.into_iter().map(MemberBody::from).collect(),
            gateways: status.gateways.into_iter().map(GatewayBody::from).collect(),
            replicas: status.replicas.into_iter().map(ReplicaBody::from).collect(),
            evacuated_zones: status.evacuated_zones,
            open_jobs: status.open_jobs,
            pending_items: status.pending_items,
            leased_items: status.leased_items,
        }
    }
}

impl From<MemberStatus> for MemberBody {
    fn from(status: MemberStatus) -> Self {
        MemberBody {
            machine: status.member.machine.0,
            disk: format!("{:016x}", status.member.disk.0),
            voter: status.voter,
            leader: status.leader,
            matched: status.matched,
            silent_ms: status.silent_ms,
        }
    }
}

impl From<GatewayStatus> for GatewayBody {
    fn from(status: GatewayStatus) -> Self {
        GatewayBody {
            gateway: status.gateway.0,
            revision: status.revision.0,
            silent_ms: status.silent_ms,
        }
    }
}

impl From<ReplicaStatus> for ReplicaBody {
    fn from(status: ReplicaStatus) -> Self {
        ReplicaBody {
            replica: status.replica.0,
            zone: status.zone,
            serves: status.serves,
            state: status.state,
        }
    }
}
