//! Measured costs and their values at a fleet size.

use serde::{Deserialize, Serialize};

use super::{
    fit::{Line, Point, fit_line},
    size::{Dimension, FleetSize},
};

const SECONDS_PER_DAY: f64 = 86_400.0;

/// Part of the system that bears a cost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// The gateway process on each node.
    Gateway,
    /// The control member that is the leader.
    ControlLeader,
    /// Any other control member.
    ControlFollower,
    /// Load on one engine or application replica.
    EngineSide,
    /// Load on the machine list of the platform.
    PlatformList,
    /// The fleet as a whole.
    Fleet,
}

impl Role {
    /// All roles, in the order of the page.
    pub const ALL: [Role; 6] = [
        Role::Gateway,
        Role::ControlLeader,
        Role::ControlFollower,
        Role::EngineSide,
        Role::PlatformList,
        Role::Fleet,
    ];

    /// Heading of the role on the page.
    #[must_use]
    pub fn title(self) -> &'static str {
        match self {
            Role::Gateway => "Gateway",
            Role::ControlLeader => "Control leader",
            Role::ControlFollower => "Control follower",
            Role::EngineSide => "Engine side",
            Role::PlatformList => "Platform list",
            Role::Fleet => "Fleet",
        }
    }

    /// Name of the role in the markers of the page.
    #[must_use]
    pub fn marker(self) -> &'static str {
        match self {
            Role::Gateway => "gateway",
            Role::ControlLeader => "control-leader",
            Role::ControlFollower => "control-follower",
            Role::EngineSide => "engine-side",
            Role::PlatformList => "platform-list",
            Role::Fleet => "fleet",
        }
    }
}

/// Kind of cost, with its base unit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Memory in use, in bytes.
    Memory,
    /// Disk space, in bytes.
    Disk,
    /// Frames per second, sent and received.
    Messages,
    /// Bytes per second on the wire, sent and received.
    Traffic,
    /// Processor time: cores, or core seconds per occurrence.
    Cpu,
    /// A duration, in seconds.
    Time,
}

impl Kind {
    /// All kinds, in the order of the page.
    pub const ALL: [Kind; 6] = [
        Kind::Memory,
        Kind::Disk,
        Kind::Messages,
        Kind::Traffic,
        Kind::Cpu,
        Kind::Time,
    ];

    /// Term used on the page.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Kind::Memory => "memory",
            Kind::Disk => "disk",
            Kind::Messages => "messages",
            Kind::Traffic => "bytes on the wire",
            Kind::Cpu => "processor",
            Kind::Time => "time",
        }
    }
}

/// Event whose cost is measured per occurrence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Frequency {
    /// A change of the configuration.
    Change,
    /// A start of a gateway.
    Restart,
    /// A batch item.
    Item,
}

impl Frequency {
    /// Term used on the page.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Frequency::Change => "change",
            Frequency::Restart => "restart of a gateway",
            Frequency::Item => "batch item",
        }
    }

    /// Occurrences per second, averaged over a day; `None` when the size does not state the
    /// frequency.
    #[must_use]
    pub fn per_second(self, size: &FleetSize) -> Option<f64> {
        let per_day = match self {
            Frequency::Change => size.changes_per_day,
            Frequency::Restart => size.restarts_per_day,
            Frequency::Item => size.items_per_day,
        };
        per_day.map(|occurrences| occurrences as f64 / SECONDS_PER_DAY)
    }
}

/// Run that produced a measurement.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Source {
    /// Command line that repeats the run.
    pub command: String,
    /// Abbreviated id of the measured commit.
    pub commit: String,
    /// Date of the run, as `2026-01-31`.
    pub date: String,
}

/// A cost measured at several sizes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Measurement {
    /// Unique name, such as `gateway.memory.tenants`.
    pub id: String,
    /// Part of the system that bears the cost.
    pub role: Role,
    /// Kind of cost.
    pub kind: Kind,
    /// Short description of the cause.
    pub what: String,
    /// Dimension that the cost grows with.
    pub per: Dimension,
    /// Event to which the points refer, when they are costs per occurrence instead of per
    /// second.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub each: Option<Frequency>,
    /// The measured points, in base units of the kind.
    pub points: Vec<Point>,
    /// Run that produced the points.
    pub source: Source,
}

impl Measurement {
    /// Least-squares line through the points.
    #[must_use]
    pub fn line(&self) -> Line {
        fit_line(&self.points)
    }

    /// Cost at a size: per occurrence if `each` is set. `None` when the size does not state
    /// the dimension.
    #[must_use]
    pub fn cost_at(&self, size: &FleetSize) -> Option<f64> {
        let count = size.count_of(self.per)?;
        Some(self.line().value_at(count as f64).max(0.0))
    }

    /// Sustained cost at a size, averaged over a day: a cost per occurrence is multiplied by
    /// the occurrences per second. `None` when the size does not state the dimension or the
    /// frequency.
    #[must_use]
    pub fn sustained_at(&self, size: &FleetSize) -> Option<f64> {
        let cost = self.cost_at(size)?;
        match self.each {
            None => Some(cost),
            Some(frequency) => Some(cost * frequency.per_second(size)?),
        }
    }

    /// Whether the size exceeds the largest measured point.
    #[must_use]
    pub fn is_extrapolated(&self, size: &FleetSize) -> bool {
        let largest = self.points.iter().map(|point| point.size).max();
        size.count_of(self.per) > largest
    }
}
