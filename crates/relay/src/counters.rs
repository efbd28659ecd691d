//! Metrics of a gateway.

use std::time::Duration;

use linnethitch_cluster::{DatagramBytes, Direction};
use linnethitch_protocol::slots::SlotLoad;
use prometheus_client::{
    encoding::{EncodeLabelSet, EncodeLabelValue, text::encode},
    metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
    registry::Registry,
};

use crate::{connections::OpenReason, counted_stream::ReplicaBytes, deferred_items::DeferReason};

/// Upper bounds of the latency buckets, in seconds.
const LATENCY_BUCKETS: [f64; 12] = [
    0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.5, 3.0, 6.0, 12.0,
];

/// Upper bounds of the buckets of permit waits, in seconds.
const QUOTA_BUCKETS: [f64; 8] = [0.0001, 0.0005, 0.001, 0.002, 0.004, 0.008, 0.016, 0.03];

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub(crate) enum RequestEnd {
    /// Answered with a replica's response.
    Served,
    /// Refused; the request did not run.
    Refused,
    /// Refused: suspected of ending replicas.
    EndsReplicas,
    /// Refused: all replicas that could serve it are in evacuated zones.
    Evacuated,
    /// Refused: no replica that could serve it is in its home regions.
    OutsideHomes,
    /// Refused: no key, or a key that is not known here.
    KeyRefused,
    /// Refused: over the tenant's limit.
    OverLimit,
    /// Refused: the buffers for slow readers, or the memory for bodies, are full.
    NoRoom,
    /// Refused: this gateway may stop before the request is answered.
    Stopping,
    /// Refused: not known which software began the stream that it takes up.
    StreamUnknown,
    /// Refused: no replica of the software that began its stream takes work.
    VersionGone,
    /// Sent, but without a complete response.
    Failed,
}

/// How an attempt to take a stream up again ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub(crate) enum TakeUpOutcome {
    /// It goes on at the software that began it.
    Resumed,
    /// Refused: not known what began it.
    Unknown,
    /// Refused or cut: no replica of the software that began it takes work.
    VersionGone,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub(crate) enum ItemEnd {
    /// With a complete response.
    Succeeded,
    /// The replica failed the item or rejected it as unprocessable.
    Failed,
    /// Preempted by an online request, or interrupted by its replica.
    Interrupted,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RequestLabels {
    route: String,
    end: RequestEnd,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ReplicaLabels {
    zone: String,
    way: Direction,
}

/// Use of coordinated slots.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
enum SlotUse {
    /// All slots, including free slots.
    All,
    /// Online requests.
    Online,
    /// Batch items.
    Items,
    /// Online requests that wait for a slot.
    Waiting,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct SlotLabels {
    used_by: SlotUse,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ConnectionLabels {
    reason: OpenReason,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct TakeUpLabels {
    outcome: TakeUpOutcome,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ItemLabels {
    end: ItemEnd,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct DeferLabels {
    reason: DeferReason,
}

/// Metrics since the start of the process.
pub(crate) struct Counters {
    registry: Registry,
    requests: Family<RequestLabels, Counter>,
    items: Family<ItemLabels, Counter>,
    /// Sends after the first.
    pub(crate) retries: Counter,
    /// Streams resumed at another replica.
    pub(crate) resumes: Counter,
    take_ups: Family<TakeUpLabels, Counter>,
    /// Items whose events were dropped because no replica of their software is coordinated here.
    pub(crate) items_begun_anew: Counter,
    /// Leased items for which the route table here has no batch route.
    pub(crate) items_without_route: Counter,
    deferred_items: Family<DeferLabels, Gauge>,
    oldest_deferred_ms: Family<DeferLabels, Gauge>,
    /// Records of streams that are kept here.
    pub(crate) stream_records: Gauge,
    connections: Family<ConnectionLabels, Counter>,
    replica_bytes: Family<ReplicaLabels, Counter>,
    first_byte: Histogram,
    slot_wait: Histogram,
    quota_wait: Histogram,
    /// Permit requests that no coordinator answered in time.
    pub(crate) quota_unanswered: Counter,
    slots: Family<SlotLabels, Gauge>,
    /// Replicas that are known here to be cold.
    pub(crate) cold_replicas: Gauge,
    /// Requests sent to replicas that were not warm.
    pub(crate) cold_sends: Counter,
    /// Requests that were not sent to a replica because it is cold.
    pub(crate) cold_turned_away: Counter,
    /// The version of the route table in force.
    pub(crate) table_version: Gauge,
    /// Replicas that may be given new work.
    pub(crate) ready_replicas: Gauge,
    /// Zones that are evacuated.
    pub(crate) evacuated_zones: Gauge,
    /// Ready replicas in evacuated zones.
    pub(crate) evacuated_replicas: Gauge,
    /// Sends that were stopped because the replica's zone was evacuated after the choice.
    pub(crate) evacuated_sends: Counter,
    /// Sends that were stopped because the replica was no longer in the request's homes.
    pub(crate) outside_homes_sends: Counter,
    /// Requests that are suspected of ending replicas.
    pub(crate) suspected_requests: Gauge,
    /// Time since the last contact with a control member, in milliseconds.
    pub(crate) control_silent_ms: Gauge,
    /// Maximum age of the fleet view of this gateway, in milliseconds.
    pub(crate) knowledge_age_ms: Gauge,
    /// Bytes of requests and responses that are buffered.
    pub(crate) held_bytes: Gauge,
    /// Control members to which links are open.
    pub(crate) control_links: Gauge,
    /// Gateways that share tenant limits, and further gateways that are silent but may still be
    /// running.
    pub(crate) listed_gateways: Gauge,
    pub(crate) silent_gateways: Gauge,
}

impl Default for Counters {
    fn default() -> Self {
        let mut counters = Counters {
            registry: Registry::with_prefix("linnethitch"),
            requests: Family::default(),
            items: Family::default(),
            retries: Counter::default(),
            resumes: Counter::default(),
            take_ups: Family::default(),
            items_begun_anew: Counter::default(),
            items_without_route: Counter::default(),
            deferred_items: Family::default(),
            oldest_deferred_ms: Family::default(),
            stream_records: Gauge::default(),
            connections: Family::default(),
            replica_bytes: Family::default(),
            first_byte: Histogram::new(LATENCY_BUCKETS),
            slot_wait: Histogram::new(LATENCY_BUCKETS),
            quota_wait: Histogram::new(QUOTA_BUCKETS),
            quota_unanswered: Counter::default(),
            slots: Family::default(),
            cold_replicas: Gauge::default(),
            cold_sends: Counter::default(),
            cold_turned_away: Counter::default(),
            table_version: Gauge::default(),
            ready_replicas: Gauge::default(),
            evacuated_zones: Gauge::default(),
            evacuated_replicas: Gauge::default(),
            evacuated_sends: Counter::default(),
            outside_homes_sends: Counter::default(),
            suspected_requests: Gauge::default(),
            control_silent_ms: Gauge::default(),
            knowledge_age_ms: Gauge::default(),
            held_bytes: Gauge::default(),
            control_links: Gauge::default(),
            listed_gateways: Gauge::default(),
            silent_gateways: Gauge::default(),
        };
        counters.register();
        counters
    }
}

impl Counters {
    /// Metrics that include the datagram bytes of a gateway.
    pub(crate) fn of(datagrams: &DatagramBytes) -> Self {
        let mut counters = Counters::default();
        datagrams.register(&mut counters.registry, "relay_datagram_bytes");
        counters
    }

    fn register(&mut self) {
        let registry = &mut self.registry;
        let requests = self.requests.clone();
        registry.register("relay_requests", "Requests by route and end", requests);
        let items = self.items.clone();
        registry.register("relay_items", "Runs of batch items by end", items);
        let retries = self.retries.clone();
        registry.register("relay_retries", "Sends after the first", retries);
        let resumes = self.resumes.clone();
        registry.register("relay_resumes", "Streams resumed elsewhere", resumes);
        let take_ups = self.take_ups.clone();
        let help = "Streams that callers or gateways took up again, by outcome";
        registry.register("relay_stream_take_ups", help, take_ups);
        let begun_anew = self.items_begun_anew.clone();
        let help = "Items begun anew since no replica of their software was coordinated here";
        registry.register("relay_items_begun_anew", help, begun_anew);
        let without_route = self.items_without_route.clone();
        let help = "Leased items without a batch route in the table in force here";
        registry.register("relay_items_without_route", help, without_route);
        let deferred = self.deferred_items.clone();
        let help = "Leased batch items that do not run at present, by why";
        registry.register("relay_deferred_items", help, deferred);
        let oldest = self.oldest_deferred_ms.clone();
        let help = "Milliseconds for which the first of these items has not run here, by why";
        registry.register("relay_oldest_deferred_item_milliseconds", help, oldest);
        let stream_records = self.stream_records.clone();
        let help = "Records of which software began a stream";
        registry.register("relay_stream_records", help, stream_records);
        let connections = self.connections.clone();
        let help = "Connections opened to replicas, by why";
        registry.register("relay_connections", help, connections);
        let replica_bytes = self.replica_bytes.clone();
        let help = "Bytes of requests to replicas and of their answers, by zone";
        registry.register("relay_replica_bytes", help, replica_bytes);
        let first_byte = self.first_byte.clone();
        let help = "Seconds from a request's arrival to the first byte of its answer";
        registry.register("relay_first_byte_seconds", help, first_byte);
        let slot_wait = self.slot_wait.clone();
        let help = "Seconds from the search for a replica to the lease of a slot";
        registry.register("relay_slot_wait_seconds", help, slot_wait);
        let quota_wait = self.quota_wait.clone();
        let help = "Seconds that a tenant's request waited for leave within its limit";
        registry.register("relay_quota_wait_seconds", help, quota_wait);
        let unanswered = self.quota_unanswered.clone();
        let help = "Requests whose leave no coordinator answered in time";
        registry.register("relay_quota_unanswered", help, unanswered);
        let slots = self.slots.clone();
        let help = "Slots that this gateway coordinates, by who has them; waiting requests";
        registry.register("relay_coordinated_slots", help, slots);
        self.register_cold();
        let registry = &mut self.registry;
        let version = self.table_version.clone();
        registry.register("relay_table_version", "Route table in force", version);
        let ready = self.ready_replicas.clone();
        registry.register("relay_ready_replicas", "Replicas open for work", ready);
        let zones = self.evacuated_zones.clone();
        registry.register("relay_evacuated_zones", "Zones that are evacuated", zones);
        let evacuated = self.evacuated_replicas.clone();
        let help = "Ready replicas in evacuated zones";
        registry.register("relay_evacuated_replicas", help, evacuated);
        let stopped = self.evacuated_sends.clone();
        let help = "Sends stopped since the zone of the replica was evacuated meanwhile";
        registry.register("relay_evacuated_sends", help, stopped);
        let outside = self.outside_homes_sends.clone();
        let help = "Sends stopped since the replica is no longer in the homes";
        registry.register("relay_outside_homes_sends", help, outside);
        let silent = self.control_silent_ms.clone();
        let help = "Milliseconds since a control member was heard of";
        registry.register("relay_control_silent_milliseconds", help, silent);
        let age = self.knowledge_age_ms.clone();
        let help = "Milliseconds since a control member that knew what is in force told no more than is known here";
        registry.register("relay_knowledge_age_milliseconds", help, age);
        let held = self.held_bytes.clone();
        let help = "Bytes of requests and answers that are held for others to read";
        registry.register("relay_held_bytes", help, held);
        let links = self.control_links.clone();
        let help = "Members of control to which this gateway keeps links";
        registry.register("relay_control_links", help, links);
        let listed = self.listed_gateways.clone();
        let help = "Gateways that share the counts of limits, as this one was told";
        registry.register("relay_listed_gateways", help, listed);
        let silent_gateways = self.silent_gateways.clone();
        let help = "Gateways that control does not hear and whose parts of limits are kept back";
        registry.register("relay_silent_gateways", help, silent_gateways);
        let suspected = self.suspected_requests.clone();
        let help = "Requests under which replicas ended and that are suspected";
        registry.register("relay_suspected_requests", help, suspected);
    }

    fn register_cold(&mut self) {
        let registry = &mut self.registry;
        let cold = self.cold_replicas.clone();
        registry.register("relay_cold_replicas", "Replicas that are cold", cold);
        let sends = self.cold_sends.clone();
        let help = "Requests sent to replicas that were cold or not known to be warm";
        registry.register("relay_cold_sends", help, sends);
        let log_refusal = self.cold_turned_away.clone();
        let help = "Requests that were not sent to a replica since it is cold";
        registry.register("relay_cold_turned_away", help, log_refusal);
    }

    pub(crate) fn take_up_ended(&self, outcome: TakeUpOutcome) {
        self.take_ups.get_or_create(&TakeUpLabels { outcome }).inc();
    }

    pub(crate) fn request_ended(&self, route: &str, end: RequestEnd) {
        let labels = RequestLabels {
            route: route.to_owned(),
            end,
        };
        self.requests.get_or_create(&labels).inc();
    }

    /// Updates the number of deferred items and the age of the oldest.
    pub(crate) fn note_deferred_items(&self, reason: DeferReason, number: usize, oldest: Duration) {
        let labels = DeferLabels { reason };
        self.deferred_items
            .get_or_create(&labels)
            .set(number as i64);
        self.oldest_deferred_ms
            .get_or_create(&labels)
            .set(oldest.as_millis() as i64);
    }

    pub(crate) fn item_ended(&self, end: ItemEnd) {
        self.items.get_or_create(&ItemLabels { end }).inc();
    }

    /// Counts bytes to and from the replicas of a zone.
    pub(crate) fn replica_bytes(&self, zone: &str) -> ReplicaBytes {
        let counter = |way| {
            let zone = zone.to_owned();
            let labels = ReplicaLabels { zone, way };
            self.replica_bytes.get_or_create(&labels).clone()
        };
        ReplicaBytes {
            sent: counter(Direction::Sent),
            received: counter(Direction::Received),
        }
    }

    /// Counts a connection that was opened to a replica.
    pub(crate) fn connection_opened(&self, reason: OpenReason) {
        let labels = ConnectionLabels { reason };
        self.connections.get_or_create(&labels).inc();
    }

    pub(crate) fn record_slot_wait(&self, time: Duration) {
        self.slot_wait.observe(time.as_secs_f64());
    }

    pub(crate) fn record_quota_wait(&self, time: Duration) {
        self.quota_wait.observe(time.as_secs_f64());
    }

    /// Updates the use of the slots that this gateway coordinates.
    pub(crate) fn note_slots(&self, loads: &[SlotLoad]) {
        let sum =
            |count: fn(&SlotLoad) -> u16| loads.iter().map(|load| i64::from(count(load))).sum();
        let uses: [(SlotUse, i64); 4] = [
            (SlotUse::All, sum(|load| load.slots)),
            (SlotUse::Online, sum(|load| load.online)),
            (SlotUse::Items, sum(|load| load.items)),
            (SlotUse::Waiting, sum(|load| load.waiting)),
        ];
        for (used_by, count) in uses {
            self.slots.get_or_create(&SlotLabels { used_by }).set(count);
        }
    }

    pub(crate) fn record_first_byte(&self, time: Duration) {
        self.first_byte.observe(time.as_secs_f64());
    }

    /// All metrics in the Prometheus text format.
    #[must_use]
    pub(crate) fn to_text(&self) -> String {
        let mut text = String::new();
        // Writing to a string does not fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}
