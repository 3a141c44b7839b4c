//! Arbitrary events, in any order, never cause a panic and never exceed the limits.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

use verbenaslip_base::announce::Kind;
use verbenaslip_base::attempt::{Attempt, Request};
use verbenaslip_base::head::Head;
use verbenaslip_base::name::Instance;
use verbenaslip_base::refusal::{Reason, Refusal, Unknown};
use verbenaslip_request::Requests;
use verbenaslip_request::caller::{Arrival, Body, Ticket};
use verbenaslip_request::claim::Ruling;
use verbenaslip_request::input::{Input, Member, Placement};
use verbenaslip_request::message::{
    Ack, ActiveRun, KeyStatus, Message, Progress, RequestCopy, Reserve, Takeover,
};
use verbenaslip_request::output::{Outcome, Output};
use verbenaslip_request::run::{Cause, Event, Failure, Step};
use verbenaslip_request::setup::Setup;

struct RandomSource(Pcg64);

impl RandomSource {
    fn pick(&mut self, below: u64) -> u64 {
        self.0.next_u64() % below
    }

    fn flip(&mut self) -> bool {
        self.pick(2) == 0
    }

    fn request(&mut self) -> Request {
        Request(u128::from(self.pick(2)))
    }

    fn instance(&mut self) -> Instance {
        Instance::new(format!("i{}", self.pick(4)))
    }

    fn epoch(&mut self) -> u16 {
        [0, 1, 2, 3, u16::MAX - 1, u16::MAX][self.pick(6) as usize]
    }

    fn number(&mut self) -> u32 {
        [0, 1, 65_537, 131_073, u32::MAX][self.pick(5) as usize]
    }

    fn span(&mut self) -> Duration {
        let spans = [Duration::ZERO, Duration::from_millis(1), Duration::MAX];
        let choice = self.pick(6) as usize;
        spans.get(choice).copied().unwrap_or(Duration::from_millis(self.pick(40_000)))
    }

    fn head(&mut self) -> Head {
        Head {
            request: self.request(),
            team: "t".into(),
            class: "c".into(),
            model: "m".into(),
            idempotent: self.flip(),
            keyed: self.flip(),
            issued: None,
            deadline: self.span(),
            prompt: self.number(),
            output: self.number(),
            prefix: Vec::new(),
        }
    }

    fn body(&mut self) -> Body {
        let bytes = vec![0; self.pick(3) as usize];
        Body { path: "/".into(), content: "c".into(), bytes }
    }

    fn attempt(&mut self) -> Attempt {
        Attempt { request: self.request(), number: self.number() }
    }

    fn kind(&mut self) -> Kind {
        if self.flip() { Kind::Engine } else { Kind::Service }
    }

    fn active_run(&mut self) -> ActiveRun {
        ActiveRun {
            attempt: self.attempt(),
            upstream: "u".into(),
            address: ([127, 0, 0, 1], 1).into(),
            kind: self.kind(),
            priority: 0,
        }
    }

    fn refusal(&mut self) -> Refusal {
        Refusal { reason: Reason::Limit, retry: Some(self.span()) }
    }

    fn outcome(&mut self) -> Outcome {
        match self.pick(5) {
            0 => Outcome::Whole { position: self.number() },
            1 => Outcome::Refused(self.refusal()),
            2 => Outcome::Unknown(Unknown::Deadline),
            3 => Outcome::Abandoned,
            _ => Outcome::Moved { owner: self.instance() },
        }
    }

    fn progress(&mut self, request: Request) -> Progress {
        Progress {
            request,
            epoch: self.epoch(),
            sequence: self.number(),
            live: self.flip().then(|| self.active_run()),
            number: self.number(),
            ran: self.flip(),
            crashes: self.pick(5) as u8,
            complete: self.flip(),
            lineage: self.pick(3),
            outcome: self.flip().then(|| self.outcome()),
        }
    }

    fn key_status(&mut self) -> KeyStatus {
        let digest = self.body().digest();
        match self.pick(5) {
            0 => KeyStatus::Free,
            1 => KeyStatus::Held { owner: self.instance(), epoch: self.epoch(), digest },
            2 => KeyStatus::Between { digest },
            3 => KeyStatus::Doubtful,
            _ => KeyStatus::Full,
        }
    }

    fn message(&mut self) -> Message {
        let (request, epoch) = (self.request(), self.epoch());
        let digest = self.body().digest();
        let (boot, remaining) = (self.pick(3), self.span());
        match self.pick(10) {
            0 => Message::Reserve(Reserve { request, digest, boot, epoch, remaining }),
            1 => Message::Reserved { request, found: self.key_status() },
            2 => {
                let head = self.head();
                let note = self.progress(head.request);
                let body = self.flip().then(|| self.body().into());
                Message::Put(Box::new(RequestCopy { head, body, digest, boot, note }))
            }
            3 => Message::Note(self.progress(request)),
            4 => Message::Kept(Ack { request, epoch, sequence: self.number() }),
            5 => Message::Full { request, epoch },
            6 => {
                let attempt = self.flip().then(|| self.attempt());
                let (owner, lineage) = (self.instance(), self.pick(3));
                Message::Taken(Takeover { request, owner, epoch, attempt, lineage })
            }
            7 => Message::Yielded { request, epoch },
            8 => Message::HandOver(self.progress(request)),
            _ => Message::Drop { request, epoch, key: self.flip() },
        }
    }

    fn event(&mut self) -> Event {
        match self.pick(4) {
            0 => Event::Sent,
            1 => Event::Tokens { position: self.number() },
            2 => Event::Ended { position: self.number() },
            _ => {
                let steps = [Step::Connect, Step::Head, Step::Read, Step::Export, Step::Import];
                let causes = [Cause::Closed, Cause::Silent, Cause::Forgotten, Cause::Deadline];
                let step = steps[self.pick(5) as usize];
                let cause = causes[self.pick(4) as usize];
                Event::Failed(Failure { step, cause, not_run: self.flip() })
            }
        }
    }

    fn input(&mut self, attempts: &[Attempt], claims: &[(Request, u128)]) -> Input {
        let (request, instance) = (self.request(), self.instance());
        let (ticket, after) = (Ticket(self.pick(6)), self.number());
        match self.pick(18) {
            0 => {
                let zone = format!("z{}", self.pick(3)).as_str().into();
                Input::Joined(Member { instance, zone, boot: self.pick(3) })
            }
            1 => Input::Lost(instance),
            2 => Input::Left(instance),
            3 => {
                let (head, body) = (self.head(), self.body().into());
                Input::Arrived(Arrival { ticket, head, body, after: Some(after) })
            }
            4 => Input::Subscribed { ticket, request, after },
            5 => Input::Gone(ticket),
            6 => Input::RelayLost { ticket, after },
            7 => Input::Admitted(request),
            8 => Input::Declined { request, refusal: self.refusal() },
            9 => self.claimed(claims, request),
            10 => Input::Placed { request, place: self.place() },
            11 => {
                let (wait, refusal) = (self.flip().then(|| self.span()), self.refusal());
                Input::NoPlace { request, wait, refusal }
            }
            12 => Input::Retry { request, granted: self.flip().then(|| self.span()) },
            13 => {
                let known = attempts.len() as u64;
                let live =
                    if known > 0 { attempts[self.pick(known) as usize] } else { self.attempt() };
                Input::Ran { attempt: live, event: self.event() }
            }
            14 => Input::Mirrored { request, position: self.number() },
            15 => {
                let notice = self.flip().then(|| self.span());
                Input::Leaving { upstream: "u".into(), notice }
            }
            16 => Input::Lapsed("u".into()),
            _ => Input::Heard { from: instance, message: self.message() },
        }
    }

    fn claimed(&mut self, claims: &[(Request, u128)], request: Request) -> Input {
        let rulings = [Ruling::Granted, Ruling::Settled, Ruling::Expired, Ruling::Unknown];
        let ruling = rulings[self.pick(4) as usize].clone();
        let known = claims.len() as u64;
        let (request, claimant) =
            if known > 0 { claims[self.pick(known) as usize] } else { (request, 0) };
        Input::Claimed { request, claimant, ruling }
    }

    fn place(&mut self) -> Placement {
        Placement {
            upstream: "u".into(),
            address: ([127, 0, 0, 1], 1).into(),
            kind: self.kind(),
            priority: 0,
            cached: self.number(),
            imports: self.flip(),
        }
    }
}

#[test]
fn no_input_panics_or_exceeds_the_limits() {
    // Peers may be faulty, late, of another version or restarted, and the node may repeat itself. A
    // panic would end the whole instance with all its callers.
    for seed in 0..1500 {
        let mut random = RandomSource(Pcg64::seed_from_u64(seed));
        let mut setup = Setup::new("i0".into(), "z0".into(), 1);
        (setup.limit.copies, setup.limit.finished, setup.limit.owned) = (2, 2, 2);
        setup.limit.bytes = 4;
        let limit = setup.limit;
        let mut requests = Requests::open(setup);
        let (mut now, mut attempts, mut claims) = (Duration::ZERO, Vec::new(), Vec::new());
        for _ in 0..400 {
            now += Duration::from_millis(random.pick(300));
            let input = match random.pick(400) {
                0 => Input::Stop { remaining: random.span() },
                1..40 => Input::Tick,
                _ => random.input(&attempts, &claims),
            };
            let mut out = Vec::new();
            requests.step(now, input, &mut out);
            for output in out {
                match output {
                    Output::Run(run) => attempts.push(run.attempt),
                    Output::Claim(claim) => claims.push((claim.request, claim.claimant)),
                    _ => {}
                }
            }
            let count = requests.counts();
            assert!(count.owned <= limit.owned + limit.copies, "seed {seed}: {count:?}");
            assert!(count.copies <= limit.copies, "seed {seed}: {count:?}");
            assert!(count.bytes <= limit.bytes, "seed {seed}: {count:?}");
        }
    }
}
