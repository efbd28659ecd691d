//! JSON bodies of replies and of the emulator's control paths.

use linnethitch_protocol::fleet::{EngineRole, EngineState};
use serde::{Deserialize, Serialize};

use crate::engine::{CacheChange, CacheEvent};

#[derive(Serialize)]
pub(super) struct CancelBody {
    pub(super) cancelled: bool,
    /// Whether a request with the id was ever started; absent if that is no longer known.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) started: Option<bool>,
    pub(super) incarnation: String,
}

#[derive(Serialize)]
pub(super) struct HandleBody {
    pub(super) handle: String,
    pub(super) tokens: u32,
}

#[derive(Deserialize)]
pub(super) struct LeavingBody {
    pub(super) leaving: bool,
}

#[derive(Serialize)]
pub(super) struct StatusBody {
    model: Option<String>,
    version: String,
    adapters: Vec<String>,
    role: &'static str,
    fence: FenceBody,
    leaving: bool,
    incarnation: String,
}

#[derive(Serialize)]
pub(super) struct FenceBody {
    term: u64,
    sequence: u64,
}

impl StatusBody {
    pub(super) fn new(state: &EngineState, incarnation: String) -> StatusBody {
        StatusBody {
            model: state.model.as_ref().map(|model| model.0.clone()),
            version: state.version.clone(),
            adapters: state.adapters.clone(),
            role: match state.role {
                EngineRole::Mixed => "mixed",
                EngineRole::Prefill => "prefill",
                EngineRole::Decode => "decode",
            },
            fence: FenceBody {
                term: state.fence.term.0,
                sequence: state.fence.sequence,
            },
            leaving: state.leaving,
            incarnation,
        }
    }
}

#[derive(Serialize)]
pub(super) struct CacheEventsBody {
    events: Vec<CacheEventBody>,
}

#[derive(Serialize)]
pub(super) struct CacheEventBody {
    sequence: u64,
    #[serde(rename = "type")]
    kind: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    block: Option<String>,
}

impl CacheEventsBody {
    pub(super) fn new(events: &[CacheEvent]) -> CacheEventsBody {
        let events = events.iter().map(|event| {
            let (kind, block) = match event.change {
                CacheChange::Stored(block) => ("stored", Some(block)),
                CacheChange::Removed(block) => ("removed", Some(block)),
                CacheChange::Cleared => ("cleared", None),
            };
            CacheEventBody {
                sequence: event.sequence,
                kind,
                block: block.map(|hash| format!("{hash:016x}")),
            }
        });
        CacheEventsBody {
            events: events.collect(),
        }
    }
}
