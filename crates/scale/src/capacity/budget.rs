//! Budgets for the cost of control on a node.

use super::{
    file::MeasuredFile,
    measurement::{Kind, Measurement, Role},
    size::FleetSize,
};

/// Maximum share of a core that control may use on a node.
const MAX_CORES: f64 = 0.011;
/// Maximum memory that control may use on a node, in bytes.
const MAX_MEMORY_BYTES: f64 = 256.0 * 1024.0 * 1024.0;
/// Maximum control traffic of a node, sent and received, in bytes per second.
const MAX_TRAFFIC_BYTES_PER_SECOND: f64 = 2.0 * 1024.0;

/// A limit on the sum of all measured costs of one kind on the gateway.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    /// Kind of cost that is limited.
    pub kind: Kind,
    /// The limit, in base units of the kind.
    pub limit: f64,
}

/// Budgets of a node for control.
pub const NODE_BUDGETS: [Budget; 3] = [
    Budget {
        kind: Kind::Cpu,
        limit: MAX_CORES,
    },
    Budget {
        kind: Kind::Memory,
        limit: MAX_MEMORY_BYTES,
    },
    Budget {
        kind: Kind::Traffic,
        limit: MAX_TRAFFIC_BYTES_PER_SECOND,
    },
];

impl Budget {
    /// Cost at a size, in base units of the kind; `None` when no cost of the kind was
    /// measured.
    #[must_use]
    pub fn used_at(&self, size: &FleetSize, measured: &MeasuredFile) -> Option<f64> {
        let mut costs = self
            .gateway_measurements(measured)
            .filter_map(|measurement| measurement.sustained_at(size))
            .peekable();
        costs.peek()?;
        Some(costs.sum())
    }

    /// Factor on `size` at which the budget is exhausted; `None` when no growth exhausts the
    /// budget. All counts grow by the same factor and the frequencies stay constant.
    #[must_use]
    pub fn exhausting_multiple(&self, size: &FleetSize, measured: &MeasuredFile) -> Option<f64> {
        let mut fixed = 0.0;
        let mut growing = 0.0;
        for measurement in self.gateway_measurements(measured) {
            let Some(count) = size.count_of(measurement.per) else {
                continue;
            };
            let rate_factor = match measurement.each {
                None => 1.0,
                Some(each) => each.per_second(size).unwrap_or(0.0),
            };
            fixed += measurement.line().fixed * rate_factor;
            growing += measurement.line().slope * count as f64 * rate_factor;
        }
        (growing > 0.0).then(|| ((self.limit - fixed) / growing).max(0.0))
    }

    fn gateway_measurements<'a>(
        &self,
        measured: &'a MeasuredFile,
    ) -> impl Iterator<Item = &'a Measurement> {
        let kind = self.kind;
        measured.measurements.iter().filter(move |measurement| {
            measurement.role == Role::Gateway && measurement.kind == kind
        })
    }
}
