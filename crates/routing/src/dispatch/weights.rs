//! Splitting requests by weight, evenly also over short times.

/// Smooth weighted turns: of any run of requests each back end gets its share,
/// off by one at most.
#[derive(Clone, Debug, Default)]
pub struct WeightedRoundRobin {
    credit: Vec<i64>,
}

impl WeightedRoundRobin {
    /// The index of the back end whose turn it is; `None` when no weight is above 0.
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
        // One whose weight was taken away may have credit left.
        let weighted = (0..weights.len()).filter(|index| weights[*index] > 0);
        let chosen = weighted.max_by_key(|index| self.credit[*index])?;
        self.credit[chosen] -= total;
        Some(chosen)
    }
}
