//! `linnethitch-lab measure gateway`: what a gateway adds to a stream.
//!
//! One engine that answers by script, one gateway and the callers run in this
//! process, each on threads of their own, over loopback. Half of the callers ask
//! the engine directly and half through the gateway, in the same run, so both
//! run under the same conditions. Processor time is that of the gateway's threads only.

mod callers;
mod engine;

use std::{net::SocketAddr, path::Path, time::Duration};

use bpaf::Bpaf;
use error_stack::{Report, ResultExt};
use linnethitch_config::settings::{GatewayLimits, GatewaySettings, LogSettings};
use linnethitch_errors::ErrorKind;
use linnethitch_gateway::{
    options::{FixedFleet, GatewayOptions},
    process::{GatewayHandle, GatewayProcess},
};
use linnethitch_observability::log::discard;
use linnethitch_protocol::{
    fleet::{BackEndKind, EngineState, Machine, MachineState, ReplicaInfo},
    ids::ReplicaId,
};
use linnethitch_scale::usage::cpu_of_threads;
use sha2::{Digest, Sha256};
use tokio::runtime::{Builder, Runtime};

use self::{
    callers::{Latencies, Round},
    engine::ScriptedEngine,
};
use crate::{
    output::print_line,
    process::{Outcome, Verdict},
};

const API_KEY: &str = "measured";
/// Names of threads, by which processor time is attributed.
const GATEWAY_THREADS: &str = "gateway-worker";
const ENGINE_THREADS: &str = "engine-worker";
const CALLER_THREADS: &str = "caller-worker";
/// Worker threads of engine and callers; the gateway has one.
const OTHER_WORKERS: usize = 2;

/// The streams:
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(arguments))]
pub(crate) struct Arguments {
    /// Streams at once, half of them through the gateway in the comparison
    #[bpaf(argument("N"), fallback(200), display_fallback)]
    streams: usize,
    /// Tokens of an answer
    #[bpaf(argument("N"), fallback(100), display_fallback)]
    tokens: u32,
    /// Milliseconds between two tokens of a stream
    #[bpaf(argument("MS"), fallback(20), display_fallback)]
    interval_ms: u64,
    /// Answers that each caller asks for, one after another
    #[bpaf(argument("N"), fallback(5), display_fallback)]
    answers: usize,
    /// Folder for the gateway's files
    #[bpaf(
        argument("DIR"),
        fallback(std::path::PathBuf::from("target/measure-gateway")),
        debug_fallback
    )]
    output: std::path::PathBuf,
}

/// Measures and prints; the verdict is bad when an answer was incomplete.
pub(crate) fn run(arguments: &Arguments) -> Outcome {
    let engine_runtime = named_runtime(ENGINE_THREADS, OTHER_WORKERS)?;
    let gateway_runtime = named_runtime(GATEWAY_THREADS, 1)?;
    let caller_runtime = named_runtime(CALLER_THREADS, OTHER_WORKERS)?;
    let interval = Duration::from_millis(arguments.interval_ms);
    let engine = engine_runtime
        .block_on(ScriptedEngine::start(arguments.tokens, interval))
        .change_context(ErrorKind::Io)?;
    let gateway = gateway_runtime.block_on(start_gateway(&arguments.output, engine.address))?;
    let round = Round {
        api_key: API_KEY,
        tokens: arguments.tokens,
        answers: arguments.answers,
    };
    let half = arguments.streams / 2;
    let compared = caller_runtime.block_on(async {
        let direct = round.run(half, engine.address);
        let through = round.run(half, gateway.address());
        tokio::join!(direct, through)
    });
    let (direct, through) = (compared.0?, compared.1?);
    report_latencies(&direct, &through);
    let before = cpu_of_threads(GATEWAY_THREADS).change_context(ErrorKind::Io)?;
    let all = caller_runtime.block_on(round.run(arguments.streams, gateway.address()))?;
    let after = cpu_of_threads(GATEWAY_THREADS).change_context(ErrorKind::Io)?;
    report_cost(&all, after.saturating_sub(before));
    gateway_runtime.block_on(gateway.stop());
    let incomplete = direct.incomplete + through.incomplete + all.incomplete;
    print_line(&format!("incomplete answers: {incomplete}"));
    Ok(if incomplete == 0 {
        Verdict::Good
    } else {
        Verdict::Bad
    })
}

fn named_runtime(name: &str, workers: usize) -> Result<Runtime, Report<ErrorKind>> {
    Builder::new_multi_thread()
        .worker_threads(workers)
        .thread_name(name)
        .enable_all()
        .build()
        .change_context(ErrorKind::Io)
}

async fn start_gateway(
    folder: &Path,
    engine: SocketAddr,
) -> Result<GatewayHandle, Report<ErrorKind>> {
    std::fs::create_dir_all(folder).change_context(ErrorKind::Io)?;
    let options = GatewayOptions {
        fixed: Some(FixedFleet {
            content: fleet_file(),
            replicas: vec![replica(engine)],
        }),
        ..GatewayOptions::default()
    };
    // Tasks run on the runtime's own thread, where their processor time is counted.
    let starting = GatewayProcess::start_with(settings(folder), options, discard());
    starting.await
}

fn fleet_file() -> String {
    let hash = hex::encode(Sha256::digest(API_KEY.as_bytes()));
    format!(
        "name = \"measured\"\n[[zone]]\nname = \"z\"\nregion = \"r\"\n[[model]]\nname = \"m\"\n\
         version = \"1\"\nplacement = [{{ zone = \"z\", replicas = 1 }}]\n\
         [[tenant]]\nname = \"one\"\nkey_sha256 = \"{hash}\"\n"
    )
}

fn settings(folder: &Path) -> GatewaySettings {
    GatewaySettings {
        gateway_id: "measured".to_owned(),
        zone: "z".to_owned(),
        region: "r".to_owned(),
        listen_address: SocketAddr::from(([127, 0, 0, 1], 0)),
        control_addresses: Vec::new(),
        cluster: "measured".to_owned(),
        cluster_key_file: folder.join("cluster.key"),
        data_dir: folder.to_owned(),
        log: LogSettings::default(),
        journal_max_bytes: 1 << 20,
        operator_key_sha256: None,
        limits: GatewayLimits::default(),
    }
}

fn replica(address: SocketAddr) -> ReplicaInfo {
    ReplicaInfo {
        machine: Machine {
            replica: ReplicaId::from("engine"),
            kind: BackEndKind::Engine,
            zone: "z".into(),
            address: address.to_string(),
            state: MachineState::Live,
        },
        engine: EngineState {
            model: Some("m".into()),
            version: "1".to_owned(),
            ..EngineState::default()
        },
    }
}

fn report_latencies(direct: &Latencies, through: &Latencies) {
    print_line("first token, ms          direct    gateway    added");
    for percentile in [50.0, 95.0, 99.0] {
        let direct_ms = direct.first_token_ms(percentile);
        let gateway_ms = through.first_token_ms(percentile);
        let added_ms = gateway_ms - direct_ms;
        print_line(&format!(
            "p{percentile:<22} {direct_ms:>8.3} {gateway_ms:>10.3} {added_ms:>8.3}"
        ));
    }
}

fn report_cost(all: &Latencies, cpu: Duration) {
    let seconds = cpu.as_secs_f64();
    let per_token = seconds * 1e6 / all.tokens as f64;
    let per_core = all.tokens as f64 / seconds;
    print_line(&format!(
        "gateway processor time: {seconds:.3} s for {} tokens of {} answers",
        all.tokens, all.answers
    ));
    print_line(&format!(
        "{per_token:.2} us a token, {per_core:.0} tokens/s a core"
    ));
}
