//! Machines, replicas and their load.

use rkyv::{Archive, Deserialize, Serialize};

use crate::ids::{FencingToken, ModelId, ReplicaId, ServiceId, Timestamp, ZoneId};

/// The kind of a back-end machine.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum BackEndKind {
    /// A model engine.
    Engine,
    /// A replica of an application service.
    Application(ServiceId),
}

/// State of a machine according to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum MachineState {
    /// In service.
    Live,
    /// About to be removed; receives no new work.
    Leaving,
}

/// An entry of the platform's list of machines.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct Machine {
    /// The machine's name; also the replica's id.
    pub replica: ReplicaId,
    /// The kind.
    pub kind: BackEndKind,
    /// The zone.
    pub zone: ZoneId,
    /// `IP:port` of its HTTP interface.
    pub address: String,
    /// The state.
    pub state: MachineState,
}

/// The phases of a request that an engine runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Archive, Serialize, Deserialize)]
pub enum EngineRole {
    /// Prefill and decode on one engine.
    #[default]
    Mixed,
    /// Prefill only; exports the KV cache.
    Prefill,
    /// Decode only; imports the KV cache.
    Decode,
}

/// State of an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct EngineState {
    /// The loaded model, if any.
    pub model: Option<ModelId>,
    /// Version of the model.
    pub version: String,
    /// Loaded adapters.
    pub adapters: Vec<String>,
    /// The engine's role.
    pub role: EngineRole,
    /// The highest fencing token that the engine has accepted.
    pub fence: FencingToken,
    /// Whether the engine itself reports that it is leaving.
    pub leaving: bool,
}

/// The load of one back end, as reported by the back end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct LoadReport {
    /// When the back end measured the load.
    pub measured_at: Timestamp,
    /// Online requests running.
    pub running_online: u32,
    /// Batch requests running.
    pub running_batch: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Prompt tokens still to prefill, online and batch.
    pub queued_prefill_tokens: u32,
    /// Waiting batch requests, included in `waiting`; 0 if the engine does not report them.
    pub waiting_batch: u32,
    /// Prompt tokens of batch requests, included in `queued_prefill_tokens`; 0 if the engine
    /// does not report them.
    pub queued_batch_prefill_tokens: u32,
    /// Tokens stored in KV memory.
    pub kv_used_tokens: u32,
    /// Capacity of the KV memory, in tokens.
    pub kv_capacity_tokens: u32,
    /// Sequences that fit in one step's batch (for an application, its concurrency).
    pub max_running: u32,
}

/// A replica as control reports it to gateways.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct ReplicaInfo {
    /// The machine.
    pub machine: Machine,
    /// State of the engine; default for applications.
    pub engine: EngineState,
}
