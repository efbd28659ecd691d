//! `linnethitch-lab application`: one emulated application replica as a process.

use std::net::SocketAddr;

use bpaf::Bpaf;
use error_stack::ResultExt;
use linnethitch_emulator::application::{ApplicationModel, ApplicationServer, ApplicationSettings};
use linnethitch_errors::ErrorKind;

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
    #[bpaf(argument("NAME"), fallback("application-1".to_owned()), display_fallback)]
    name: String,
    /// Zone of the machine
    #[bpaf(argument("ZONE"), fallback("zone-1".to_owned()), display_fallback)]
    zone: String,
    /// The service that it is a replica of
    #[bpaf(argument("SERVICE"))]
    service: String,
    /// How many times as fast as real time it runs
    #[bpaf(argument("FACTOR"), fallback(1), display_fallback)]
    speed: u32,
    /// Seeds the service times
    #[bpaf(argument("SEED"), fallback(0), display_fallback)]
    seed: u64,
}

/// Serves until a signal or a fault switch ends it.
pub(crate) fn run(arguments: &Arguments) -> Outcome {
    runtime()?.block_on(serve(arguments))
}

async fn serve(arguments: &Arguments) -> Outcome {
    let settings = ApplicationSettings {
        listen: arguments.listen,
        name: arguments.name.clone(),
        zone: arguments.zone.clone(),
        service: arguments.service.clone(),
        model: ApplicationModel::default(),
        time_compression: arguments.speed,
        seed: arguments.seed,
    };
    let replica = ApplicationServer::start(settings)
        .await
        .change_context(ErrorKind::Io)
        .attach_with(|| format!("cannot listen on {}", arguments.listen))?;
    print_line(&format!(
        "application {} listens on {}",
        arguments.name,
        replica.address()
    ));
    tokio::select! {
        () = replica.died() => Ok(Verdict::Bad),
        stopped = stop_signal() => stopped.map(|()| Verdict::Good),
    }
}
