//! Selection among replicas that register themselves, for requests that are passed through
//! unaltered.
//!
//! A [`ReplicaTable`] knows replicas from their registration and from this gateway's own requests:
//! those under way at a replica, the load that responses reported, the prompt parts that were
//! recently sent there, and failures. It ranks replicas by the expected time to the first event.
//! Times are monotonic, in milliseconds.

mod cached_parts;
mod coordinator;
mod coordinator_table;
mod distances;
mod item_pace;
mod item_ramp_up;
mod rendezvous;
mod replica;
mod replica_table;
mod service_replicas;
mod silence;
mod software;
mod weights;
mod work_calls;

pub use cached_parts::PromptPart;
pub use coordinator::{
    Ask, CoordinatedReplica, Due, LeaseKey, RunNumber, SlotAction, SlotCoordinator, WaitingItem,
};
pub use coordinator_table::CoordinatorTable;
pub use distances::Distances;
pub use item_pace::ItemPace;
pub use item_ramp_up::{ItemCapacity, ItemRampUp};
pub(crate) use rendezvous::rendezvous_hash;
pub use rendezvous::{NearGateways, coordinator_of};
pub use replica::{
    FailureKind, ReplicaTraits, ReportedLoad, RunningWork, USUAL_SLOWNESS, WorkKind,
};
pub use replica_table::{ChosenReplica, ReadyReplicas, ReplicaTable, RequestNeeds};
pub use silence::{SilentCoordinators, answer_timeout};
pub use software::SoftwareNeed;
pub use weights::WeightedRoundRobin;
pub use work_calls::{WorkCallSchedule, WorkCalls, WorkState};
