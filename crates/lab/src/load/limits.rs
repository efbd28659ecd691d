//! What a run must keep to, beside right answers.

use bpaf::Bpaf;

/// Limits that make the verdict bad when they are passed:
#[derive(Clone, Copy, Debug, Bpaf)]
#[bpaf(generate(limits))]
pub(super) struct Limits {
    /// Most requests of a hundred that may fail or be refused
    #[bpaf(argument("PERCENT"))]
    pub(super) limit_failed_percent: Option<f64>,
    /// First token of 95 in 100 short streams, in milliseconds
    #[bpaf(argument("MILLISECONDS"))]
    pub(super) limit_first_token_ms: Option<f64>,
    /// Time between tokens of 95 in 100 tokens of short streams, in milliseconds
    #[bpaf(argument("MILLISECONDS"))]
    pub(super) limit_between_tokens_ms: Option<f64>,
}

/// The figures that limits are put on.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Reached {
    pub(super) failed_percent: f64,
    /// `None` when no short stream brought a token.
    pub(super) first_token_p95_ms: Option<f64>,
    /// `None` when no short stream brought two.
    pub(super) between_tokens_p95_ms: Option<f64>,
}

impl Limits {
    /// A sentence for each limit that is passed. A figure that is missing passes its limit.
    pub(super) fn passed(&self, reached: &Reached) -> Vec<String> {
        let checks = [
            (
                "failed requests in percent",
                self.limit_failed_percent,
                Some(reached.failed_percent),
            ),
            (
                "95th percentile to the first token in ms",
                self.limit_first_token_ms,
                reached.first_token_p95_ms,
            ),
            (
                "95th percentile between tokens in ms",
                self.limit_between_tokens_ms,
                reached.between_tokens_p95_ms,
            ),
        ];
        checks
            .into_iter()
            .filter_map(|(name, limit, reached)| passed(name, limit?, reached))
            .collect()
    }
}

fn passed(name: &str, limit: f64, reached: Option<f64>) -> Option<String> {
    match reached {
        Some(value) if value <= limit => None,
        Some(value) => Some(format!("{name}: {value:.1}, limit {limit}")),
        None => Some(format!("{name}: nothing measured, limit {limit}")),
    }
}
