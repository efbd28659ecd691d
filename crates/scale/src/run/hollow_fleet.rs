//! Hundreds of hollow gateways on a runtime of their own.

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

use super::{loads::Loads, processes::gateway_settings};
use crate::{fleet::FleetPlan, usage::cpu_of_threads};

/// Name of this runtime's threads.
const THREAD_NAME: &str = "hollow";
const THREADS: usize = 4;
/// Responses that each gateway relays in a second at the plan's peak: 1,200 over 410.
const RESPONSES_A_SECOND: f64 = 1_200.0 / 410.0;
/// Time between two rounds of responses.
const TICK: Duration = Duration::from_millis(20);
/// Time between two looks at all gateways.
const LOOK: Duration = Duration::from_millis(5);

type Gateways = Arc<Mutex<Vec<Arc<ControlOnlyGateway>>>>;

/// The hollow gateways, and the responses that they seem to get.
pub(super) struct HollowFleet {
    gateways: Gateways,
    documents: Arc<SharedDocuments>,
    responses: JoinHandle<()>,
    runtime: Runtime,
}

/// What all hollow gateways have used so far.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct HollowUsage {
    pub(super) cpu: Duration,
    pub(super) bytes: u64,
    pub(super) frames: u64,
}

impl HollowFleet {
    /// No gateways yet.
    pub(super) fn new(replicas: Vec<ReplicaId>) -> Result<Self, Report<ErrorKind>> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(THREADS)
            .thread_name(THREAD_NAME)
            .enable_all()
            .build()
            .change_context(ErrorKind::Io)?;
        let gateways = Gateways::default();
        let responses = runtime.spawn(respond(Arc::clone(&gateways), replicas));
        Ok(HollowFleet {
            gateways,
            documents: Arc::default(),
            responses,
            runtime,
        })
    }

    /// Starts more until there are so many.
    pub(super) fn grow(
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
            let nowhere = SocketAddr::from(([127, 0, 0, 1], 0));
            let settings = gateway_settings(folder, &name, number, plan, control, nowhere);
            let documents = Arc::clone(&self.documents);
            let gateway = ControlOnlyGateway::start(settings, documents, logger.clone())?;
            self.gateways.lock().push(Arc::new(gateway));
        }
        Ok(())
    }

    pub(super) fn len(&self) -> usize {
        self.gateways.lock().len()
    }

    /// Waits until something holds for every gateway; tells when it did, or how many are left.
    pub(super) fn wait_until_all(
        &self,
        limit: Duration,
        holds: impl Fn(&ControlOnlyGateway) -> bool,
    ) -> Result<Instant, usize> {
        let deadline = Instant::now() + limit;
        loop {
            let left = self.count(|gateway| !holds(gateway));
            match left {
                0 => return Ok(Instant::now()),
                left if Instant::now() >= deadline => return Err(left),
                _ => thread::sleep(LOOK),
            }
        }
    }

    /// How many gateways there are for which something holds.
    pub(super) fn count(&self, holds: impl Fn(&ControlOnlyGateway) -> bool) -> usize {
        let gateways = self.gateways.lock();
        gateways.iter().filter(|gateway| holds(gateway)).count()
    }

    /// What all have used so far.
    pub(super) fn usage(&self) -> Result<HollowUsage, Report<ErrorKind>> {
        let mut usage = HollowUsage {
            cpu: cpu_of_threads(THREAD_NAME).change_context(ErrorKind::Io)?,
            ..HollowUsage::default()
        };
        for gateway in self.gateways.lock().iter() {
            let traffic = gateway.traffic();
            usage.bytes += traffic.sent_bytes() + traffic.received_bytes();
            let kinds = [traffic.handshake, traffic.gateway, traffic.control];
            usage.frames += kinds
                .iter()
                .map(|kind| kind.sent_frames + kind.received_frames)
                .sum::<u64>();
        }
        Ok(usage)
    }
}

impl Drop for HollowFleet {
    fn drop(&mut self) {
        self.responses.abort();
    }
}

/// Tells gateways of loads as the responses of their requests would.
async fn respond(gateways: Gateways, replicas: Vec<ReplicaId>) {
    let mut loads = Loads::new(replicas.len(), 1);
    let mut due = 0.0;
    let mut next = 0;
    let mut ticks = tokio::time::interval(TICK);
    loop {
        ticks.tick().await;
        let gateways = gateways.lock().clone();
        due += gateways.len() as f64 * RESPONSES_A_SECOND * TICK.as_secs_f64();
        while due >= 1.0 && !gateways.is_empty() && !replicas.is_empty() {
            due -= 1.0;
            next += 1;
            let replica = loads.draw();
            let load = loads.next(replica, unix_now());
            gateways[next % gateways.len()].on_response_load(&replicas[replica], load);
        }
    }
}

fn unix_now() -> Timestamp {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    Timestamp(elapsed.unwrap_or_default().as_millis() as u64)
}
