//! JSON bodies in the protocols of engines, applications and the platform.

use linnethitch_protocol::{
    command::EngineOrder,
    fleet::{BackEndKind, EngineRole, EngineState, LoadReport, Machine, MachineState},
    ids::{FencingToken, ModelId, ReplicaId, ServiceId, Term, Timestamp, ZoneId},
};
use serde::{Deserialize, Serialize};

use crate::lost_starts::WithdrawalAnswer;

/// An element of the answer to `GET /machines`.
#[derive(Deserialize)]
pub(crate) struct MachineBody {
    name: String,
    kind: KindBody,
    #[serde(default)]
    service: Option<String>,
    zone: String,
    address: String,
    state: StateBody,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum KindBody {
    Engine,
    Application,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum StateBody {
    Live,
    Leaving,
}

impl From<MachineBody> for Machine {
    fn from(body: MachineBody) -> Machine {
        Machine {
            replica: ReplicaId(body.name),
            kind: match body.kind {
                KindBody::Engine => BackEndKind::Engine,
                KindBody::Application => {
                    BackEndKind::Application(ServiceId(body.service.unwrap_or_default()))
                }
            },
            zone: ZoneId(body.zone),
            address: body.address,
            state: match body.state {
                StateBody::Live => MachineState::Live,
                StateBody::Leaving => MachineState::Leaving,
            },
        }
    }
}

/// The answer to `GET /engine/status`.
#[derive(Deserialize)]
pub(crate) struct StatusBody {
    model: Option<String>,
    version: String,
    adapters: Vec<String>,
    role: RoleBody,
    fence: TokenBody,
    leaving: bool,
}

impl From<WithdrawalBody> for WithdrawalAnswer {
    fn from(body: WithdrawalBody) -> Self {
        WithdrawalAnswer {
            started: body.started,
            incarnation: body.incarnation,
        }
    }
}

impl From<StatusBody> for EngineState {
    fn from(body: StatusBody) -> EngineState {
        EngineState {
            model: body.model.map(ModelId),
            version: body.version,
            adapters: body.adapters,
            role: body.role.into(),
            fence: FencingToken {
                term: Term(body.fence.term),
                sequence: body.fence.sequence,
            },
            leaving: body.leaving,
        }
    }
}

/// The answer to `DELETE /engine/requests/{id}`.
#[derive(Default, Deserialize)]
#[serde(default)]
pub(crate) struct WithdrawalBody {
    /// Whether the request ever started; absent if the engine cannot tell.
    pub(crate) started: Option<bool>,
    pub(crate) incarnation: Option<String>,
}

#[derive(Clone, Copy, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
enum RoleBody {
    Mixed,
    Prefill,
    Decode,
}

impl From<RoleBody> for EngineRole {
    fn from(body: RoleBody) -> EngineRole {
        match body {
            RoleBody::Mixed => EngineRole::Mixed,
            RoleBody::Prefill => EngineRole::Prefill,
            RoleBody::Decode => EngineRole::Decode,
        }
    }
}

impl From<EngineRole> for RoleBody {
    fn from(role: EngineRole) -> RoleBody {
        match role {
            EngineRole::Mixed => RoleBody::Mixed,
            EngineRole::Prefill => RoleBody::Prefill,
            EngineRole::Decode => RoleBody::Decode,
        }
    }
}

#[derive(Deserialize, Serialize)]
struct TokenBody {
    term: u64,
    sequence: u64,
}

/// The request of `POST /engine/orders`.
#[derive(Serialize)]
pub(crate) struct OrderBody<'a> {
    token: TokenBody,
    order: OrderKindBody<'a>,
}

#[derive(Serialize)]
#[serde(tag = "type", rename_all = "snake_case")]
enum OrderKindBody<'a> {
    LoadModel { model: &'a str, version: &'a str },
    LoadAdapter { adapter: &'a str, version: &'a str },
    ChangeRole { role: RoleBody },
}

impl<'a> OrderBody<'a> {
    pub(crate) fn new(token: FencingToken, order: &'a EngineOrder) -> OrderBody<'a> {
        OrderBody {
            token: TokenBody {
                term: token.term.0,
                sequence: token.sequence,
            },
            order: match order {
                EngineOrder::LoadModel { model, version } => OrderKindBody::LoadModel {
                    model: model.as_str(),
                    version,
                },
                EngineOrder::LoadAdapter { adapter, version } => {
                    OrderKindBody::LoadAdapter { adapter, version }
                }
                EngineOrder::ChangeRole(role) => OrderKindBody::ChangeRole {
                    role: (*role).into(),
                },
            },
        }
    }
}

/// A load report of an engine or an application.
#[derive(Default, Deserialize)]
#[serde(default)]
pub(crate) struct LoadBody {
    measured_at_ms: u64,
    running_online: u32,
    running_batch: u32,
    /// Running requests of an application.
    running: u32,
    waiting: u32,
    queued_prefill_tokens: u32,
    waiting_batch: u32,
    queued_batch_prefill_tokens: u32,
    kv_used_tokens: u32,
    kv_capacity_tokens: u32,
    max_running: u32,
}

impl From<LoadBody> for LoadReport {
    fn from(body: LoadBody) -> LoadReport {
        LoadReport {
            measured_at: Timestamp(body.measured_at_ms),
            running_online: body.running_online.saturating_add(body.running),
            running_batch: body.running_batch,
            waiting: body.waiting,
            queued_prefill_tokens: body.queued_prefill_tokens,
            waiting_batch: body.waiting_batch,
            queued_batch_prefill_tokens: body.queued_batch_prefill_tokens,
            kv_used_tokens: body.kv_used_tokens,
            kv_capacity_tokens: body.kv_capacity_tokens,
            max_running: body.max_running,
        }
    }
}

/// The request of `POST /weights/reservations`.
#[derive(Serialize)]
pub(crate) struct ReservationRequest<'a> {
    pub(crate) model: &'a str,
    pub(crate) version: &'a str,
    pub(crate) machine: &'a str,
}

/// The answer to `POST /weights/reservations`.
#[derive(Deserialize)]
pub(crate) struct ReservationBody {
    pub(crate) ready_after_ms: u64,
}
