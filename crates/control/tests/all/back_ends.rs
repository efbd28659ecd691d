//! Emulated engines and an emulated platform that lists them.

use linnethitch_emulator::{
    engine::server::{EngineServer, EngineSettings},
    platform::{PlatformServer, PlatformSettings},
};
use linnethitch_protocol::{
    fleet::{BackEndKind, Machine, MachineState},
    ids::{ReplicaId, ZoneId},
};

/// Speed of the back ends relative to real time.
const TIME_COMPRESSION: u32 = 20;
/// A section of a fleet file with a model that has one replica.
pub(crate) const MODEL: &str = "\n[[model]]\nname = \"quote\"\nversion = \"v1\"\nplacement = [{ zone = \"a\", replicas = 1 }]\n";

/// An engine without a loaded model.
pub(crate) async fn engine(name: &str) -> EngineServer {
    let settings = EngineSettings {
        time_compression: TIME_COMPRESSION,
        ..EngineSettings::new(name, "a")
    };
    EngineServer::start(settings).await.expect("a free port")
}

/// A platform that lists the given engines.
pub(crate) async fn platform(engines: &[EngineServer]) -> PlatformServer {
    let settings = PlatformSettings {
        machines: engines.iter().map(machine).collect(),
        time_compression: TIME_COMPRESSION,
        ..PlatformSettings::default()
    };
    PlatformServer::start(settings).await.expect("a free port")
}

fn machine(engine: &EngineServer) -> Machine {
    Machine {
        replica: ReplicaId::from(engine.settings().name.as_str()),
        kind: BackEndKind::Engine,
        zone: ZoneId::from("a"),
        address: engine.address().to_string(),
        state: MachineState::Live,
    }
}
