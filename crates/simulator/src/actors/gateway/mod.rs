//! A gateway process, which follows the configuration, maintains a session, executes
//! batch items and runs callers' requests.

mod attachment;
mod execution;
mod follower;
pub(crate) mod requests;
mod session;

use linnethitch_gateway::batch::{BatchEvent, BatchSession};
use linnethitch_ledger::Ledger;
use linnethitch_protocol::ids::{GatewayId, Timestamp};
use rand::Rng;

use self::{
    attachment::{Attachment, BatchUpdate},
    execution::Execution,
    requests::Requests,
    session::SessionKeeper,
};
use super::{
    Actor, Context,
    calls::{CallResult, Calls},
};
use crate::{
    checker::Checker,
    machine::START_WALL_MS,
    network::{Address, Packet},
};

/// Interval at which a gateway checks its timers, in milliseconds.
const TICK_MS: u64 = 100;
/// Duration for which a gateway process is down or paused, in milliseconds.
const DOWN_MS: std::ops::Range<u64> = 200..30_000;
/// Limit of the clock skew of a gateway, in milliseconds.
const MAX_SKEW_MS: i64 = 3_000;

/// A call of a gateway to control.
#[derive(Clone, Debug)]
pub(crate) enum GatewayCall {
    /// Opens a session.
    OpenSession,
    /// Renews the session; contains the renewed session.
    RenewSession(BatchSession),
    /// Leases items; contains the sequence number of the lease call.
    Lease(u64),
    /// Marks items as started; contains the executor's number of the call.
    MarkStarted(u64),
    /// Commits results; contains the executor's number of the call.
    Commit(u64),
    /// Releases items; contains the executor's number of the call.
    Release(u64),
    /// Claims the key of a request; contains the attempt.
    Claim(u64),
    /// Finishes a claim; contains the attempt.
    FinishClaim(u64),
}

/// The pending calls of a gateway.
pub(crate) type GatewayCalls = Calls<GatewayCall>;

/// The volatile state of a gateway process.
struct Process {
    calls: GatewayCalls,
    session: SessionKeeper,
    execution: Execution,
    requests: Requests,
}

impl Process {
    fn new(gateway: &GatewayId) -> Self {
        Process {
            calls: Calls::new(),
            session: SessionKeeper::new(gateway.clone()),
            execution: Execution::new(gateway.clone()),
            requests: Requests::new(gateway.clone()),
        }
    }

    fn on_result(
        &mut self,
        now: Timestamp,
        call: GatewayCall,
        result: CallResult,
        context: &mut Context,
    ) {
        match call {
            GatewayCall::OpenSession => self.session.on_opened(now, &result),
            GatewayCall::RenewSession(renewed) => self.session.on_renewed(now, renewed, &result),
            GatewayCall::Claim(attempt) => {
                let calls = &mut self.calls;
                self.requests.on_claimed(attempt, result, calls, context);
            }
            GatewayCall::FinishClaim(attempt) => {
                self.requests.on_finished(attempt, &result, context);
            }
            call => {
                let calls = &mut self.calls;
                self.execution.on_result(now, call, result, calls, context);
            }
        }
    }

    fn tick(&mut self, now: Timestamp, context: &mut Context) {
        for call in self.calls.take_expired(context.now_ms) {
            self.on_result(now, call, CallResult::Unknown, context);
        }
        self.session.check(now, &mut self.calls, context);
        let session = self.session.current(now);
        let calls = &mut self.calls;
        self.execution.tick(now, session, calls, context);
        self.requests.tick(calls, context);
    }
}

/// A gateway: its machine and its process.
pub(crate) struct Gateway {
    id: GatewayId,
    attachment: Attachment,
    process: Process,
    skew_ms: i64,
    /// Time until which the process is down or paused, in milliseconds.
    unavailable_until_ms: u64,
}

impl Gateway {
    /// Creates a gateway with a blank disk.
    pub(crate) fn new(name: String, disk_seed: u64) -> Self {
        let id = GatewayId(name.clone());
        let skew_ms = disk_seed.cast_signed() % MAX_SKEW_MS;
        Gateway {
            attachment: Attachment::new(name, disk_seed),
            process: Process::new(&id),
            skew_ms,
            unavailable_until_ms: 0,
            id,
        }
    }

    fn now(&self, context: &Context) -> Timestamp {
        Timestamp((START_WALL_MS + context.now_ms).saturating_add_signed(self.skew_ms))
    }

    fn on_update(&mut self, now: Timestamp, update: BatchUpdate, context: &mut Context) {
        let event = match update {
            BatchUpdate::Pending(pending) => BatchEvent::Pending(pending),
            BatchUpdate::Cancelled(jobs) => BatchEvent::JobsCancelled(jobs),
            BatchUpdate::Nothing => return,
        };
        let process = &mut self.process;
        process
            .execution
            .handle(now, event, &mut process.calls, context);
    }
}

impl Actor for Gateway {
    fn wake(&mut self, context: &mut Context) {
        if context.now_ms < self.unavailable_until_ms {
            return;
        }
        let now = self.now(context);
        self.attachment.check(context);
        self.process.tick(now, context);
        context.wake_in(TICK_MS);
    }

    fn receive(&mut self, from: Address, packet: Packet, context: &mut Context) {
        if context.now_ms < self.unavailable_until_ms {
            return;
        }
        let now = self.now(context);
        match packet {
            Packet::Attached {
                connection,
                sequence,
                message,
            } => {
                let attachment = &mut self.attachment;
                let update = attachment.receive(from, connection, sequence, message, context);
                self.on_update(now, update, context);
            }
            Packet::Answer { number, body } => {
                if let Some((call, result)) = self.process.calls.take_answer(number, body) {
                    self.process.on_result(now, call, result, context);
                }
            }
            Packet::Request(request) => {
                let Process {
                    calls,
                    session,
                    requests,
                    ..
                } = &mut self.process;
                let session = session.current(now);
                requests.receive(from, request, session, calls, context);
            }
            _ => {}
        }
    }

    /// Either kills the process, which restarts later, or pauses it, so that it continues with
    /// its state in memory.
    fn kill(&mut self, context: &mut Context) {
        if context.now_ms < self.unavailable_until_ms {
            return;
        }
        let unavailable_ms = context.random.random_range(DOWN_MS);
        self.unavailable_until_ms = context.now_ms + unavailable_ms;
        context.wake_in(unavailable_ms);
        if context.random.random_bool(0.5) {
            let machine_stops = context.random.random_bool(0.5);
            self.attachment.restart(machine_stops, context.checker);
            let calls = std::mem::replace(&mut self.process, Process::new(&self.id)).calls;
            self.process.calls = calls.restarted();
        }
    }

    fn open_work(&self, checker: &Checker) -> Option<String> {
        let attachment_work = self.attachment.open_work(checker);
        attachment_work.or_else(|| {
            let Process {
                execution,
                requests,
                ..
            } = &self.process;
            let process_work = execution.unfinished().or_else(|| requests.unfinished());
            process_work.map(|what| format!("gateway {} has {what}", self.id))
        })
    }

    fn check_after_recovery(&mut self, ledger: &Ledger, checker: &mut Checker) {
        self.attachment.check_after_recovery(ledger, checker);
    }
}
