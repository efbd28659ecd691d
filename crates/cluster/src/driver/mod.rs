//! The task that owns a group member, and the handle that reaches it.

mod formats;

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use error_stack::Report;
use linnethitch_clock::{Clock, Instant, timeout_at};
use linnethitch_errors::ErrorKind;
use linnethitch_group::{
    CallFailure, GroupMember, GroupNotice, GroupOutput, GroupSettings, StateMachine, StoredFormat,
};
use linnethitch_protocol::{
    consensus::ConsensusMessage,
    format::Format,
    ids::{MachineId, MemberId},
};
use linnethitch_storage::RealFileSystem;
use slog::{Logger, info, warn};
use tokio::sync::mpsc;

use crate::{links::Links, message::NodeMessage, node::address_of};

/// Maximum number of inputs that wait for the member.
const MAX_QUEUED_INPUTS: usize = 4_096;
/// Maximum number of inputs handled before the next sync.
const MAX_INPUT_BATCH: usize = 256;
/// Time limit for the transfer of leadership before a planned stop.
const LEADER_TRANSFER_TIMEOUT: Duration = Duration::from_millis(800);

/// Time and format at the moment of a call to a service.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Now {
    /// The steady clock, in milliseconds. No decision uses the time of day, which may jump.
    pub(crate) steady_ms: u64,
    /// The format in which this member writes if it is the leader.
    pub(crate) format: Format,
    /// Whether the format will stay the same for a while, so that commands it cannot express should
    /// not wait for a newer format.
    pub(crate) is_format_settled: bool,
}

/// How a call begins.
pub(crate) enum Begin<Reply> {
    /// By proposing this command.
    Propose {
        /// A command of the leader itself that precedes it.
        first: Option<Vec<u8>>,
        command: Vec<u8>,
    },
    /// By a linearizable read.
    Read,
    /// The call has already ended.
    Reply(Reply),
}

/// The purpose of a group: how its calls are carried out.
pub(crate) trait GroupService: Send + 'static {
    type State: StateMachine<Answer: Send> + Default + Send;
    type Call: Send;
    type Reply: Send;

    /// Begins a call.
    fn begin(
        &mut self,
        member: &GroupMember<Self::State>,
        call: &Self::Call,
        now: Now,
    ) -> Begin<Self::Reply>;

    /// Answers a call whose command was applied.
    fn applied(
        &mut self,
        state: &Self::State,
        call: &Self::Call,
        answer: <Self::State as StateMachine>::Answer,
        now: Now,
    ) -> Self::Reply;

    /// Answers a call whose read was confirmed.
    fn read(&mut self, state: &Self::State, call: &Self::Call) -> Self::Reply;

    /// Answers a call that failed.
    fn failed(&self, failure: CallFailure) -> Self::Reply;

    /// Commands that the leader proposes on its own.
    fn run_maintenance(&mut self, member: &GroupMember<Self::State>, now: Now) -> Vec<Vec<u8>>;

    /// The first entry in the newest format; proposed once all members can read that format.
    fn raise_format(&self, format: Format) -> Option<Vec<u8>>;

    /// Inspects the member after each flush.
    fn flushed(&mut self, member: &GroupMember<Self::State>, now: Now);
}

type ReplyTo<Reply> = Box<dyn FnOnce(Reply) + Send>;

enum Input<Call, Reply> {
    Message(ConsensusMessage),
    Call {
        call: Call,
        reply: ReplyTo<Reply>,
    },
    Present {
        member: MemberId,
        /// The newest format that the member supports, if reported.
        supported: Option<Format>,
    },
    Retiring(BTreeSet<MachineId>),
    Stop(tokio::sync::oneshot::Sender<()>),
}

/// Sends inputs to a group member. Clones share it.
pub(crate) struct GroupHandle<Call, Reply> {
    inputs: mpsc::Sender<Input<Call, Reply>>,
}

impl<Call, Reply> Clone for GroupHandle<Call, Reply> {
    fn clone(&self) -> Self {
        GroupHandle {
            inputs: self.inputs.clone(),
        }
    }
}

impl<Call, Reply> GroupHandle<Call, Reply> {
    pub(crate) async fn message(&self, message: ConsensusMessage) {
        let _ = self.inputs.send(Input::Message(message)).await;
    }

    pub(crate) async fn call(&self, call: Call, reply: ReplyTo<Reply>) {
        let _ = self.inputs.send(Input::Call { call, reply }).await;
    }

    pub(crate) async fn present(&self, member: MemberId, supported: Option<Format>) {
        let _ = self.inputs.send(Input::Present { member, supported }).await;
    }

    pub(crate) async fn retiring(&self, machines: BTreeSet<MachineId>) {
        let _ = self.inputs.send(Input::Retiring(machines)).await;
    }

    /// Transfers leadership to another member, within a time limit.
    pub(crate) async fn stop(&self) {
        let (done, stopped) = tokio::sync::oneshot::channel();
        if self.inputs.send(Input::Stop(done)).await.is_ok() {
            let _ = linnethitch_clock::timeout(LEADER_TRANSFER_TIMEOUT, stopped).await;
        }
    }
}

/// A call in progress.
struct OpenCall<Call, Reply> {
    call: Call,
    reply: ReplyTo<Reply>,
}

/// Owns a member and its service.
pub(crate) struct GroupDriver<S: GroupService> {
    member: GroupMember<S::State>,
    service: S,
    links: Links,
    clock: Clock,
    logger: Logger,
    inputs: mpsc::Receiver<Input<S::Call, S::Reply>>,
    tick: Duration,
    next_call: u64,
    open: std::collections::HashMap<u64, OpenCall<S::Call, S::Reply>>,
    stopping: Option<tokio::sync::oneshot::Sender<()>>,
    stored_format: StoredFormat,
    /// Members that are sent no stored data, because they could not read its format.
    outdated_members: BTreeSet<MachineId>,
}

/// A driver and its handle.
pub(crate) type OpenedGroup<S> = (
    GroupDriver<S>,
    GroupHandle<<S as GroupService>::Call, <S as GroupService>::Reply>,
);

/// Opens the member. [`GroupDriver::run`] runs the driver.
///
/// # Errors
/// Those of [`GroupMember::open`].
pub(crate) fn open<S: GroupService>(
    settings: GroupSettings,
    data_dir: &str,
    service: S,
    links: Links,
    clock: Clock,
    logger: Logger,
) -> Result<OpenedGroup<S>, Report<ErrorKind>> {
    let file_system = Arc::new(RealFileSystem::new(data_dir)?);
    let tick = Duration::from_millis(settings.tick_ms);
    let member = GroupMember::open(settings, file_system, clock.now_ms())?;
    let (sender, inputs) = mpsc::channel(MAX_QUEUED_INPUTS);
    let stored_format = StoredFormat::new(links.newest_format(), clock.now_ms());
    let driver = GroupDriver {
        member,
        service,
        links,
        clock,
        logger,
        inputs,
        tick,
        next_call: 0,
        open: std::collections::HashMap::new(),
        stopping: None,
        stored_format,
        outdated_members: BTreeSet::new(),
    };
    Ok((driver, GroupHandle { inputs: sender }))
}

impl<S: GroupService> GroupDriver<S> {
    /// The member's identity.
    pub(crate) fn id(&self) -> MemberId {
        self.member.id()
    }

    /// Runs until the disk fails or every handle is dropped.
    ///
    /// # Errors
    /// Those of [`GroupMember::flush`]; `DataFolderRefused` if the group stores in a newer format
    /// than this program may use.
    pub(crate) async fn run(mut self) -> Result<(), Report<ErrorKind>> {
        let mut next_tick = Instant::now();
        loop {
            let wake_at = if self.member.has_unapplied() || self.member.is_writing_snapshot() {
                Instant::now()
            } else {
                next_tick
            };
            match timeout_at(wake_at, self.inputs.recv()).await {
                Ok(Some(input)) => self.handle_batch(input),
                Ok(None) => return Ok(()),
                Err(_) => {}
            }
            if Instant::now() >= next_tick {
                next_tick = Instant::now() + self.tick;
                self.tick();
            }
            self.member.flush()?;
            self.check_format()?;
            self.process_outputs();
            // Writes that the outputs began are flushed before the next wait.
            self.member.flush()?;
            self.process_outputs();
            let now = self.now();
            self.service.flushed(&self.member, now);
            self.stop_if_due();
        }
    }

    fn handle_batch(&mut self, first: Input<S::Call, S::Reply>) {
        self.handle(first);
        for _ in 1..MAX_INPUT_BATCH {
            match self.inputs.try_recv() {
                Ok(input) => self.handle(input),
                Err(_) => return,
            }
        }
    }

    fn handle(&mut self, input: Input<S::Call, S::Reply>) {
        match input {
            Input::Message(message) => self.member.receive(message),
            Input::Call { call, reply } => self.begin(call, reply),
            Input::Present { member, supported } => {
                if self.may_join(member.machine, supported) {
                    self.member.note_present(member, self.clock.now_ms());
                }
            }
            Input::Retiring(machines) => self.member.set_retiring(machines),
            Input::Stop(done) => {
                self.member.transfer_leadership();
                self.stopping = Some(done);
            }
        }
    }

    fn begin(&mut self, call: S::Call, reply: ReplyTo<S::Reply>) {
        let now = self.now();
        match self.service.begin(&self.member, &call, now) {
            Begin::Reply(body) => reply(body),
            Begin::Propose { first, command } => {
                first.into_iter().for_each(|own| self.propose_own(own));
                let number = self.open_call(call, reply);
                self.member.propose(number, command);
            }
            Begin::Read => {
                let number = self.open_call(call, reply);
                self.member.read(number);
            }
        }
    }

    fn open_call(&mut self, call: S::Call, reply: ReplyTo<S::Reply>) -> u64 {
        self.next_call += 1;
        self.open.insert(self.next_call, OpenCall { call, reply });
        self.next_call
    }

    fn tick(&mut self) {
        let now = self.now();
        self.member.tick(now.steady_ms);
        if !self.member.is_leader() {
            self.stored_format.clear_proposed();
        } else if self.stopping.is_none() {
            self.raise_format_if_due();
            for command in self.service.run_maintenance(&self.member, now) {
                self.propose_own(command);
            }
        }
    }

    /// Proposes a command that no caller waits for.
    fn propose_own(&mut self, command: Vec<u8>) {
        self.next_call += 1;
        self.member.propose(self.next_call, command);
    }

    fn process_outputs(&mut self) {
        for output in self.member.take_outputs() {
            match output {
                GroupOutput::Send(message) if self.can_read(&message) => {
                    let to = message.to.machine;
                    self.links.send(to, &NodeMessage::Consensus(message));
                }
                GroupOutput::Send(_) => {}
                GroupOutput::Applied { call, answer } => {
                    if let Some(open) = self.open.remove(&call) {
                        let now = self.now();
                        let state = self.member.state();
                        (open.reply)(self.service.applied(state, &open.call, answer, now));
                    }
                }
                GroupOutput::ReadConfirmed { call } => {
                    if let Some(open) = self.open.remove(&call) {
                        (open.reply)(self.service.read(self.member.state(), &open.call));
                    }
                }
                GroupOutput::Failed { call, failure } => {
                    if let Some(open) = self.open.remove(&call) {
                        (open.reply)(self.service.failed(failure));
                    }
                }
                GroupOutput::Notice(notice) => log_notice(&self.logger, &notice),
            }
        }
    }

    fn stop_if_due(&mut self) {
        if !self.member.is_leader()
            && let Some(done) = self.stopping.take()
        {
            let _ = done.send(());
        }
    }

    fn now(&self) -> Now {
        let steady_ms = self.clock.now_ms();
        Now {
            steady_ms,
            format: self.format(),
            is_format_settled: self.is_format_settled(steady_ms),
        }
    }
}

fn log_notice(logger: &Logger, notice: &GroupNotice) {
    match notice {
        GroupNotice::Leader { term, leader } => {
            let leader = leader.map(|leader| address_of(leader.machine).to_string());
            info!(logger, "leader changed"; "term" => term.0, "leader" => leader);
        }
        GroupNotice::MembershipProposed(change) => {
            info!(logger, "membership change proposed"; "change" => change);
        }
        GroupNotice::SnapshotStored(index) => {
            info!(logger, "snapshot stored"; "index" => index.0);
        }
        GroupNotice::SnapshotInstalled(index) => {
            info!(logger, "snapshot installed"; "index" => index.0);
        }
        GroupNotice::DamageSetAside(damage) => {
            warn!(logger, "damaged state set aside"; "damage" => damage);
        }
        GroupNotice::DiskFull(full) => warn!(logger, "disk space state changed"; "full" => *full),
    }
}
