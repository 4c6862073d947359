//! A report as one HTML file that needs nothing else: the table, and plots over time with marks where faults begin and
//! end.
use plotters::chart::{ChartBuilder, ChartContext};
use plotters::coord::types::RangedCoordf64;
use plotters::coord::Shift;
use plotters::drawing::{DrawingArea, DrawingAreaErrorKind, IntoDrawingArea};
use plotters::element::{PathElement, Rectangle};
use plotters::prelude::{Cartesian2d, SVGBackend};
use plotters::series::LineSeries;
use plotters::style::{Color, Palette, Palette99, BLACK, RED, WHITE};
use stairfront_emulator::faults::FaultInterval;

use crate::compare::{table, Results};
use crate::run::{IntervalSample, Outcome};

/// Width and height of a plot, in pixels.
const PLOT_SIZE: (u32, u32) = (1000, 260);
/// Runs with plots of their own; a report of hundreds would help nobody.
const MAX_PLOTTED_RUNS: usize = 24;
/// Lines in a plot up to which it has a legend.
const MAX_LEGEND_LINES: usize = 8;
const DEFAULT_INTERVAL_S: f64 = 0.25;

/// A plot could not be drawn.
#[derive(Debug, thiserror::Error)]
#[error(transparent)]
pub struct ReportError(#[from] DrawingError);

type DrawingError = DrawingAreaErrorKind<std::io::Error>;
type PlotArea<'a> = DrawingArea<SVGBackend<'a>, Shift>;
type Chart<'a> = ChartContext<'a, SVGBackend<'a>, Cartesian2d<RangedCoordf64, RangedCoordf64>>;

/// Renders the results.
///
/// # Errors
///
/// A plot could not be drawn.
pub fn html(results: &Results) -> Result<String, ReportError> {
    let name = escape(&results.name);
    let mut body = format!("<h1>{name}</h1><p>{}</p>", escape(&results.about));
    body.push_str(&format!("<pre>{}</pre>", escape(&table(results))));
    for run in results.runs.iter().take(MAX_PLOTTED_RUNS) {
        body.push_str(&run_section(run)?);
    }
    let style =
        "body{font:14px sans-serif;margin:2em;max-width:1040px}pre{overflow-x:auto;font-size:12px}";
    Ok(format!(
        "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>{name}</title>\
         <style>{style}</style></head><body>{body}</body></html>\n"
    ))
}

fn run_section(run: &Outcome) -> Result<String, ReportError> {
    let variant = escape(&run.variant);
    let (seed, rate) = (run.seed, run.rate);
    let mut section = format!("<h2>{variant}, seed {seed}, {rate:.0} a second</h2>");
    section.push_str("<ul>");
    for FaultInterval {
        from_s,
        until_s,
        text,
    } in &run.marks
    {
        section.push_str(&format!(
            "<li>{from_s} to {until_s} s: {}</li>",
            escape(text)
        ));
    }
    section.push_str("</ul>");
    for plot in plots(run) {
        section.push_str(&draw(run, &plot)?);
    }
    Ok(section)
}

/// One line of a plot.
struct PlotLine {
    name: String,
    points: Vec<(f64, f64)>,
}

struct Plot {
    title: &'static str,
    lines: Vec<PlotLine>,
}

impl Plot {
    /// Largest value of a coordinate, and 1 at least.
    fn max(&self, coordinate: fn(&(f64, f64)) -> f64) -> f64 {
        let points = self.lines.iter().flat_map(|line| &line.points);
        points.map(coordinate).fold(1.0, f64::max)
    }
}

fn plots(run: &Outcome) -> Vec<Plot> {
    let line = |name: &str, value: fn(&IntervalSample) -> f64| {
        let points = run
            .samples
            .iter()
            .map(|sample| (sample.at_s, value(sample)));
        PlotLine {
            name: name.to_string(),
            points: points.collect(),
        }
    };
    vec![
        Plot {
            title: "answers a second, by when they were due",
            lines: vec![
                line("served", |sample| sample.served),
                line("refused", |sample| sample.rejected),
                line("other", |sample| sample.other),
            ],
        },
        Plot {
            title: "latency, ms",
            lines: vec![
                line("p50", |sample| sample.p50_ms),
                line("p99", |sample| sample.p99_ms),
            ],
        },
        Plot {
            title: "attempts a second at each cache",
            lines: cache_lines(run),
        },
        Plot {
            title: "fetches a second from the origin",
            lines: vec![line("fetches", |sample| sample.fetches)],
        },
    ]
}

fn cache_lines(run: &Outcome) -> Vec<PlotLine> {
    let interval_s = match &run.samples[..] {
        [first, second, ..] => second.at_s - first.at_s,
        _ => DEFAULT_INTERVAL_S,
    };
    let line = |(i, rates): (usize, &Vec<f64>)| {
        let points = rates.iter().enumerate();
        let server = run.servers.get(i);
        PlotLine {
            name: server.map_or(String::new(), |server| server.name.clone()),
            points: points
                .map(|(j, rate)| (j as f64 * interval_s, *rate))
                .collect(),
        }
    };
    run.cache_rates.iter().enumerate().map(line).collect()
}

fn draw(run: &Outcome, plot: &Plot) -> Result<String, DrawingError> {
    let mut svg = String::new();
    let area = SVGBackend::with_string(&mut svg, PLOT_SIZE).into_drawing_area();
    draw_plot(&area, run, plot)?;
    area.present()?;
    // The backend writes the end of the text when it is dropped.
    drop(area);
    Ok(svg)
}

fn draw_plot(area: &PlotArea<'_>, run: &Outcome, plot: &Plot) -> Result<(), DrawingError> {
    let end = plot.max(|point| point.0);
    let top = plot.max(|point| point.1) * 1.05;
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(area)
        .caption(plot.title, ("sans-serif", 14))
        .margin(8)
        .x_label_area_size(24)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..end, 0.0..top)?;
    chart.configure_mesh().light_line_style(WHITE).draw()?;
    for mark in &run.marks {
        let until = mark.until_s.max(mark.from_s + end / 400.0).min(end);
        let shade = Rectangle::new([(mark.from_s, 0.0), (until, top)], RED.mix(0.08).filled());
        chart.draw_series([shade])?;
    }
    draw_lines(&mut chart, &plot.lines)
}

fn draw_lines(chart: &mut Chart<'_>, lines: &[PlotLine]) -> Result<(), DrawingError> {
    for (i, line) in lines.iter().enumerate() {
        let color = Palette99::pick(i).to_rgba();
        let series = LineSeries::new(line.points.iter().copied(), color.stroke_width(1));
        let drawn = chart.draw_series(series)?;
        if lines.len() <= MAX_LEGEND_LINES {
            drawn
                .label(&line.name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 14, y)], color));
        }
    }
    if (2..=MAX_LEGEND_LINES).contains(&lines.len()) {
        chart
            .configure_series_labels()
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK)
            .draw()?;
    }
    Ok(())
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}
