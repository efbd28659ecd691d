//! The service of control's group, which holds the registry.

use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use linnethitch_group::{CallFailure, GroupMember, StateMachine};
use linnethitch_protocol::{
    format::Format,
    ids::{LogIndex, MachineId},
};
use linnethitch_registry::{
    KnownGateways, Registry, RegistryAnswer, RegistryCommand, RequestFingerprint,
    first_store_members,
};
use parking_lot::Mutex;
use slog::{Logger, info};
use tokio::sync::watch;

use crate::{
    driver::{Begin, GroupService, Now},
    message::{RegistryCall, RegistryReply},
    node::address_of,
    presence::Presence,
    replica_liveness::ReplicaLiveness,
};

/// After this time without reports, in milliseconds, a request that ended replicas is tried again
/// or is no longer suspected. With ten minutes, a request that callers repeat for hours ends at
/// most six replicas an hour.
const SUSPICION_TTL_MS: u64 = 600_000;
/// How long the group's statement that its view is current stays valid, in milliseconds. The group
/// renews it with every tick, and by then had contact with the leader within the last second.
const CURRENT_TTL_MS: u64 = 1_000;
/// Minimum time between two changes of the record of gateways, in milliseconds: a start of the
/// complete fleet takes a few commits and not one for each gateway.
const GATEWAYS_INTERVAL_MS: u64 = 200;
/// The job store is formed once no further member has appeared for this long, in milliseconds.
const STORE_FORMING_MS: u64 = 400;

/// The group as seen by the other parts of the node.
#[derive(Clone, Default)]
pub(crate) struct RegistryView {
    pub(crate) registry: Registry,
    /// Voters and learners.
    pub(crate) members: Vec<MachineId>,
    /// Whether this is the state that a reachable leader reported as committed. A member that is
    /// partitioned or catching up may have an older state and sends it to no node.
    pub(crate) is_current: bool,
}

/// Shared by the group and the other parts of the node.
pub(crate) struct RegistryShared {
    pub(crate) view: Mutex<Arc<RegistryView>>,
    /// Counts changes for which a heartbeat should be sent at once.
    pub(crate) changes: watch::Sender<u64>,
    pub(crate) presence: Mutex<Presence>,
    /// When the group last checked whether the view is current, in milliseconds.
    pub(crate) current_checked_ms: AtomicU64,
}

impl RegistryShared {
    /// Whether the view is the state in force. A group whose disk hangs stops renewing this.
    pub(crate) fn is_current(&self, now_ms: u64) -> bool {
        let current_checked_ms = self.current_checked_ms.load(Ordering::Relaxed);
        self.view.lock().is_current && now_ms < current_checked_ms + CURRENT_TTL_MS
    }
}

/// Carries out the registry's calls.
pub(crate) struct RegistryService {
    shared: Arc<RegistryShared>,
    /// When each replica was last reported alive, as far as this leader knows.
    liveness: ReplicaLiveness,
    /// The entries that last changed suspicions, and when this leader first saw them.
    suspected: BTreeMap<RequestFingerprint, (LogIndex, u64)>,
    /// When this leader last proposed a change of the record of gateways.
    gateways_proposed_ms: u64,
    is_leading: bool,
    is_current: bool,
    store_voters: usize,
    logger: Logger,
}

impl RegistryService {
    pub(crate) fn new(shared: Arc<RegistryShared>, store_voters: usize, logger: Logger) -> Self {
        RegistryService {
            shared,
            liveness: ReplicaLiveness::default(),
            suspected: BTreeMap::new(),
            gateways_proposed_ms: 0,
            is_leading: false,
            is_current: false,
            store_voters,
            logger,
        }
    }

    /// Updates whether the member has the state in force.
    fn update_current(&mut self, member: &GroupMember<Registry>) {
        let is_current = member.is_current();
        if is_current == self.is_current {
            return;
        }
        self.is_current = is_current;
        let status = member.status();
        let version = member.state().table().map(|table| table.version);
        info!(self.logger, "registry state"; "is_current" => is_current, "version" => version,
            "applied" => member.applied().0, "committed" => status.committed.0,
            "ticks_since_leader" => status.ticks_since_leader, "term" => status.term.0);
    }

    /// Resets the leader's state if this member has just become the leader: contacts from before do
    /// not count.
    fn begin_leading(&mut self) {
        if !self.is_leading {
            self.is_leading = true;
            self.liveness = ReplicaLiveness::default();
            self.suspected.clear();
        }
    }

    /// Decays suspicions that have not changed for [`SUSPICION_TTL_MS`].
    fn expired_suspicions(&mut self, registry: &Registry, now_ms: u64) -> Option<RegistryCommand> {
        let suspicions = registry.suspicions();
        self.suspected.retain(|fingerprint, (changed_at, _)| {
            let record = suspicions.get(fingerprint);
            record.is_some_and(|record| record.is_open() && record.changed_at == *changed_at)
        });
        let mut old = Vec::new();
        for record in suspicions.open() {
            let first_seen = self.suspected.entry(record.fingerprint);
            let (_, since_ms) = *first_seen.or_insert((record.changed_at, now_ms));
            if now_ms.saturating_sub(since_ms) > SUSPICION_TTL_MS {
                old.push(record.fingerprint);
            }
        }
        (!old.is_empty()).then_some(RegistryCommand::DecaySuspicions(old))
    }

    /// Gateways that joined, and gateways that stopped or were silent for too long.
    fn gateways_change(&mut self, registry: &Registry, now_ms: u64) -> Option<RegistryCommand> {
        if now_ms < self.gateways_proposed_ms + GATEWAYS_INTERVAL_MS {
            return None;
        }
        let presence = self.shared.presence.lock();
        let coordinators = presence.coordinators();
        let change = coordinators.change_from(registry.gateways(), now_ms)?;
        self.gateways_proposed_ms = now_ms;
        Some(RegistryCommand::GatewaysChanged {
            joined: change.joined,
            left: change.departed,
        })
    }

    fn all_gateways_read(&self, format: Format, now_ms: u64) -> bool {
        self.shared.presence.lock().gateways_read(format, now_ms)
    }

    /// Begins a proposal. Only the leader knows in which format it may write: a member that has
    /// just started or lags behind may know an older format.
    fn begin_proposal(&self, command: &RegistryCommand, now: Now) -> Begin<RegistryReply> {
        if !now.is_format_settled
            && command.requires_lossless_format()
            && !command.is_lossless_in(now.format)
        {
            info!(self.logger, "command waits for a newer format"; "format" => now.format.number());
            return Begin::Reply(RegistryReply::Refused);
        }
        match command.to_stored_in(now.format) {
            Ok(command) => Begin::Propose {
                first: None,
                command,
            },
            Err(report) => {
                info!(self.logger, "command refused"; "cause" => format!("{report:?}"));
                Begin::Reply(RegistryReply::Refused)
            }
        }
    }

    fn log_gateways(&self, before: &KnownGateways, now: &KnownGateways) {
        let joined = now.machines().filter(|machine| !before.contains(*machine));
        let departed = before.machines().filter(|machine| !now.contains(*machine));
        info!(self.logger, "known gateways changed"; "joined" => addresses(joined),
            "left" => addresses(departed), "known" => now.machines().count());
    }

    fn store_to_form(&self, registry: &Registry, now_ms: u64) -> Option<RegistryCommand> {
        if !registry.store().first.is_empty() {
            return None;
        }
        let presence = self.shared.presence.lock();
        let forming = presence.forming_stores(now_ms, STORE_FORMING_MS)?;
        let first = first_store_members(&forming, self.store_voters);
        Some(RegistryCommand::FormStore(first))
    }
}

impl GroupService for RegistryService {
    type State = Registry;
    type Call = RegistryCall;
    type Reply = RegistryReply;

    fn begin(
        &mut self,
        member: &GroupMember<Registry>,
        call: &RegistryCall,
        now: Now,
    ) -> Begin<RegistryReply> {
        match call {
            RegistryCall::Document => Begin::Read,
            RegistryCall::Propose(_) | RegistryCall::ReplicasAlive(_) if !member.is_leader() => {
                let leader = member.leader().map(|leader| leader.machine);
                Begin::Reply(RegistryReply::NotLeader(leader))
            }
            RegistryCall::Propose(command) => self.begin_proposal(command, now),
            RegistryCall::ReplicasAlive(replicas) => {
                for incarnation in replicas {
                    self.liveness.record_contact(incarnation, now.steady_ms);
                }
                Begin::Reply(RegistryReply::Recorded)
            }
        }
    }

    fn applied(
        &mut self,
        registry: &Registry,
        call: &RegistryCall,
        answer: RegistryAnswer,
        now: Now,
    ) -> RegistryReply {
        if let RegistryCall::Propose(RegistryCommand::Replica(change)) = call {
            let stored = change.clone().reduced_to(registry.format());
            self.liveness
                .record_contact(&stored.incarnation_key(), now.steady_ms);
        }
        RegistryReply::Answer(answer)
    }

    fn read(&mut self, registry: &Registry, _: &RegistryCall) -> RegistryReply {
        let document = registry.table().map(|_| registry.document().to_vec());
        RegistryReply::Document(document)
    }

    fn failed(&self, failure: CallFailure) -> RegistryReply {
        match failure {
            CallFailure::NotLeader(leader) => {
                RegistryReply::NotLeader(leader.map(|leader| leader.machine))
            }
            CallFailure::Overloaded | CallFailure::TooLarge | CallFailure::Replaced => {
                RegistryReply::Refused
            }
            CallFailure::Unknown => RegistryReply::Unknown,
        }
    }

    fn run_maintenance(&mut self, member: &GroupMember<Registry>, now: Now) -> Vec<Vec<u8>> {
        let registry = member.state();
        self.begin_leading();
        let mut commands = self.liveness.maintenance_commands(registry, now.steady_ms);
        if !self.all_gateways_read(Format::Second, now.steady_ms) {
            // A gateway on the first format would keep a replica whose end it missed.
            commands.retain(|command| !matches!(command, RegistryCommand::ForgetEnded { .. }));
        }
        commands.extend(self.expired_suspicions(registry, now.steady_ms));
        commands.extend(self.gateways_change(registry, now.steady_ms));
        commands.extend(self.store_to_form(registry, now.steady_ms));
        // Commands that members cannot read yet wait until they can.
        let encoded = commands
            .iter()
            .filter_map(|command| command.to_stored_in(now.format).ok());
        encoded.collect()
    }

    fn raise_format(&self, format: Format) -> Option<Vec<u8>> {
        RegistryCommand::raise_format(format).ok()
    }

    fn flushed(&mut self, member: &GroupMember<Registry>, now: Now) {
        self.shared
            .current_checked_ms
            .store(now.steady_ms, Ordering::Relaxed);
        if !member.is_leader() {
            self.is_leading = false;
        }
        self.update_current(member);
        let is_current = self.is_current;
        let previous = Arc::clone(&self.shared.view.lock());
        let membership = member.membership();
        let all = membership.voters.iter().chain(&membership.learners);
        let members: Vec<MachineId> = all.map(|member| member.machine).collect();
        let registry = member.state();
        let reports_same = previous.registry.changed_at() == registry.changed_at()
            && previous.members == members
            && previous.is_current == is_current;
        let gateways_changed = previous.registry.gateways() != registry.gateways();
        let format_changed = previous.registry.format() != registry.format();
        if reports_same && !gateways_changed && !format_changed {
            return;
        }
        if gateways_changed {
            self.log_gateways(previous.registry.gateways(), registry.gateways());
        }
        let view = RegistryView {
            registry: registry.clone(),
            members,
            is_current,
        };
        *self.shared.view.lock() = Arc::new(view);
        if !reports_same {
            self.shared.changes.send_modify(|count| *count += 1);
        }
    }
}

fn addresses(machines: impl Iterator<Item = MachineId>) -> String {
    let addresses = machines.map(|machine| address_of(machine).to_string());
    addresses.collect::<Vec<String>>().join(" ")
}
