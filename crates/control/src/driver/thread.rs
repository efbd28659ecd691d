//! The member's thread: passes inputs to the member, flushes it and carries out its outputs.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use arc_swap::ArcSwap;
use error_stack::{Report, ResultExt};
use linnethitch_config::digest::content_digest;
use linnethitch_consensus::TICK_MILLISECONDS;
use linnethitch_errors::ErrorKind;
use linnethitch_placement::{PlacementView, reconciler::IssuedOrder};
use linnethitch_protocol::{
    attach::{ConfigurationUpdate, ControlAnswer, ControlCall, PeerMessage},
    command::CommandBody,
    ids::{CallId, LogIndex, MachineId},
    query::QueryAnswer,
};
use linnethitch_storage::RealFileSystem;
use slog::{Logger, debug};
use tokio::{
    runtime::Runtime,
    sync::{mpsc, watch},
    time::timeout,
};

use super::{
    DriverSetup, LEADERSHIP_TRANSFER_TIMEOUT,
    input::{ChangeVersion, Changes, GatewayConfiguration, Input, PendingCall},
    notices,
};
use crate::{
    catch_up::shortest_updates,
    clock::Clock,
    member::{Member, MemberOutput, MemberView},
    peers::PeerLinks,
    record::Recorder,
    soft_state::SharedSoftState,
};

/// Time between two calls of [`Member::tick`].
const TICK: Duration = Duration::from_millis(TICK_MILLISECONDS);
/// Maximum number of inputs that share one sync.
const MAX_INPUTS_PER_SYNC: usize = 512;

/// The thread's ends of what it shares with tasks.
pub(super) struct Shared {
    pub(super) inputs: mpsc::Receiver<Input>,
    pub(super) view: Arc<ArcSwap<MemberView>>,
    pub(super) change_sender: watch::Sender<ChangeVersion>,
}

/// The thread's state.
pub(super) struct MemberThread {
    member: Member,
    shared: Shared,
    /// Used only to wait for inputs with a time limit.
    wait_runtime: Runtime,
    clock: Clock,
    links: PeerLinks,
    soft_state: SharedSoftState,
    recorder: Recorder,
    logger: Logger,
    replies: HashMap<CallId, PendingCall>,
    last_call: u64,
    /// The pending `Expire` command.
    expire_call: Option<CallId>,
    next_tick: Instant,
    /// When to end even if leadership has not been transferred.
    stop_deadline: Option<Instant>,
    aborted: bool,
}

impl MemberThread {
    /// Opens the member's data folder.
    pub(super) fn open(setup: DriverSetup, shared: Shared) -> Result<Self, Report<ErrorKind>> {
        let wait_runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .build()
            .change_context(ErrorKind::Io)?;
        let time = setup.clock.member_time();
        let files = Arc::new(RealFileSystem::new(&setup.data_dir)?);
        let member = Member::open(setup.settings, files, setup.new_disk, time)?;
        // Opened after the member: with the journal's folder in it, a blank data folder would
        // count as foreign and be refused.
        let recorder = Recorder::open(&setup.data_dir).change_context(ErrorKind::Io)?;
        let thread = MemberThread {
            member,
            shared,
            wait_runtime,
            clock: setup.clock,
            links: setup.links,
            soft_state: setup.soft_state,
            recorder,
            logger: setup.logger,
            replies: HashMap::new(),
            last_call: 0,
            expire_call: None,
            next_tick: Instant::now(),
            stop_deadline: None,
            aborted: false,
        };
        thread.publish();
        Ok(thread)
    }

    /// The journal in the data folder.
    pub(super) fn recorder(&self) -> Recorder {
        self.recorder.clone()
    }

    /// Runs until a planned stop, an abort or a disk failure.
    pub(super) fn run(mut self) -> Result<(), Report<ErrorKind>> {
        loop {
            let open = self.take_inputs();
            if self.aborted {
                return Ok(());
            }
            if Instant::now() >= self.next_tick {
                self.next_tick = Instant::now() + TICK;
                self.member.set_peer_formats(self.links.formats());
                self.member.tick(self.clock.member_time());
                self.expire_if_due();
            }
            self.member.flush()?;
            self.handle_outputs();
            self.publish();
            if !open || self.is_stopped() {
                return Ok(());
            }
        }
    }

    /// Takes the queued inputs. Waits for the first one until the next tick, or not at all while
    /// committed entries remain to be applied. Returns `false` if all senders are dropped.
    fn take_inputs(&mut self) -> bool {
        let wait = if self.member.has_unapplied() {
            Duration::ZERO
        } else {
            self.next_tick.saturating_duration_since(Instant::now())
        };
        let inputs = &mut self.shared.inputs;
        let first = self
            .wait_runtime
            .block_on(async { timeout(wait, inputs.recv()).await });
        match first {
            Err(_) => return true,
            Ok(None) => return false,
            Ok(Some(input)) => self.handle(input),
        }
        for _ in 1..MAX_INPUTS_PER_SYNC {
            match self.shared.inputs.try_recv() {
                Ok(input) => self.handle(input),
                Err(_) => break,
            }
        }
        true
    }

    fn handle(&mut self, input: Input) {
        match input {
            Input::Peer { from, message } => self.member.receive(from, message),
            Input::Call { body, call } => {
                let number = self.start_call(body);
                self.replies.insert(number, call);
            }
            Input::Changes {
                configuration,
                stopped_after,
                reply,
            } => {
                // The gateway may have disconnected.
                let _ = reply.send(self.changes(configuration, stopped_after));
            }
            Input::Placement { reply } => {
                // The placement task may have been cancelled.
                let _ = reply.send(self.placement_view());
            }
            Input::Abort => self.aborted = true,
            Input::Stop => {
                self.stop_deadline
                    .get_or_insert(Instant::now() + LEADERSHIP_TRANSFER_TIMEOUT);
                self.member.transfer_leadership();
            }
        }
    }

    fn start_call(&mut self, body: ControlCall) -> CallId {
        self.last_call += 1;
        let call = CallId(self.last_call);
        self.member.call(call, body);
        call
    }

    fn changes(&self, configuration: GatewayConfiguration, stopped_after: LogIndex) -> Changes {
        let ledger = self.member.ledger();
        Changes {
            updates: self.configuration_updates(configuration),
            stopped: ledger.jobs_stopped_since(stopped_after),
            revision: configuration.revision.max(ledger.revision()),
            stopped_up_to: self.change_version().stopped.max(stopped_after),
        }
    }

    fn placement_view(&self) -> PlacementView {
        let ledger = self.member.ledger();
        let open = ledger.open_orders().map(|(replica, open)| IssuedOrder {
            replica: replica.clone(),
            token: open.token,
            order: open.order.clone(),
        });
        PlacementView {
            fleet: ledger.fleet(),
            open_orders: open.collect(),
            lost_starts: ledger.lost_starts().collect(),
        }
    }

    fn configuration_updates(&self, stored: GatewayConfiguration) -> Vec<ConfigurationUpdate> {
        let ledger = self.member.ledger();
        let revision = ledger.revision();
        if stored.revision > revision || revision.0 == 0 {
            // This member lags behind; a gateway never returns to an older revision.
            return Vec::new();
        }
        if stored.revision == revision {
            let differs = stored
                .digest
                .is_some_and(|digest| digest != content_digest(&ledger.configuration_text()));
            return if differs {
                vec![ledger.configuration_full()]
            } else {
                Vec::new()
            };
        }
        shortest_updates(
            ledger.configuration_updates_since(stored.revision),
            || ledger.configuration_full(),
            ledger.configuration_text().len(),
        )
    }

    /// Proposes an `Expire` command if this member leads and the ledger needs one.
    fn expire_if_due(&mut self) {
        let leads = self.member.is_leader() && self.stop_deadline.is_none();
        if !leads || self.expire_call.is_some() {
            return;
        }
        if self.member.ledger().is_expiry_due(self.clock.wall()) {
            self.expire_call = Some(self.start_call(ControlCall::Propose(CommandBody::Expire)));
        }
    }

    fn handle_outputs(&mut self) {
        for output in self.member.take_outputs() {
            match output {
                MemberOutput::Send { to, message } => self.send(to, message),
                MemberOutput::Answer { call, body } => self.answer(call, body),
                MemberOutput::Notice(notice) => {
                    notices::log(&self.logger, &notice);
                    self.recorder.notice(self.clock.wall(), &notice);
                }
            }
        }
    }

    fn send(&mut self, to: MachineId, mut message: PeerMessage) {
        if let PeerMessage::Forwarded { body, .. } = &mut message {
            self.complete_status(body);
        }
        if let Err(refused) = self.links.send(to, &message) {
            debug!(self.logger, "message not sent"; "machine" => to.0, "cause" => ?refused);
            self.member.undelivered(&message);
        }
    }

    fn answer(&mut self, call: CallId, mut body: ControlAnswer) {
        if self.expire_call == Some(call) {
            self.expire_call = None;
            return;
        }
        self.complete_status(&mut body);
        if let Some(PendingCall { reply, permit }) = self.replies.remove(&call) {
            // The caller may have been cancelled.
            let _ = reply.send(body);
            drop(permit);
        }
    }

    /// On the leader, adds members, gateways and replicas to the ledger's answer to a status
    /// query.
    fn complete_status(&self, body: &mut ControlAnswer) {
        if !self.member.is_leader() {
            return;
        }
        if let ControlAnswer::Answer(QueryAnswer::Status(status)) = body {
            let sessions = self.member.ledger().sessions();
            let now = self.clock.member_time();
            status.members = self.member.view().members;
            self.soft_state
                .lock()
                .complete_status(status, sessions, now);
        }
    }

    fn change_version(&self) -> ChangeVersion {
        let ledger = self.member.ledger();
        ChangeVersion {
            revision: ledger.revision(),
            stopped: ledger.last_stopped(),
        }
    }

    fn publish(&self) {
        self.shared.view.store(Arc::new(self.member.view()));
        let version = self.change_version();
        self.shared.change_sender.send_if_modified(|current| {
            let changed = *current != version;
            *current = version;
            changed
        });
    }

    fn is_stopped(&self) -> bool {
        self.stop_deadline
            .is_some_and(|deadline| !self.member.is_leader() || Instant::now() >= deadline)
    }
}
