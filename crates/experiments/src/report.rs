//! Report of experiments: Markdown, HTML with plots, and `results.json`.

use std::{fs, path::Path};

use linnethitch_errors::ErrorKind;
use serde::Serialize;

use crate::{Experiment, Finding, Settings, Table};

/// The part of the report on one experiment.
#[derive(Clone, Debug)]
pub struct Section {
    /// The experiment.
    pub experiment: Experiment,
    /// The results of the experiment.
    pub finding: Finding,
}

#[derive(Serialize)]
struct Results<'a> {
    seed: u64,
    seconds: u64,
    warm_up_seconds: u64,
    experiments: Vec<ExperimentResults<'a>>,
}

#[derive(Serialize)]
struct ExperimentResults<'a> {
    name: &'a str,
    question: &'a str,
    tables: &'a [Table],
}

/// Writes `report.md`, `report.html`, `results.json` and a file for each plot.
///
/// # Errors
/// [`ErrorKind::Io`] when the folder or a file cannot be written;
/// [`ErrorKind::Internal`] when a plot cannot be drawn or the results cannot be serialized.
pub fn write(folder: &Path, settings: &Settings, sections: &[Section]) -> Result<(), ErrorKind> {
    fs::create_dir_all(folder).map_err(|_| ErrorKind::Io)?;
    let save =
        |name: &str, text: &str| fs::write(folder.join(name), text).map_err(|_| ErrorKind::Io);
    for plot in sections.iter().flat_map(|section| &section.finding.plots) {
        save(&format!("{}.svg", plot.name), &plot.to_svg()?)?;
    }
    save("report.md", &markdown(settings, sections))?;
    save("report.html", &html(settings, sections)?)?;
    save("results.json", &json(settings, sections)?)
}

fn heading(settings: &Settings) -> String {
    format!(
        "Seed {}, {} s of virtual time, of which the first {} s are not measured.",
        settings.seed, settings.seconds, settings.warm_up_seconds
    )
}

fn markdown(settings: &Settings, sections: &[Section]) -> String {
    let mut text = format!("# Experiments\n\n{}\n", heading(settings));
    for section in sections {
        text.push_str(&format!(
            "\n## {}\n\n{}\n",
            section.experiment.name, section.experiment.question
        ));
        for table in &section.finding.tables {
            text.push_str(&format!("\n{}", table.to_markdown()));
        }
        for plot in &section.finding.plots {
            text.push_str(&format!("\n![{}]({}.svg)\n", plot.title, plot.name));
        }
    }
    text
}

fn html(settings: &Settings, sections: &[Section]) -> Result<String, ErrorKind> {
    let mut body = format!("<h1>Experiments</h1><p>{}</p>", heading(settings));
    for section in sections {
        body.push_str(&format!(
            "<h2>{}</h2><p>{}</p>",
            section.experiment.name, section.experiment.question
        ));
        for table in &section.finding.tables {
            body.push_str(&table.to_html());
        }
        for plot in &section.finding.plots {
            body.push_str(&plot.to_svg()?);
        }
    }
    Ok(format!(
        "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>Experiments</title>\
         <style>body{{font-family:sans-serif;max-width:70em;margin:auto}}td,th{{padding:0 .6em;\
         text-align:right}}td:first-child{{text-align:left}}</style></head><body>{body}</body></html>\n"
    ))
}

fn json(settings: &Settings, sections: &[Section]) -> Result<String, ErrorKind> {
    let experiments = sections.iter().map(|section| ExperimentResults {
        name: section.experiment.name,
        question: section.experiment.question,
        tables: &section.finding.tables,
    });
    let results = Results {
        seed: settings.seed,
        seconds: settings.seconds,
        warm_up_seconds: settings.warm_up_seconds,
        experiments: experiments.collect(),
    };
    serde_json::to_string_pretty(&results).map_err(|_| ErrorKind::Internal)
}
