//! Capacity model: extrapolates measured slopes to fleet sizes and renders the capacity page.
//!
//! A [`Measurement`] is one cost of one role, measured at several sizes. The
//! measuring commands merge their results into a [`MeasuredFile`], which is
//! committed; [`render_page`] writes the tables of the file into the page.

mod budget;
mod file;
mod fit;
mod format;
mod measurement;
mod page;
mod size;

pub use budget::{Budget, NODE_BUDGETS};
pub use file::{MeasuredFile, MeasuredFileError};
pub use fit::{Line, Point, fit_line};
pub use measurement::{Frequency, Kind, Measurement, Role, Source};
pub use page::{PageError, render_page};
pub use size::{Dimension, FleetSize, GRANITE_LANE, HANBIT, TWO_YEAR_PLAN};
