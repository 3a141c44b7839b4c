//! One caller's life with one request: it sends, waits, comes back, and checks the answer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use serde_json::Value;
use tokio::time::sleep;

use super::arrive::Request;
use super::event::{Event, Parser};
use super::micros;
use super::outcome::{End, Outcome};
use super::plan::Plan;
use crate::engine::core::unix;
use crate::http::client::{self, Answer, Call, Failure, Flow};

/// How long a connection may take.
const CONNECT: Duration = Duration::from_secs(1);

/// The wait before coming back to an address that refused connections everywhere.
const PAUSE: Duration = Duration::from_millis(100);

/// Lives through one request.
pub(crate) struct Caller {
    plan: Arc<Plan>,
    request: Request,
    arrival: Instant,
    random: Pcg64,
    key: Option<String>,
    issued: Option<u64>,
    text: String,
    last: Option<Instant>,
    outcome: Outcome,
}

/// Says what a try came to.
enum Step {
    /// The request has ended.
    End(End),
    /// It was not run, and may be sent again after a while.
    Refused(Option<Duration>),
    /// The connection broke after it was sent.
    Broken,
    /// No connection was made.
    Unreachable,
}

impl Caller {
    /// Returns a caller whose request arrives now.
    pub(crate) fn new(plan: Arc<Plan>, request: Request, arrival: Instant) -> Self {
        let now = unix();
        // A key must be new in each run, also of the same seed, or it names the other run's request.
        let mut random = Pcg64::seed_from_u64(request.draw ^ now);
        // Half of the keys carry their first use in themselves, the others beside them.
        let own_time = random.random::<bool>();
        let key = if own_time {
            uuid(now, &mut random)
        } else {
            format!("{:032x}", random.random::<u128>())
        };
        let keyed = request.work.keyed;
        let outcome = Outcome {
            id: request.id,
            work: request.work.name.clone(),
            seed: request.seed,
            service: request.work.service,
            idempotent: request.work.idempotent,
            keyed: request.work.keyed,
            at_us: micros(request.at),
            end: End::Lost,
            code: None,
            entry: None,
            sent: 0,
            refused: 0,
            broken: 0,
            cut: 0,
            doubled: 0,
            mixed: false,
            tokens: 0,
            first_us: None,
            whole_us: 0,
            gaps_us: Vec::new(),
        };
        Self {
            key: keyed.then_some(key),
            issued: (keyed && !own_time).then_some(now),
            text: String::new(),
            last: None,
            plan,
            request,
            arrival,
            random,
            outcome,
        }
    }

    /// Sends the request until it has ended.
    pub(crate) async fn run(mut self) -> Outcome {
        let mut entry = self.pick(None);
        for _ in 0..self.plan.tries.max(1) {
            if self.arrival.elapsed() > self.plan.limit {
                break;
            }
            match self.attempt(entry).await {
                Step::End(end) => {
                    self.outcome.end = end;
                    break;
                }
                Step::Refused(Some(wait)) => {
                    self.outcome.end = End::Refused;
                    sleep(wait.min(self.plan.limit)).await;
                }
                Step::Refused(None) => {
                    self.outcome.end = End::Refused;
                    break;
                }
                Step::Broken => {
                    self.outcome.broken += 1;
                    self.outcome.end = if self.text.is_empty() { End::Lost } else { End::Cut };
                    // Without a key a resend would be another request.
                    if self.key.is_none() {
                        break;
                    }
                }
                Step::Unreachable => sleep(PAUSE).await,
            }
            entry = self.pick(Some(entry));
        }
        self.outcome.whole_us = micros(self.arrival.elapsed());
        self.outcome
    }

    /// Picks an instance, another than the last one where there is one.
    fn pick(&mut self, last: Option<SocketAddr>) -> SocketAddr {
        let entries: Vec<SocketAddr> =
            self.plan.entries.iter().copied().filter(|entry| Some(*entry) != last).collect();
        let entries = if entries.is_empty() { &self.plan.entries } else { &entries };
        entries[self.random.random_range(0..entries.len())]
    }

    async fn attempt(&mut self, first: SocketAddr) -> Step {
        let call = self.call();
        let mut entry = first;
        // A balancer picks another instance when a connection is refused.
        for _ in 0..self.plan.entries.len().max(1) * 2 {
            match client::open_within(entry, &call, CONNECT, self.plan.patience).await {
                Err(Failure::Refused) => entry = self.pick(Some(entry)),
                Err(Failure::Broken | Failure::Silent) => {
                    self.outcome.sent += 1;
                    return Step::Broken;
                }
                Ok(flow) => {
                    self.outcome.sent += 1;
                    self.outcome.entry = Some(entry.to_string());
                    return self.read(flow).await;
                }
            }
        }
        Step::Unreachable
    }

    fn call(&self) -> Call {
        let work = &self.request.work;
        let path = if work.service {
            format!("/v1/services/{}/confirm", work.model)
        } else {
            "/v1/chat/completions".to_owned()
        };
        let mut call = Call {
            method: "POST",
            path,
            headers: vec![("content-type", "application/json".to_owned())],
            body: self.request.body.clone(),
        }
        .with("authorization", format!("Bearer {}", work.key))
        .with("verbenaslip-class", work.class.clone());
        if let Some(key) = &self.key {
            call = call.with("idempotency-key", key.clone());
        }
        if let Some(issued) = self.issued {
            call = call.with("idempotency-key-issued", issued.to_string());
        }
        if let Some(deadline) = work.deadline {
            let left = deadline.saturating_sub(self.arrival.elapsed());
            call = call.with("verbenaslip-deadline-ms", left.as_millis().to_string());
        }
        if !work.idempotent {
            call = call.with("verbenaslip-idempotent", "false");
        }
        if self.outcome.tokens > 0 {
            call = call.with("last-event-id", self.outcome.tokens.to_string());
        }
        call
    }

    async fn read(&mut self, flow: Flow) -> Step {
        let status = flow.response.status().as_u16();
        if status == 200 && self.request.work.stream && !self.request.work.service {
            return self.stream(flow).await;
        }
        let Ok(answer) = flow.whole(self.plan.patience).await else {
            self.outcome.cut += u32::from(status == 200);
            return Step::Broken;
        };
        if status == 200 { self.whole(&answer) } else { self.error(status, &answer) }
    }

    fn whole(&mut self, answer: &Answer) -> Step {
        let body = answer.json();
        let text = if self.request.work.service {
            &body["answer"]
        } else {
            &body["choices"][0]["message"]["content"]
        };
        self.outcome.mixed |= text.as_str() != Some(&self.request.expected);
        Step::End(End::Whole)
    }

    fn error(&mut self, status: u16, answer: &Answer) -> Step {
        let body = answer.json();
        self.outcome.code = Some(code(&body["error"]));
        let not_run = answer.header("verbenaslip-outcome") == Some("not-run");
        match status {
            429 | 503 if not_run => {
                self.outcome.refused += 1;
                Step::Refused(wait(answer))
            }
            504 => Step::End(End::Unknown),
            _ => Step::End(End::Error),
        }
    }

    async fn stream(&mut self, mut flow: Flow) -> Step {
        let mut parser = Parser::default();
        loop {
            let Ok(Some(bytes)) = flow.next(self.plan.patience).await else {
                self.outcome.cut += 1;
                return Step::Broken;
            };
            for event in parser.push(&bytes) {
                if let Some(step) = self.event(&event) {
                    return step;
                }
                if self.request.work.leave.is_some_and(|leave| self.outcome.tokens >= leave) {
                    return Step::End(End::Left);
                }
                sleep(self.request.work.rest).await;
            }
        }
    }

    /// Takes one event; returns the end when it is the last.
    fn event(&mut self, event: &Event) -> Option<Step> {
        if event.name.as_deref() == Some("error") {
            let body: Value = serde_json::from_str(&event.data).unwrap_or_default();
            return Some(self.ended(&body["error"]));
        }
        if event.data == "[DONE]" {
            self.outcome.mixed |= self.text != self.request.expected;
            return Some(Step::End(End::Whole));
        }
        let chunk: Value = serde_json::from_str(&event.data).unwrap_or_default();
        let content = chunk["choices"][0]["delta"]["content"].as_str().unwrap_or_default();
        if !content.is_empty() {
            self.token(event.id, content);
        }
        None
    }

    fn ended(&mut self, error: &Value) -> Step {
        self.outcome.code = Some(code(error));
        match error["type"].as_str() {
            Some("not_run") => {
                self.outcome.refused += 1;
                Step::Refused(None)
            }
            Some("outcome_unknown") => Step::End(End::Unknown),
            _ => Step::End(End::Error),
        }
    }

    fn token(&mut self, id: Option<u32>, content: &str) {
        let Some(id) = id else {
            self.outcome.mixed = true;
            return;
        };
        if id <= self.outcome.tokens {
            self.outcome.doubled += 1;
            return;
        }
        let now = Instant::now();
        if let Some(last) = self.last.replace(now) {
            let gap = micros(now - last) / u64::from(id - self.outcome.tokens);
            // The time between tokens of a caller that rests is its own.
            if self.request.work.rest.is_zero() {
                self.outcome.gaps_us.push(u32::try_from(gap).unwrap_or(u32::MAX));
            }
        }
        self.outcome.first_us.get_or_insert(micros(self.arrival.elapsed()));
        self.outcome.tokens = id;
        self.text.push_str(content);
        self.outcome.mixed |= !self.request.expected.starts_with(&self.text);
    }
}

fn code(error: &Value) -> String {
    let kind = error["type"].as_str().unwrap_or("?");
    let code = error["code"].as_str().unwrap_or("?");
    format!("{kind}/{code}")
}

fn wait(answer: &Answer) -> Option<Duration> {
    let number = |name| answer.header(name).and_then(|text| text.parse::<u64>().ok());
    number("retry-after-ms")
        .map(Duration::from_millis)
        .or_else(|| number("retry-after").map(Duration::from_secs))
}

/// Returns a UUIDv7: a time and random bits.
fn uuid(now: u64, random: &mut Pcg64) -> String {
    let high: u64 = (now << 16) | 0x7000 | u64::from(random.random::<u16>() & 0x0fff);
    let low: u64 = random.random::<u64>() >> 2 | 0x8000_0000_0000_0000;
    let text = format!("{high:016x}{low:016x}");
    format!("{}-{}-{}-{}-{}", &text[..8], &text[8..12], &text[12..16], &text[16..20], &text[20..])
}
