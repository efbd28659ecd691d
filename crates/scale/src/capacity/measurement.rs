//! One measured figure and what it amounts to at a size.

use serde::{Deserialize, Serialize};

use super::{
    fit::{Line, Point, fit_line},
    size::{Dimension, FleetSize},
};

/// Seconds of a day.
const DAY_SECONDS: f64 = 86_400.0;

/// Whose cost a figure is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// The process beside each caller.
    Gateway,
    /// The control member that leads.
    ControlLeader,
    /// Any other control member.
    ControlFollower,
    /// What reaches one engine or application replica.
    EngineSide,
    /// What reaches the platform's list.
    PlatformList,
    /// The fleet as a whole.
    Fleet,
}

impl Role {
    /// All roles, in the page's order.
    pub const ALL: [Role; 6] = [
        Role::Gateway,
        Role::ControlLeader,
        Role::ControlFollower,
        Role::EngineSide,
        Role::PlatformList,
        Role::Fleet,
    ];

    /// The heading of the page.
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

    /// The name in the page's markers.
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

/// What is counted, in base units.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Memory held, in bytes.
    Memory,
    /// Bytes on disk.
    Disk,
    /// Frames a second, sent and received.
    Messages,
    /// Bytes a second on the wire, sent and received.
    Traffic,
    /// Processor time: cores, or core seconds for each occurrence.
    Cpu,
    /// A duration, in seconds.
    Time,
}

impl Kind {
    /// All kinds, in the page's order.
    pub const ALL: [Kind; 6] = [
        Kind::Memory,
        Kind::Disk,
        Kind::Messages,
        Kind::Traffic,
        Kind::Cpu,
        Kind::Time,
    ];

    /// The word of the page.
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

/// How often something happens whose cost is measured once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Frequency {
    /// With each change of the configuration.
    Change,
    /// With each start of a gateway.
    Restart,
    /// With each batch item.
    Item,
}

impl Frequency {
    /// The word of the page.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Frequency::Change => "change",
            Frequency::Restart => "restart of a gateway",
            Frequency::Item => "batch item",
        }
    }

    /// How often it happens in a second, on average over a day.
    #[must_use]
    pub fn per_second(self, size: &FleetSize) -> Option<f64> {
        let per_day = match self {
            Frequency::Change => size.changes_per_day,
            Frequency::Restart => size.restarts_per_day,
            Frequency::Item => size.items_per_day,
        };
        per_day.map(|times| times as f64 / DAY_SECONDS)
    }
}

/// The run that gave a figure.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Source {
    /// The command, as it can be repeated.
    pub command: String,
    /// The commit that was measured, abbreviated.
    pub commit: String,
    /// The day, as `2026-01-31`.
    pub date: String,
}

/// A figure measured at several sizes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Measurement {
    /// Unique name, such as `gateway.memory.tenants`.
    pub id: String,
    /// Whose cost it is.
    pub role: Role,
    /// What is counted.
    pub kind: Kind,
    /// What causes it, in a few words.
    pub what: String,
    /// What it grows with.
    pub per: Dimension,
    /// Set when the points are the cost of one occurrence, not of a second.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub each: Option<Frequency>,
    /// The measured points, in base units of the kind.
    pub points: Vec<Point>,
    /// Where they are from.
    pub source: Source,
}

impl Measurement {
    /// The line through the points.
    #[must_use]
    pub fn line(&self) -> Line {
        fit_line(&self.points)
    }

    /// The figure at a size, for one occurrence where it is measured so.
    #[must_use]
    pub fn at(&self, size: &FleetSize) -> Option<f64> {
        let count = size.of(self.per)?;
        Some(self.line().at(count as f64).max(0.0))
    }

    /// The figure at a size over a second of an ordinary day.
    #[must_use]
    pub fn sustained_at(&self, size: &FleetSize) -> Option<f64> {
        let once = self.at(size)?;
        match self.each {
            None => Some(once),
            Some(frequency) => Some(once * frequency.per_second(size)?),
        }
    }

    /// Whether the size lies beyond the largest measured point.
    #[must_use]
    pub fn is_extrapolated(&self, size: &FleetSize) -> bool {
        let largest = self.points.iter().map(|point| point.size).max();
        size.of(self.per) > largest
    }
}
