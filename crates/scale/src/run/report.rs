//! Output files of a run: `results.json`, `report.md` and plots.

use std::{fmt::Write, fs, path::Path};

use error_stack::{Report, ResultExt};
use linnethitch_errors::ErrorKind;
use plotters::prelude::*;

use super::{
    ScaleSettings,
    results::{GatewayStep, ScaleResults},
};

const PLOT_SIZE: (u32, u32) = (640, 360);
const MEBI: f64 = 1024.0 * 1024.0;

/// Plot of one value of the gateway steps against the number of gateways.
struct Plot {
    file: &'static str,
    title: &'static str,
    value: fn(&GatewayStep) -> f64,
}

const PLOTS: [Plot; 5] = [
    Plot {
        file: "node-bytes.svg",
        title: "bytes/s of a node",
        value: |step| step.hollow.bytes_per_second,
    },
    Plot {
        file: "node-processor.svg",
        title: "% of a core of a node",
        value: |step| step.hollow.cores * 100.0,
    },
    Plot {
        file: "leader-processor.svg",
        title: "% of a core of the leader",
        value: |step| step.leader.cores * 100.0,
    },
    Plot {
        file: "leader-bytes.svg",
        title: "bytes/s of the leader",
        value: |step| step.leader.bytes_per_second,
    },
    Plot {
        file: "change-seconds.svg",
        title: "seconds until a change is in force everywhere",
        value: |step| step.change_seconds,
    },
];

/// Writes all output files into the output folder.
pub(super) fn write(
    settings: &ScaleSettings,
    results: &ScaleResults,
) -> Result<(), Report<ErrorKind>> {
    let folder = &settings.output;
    let json = serde_json::to_string_pretty(results).change_context(ErrorKind::Internal)?;
    write_file(&folder.join("results.json"), &json)?;
    for plot in &PLOTS {
        draw(&folder.join(plot.file), plot, &results.steps)?;
    }
    write_file(&folder.join("report.md"), &markdown(results))
}

fn write_file(path: &Path, text: &str) -> Result<(), Report<ErrorKind>> {
    fs::write(path, text)
        .change_context(ErrorKind::Io)
        .attach_with(|| path.display().to_string())
}

fn markdown(results: &ScaleResults) -> String {
    let mut text = String::new();
    // Writing to a `String` cannot fail.
    let _ = write_markdown(&mut text, results);
    text
}

fn write_markdown(text: &mut String, results: &ScaleResults) -> std::fmt::Result {
    writeln!(text, "# Scale run\n\n{}\n", results.verdict())?;
    writeln!(
        text,
        "{} control members, {} emulated replicas.\n",
        results.members, results.replicas
    )?;
    writeln!(text, "| Budget | Limit | Found | |\n|---|---|---|---|")?;
    for check in &results.checks {
        let verdict = if check.is_within_limit() {
            "kept"
        } else {
            "BROKEN"
        };
        let (limit, found, unit) = (check.limit, check.found, &check.unit);
        writeln!(
            text,
            "| {} | {limit} {unit} | {found:.3} {unit} | {verdict} |",
            check.name
        )?;
    }
    write_tenants(text, results)?;
    write_gateways(text, results)?;
    writeln!(text, "\n## Events at the full size\n\n```json")?;
    let events = serde_json::to_string_pretty(&results.events).unwrap_or_default();
    writeln!(text, "{events}\n```\n")?;
    for plot in &PLOTS {
        writeln!(text, "![{}]({})", plot.title, plot.file)?;
    }
    Ok(())
}

fn write_tenants(text: &mut String, results: &ScaleResults) -> std::fmt::Result {
    writeln!(text, "\n## Tenants\n")?;
    writeln!(
        text,
        "| Tenants | File, MiB | Change: gateway, ms | leader, ms | follower, ms | Memory: gateway, MiB | leader, MiB | follower, MiB |"
    )?;
    writeln!(text, "|---|---|---|---|---|---|---|---|")?;
    for step in &results.tenant_steps {
        writeln!(
            text,
            "| {} | {:.2} | {:.0} | {:.0} | {:.0} | {:.0} | {:.0} | {:.0} |",
            step.tenants,
            step.file_bytes as f64 / MEBI,
            step.gateway_change_seconds * 1e3,
            step.leader_change_seconds * 1e3,
            step.follower_change_seconds * 1e3,
            step.gateway_memory_bytes / MEBI,
            step.leader_memory_bytes / MEBI,
            step.follower_memory_bytes / MEBI
        )?;
    }
    Ok(())
}

fn write_gateways(text: &mut String, results: &ScaleResults) -> std::fmt::Result {
    writeln!(text, "\n## Gateways\n")?;
    writeln!(
        text,
        "| Gateways | Node, B/s | Node, frames/s | Node, % of a core | Leader, % | Leader, B/s | Follower, % | Follower, B/s | In force everywhere, s |"
    )?;
    writeln!(text, "|---|---|---|---|---|---|---|---|---|")?;
    for step in &results.steps {
        writeln!(
            text,
            "| {} | {:.0} | {:.1} | {:.3} | {:.1} | {:.0} | {:.1} | {:.0} | {:.2} |",
            step.gateways,
            step.hollow.bytes_per_second,
            step.hollow_frames_per_second,
            step.hollow.cores * 100.0,
            step.leader.cores * 100.0,
            step.leader.bytes_per_second,
            step.follower.cores * 100.0,
            step.follower.bytes_per_second,
            step.change_seconds
        )?;
    }
    Ok(())
}

fn draw(path: &Path, plot: &Plot, steps: &[GatewayStep]) -> Result<(), Report<ErrorKind>> {
    let points: Vec<(f64, f64)> = steps
        .iter()
        .map(|step| (step.gateways as f64, (plot.value)(step)))
        .collect();
    draw_points(path, plot.title, &points)
        .map_err(|message| Report::new(ErrorKind::Io).attach(message))
}

fn draw_points(path: &Path, title: &str, points: &[(f64, f64)]) -> Result<(), String> {
    let error_text = |error: &dyn std::fmt::Display| error.to_string();
    let max_value =
        |of: fn(&(f64, f64)) -> f64| points.iter().map(of).fold(f64::MIN_POSITIVE, f64::max);
    let area = SVGBackend::new(path, PLOT_SIZE).into_drawing_area();
    area.fill(&WHITE).map_err(|error| error_text(&error))?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 16))
        .margin(10)
        .x_label_area_size(35)
        .y_label_area_size(70)
        .build_cartesian_2d(
            0.0..max_value(|point| point.0) * 1.05,
            0.0..max_value(|point| point.1) * 1.2,
        )
        .map_err(|error| error_text(&error))?;
    chart
        .configure_mesh()
        .x_desc("gateways")
        .draw()
        .map_err(|error| error_text(&error))?;
    chart
        .draw_series(LineSeries::new(points.iter().copied(), &BLUE).point_size(3))
        .map_err(|error| error_text(&error))?;
    area.present().map_err(|error| error_text(&error))
}
