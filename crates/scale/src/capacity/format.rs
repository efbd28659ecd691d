//! Number formats of the page.

use super::measurement::Kind;

const KIBI: f64 = 1024.0;
const BYTE_UNITS: [&str; 5] = ["B", "KiB", "MiB", "GiB", "TiB"];
/// Time units with their lengths in seconds, longest first.
const TIME_UNITS: [(f64, &str); 4] = [(1.0, "s"), (1e-3, "ms"), (1e-6, "µs"), (1e-9, "ns")];

/// Formats a value of a kind, per occurrence or per second.
pub(super) fn format_figure(kind: Kind, value: f64, per_occurrence: bool) -> String {
    match kind {
        Kind::Memory | Kind::Disk => format_bytes(value),
        Kind::Traffic if per_occurrence => format_bytes(value),
        Kind::Traffic => format!("{}/s", format_bytes(value)),
        Kind::Messages if per_occurrence => format_number(value),
        Kind::Messages => format!("{}/s", format_number(value)),
        Kind::Cpu if per_occurrence => format_seconds(value),
        Kind::Cpu => format!("{} % of a core", format_number(value * 100.0)),
        Kind::Time => format_seconds(value),
    }
}

fn format_bytes(value: f64) -> String {
    let mut scaled = value;
    let mut unit = 0;
    while scaled.abs() >= KIBI && unit + 1 < BYTE_UNITS.len() {
        scaled /= KIBI;
        unit += 1;
    }
    format!("{} {}", format_number(scaled), BYTE_UNITS[unit])
}

fn format_seconds(value: f64) -> String {
    let (length, unit) = TIME_UNITS
        .into_iter()
        .find(|(length, _)| value.abs() >= *length)
        .unwrap_or(TIME_UNITS[3]);
    format!("{} {unit}", format_number(value / length))
}

/// Formats a number with three significant digits, without an exponent.
pub(super) fn format_number(value: f64) -> String {
    if value == 0.0 {
        return "0".to_owned();
    }
    let magnitude = value.abs().log10().floor() as i32;
    let decimals = (2 - magnitude).clamp(0, 9) as usize;
    format!("{value:.decimals$}")
}
