//! `linnethitch-lab capacity`: the measured tables of the capacity page.

use std::{
    fs,
    path::{Path, PathBuf},
};

use bpaf::Bpaf;
use error_stack::{Report, ResultExt};
use linnethitch_errors::ErrorKind;
use linnethitch_scale::{
    capacity::{MeasuredFile, Source, render_page},
    run::{ScaleResults, measurements},
};

use crate::{
    output::print_line,
    process::{Outcome, Verdict},
};

/// The command whose results are merged into the measurements.
const SCALE_COMMAND: &str = "linnethitch-lab scale";

/// The page and the measurements that its tables are made of:
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(arguments))]
pub(crate) struct Arguments {
    /// The page; only its measured parts are touched
    #[bpaf(
        argument("FILE"),
        fallback(PathBuf::from("docs/CAPACITY.md")),
        debug_fallback
    )]
    page: PathBuf,
    /// The measurements, as `measure state --measured` writes them
    #[bpaf(
        argument("FILE"),
        fallback(PathBuf::from("docs/capacity/measured.json")),
        debug_fallback
    )]
    measured: PathBuf,
    /// Take the figures of a scale run in first: its results.json
    #[bpaf(argument("FILE"))]
    scale_results: Option<PathBuf>,
    /// The commit that the scale run measured
    #[bpaf(argument("COMMIT"), fallback("unknown".to_owned()), display_fallback)]
    commit: String,
    /// The day of the scale run, as 2026-01-31
    #[bpaf(argument("DATE"), fallback("unknown".to_owned()), display_fallback)]
    date: String,
    /// Change nothing; the exit status is 1 when the page differs from what it should be
    check: bool,
}

/// Renders the page; the verdict is bad when a check finds a difference.
pub(crate) fn run(arguments: &Arguments) -> Outcome {
    if let Some(results) = &arguments.scale_results {
        merge_scale_results(arguments, results)?;
    }
    let page = fs::read_to_string(&arguments.page)
        .change_context(ErrorKind::Io)
        .attach_with(|| arguments.page.display().to_string())?;
    let measured =
        MeasuredFile::read(&arguments.measured).change_context(ErrorKind::MalformedRequest)?;
    let rendered = render_page(&page, &measured).change_context(ErrorKind::MalformedRequest)?;
    if rendered == page {
        print_line("the page is up to date");
        return Ok(Verdict::Good);
    }
    if arguments.check {
        print_line("the page differs from its measurements; run `linnethitch-lab capacity`");
        return Ok(Verdict::Bad);
    }
    write_page(&arguments.page, &rendered)?;
    print_line("the page's measured parts have been updated");
    Ok(Verdict::Good)
}

/// Merges the figures of a scale run into the measurements.
fn merge_scale_results(arguments: &Arguments, results: &Path) -> Result<(), Report<ErrorKind>> {
    let text = fs::read_to_string(results)
        .change_context(ErrorKind::Io)
        .attach_with(|| results.display().to_string())?;
    let results: ScaleResults =
        serde_json::from_str(&text).change_context(ErrorKind::MalformedRequest)?;
    let source = Source {
        command: SCALE_COMMAND.to_owned(),
        commit: arguments.commit.clone(),
        date: arguments.date.clone(),
    };
    let mut measured =
        MeasuredFile::read(&arguments.measured).change_context(ErrorKind::MalformedRequest)?;
    measured.merge(measurements(&results, &source));
    measured
        .write(&arguments.measured)
        .change_context(ErrorKind::Io)
}

fn write_page(page: &PathBuf, text: &str) -> Result<(), Report<ErrorKind>> {
    fs::write(page, text)
        .change_context(ErrorKind::Io)
        .attach_with(|| page.display().to_string())
}
