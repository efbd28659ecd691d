//! Choosing among replicas that register themselves, for requests that are
//! passed through unaltered.
//!
//! A [`ReplicaTable`] knows replicas from their registration and from this gateway's
//! own requests: what it has under way there, the load that answers carried,
//! the prompt parts that it sent there lately, and failures. It scores by the
//! expected time to the first event. Times are of a steady clock, in milliseconds.

mod board;
mod coordinator;
mod coordinator_table;
mod distances;
mod item_growth;
mod item_pace;
mod kept_parts;
mod rendezvous;
mod replica;
mod service_replicas;
mod silence;
mod weights;
mod work_calls;

pub use board::{ChosenReplica, ReadyReplicas, ReplicaTable, RequestNeeds};
pub use coordinator::{
    Ask, CoordinatedReplica, Due, LeaseKey, RunNumber, SlotAction, SlotCoordinator, WaitingItem,
};
pub use coordinator_table::CoordinatorTable;
pub use distances::Distances;
pub use item_growth::{ItemCapacity, ItemRampUp};
pub use item_pace::ItemPace;
pub use kept_parts::PromptPart;
pub(crate) use rendezvous::spread;
pub use rendezvous::{NearGateways, coordinator_of};
pub use replica::{
    FailureKind, ReplicaTraits, ReportedLoad, RunningWork, USUAL_SLOWNESS, WorkKind,
};
pub use silence::{SilentCoordinators, answer_timeout};
pub use weights::WeightedRoundRobin;
pub use work_calls::{WorkCallSchedule, WorkCalls, WorkState};
