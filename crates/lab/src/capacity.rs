//! `linnethitch-lab capacity`: the measured tables of the capacity page.

use std::{fs, path::PathBuf};

use bpaf::Bpaf;
use error_stack::{Report, ResultExt};
use linnethitch_errors::ErrorKind;
use linnethitch_scale::capacity::{MeasuredFile, render_page};

use crate::{
    output::say,
    process::{Outcome, Verdict},
};

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
    /// The measurements, as `scale --measured` and `measure` write them
    #[bpaf(
        argument("FILE"),
        fallback(PathBuf::from("docs/capacity/measured.json")),
        debug_fallback
    )]
    measured: PathBuf,
    /// Change nothing; the exit status is 1 when the page differs from what it should be
    check: bool,
}

/// Renders the page; the verdict is bad when a check found it different.
pub(crate) fn run(arguments: &Arguments) -> Outcome {
    let page = fs::read_to_string(&arguments.page)
        .change_context(ErrorKind::Io)
        .attach_with(|| arguments.page.display().to_string())?;
    let measured =
        MeasuredFile::read(&arguments.measured).change_context(ErrorKind::MalformedRequest)?;
    let rendered = render_page(&page, &measured).change_context(ErrorKind::MalformedRequest)?;
    if rendered == page {
        say("the page is up to date");
        return Ok(Verdict::Good);
    }
    if arguments.check {
        say("the page differs from its measurements; run `linnethitch-lab capacity`");
        return Ok(Verdict::Bad);
    }
    write_page(&arguments.page, &rendered)?;
    say("the page's measured parts are written anew");
    Ok(Verdict::Good)
}

fn write_page(page: &PathBuf, text: &str) -> Result<(), Report<ErrorKind>> {
    fs::write(page, text)
        .change_context(ErrorKind::Io)
        .attach_with(|| page.display().to_string())
}
