//! The closed set of reason codes of decisions.
//!
//! Journals and `linnethitch explain` contain these codes; each code has a
//! one-sentence description for people.

use std::fmt;

/// Declares the codes; the doc comment of each code is its description.
macro_rules! reason_codes {
    ($( $(#[doc = $doc:literal])+ $name:ident => $code:literal; )+) => {
        /// Why a decision was made.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub enum ReasonCode {
            $( $(#[doc = $doc])+ $name, )+
        }

        impl ReasonCode {
            /// Every code, in the order of the reference page.
            pub const ALL: &'static [ReasonCode] = &[ $( ReasonCode::$name, )+ ];

            /// The stable text form of the code.
            #[must_use]
            pub const fn as_str(self) -> &'static str {
                match self { $( ReasonCode::$name => $code, )+ }
            }

            /// One-sentence description for people.
            #[must_use]
            pub const fn description(self) -> &'static str {
                match self { $( ReasonCode::$name => concat!($($doc),+), )+ }
            }
        }
    };
}

reason_codes! {
    /// The replica had the shortest expected wait of those compared.
    ShortestWait => "shortest_wait";
    /// The replica is expected to hold the prompt's prefix in its cache.
    PrefixAffinity => "prefix_affinity";
    /// A replica in another zone had a shorter expected wait than the gateway's own zone, by more than the spill limit.
    ZoneSpill => "zone_spill";
    /// The gateway's own zone has no replica that accepts work.
    ZoneWithoutReplica => "zone_without_replica";
    /// Only one replica could take the request.
    OnlyCandidate => "only_candidate";
    /// Every replica is ejected, so the request was sent to an ejected one.
    AllEjected => "all_ejected";
    /// The model or service has no replica.
    UnknownTarget => "unknown_target";
    /// The zone of the replica, or of every replica that serves the target, is evacuated.
    ZoneEvacuated => "zone_evacuated";
    /// Replicas exist, but each is leaving, has failed or was already tried.
    NoReplicaTakesWork => "no_replica_takes_work";
    /// No replica has loaded the version or adapter.
    NotLoaded => "not_loaded";
    /// No replica is expected to generate the first token before the deadline.
    DeadlineTooClose => "deadline_too_close";
    /// Every replica already runs its maximum number of requests.
    Saturated => "saturated";
    /// The request was admitted immediately.
    Admitted => "admitted";
    /// The request waits in the gateway's queue.
    Queued => "queued";
    /// The gateway's queue is full.
    QueueFull => "queue_full";
    /// The expected wait in the gateway's queue is too long for the request.
    QueueTooSlow => "queue_too_slow";
    /// The request reached the maximum wait in the gateway's queue.
    QueueTimeout => "queue_timeout";
    /// The tenant exceeded its limit of requests per second.
    RequestRate => "request_rate";
    /// The tenant exceeded its limit of tokens per second.
    TokenRate => "token_rate";
    /// The tenant reached its limit of requests in flight.
    InFlight => "in_flight";
    /// The attempt failed before the request started, so the request was retried.
    RetriedUnstarted => "retried_unstarted";
    /// The request may have run, but it may be repeated, so it was retried.
    RetriedRepeatable => "retried_repeatable";
    /// The stream broke and was resumed at another replica after the tokens already delivered.
    ResumedElsewhere => "resumed_elsewhere";
    /// The request must run at most once and may have started.
    AtMostOnce => "at_most_once";
    /// The retry budget is used up.
    RetryBudgetEmpty => "retry_budget_empty";
    /// The request has used all its attempts.
    AttemptsUsedUp => "attempts_used_up";
    /// The deadline leaves no time for another attempt.
    DeadlinePassed => "deadline_passed";
    /// The answer is final; another attempt would get the same answer.
    FinalAnswer => "final_answer";
    /// Part of an answer that cannot be resumed was already sent to the caller.
    PartlyDelivered => "partly_delivered";
    /// The replica was ejected after consecutive failures.
    Ejected => "ejected";
    /// The connection to the replica failed.
    Unreachable => "unreachable";
    /// The replica has requests in flight but has sent nothing for too long.
    Silent => "silent";
    /// The platform's list marks the replica as leaving.
    LeavingByList => "leaving_by_list";
    /// The replica reported on the data path that it is leaving.
    LeavingByDataPath => "leaving_by_data_path";
    /// Online work on the replica increased, so batch work was preempted.
    YieldedToOnline => "yielded_to_online";
    /// The capacity grant for batch work expired.
    GrantExpired => "grant_expired";
    /// The item's lease or the gateway's session ended, so the item was stopped.
    LeaseEnded => "lease_ended";
    /// The item's job was cancelled, so the item was stopped.
    JobCancelled => "job_cancelled";
    /// The caller disconnected, so its request was cancelled.
    CallerGone => "caller_gone";
    /// The request was answered completely.
    Answered => "answered";
    /// The replica has idle capacity for batch work.
    IdleCapacity => "idle_capacity";
    /// The replica's load report is too old to grant capacity on it.
    ReportTooOld => "report_too_old";
    /// Fewer replicas run the model than the fleet file requests.
    PlacementMissing => "placement_missing";
    /// The replica runs a different version than the fleet file requests.
    VersionBehind => "version_behind";
    /// The replica lacks an adapter that the fleet file names.
    AdapterMissing => "adapter_missing";
    /// The replica's role differs from the requested one.
    RoleDiffers => "role_differs";
    /// The change is postponed because serving capacity must not be reduced further now.
    CapacityGuard => "capacity_guard";
    /// The change is postponed until the weight store has free capacity.
    WeightStoreBusy => "weight_store_busy";
    /// The weight store did not answer.
    WeightStoreUnreachable => "weight_store_unreachable";
    /// The weight store has started to transfer the weights to the machine.
    WeightsReserved => "weights_reserved";
    /// The engine accepted the order.
    OrderAccepted => "order_accepted";
    /// The engine's state shows that the order is in effect.
    OrderInEffect => "order_in_effect";
    /// The engine has received an order with a higher fencing token.
    OrderFenced => "order_fenced";
    /// The engine refused the order.
    OrderRefused => "order_refused";
    /// The order did not take effect in time.
    OrderTimedOut => "order_timed_out";
    /// The fleet file no longer requires the order.
    OrderOutdated => "order_outdated";
    /// The engine does not have an order of an earlier leader, so the order was issued again in the new term.
    OrderTakenOver => "order_taken_over";
    /// The replica is dead or no longer on the platform's list.
    ReplicaGone => "replica_gone";
    /// The platform's list was empty although replicas respond, so it was ignored.
    ListEmpty => "list_empty";
}

impl ReasonCode {
    /// The code with the given text form, if there is one.
    #[must_use]
    pub fn from_code(code: &str) -> Option<ReasonCode> {
        Self::ALL
            .iter()
            .copied()
            .find(|reason| reason.as_str() == code)
    }
}

impl fmt::Display for ReasonCode {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}
