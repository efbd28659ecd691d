//! `linnethitch-lab measure consensus`: one group of control members in this
//! process, with real folders and real syncs on one disk.
//!
//! All members share the disk and the processor, and channels replace the
//! network, so the figures are ratios: against the disk's own rate of synced
//! appends, and between sizes of the group, measured in the same run.

mod disk;
mod group;
mod report;
mod runs;

use std::{
    path::{Path, PathBuf},
    time::Duration,
};

use bpaf::Bpaf;
use error_stack::{Report, ResultExt};
use linnethitch_errors::ErrorKind;

use self::{
    group::Group,
    report::{CommitRate, ConsensusReport},
    runs::Kind,
};
use crate::{
    output::print_line,
    process::{Outcome, Verdict},
};

/// Sizes of the groups that are measured.
const GROUP_SIZES: [u32; 3] = [1, 3, 5];
/// Numbers of concurrent calls.
const OUTSTANDING: [usize; 4] = [1, 16, 256, 4_096];

/// The disk is measured for the duration of a measurement divided by this number.
const DISK_DURATION_DIVISOR: u32 = 5;

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

/// Measures everything.
pub(crate) fn run(arguments: &Arguments) -> Outcome {
    let data = arguments.output.join("data");
    clear(&data)?;
    let report = measure(arguments, &data);
    clear(&data)?;
    let report = report?;
    report.write(&arguments.output)?;
    print_line(&report.markdown());
    Ok(Verdict::Good)
}

fn measure(arguments: &Arguments, data: &Path) -> Result<ConsensusReport, Report<ErrorKind>> {
    let duration = Duration::try_from_secs_f64(arguments.seconds)
        .change_context(ErrorKind::InvalidValue)
        .attach("--seconds must be a duration")?;
    let mut report = ConsensusReport::default();
    std::fs::create_dir_all(data).change_context(ErrorKind::Io)?;
    for members in GROUP_SIZES {
        let folder = data.join(format!("group-{members}"));
        let mut group = Group::start(&folder, members)?;
        for outstanding in OUTSTANDING {
            let disk = disk::syncs_per_second(data, members, duration / DISK_DURATION_DIVISOR)?;
            let commits =
                runs::throughput(&mut group, members, Kind::Commit, outstanding, duration)?;
            report.commits.push(CommitRate {
                disk_per_second: disk / f64::from(members),
                commits,
            });
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
        print_line(&format!("measured a group of {members}"));
    }
    Ok(report)
}

fn clear(folder: &Path) -> Result<(), Report<ErrorKind>> {
    if folder.exists() {
        std::fs::remove_dir_all(folder).change_context(ErrorKind::Io)?;
    }
    Ok(())
}
