//! Hundreds of control-only gateways on a separate runtime.

use std::{
    net::SocketAddr,
    path::Path,
    sync::Arc,
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use error_stack::{Report, ResultExt};
use linnethitch_errors::ErrorKind;
use linnethitch_gateway::{
    configuration::shared_documents::SharedDocuments, control_only::ControlOnlyGateway,
};
use linnethitch_protocol::ids::{ReplicaId, Timestamp};
use parking_lot::Mutex;
use slog::Logger;
use tokio::{
    runtime::{Builder, Runtime},
    task::JoinHandle,
};

use super::{loads::RandomLoads, processes::gateway_settings};
use crate::{fleet::FleetPlan, usage::cpu_of_threads};

/// Thread name of the runtime; processor time is measured by this name.
const THREAD_NAME: &str = "hollow";
const WORKER_THREADS: usize = 4;
/// Responses that each gateway relays per second at the planned peak: 1,200 per second over
/// 410 gateways.
const RESPONSES_PER_SECOND: f64 = 1_200.0 / 410.0;
/// Time between two rounds of generated load reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(20);
/// Time between two checks of the state of all gateways.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

type Gateways = Arc<Mutex<Vec<Arc<ControlOnlyGateway>>>>;

/// Control-only gateways and the task that generates load reports for them.
pub(super) struct ControlOnlyFleet {
    gateways: Gateways,
    documents: Arc<SharedDocuments>,
    load_reports: JoinHandle<()>,
    runtime: Runtime,
}

/// Resources used so far by all control-only gateways together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct ControlOnlyUsage {
    pub(super) cpu: Duration,
    pub(super) bytes: u64,
    pub(super) frames: u64,
}

impl ControlOnlyFleet {
    /// Starts the runtime without gateways.
    pub(super) fn new(replicas: Vec<ReplicaId>) -> Result<Self, Report<ErrorKind>> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(WORKER_THREADS)
            .thread_name(THREAD_NAME)
            .enable_all()
            .build()
            .change_context(ErrorKind::Io)?;
        let gateways = Gateways::default();
        let load_reports = runtime.spawn(send_load_reports(Arc::clone(&gateways), replicas));
        Ok(ControlOnlyFleet {
            gateways,
            documents: Arc::default(),
            load_reports,
            runtime,
        })
    }

    /// Starts gateways until `count` are running.
    pub(super) fn start_up_to(
        &self,
        count: usize,
        folder: &Path,
        plan: &FleetPlan,
        control: &[SocketAddr],
        logger: &Logger,
    ) -> Result<(), Report<ErrorKind>> {
        let _context = self.runtime.enter();
        for number in self.len()..count {
            let name = format!("hollow-{number}");
            let listen_address = SocketAddr::from(([127, 0, 0, 1], 0));
            let settings = gateway_settings(folder, &name, number, plan, control, listen_address);
            let documents = Arc::clone(&self.documents);
            let gateway = ControlOnlyGateway::start(settings, documents, logger.clone())?;
            self.gateways.lock().push(Arc::new(gateway));
        }
        Ok(())
    }

    pub(super) fn len(&self) -> usize {
        self.gateways.lock().len()
    }

    /// Waits until `condition` is true for every gateway. Returns the time when the wait ended,
    /// or the number of gateways that do not satisfy the condition at the timeout.
    pub(super) fn wait_until_all(
        &self,
        timeout: Duration,
        condition: impl Fn(&ControlOnlyGateway) -> bool,
    ) -> Result<Instant, usize> {
        let deadline = Instant::now() + timeout;
        loop {
            let remaining = self.count(|gateway| !condition(gateway));
            match remaining {
                0 => return Ok(Instant::now()),
                remaining if Instant::now() >= deadline => return Err(remaining),
                _ => thread::sleep(POLL_INTERVAL),
            }
        }
    }

    /// Number of gateways for which `condition` is true.
    pub(super) fn count(&self, condition: impl Fn(&ControlOnlyGateway) -> bool) -> usize {
        let gateways = self.gateways.lock();
        gateways.iter().filter(|gateway| condition(gateway)).count()
    }

    /// Resources used so far by all gateways together.
    pub(super) fn usage(&self) -> Result<ControlOnlyUsage, Report<ErrorKind>> {
        let mut usage = ControlOnlyUsage {
            cpu: cpu_of_threads(THREAD_NAME).change_context(ErrorKind::Io)?,
            ..ControlOnlyUsage::default()
        };
        for gateway in self.gateways.lock().iter() {
            let traffic = gateway.traffic();
            usage.bytes += traffic.sent_bytes() + traffic.received_bytes();
            let traffic_kinds = [traffic.handshake, traffic.gateway, traffic.control];
            usage.frames += traffic_kinds
                .iter()
                .map(|kind| kind.sent_frames + kind.received_frames)
                .sum::<u64>();
        }
        Ok(usage)
    }
}

impl Drop for ControlOnlyFleet {
    fn drop(&mut self) {
        self.load_reports.abort();
    }
}

/// Reports loads to the gateways in turn, as responses to relayed requests would.
async fn send_load_reports(gateways: Gateways, replicas: Vec<ReplicaId>) {
    let mut loads = RandomLoads::new(replicas.len(), 1);
    let mut reports_due = 0.0;
    let mut next_gateway = 0;
    let mut ticks = tokio::time::interval(REPORT_INTERVAL);
    loop {
        ticks.tick().await;
        let gateways = gateways.lock().clone();
        reports_due += gateways.len() as f64 * RESPONSES_PER_SECOND * REPORT_INTERVAL.as_secs_f64();
        while reports_due >= 1.0 && !gateways.is_empty() && !replicas.is_empty() {
            reports_due -= 1.0;
            next_gateway += 1;
            let replica = loads.random_replica();
            let load = loads.next_report(replica, unix_now());
            gateways[next_gateway % gateways.len()].on_response_load(&replicas[replica], load);
        }
    }
}

fn unix_now() -> Timestamp {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    Timestamp(elapsed.unwrap_or_default().as_millis() as u64)
}
