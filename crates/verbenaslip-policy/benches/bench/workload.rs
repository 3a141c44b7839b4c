//! Generates the workloads of the two users from a seed.

use std::time::Duration;

use rand::{Rng, RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use verbenaslip_base::attempt::Request;
use verbenaslip_base::hash;
use verbenaslip_base::head::Head;
use verbenaslip_table::{Row, Table};

/// Describes which part of an hour is generated.
#[derive(Clone, Copy)]
pub struct Span {
    /// The top of the hour, in seconds from the start.
    pub top: f64,
    /// The time during which requests arrive, in seconds.
    pub arrivals: f64,
}

/// The time span of the printed figures.
pub const LONG: Span = Span { top: 120.0, arrivals: 480.0 };
/// The time span of the regression tests, which also run without optimization.
pub const SHORT: Span = Span { top: 30.0, arrivals: 130.0 };

/// A request from the perspective of its caller.
#[derive(Clone)]
pub struct Caller {
    pub at: Duration,
    pub head: Head,
    /// The time from sending the request to the deadline of the complete answer.
    pub time_limit: Duration,
    /// The time from the first attempt during which the caller retries after refusals.
    pub timeout: Duration,
    /// The number of tokens of the answer.
    pub tokens: u32,
}

/// The route table and the requests of a user.
pub struct Workload {
    pub name: &'static str,
    pub span: Span,
    pub table: Table,
    pub callers: Vec<Caller>,
    pub zones: [&'static str; 3],
    pub model: &'static str,
    pub service: &'static str,
}

/// Describes a class of requests.
struct Class {
    name: &'static str,
    priority: u32,
    deadline_ms: u64,
    first_token_ms: u64,
    service: bool,
}

/// Generates Kajlinjen's hour: a few large drafting jobs with long dossiers and many small checks.
pub fn kajlinjen(seed: u64, span: Span) -> Workload {
    let classes = [
        Class {
            name: "draft",
            priority: 5,
            deadline_ms: 90_000,
            first_token_ms: 15_000,
            service: false,
        },
        Class {
            name: "check",
            priority: 7,
            deadline_ms: 10_000,
            first_token_ms: 1_400,
            service: false,
        },
        Class {
            name: "explain",
            priority: 6,
            deadline_ms: 15_000,
            first_token_ms: 1_400,
            service: false,
        },
        Class {
            name: "record",
            priority: 7,
            deadline_ms: 5_000,
            first_token_ms: 2_000,
            service: true,
        },
    ];
    let teams =
        [("agent-a", 300), ("agent-b", 300), ("agent-c", 150), ("agent-d", 150), ("desk", 100)];
    let demand = [0.34, 0.30, 0.16, 0.12, 0.08];
    let mut generator = Generator::new(seed, span, "laytime");
    for (team, part) in teams.iter().map(|team| team.0).zip(demand) {
        generator.generate_arrivals(part * 0.55, |generator, at| {
            let dossier = generator.text(4_000, 14_000);
            let tokens = generator.rng.random_range(500..1_100);
            generator.push(at, (team, &classes[0]), &dossier, tokens, 1_500);
            // A third of the letters are drafted again from the same dossier.
            if generator.rng.random_range(0..3) == 0 {
                let again = at + generator.rng.random_range(30.0..90.0);
                let revised = generator.extend(&dossier, 200);
                generator.push(again, (team, &classes[0]), &revised, tokens, 1_500);
            }
        });
        generator.generate_arrivals(part * 9.0, |generator, at| {
            let text = generator.text_with_common_prefix("check", 400, 100, 600);
            let tokens = generator.rng.random_range(30..100);
            generator.push(at, (team, &classes[1]), &text, tokens, 160);
        });
        generator.generate_arrivals(part * 4.0, |generator, at| {
            let text = generator.text_with_common_prefix("explain", 300, 100, 500);
            let tokens = generator.rng.random_range(80..220);
            generator.push(at, (team, &classes[2]), &text, tokens, 300);
        });
        generator.generate_arrivals(part * 3.0, |generator, at| {
            let text = generator.text(50, 200);
            generator.push(at, (team, &classes[3]), &text, 1, 1);
        });
    }
    let table = table(&teams, &classes);
    let zones = ["arendal", "skarvik", "torshamn"];
    Workload {
        name: "kajlinjen",
        span,
        table,
        callers: generator.into_callers(),
        zones,
        model: "laytime",
        service: "claims-record",
    }
}

/// Generates the Office's hour: conversations that are resent as they grow, lookups and
/// confirmations.
pub fn office(seed: u64, span: Span) -> Workload {
    let classes = [
        Class {
            name: "review",
            priority: 5,
            deadline_ms: 30_000,
            first_token_ms: 4_000,
            service: false,
        },
        Class {
            name: "thread",
            priority: 6,
            deadline_ms: 30_000,
            first_token_ms: 3_000,
            service: false,
        },
        Class {
            name: "lookup",
            priority: 7,
            deadline_ms: 8_000,
            first_token_ms: 1_400,
            service: false,
        },
        Class {
            name: "confirm",
            priority: 8,
            deadline_ms: 5_000,
            first_token_ms: 2_000,
            service: true,
        },
    ];
    let teams = [("millinery", 300), ("bridal", 250), ("felt", 150), ("straw", 150), ("trim", 150)];
    let demand = [0.36, 0.28, 0.16, 0.12, 0.08];
    let mut generator = Generator::new(seed, span, "assistant");
    for (team, part) in teams.iter().map(|team| team.0).zip(demand) {
        for (class, rate, turns) in [(&classes[0], 0.5, 3), (&classes[1], 0.9, 6)] {
            generator.generate_arrivals(part * rate, |generator, start| {
                let mut text = generator.text_with_common_prefix(class.name, 600, 1_000, 3_000);
                let mut at = start;
                for _ in 0..generator.rng.random_range(1..=turns) {
                    let tokens = generator.rng.random_range(100..350);
                    generator.push(at, (team, class), &text, tokens, 500);
                    text = generator.extend(&text, tokens + 250);
                    at += generator.rng.random_range(20.0..60.0);
                }
            });
        }
        generator.generate_arrivals(part * 8.0, |generator, at| {
            let text = generator.text_with_common_prefix("lookup", 700, 20, 120);
            let tokens = generator.rng.random_range(20..80);
            generator.push(at, (team, &classes[2]), &text, tokens, 120);
        });
        generator.generate_arrivals(part * 3.0, |generator, at| {
            let text = generator.text(40, 120);
            generator.push(at, (team, &classes[3]), &text, 1, 1);
        });
    }
    let table = table(&teams, &classes);
    let zones = ["newtown", "braamfontein", "midrand"];
    Workload {
        name: "office",
        span,
        table,
        callers: generator.into_callers(),
        zones,
        model: "assistant",
        service: "stock-orders",
    }
}

fn table(teams: &[(&str, u32)], classes: &[Class]) -> Table {
    let rows = teams.iter().flat_map(|(team, weight)| {
        classes.iter().map(move |class| Row {
            weight: *weight,
            priority: class.priority,
            deadline_ms: class.deadline_ms as u32,
            first_token_ms: class.first_token_ms as u32,
            max_wait_ms: (class.deadline_ms / 2) as u32,
            ..Row::new(*team, class.name)
        })
    });
    Table::new(rows).expect("the rows of the workload are valid")
}

/// Generates requests.
struct Generator {
    rng: Pcg64Mcg,
    callers: Vec<Caller>,
    span: Span,
    model: &'static str,
    next: u128,
}

impl Generator {
    fn new(seed: u64, span: Span, model: &'static str) -> Self {
        Self { rng: Pcg64Mcg::seed_from_u64(seed), callers: Vec::new(), span, model, next: 1 }
    }

    /// Generates arrivals at a rate that rises fourfold at the top of the hour and then decays.
    fn generate_arrivals(&mut self, rate: f64, mut add_callers: impl FnMut(&mut Self, f64)) {
        let mut at = 0.0;
        loop {
            at += -(1.0 - self.rng.random_range(0.0..1.0_f64)).ln() / (rate * PEAK_FACTOR);
            if at >= self.span.arrivals {
                return;
            }
            let after = at - self.span.top;
            let now =
                if after < 0.0 { 1.0 } else { 1.0 + (PEAK_FACTOR - 1.0) * (-after / 60.0).exp() };
            if self.rng.random_range(0.0..PEAK_FACTOR) < now {
                add_callers(self, at);
            }
        }
    }

    fn text(&mut self, least: u32, most: u32) -> Vec<u64> {
        let tokens = self.rng.random_range(least..most);
        self.extend(&[], tokens)
    }

    /// Generates a text with a beginning that all texts of a kind share.
    fn text_with_common_prefix(
        &mut self,
        kind: &str,
        common: u32,
        least: u32,
        most: u32,
    ) -> Vec<u64> {
        let mut blocks = Vec::new();
        for index in 0..common / 16 {
            blocks.push(hash::narrow(&[kind.as_bytes(), &index.to_le_bytes()]));
        }
        let tokens = self.rng.random_range(least..most);
        self.extend(&blocks, tokens)
    }

    fn extend(&mut self, blocks: &[u64], tokens: u32) -> Vec<u64> {
        let mut blocks = blocks.to_vec();
        for _ in 0..tokens / 16 {
            blocks.push(self.rng.next_u64());
        }
        blocks
    }

    fn push(
        &mut self,
        at: f64,
        (team, class): (&str, &Class),
        text: &[u64],
        tokens: u32,
        most: u32,
    ) {
        self.next += 1;
        let time_limit = Duration::from_millis(class.deadline_ms);
        let model = if class.service { "service" } else { self.model };
        let head = Head {
            request: Request(self.next),
            team: team.into(),
            class: class.name.into(),
            model: model.into(),
            idempotent: !class.service,
            keyed: true,
            issued: None,
            deadline: Duration::ZERO,
            prompt: text.len() as u32 * 16 + 8,
            output: most,
            prefix: text.to_vec(),
        };
        let at = Duration::from_secs_f64(at);
        self.callers.push(Caller { at, head, time_limit, timeout: time_limit * 4, tokens });
    }

    fn into_callers(mut self) -> Vec<Caller> {
        self.callers.sort_by_key(|caller| (caller.at, caller.head.request));
        self.callers
    }
}

/// The factor by which the arrival rate rises at the top of the hour.
const PEAK_FACTOR: f64 = 4.0;
