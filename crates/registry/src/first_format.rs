//! The messages and log entries of the registry in the first format. The layout is frozen,
//! because a build in production writes it.

#![allow(
    missing_docs,
    reason = "variants and fields are those of the current types"
)]

use error_stack::Report;
use linnethitch_errors::ErrorKind;
use linnethitch_protocol::{
    first_format::{FirstEndedRun, not_in_first_format},
    ids::{LogIndex, MachineId, MemberId},
    stored,
    suspicion::{EndedRun, RequestFingerprint},
};
use rkyv::{Archive, Deserialize, Serialize};

use crate::{
    command::{FIRST_LAYOUT, RegistryAnswer, RegistryCommand, TENANTS_LAYOUT, THIRD_LAYOUT},
    configuration::Declared,
    fourth_layout::{
        FourthDeclared, FourthReplicaChange, FourthReplicaRecord, FourthRouteTable,
        FourthSuspicion, FourthTenantsUpdate,
    },
    incarnation_key::parse_incarnation_key,
    registry::StoreMembers,
    table_update::TableUpdate,
    update::FleetUpdate,
};

/// A command of the registry.
#[derive(Archive, Serialize, Deserialize)]
pub enum FirstFormatCommand {
    PutConfiguration {
        table: FourthRouteTable,
        declared: Box<FourthDeclared>,
    },
    Replica(FourthReplicaChange),
    RemoveReplica(String),
    FormStore(Vec<MemberId>),
    RetireStore(MachineId),
    ReplicaEnded {
        replica: String,
        runs: Vec<FirstEndedRun>,
    },
    ClearSuspicions(Vec<RequestFingerprint>),
    DecaySuspicions(Vec<RequestFingerprint>),
    NotAtAddress(String),
}

impl FirstFormatCommand {
    /// The command as stored in the log.
    ///
    /// # Errors
    /// `Internal` when it cannot be encoded.
    pub(crate) fn to_stored(&self) -> Result<Vec<u8>, Report<ErrorKind>> {
        let layout = match self {
            FirstFormatCommand::PutConfiguration { .. } => TENANTS_LAYOUT,
            FirstFormatCommand::ReplicaEnded { .. }
            | FirstFormatCommand::ClearSuspicions(_)
            | FirstFormatCommand::DecaySuspicions(_)
            | FirstFormatCommand::NotAtAddress(_) => THIRD_LAYOUT,
            _ => FIRST_LAYOUT,
        };
        stored::encode(layout, self)
    }
}

/// The result of applying a command.
#[derive(Archive, Serialize, Deserialize)]
pub enum FirstFormatAnswer {
    ConfigurationVersion(u64),
    Done,
}

/// An update of the registry for nodes, with complete tables only.
#[derive(Archive, Serialize, Deserialize)]
pub struct FirstFormatUpdate {
    table: Option<FourthRouteTable>,
    tenants: Option<FourthTenantsUpdate>,
    replicas: Vec<FourthReplicaRecord>,
    store: Option<StoreMembers>,
    store_at: LogIndex,
    suspicions: Vec<FourthSuspicion>,
    up_to_index: LogIndex,
}

/// The id of a replica: the first format does not distinguish incarnations.
fn replica_id(key: &str) -> String {
    parse_incarnation_key(key).0.to_owned()
}

impl TryFrom<RegistryCommand> for FirstFormatCommand {
    type Error = Report<ErrorKind>;

    fn try_from(command: RegistryCommand) -> Result<Self, Self::Error> {
        Ok(match command {
            RegistryCommand::PutConfiguration { table, declared } => {
                FirstFormatCommand::PutConfiguration {
                    table: table.try_into()?,
                    declared: Box::new((*declared).try_into()?),
                }
            }
            RegistryCommand::Replica(change) => FirstFormatCommand::Replica((*change).into()),
            RegistryCommand::RemoveReplica(key) => {
                FirstFormatCommand::RemoveReplica(replica_id(&key))
            }
            RegistryCommand::FormStore(members) => FirstFormatCommand::FormStore(members),
            RegistryCommand::RetireStore(machine) => FirstFormatCommand::RetireStore(machine),
            RegistryCommand::ReplicaEnded { replica, runs } => FirstFormatCommand::ReplicaEnded {
                replica: replica_id(&replica),
                runs: runs.into_iter().map(FirstEndedRun::from).collect(),
            },
            RegistryCommand::ClearSuspicions(cleared) => {
                FirstFormatCommand::ClearSuspicions(cleared)
            }
            RegistryCommand::DecaySuspicions(decayed) => {
                FirstFormatCommand::DecaySuspicions(decayed)
            }
            RegistryCommand::NotAtAddress(key) => {
                FirstFormatCommand::NotAtAddress(replica_id(&key))
            }
            RegistryCommand::EvacuateZone(_) | RegistryCommand::RestoreZone(_) => {
                return Err(not_in_first_format("evacuations"));
            }
            RegistryCommand::GatewaysChanged { .. } => {
                return Err(not_in_first_format("record of gateways"));
            }
            RegistryCommand::ForgetEnded { .. } => {
                return Err(not_in_first_format("forgotten replicas"));
            }
        })
    }
}

impl From<FirstFormatCommand> for RegistryCommand {
    fn from(first: FirstFormatCommand) -> Self {
        match first {
            FirstFormatCommand::PutConfiguration { table, declared } => {
                RegistryCommand::PutConfiguration {
                    table: table.into(),
                    declared: Box::new(Declared::from(*declared)),
                }
            }
            FirstFormatCommand::Replica(change) => {
                RegistryCommand::Replica(Box::new(change.into()))
            }
            FirstFormatCommand::RemoveReplica(id) => RegistryCommand::RemoveReplica(id),
            FirstFormatCommand::FormStore(members) => RegistryCommand::FormStore(members),
            FirstFormatCommand::RetireStore(machine) => RegistryCommand::RetireStore(machine),
            FirstFormatCommand::ReplicaEnded { replica, runs } => RegistryCommand::ReplicaEnded {
                replica,
                runs: runs.into_iter().map(EndedRun::from).collect(),
            },
            FirstFormatCommand::ClearSuspicions(cleared) => {
                RegistryCommand::ClearSuspicions(cleared)
            }
            FirstFormatCommand::DecaySuspicions(decayed) => {
                RegistryCommand::DecaySuspicions(decayed)
            }
            FirstFormatCommand::NotAtAddress(id) => RegistryCommand::NotAtAddress(id),
        }
    }
}

impl TryFrom<RegistryAnswer> for FirstFormatAnswer {
    type Error = Report<ErrorKind>;

    fn try_from(answer: RegistryAnswer) -> Result<Self, Self::Error> {
        match answer {
            RegistryAnswer::ConfigurationVersion(version) => {
                Ok(FirstFormatAnswer::ConfigurationVersion(version))
            }
            // A node that does not distinguish incarnations has nothing else to do.
            RegistryAnswer::Done | RegistryAnswer::OtherIncarnation => Ok(FirstFormatAnswer::Done),
            RegistryAnswer::ZoneState { .. } => Err(not_in_first_format("evacuations")),
        }
    }
}

impl From<FirstFormatAnswer> for RegistryAnswer {
    fn from(first: FirstFormatAnswer) -> Self {
        match first {
            FirstFormatAnswer::ConfigurationVersion(version) => {
                RegistryAnswer::ConfigurationVersion(version)
            }
            FirstFormatAnswer::Done => RegistryAnswer::Done,
        }
    }
}

impl TryFrom<TableUpdate> for FourthRouteTable {
    type Error = Report<ErrorKind>;

    fn try_from(update: TableUpdate) -> Result<Self, Self::Error> {
        if !update.is_complete {
            return Err(not_in_first_format("changes of a table"));
        }
        let TableUpdate {
            version,
            routes,
            services,
            limits,
            ..
        } = update;
        FourthRouteTable::complete(version, routes, services, limits)
    }
}

impl TryFrom<FleetUpdate> for FirstFormatUpdate {
    type Error = Report<ErrorKind>;

    fn try_from(update: FleetUpdate) -> Result<Self, Self::Error> {
        if !update.evacuations.is_empty() {
            return Err(not_in_first_format("evacuations"));
        }
        Ok(FirstFormatUpdate {
            table: update.table.map(FourthRouteTable::try_from).transpose()?,
            tenants: update.tenants.map(TryFrom::try_from).transpose()?,
            replicas: update.replicas.into_iter().map(Into::into).collect(),
            store: update.store,
            store_at: update.store_at,
            suspicions: update.suspicions.into_iter().map(Into::into).collect(),
            up_to_index: update.up_to_index,
        })
    }
}

impl From<FirstFormatUpdate> for FleetUpdate {
    /// The update contains all changes since the entry that its receiver reported as known,
    /// so it needs no other base.
    fn from(first: FirstFormatUpdate) -> Self {
        FleetUpdate {
            since: LogIndex(0),
            table: first.table.map(|table| TableUpdate::complete(table.into())),
            tenants: first.tenants.map(Into::into),
            replicas: first.replicas.into_iter().map(Into::into).collect(),
            replicas_complete: false,
            forgotten_up_to: LogIndex(0),
            store: first.store,
            store_at: first.store_at,
            suspicions: first.suspicions.into_iter().map(Into::into).collect(),
            evacuations: Vec::new(),
            up_to_index: first.up_to_index,
        }
    }
}
