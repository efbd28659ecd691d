//! Calls to the current leader of a group.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use linnethitch_clock::{Instant, sleep, timeout};
use linnethitch_job_store::{StoreCall, StoreReply};
use linnethitch_protocol::ids::MachineId;
use parking_lot::Mutex;

use crate::{
    driver::GroupHandle,
    links::{CallFailed, Links},
    message::{CallBody, RegistryCall, RegistryReply, ReplyBody},
};

/// Time limit for one machine before another is asked.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(700);
/// Pause when no leader is known.
const NO_LEADER_PAUSE: Duration = Duration::from_millis(60);
/// Pause after a leader refused a call because it is overloaded or waits for other members.
const REFUSED_PAUSE: Duration = Duration::from_millis(20);

/// What a reply means for the search for the leader.
pub(crate) enum Verdict {
    /// This is the result of the call.
    Final,
    /// Another machine is the leader, perhaps this one.
    NotLeader(Option<MachineId>),
    /// Nothing was done; the call should be retried.
    Refused,
    /// The call may have been carried out; repeating it is safe.
    Unknown,
}

/// Calls of one group and their replies.
pub(crate) trait GroupCalls: Clone + Send + Sync + 'static {
    type Reply: Send;

    fn to_body(&self) -> CallBody;
    fn from_body(body: ReplyBody) -> Option<Self::Reply>;
    fn verdict(reply: &Self::Reply) -> Verdict;
    /// The reply after a time-out; `sent` if the call may have been carried out.
    fn timed_out(sent: bool) -> Self::Reply;
}

impl GroupCalls for RegistryCall {
    type Reply = RegistryReply;

    fn to_body(&self) -> CallBody {
        CallBody::Registry(self.clone())
    }

    fn from_body(body: ReplyBody) -> Option<RegistryReply> {
        match body {
            ReplyBody::Registry(reply) => Some(reply),
            ReplyBody::Store(_) => None,
        }
    }

    fn verdict(reply: &RegistryReply) -> Verdict {
        match reply {
            RegistryReply::NotLeader(leader) => Verdict::NotLeader(*leader),
            RegistryReply::Refused => Verdict::Refused,
            RegistryReply::Unknown => Verdict::Unknown,
            _ => Verdict::Final,
        }
    }

    fn timed_out(sent: bool) -> RegistryReply {
        if sent {
            RegistryReply::Unknown
        } else {
            RegistryReply::Refused
        }
    }
}

impl GroupCalls for StoreCall {
    type Reply = StoreReply;

    fn to_body(&self) -> CallBody {
        CallBody::Store(self.clone())
    }

    fn from_body(body: ReplyBody) -> Option<StoreReply> {
        match body {
            ReplyBody::Store(reply) => Some(reply),
            ReplyBody::Registry(_) => None,
        }
    }

    fn verdict(reply: &StoreReply) -> Verdict {
        match reply {
            StoreReply::NotLeader(leader) => Verdict::NotLeader(leader.map(MachineId)),
            StoreReply::Refused => Verdict::Refused,
            StoreReply::Unknown => Verdict::Unknown,
            _ => Verdict::Final,
        }
    }

    fn timed_out(sent: bool) -> StoreReply {
        if sent {
            StoreReply::Unknown
        } else {
            StoreReply::Refused
        }
    }
}

/// Finds the leader of a group and calls it.
pub(crate) struct GroupClient<C: GroupCalls> {
    links: Links,
    /// The member on this machine, if there is one.
    local: Option<(MachineId, GroupHandle<C, C::Reply>)>,
    known: Arc<Mutex<LeaderSearch>>,
}

#[derive(Default)]
struct LeaderSearch {
    machines: BTreeSet<MachineId>,
    leader: Option<MachineId>,
    /// The machine that was asked last while no leader was known.
    last_asked: Option<MachineId>,
}

impl<C: GroupCalls> Clone for GroupClient<C> {
    fn clone(&self) -> Self {
        GroupClient {
            links: self.links.clone(),
            local: self.local.clone(),
            known: Arc::clone(&self.known),
        }
    }
}

impl<C: GroupCalls> GroupClient<C> {
    pub(crate) fn new(links: Links, local: Option<(MachineId, GroupHandle<C, C::Reply>)>) -> Self {
        GroupClient {
            links,
            local,
            known: Arc::default(),
        }
    }

    /// Replaces the machines that may be the leader.
    pub(crate) fn set_machines(&self, machines: BTreeSet<MachineId>) {
        self.known.lock().machines = machines;
    }

    /// The machines that may be the leader.
    pub(crate) fn machines(&self) -> BTreeSet<MachineId> {
        self.known.lock().machines.clone()
    }

    /// Calls the leader until it answers or the time limit is reached. A call may be carried out
    /// more than once, so it must be safe to repeat.
    pub(crate) async fn call(&self, call: C, limit: Duration) -> C::Reply {
        let deadline = Instant::now() + limit;
        let mut may_be_done = false;
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return C::timed_out(may_be_done);
            }
            let Some(target) = self.target() else {
                sleep(NO_LEADER_PAUSE.min(remaining)).await;
                continue;
            };
            let attempt = timeout(remaining.min(ATTEMPT_TIMEOUT), self.ask(target, &call)).await;
            match attempt {
                Ok(Ok(reply)) => match C::verdict(&reply) {
                    Verdict::Final => {
                        self.note_leader(Some(target));
                        return reply;
                    }
                    Verdict::NotLeader(leader) => {
                        let leader = leader.filter(|leader| *leader != target);
                        if let Some(leader) = leader {
                            self.links.open_for_calls(leader);
                        }
                        self.note_leader(leader);
                    }
                    Verdict::Refused => sleep(REFUSED_PAUSE.min(remaining)).await,
                    Verdict::Unknown => may_be_done = true,
                },
                Ok(Err(CallFailed::NotSent)) => self.note_leader(None),
                Ok(Err(CallFailed::MayHaveArrived)) | Err(_) => {
                    may_be_done = true;
                    self.note_leader(None);
                }
            }
            if self.known.lock().leader.is_none() {
                sleep(NO_LEADER_PAUSE.min(remaining)).await;
            }
        }
    }

    /// Calls one machine, whether it is the leader or not.
    ///
    /// # Errors
    /// [`CallFailed`] if no reply arrived.
    pub(crate) async fn ask(&self, target: MachineId, call: &C) -> Result<C::Reply, CallFailed> {
        if let Some((own, handle)) = &self.local
            && *own == target
        {
            let (reply, answered) = tokio::sync::oneshot::channel();
            let send = move |body| {
                let _ = reply.send(body);
            };
            handle.call(call.clone(), Box::new(send)).await;
            return answered.await.map_err(|_| CallFailed::MayHaveArrived);
        }
        let reply = self.links.call(target, call.to_body()).await?;
        C::from_body(reply).ok_or(CallFailed::MayHaveArrived)
    }

    /// The leader, or else the known machines in turn.
    fn target(&self) -> Option<MachineId> {
        let mut known = self.known.lock();
        if let Some(leader) = known.leader {
            return Some(leader);
        }
        let after = known
            .last_asked
            .map_or(0, |last_asked| last_asked.0.wrapping_add(1));
        let next = known.machines.range(MachineId(after)..).next();
        let next = next.or_else(|| known.machines.first()).copied();
        known.last_asked = next;
        next
    }

    /// The leader, if known.
    pub(crate) fn leader(&self) -> Option<MachineId> {
        self.known.lock().leader
    }

    fn note_leader(&self, leader: Option<MachineId>) {
        self.known.lock().leader = leader;
    }
}
