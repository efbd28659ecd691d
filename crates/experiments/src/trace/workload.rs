//! Workloads of the two modelled deployments.

use std::ops::Range;

/// One kind of online request or batch item.
#[derive(Clone, Debug)]
pub(crate) struct WorkShape {
    /// Share among the online requests or batch items of the workload, in percent.
    pub(crate) percent: u32,
    /// Range of the prompt length, in tokens.
    pub(crate) prompt_tokens: Range<u32>,
    /// Range of the answer length, in tokens.
    pub(crate) output_tokens: Range<u32>,
    /// Leading prompt tokens shared by all prompts of one template.
    pub(crate) shared_tokens: u32,
    /// Number of different templates.
    pub(crate) templates: u64,
    /// Whether the prompt is a long document.
    pub(crate) long: bool,
}

/// Rates and kinds of online requests and batch items.
#[derive(Clone, Debug)]
pub(crate) struct Workload {
    /// Online requests per second and engine, on average.
    pub(crate) online_rate_per_engine: f64,
    /// Time from one burst to the next, in seconds.
    pub(crate) burst_period_s: f64,
    /// Duration of a burst, in seconds.
    pub(crate) burst_duration_s: f64,
    /// Online request rate during a burst relative to the rate outside bursts.
    pub(crate) burst_factor: f64,
    /// Period of the daily load cycle, in seconds (a day, compressed). The peak moves
    /// through all zones once per period.
    pub(crate) diurnal_period_s: f64,
    /// Amplitude of the daily load cycle relative to a zone's mean rate, from 0 to 1.
    pub(crate) diurnal_amplitude: f64,
    /// Time from one batch job to the next, in seconds.
    pub(crate) job_period_s: f64,
    /// Batch items per second and engine, on average.
    pub(crate) item_rate_per_engine: f64,
    /// Kinds of online requests.
    pub(crate) online: Vec<WorkShape>,
    /// Kinds of batch items.
    pub(crate) batch: Vec<WorkShape>,
}

const JOB_PERIOD_S: f64 = 9.0;

impl Workload {
    /// Granite Lane. Online: spot quotes, tariff lookups and contract summaries.
    /// Batch: lane pricing and contract reviews.
    pub(crate) fn granite_lane() -> Workload {
        Workload {
            online_rate_per_engine: 3.0,
            burst_period_s: 7.0,
            burst_duration_s: 1.5,
            burst_factor: 3.0,
            diurnal_period_s: 60.0,
            diurnal_amplitude: 0.5,
            job_period_s: JOB_PERIOD_S,
            item_rate_per_engine: 24.0,
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

    /// Hanbit Gate Systems. Online: fare rules, counter requests and boarding summaries,
    /// in bursts before each departure bank. Batch: passenger notices.
    pub(crate) fn hanbit() -> Workload {
        Workload {
            online_rate_per_engine: 3.0,
            burst_period_s: 12.0,
            burst_duration_s: 3.0,
            burst_factor: 3.0,
            diurnal_period_s: 90.0,
            diurnal_amplitude: 0.3,
            job_period_s: JOB_PERIOD_S,
            item_rate_per_engine: 26.0,
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
