//! Calls of gateways and operators: carried out here or forwarded to the leader.

use std::collections::BTreeMap;

use linnethitch_consensus::ProposeError;
use linnethitch_errors::ErrorKind;
use linnethitch_protocol::{
    attach::{ControlAnswer, ControlCall, PeerMessage},
    command::{Command, CommandBody, Refusal},
    format::Format,
    frame,
    ids::{CallId, MachineId},
    query::Query,
};

use super::{
    calls::{CallOrigin, WaitingCall, unavailable},
    core::Member,
    output::MemberOutput,
};

impl Member {
    /// Sets the newest format that each machine is known to read. Commands that a member of the
    /// cluster could not read are not proposed.
    pub fn set_peer_formats(&mut self, formats: BTreeMap<MachineId, Format>) {
        self.peer_formats = formats;
    }

    /// Takes a call from the driver. The driver chooses the id, which must not be in use. Each
    /// call is answered once, within the call timeout.
    pub fn call(&mut self, call: CallId, body: ControlCall) {
        let deadline_ms = self.call_deadline();
        if self.calls.is_full() {
            self.answer(
                CallOrigin::Local(call),
                unavailable("too many pending calls"),
            );
            return;
        }
        self.start(WaitingCall {
            call,
            body,
            deadline_ms,
        });
    }

    /// Takes back a message that the driver did not send. A forwarded call is retried, since
    /// it certainly did not reach the other member.
    pub fn undelivered(&mut self, message: &PeerMessage) {
        if let PeerMessage::Forward { call, .. } = message
            && let Some(waiting) = self.calls.take_sent(*call)
        {
            self.calls.add_waiting(waiting);
        }
    }

    pub(super) fn answer(&mut self, origin: CallOrigin, body: ControlAnswer) {
        match origin {
            CallOrigin::Local(call) => self.outputs.push(MemberOutput::Answer { call, body }),
            CallOrigin::Peer { machine, call } => {
                self.send(machine, PeerMessage::Forwarded { call, body });
            }
        }
    }

    /// Takes a call that another member forwarded. A refusal means that nothing was done.
    pub(super) fn receive_forwarded(&mut self, from: MachineId, call: CallId, body: ControlCall) {
        let origin = CallOrigin::Peer {
            machine: from,
            call,
        };
        if !self.node.is_leader() {
            self.answer(origin, unavailable("this member does not lead"));
        } else if self.calls.is_full() {
            self.answer(origin, unavailable("too many pending calls"));
        } else {
            let deadline_ms = self.call_deadline();
            self.serve(origin, body, deadline_ms);
        }
    }

    /// Takes the leader's answer to a forwarded call.
    pub(super) fn receive_answer(&mut self, call: CallId, body: ControlAnswer) {
        let Some(waiting) = self.calls.take_sent(call) else {
            return;
        };
        if is_unavailable(&body) && waiting.deadline_ms > self.time.monotonic_ms {
            // The call had no effect there; another member may lead by now.
            self.calls.add_waiting(waiting);
        } else {
            self.answer(CallOrigin::Local(waiting.call), body);
        }
    }

    pub(super) fn retry_waiting(&mut self) {
        if self.node.leader().is_none() {
            return;
        }
        for waiting in self.calls.take_waiting() {
            self.start(waiting);
        }
    }

    pub(super) fn refuse_read(&mut self, context: u64) {
        if let Some(read) = self.calls.take_unconfirmed(context) {
            self.answer(read.origin, unavailable("leadership was lost"));
        }
    }

    pub(super) fn answer_reads(&mut self) {
        for read in self.calls.take_confirmed(self.applied) {
            let body = self.read(&read.query);
            self.answer(read.origin, body);
        }
    }

    fn call_deadline(&self) -> u64 {
        self.time.monotonic_ms + self.settings.call_timeout_ms
    }

    fn start(&mut self, waiting: WaitingCall) {
        if self.node.is_leader() {
            let origin = CallOrigin::Local(waiting.call);
            self.serve(origin, waiting.body, waiting.deadline_ms);
            return;
        }
        let leader = self.node.leader().map(|member| member.machine);
        match leader.filter(|machine| *machine != self.settings.machine) {
            Some(to) => {
                let body = waiting.body.clone();
                let call = self.calls.add_sent(waiting, to);
                self.send(to, PeerMessage::Forward { call, body });
            }
            None => self.calls.add_waiting(waiting),
        }
    }

    /// Carries a call out as the leader.
    fn serve(&mut self, origin: CallOrigin, body: ControlCall, deadline_ms: u64) {
        match body {
            ControlCall::Query(query) => self.start_read(origin, query, deadline_ms),
            ControlCall::Propose(body) => {
                if let Err(refusal) = self.propose(origin, body, deadline_ms) {
                    self.answer(origin, ControlAnswer::Refused(refusal));
                }
            }
        }
    }

    fn start_read(&mut self, origin: CallOrigin, query: Query, deadline_ms: u64) {
        let context = self.calls.add_read(origin, query, deadline_ms);
        if self.node.read_index(context).is_err() {
            self.refuse_read(context);
        }
    }

    /// Proposes a command; after an error nothing is in the log.
    fn propose(
        &mut self,
        origin: CallOrigin,
        body: CommandBody,
        deadline_ms: u64,
    ) -> Result<(), Refusal> {
        self.check_accepting(&body)?;
        let body = body.in_format(self.command_format()).map_err(|_| {
            Refusal::new(
                ErrorKind::ControlUnavailable,
                "a member of the earlier build could not read the command",
            )
        })?;
        let command = Command {
            now: self.time.wall,
            body,
        };
        let bytes = frame::encode(&command).map_err(|report| {
            Refusal::new(*report.current_context(), "the command cannot be encoded")
        })?;
        let index = self
            .node
            .propose(bytes.into_vec())
            .map_err(|error| refusal_of(&error))?;
        let term = self.node.term();
        if let Some(due) = self.calls.add_proposed(index, term, origin, deadline_ms) {
            self.answer(due.origin, due.body);
        }
        Ok(())
    }

    /// The newest format of commands that every member of the cluster is known to read.
    fn command_format(&self) -> Format {
        let status = self.node.status();
        let membership = &status.membership;
        let members = membership.voters.iter().chain(&membership.learners);
        let others = members.filter(|member| member.machine != self.settings.machine);
        let formats = others.map(|member| self.peer_formats.get(&member.machine).copied());
        formats
            .map(Option::unwrap_or_default)
            .min()
            .unwrap_or(Format::NEWEST)
    }

    /// Refuses a command that could not be stored safely.
    fn check_accepting(&self, body: &CommandBody) -> Result<(), Refusal> {
        let frees_space = matches!(
            body,
            CommandBody::Expire | CommandBody::DeleteFile { .. } | CommandBody::CancelJob { .. }
        );
        if self.disk_full && !frees_space {
            return Err(Refusal::new(
                ErrorKind::StorageFull,
                "the leader's data folder has no space left",
            ));
        }
        let voters = self.node.status().membership.voters.len();
        if voters / 2 + 1 < self.settings.full_quorum() {
            return Err(Refusal::new(
                ErrorKind::ControlUnavailable,
                "the cluster has too few voters to store a change safely",
            ));
        }
        Ok(())
    }

    fn read(&self, query: &Query) -> ControlAnswer {
        match self.ledger.query(query) {
            Ok(answer) => ControlAnswer::Answer(answer),
            Err(refusal) => ControlAnswer::Refused(refusal),
        }
    }
}

fn is_unavailable(body: &ControlAnswer) -> bool {
    matches!(body, ControlAnswer::Refused(refusal) if refusal.kind() == ErrorKind::ControlUnavailable)
}

fn refusal_of(error: &ProposeError) -> Refusal {
    match error {
        ProposeError::NotLeader { .. } => {
            Refusal::new(ErrorKind::ControlUnavailable, "this member does not lead")
        }
        ProposeError::Overloaded => Refusal::new(
            ErrorKind::Overloaded,
            "too many changes wait for a quorum to store them",
        ),
        ProposeError::TooLarge => Refusal::new(
            ErrorKind::BodyTooLarge,
            "the change exceeds the maximum size of a log entry",
        ),
    }
}
