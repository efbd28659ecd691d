//! Plots, drawn as SVG.

use linnethitch_errors::ErrorKind;
use plotters::prelude::*;

/// Width and height of a plot, in pixels.
const SIZE: (u32, u32) = (900, 480);

/// How the points of a series are drawn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mark {
    /// Points joined by a line.
    Line,
    /// A circle for each point.
    Point,
}

/// A named series of points.
#[derive(Clone, Debug, PartialEq)]
pub struct Series {
    /// Name in the legend.
    pub name: String,
    /// Points as (x, y).
    pub points: Vec<(f64, f64)>,
}

/// A plot with its data.
#[derive(Clone, Debug, PartialEq)]
pub struct Plot {
    /// File name without extension.
    pub name: String,
    /// Title of the plot.
    pub title: String,
    /// Name and unit of the horizontal axis.
    pub x_label: &'static str,
    /// Name and unit of the vertical axis.
    pub y_label: &'static str,
    /// How points are drawn.
    pub mark: Mark,
    /// The series, in the order of the legend.
    pub series: Vec<Series>,
}

impl Plot {
    /// Draws the plot as an SVG document.
    ///
    /// # Errors
    /// [`ErrorKind::Internal`] when the plot cannot be drawn.
    pub fn to_svg(&self) -> Result<String, ErrorKind> {
        let mut svg = String::new();
        self.draw(&mut svg).map_err(|_| ErrorKind::Internal)?;
        Ok(svg)
    }

    fn draw(&self, svg: &mut String) -> Result<(), Box<dyn std::error::Error + '_>> {
        let area = SVGBackend::with_string(svg, SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .caption(&self.title, ("sans-serif", 20))
            .margin(12)
            .x_label_area_size(40)
            .y_label_area_size(70)
            .build_cartesian_2d(self.range(|point| point.0), self.range(|point| point.1))?;
        chart
            .configure_mesh()
            .x_desc(self.x_label)
            .y_desc(self.y_label)
            .draw()?;
        for (number, series) in self.series.iter().enumerate() {
            let color = Palette99::pick(number).to_rgba();
            let drawn = match self.mark {
                Mark::Line => {
                    chart.draw_series(LineSeries::new(series.points.iter().copied(), &color))?
                }
                Mark::Point => chart.draw_series(
                    series
                        .points
                        .iter()
                        .map(|point| Circle::new(*point, 5, color.filled())),
                )?,
            };
            drawn.label(&series.name).legend(move |(x, y)| {
                Rectangle::new([(x, y - 4), (x + 12, y + 4)], color.filled())
            });
        }
        chart
            .configure_series_labels()
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK)
            .draw()?;
        area.present()?;
        Ok(())
    }

    /// Range of an axis: from the lowest value, at most zero, to 5 % above the highest.
    fn range(&self, value: impl Fn(&(f64, f64)) -> f64) -> std::ops::Range<f64> {
        let values = || {
            self.series
                .iter()
                .flat_map(|series| series.points.iter().map(&value))
        };
        let lowest = values().fold(0.0, f64::min);
        let highest = values().fold(f64::MIN_POSITIVE, f64::max);
        lowest..highest * 1.05
    }
}
