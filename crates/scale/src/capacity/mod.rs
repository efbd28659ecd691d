//! Measured slopes, the sizes they are extrapolated to, and the page made of both.
//!
//! A [`Measurement`] is one figure of one role measured at several sizes. The
//! commands that measure merge theirs into a [`MeasuredFile`], which is
//! committed; [`render_page`] writes its tables into the page.

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
