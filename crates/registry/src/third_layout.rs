//! Commands about suspected requests in the third layout: runs have the number of known
//! ends, not the ends themselves. Read, never written.

use linnethitch_protocol::{
    ids::{MachineId, MemberId},
    suspicion::{ConsecutiveEnds, EndedRun, RequestFingerprint},
};
use rkyv::{Archive, Deserialize, Serialize};

use crate::{
    command::RegistryCommand, configuration::Declared, replica::ReplicaChange, routes::RouteTable,
};

#[derive(Archive, Serialize, Deserialize)]
pub(crate) struct ThirdEndedRun {
    fingerprint: RequestFingerprint,
    known_ends: u32,
    ran_ms: u32,
}

/// Only the last four variants are stored; the others keep the discriminants in place.
#[derive(Archive, Serialize, Deserialize)]
pub(crate) enum ThirdCommand {
    PutConfiguration {
        table: RouteTable,
        declared: Box<Declared>,
    },
    Replica(Box<ReplicaChange>),
    RemoveReplica(String),
    FormStore(Vec<MemberId>),
    RetireStore(MachineId),
    ReplicaEnded {
        replica: String,
        runs: Vec<ThirdEndedRun>,
    },
    ClearSuspicions(Vec<RequestFingerprint>),
    DecaySuspicions(Vec<RequestFingerprint>),
    NotAtAddress(String),
}

impl From<ThirdEndedRun> for EndedRun {
    /// The earlier runs are assumed to have lasted as long as this one.
    fn from(third: ThirdEndedRun) -> Self {
        EndedRun {
            fingerprint: third.fingerprint,
            known: ConsecutiveEnds::with_equal_lengths(third.ran_ms, third.known_ends),
            ran_ms: third.ran_ms,
        }
    }
}

impl From<ThirdCommand> for RegistryCommand {
    fn from(third: ThirdCommand) -> Self {
        match third {
            ThirdCommand::PutConfiguration { table, declared } => {
                RegistryCommand::PutConfiguration { table, declared }
            }
            ThirdCommand::Replica(change) => RegistryCommand::Replica(change),
            ThirdCommand::RemoveReplica(key) => RegistryCommand::RemoveReplica(key),
            ThirdCommand::FormStore(members) => RegistryCommand::FormStore(members),
            ThirdCommand::RetireStore(machine) => RegistryCommand::RetireStore(machine),
            ThirdCommand::ReplicaEnded { replica, runs } => RegistryCommand::ReplicaEnded {
                replica,
                runs: runs.into_iter().map(EndedRun::from).collect(),
            },
            ThirdCommand::ClearSuspicions(cleared) => RegistryCommand::ClearSuspicions(cleared),
            ThirdCommand::DecaySuspicions(eased) => RegistryCommand::DecaySuspicions(eased),
            ThirdCommand::NotAtAddress(key) => RegistryCommand::NotAtAddress(key),
        }
    }
}
