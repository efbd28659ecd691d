//! The replicated state.

use std::sync::Arc;

use error_stack::Report;
use linnethitch_errors::ErrorKind;
use linnethitch_group::{StateMachine, WholeSnapshot, read_whole_snapshot};
use linnethitch_protocol::{
    format::Format,
    ids::{LogIndex, MachineId, MemberId},
    stored,
};
use linnethitch_storage::SnapshotReader;
use linnethitch_tenants::{TenantDirectory, TenantsUpdate};
use rkyv::{Archive, Deserialize, Serialize};

use crate::{
    command::FIRST_LAYOUT,
    command::{RegistryAnswer, RegistryCommand},
    configuration::Declared,
    evacuations::{EvacuationOrder, EvacuationRecord, Evacuations},
    fifth_layout::FifthSnapshot,
    first_layout::FirstSnapshot,
    fourth_layout::FourthSnapshot,
    gateways::{GatewayRecord, KnownGateways},
    incarnation_key::parse_incarnation_key,
    replica::ReplicaRecord,
    replica_changes::{self, Removal},
    replica_index::ReplicaIndex,
    replica_records::{ReplicaDifference, ReplicaRecords},
    routes::RouteTable,
    second_layout::{SecondSnapshot, ThirdSnapshot},
    sixth_layout::SixthSnapshot,
    suspicion::{Suspicion, Suspicions},
    table_history::TableHistory,
    update::FleetUpdate,
};

/// The job store as control knows it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct StoreMembers {
    /// The members that it was formed from; empty before.
    pub first: Vec<MemberId>,
    /// Machines that are to be emptied, in the order of the requests.
    pub retiring: Vec<MachineId>,
}

/// Route table, replicas and members of the job store.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    table: Option<Arc<TableHistory>>,
    document: Arc<Vec<u8>>,
    tenants: Arc<TenantDirectory>,
    replicas: ReplicaIndex,
    /// Replicas that were gone since this entry or an earlier one are forgotten.
    forgotten: LogIndex,
    store: StoreMembers,
    store_at: LogIndex,
    suspicions: Suspicions,
    evacuations: Evacuations,
    gateways: KnownGateways,
    changed_at: LogIndex,
    /// The newest format among its entries: all members read it.
    format: Format,
}

/// Layout of snapshots that this build writes; those before are still read.
const SNAPSHOT_LAYOUT: u8 = 7;
/// Layout of snapshots that do not say which gone replicas are forgotten.
const SIXTH_LAYOUT: u8 = 6;
/// Layout of snapshots with one length of the runs that ended replicas.
const FIFTH_LAYOUT: u8 = 5;
/// Layout of snapshots without evacuations, homes, starts of replicas and known gateways.
const FOURTH_LAYOUT: u8 = 4;
/// Layout of snapshots without tenants.
const THIRD_LAYOUT: u8 = 3;
/// Layout of snapshots without requests that are suspected.
const SECOND_LAYOUT: u8 = 2;

/// What a snapshot holds.
#[derive(Archive, Serialize, Deserialize)]
pub(crate) struct RegistrySnapshot {
    pub(crate) table: Option<RouteTable>,
    pub(crate) document: Vec<u8>,
    pub(crate) table_at: LogIndex,
    pub(crate) replicas: Vec<ReplicaRecord>,
    pub(crate) store: StoreMembers,
    pub(crate) store_at: LogIndex,
    pub(crate) changed_at: LogIndex,
    pub(crate) suspicions: Vec<Suspicion>,
    pub(crate) tenants: TenantsUpdate,
    pub(crate) evacuations: Vec<EvacuationRecord>,
    pub(crate) gateways: Vec<GatewayRecord>,
    pub(crate) forgotten: LogIndex,
}

impl Registry {
    /// The route table in force.
    #[must_use]
    pub fn table(&self) -> Option<&Arc<RouteTable>> {
        self.table.as_ref().map(|history| history.table())
    }

    /// The document of the table in force, as the operator sent it.
    #[must_use]
    pub fn document(&self) -> &Arc<Vec<u8>> {
        &self.document
    }

    /// The tenants of the configuration in force.
    #[must_use]
    pub fn tenants(&self) -> &TenantDirectory {
        &self.tenants
    }

    /// The newest start of a replica, by its id.
    #[must_use]
    pub fn replica(&self, id: &str) -> Option<&ReplicaRecord> {
        self.replicas.records().get(id)
    }

    /// Whether a start is the newest one of its replica, by its key.
    #[must_use]
    pub fn is_current_incarnation(&self, key: &str) -> bool {
        let (id, _) = parse_incarnation_key(key);
        let held = self.replicas.records().get(id);
        held.is_some_and(|record| record.reported.is_of_incarnation(key))
    }

    /// Every replica that is not gone.
    pub fn live_replicas(&self) -> impl Iterator<Item = &ReplicaRecord> {
        self.replicas.records().live()
    }

    /// Every replica by id, gone ones too that are not forgotten.
    #[must_use]
    pub(crate) fn records(&self) -> &ReplicaRecords {
        self.replicas.records()
    }

    /// What differs in the replicas between an earlier state and this one.
    pub fn differences<'a>(
        &'a self,
        before: &'a Registry,
    ) -> impl Iterator<Item = ReplicaDifference<'a>> {
        self.records().since(before.records())
    }

    /// The gone replica that changed first; `None` where none is held.
    #[must_use]
    pub fn first_ended_at(&self) -> Option<LogIndex> {
        self.records().first_gone().map(|(at, _)| at)
    }

    /// Ids of the replicas at an address that are not gone.
    #[must_use]
    pub fn at_address(&self, address: &str) -> Vec<String> {
        self.replicas.at_address(address)
    }

    /// Every replica whose place another incarnation has taken.
    pub fn displaced_replicas(&self) -> impl Iterator<Item = &ReplicaRecord> {
        self.replicas.displaced()
    }

    /// The job store as control knows it.
    #[must_use]
    pub fn store(&self) -> &StoreMembers {
        &self.store
    }

    /// Requests under which replicas ended.
    #[must_use]
    pub fn suspicions(&self) -> &Suspicions {
        &self.suspicions
    }

    /// Zones to whose replicas nothing more is sent.
    #[must_use]
    pub fn evacuations(&self) -> &Evacuations {
        &self.evacuations
    }

    /// Gateways that share the counts of tenants' limits. Nodes are not told of them by
    /// updates: control says who is silent.
    #[must_use]
    pub fn gateways(&self) -> &KnownGateways {
        &self.gateways
    }

    /// The newest entry that changed anything that updates tell.
    #[must_use]
    pub fn changed_at(&self) -> LogIndex {
        self.changed_at
    }

    /// What changed after an entry; everything after entry 0. A node that missed ends which
    /// are forgotten by now is told all replicas that there are.
    #[must_use]
    pub fn update_since(&self, since: LogIndex) -> FleetUpdate {
        self.update_in(Format::NEWEST, since)
    }

    /// The same as a format can tell it: the first has no changes of a table.
    #[must_use]
    pub fn update_in(&self, format: Format, since: LogIndex) -> FleetUpdate {
        let is_complete = since < self.forgotten;
        let replicas_since = if is_complete { LogIndex(0) } else { since };
        let history = self.table.as_ref();
        let table = history.and_then(|history| match format {
            Format::First => history.whole_since(since),
            Format::Second => history.update_since(since),
        });
        let tenants = table.as_ref().map(|_| self.tenants.update_since(since));
        let changed = self.replicas.changed_after(replicas_since);
        let suspected = self.suspicions.records();
        let suspected = suspected.filter(|record| record.changed_at > since);
        let evacuations = self.evacuations.records();
        let evacuations = evacuations.filter(|record| record.changed_at > since);
        FleetUpdate {
            evacuations: evacuations.cloned().collect(),
            since,
            table,
            tenants,
            replicas: changed.cloned().collect(),
            replicas_complete: is_complete,
            forgotten: self.forgotten,
            store: (self.store_at > since).then(|| self.store.clone()),
            store_at: self.store_at,
            suspicions: suspected.cloned().collect(),
            up_to_index: self.changed_at,
        }
    }

    /// The newest entry that changed the job store's members.
    #[must_use]
    pub fn store_changed_at(&self) -> LogIndex {
        self.store_at
    }

    /// What changed after an entry of what members of the job store need to know.
    #[must_use]
    pub fn store_update_since(&self, since: LogIndex) -> FleetUpdate {
        FleetUpdate {
            since,
            table: None,
            tenants: None,
            replicas: Vec::new(),
            replicas_complete: false,
            forgotten: LogIndex(0),
            store: (self.store_at > since).then(|| self.store.clone()),
            store_at: self.store_at,
            suspicions: Vec::new(),
            evacuations: Vec::new(),
            up_to_index: self.changed_at,
        }
    }

    fn put_configuration(
        &mut self,
        index: LogIndex,
        table: RouteTable,
        declared: Declared,
    ) -> RegistryAnswer {
        let held = self.table().map(|table| table.version);
        if held.is_some_and(|held| held >= table.version) {
            return RegistryAnswer::ConfigurationVersion(held.unwrap_or_default());
        }
        let version = table.version;
        match &mut self.table {
            Some(history) => Arc::make_mut(history).replace(table, index),
            None => self.table = Some(Arc::new(TableHistory::new(table, index))),
        }
        self.document = Arc::new(declared.document);
        Arc::make_mut(&mut self.tenants).replace(declared.tenants, index);
        self.changed_at = index;
        RegistryAnswer::ConfigurationVersion(version)
    }

    fn order_evacuation(
        &mut self,
        index: LogIndex,
        order: EvacuationOrder,
        evacuated: bool,
    ) -> RegistryAnswer {
        let zone = order.zone.clone();
        let changed = self.evacuations.set(index, order, evacuated);
        self.note_change(index, changed);
        RegistryAnswer::ZoneState {
            evacuated: self.evacuations.contains(&zone),
            changed_at: self.evacuations.changed_at(&zone),
        }
    }

    fn forget_gone(&mut self, up_to_index: LogIndex) {
        let up_to_index = up_to_index.min(self.changed_at);
        self.forgotten = self.forgotten.max(up_to_index);
        self.replicas.forget_gone(up_to_index);
    }

    fn note_change(&mut self, index: LogIndex, changed: bool) {
        if changed {
            self.changed_at = index;
        }
    }

    /// A member that starts again from a snapshot must hold what the others hold, so nothing is
    /// held that a snapshot of the group's format leaves out.
    fn note_suspicions(&mut self, index: LogIndex, changed: bool) {
        if changed && self.format == Format::First {
            self.suspicions.reduce_to_first_format(index);
        }
        self.note_change(index, changed);
    }

    fn note_store(&mut self, index: LogIndex, changed: bool) {
        if changed {
            self.store_at = index;
            self.changed_at = index;
        }
    }
}

impl StateMachine for Registry {
    type Answer = RegistryAnswer;
    type Snapshot = WholeSnapshot;

    fn apply(
        &mut self,
        index: LogIndex,
        command: &[u8],
    ) -> Result<Self::Answer, Report<ErrorKind>> {
        let parsed = RegistryCommand::from_stored(command)?;
        self.format = self.format.max(RegistryCommand::format_of(command));
        match parsed {
            RegistryCommand::PutConfiguration { table, declared } => {
                return Ok(self.put_configuration(index, table, *declared));
            }
            RegistryCommand::Replica(change) => {
                let changed = replica_changes::apply_change(&mut self.replicas, index, &change);
                self.note_change(index, changed);
            }
            RegistryCommand::RemoveReplica(key) => {
                let removal = replica_changes::remove(&mut self.replicas, index, &key);
                self.note_change(index, removal == Removal::Removed);
                if removal == Removal::OtherIncarnation {
                    return Ok(RegistryAnswer::OtherIncarnation);
                }
            }
            RegistryCommand::NotAtAddress(key) => {
                let changed = replica_changes::not_there(&mut self.replicas, index, &key);
                self.note_change(index, changed);
            }
            RegistryCommand::EvacuateZone(order) => {
                return Ok(self.order_evacuation(index, order, true));
            }
            RegistryCommand::RestoreZone(order) => {
                return Ok(self.order_evacuation(index, order, false));
            }
            RegistryCommand::GatewaysChanged { joined, left } => {
                self.gateways.change(index, joined, &left);
            }
            RegistryCommand::FormStore(members) => {
                let changed = self.store.first.is_empty();
                if changed {
                    self.store.first = members;
                }
                self.note_store(index, changed);
            }
            RegistryCommand::RetireStore(machine) => {
                let changed = !self.store.retiring.contains(&machine);
                if changed {
                    self.store.retiring.push(machine);
                }
                self.note_store(index, changed);
            }
            RegistryCommand::ReplicaEnded { replica, runs } => {
                let changed = self.suspicions.note_end(index, &replica, &runs);
                self.note_suspicions(index, changed);
            }
            RegistryCommand::ClearSuspicions(cleared) => {
                let changed = self.suspicions.clear(index, &cleared);
                self.note_suspicions(index, changed);
            }
            RegistryCommand::ForgetEnded { up_to_index } => self.forget_gone(up_to_index),
            RegistryCommand::DecaySuspicions(eased) => {
                let changed = self.suspicions.ease(index, &eased);
                self.note_suspicions(index, changed);
            }
        }
        Ok(RegistryAnswer::Done)
    }

    fn begin_snapshot(&self) -> Result<WholeSnapshot, Report<ErrorKind>> {
        let snapshot = RegistrySnapshot {
            table: self.table().map(|table| table.as_ref().clone()),
            document: self.document.as_ref().clone(),
            table_at: self
                .table
                .as_ref()
                .map_or(LogIndex(0), |history| history.changed_at()),
            replicas: self.records().all().cloned().collect(),
            forgotten: self.forgotten,
            store: self.store.clone(),
            store_at: self.store_at,
            changed_at: self.changed_at,
            tenants: self.tenants.to_update(),
            suspicions: self.suspicions.records().cloned().collect(),
            evacuations: self.evacuations.records().cloned().collect(),
            gateways: self.gateways.records().copied().collect(),
        };
        let stored = match self.format {
            Format::First => stored::encode(FOURTH_LAYOUT, &FourthSnapshot::try_from(snapshot)?),
            Format::Second => stored::encode(SNAPSHOT_LAYOUT, &snapshot),
        };
        stored.map(WholeSnapshot::new)
    }

    fn from_snapshot(content: SnapshotReader) -> Result<Self, Report<ErrorKind>> {
        let bytes = read_whole_snapshot(&content)?;
        let snapshot = decode_snapshot(&bytes)?;
        let format = match stored::layout_of(&bytes) {
            Some(layout) if layout > FOURTH_LAYOUT => Format::Second,
            _ => Format::First,
        };
        Ok(Registry {
            table: snapshot.table.map(|table| {
                // Which route changed when is not kept: nodes that know less are told all.
                Arc::new(TableHistory::new(table, snapshot.table_at))
            }),
            tenants: Arc::new(TenantDirectory::from_update(snapshot.tenants)),
            document: Arc::new(snapshot.document),
            replicas: snapshot.replicas.into_iter().collect(),
            forgotten: snapshot.forgotten,
            store: snapshot.store,
            store_at: snapshot.store_at,
            suspicions: snapshot.suspicions.into_iter().collect(),
            evacuations: snapshot.evacuations.into_iter().collect(),
            gateways: snapshot.gateways.into_iter().collect(),
            changed_at: snapshot.changed_at,
            format,
        })
    }

    fn format(&self) -> Format {
        self.format
    }
}

fn decode_snapshot(bytes: &[u8]) -> Result<RegistrySnapshot, Report<ErrorKind>> {
    match stored::layout_of(bytes) {
        Some(FIRST_LAYOUT) => {
            let first: FirstSnapshot = stored::decode(&[FIRST_LAYOUT], bytes)?;
            Ok(first.into())
        }
        Some(SECOND_LAYOUT) => {
            let second: SecondSnapshot = stored::decode(&[SECOND_LAYOUT], bytes)?;
            Ok(second.into())
        }
        Some(THIRD_LAYOUT) => {
            let third: ThirdSnapshot = stored::decode(&[THIRD_LAYOUT], bytes)?;
            Ok(third.into())
        }
        Some(FOURTH_LAYOUT) => {
            let fourth: FourthSnapshot = stored::decode(&[FOURTH_LAYOUT], bytes)?;
            Ok(fourth.into())
        }
        Some(FIFTH_LAYOUT) => {
            let fifth: FifthSnapshot = stored::decode(&[FIFTH_LAYOUT], bytes)?;
            Ok(fifth.into())
        }
        Some(SIXTH_LAYOUT) => {
            let sixth: SixthSnapshot = stored::decode(&[SIXTH_LAYOUT], bytes)?;
            Ok(sixth.into())
        }
        _ => stored::decode(&[SNAPSHOT_LAYOUT], bytes),
    }
}
