//! Limits that a run must keep, in addition to correct answers.

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

/// The figures that limits apply to.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct LimitedFigures {
    pub(super) failed_percent: f64,
    /// `None` when no short stream received a token.
    pub(super) first_token_p95_ms: Option<f64>,
    /// `None` when no short stream received two tokens.
    pub(super) between_tokens_p95_ms: Option<f64>,
}

impl Limits {
    /// A sentence for each limit that is exceeded. A missing figure counts as exceeding its limit.
    pub(super) fn exceeded(&self, measured: &LimitedFigures) -> Vec<String> {
        let checks = [
            (
                "failed requests in percent",
                self.limit_failed_percent,
                Some(measured.failed_percent),
            ),
            (
                "95th percentile to the first token in ms",
                self.limit_first_token_ms,
                measured.first_token_p95_ms,
            ),
            (
                "95th percentile between tokens in ms",
                self.limit_between_tokens_ms,
                measured.between_tokens_p95_ms,
            ),
        ];
        checks
            .into_iter()
            .filter_map(|(name, limit, measured)| exceeded(name, limit?, measured))
            .collect()
    }
}

fn exceeded(name: &str, limit: f64, measured: Option<f64>) -> Option<String> {
    match measured {
        Some(value) if value <= limit => None,
        Some(value) => Some(format!("{name}: {value:.1}, limit {limit}")),
        None => Some(format!("{name}: nothing measured, limit {limit}")),
    }
}
