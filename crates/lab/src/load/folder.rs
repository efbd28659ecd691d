//! Writes the report folder: the result as JSON and as a table, and each distribution.

use std::{
    fmt::Write,
    fs,
    path::{Path, PathBuf},
};

use error_stack::{Report, ResultExt};
use hdrhistogram::Histogram;
use linnethitch_errors::ErrorKind;

use super::{report::LoadReport, tally::Tally};

const MICROS_PER_MILLI: f64 = 1_000.0;
/// Lines per halving of the distance to the 100th percentile.
const LINES_PER_HALVING: u32 = 5;

/// Writes `report.json`, `report.txt` and a `.hgrm` file for each distribution.
///
/// # Errors
/// `Io` with the file that cannot be written.
pub(super) fn write(
    folder: &Path,
    report: &LoadReport,
    tally: &Tally,
) -> Result<(), Report<ErrorKind>> {
    fs::create_dir_all(folder)
        .change_context(ErrorKind::Io)
        .attach_with(|| format!("cannot create the folder {}", folder.display()))?;
    let json = serde_json::to_string_pretty(report).change_context(ErrorKind::Internal)?;
    write_file(folder.join("report.json"), &json)?;
    write_file(folder.join("report.txt"), &report.table())?;
    for (kind, figures) in &tally.kinds {
        let distributions = [
            ("first-token", &figures.first),
            ("between-tokens", &figures.between),
            ("total", &figures.total),
        ];
        for (name, histogram) in distributions {
            if !histogram.is_empty() {
                let file = format!("{}-{name}.hgrm", kind.name().replace(' ', "-"));
                write_file(folder.join(file), &distribution(histogram))?;
            }
        }
    }
    Ok(())
}

fn write_file(file: PathBuf, text: &str) -> Result<(), Report<ErrorKind>> {
    fs::write(&file, text)
        .change_context(ErrorKind::Io)
        .attach_with(|| format!("cannot write {}", file.display()))
}

/// The percentile distribution in milliseconds, in the text form of HdrHistogram.
fn distribution(histogram: &Histogram<u64>) -> String {
    let mut text = String::from("       Value     Percentile TotalCount 1/(1-Percentile)\n\n");
    for step in histogram.iter_quantiles(LINES_PER_HALVING) {
        let quantile = step.quantile_iterated_to();
        let value = step.value_iterated_to() as f64 / MICROS_PER_MILLI;
        let count = histogram.count_between(0, step.value_iterated_to());
        // Writing to a string cannot fail.
        let _ = writeln!(
            text,
            "{value:12.3} {quantile:2.12} {count:10} {:14.2}",
            1.0 / (1.0 - quantile)
        );
    }
    text
}
