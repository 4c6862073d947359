//! A report as one HTML file that needs nothing else: the table, and plots over time with marks where faults begin and
//! end.
use plotters::prelude::*;

use crate::compare::{table, Results};
use crate::run::{IntervalSample, Outcome};

const PLOT_SIZE: (u32, u32) = (1000, 260);
/// Runs with plots of their own; a report of hundreds would help nobody.
const MAX_PLOTTED_RUNS: usize = 24;

/// Renders the results; an error is the plotting library's own text.
pub fn html(results: &Results) -> Result<String, String> {
    let mut body = format!(
        "<h1>{}</h1><p>{}</p>",
        escape(&results.name),
        escape(&results.about)
    );
    body.push_str(&format!("<pre>{}</pre>", escape(&table(results))));
    for run in results.runs.iter().take(MAX_PLOTTED_RUNS) {
        body.push_str(&format!(
            "<h2>{}, seed {}, {:.0} a second</h2>",
            escape(&run.variant),
            run.seed,
            run.rate
        ));
        body.push_str("<ul>");
        for mark in &run.marks {
            body.push_str(&format!(
                "<li>{} to {} s: {}</li>",
                mark.from_s,
                mark.until_s,
                escape(&mark.text)
            ));
        }
        body.push_str("</ul>");
        for plot in plots(run) {
            body.push_str(&draw(run, &plot)?);
        }
    }
    let style =
        "body{font:14px sans-serif;margin:2em;max-width:1040px}pre{overflow-x:auto;font-size:12px}";
    let name = escape(&results.name);
    Ok(format!(
        "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>{name}</title>\
         <style>{style}</style></head><body>{body}</body></html>\n"
    ))
}

struct Plot {
    title: &'static str,
    lines: Vec<(String, Vec<(f64, f64)>)>,
}

fn plots(run: &Outcome) -> Vec<Plot> {
    let over = |of: fn(&IntervalSample) -> f64| {
        run.samples
            .iter()
            .map(|m| (m.at_s, of(m)))
            .collect::<Vec<_>>()
    };
    let line = |name: &str, of: fn(&IntervalSample) -> f64| (name.to_string(), over(of));
    let each = if run.samples.len() > 1 {
        run.samples[1].at_s - run.samples[0].at_s
    } else {
        0.25
    };
    let load = |(i, series): (usize, &Vec<f64>)| {
        let points = series
            .iter()
            .enumerate()
            .map(|(j, n)| (j as f64 * each, *n))
            .collect();
        (
            run.servers
                .get(i)
                .map_or(String::new(), |server| server.name.clone()),
            points,
        )
    };
    vec![
        Plot {
            title: "answers a second, by when they were due",
            lines: vec![
                line("served", |m| m.served),
                line("refused", |m| m.rejected),
                line("other", |m| m.other),
            ],
        },
        Plot {
            title: "latency, ms",
            lines: vec![line("p50", |m| m.p50_ms), line("p99", |m| m.p99_ms)],
        },
        Plot {
            title: "attempts a second at each cache",
            lines: run.cache_rates.iter().enumerate().map(load).collect(),
        },
        Plot {
            title: "fetches a second from the origin",
            lines: vec![line("fetches", |m| m.fetches)],
        },
    ]
}

fn draw(run: &Outcome, plot: &Plot) -> Result<String, String> {
    let mut svg = String::new();
    let points = || plot.lines.iter().flat_map(|(_, points)| points);
    let end = points().map(|(x, _)| *x).fold(1.0, f64::max);
    let top = points().map(|(_, y)| *y).fold(1.0, f64::max) * 1.05;
    {
        let area = SVGBackend::with_string(&mut svg, PLOT_SIZE).into_drawing_area();
        let drawing_error = |error: &dyn std::fmt::Display| error.to_string();
        area.fill(&WHITE).map_err(|e| drawing_error(&e))?;
        let mut chart = ChartBuilder::on(&area)
            .caption(plot.title, ("sans-serif", 14))
            .margin(8)
            .x_label_area_size(24)
            .y_label_area_size(60)
            .build_cartesian_2d(0.0..end, 0.0..top)
            .map_err(|e| drawing_error(&e))?;
        chart
            .configure_mesh()
            .light_line_style(WHITE)
            .draw()
            .map_err(|e| drawing_error(&e))?;
        for mark in &run.marks {
            let until = mark.until_s.max(mark.from_s + end / 400.0).min(end);
            let shade = Rectangle::new([(mark.from_s, 0.0), (until, top)], RED.mix(0.08).filled());
            chart.draw_series([shade]).map_err(|e| drawing_error(&e))?;
        }
        for (i, (name, points)) in plot.lines.iter().enumerate() {
            let color = Palette99::pick(i).to_rgba();
            let series = LineSeries::new(points.iter().copied(), color.stroke_width(1));
            let drawn = chart.draw_series(series).map_err(|e| drawing_error(&e))?;
            if plot.lines.len() <= 8 {
                drawn
                    .label(name)
                    .legend(move |(x, y)| PathElement::new([(x, y), (x + 14, y)], color));
            }
        }
        if plot.lines.len() > 1 && plot.lines.len() <= 8 {
            let labels = chart
                .configure_series_labels()
                .background_style(WHITE.mix(0.8))
                .border_style(BLACK)
                .draw();
            labels.map_err(|e| drawing_error(&e))?;
        }
        area.present().map_err(|e| drawing_error(&e))?;
    }
    Ok(svg)
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}
