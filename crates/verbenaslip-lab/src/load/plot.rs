//! Draws a report as SVG: percentile curves, and arrivals and ends over time.

use std::fmt::Write;

use super::outcome::{End, Outcome};
use super::report::{Report, histogram};

/// Width of each panel in pixels.
const WIDTH: f64 = 640.0;

/// Height of each panel in pixels.
const HEIGHT: f64 = 220.0;

/// Space around a panel in pixels.
const MARGIN: f64 = 60.0;

/// The percentiles drawn, at even distances.
const QUANTILES: [f64; 7] = [0.0, 0.5, 0.75, 0.9, 0.95, 0.99, 1.0];

/// Picks outcomes.
type Test<'a> = &'a dyn Fn(&Outcome) -> bool;

struct Curve<'a> {
    name: &'a str,
    colour: &'a str,
    points: Vec<(f64, f64)>,
}

struct Panel<'a> {
    title: &'a str,
    unit: &'a str,
    marks: Vec<String>,
    curves: Vec<Curve<'a>>,
}

/// Draws a report.
pub fn svg(report: &Report) -> String {
    let panels = [latency(report), arrivals(report)];
    let height = (HEIGHT + 2.0 * MARGIN) * panels.len() as f64;
    let width = WIDTH + 2.0 * MARGIN;
    let mut svg = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{width}\" height=\"{height}\" \
         font-family=\"sans-serif\" font-size=\"12\">\n\
         <rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n"
    );
    for (index, panel) in panels.iter().enumerate() {
        let top = MARGIN + index as f64 * (HEIGHT + 2.0 * MARGIN);
        panel.draw(&mut svg, top);
    }
    svg.push_str("</svg>\n");
    svg
}

fn latency(report: &Report) -> Panel<'_> {
    let whole = || report.outcomes.iter().filter(|outcome| outcome.end == End::Whole);
    let curve = |name, colour, values: Vec<u64>| {
        let histogram = histogram(values);
        let points = QUANTILES.iter().enumerate().map(|(index, quantile)| {
            let value = histogram.value_at_quantile(*quantile) as f64 / 1000.0;
            (index as f64 / (QUANTILES.len() - 1) as f64, value)
        });
        Curve { name, colour, points: points.collect() }
    };
    Panel {
        title: "Latency of whole answers by percentile",
        unit: "ms",
        marks: QUANTILES.iter().map(|quantile| format!("{}", quantile * 100.0)).collect(),
        curves: vec![
            curve("whole", "#1b6ca8", whole().map(|outcome| outcome.whole_us).collect()),
            curve("first token", "#c2571a", whole().filter_map(|one| one.first_us).collect()),
            curve(
                "between tokens",
                "#3a7d44",
                whole().flat_map(|one| one.gaps_us.iter().copied().map(u64::from)).collect(),
            ),
        ],
    }
}

fn arrivals(report: &Report) -> Panel<'_> {
    const BINS: usize = 40;
    let last = report.outcomes.iter().map(|one| one.at_us).max().unwrap_or(0).max(1) as f64 + 1.0;
    let curve = |name, colour, test: Test<'_>| {
        let mut bins = [0.0; BINS];
        for outcome in report.outcomes.iter().filter(|outcome| test(outcome)) {
            bins[(outcome.at_us as f64 / last * BINS as f64) as usize] += 1.0;
        }
        let rate = BINS as f64 / (last / 1e6);
        let points =
            bins.iter().enumerate().map(|(bin, count)| (bin as f64 / BINS as f64, count * rate));
        Curve { name, colour, points: points.collect() }
    };
    Panel {
        title: "Arrivals a second over time, and how they ended",
        unit: "1/s",
        marks: (0..=4).map(|part| format!("{:.1} s", last / 1e6 * f64::from(part) / 4.0)).collect(),
        curves: vec![
            curve("arrived", "#777777", &|_| true),
            curve("whole", "#1b6ca8", &|outcome| outcome.end == End::Whole),
            curve("refused", "#c2571a", &|outcome| outcome.end == End::Refused),
            curve("other", "#a01c3c", &|outcome| !matches!(outcome.end, End::Whole | End::Refused)),
        ],
    }
}

impl Panel<'_> {
    fn draw(&self, svg: &mut String, top: f64) {
        let most = self.curves.iter().flat_map(|curve| &curve.points).map(|point| point.1);
        let most = most.fold(0.0, f64::max).max(f64::MIN_POSITIVE);
        let bottom = top + HEIGHT;
        put(svg, MARGIN, top - 24.0, &format!("{} ({})", self.title, self.unit));
        for part in 0..=4 {
            let value = most * f64::from(part) / 4.0;
            let y = bottom - HEIGHT * f64::from(part) / 4.0;
            put(svg, 4.0, y + 4.0, &short(value));
            line(svg, (MARGIN, y), (MARGIN + WIDTH, y));
        }
        for (index, mark) in self.marks.iter().enumerate() {
            let x = MARGIN + WIDTH * index as f64 / (self.marks.len() - 1).max(1) as f64;
            put(svg, x - 8.0, bottom + 18.0, mark);
        }
        for (index, curve) in self.curves.iter().enumerate() {
            curve.draw(svg, top, most);
            let x = MARGIN + 130.0 * index as f64;
            writeln!(
                svg,
                "<text x=\"{x}\" y=\"{}\" fill=\"{}\">{}</text>",
                bottom + 38.0,
                curve.colour,
                curve.name
            )
            .expect("writing to a string does not fail");
        }
    }
}

impl Curve<'_> {
    fn draw(&self, svg: &mut String, top: f64, most: f64) {
        let points = self.points.iter().map(|(x, y)| {
            format!("{:.1},{:.1}", MARGIN + WIDTH * x, top + HEIGHT * (1.0 - y / most))
        });
        let points: Vec<String> = points.collect();
        writeln!(
            svg,
            "<polyline fill=\"none\" stroke=\"{}\" stroke-width=\"1.5\" points=\"{}\"/>",
            self.colour,
            points.join(" ")
        )
        .expect("writing to a string does not fail");
    }
}

fn put(svg: &mut String, x: f64, y: f64, text: &str) {
    writeln!(svg, "<text x=\"{x:.1}\" y=\"{y:.1}\">{text}</text>")
        .expect("writing to a string does not fail");
}

fn line(svg: &mut String, from: (f64, f64), to: (f64, f64)) {
    writeln!(
        svg,
        "<line x1=\"{:.1}\" y1=\"{:.1}\" x2=\"{:.1}\" y2=\"{:.1}\" stroke=\"#dddddd\"/>",
        from.0, from.1, to.0, to.1
    )
    .expect("writing to a string does not fail");
}

fn short(value: f64) -> String {
    if value >= 100.0 { format!("{value:.0}") } else { format!("{value:.1}") }
}
