//! The closed list of reasons that decisions give.
//!
//! Journals and `linnethitch explain` carry these codes; each has one
//! sentence for a person.

use std::fmt;

/// Declares the codes and their descriptions in one place.
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

            /// The stable text of the code.
            #[must_use]
            pub const fn as_str(self) -> &'static str {
                match self { $( ReasonCode::$name => $code, )+ }
            }

            /// One sentence for a person.
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
    /// Every replica of the gateway's own zone was slower than another zone's by more than the spill limit.
    ZoneSpill => "zone_spill";
    /// The gateway's own zone has no replica that takes work.
    ZoneWithoutReplica => "zone_without_replica";
    /// Only one replica could take the request.
    OnlyCandidate => "only_candidate";
    /// Every replica was ejected, so one of them was tried all the same.
    AllEjected => "all_ejected";
    /// The model or service has no replica at all.
    UnknownTarget => "unknown_target";
    /// The replica's zone is evacuated, or those of all replicas that serve the target.
    ZoneEvacuated => "zone_evacuated";
    /// Replicas exist, but each is leaving, has failed or was already tried.
    NoReplicaTakesWork => "no_replica_takes_work";
    /// No replica has loaded the version or adapter.
    NotLoaded => "not_loaded";
    /// No replica would give a first token before the deadline.
    DeadlineTooClose => "deadline_too_close";
    /// Every replica has as many requests as it runs at once.
    Saturated => "saturated";
    /// The request was admitted at once.
    Admitted => "admitted";
    /// The request waits in the gateway's queue.
    Queued => "queued";
    /// The gateway's queue is full.
    QueueFull => "queue_full";
    /// The request would not leave the gateway's queue in time.
    QueueTooSlow => "queue_too_slow";
    /// The request waited in the gateway's queue for as long as it may.
    QueueTimeout => "queue_timeout";
    /// The tenant's requests per second are used up.
    RequestRate => "request_rate";
    /// The tenant's tokens per second are used up.
    TokenRate => "token_rate";
    /// The tenant has as many requests in flight as it may.
    InFlight => "in_flight";
    /// The attempt failed before anything ran and was made again.
    RetriedUnstarted => "retried_unstarted";
    /// The attempt may have run, but the request may be repeated.
    RetriedRepeatable => "retried_repeatable";
    /// The stream broke and went on at another replica after the tokens already delivered.
    ResumedElsewhere => "resumed_elsewhere";
    /// The request must run at most once and may have started.
    AtMostOnce => "at_most_once";
    /// The retry budget is used up.
    RetryBudgetEmpty => "retry_budget_empty";
    /// The request has had all its attempts.
    AttemptsUsedUp => "attempts_used_up";
    /// The deadline leaves no time for another attempt.
    DeadlinePassed => "deadline_passed";
    /// The answer is final; another attempt would get the same.
    FinalAnswer => "final_answer";
    /// Bytes of an answer that cannot be resumed had already gone to the caller.
    PartlyDelivered => "partly_delivered";
    /// Consecutive failures took the replica out for a while.
    Ejected => "ejected";
    /// The replica could not be connected to.
    Unreachable => "unreachable";
    /// The replica has shown no sign of life for too long with work on it.
    Silent => "silent";
    /// The platform's list says that the replica is leaving.
    LeavingByList => "leaving_by_list";
    /// The replica itself said on the data path that it is leaving.
    LeavingByDataPath => "leaving_by_data_path";
    /// Online work on the replica rose, so batch work left it.
    YieldedToOnline => "yielded_to_online";
    /// The capacity grant for batch work ended.
    GrantExpired => "grant_expired";
    /// The item's lease or the gateway's session ended, so its run was stopped.
    LeaseEnded => "lease_ended";
    /// The item's job was cancelled, so its run was stopped.
    JobCancelled => "job_cancelled";
    /// The caller went away, so its request was stopped.
    CallerGone => "caller_gone";
    /// The request was answered in full.
    Answered => "answered";
    /// The replica has idle capacity for batch work.
    IdleCapacity => "idle_capacity";
    /// The replica's load report is too old to grant capacity on it.
    ReportTooOld => "report_too_old";
    /// A replica runs fewer of a model than the fleet file wants.
    PlacementMissing => "placement_missing";
    /// The replica runs an older version than the fleet file wants.
    VersionBehind => "version_behind";
    /// The replica lacks an adapter that the fleet file names.
    AdapterMissing => "adapter_missing";
    /// The replica's role differs from the wanted one.
    RoleDiffers => "role_differs";
    /// The change waits because capacity must not fall further now.
    CapacityGuard => "capacity_guard";
    /// The change waits for the weight store.
    WeightStoreBusy => "weight_store_busy";
    /// The weight store did not answer.
    WeightStoreUnreachable => "weight_store_unreachable";
    /// The weight store has begun to bring the weights to the machine.
    WeightsReserved => "weights_reserved";
    /// The engine accepted the order.
    OrderAccepted => "order_accepted";
    /// The engine shows the order's effect.
    OrderInEffect => "order_in_effect";
    /// The engine has seen an order with a higher token.
    OrderFenced => "order_fenced";
    /// The engine will not carry the order out.
    OrderRefused => "order_refused";
    /// The order came to nothing for too long.
    OrderTimedOut => "order_timed_out";
    /// The fleet file no longer wants what the order would do.
    OrderOutdated => "order_outdated";
    /// The engine does not have an earlier leader's order, so it was issued again in the new term.
    OrderTakenOver => "order_taken_over";
    /// The replica is dead or no longer on the platform's list.
    ReplicaGone => "replica_gone";
    /// The platform's list was empty although replicas answer, so it was passed over.
    ListEmpty => "list_empty";
}

impl ReasonCode {
    /// The code with the given stable text, if there is one.
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
