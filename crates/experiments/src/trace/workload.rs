//! The shapes of work of the two deployments.

use std::ops::Range;

/// One kind of request or item.
#[derive(Clone, Debug)]
pub(crate) struct WorkShape {
    /// Its share among its like, in percent.
    pub(crate) percent: u32,
    /// Tokens of a prompt.
    pub(crate) prompt_tokens: Range<u32>,
    /// Tokens of an answer.
    pub(crate) output_tokens: Range<u32>,
    /// Leading tokens of the prompt that it shares with others of its template.
    pub(crate) shared_tokens: u32,
    /// Different templates.
    pub(crate) templates: u64,
    /// Whether its prompt is a long document.
    pub(crate) long: bool,
}

/// How callers and jobs behave.
#[derive(Clone, Debug)]
pub(crate) struct Workload {
    /// Online requests per second and engine, on average.
    pub(crate) online_per_engine: f64,
    /// Time from one burst to the next, in seconds.
    pub(crate) burst_period_s: f64,
    /// Length of a burst, in seconds.
    pub(crate) burst_s: f64,
    /// Online rate in a burst relative to outside of it.
    pub(crate) burst_factor: f64,
    /// Time in which the peak moves once through all zones, in seconds
    /// (a day, compressed).
    pub(crate) sun_period_s: f64,
    /// Swing of a zone's rate around its mean, from 0 to 1.
    pub(crate) sun_swing: f64,
    /// Time from one batch heap to the next, in seconds.
    pub(crate) heap_period_s: f64,
    /// Batch items per second and engine, on average.
    pub(crate) items_per_engine: f64,
    /// Kinds of online requests.
    pub(crate) online: Vec<WorkShape>,
    /// Kinds of batch items.
    pub(crate) batch: Vec<WorkShape>,
}

const HEAP_PERIOD_S: f64 = 9.0;

impl Workload {
    /// Spot quotes, tariff lookups and contract summaries; lane pricing and
    /// contract reviews in batch.
    pub(crate) fn granite_lane() -> Workload {
        Workload {
            online_per_engine: 3.0,
            burst_period_s: 7.0,
            burst_s: 1.5,
            burst_factor: 3.0,
            sun_period_s: 60.0,
            sun_swing: 0.5,
            heap_period_s: HEAP_PERIOD_S,
            items_per_engine: 24.0,
            online: vec![
                WorkShape {
                    percent: 60,
                    prompt_tokens: 300..700,
                    output_tokens: 60..150,
                    shared_tokens: 256,
                    templates: 20,
                    long: false,
                },
                WorkShape {
                    percent: 30,
                    prompt_tokens: 100..200,
                    output_tokens: 10..30,
                    shared_tokens: 64,
                    templates: 4,
                    long: false,
                },
                WorkShape {
                    percent: 10,
                    prompt_tokens: 4_000..12_000,
                    output_tokens: 200..400,
                    shared_tokens: 256,
                    templates: 4,
                    long: true,
                },
            ],
            batch: vec![
                WorkShape {
                    percent: 90,
                    prompt_tokens: 350..450,
                    output_tokens: 60..180,
                    shared_tokens: 320,
                    templates: 12,
                    long: false,
                },
                WorkShape {
                    percent: 10,
                    prompt_tokens: 1_500..3_000,
                    output_tokens: 200..400,
                    shared_tokens: 256,
                    templates: 4,
                    long: true,
                },
            ],
        }
    }

    /// Fare rules, counter requests and boarding summaries before each
    /// departure bank; passenger notices in batch.
    pub(crate) fn hanbit() -> Workload {
        Workload {
            online_per_engine: 3.0,
            burst_period_s: 12.0,
            burst_s: 3.0,
            burst_factor: 3.0,
            sun_period_s: 90.0,
            sun_swing: 0.3,
            heap_period_s: HEAP_PERIOD_S,
            items_per_engine: 26.0,
            online: vec![
                WorkShape {
                    percent: 50,
                    prompt_tokens: 1_200..2_400,
                    output_tokens: 50..120,
                    shared_tokens: 1_024,
                    templates: 30,
                    long: false,
                },
                WorkShape {
                    percent: 40,
                    prompt_tokens: 150..300,
                    output_tokens: 20..60,
                    shared_tokens: 128,
                    templates: 6,
                    long: false,
                },
                WorkShape {
                    percent: 10,
                    prompt_tokens: 3_000..6_000,
                    output_tokens: 150..300,
                    shared_tokens: 256,
                    templates: 6,
                    long: true,
                },
            ],
            batch: vec![WorkShape {
                percent: 100,
                prompt_tokens: 450..600,
                output_tokens: 80..200,
                shared_tokens: 384,
                templates: 18,
                long: false,
            }],
        }
    }
}
