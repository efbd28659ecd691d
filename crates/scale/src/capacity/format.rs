//! Figures as the page writes them.

use super::measurement::Kind;

const KIBI: f64 = 1024.0;
const BYTE_UNITS: [&str; 5] = ["B", "KiB", "MiB", "GiB", "TiB"];
/// Time units with their length in seconds, longest first.
const TIME_UNITS: [(f64, &str); 4] = [(1.0, "s"), (1e-3, "ms"), (1e-6, "µs"), (1e-9, "ns")];

/// A value of a kind, of a second or of one occurrence.
pub(super) fn figure(kind: Kind, value: f64, once: bool) -> String {
    match kind {
        Kind::Memory | Kind::Disk => bytes(value),
        Kind::Traffic if once => bytes(value),
        Kind::Traffic => format!("{}/s", bytes(value)),
        Kind::Messages if once => number(value),
        Kind::Messages => format!("{}/s", number(value)),
        Kind::Cpu if once => seconds(value),
        Kind::Cpu => format!("{} % of a core", number(value * 100.0)),
        Kind::Time => seconds(value),
    }
}

fn bytes(value: f64) -> String {
    let mut scaled = value;
    let mut unit = 0;
    while scaled.abs() >= KIBI && unit + 1 < BYTE_UNITS.len() {
        scaled /= KIBI;
        unit += 1;
    }
    format!("{} {}", number(scaled), BYTE_UNITS[unit])
}

fn seconds(value: f64) -> String {
    let (length, unit) = TIME_UNITS
        .into_iter()
        .find(|(length, _)| value.abs() >= *length)
        .unwrap_or(TIME_UNITS[3]);
    format!("{} {unit}", number(value / length))
}

/// Three significant digits, without an exponent.
pub(super) fn number(value: f64) -> String {
    if value == 0.0 {
        return "0".to_owned();
    }
    let magnitude = value.abs().log10().floor() as i32;
    let decimals = (2 - magnitude).clamp(0, 9) as usize;
    format!("{value:.decimals$}")
}
