//! `linnethitch-lab measure consensus`: one group of control members in this
//! process, with real folders and real syncs on one disk.
//!
//! All members share the disk and the processor, and channels stand for the
//! network, so the figures are ratios: against the disk's own rate of synced
//! appends, and between sizes of the group, measured in the same run.

mod disk;
mod group;
mod runs;

use std::{
    fmt::Write,
    path::{Path, PathBuf},
    time::Duration,
};

use bpaf::Bpaf;
use error_stack::{Report, ResultExt};
use linnethitch_errors::ErrorKind;
use serde::Serialize;

use self::{
    group::Group,
    runs::{Kind, Recovery, Throughput},
};
use crate::{
    output::say,
    process::{Outcome, Verdict},
};

/// Sizes of the groups that are measured.
const GROUP_SIZES: [u32; 3] = [1, 3, 5];
/// Calls under way at once.
const OUTSTANDING: [usize; 4] = [1, 16, 256, 4_096];

/// What is measured:
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(arguments))]
pub(crate) struct Arguments {
    /// Duration of each measurement, in seconds
    #[bpaf(argument("SECONDS"), fallback(5.0), display_fallback)]
    seconds: f64,
    /// How often the leader is killed
    #[bpaf(argument("N"), fallback(20), display_fallback)]
    losses: u32,
    /// Where `results.json`, `results.md` and, while it runs, the data go
    #[bpaf(
        argument("DIR"),
        fallback(PathBuf::from("target/measure-consensus")),
        debug_fallback
    )]
    output: PathBuf,
}

/// Synced appends a second of the disk itself.
#[derive(Clone, Debug, Serialize)]
struct DiskRate {
    files: u32,
    per_second: f64,
}

/// Everything that was measured.
#[derive(Clone, Debug, Default, Serialize)]
struct ConsensusReport {
    disk: Vec<DiskRate>,
    commits: Vec<Throughput>,
    reads: Vec<Throughput>,
    recoveries: Vec<Recovery>,
}

/// Measures everything.
pub(crate) fn run(arguments: &Arguments) -> Outcome {
    let data = arguments.output.join("data");
    clear(&data)?;
    let report = measure(arguments, &data);
    clear(&data)?;
    let report = report?;
    report.write(&arguments.output)?;
    say(&report.markdown());
    Ok(Verdict::Good)
}

fn measure(arguments: &Arguments, data: &Path) -> Result<ConsensusReport, Report<ErrorKind>> {
    let duration = Duration::try_from_secs_f64(arguments.seconds)
        .change_context(ErrorKind::InvalidValue)
        .attach("--seconds must be a duration")?;
    let mut report = ConsensusReport::default();
    std::fs::create_dir_all(data).change_context(ErrorKind::Io)?;
    for members in GROUP_SIZES {
        let per_second = disk::syncs_per_second(data, members, duration)?;
        report.disk.push(DiskRate {
            files: members,
            per_second,
        });
        let folder = data.join(format!("group-{members}"));
        let mut group = Group::start(&folder, members)?;
        for outstanding in OUTSTANDING {
            let commits =
                runs::throughput(&mut group, members, Kind::Commit, outstanding, duration)?;
            report.commits.push(commits);
        }
        for outstanding in OUTSTANDING {
            let reads = runs::throughput(&mut group, members, Kind::Read, outstanding, duration)?;
            report.reads.push(reads);
        }
        if members > 1 {
            let recovery = runs::recovery(&mut group, members, arguments.losses)?;
            report.recoveries.push(recovery);
        }
        group.stop()?;
        say(&format!("measured a group of {members}"));
    }
    Ok(report)
}

fn clear(folder: &Path) -> Result<(), Report<ErrorKind>> {
    if folder.exists() {
        std::fs::remove_dir_all(folder).change_context(ErrorKind::Io)?;
    }
    Ok(())
}

impl ConsensusReport {
    fn write(&self, folder: &Path) -> Result<(), Report<ErrorKind>> {
        std::fs::create_dir_all(folder).change_context(ErrorKind::Io)?;
        let json = serde_json::to_string_pretty(self).change_context(ErrorKind::Internal)?;
        std::fs::write(folder.join("results.json"), json).change_context(ErrorKind::Io)?;
        std::fs::write(folder.join("results.md"), self.markdown()).change_context(ErrorKind::Io)
    }

    fn markdown(&self) -> String {
        let mut text =
            String::from("\n| Synced appends of the disk, files at once | a second |\n|---|---|\n");
        for rate in &self.disk {
            // Writing into a string never fails.
            let _ = writeln!(text, "| {} | {:.0} |", rate.files, rate.per_second);
        }
        write_throughput(&mut text, "Commits", &self.commits);
        write_throughput(&mut text, "Reads", &self.reads);
        text.push_str("\n| Members | Losses of the leader | Next commit after (least / median / most), ms |\n|---|---|---|\n");
        for one in &self.recoveries {
            let _ = writeln!(
                text,
                "| {} | {} | {:.0} / {:.0} / {:.0} |",
                one.members, one.losses, one.least_ms, one.median_ms, one.most_ms
            );
        }
        text
    }
}

fn write_throughput(text: &mut String, title: &str, rows: &[Throughput]) {
    let _ = writeln!(
        text,
        "\n| {title}: members | outstanding | a second | median, ms | 99th percentile, ms |\n|---|---|---|---|---|"
    );
    for row in rows {
        let _ = writeln!(
            text,
            "| {} | {} | {:.0} | {:.2} | {:.2} |",
            row.members, row.outstanding, row.per_second, row.median_ms, row.p99_ms
        );
    }
}
