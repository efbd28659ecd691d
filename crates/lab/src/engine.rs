//! `linnethitch-lab engine`: one emulated model engine as a process.

use std::net::SocketAddr;

use bpaf::Bpaf;
use error_stack::ResultExt;
use linnethitch_emulator::engine::server::{EngineServer, EngineSettings};
use linnethitch_errors::ErrorKind;
use linnethitch_protocol::{fleet::EngineState, ids::ModelId};

use crate::{
    output::print_line,
    process::{Outcome, Verdict, runtime, stop_signal},
};

/// The machine that is emulated:
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(arguments))]
pub(crate) struct Arguments {
    /// Where to listen; port 0 lets the system choose one
    #[bpaf(argument("ADDRESS"), fallback(SocketAddr::from(([127, 0, 0, 1], 0))), display_fallback)]
    listen: SocketAddr,
    /// Name of the machine
    #[bpaf(argument("NAME"), fallback("engine-1".to_owned()), display_fallback)]
    name: String,
    /// Zone of the machine
    #[bpaf(argument("ZONE"), fallback("zone-1".to_owned()), display_fallback)]
    zone: String,
    /// Model that is loaded from the start; without it the engine waits for an order
    #[bpaf(argument("MODEL"))]
    model: Option<String>,
    /// Version of that model
    #[bpaf(argument("VERSION"), fallback("1".to_owned()), display_fallback)]
    model_version: String,
    /// Adapter of that model; may be given several times
    #[bpaf(argument("ADAPTER"))]
    adapter: Vec<String>,
    /// How many times as fast as real time the engine runs
    #[bpaf(argument("FACTOR"), fallback(1), display_fallback)]
    speed: u32,
    /// Seeds the losses of cache events
    #[bpaf(argument("SEED"), fallback(0), display_fallback)]
    seed: u64,
    /// Version of the engine's software, which it names in its responses
    #[bpaf(argument("VERSION"), fallback("emulator".to_owned()), display_fallback)]
    software: String,
}

/// Serves until a signal or a fault switch ends it.
pub(crate) fn run(arguments: &Arguments) -> Outcome {
    runtime()?.block_on(serve(arguments))
}

async fn serve(arguments: &Arguments) -> Outcome {
    let settings = EngineSettings {
        listen: arguments.listen,
        state: EngineState {
            model: arguments.model.clone().map(ModelId),
            version: arguments.model_version.clone(),
            adapters: arguments.adapter.clone(),
            ..EngineState::default()
        },
        time_compression: arguments.speed,
        seed: arguments.seed,
        software: arguments.software.clone(),
        ..EngineSettings::new(&arguments.name, &arguments.zone)
    };
    let engine = EngineServer::start(settings)
        .await
        .change_context(ErrorKind::Io)
        .attach_with(|| format!("cannot listen on {}", arguments.listen))?;
    print_line(&format!(
        "engine {} listens on {}",
        arguments.name,
        engine.address()
    ));
    tokio::select! {
        () = engine.died() => Ok(Verdict::Bad),
        stopped = stop_signal() => stopped.map(|()| Verdict::Good),
    }
}
