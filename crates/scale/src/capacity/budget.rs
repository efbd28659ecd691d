//! What control may cost a node.

use super::{
    file::MeasuredFile,
    measurement::{Kind, Measurement, Role},
    size::FleetSize,
};

/// Largest share of a core that control may take on a node.
const CORES: f64 = 0.011;
/// Largest memory that control may take on a node, in bytes.
const MEMORY_BYTES: f64 = 256.0 * 1024.0 * 1024.0;
/// Most bytes a second of control on a node's network, both ways.
const TRAFFIC_BYTES: f64 = 2.0 * 1024.0;

/// A limit on the gateway's sum of one kind.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    /// What is limited.
    pub kind: Kind,
    /// The limit, in base units of the kind.
    pub limit: f64,
}

/// The budgets of a node.
pub const NODE_BUDGETS: [Budget; 3] = [
    Budget {
        kind: Kind::Cpu,
        limit: CORES,
    },
    Budget {
        kind: Kind::Memory,
        limit: MEMORY_BYTES,
    },
    Budget {
        kind: Kind::Traffic,
        limit: TRAFFIC_BYTES,
    },
];

impl Budget {
    /// What of it is used at a size; `None` when nothing of the kind was measured.
    #[must_use]
    pub fn used_at(&self, size: &FleetSize, measured: &MeasuredFile) -> Option<f64> {
        let mut uses = self
            .rows(measured)
            .filter_map(|row| row.sustained_at(size))
            .peekable();
        uses.peek()?;
        Some(uses.sum())
    }

    /// How many times the size uses it up, all counts growing alike and the
    /// frequencies staying; `None` when it never does.
    #[must_use]
    pub fn exhausting_multiple(&self, size: &FleetSize, measured: &MeasuredFile) -> Option<f64> {
        let mut fixed = 0.0;
        let mut growing = 0.0;
        for row in self.rows(measured) {
            let Some(count) = size.of(row.per) else {
                continue;
            };
            let times = match row.each {
                None => 1.0,
                Some(each) => each.per_second(size).unwrap_or(0.0),
            };
            fixed += row.line().fixed * times;
            growing += row.line().slope * count as f64 * times;
        }
        (growing > 0.0).then(|| ((self.limit - fixed) / growing).max(0.0))
    }

    fn rows<'a>(&self, measured: &'a MeasuredFile) -> impl Iterator<Item = &'a Measurement> {
        let kind = self.kind;
        measured
            .measurements
            .iter()
            .filter(move |row| row.role == Role::Gateway && row.kind == kind)
    }
}
