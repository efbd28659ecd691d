//! HTTP server of the emulated platform.

use std::{io, net::SocketAddr, sync::Arc};

use gotham::helpers::http::Body;
use http::{Method, Response, StatusCode};
use linnethitch_protocol::{
    fleet::{BackEndKind, Machine, MachineState},
    ids::{ReplicaId, ServiceId, ZoneId},
};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use super::core::{PlatformCore, PlatformModel};
use crate::{
    clock::CompressedClock,
    http::{IncomingRequest, Reply, Server, Service},
};

const MICROS_PER_SECOND: u64 = 1_000_000;
const MICROS_PER_MILLI: u64 = 1_000;

/// Parses a list of machines in the format of `GET /machines`.
///
/// # Errors
/// The text does not have this format.
pub fn machines_from_json(text: &str) -> Result<Vec<Machine>, serde_json::Error> {
    let bodies: Vec<MachineBody> = serde_json::from_str(text)?;
    Ok(bodies.into_iter().map(MachineBody::into_machine).collect())
}

/// Settings of an emulated platform.
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    /// Address to listen on; with port 0 the system chooses the port.
    pub listen: SocketAddr,
    /// Lag of the machine list and rate of the weight store.
    pub model: PlatformModel,
    /// The machine list at the start.
    pub machines: Vec<Machine>,
    /// Factor by which the platform runs faster than real time.
    pub time_compression: u32,
}

impl Default for PlatformSettings {
    fn default() -> Self {
        PlatformSettings {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            model: PlatformModel::default(),
            machines: Vec::new(),
            time_compression: 1,
        }
    }
}

/// A running platform; stops when dropped.
pub struct PlatformServer {
    server: Server<PlatformService>,
}

impl PlatformServer {
    /// Starts a platform in the current runtime.
    ///
    /// # Errors
    /// The address can not be bound.
    pub async fn start(settings: PlatformSettings) -> io::Result<PlatformServer> {
        let service = PlatformService {
            clock: CompressedClock::start(settings.time_compression),
            compression: u64::from(settings.time_compression.max(1)),
            core: Mutex::new(PlatformCore::new(settings.model, settings.machines)),
        };
        Ok(PlatformServer {
            server: Server::start(settings.listen, Arc::new(service)).await?,
        })
    }

    /// The address that the platform listens on, with the actual port.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces the machine list; readers get it after the lag.
    pub fn set_machines(&self, machines: Vec<Machine>) {
        let service = self.server.service();
        let mut core = service.core.lock();
        core.set_machines(service.clock.now(), machines);
    }

    /// Adds a machine or replaces the one with the same name.
    pub fn put_machine(&self, machine: Machine) {
        let service = self.server.service();
        let mut core = service.core.lock();
        core.put_machine(service.clock.now(), machine);
    }

    /// Sets the state of a machine; returns whether the machine is listed.
    pub fn set_state(&self, name: &str, state: MachineState) -> bool {
        let service = self.server.service();
        let mut core = service.core.lock();
        core.set_state(service.clock.now(), &ReplicaId::from(name), state)
    }

    /// Removes a machine from the list; returns whether it was listed.
    pub fn remove_machine(&self, name: &str) -> bool {
        let service = self.server.service();
        let mut core = service.core.lock();
        core.remove_machine(service.clock.now(), &ReplicaId::from(name))
    }

    /// Closes the port and breaks every connection, as in an outage of the platform's interface.
    pub fn stop(&self) {
        self.server.stop();
    }

    /// Listens again on the same port.
    ///
    /// # Errors
    /// The port can no longer be bound.
    pub async fn restart(&self) -> io::Result<()> {
        self.server.restart().await
    }
}

impl Drop for PlatformServer {
    fn drop(&mut self) {
        self.server.stop();
    }
}

struct PlatformService {
    clock: CompressedClock,
    compression: u64,
    core: Mutex<PlatformCore>,
}

impl Service for PlatformService {
    async fn respond(self: Arc<Self>, request: IncomingRequest) -> Response<Body> {
        let path = request.uri.path().to_owned();
        let reply = match (request.method.clone(), path.as_str()) {
            (Method::GET, "/healthz") => Reply::json(&"ok"),
            (Method::GET, "/machines") => self.list(),
            (Method::POST, "/weights/reservations") => self.reserve(request).await,
            (Method::PUT, "/emulator/machines") => self.replace_list(request).await,
            (Method::POST, "/emulator/machines") => self.put(request).await,
            (Method::DELETE, path) => match path.strip_prefix("/emulator/machines/") {
                Some(name) => self.remove(name),
                None => Reply::not_found(),
            },
            _ => Reply::not_found(),
        };
        reply.into()
    }
}

impl PlatformService {
    fn list(&self) -> Reply {
        let core = self.core.lock();
        let machines = core.machines(self.clock.now());
        let bodies: Vec<MachineBody> = machines.iter().map(MachineBody::from_machine).collect();
        Reply::json(&bodies)
    }

    async fn reserve(&self, request: IncomingRequest) -> Reply {
        if let Err(reply) = request.into_json::<ReservationRequest>().await {
            return reply;
        }
        let reserved = self.core.lock().reserve(self.clock.now());
        match reserved {
            Ok(reservation) => Reply::json(&ReservationBody {
                reservation: format!("reservation-{}", reservation.number),
                ready_after_ms: self.real_micros(reservation.ready_after_micros) / MICROS_PER_MILLI,
            }),
            Err(busy) => {
                let seconds = self
                    .real_micros(busy.retry_after_micros)
                    .div_ceil(MICROS_PER_SECOND);
                Reply::error(StatusCode::TOO_MANY_REQUESTS, "the weight store is busy")
                    .with_header("retry-after", seconds.to_string())
            }
        }
    }

    /// Converts microseconds of the core to real microseconds.
    fn real_micros(&self, micros: u64) -> u64 {
        micros / self.compression
    }

    async fn replace_list(&self, request: IncomingRequest) -> Reply {
        match request.into_json::<Vec<MachineBody>>().await {
            Ok(bodies) => {
                let machines = bodies.into_iter().map(MachineBody::into_machine).collect();
                self.core.lock().set_machines(self.clock.now(), machines);
                Reply::json(&"ok")
            }
            Err(reply) => reply,
        }
    }

    async fn put(&self, request: IncomingRequest) -> Reply {
        match request.into_json::<MachineBody>().await {
            Ok(body) => {
                let machine = body.into_machine();
                self.core.lock().put_machine(self.clock.now(), machine);
                Reply::json(&"ok")
            }
            Err(reply) => reply,
        }
    }

    fn remove(&self, name: &str) -> Reply {
        let removed = self
            .core
            .lock()
            .remove_machine(self.clock.now(), &ReplicaId::from(name));
        if removed {
            Reply::json(&"ok")
        } else {
            Reply::error(StatusCode::NOT_FOUND, "no such machine")
        }
    }
}

/// An entry of the machine list as JSON.
#[derive(Serialize, Deserialize)]
struct MachineBody {
    name: String,
    kind: KindName,
    #[serde(default)]
    service: Option<String>,
    zone: String,
    address: String,
    state: StateName,
}

#[derive(Clone, Copy, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum KindName {
    Engine,
    Application,
}

#[derive(Clone, Copy, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum StateName {
    Live,
    Leaving,
}

impl MachineBody {
    fn from_machine(machine: &Machine) -> MachineBody {
        let (kind, service) = match &machine.kind {
            BackEndKind::Engine => (KindName::Engine, None),
            BackEndKind::Application(service) => (KindName::Application, Some(service.0.clone())),
        };
        MachineBody {
            name: machine.replica.0.clone(),
            kind,
            service,
            zone: machine.zone.0.clone(),
            address: machine.address.clone(),
            state: match machine.state {
                MachineState::Live => StateName::Live,
                MachineState::Leaving => StateName::Leaving,
            },
        }
    }

    fn into_machine(self) -> Machine {
        Machine {
            replica: ReplicaId(self.name),
            kind: match self.kind {
                KindName::Engine => BackEndKind::Engine,
                KindName::Application => {
                    BackEndKind::Application(ServiceId(self.service.unwrap_or_default()))
                }
            },
            zone: ZoneId(self.zone),
            address: self.address,
            state: match self.state {
                StateName::Live => MachineState::Live,
                StateName::Leaving => MachineState::Leaving,
            },
        }
    }
}

#[derive(Deserialize)]
#[allow(dead_code, reason = "only their presence in the body is checked")]
struct ReservationRequest {
    model: String,
    version: String,
    machine: String,
}

#[derive(Serialize)]
struct ReservationBody {
    reservation: String,
    ready_after_ms: u64,
}
