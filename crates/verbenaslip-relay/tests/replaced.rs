//! Services whose upstreams are all replaced while what an entry has learnt keeps requests away.

mod common;

use std::time::Duration;

use common::{REPLY, query, run};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use verbenaslip_base::name::AvailabilityZone;
use verbenaslip_fleet::View;
use verbenaslip_fleet::limit::TimeSlot;
use verbenaslip_fleet::registry::Run;
use verbenaslip_relay::dialect::{PromptPart, RateLimit, ResponseInfo};
use verbenaslip_relay::policy::brittleness::usable_places;
use verbenaslip_relay::policy::path::{Fault, Group, Paths};
use verbenaslip_relay::policy::placement::{Choice, Decision, Ending, Placement, Query};

const SECOND: Duration = Duration::from_secs(1);
const STEP: Duration = Duration::from_millis(10);

/// Time of an answer at a sound upstream.
const ANSWER_TIME: Duration = Duration::from_millis(5);

const UPSTREAMS: u16 = 4;
const ENTRIES: u32 = 3;

/// Share of the requests that must be served in the second from the coming of new upstreams.
const MIN_SERVED: f64 = 0.95;

/// Times for which a service has no upstream before the new ones come; with zero, one update
/// replaces all.
const GAPS: [Duration; 3] = [Duration::ZERO, Duration::from_millis(200), SECOND];

const BRITTLE: ResponseInfo = ResponseInfo { brittle: Some(2), ..REPLY };

/// Parts of a prompt; an entry judges prompts by other measurements than plain requests.
const PARTS: [PromptPart; 2] =
    [PromptPart { id: 1, tokens: 300 }, PromptPart { id: 2, tokens: 300 }];

fn prompt() -> Query<'static> {
    let objective = Duration::from_millis(600);
    Query { parts: &PARTS, prompt_tokens: 600, objective, ..query(true) }
}

fn view(runs: impl IntoIterator<Item = Run>, slots: u32, time_slot: Option<TimeSlot>) -> View {
    let view = common::view(runs);
    let mut upstreams = (*view.upstreams).clone();
    upstreams.values_mut().for_each(|it| it.announcement.slots = slots);
    View { upstreams: upstreams.into(), time_slot, ..view }
}

/// The entries of a fleet before the upstreams of one service.
struct Fleet {
    entries: Vec<Placement>,
    now: Duration,
    slots: u32,
    has_positions: bool,
    incarnation: u64,
}

impl Fleet {
    fn new(entries: u32, slots: u32) -> Self {
        let new = |_| Placement::new(AvailabilityZone::from("north"));
        let entries = (0..entries).map(new).collect();
        let mut fleet =
            Self { entries, now: 100 * SECOND, slots, has_positions: true, incarnation: 1 };
        fleet.set_upstreams(1..=UPSTREAMS);
        fleet
    }

    /// Tells all entries which upstreams there are.
    fn set_upstreams(&mut self, numbers: impl IntoIterator<Item = u16>) {
        let runs: Vec<Run> = numbers.into_iter().map(|it| run(it, self.incarnation)).collect();
        let count = u32::try_from(self.entries.len()).expect("small");
        for (index, entry) in (0..).zip(&mut self.entries) {
            let time_slot = self.has_positions.then(|| TimeSlot::single(index, count));
            let view = view(runs.clone(), self.slots, time_slot);
            entry.update(&view);
            entry.update_limits(self.now, &view);
        }
    }

    /// Replaces all upstreams after a time without any.
    fn replace(&mut self, gap: Duration, query: &Query<'_>) {
        if !gap.is_zero() {
            self.set_upstreams([]);
            let end = self.now + gap;
            while self.now < end {
                self.now += STEP;
                self.entries.iter_mut().for_each(|it| drop(it.choose(self.now, query)));
            }
        }
        self.incarnation += 1;
        self.set_upstreams(1..=UPSTREAMS);
    }

    /// Sends requests to all entries in turn; returns the least share that an entry served.
    fn serve(&mut self, duration: Duration, query: &Query<'_>, info: &ResponseInfo) -> f64 {
        let end = self.now + duration;
        let mut served = vec![0.0; self.entries.len()];
        let mut steps = 0.0;
        while self.now < end {
            for (entry, served) in self.entries.iter_mut().zip(&mut served) {
                if let Decision::Send(choice) = entry.choose(self.now, query) {
                    *served += 1.0;
                    answer(entry, self.now, &choice, ANSWER_TIME, info);
                }
            }
            self.now += STEP;
            steps += 1.0;
        }
        served.into_iter().fold(1.0, |least: f64, it| least.min(it / steps))
    }

    /// Sends requests that aren't answered until no entry sends one more; returns them.
    fn fill(&mut self) -> Vec<Choice> {
        let mut choices = Vec::new();
        for entry in &mut self.entries {
            while let Decision::Send(choice) = entry.choose(self.now, &query(true)) {
                choices.push(choice);
                assert!(choices.len() < 10_000, "no bound");
            }
        }
        choices
    }
}

fn answer(
    entry: &mut Placement,
    now: Duration,
    choice: &Choice,
    latency: Duration,
    info: &ResponseInfo,
) {
    let end = now + latency;
    entry.handle_response_info(end, choice, now, info);
    entry.record_first_event(end, choice, latency);
    let ending = if info.cooldown.is_some() { Ending::CoolingDown } else { Ending::Complete };
    entry.record_end(end, choice, ending, Some(latency));
}

/// Plays upstreams whose answers all say `info` until all are replaced.
fn check_answers(entries: u32, info: &ResponseInfo) {
    for gap in GAPS {
        let mut fleet = Fleet::new(entries, 16);
        fleet.serve(3 * SECOND, &query(true), info);
        fleet.replace(gap, &query(true));
        let served = fleet.serve(SECOND, &query(true), &REPLY);
        println!("replaced after {gap:?}: {served:.2} served");
        assert!(served >= MIN_SERVED, "{served} served, replaced after {gap:?}");
    }
}

#[test]
fn a_brittle_service_is_served_again_once_all_its_upstreams_are_replaced() {
    // Guards against a division of places that only an answer renews, while no request is sent without it.
    check_answers(ENTRIES, &BRITTLE);
}

#[test]
fn new_upstreams_of_a_brittle_service_join_its_division_at_once_within_their_places() {
    // Guards against boots that wait for an answer of others, and against more requests than they run.
    for gap in GAPS {
        let mut fleet = Fleet::new(ENTRIES, 16);
        fleet.serve(3 * SECOND, &query(true), &BRITTLE);
        fleet.replace(gap, &query(true));
        let choices = fleet.fill();
        for number in 1..=UPSTREAMS {
            let run = run(number, fleet.incarnation);
            let count = choices.iter().filter(|it| it.run == run).count();
            assert_eq!(count, usable_places(16) as usize, "at {run:?}, replaced after {gap:?}");
        }
    }
}

#[test]
fn one_upstream_that_joins_a_brittle_service_has_its_share_at_once() {
    // Guards against a boot that gets nothing until another upstream answers.
    let mut fleet = Fleet::new(ENTRIES, 16);
    fleet.serve(3 * SECOND, &query(true), &BRITTLE);
    fleet.fill();
    fleet.set_upstreams(1..=UPSTREAMS + 1);
    let choices = fleet.fill();
    assert_eq!(choices.len(), usable_places(16) as usize);
    assert!(choices.iter().all(|it| it.run == run(UPSTREAMS + 1, 1)));
}

#[test]
fn a_brittle_service_is_served_once_an_entry_learns_its_position() {
    // Guards against an entry that divided without a position, and then divides no more.
    let mut fleet = Fleet::new(ENTRIES, 16);
    fleet.has_positions = false;
    fleet.entries.iter_mut().for_each(|it| *it = Placement::new(AvailabilityZone::from("north")));
    fleet.set_upstreams(1..=UPSTREAMS);
    fleet.serve(SECOND, &query(true), &BRITTLE);
    assert!(fleet.serve(SECOND, &query(true), &BRITTLE) < 0.01, "sent without a position");
    fleet.has_positions = true;
    fleet.set_upstreams(1..=UPSTREAMS);
    let served = fleet.serve(SECOND, &query(true), &BRITTLE);
    assert!(served >= MIN_SERVED, "{served} served");
}

#[test]
fn brittle_upstreams_with_one_slot_are_used() {
    // Guards against places that are all kept free, so that no answer ends the division.
    let mut fleet = Fleet::new(ENTRIES, 1);
    fleet.serve(SECOND, &query(true), &BRITTLE);
    fleet.serve(SECOND, &query(true), &BRITTLE);
    for _ in 0..2 {
        let served = fleet.serve(2 * SECOND, &query(true), &BRITTLE);
        assert!(served >= 0.5, "{served} served");
        fleet.replace(SECOND, &query(true));
    }
}

#[test]
fn a_service_with_rate_limits_is_served_again_once_all_its_upstreams_are_replaced() {
    // Guards against a limit that outlives the run that stated it.
    let limited = ResponseInfo { rate_limit: RateLimit::PerSecond(0.0), ..REPLY };
    check_answers(ENTRIES, &limited);
}

#[test]
fn a_service_that_asked_for_a_rest_is_served_again_once_all_its_upstreams_are_replaced() {
    // Guards against a rest, and a pending probe after it, that outlive the run that asked.
    for cooldown in [SECOND / 10, 3_600 * SECOND] {
        let resting = ResponseInfo { cooldown: Some(cooldown), not_run: true, ..REPLY };
        check_answers(ENTRIES, &resting);
    }
}

#[test]
fn a_service_whose_upstreams_leave_is_served_again_once_all_are_replaced() {
    // Guards against a departure that is taken for that of the next run under the name.
    check_answers(ENTRIES, &ResponseInfo { leaving: true, ..REPLY });
}

#[test]
fn a_service_that_failed_is_served_again_once_all_its_upstreams_are_replaced() {
    // Guards against ejections that outlive the run that failed.
    for ending in [Ending::Failed, Ending::Full, Ending::Unreachable, Ending::Slow] {
        for (gap, query) in GAPS.into_iter().flat_map(|gap| [(gap, query(true)), (gap, prompt())]) {
            let mut fleet = Fleet::new(1, 16);
            for _ in 0..40 {
                if let Decision::Send(choice) = fleet.entries[0].choose(fleet.now, &query) {
                    fleet.entries[0].penalize(fleet.now, &choice, 3 * SECOND);
                    fleet.entries[0].record_end(fleet.now, &choice, ending, None);
                }
                fleet.now += STEP;
            }
            fleet.replace(gap, &query);
            let served = fleet.serve(SECOND, &query, &REPLY);
            assert!(served >= MIN_SERVED, "{served} served after {ending:?}, gap {gap:?}");
        }
    }
}

#[test]
fn a_service_that_was_full_is_served_again_once_all_its_upstreams_are_replaced() {
    // Guards against requests in progress that are counted at the next run under the name.
    for gap in GAPS {
        let mut fleet = Fleet::new(1, 16);
        for _ in 0..1_000 {
            drop(fleet.entries[0].choose(fleet.now, &prompt()));
        }
        assert!(fleet.serve(SECOND, &prompt(), &REPLY) < 0.01, "room is left");
        fleet.replace(gap, &prompt());
        let served = fleet.serve(SECOND, &prompt(), &REPLY);
        assert!(served >= MIN_SERVED, "{served} served, replaced after {gap:?}");
    }
}

/// Plays a service that answers ten times later than is wanted, until all its upstreams are replaced.
fn check_late(query: &Query<'_>) {
    for gap in GAPS {
        let mut fleet = Fleet::new(1, 16);
        let end = fleet.now + 20 * SECOND;
        while fleet.now < end {
            if let Decision::Send(choice) = fleet.entries[0].choose(fleet.now, query) {
                let now = fleet.now;
                answer(&mut fleet.entries[0], now, &choice, 10 * query.objective, &REPLY);
            }
            fleet.now += STEP;
        }
        fleet.replace(gap, query);
        let served = fleet.serve(SECOND, query, &REPLY);
        println!("late, replaced after {gap:?}: {served:.2} served");
        assert!(served >= MIN_SERVED, "{served} served, replaced after {gap:?}");
    }
}

#[test]
fn a_service_with_late_first_events_is_served_again_once_all_its_upstreams_are_replaced() {
    // Guards against a lag that is expected of upstreams which have had no part in it.
    check_late(&prompt());
}

#[test]
fn an_overloaded_plain_service_is_served_again_once_all_its_upstreams_are_replaced() {
    // Guards against a refused share that is kept for upstreams which have had no part in it.
    check_late(&query(true));
}

#[test]
fn a_cut_path_is_whole_within_a_second_once_all_its_upstreams_are_replaced() {
    // Guards against a path that is probed only by the runs by which it was cut.
    let (mut paths, now) = (Paths::default(), 10 * SECOND);
    let group = Group { service: "desk".into(), zone: "north".into() };
    let old: Vec<Run> = (1..=UPSTREAMS).map(|it| run(it, 1)).collect();
    for run in &old {
        paths.record_bypassed(now, &group, run, Fault::Hung);
        paths.prefers_direct(&group, run, 0.0);
    }
    paths.take_due_probes(now);
    assert!(paths.is_cut(&group));
    paths.forget(&old, |_| true);
    let new = run(1, 2);
    let mut waited = Duration::ZERO;
    while !paths.prefers_direct(&group, &new, 0.99) {
        waited += STEP;
        assert!(waited <= SECOND, "cut for {waited:?}");
        for probe in paths.take_due_probes(now + waited) {
            let connect_time = Duration::from_millis(2);
            let run = probe.run.as_ref().unwrap_or(&new);
            paths.record_direct(now + waited, &probe.group, run, connect_time);
        }
    }
    assert!(paths.trusts_open_connections(&group));
}

/// Ends upstreams of a brittle service at random; they come back as new runs after up to 2 s. Each
/// entry hears of it up to 0.3 s later.
fn play_random(seed: u64) {
    let mut rng = Pcg64::seed_from_u64(seed);
    let entry_count = rng.random_range(1..=6_u32);
    let new = |_| Placement::new(AvailabilityZone::from("north"));
    let mut entries: Vec<Placement> = (0..entry_count).map(new).collect();
    let mut incarnations = [1_u64; UPSTREAMS as usize];
    let mut back_at = [Duration::ZERO; UPSTREAMS as usize];
    let mut known: Vec<Vec<Run>> = vec![Vec::new(); entries.len()];
    let mut heard_at = vec![Duration::ZERO; entries.len()];
    let mut in_progress: Vec<(Duration, usize, Choice)> = Vec::new();
    let (mut list, mut settled_at) = (Vec::new(), Duration::ZERO);
    let mut now = 100 * SECOND;
    let end = now + 60 * SECOND;
    while now < end {
        for (incarnation, back_at) in incarnations.iter_mut().zip(&mut back_at) {
            if *back_at <= now && rng.random_range(0..200) == 0 {
                *incarnation += 1;
                *back_at = now + Duration::from_millis(rng.random_range(0..2_000));
            }
        }
        let ready = (1..).zip(incarnations.iter().zip(&back_at));
        let ready = ready.filter(|(_, (_, back_at))| **back_at <= now);
        let runs: Vec<Run> = ready.map(|(number, (it, _))| run(number, *it)).collect();
        if runs != list {
            (list, settled_at) = (runs, now + Duration::from_millis(300));
            heard_at.fill_with(|| now + Duration::from_millis(rng.random_range(0..300)));
        }
        let (done, rest) = in_progress.into_iter().partition(|(end, ..)| *end <= now);
        in_progress = rest;
        let done: Vec<(Duration, usize, Choice)> = done;
        for (_, index, choice) in done {
            let entry: &mut Placement = &mut entries[index];
            entry.handle_response_info(now, &choice, now - 2 * STEP, &BRITTLE);
            entry.record_end(now, &choice, Ending::Complete, Some(2 * STEP));
        }
        for (index, entry) in entries.iter_mut().enumerate() {
            if heard_at[index] <= now && known[index] != list {
                known[index].clone_from(&list);
                let place = u32::try_from(index).expect("small");
                let view = view(list.clone(), 16, Some(TimeSlot::single(place, entry_count)));
                entry.update(&view);
                entry.update_limits(now, &view);
            }
            match entry.choose(now, &query(true)) {
                Decision::Send(choice) => in_progress.push((now + 2 * STEP, index, choice)),
                other => {
                    let may_refuse = list.is_empty() || now < settled_at + SECOND;
                    assert!(may_refuse, "seed {seed}: {other:?} at {now:?}, {list:?}");
                }
            }
        }
        now += STEP;
    }
}

#[test]
fn a_brittle_service_whose_upstreams_end_at_random_is_served() {
    // Guards against orders of ends, answers and updates after which an entry has no place.
    (0..40).for_each(play_random);
}
