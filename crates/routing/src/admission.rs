//! The bounded queue of online requests in front of the router.
//!
//! Requests that find no room wait here, fairly between tenants by weight,
//! and are refused at once when the queue is full or would not serve them in
//! time.

use std::collections::{BTreeMap, HashMap};

use linnethitch_config::fleet::RoutingPolicy;
use linnethitch_errors::ErrorKind;
use linnethitch_protocol::ids::Timestamp;

use crate::{limits::TenantNumber, reason::ReasonCode};

/// Weight of a new interval in the moving average of the time between departures.
const DEPARTURE_WEIGHT: f64 = 0.1;

/// Longest interval between departures that counts, in milliseconds.
const MAX_DEPARTURE_INTERVAL_MS: f64 = 1_000.0;

/// Assumed interval between departures before any was seen, in milliseconds.
const FIRST_DEPARTURE_INTERVAL_MS: f64 = 10.0;

/// Shortest wait that a refused caller is told, in milliseconds.
const MIN_RETRY_AFTER_MS: u64 = 1_000;

/// Longest wait that a refused caller is told, in milliseconds.
const MAX_RETRY_AFTER_MS: u64 = 30_000;

/// Fixed-point unit of virtual time, so that shares divide without rounding to nothing.
const VIRTUAL_UNIT: u64 = 1 << 20;

/// A request that asks to start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Whose.
    pub tenant: TenantNumber,
    /// The tenant's weight, at least 1.
    pub weight: u32,
    /// Its size for fairness, such as prompt and expected output tokens.
    pub cost: u32,
    /// It must have started by then.
    pub deadline: Timestamp,
}

/// A place in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct EntryId(pub u64);

/// What becomes of an arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionOutcome {
    /// It may start now.
    Now,
    /// It waits.
    Queued(EntryId),
    /// It is refused, and not run.
    Refused(AdmissionRefusal),
}

/// Why an arrival is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionRefusal {
    /// Why.
    pub reason: ReasonCode,
    /// When it is worth coming back, in milliseconds.
    pub retry_after_ms: u64,
}

impl AdmissionRefusal {
    /// The error kind that a caller is told.
    #[must_use]
    pub const fn kind(&self) -> ErrorKind {
        ErrorKind::Overloaded
    }
}

/// Order of departure: virtual finish time, then arrival.
type Order = (u64, u64);

#[derive(Clone, Copy, Debug)]
struct Entry {
    order: Order,
    give_up_at: Timestamp,
    tenant: TenantNumber,
}

/// The bounded, fair queue.
#[derive(Clone, Debug)]
pub struct Admission {
    limit: usize,
    timeout_ms: u64,
    entries: HashMap<EntryId, Entry>,
    by_order: BTreeMap<Order, EntryId>,
    by_give_up: BTreeMap<(Timestamp, EntryId), ()>,
    finish_times: HashMap<TenantNumber, TenantQueue>,
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
    /// An empty queue by the given rules.
    #[must_use]
    pub fn new(policy: &RoutingPolicy) -> Self {
        Admission {
            limit: policy.queue_limit as usize,
            timeout_ms: policy.queue_timeout_ms,
            entries: HashMap::new(),
            by_order: BTreeMap::new(),
            by_give_up: BTreeMap::new(),
            finish_times: HashMap::new(),
            virtual_time: 0,
            next_entry: 0,
            departure_interval_ms: FIRST_DEPARTURE_INTERVAL_MS,
            last_departure: None,
        }
    }

    /// Takes over the rules of a new configuration; waiting requests stay.
    pub fn set_policy(&mut self, policy: &RoutingPolicy) {
        self.limit = policy.queue_limit as usize;
        self.timeout_ms = policy.queue_timeout_ms;
    }

    /// Requests waiting.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Expected wait of a request that queued now, in milliseconds.
    #[must_use]
    pub fn expected_wait_ms(&self) -> f64 {
        (self.entries.len() as f64 + 1.0) * self.departure_interval_ms
    }

    /// Admits, queues or refuses an arrival; `room` tells whether a back end has room now.
    pub fn offer(&mut self, now: Timestamp, arrival: &Arrival, room: bool) -> AdmissionOutcome {
        if room && self.entries.is_empty() {
            return AdmissionOutcome::Now;
        }
        if self.entries.len() >= self.limit {
            return AdmissionOutcome::Refused(self.refusal(ReasonCode::QueueFull));
        }
        let give_up_at = Timestamp(now.0 + self.timeout_ms).min(arrival.deadline);
        let left_ms = give_up_at.0.saturating_sub(now.0);
        if self.expected_wait_ms() > left_ms as f64 {
            return AdmissionOutcome::Refused(self.refusal(ReasonCode::QueueTooSlow));
        }
        AdmissionOutcome::Queued(self.insert(arrival, give_up_at, now))
    }

    fn insert(&mut self, arrival: &Arrival, give_up_at: Timestamp, now: Timestamp) -> EntryId {
        if self.entries.is_empty() {
            self.last_departure = Some(now);
        }
        let id = EntryId(self.next_entry);
        self.next_entry += 1;
        let queue = self.finish_times.entry(arrival.tenant).or_default();
        let start = queue.last_finish.max(self.virtual_time);
        let share =
            u64::from(arrival.cost.max(1)) * VIRTUAL_UNIT / u64::from(arrival.weight.max(1));
        queue.last_finish = start + share;
        queue.waiting += 1;
        let order = (queue.last_finish, id.0);
        self.by_order.insert(order, id);
        self.by_give_up.insert((give_up_at, id), ());
        self.entries.insert(
            id,
            Entry {
                order,
                give_up_at,
                tenant: arrival.tenant,
            },
        );
        id
    }

    /// The request that would start next.
    #[must_use]
    pub fn peek(&self) -> Option<EntryId> {
        self.by_order.first_key_value().map(|(_, id)| *id)
    }

    /// Takes out the request that starts next.
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

    /// Takes out a request whose caller went away; tells whether it was waiting.
    pub fn cancel(&mut self, id: EntryId) -> bool {
        self.remove(id)
    }

    fn remove(&mut self, id: EntryId) -> bool {
        let Some(entry) = self.entries.remove(&id) else {
            return false;
        };
        self.by_order.remove(&entry.order);
        self.by_give_up.remove(&(entry.give_up_at, id));
        if let Some(queue) = self.finish_times.get_mut(&entry.tenant) {
            queue.waiting -= 1;
            if queue.waiting == 0 {
                self.finish_times.remove(&entry.tenant);
            }
        }
        true
    }

    /// Takes out one request that has waited as long as it may; call until `None`.
    pub fn pop_expired(&mut self, now: Timestamp) -> Option<(EntryId, AdmissionRefusal)> {
        let ((give_up_at, id), ()) = self.by_give_up.first_key_value().map(|(k, v)| (*k, *v))?;
        if give_up_at > now {
            return None;
        }
        self.remove(id);
        Some((id, self.refusal(ReasonCode::QueueTimeout)))
    }

    /// When [`Admission::pop_expired`] has something to give.
    #[must_use]
    pub fn next_expiry(&self) -> Option<Timestamp> {
        self.by_give_up.first_key_value().map(|((at, _), ())| *at)
    }

    fn refusal(&self, reason: ReasonCode) -> AdmissionRefusal {
        let wait_ms = self.expected_wait_ms() as u64;
        AdmissionRefusal {
            reason,
            retry_after_ms: wait_ms.clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS),
        }
    }
}
