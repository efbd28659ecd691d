//! The results in the form of the capacity page.

use std::process::Command;

use linnethitch_scale::capacity::{Dimension, Frequency, Kind, Measurement, Point, Role, Source};
use time::OffsetDateTime;

use super::{
    Arguments,
    day::Day,
    full::Full,
    largest_job::LargestJob,
    slopes::{Entry, Slope},
};

const COMMAND: &str = "linnethitch-lab measure state";
const ROLES: [Role; 2] = [Role::ControlLeader, Role::ControlFollower];

/// The dimension of the capacity page that an entry belongs to, the name in the id of its
/// measurement, and its description.
fn dimension(entry: Entry) -> Option<(Dimension, &'static str, &'static str)> {
    match entry {
        Entry::Tenant => Some((Dimension::Tenants, "tenants", "fleet file and tenants")),
        Entry::Session => Some((Dimension::Gateways, "sessions", "sessions of gateways")),
        Entry::Order => Some((Dimension::Replicas, "orders", "open orders to engines")),
        Entry::FinishedJob => Some((Dimension::Jobs, "jobs", "jobs and input files")),
        Entry::DoneItem => Some((Dimension::Items, "items", "items and their results")),
        _ => None,
    }
}

/// All measurements that the capacity page uses.
pub(super) fn measurements(
    arguments: &Arguments,
    slopes: &[Slope],
    job: &LargestJob,
    day: &Day,
    full: &Full,
) -> Vec<Measurement> {
    let source = source();
    let mut measurements = Vec::new();
    for role in ROLES {
        let template = |name: &str, kind, what: &str, per, points| Measurement {
            id: format!("{}.{name}", role.marker()),
            role,
            kind,
            what: what.to_owned(),
            per,
            each: None,
            points,
            source: source.clone(),
        };
        for slope in slopes {
            if let Some((per, name, what)) = dimension(slope.entry) {
                let id = format!("memory.ledger.{name}");
                measurements.push(template(&id, Kind::Memory, what, per, slope.held.clone()));
            }
        }
        let point = |size, value| vec![Point { size, value }];
        measurements.push(template(
            "time.ledger.accept",
            Kind::Time,
            "accepting an uploaded job",
            Dimension::ItemsOfOneJob,
            point(job.items, job.step_seconds("accepted")),
        ));
        measurements.push(Measurement {
            each: Some(Frequency::Item),
            ..template(
                "cpu.ledger.items",
                Kind::Cpu,
                "leasing and completing an item",
                Dimension::Jobs,
                point(
                    day.jobs,
                    day.running.seconds() / day.completed.max(1) as f64,
                ),
            )
        });
        measurements.push(Measurement {
            each: Some(Frequency::Change),
            ..template(
                "cpu.ledger.changes",
                Kind::Cpu,
                "applying a change of one line",
                Dimension::Tenants,
                point(arguments.tenants, full.change_seconds),
            )
        });
    }
    measurements
}

fn source() -> Source {
    Source {
        command: COMMAND.to_owned(),
        commit: commit().unwrap_or_else(|| "unknown".to_owned()),
        date: OffsetDateTime::now_utc().date().to_string(),
    }
}

/// The commit of the working directory, if it is a checkout.
fn commit() -> Option<String> {
    let output = Command::new("git")
        .args(["rev-parse", "--short", "HEAD"])
        .output()
        .ok()?;
    let text = String::from_utf8(output.stdout).ok()?;
    let commit = text.trim();
    (output.status.success() && !commit.is_empty()).then(|| commit.to_owned())
}
