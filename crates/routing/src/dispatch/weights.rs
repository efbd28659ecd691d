//! Splits requests by weight, evenly even over short times.

/// Smooth weighted round robin: of any sequence of requests each back end gets its share, off by at
/// most one.
#[derive(Clone, Debug, Default)]
pub struct WeightedRoundRobin {
    credit: Vec<i64>,
}

impl WeightedRoundRobin {
    /// The index of the next back end; `None` if no weight is above 0.
    pub fn next(&mut self, weights: &[u32]) -> Option<usize> {
        let total: i64 = weights.iter().map(|weight| i64::from(*weight)).sum();
        if total == 0 {
            return None;
        }
        if self.credit.len() != weights.len() {
            self.credit = vec![0; weights.len()];
        }
        for (credit, weight) in self.credit.iter_mut().zip(weights) {
            *credit += i64::from(*weight);
        }
        // A back end whose weight was removed may have credit left.
        let weighted = (0..weights.len()).filter(|index| weights[*index] > 0);
        let chosen = weighted.max_by_key(|index| self.credit[*index])?;
        self.credit[chosen] -= total;
        Some(chosen)
    }
}
