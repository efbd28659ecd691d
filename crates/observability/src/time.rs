//! Wall-clock time, and its text form in logs.

use std::time::{SystemTime, UNIX_EPOCH};

use time::{
    OffsetDateTime,
    format_description::well_known::{
        Iso8601,
        iso8601::{Config, EncodedConfig, TimePrecision},
    },
};

const NANOSECONDS_PER_MILLISECOND: i128 = 1_000_000;

/// RFC 3339 with milliseconds.
const FORMAT: EncodedConfig = Config::DEFAULT
    .set_year_is_six_digits(false)
    .set_time_precision(TimePrecision::Second {
        decimal_digits: std::num::NonZeroU8::new(3),
    })
    .encode();

/// The current time in UTC, such as `2026-12-02T06:50:10.123Z`.
#[must_use]
pub fn now_rfc3339() -> String {
    rfc3339(now_ms())
}

/// Milliseconds since the Unix epoch.
#[must_use]
pub fn now_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_millis() as u64)
}

/// Formats milliseconds since the Unix epoch by RFC 3339 in UTC; returns the plain number if it
/// is out of the range of dates.
#[must_use]
pub fn rfc3339(milliseconds: u64) -> String {
    let nanoseconds = i128::from(milliseconds) * NANOSECONDS_PER_MILLISECOND;
    OffsetDateTime::from_unix_timestamp_nanos(nanoseconds)
        .ok()
        .and_then(|date| date.format(&Iso8601::<FORMAT>).ok())
        .unwrap_or_else(|| milliseconds.to_string())
}
