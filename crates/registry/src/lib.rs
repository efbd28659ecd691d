//! The state that control replicates for a fleet whose replicas register themselves:
//! the route table and the tenants in force, the replicas and their states, and the
//! members of the job store.
//!
//! [`Registry`] is a deterministic state machine. [`FleetView`] is the copy that a
//! node without a disk holds in memory: it applies updates from any control member,
//! in any order, and never returns to an older state.

mod command;
mod configuration;
mod end_evidence;
mod evacuations;
mod fifth_layout;
mod first_format;
mod first_layout;
mod fourth_layout;
mod gateways;
mod incarnation_key;
mod item_pause;
mod node_list;
mod notification_order;
mod part_verdict;
mod refusal;
mod registry;
mod replica;
mod replica_changes;
mod replica_index;
mod replica_records;
mod routes;
mod run_lengths;
mod second_layout;
mod service_zones;
mod sixth_layout;
pub mod software;
mod store_members;
mod suspicion;
mod table_history;
mod table_update;
mod third_layout;
mod update;
mod validate;
mod view;
mod zone_map;

pub use command::{RegistryAnswer, RegistryCommand};
pub use configuration::{Configuration, ConfigurationError, Declared};
pub use end_evidence::{EndEvidence, MIN_WEIGHT, WeighedEnds};
pub use evacuations::{EvacuationOrder, EvacuationRecord, Evacuations};
pub use first_format::{FirstFormatAnswer, FirstFormatCommand, FirstFormatUpdate};
pub use gateways::{GatewayRecord, KnownGateways};
pub use incarnation_key::{incarnation_key, parse_incarnation_key};
pub use item_pause::item_pause_ms;
pub use linnethitch_protocol::suspicion::{
    ConsecutiveEnds, EndedRun, ReportedSuspicion, RequestContent, RequestFingerprint,
};
pub use node_list::{DirectoryNode, DirectoryQuery, NodeList, READY_TTL_MS, near};
pub use notification_order::{Place, notification_rank};
pub use part_verdict::{ENDS_OF_COMMON_PART, PartVerdict, SinceFirstEnd, is_part_almost_refused};
pub use refusal::{refusal, try_after_ms};
pub use registry::{Registry, StoreMembers};
pub use replica::{ReplicaChange, ReplicaRecord, ReplicaState};
pub use replica_records::ReplicaDifference;
pub use routes::{
    Backend, CallerLimits, ColdTraits, EngineTraits, Route, RouteKind, RouteTable, ServiceTraits,
};
pub use store_members::first_store_members;
pub use suspicion::{EndsOfRefusal, Suspicion, Suspicions, is_almost_refused};
pub use table_update::{RouteKey, TableUpdate};
pub use update::FleetUpdate;
pub use validate::RouteTableError;
pub use view::FleetView;
pub use zone_map::ZoneMap;
