//! Generates random traces from a workload.

use std::f64::consts::TAU;

use linnethitch_emulator::{
    Time,
    answer::{BLOCK_TOKENS, PromptKey},
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{BatchJob, OnlineRequest, Prompt, Trace, WorkShape, Workload};
use crate::deployment::Deployment;

const MICROS_PER_SECOND: f64 = 1_000_000.0;

/// Combined with the seed, gives batch jobs a random stream of their own.
const BATCH_STREAM: u64 = 0xba7c;

/// Separates the hashes of template prefixes from other hashes.
const TEMPLATE_SEED: u64 = 0x7e3b;

/// Generates the trace of a deployment over `seconds`. The same seed gives the same trace.
pub(crate) fn generate(deployment: &Deployment, seconds: f64, seed: u64) -> Trace {
    Trace {
        online: generate_online(deployment, seconds, seed),
        jobs: generate_jobs(deployment, seconds, seed ^ BATCH_STREAM),
    }
}

fn generate_online(deployment: &Deployment, seconds: f64, seed: u64) -> Vec<OnlineRequest> {
    let mut generator = Pcg64Mcg::seed_from_u64(seed);
    let workload = &deployment.workload;
    let zones = deployment.zones.len();
    let mean_rate = workload.online_rate_per_engine * deployment.engine_zones.len() as f64;
    let peak_rate = mean_rate / zones as f64 * peak_factor(workload);
    let mut requests = Vec::new();
    for zone in 0..zones {
        let gateways = gateways_of_zone(deployment, zone);
        let mut at_s = 0.0;
        loop {
            // Thinning of a Poisson process: arrivals are drawn at the peak rate, and each is
            // kept with the probability of the current rate over the peak rate.
            at_s -= (1.0 - generator.random::<f64>()).ln() / peak_rate;
            if at_s >= seconds {
                break;
            }
            let share = rate_factor(workload, zone, zones, at_s) / peak_factor(workload);
            if generator.random::<f64>() >= share {
                continue;
            }
            let shape = pick_shape(&workload.online, &mut generator);
            requests.push(OnlineRequest {
                at: Time((at_s * MICROS_PER_SECOND) as u64),
                gateway: gateways[generator.random_range(0..gateways.len())],
                long: shape.long,
                prompt: draw_prompt(shape, &mut generator),
            });
        }
    }
    requests.sort_by_key(|request| request.at);
    requests
}

fn gateways_of_zone(deployment: &Deployment, zone: usize) -> Vec<usize> {
    let zones = deployment.gateway_zones.iter().enumerate();
    zones
        .filter(|(_, gateway_zone)| **gateway_zone == zone)
        .map(|(gateway, _)| gateway)
        .collect()
}

/// Online request rate of a zone at a time, relative to the zone's mean rate.
fn rate_factor(workload: &Workload, zone: usize, zones: usize, at_s: f64) -> f64 {
    let cycles = at_s / workload.diurnal_period_s - zone as f64 / zones as f64;
    let diurnal = 1.0 + workload.diurnal_amplitude * (cycles * TAU).sin();
    let burst = if at_s % workload.burst_period_s < workload.burst_duration_s {
        workload.burst_factor
    } else {
        1.0
    };
    diurnal * burst / mean_burst(workload)
}

fn mean_burst(workload: &Workload) -> f64 {
    let share = workload.burst_duration_s / workload.burst_period_s;
    1.0 + share * (workload.burst_factor - 1.0)
}

fn peak_factor(workload: &Workload) -> f64 {
    (1.0 + workload.diurnal_amplitude) * workload.burst_factor / mean_burst(workload)
}

fn generate_jobs(deployment: &Deployment, seconds: f64, seed: u64) -> Vec<BatchJob> {
    let mut generator = Pcg64Mcg::seed_from_u64(seed);
    let workload = &deployment.workload;
    let engines = deployment.engine_zones.len() as f64;
    let items = (workload.item_rate_per_engine * engines * workload.job_period_s) as usize;
    let jobs = (seconds / workload.job_period_s).ceil() as usize;
    (0..jobs)
        .map(|job| BatchJob {
            at: Time((job as f64 * workload.job_period_s * MICROS_PER_SECOND) as u64),
            items: (0..items)
                .map(|_| draw_prompt(pick_shape(&workload.batch, &mut generator), &mut generator))
                .collect(),
        })
        .collect()
}

fn pick_shape<'a>(shapes: &'a [WorkShape], generator: &mut impl Rng) -> &'a WorkShape {
    let total_percent: u32 = shapes.iter().map(|shape| shape.percent).sum();
    let mut drawn = generator.random_range(0..total_percent);
    for shape in shapes {
        if drawn < shape.percent {
            return shape;
        }
        drawn -= shape.percent;
    }
    &shapes[0]
}

fn draw_prompt(shape: &WorkShape, generator: &mut impl Rng) -> Prompt {
    let prompt_tokens = generator.random_range(shape.prompt_tokens.clone());
    let key = PromptKey(generator.random());
    let template = generator.random_range(0..shape.templates);
    Prompt {
        key,
        prompt_tokens,
        output_tokens: generator.random_range(shape.output_tokens.clone()),
        prefix_hashes: chained_hashes(shape, prompt_tokens, template, key),
    }
}

/// Chained block hashes of a prompt: equal for prompts of one template over the shared
/// blocks, different after them.
fn chained_hashes(shape: &WorkShape, tokens: u32, template: u64, key: PromptKey) -> Vec<u64> {
    let kind = u64::from(shape.prompt_tokens.start) << 32 | u64::from(shape.shared_tokens);
    let mut previous = xxh3_64_with_seed(&template.to_le_bytes(), kind ^ TEMPLATE_SEED);
    (0..tokens / BLOCK_TOKENS)
        .map(|block| {
            let shared = (block + 1) * BLOCK_TOKENS <= shape.shared_tokens;
            let content = if shared { template } else { key.0 };
            previous = xxh3_64_with_seed(&content.to_le_bytes(), previous);
            previous
        })
        .collect()
}
