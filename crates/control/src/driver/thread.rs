//! The member's thread: takes what has come, lets the member work, and passes
//! its outputs on.

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
    DriverSetup, HAND_OVER_LIMIT,
    input::{ChangeMark, Changes, Held, Input, PendingCall},
    notices,
};
use crate::{
    catch_up::shortest,
    clock::Clock,
    member::{Member, MemberOutput, MemberView},
    peers::PeerLinks,
    record::Recorder,
    soft_state::SharedSoftState,
};

/// Time between two calls of [`Member::tick`].
const TICK: Duration = Duration::from_millis(TICK_MILLISECONDS);
/// Inputs that share one sync at most.
const MAX_INPUTS_PER_SYNC: usize = 512;

/// What the thread shares with tasks.
pub(super) struct Shared {
    pub(super) inputs: mpsc::Receiver<Input>,
    pub(super) view: Arc<ArcSwap<MemberView>>,
    pub(super) marker: watch::Sender<ChangeMark>,
}

/// The thread's state.
pub(super) struct MemberThread {
    member: Member,
    shared: Shared,
    /// Waits for inputs with a time limit; runs nothing else.
    waiting: Runtime,
    clock: Clock,
    links: PeerLinks,
    soft_state: SharedSoftState,
    recorder: Recorder,
    logger: Logger,
    replies: HashMap<CallId, PendingCall>,
    last_call: u64,
    /// The `Expire` command under way.
    expiry: Option<CallId>,
    next_tick: Instant,
    /// When to end although leadership could not be handed over.
    stop_at: Option<Instant>,
    aborted: bool,
}

impl MemberThread {
    /// Opens the member's data folder.
    pub(super) fn open(setup: DriverSetup, shared: Shared) -> Result<Self, Report<ErrorKind>> {
        let waiting = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .build()
            .change_context(ErrorKind::Io)?;
        let time = setup.clock.member_time();
        let files = Arc::new(RealFileSystem::new(&setup.data_dir)?);
        let member = Member::open(setup.settings, files, setup.new_disk, time)?;
        // Only now: the journal's folder would make a blank data folder look foreign.
        let recorder = Recorder::open(&setup.data_dir).change_context(ErrorKind::Io)?;
        let thread = MemberThread {
            member,
            shared,
            waiting,
            clock: setup.clock,
            links: setup.links,
            soft_state: setup.soft_state,
            recorder,
            logger: setup.logger,
            replies: HashMap::new(),
            last_call: 0,
            expiry: None,
            next_tick: Instant::now(),
            stop_at: None,
            aborted: false,
        };
        thread.publish();
        Ok(thread)
    }

    /// The journal in the data folder.
    pub(super) fn recorder(&self) -> Recorder {
        self.recorder.clone()
    }

    /// Works until a planned stop or a failed disk.
    pub(super) fn run(mut self) -> Result<(), Report<ErrorKind>> {
        loop {
            let open = self.take_inputs();
            if self.aborted {
                return Ok(());
            }
            if Instant::now() >= self.next_tick {
                self.next_tick = Instant::now() + TICK;
                self.member.tick(self.clock.member_time());
                self.expire_if_due();
            }
            self.member.flush()?;
            self.pass_outputs_on();
            self.publish();
            if !open || self.is_stopped() {
                return Ok(());
            }
        }
    }

    /// Takes what has come, waiting until the next tick at most, and not at all
    /// while there is work left; `false` when
    /// nobody is left who could send anything.
    fn take_inputs(&mut self) -> bool {
        let wait = if self.member.has_unapplied() {
            Duration::ZERO
        } else {
            self.next_tick.saturating_duration_since(Instant::now())
        };
        let inputs = &mut self.shared.inputs;
        let first = self
            .waiting
            .block_on(async { timeout(wait, inputs.recv()).await });
        match first {
            Err(_) => return true,
            Ok(None) => return false,
            Ok(Some(input)) => self.take(input),
        }
        for _ in 1..MAX_INPUTS_PER_SYNC {
            match self.shared.inputs.try_recv() {
                Ok(input) => self.take(input),
                Err(_) => break,
            }
        }
        true
    }

    fn take(&mut self, input: Input) {
        match input {
            Input::Peer { from, message } => self.member.receive(from, message),
            Input::Call { body, call } => {
                let number = self.start_call(body);
                self.replies.insert(number, call);
            }
            Input::Changes {
                held,
                stopped_after,
                reply,
            } => {
                // The gateway may have gone.
                let _ = reply.send(self.changes(held, stopped_after));
            }
            Input::Placement { reply } => {
                // The driver of placement may have been ended.
                let _ = reply.send(self.placement_view());
            }
            Input::Abort => self.aborted = true,
            Input::Stop => {
                self.stop_at.get_or_insert(Instant::now() + HAND_OVER_LIMIT);
                self.member.hand_leadership_over();
            }
        }
    }

    fn start_call(&mut self, body: ControlCall) -> CallId {
        self.last_call += 1;
        let call = CallId(self.last_call);
        self.member.call(call, body);
        call
    }

    fn changes(&self, held: Held, stopped_after: LogIndex) -> Changes {
        let ledger = self.member.ledger();
        Changes {
            updates: self.configuration_updates(held),
            stopped: ledger.jobs_stopped_since(stopped_after),
            revision: held.revision.max(ledger.revision()),
            told: self.mark().stopped.max(stopped_after),
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
        }
    }

    fn configuration_updates(&self, held: Held) -> Vec<ConfigurationUpdate> {
        let ledger = self.member.ledger();
        let revision = ledger.revision();
        if held.revision > revision || revision.0 == 0 {
            // This member lags; the gateway never steps back.
            return Vec::new();
        }
        if held.revision == revision {
            let differs = held
                .digest
                .is_some_and(|digest| digest != content_digest(&ledger.configuration_text()));
            return if differs {
                vec![ledger.configuration_full()]
            } else {
                Vec::new()
            };
        }
        shortest(
            ledger.configuration_updates_since(held.revision),
            || ledger.configuration_full(),
            ledger.configuration_text().len(),
        )
    }

    /// Lets the leader end what is over.
    fn expire_if_due(&mut self) {
        let leads = self.member.is_leader() && self.stop_at.is_none();
        if !leads || self.expiry.is_some() {
            return;
        }
        if self.member.ledger().is_expiry_due(self.clock.wall()) {
            self.expiry = Some(self.start_call(ControlCall::Propose(CommandBody::Expire)));
        }
    }

    fn pass_outputs_on(&mut self) {
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
        if self.expiry == Some(call) {
            self.expiry = None;
            return;
        }
        self.complete_status(&mut body);
        if let Some(PendingCall { reply, permit }) = self.replies.remove(&call) {
            // The asker may have given up.
            let _ = reply.send(body);
            drop(permit);
        }
    }

    /// Adds to the ledger's answer what the leader knows besides.
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

    fn mark(&self) -> ChangeMark {
        let ledger = self.member.ledger();
        ChangeMark {
            revision: ledger.revision(),
            stopped: ledger.last_stopped(),
        }
    }

    fn publish(&self) {
        self.shared.view.store(Arc::new(self.member.view()));
        let mark = self.mark();
        self.shared.marker.send_if_modified(|told| {
            let changed = *told != mark;
            *told = mark;
            changed
        });
    }

    fn is_stopped(&self) -> bool {
        self.stop_at
            .is_some_and(|limit| !self.member.is_leader() || Instant::now() >= limit)
    }
}
