//! The bounded queue of online requests in front of the router.
//!
//! Requests that find no free capacity wait here, with weighted fair queueing
//! between tenants. A request is refused immediately if the queue is full or the
//! expected wait exceeds its deadline or the queue timeout.

use std::collections::{BTreeMap, HashMap};

use linnethitch_config::fleet::RoutingPolicy;
use linnethitch_errors::ErrorKind;
use linnethitch_protocol::ids::Timestamp;

use crate::{limits::TenantNumber, reason::ReasonCode};

/// Weight of a new interval in the moving average of the time between departures.
const DEPARTURE_WEIGHT: f64 = 0.1;

/// Upper bound of an interval between departures in the average, in milliseconds.
const MAX_DEPARTURE_INTERVAL_MS: f64 = 1_000.0;

/// Assumed interval between departures before the first is observed, in milliseconds.
const INITIAL_DEPARTURE_INTERVAL_MS: f64 = 10.0;

/// Minimum `retry_after_ms` of a refusal.
const MIN_RETRY_AFTER_MS: u64 = 1_000;

/// Maximum `retry_after_ms` of a refusal.
const MAX_RETRY_AFTER_MS: u64 = 30_000;

/// Fixed-point unit of virtual time, so that a cost divided by a weight does not round to zero.
const VIRTUAL_UNIT: u64 = 1 << 20;

/// A request that asks to start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// The tenant of the request.
    pub tenant: TenantNumber,
    /// The tenant's weight, at least 1.
    pub weight: u32,
    /// Cost for fair queueing, such as prompt plus expected output tokens.
    pub cost: u32,
    /// The request must start by this time.
    pub deadline: Timestamp,
}

/// Id of a queued request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct EntryId(pub u64);

/// Outcome of offering an arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionOutcome {
    /// The request may start now.
    Now,
    /// The request is queued.
    Queued(EntryId),
    /// The request is refused and must not run.
    Refused(AdmissionRefusal),
}

/// Why an arrival is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionRefusal {
    /// The reason.
    pub reason: ReasonCode,
    /// How long the caller should wait before a retry, in milliseconds.
    pub retry_after_ms: u64,
}

impl AdmissionRefusal {
    /// The error kind reported to the caller.
    #[must_use]
    pub const fn kind(&self) -> ErrorKind {
        ErrorKind::Overloaded
    }
}

/// Order of departure: virtual finish time, then order of arrival.
type DepartureOrder = (u64, u64);

#[derive(Clone, Copy, Debug)]
struct QueuedRequest {
    order: DepartureOrder,
    expires_at: Timestamp,
    tenant: TenantNumber,
}

/// The bounded, fair queue.
#[derive(Clone, Debug)]
pub struct Admission {
    max_waiting: usize,
    timeout_ms: u64,
    entries: HashMap<EntryId, QueuedRequest>,
    by_order: BTreeMap<DepartureOrder, EntryId>,
    by_expiry: BTreeMap<(Timestamp, EntryId), ()>,
    tenant_queues: HashMap<TenantNumber, TenantQueue>,
    virtual_time: u64,
    next_entry: u64,
    departure_interval_ms: f64,
    last_departure: Option<Timestamp>,
}

#[derive(Clone, Copy, Debug, Default)]
struct TenantQueue {
    last_finish: u64,
    waiting: u32,
}

impl Admission {
    /// An empty queue with the limits of the given policy.
    #[must_use]
    pub fn new(policy: &RoutingPolicy) -> Self {
        Admission {
            max_waiting: policy.queue_limit as usize,
            timeout_ms: policy.queue_timeout_ms,
            entries: HashMap::new(),
            by_order: BTreeMap::new(),
            by_expiry: BTreeMap::new(),
            tenant_queues: HashMap::new(),
            virtual_time: 0,
            next_entry: 0,
            departure_interval_ms: INITIAL_DEPARTURE_INTERVAL_MS,
            last_departure: None,
        }
    }

    /// Applies the policy of a new configuration; waiting requests stay queued.
    pub fn set_policy(&mut self, policy: &RoutingPolicy) {
        self.max_waiting = policy.queue_limit as usize;
        self.timeout_ms = policy.queue_timeout_ms;
    }

    /// Number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Expected wait of a request queued now, in milliseconds.
    #[must_use]
    pub fn expected_wait_ms(&self) -> f64 {
        (self.entries.len() as f64 + 1.0) * self.departure_interval_ms
    }

    /// Admits, queues or refuses an arrival. `has_capacity` states whether a back end has free
    /// capacity now.
    pub fn offer(
        &mut self,
        now: Timestamp,
        arrival: &Arrival,
        has_capacity: bool,
    ) -> AdmissionOutcome {
        if has_capacity && self.entries.is_empty() {
            return AdmissionOutcome::Now;
        }
        if self.entries.len() >= self.max_waiting {
            return AdmissionOutcome::Refused(self.refusal(ReasonCode::QueueFull));
        }
        let expires_at = Timestamp(now.0 + self.timeout_ms).min(arrival.deadline);
        let remaining_ms = expires_at.0.saturating_sub(now.0);
        if self.expected_wait_ms() > remaining_ms as f64 {
            return AdmissionOutcome::Refused(self.refusal(ReasonCode::QueueTooSlow));
        }
        AdmissionOutcome::Queued(self.insert(arrival, expires_at, now))
    }

    fn insert(&mut self, arrival: &Arrival, expires_at: Timestamp, now: Timestamp) -> EntryId {
        if self.entries.is_empty() {
            self.last_departure = Some(now);
        }
        let id = EntryId(self.next_entry);
        self.next_entry += 1;
        let queue = self.tenant_queues.entry(arrival.tenant).or_default();
        let start = queue.last_finish.max(self.virtual_time);
        let scaled_cost =
            u64::from(arrival.cost.max(1)) * VIRTUAL_UNIT / u64::from(arrival.weight.max(1));
        queue.last_finish = start + scaled_cost;
        queue.waiting += 1;
        let order = (queue.last_finish, id.0);
        self.by_order.insert(order, id);
        self.by_expiry.insert((expires_at, id), ());
        self.entries.insert(
            id,
            QueuedRequest {
                order,
                expires_at,
                tenant: arrival.tenant,
            },
        );
        id
    }

    /// The request that starts next.
    #[must_use]
    pub fn peek(&self) -> Option<EntryId> {
        self.by_order.first_key_value().map(|(_, id)| *id)
    }

    /// Removes and returns the request that starts next.
    pub fn pop(&mut self, now: Timestamp) -> Option<EntryId> {
        let (order, id) = self.by_order.first_key_value().map(|(o, i)| (*o, *i))?;
        self.virtual_time = self.virtual_time.max(order.0);
        self.remove(id);
        self.observe_departure(now);
        Some(id)
    }

    fn observe_departure(&mut self, now: Timestamp) {
        if let Some(last) = self.last_departure {
            let interval = (now.0.saturating_sub(last.0) as f64).min(MAX_DEPARTURE_INTERVAL_MS);
            self.departure_interval_ms +=
                DEPARTURE_WEIGHT * (interval - self.departure_interval_ms);
        }
        self.last_departure = Some(now);
    }

    /// Removes a request whose caller disconnected; returns whether it was waiting.
    pub fn cancel(&mut self, id: EntryId) -> bool {
        self.remove(id)
    }

    fn remove(&mut self, id: EntryId) -> bool {
        let Some(entry) = self.entries.remove(&id) else {
            return false;
        };
        self.by_order.remove(&entry.order);
        self.by_expiry.remove(&(entry.expires_at, id));
        if let Some(queue) = self.tenant_queues.get_mut(&entry.tenant) {
            queue.waiting -= 1;
            if queue.waiting == 0 {
                self.tenant_queues.remove(&entry.tenant);
            }
        }
        true
    }

    /// Removes one request whose queue time has expired; call until it returns `None`.
    pub fn pop_expired(&mut self, now: Timestamp) -> Option<(EntryId, AdmissionRefusal)> {
        let ((expires_at, id), ()) = self.by_expiry.first_key_value().map(|(k, v)| (*k, *v))?;
        if expires_at > now {
            return None;
        }
        self.remove(id);
        Some((id, self.refusal(ReasonCode::QueueTimeout)))
    }

    /// When [`Admission::pop_expired`] returns the next request.
    #[must_use]
    pub fn next_expiry(&self) -> Option<Timestamp> {
        self.by_expiry.first_key_value().map(|((at, _), ())| *at)
    }

    fn refusal(&self, reason: ReasonCode) -> AdmissionRefusal {
        let wait_ms = self.expected_wait_ms() as u64;
        AdmissionRefusal {
            reason,
            retry_after_ms: wait_ms.clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS),
        }
    }
}
