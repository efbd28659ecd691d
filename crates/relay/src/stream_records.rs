//! Which software began each resumable stream: records of streams served here, and of those that
//! other gateways serve and may lose.

use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

use linnethitch_clock::{Instant, timeout_at};
use linnethitch_cluster::{Clock, GatewayNode};
use linnethitch_protocol::{ids::MachineId, slots::GatewayDatagram, streams::StreamRecord};
use linnethitch_registry::{FleetView, ReplicaDifference, Route, RouteTable};
use linnethitch_routing::streams::{
    RouteHistory, RouteKey, SoftwareHistory, StreamTable, record_candidates, record_holders,
};
use parking_lot::Mutex;
use tokio::sync::mpsc;

/// Maximum time for finding a record; longer than two round trips between regions.
const FIND_TIMEOUT: Duration = Duration::from_millis(400);
/// A question is sent again after this time: datagrams may be lost.
const FIND_RESEND_AFTER: Duration = Duration::from_millis(150);
/// Maximum length of a stream's id, in bytes; longer ids are not recorded.
const MAX_STREAM_ID_BYTES: usize = 128;
/// Maximum age of the view of the fleet from which the only version of a service is concluded, in
/// milliseconds.
const MAX_VIEW_AGE_MS: u64 = 1_000;
/// Time for which a stream may be taken up again after it began, in milliseconds, if its caller
/// named no deadline. A service that had one version for as long began all its streams.
pub(crate) const STREAM_LIFETIME_MS: u64 = 60_000;

/// Where the record of a stream was found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RecordSource {
    /// This gateway.
    Own,
    /// Another gateway.
    Gateway,
    /// There is no record, and the route has led to one version only.
    OnlyVersion,
}

impl RecordSource {
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            RecordSource::Own => "own",
            RecordSource::Gateway => "gateway",
            RecordSource::OnlyVersion => "only version",
        }
    }
}

/// Records of streams of one gateway.
pub(crate) struct StreamRecords {
    gateway: GatewayNode,
    zone: String,
    clock: Clock,
    state: Mutex<State>,
}

/// The answer of a gateway to a question for a record.
type Answer = (MachineId, Option<StreamRecord>);

#[derive(Default)]
struct State {
    table: StreamTable,
    history: SoftwareHistory,
    routes: RouteHistory,
    /// Questions to other gateways without an answer from all of them.
    questions: HashMap<u64, mpsc::Sender<Answer>>,
    last_number: u64,
}

impl StreamRecords {
    pub(crate) fn new(gateway: GatewayNode, zone: &str) -> Self {
        StreamRecords {
            zone: zone.to_owned(),
            clock: gateway.clock(),
            gateway,
            state: Mutex::default(),
        }
    }

    /// Records what began a stream, here and at the gateways that keep it over the loss of this
    /// one. Does not wait for them: a stream without a record is not continued.
    pub(crate) fn began(&self, record: StreamRecord) {
        if record.stream.len() > MAX_STREAM_ID_BYTES {
            return;
        }
        let now_ms = self.clock.now_ms();
        let placed = self.gateway.placed_coordinators();
        let gateways = placed.iter();
        let gateways = gateways.map(|gateway| (gateway.machine, gateway.place.zone.as_str()));
        let own = (self.gateway.machine(), self.zone.as_str());
        let holders = record_holders(&record.stream, own, gateways);
        self.state.lock().table.put(record.clone(), now_ms);
        let message = GatewayDatagram::StreamBegan(Box::new(record));
        self.gateway.send_to_gateways(&holders, &message);
    }

    /// The record of a stream, its age in milliseconds, and where it was found.
    pub(crate) async fn find(&self, stream: &str) -> Option<(StreamRecord, u64, RecordSource)> {
        let now_ms = self.clock.now_ms();
        let own = self.state.lock().table.get(stream, now_ms);
        if let Some((record, age_ms)) = own {
            return Some((record, age_ms, RecordSource::Own));
        }
        if stream.len() > MAX_STREAM_ID_BYTES {
            return None;
        }
        let record = self.ask_others(stream).await?;
        let now_ms = self.clock.now_ms();
        self.state.lock().table.put(record.clone(), now_ms);
        Some((record, 0, RecordSource::Gateway))
    }

    /// Asks the gateways that may have the record. The first record counts: all copies are equal.
    async fn ask_others(&self, stream: &str) -> Option<StreamRecord> {
        let asked = {
            let placed = self.gateway.placed_coordinators();
            let gateways = placed.iter();
            let gateways = gateways.map(|gateway| (gateway.machine, gateway.place.zone.as_str()));
            record_candidates(stream, self.gateway.machine(), gateways)
        };
        if asked.is_empty() {
            return None;
        }
        let (sender, mut answers) = mpsc::channel(2 * asked.len());
        let question = self.open_question(sender);
        let message = GatewayDatagram::FindStream {
            number: question.number,
            stream: stream.to_owned(),
        };
        let began = Instant::now();
        let mut without_record = HashSet::new();
        for until in [began + FIND_RESEND_AFTER, began + FIND_TIMEOUT] {
            self.gateway.send_to_gateways(&asked, &message);
            while let Ok(answer) = timeout_at(until, answers.recv()).await {
                let (gateway, record) = answer?;
                if record.is_some() {
                    return record;
                }
                without_record.insert(gateway);
                if without_record.len() == asked.len() {
                    return None;
                }
            }
        }
        None
    }

    fn open_question(&self, answers: mpsc::Sender<Answer>) -> Question<'_> {
        let mut state = self.state.lock();
        state.last_number += 1;
        let number = state.last_number;
        state.questions.insert(number, answers);
        Question {
            records: self,
            number,
        }
    }

    /// Handles a message of another gateway about records.
    pub(crate) fn handle_message(&self, from: MachineId, message: GatewayDatagram) {
        let now_ms = self.clock.now_ms();
        match message {
            GatewayDatagram::StreamBegan(record) => {
                self.state.lock().table.put(*record, now_ms);
            }
            GatewayDatagram::FindStream { number, stream } => {
                let found = self.state.lock().table.get(&stream, now_ms);
                let record = found.map(|(record, _)| Box::new(record));
                let answer = GatewayDatagram::StreamFound { number, record };
                self.gateway.send_datagram(from, &answer);
            }
            GatewayDatagram::StreamFound { number, record } => {
                if let Some(question) = self.state.lock().questions.get(&number) {
                    // A question that has ended needs no answer.
                    let _ = question.try_send((from, record.map(|record| *record)));
                }
            }
            _ => {}
        }
    }

    /// Records the software of replicas that are or were listed.
    pub(crate) fn note_software<'a>(
        &self,
        differences: impl Iterator<Item = ReplicaDifference<'a>>,
    ) {
        let now_ms = self.clock.now_ms();
        let mut state = self.state.lock();
        state.history.remove_older(STREAM_LIFETIME_MS, now_ms);
        for difference in differences {
            let records = [difference.before, difference.now].into_iter().flatten();
            for reported in records.map(|record| &record.reported) {
                let software = reported.software.as_deref();
                state.history.record(&reported.service, software, now_ms);
            }
        }
    }

    /// Records the routes of a table that comes into force.
    pub(crate) fn note_routes(&self, table: &RouteTable) {
        let now_ms = self.clock.now_ms();
        let routes = table.routes.iter().map(|route| {
            let backends = route.backends.iter();
            let services = backends.map(|backend| backend.service.clone());
            (route_key(route), services.collect())
        });
        self.state.lock().routes.record(routes, now_ms);
    }

    /// The service and its only version that can have begun a stream of a route, if this gateway
    /// is sure that there was no other one for as long as a stream lives.
    pub(crate) fn only_origin(&self, route: &Route, fleet: &FleetView) -> Option<(String, String)> {
        let [only] = route.backends.as_slice() else {
            return None;
        };
        let service = only.service.as_str();
        if self.gateway.knowledge_age_ms() > MAX_VIEW_AGE_MS {
            return None;
        }
        let now_ms = self.clock.now_ms();
        let mut state = self.state.lock();
        let unchanged_ms = state.routes.unchanged_ms(&route_key(route), now_ms)?;
        if unchanged_ms < STREAM_LIFETIME_MS {
            return None;
        }
        let listed = fleet.live_replicas().map(|record| &record.reported);
        for reported in listed.filter(|reported| reported.service == service) {
            let software = reported.software.as_deref();
            state.history.record(service, software, now_ms);
        }
        let only = state
            .history
            .only_version(service, STREAM_LIFETIME_MS, now_ms);
        only.map(|version| (service.to_owned(), version.to_owned()))
    }

    /// Removes records that are no longer of use; returns the number of the others.
    pub(crate) fn run_maintenance(&self) -> usize {
        let now_ms = self.clock.now_ms();
        let mut state = self.state.lock();
        state.table.remove_expired(now_ms);
        state.table.len()
    }
}

fn route_key(route: &Route) -> RouteKey {
    (route.host.clone(), route.path_prefix.clone())
}

/// A question to other gateways; closed on drop.
struct Question<'a> {
    records: &'a StreamRecords,
    number: u64,
}

impl Drop for Question<'_> {
    fn drop(&mut self) {
        self.records.state.lock().questions.remove(&self.number);
    }
}
