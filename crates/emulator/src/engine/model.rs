//! The parameters of an emulated engine.

/// Speed and capacity of an engine.
///
/// A step takes `step_micros`, plus `prefill_token_nanos` for each prompt token
/// computed in it, plus `decode_sequence_nanos` for each sequence that decodes
/// a token in it.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineModel {
    /// Fixed cost of a step, in microseconds.
    pub step_micros: u64,
    /// Cost of one prefilled token, in nanoseconds.
    pub prefill_token_nanos: u64,
    /// Cost of one decoding sequence in a step, in nanoseconds.
    pub decode_sequence_nanos: u64,
    /// Maximum number of prompt tokens computed in one step (chunked prefill).
    pub prefill_budget_tokens: u32,
    /// Maximum number of prompt tokens of batch requests computed in one step while
    /// online requests run.
    pub batch_prefill_budget_tokens: u32,
    /// Maximum number of sequences that run at once.
    pub max_running: u32,
    /// Maximum number of waiting requests of one priority.
    pub max_waiting: u32,
    /// Capacity of the KV memory, in tokens.
    pub kv_capacity_tokens: u32,
    /// Capacity of the prefix cache, in blocks of
    /// [`BLOCK_TOKENS`](crate::answer::BLOCK_TOKENS).
    pub cache_blocks: usize,
    /// Fixed cost of a KV import, in microseconds.
    pub kv_import_micros: u64,
    /// Cost of importing the KV cache of one token, in nanoseconds.
    pub kv_import_token_nanos: u64,
    /// Maximum number of stored KV exports; the oldest is dropped when it is exceeded.
    pub max_exports: usize,
    /// Age of a load report when it is read, in microseconds.
    pub report_lag_micros: u64,
    /// Age of a cache event when it can be read, in microseconds.
    pub cache_event_lag_micros: u64,
    /// Share of cache events that are lost, per thousand.
    pub cache_event_loss_permille: u32,
    /// Maximum number of stored cache events; the oldest is dropped when it is exceeded.
    pub max_cache_events: usize,
    /// Time to load a model whose weights are on the machine, in microseconds.
    pub load_model_micros: u64,
    /// Time to load an adapter, in microseconds.
    pub load_adapter_micros: u64,
}

impl Default for EngineModel {
    /// A replica of four accelerators with a mid-sized model: about 1,300
    /// tokens a second with 24 sequences, 20,000 prompt tokens a second.
    fn default() -> Self {
        EngineModel {
            step_micros: 15_000,
            prefill_token_nanos: 50_000,
            decode_sequence_nanos: 100_000,
            prefill_budget_tokens: 512,
            batch_prefill_budget_tokens: 64,
            max_running: 64,
            max_waiting: 512,
            kv_capacity_tokens: 262_144,
            cache_blocks: 2_048,
            kv_import_micros: 2_000,
            kv_import_token_nanos: 2_000,
            max_exports: 256,
            report_lag_micros: 200_000,
            cache_event_lag_micros: 300_000,
            cache_event_loss_permille: 20,
            max_cache_events: 4_096,
            load_model_micros: 3_000_000,
            load_adapter_micros: 300_000,
        }
    }
}

impl EngineModel {
    /// The duration of a step, in microseconds.
    #[must_use]
    pub fn step_duration(&self, prefill_tokens: u32, decoding: u32) -> u64 {
        let nanos = u64::from(prefill_tokens) * self.prefill_token_nanos
            + u64::from(decoding) * self.decode_sequence_nanos;
        self.step_micros + nanos / 1_000
    }

    /// The duration of a KV import, in microseconds.
    #[must_use]
    pub fn import_duration(&self, tokens: u32) -> u64 {
        self.kv_import_micros + u64::from(tokens) * self.kv_import_token_nanos / 1_000
    }
}
