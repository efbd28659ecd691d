//! Drawing a trace from a workload.

use std::f64::consts::TAU;

use linnethitch_emulator::{
    Time,
    answer::{BLOCK_TOKENS, PromptKey},
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{Heap, OnlineRequest, Prompt, Trace, WorkShape, Workload};
use crate::deployment::Deployment;

const MICROS_PER_SECOND: f64 = 1_000_000.0;

/// Separates the online from the batch stream of one seed.
const BATCH_STREAM: u64 = 0xba7c;

/// Separates the prompts of templates from unique ones.
const TEMPLATE_SEED: u64 = 0x7e3b;

/// The trace of a deployment over `seconds`, the same for the same seed.
pub(crate) fn generate(deployment: &Deployment, seconds: f64, seed: u64) -> Trace {
    Trace {
        online: generate_online(deployment, seconds, seed),
        heaps: generate_heaps(deployment, seconds, seed ^ BATCH_STREAM),
    }
}

fn generate_online(deployment: &Deployment, seconds: f64, seed: u64) -> Vec<OnlineRequest> {
    let mut generator = Pcg64Mcg::seed_from_u64(seed);
    let workload = &deployment.workload;
    let zones = deployment.zones.len();
    let mean_rate = workload.online_per_engine * deployment.engine_zones.len() as f64;
    let most_rate = mean_rate / zones as f64 * peak_factor(workload);
    let mut requests = Vec::new();
    for zone in 0..zones {
        let gateways = gateways_of_zone(deployment, zone);
        let mut at_s = 0.0;
        loop {
            // Thinning: draw at the highest rate and keep each arrival by its share.
            at_s -= (1.0 - generator.random::<f64>()).ln() / most_rate;
            if at_s >= seconds {
                break;
            }
            let share = rate_factor(workload, zone, zones, at_s) / peak_factor(workload);
            if generator.random::<f64>() >= share {
                continue;
            }
            let shape = pick(&workload.online, &mut generator);
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
        .filter(|(_, of)| **of == zone)
        .map(|(gateway, _)| gateway)
        .collect()
}

/// The rate of a zone relative to its mean.
fn rate_factor(workload: &Workload, zone: usize, zones: usize, at_s: f64) -> f64 {
    let turns = at_s / workload.sun_period_s - zone as f64 / zones as f64;
    let sun = 1.0 + workload.sun_swing * (turns * TAU).sin();
    let burst = if at_s % workload.burst_period_s < workload.burst_s {
        workload.burst_factor
    } else {
        1.0
    };
    sun * burst / mean_burst(workload)
}

fn mean_burst(workload: &Workload) -> f64 {
    let share = workload.burst_s / workload.burst_period_s;
    1.0 + share * (workload.burst_factor - 1.0)
}

fn peak_factor(workload: &Workload) -> f64 {
    (1.0 + workload.sun_swing) * workload.burst_factor / mean_burst(workload)
}

fn generate_heaps(deployment: &Deployment, seconds: f64, seed: u64) -> Vec<Heap> {
    let mut generator = Pcg64Mcg::seed_from_u64(seed);
    let workload = &deployment.workload;
    let engines = deployment.engine_zones.len() as f64;
    let items = (workload.items_per_engine * engines * workload.heap_period_s) as usize;
    let heaps = (seconds / workload.heap_period_s).ceil() as usize;
    (0..heaps)
        .map(|heap| Heap {
            at: Time((heap as f64 * workload.heap_period_s * MICROS_PER_SECOND) as u64),
            items: (0..items)
                .map(|_| draw_prompt(pick(&workload.batch, &mut generator), &mut generator))
                .collect(),
        })
        .collect()
}

fn pick<'a>(shapes: &'a [WorkShape], generator: &mut impl Rng) -> &'a WorkShape {
    let all: u32 = shapes.iter().map(|shape| shape.percent).sum();
    let mut drawn = generator.random_range(0..all);
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

/// Hashes that agree over the shared blocks of a template and differ after them.
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
