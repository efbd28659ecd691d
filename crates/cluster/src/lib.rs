//! The nodes of a fleet whose callers ask a directory where to send requests: gateways without
//! disks, control members and members of the job store, the messages between nodes, and how nodes
//! find each other from a few seeds.
//!
//! A machine is identified by its IPv4 address ([`MachineId`]). Every node listens for other nodes
//! on the same port, so a node only has to learn addresses.
//!
//! [`MachineId`]: linnethitch_protocol::ids::MachineId

mod client;
mod cold_times;
mod connection_end;
mod control;
mod control_metrics;
mod coordinators;
mod datagram_bytes;
mod distance;
mod driver;
mod evacuation;
mod first_format;
mod gateway;
mod gateway_formats;
mod heartbeat;
mod heartbeat_registry;
mod incoming;
mod linked_members;
mod links;
mod message;
mod message_bytes;
mod node;
mod node_builds;
mod presence;
mod present_fleet;
mod process_pause;
mod registry_service;
mod relayed_presence;
mod replica_heartbeats;
mod replica_liveness;
mod reported_fleet;
mod results_query;
mod route_details;
mod seeds;
mod set_change;
mod store;
mod store_service;
mod stored_format;

pub use control::{ControlNode, ControlSettings, RetireState, Unavailable};
pub use datagram_bytes::DatagramBytes;
pub use evacuation::ZoneOrderOutcome;
pub use gateway::GatewayNode;
pub use linnethitch_clock::Clock;
pub use message::{PlacedGateway, rewrite_node_frame};
pub use message_bytes::{Direction, MessageBytes};
pub use node::{NodeSettings, address_of, machine_of};
pub use results_query::ResultsQuery;
pub use seeds::Seeds;
pub use store::{StoreNode, StoreSettings};
