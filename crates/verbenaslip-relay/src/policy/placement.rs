//! Which upstream takes a request.

mod choice;
mod restrictions;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use verbenaslip_base::hash;
use verbenaslip_base::name::{AvailabilityZone, Upstream};
use verbenaslip_fleet::View;
use verbenaslip_fleet::limit::{Limits, TimeSlot};
use verbenaslip_fleet::registry::{Announcement, Record, Run, Status};
use verbenaslip_fleet::rollout::{Cohort, Plans};

use crate::dialect::PromptPart;
use crate::policy::load_shedding::Share;
use crate::policy::placement::choice::Lane;
pub use crate::policy::placement::choice::{Busy, Cause, Choice, Query, Verdict};
use crate::policy::restriction::Notices;
use crate::policy::speed::Lag;
pub use crate::policy::upstream_state::Ending;
use crate::policy::upstream_state::Site;
use crate::policy::versions::{Track, Tracks};

/// What another availability zone costs, in milliseconds: two ways of the longest path between
/// zones of one region, so that it decides between equals only.
const AWAY: f64 = 3.0;

/// What one running request adds to the time of all others, in milliseconds for each.
const BATCHED: f64 = 0.5;

/// The part of a prompt that is taken for read already at the upstream where its prefix belongs by
/// hash, even though this entry has not sent it there: other entries prefer the same one.
const SHARED: f64 = 0.8;

/// What reading a shared part once more costs beyond the time of this request, as a multiple of it:
/// the requests behind it wait for it too, and the part takes memory twice.
const AGAIN: f64 = 1.0;

/// Differences below this, in milliseconds, are no reason to prefer one upstream.
const EQUAL: f64 = 0.1;

/// What a share of failed answers costs, in milliseconds for all of them failing: more than any
/// queue is worth.
const FAILING: f64 = 800.0;

/// When the callers of a plain service may come back that were refused because it has more to do than it
/// can: after the first time, and the part of the second one that is refused. A refused part of a half keeps
/// them away for 0.8 s, longer than a full queue takes to empty.
const BACK_SHED: (Duration, Duration) = (Duration::from_millis(300), Duration::from_secs(1));

/// How many times the part of new requests is refused of those that have come back: none of them is
/// admitted once a third of the others is not.
const WAITED: f64 = 3.0;

/// The most that is refused of those that have come back; a few show that there is room again.
const SHED_MOST: f64 = 0.95;

/// How much of the objective a request has taken that was turned away for want of room: a full queue
/// takes all of it and more.
const ALL: f64 = 1.0;

/// The part of the objective within which a first event must be expected, or the request is refused at
/// once. Where engines are missing, their queues settle at this.
const PATIENCE: f64 = 1.0;

/// The same for callers that have come back, whose answers come late in any case: they get what others
/// leave over.
const PATIENCE_WAITED: f64 = 0.6;

/// What is taken off the cost of a limited upstream that is to be asked, in milliseconds: more than reading most
/// prompts costs, and less than a queue.
const DUE: f64 = 100.0;

/// Holds the upstreams as the fleet knows them.
type Records = BTreeMap<Upstream, Record>;

/// Holds what is known of the upstreams and what this entry has under way there.
#[derive(Debug)]
pub struct Placement {
    zone: AvailabilityZone,
    sites: BTreeMap<Upstream, Site>,
    by_service: BTreeMap<Arc<str>, Vec<Upstream>>,
    upstreams: Option<Arc<Records>>,
    plans: Arc<Plans>,
    notices: Notices,
    limits: Arc<Limits>,
    /// This entry's place among the entries.
    place: Option<TimeSlot>,
    /// The agreed time of day less the monotonic clock, in milliseconds.
    time: i64,
    /// Whether the upstreams have changed since what they ask for was looked through.
    changed: bool,
    turn: u64,
    lags: BTreeMap<Lane, Lag>,
    shares: BTreeMap<Arc<str>, Share>,
}

/// Holds what a request would take at an upstream.
#[derive(Clone, Copy, Debug)]
struct Estimate {
    /// Tokens of the prompt that are still to be read there.
    reading: u64,
    /// The expected milliseconds to the first event.
    expected: f64,
    /// What it costs all requests together, in milliseconds.
    cost: f64,
    /// Whether nothing else is under way there.
    idle: bool,
}

impl Placement {
    /// Starts without upstreams.
    pub fn open(zone: AvailabilityZone) -> Self {
        Self {
            zone,
            sites: BTreeMap::new(),
            by_service: BTreeMap::new(),
            upstreams: None,
            plans: Arc::default(),
            notices: Notices::default(),
            limits: Arc::default(),
            place: None,
            time: 0,
            changed: false,
            turn: 0,
            lags: BTreeMap::new(),
            shares: BTreeMap::new(),
        }
    }

    /// Takes a newer view; runs of upstreams that are no longer in it are returned.
    pub fn update(&mut self, view: &View) -> Vec<Run> {
        let mut gone = Vec::new();
        self.time = view.time_offset_ms;
        if !self.upstreams.as_ref().is_some_and(|it| Arc::ptr_eq(it, &view.upstreams)) {
            gone = self.take_records(&view.upstreams);
            self.changed = true;
            self.upstreams = Some(view.upstreams.clone());
            self.follow(&view.rollout_plans);
        }
        if !Arc::ptr_eq(&self.plans, &view.rollout_plans) {
            self.follow(&view.rollout_plans);
        }
        gone
    }

    /// Decides where a request goes, and counts it there.
    pub fn choose(&mut self, now: Duration, query: &Query<'_>) -> Verdict {
        let engine = !query.parts.is_empty();
        self.turn = self.turn.wrapping_add(1);
        if let Some(busy) = self.sheds(now, query) {
            return Verdict::Busy(busy);
        }
        let Some(mut choice) = self.choose_track(now, query) else {
            return self.restricted(now, query).map_or(Verdict::Nowhere, Verdict::Busy);
        };
        let objective = query.objective.as_secs_f64() * 1_000.0;
        if engine {
            choice.lag = self.lags.get(&choice.lane).map_or(0.0, |lag| lag.at(now));
        }
        let expected = choice.expected + choice.lag;
        let late = expected > objective * if query.waited { PATIENCE_WAITED } else { PATIENCE };
        let hopeless = expected > query.remaining.as_secs_f64() * 1_000.0;
        if engine && !query.begun && (late || hopeless) && choice.cohort == Cohort::Canary {
            // A canary that is busy must not cost its caller the answer.
            return self.choose(now, &Query { tracks: Tracks::default(), ..*query });
        }
        if engine && !query.begun && (late || hopeless) {
            let over = (expected - objective).max(100.0);
            let back = Duration::from_secs_f64((over / 1_000.0).min(3.0));
            let cause = Cause::Late { expected: choice.expected, lag: choice.lag };
            return Verdict::Busy(Busy { back, cause, work: choice.work });
        }
        self.begin(now, &choice, query);
        Verdict::Go(choice)
    }

    /// Finds the best upstream of the first version that has one.
    fn choose_track(&self, now: Duration, query: &Query<'_>) -> Option<Choice> {
        let tracks = std::iter::once(query.tracks.first).chain(query.tracks.second);
        let mut tries = [true, false].into_iter().flat_map(|strict| {
            let tracks = tracks.clone();
            tracks.map(move |track| (strict, track))
        });
        tries.find_map(|(strict, track)| {
            let home = self.home(query, track);
            self.best(now, query, home.as_ref(), strict, track)
        })
    }

    /// Takes which versions of services get requests.
    fn follow(&mut self, plans: &Arc<Plans>) {
        self.plans = plans.clone();
        for site in self.sites.values_mut() {
            let plan = self.plans.get(&site.record.announcement.service);
            site.follow(plan);
        }
    }

    /// Tells whether a service has an upstream that may get work, other than these.
    pub(crate) fn has_other(&self, now: Duration, service: &str, tried: &[Run]) -> bool {
        let names = self.by_service.get(service).into_iter().flatten();
        let mut sites = names.filter_map(|name| self.sites.get(name));
        let serves = |it: &Site| matches!(it.cohort, Cohort::Stable | Cohort::Candidate);
        let at = self.moment(now);
        sites.any(|it| {
            serves(it)
                && it.takes(now, false, true)
                && !tried.contains(it.run())
                && self.notices.admits(at, it.run(), false, || 0.0)
        })
    }

    /// Takes an upstream's first event.
    pub fn first(&mut self, now: Duration, choice: &Choice, took: Duration) {
        if let Some(objective) = choice.plain {
            let part = took.as_secs_f64() / objective.as_secs_f64().max(f64::MIN_POSITIVE);
            self.share(now, &choice.lane.0).learn(now, part);
        } else {
            let lag = self.lags.entry(choice.lane.clone()).or_default();
            lag.learn(now, took.as_secs_f64() * 1_000.0 - choice.expected);
        }
        let Some(site) = self.site_mut(choice) else { return };
        site.reading = site.reading.saturating_sub(choice.reading);
        if choice.idle {
            site.pace.learn_first(choice.reading, took);
        }
    }

    /// Takes the end of a request at an upstream; `began` tells whether its first event had come.
    pub fn end(&mut self, now: Duration, choice: &Choice, ending: Ending, began: Option<Duration>) {
        // One upstream that refuses everything says nothing of the others.
        let refuses = self.site_mut(choice).is_some_and(|site| site.refuses());
        if ending == Ending::Full && choice.plain.is_some() && !refuses {
            self.share(now, &choice.lane.0).learn(now, ALL);
        }
        let Some(site) = self.site_mut(choice) else { return };
        if began.is_none() {
            site.reading = site.reading.saturating_sub(choice.reading);
        }
        site.end(now, ending, began);
    }

    /// Tells whether a request to a plain service is refused at once because the service has more to do
    /// than it can.
    ///
    /// When fewer upstreams are left than the load needs, all their queues are full: half of the
    /// requests are turned away and the others are late. Refused here in the right part, the rest finds
    /// short queues and is on time. The part follows from how late answers come beside what is wanted,
    /// so it needs to know neither the load nor what the upstreams can do.
    fn sheds(&self, now: Duration, query: &Query<'_>) -> Option<Busy> {
        if !query.parts.is_empty() || !query.tried.is_empty() {
            return None;
        }
        let refused = 1.0 - self.shares.get(query.service)?.at(now);
        // Whoever has come back gets a late answer at best, in the place of one that is on time.
        let part = if query.waited { (refused * WAITED).min(SHED_MOST) } else { refused };
        let draw = f64::from(u32::try_from(hash::mix(self.turn) >> 32).unwrap_or(0));
        let shed = draw < part * f64::from(u32::MAX);
        let back = BACK_SHED.0 + BACK_SHED.1.mul_f64(part);
        shed.then_some(Busy { back, cause: Cause::Share(1.0 - part), work: 0.0 })
    }

    fn share(&mut self, now: Duration, service: &Arc<str>) -> &mut Share {
        self.shares.entry(service.clone()).or_insert_with(|| Share::open(now))
    }

    /// Returns where a request was sent, unless that run has ended.
    ///
    /// An upstream that has started again under its name has nothing under way of what was sent before:
    /// counted there, the old requests would make it look busier, or idler, than it is.
    fn site_mut(&mut self, choice: &Choice) -> Option<&mut Site> {
        self.sites.get_mut(&choice.run.upstream).filter(|site| *site.run() == choice.run)
    }

    fn take_records(&mut self, records: &Records) -> Vec<Run> {
        let stays = |site: &Site| {
            let record = records.get(&site.run().upstream);
            record.is_some_and(|record| record.announcement.run == *site.run())
        };
        let ended = self.sites.values().filter(|site| !stays(site));
        let gone: Vec<Run> = ended.map(|site| site.run().clone()).collect();
        self.sites.retain(|_, site| stays(site));
        let mut moved = !gone.is_empty();
        for (name, record) in records {
            match self.sites.get_mut(name) {
                Some(site) if site.record == *record => {}
                Some(site) => {
                    moved |= site.record.announcement.service != record.announcement.service;
                    site.record = record.clone();
                }
                None => {
                    moved = true;
                    self.sites.insert(name.clone(), Site::open(record.clone()));
                }
            }
        }
        if moved {
            self.list_services();
        }
        gone
    }

    /// Lists the upstreams by service anew.
    fn list_services(&mut self) {
        self.by_service.clear();
        for (name, site) in &self.sites {
            let service = site.record.announcement.service.clone();
            self.by_service.entry(service).or_default().push(name.clone());
        }
    }

    fn best(
        &self,
        now: Duration,
        query: &Query<'_>,
        home: Option<&Upstream>,
        strict: bool,
        track: Track,
    ) -> Option<Choice> {
        let names = self.by_service.get(query.service)?;
        let shared: u64 = shared(query.parts).iter().map(|part| u64::from(part.tokens)).sum();
        let at = self.moment(now);
        let mut best: Option<(&Site, Estimate)> = None;
        let mut equals = 1;
        for name in names {
            let Some(site) = self.sites.get(name) else { continue };
            if !track.admits(site.cohort)
                || !site.takes(now, strict, query.spare)
                || query.tried.contains(site.run())
                || !self.notices.admits(at, site.run(), query.spare, || self.draw(site, strict))
            {
                continue;
            }
            let likely = if home == Some(name) { scale(shared, SHARED) } else { 0 };
            let mut estimate = self.weigh(now, query, site, shared, likely);
            if self.notices.is_due(at, site.run()) {
                estimate.cost -= DUE;
            }
            let gain = best.map_or(f64::MAX, |(_, best)| best.cost - estimate.cost);
            equals = if gain.abs() < EQUAL { equals + 1 } else { 1 };
            // Of equals each is as likely; always the first would get all that comes at once.
            let drawn = hash::mix(self.turn ^ site.mark).is_multiple_of(equals);
            if gain >= EQUAL || (gain > -EQUAL && drawn) {
                best = Some((site, estimate));
            }
        }
        let (site, Estimate { reading, expected, idle, .. }) = best?;
        let Announcement { run, address, service, version, .. } = &site.record.announcement;
        let lane = (service.clone(), query.rank);
        Some(Choice {
            run: run.clone(),
            address: *address,
            reading,
            expected,
            lag: 0.0,
            idle,
            work: if query.parts.is_empty() { 0.0 } else { site.pace.reading(reading) },
            version: version.clone(),
            cohort: site.cohort,
            mark: site.mark,
            limit: self.notices.rate(site.run()),
            ticket: None,
            lane,
            plain: query.parts.is_empty().then_some(query.objective),
        })
    }

    /// Works out when the first event would come from an upstream, of a prompt with so many tokens
    /// that others share, so many of which it is likely to have read for other entries.
    fn weigh(
        &self,
        now: Duration,
        query: &Query<'_>,
        site: &Site,
        shared: u64,
        likely: u64,
    ) -> Estimate {
        let held = site.cache.held(now, query.parts).max(likely);
        let reading = query.prompt.saturating_sub(held);
        let again = shared.saturating_sub(held);
        let requests = site.requests;
        // Only what this entry itself has there. What others had would be known half a second later,
        // when it has been read, and would send all entries on to the same few upstreams.
        let waiting = site.reading;
        let slots = site.record.announcement.slots.max(1);
        let away = if site.record.announcement.zone == self.zone { 0.0 } else { AWAY };
        let mut expected = away + f64::from(requests) * BATCHED + site.failing(now) * FAILING;
        if !query.parts.is_empty() {
            expected += site.pace.first() + site.pace.reading(waiting + reading);
        }
        if requests >= slots {
            let lasting = site.pace.lasting().unwrap_or(100.0);
            expected += lasting * f64::from(requests - slots + 1) / f64::from(slots);
        } else if query.parts.is_empty() {
            expected += 10.0 * f64::from(requests) / f64::from(slots);
        }
        Estimate {
            reading,
            expected,
            cost: expected + site.pace.reading(again) * AGAIN,
            idle: waiting == 0,
        }
    }

    /// Draws a number between zero and one for a request at a site; less strictly, the lowest.
    fn draw(&self, site: &Site, strict: bool) -> f64 {
        if !strict {
            return 0.0;
        }
        let drawn = u32::try_from(hash::mix(self.turn ^ site.mark) >> 32).unwrap_or(u32::MAX);
        f64::from(drawn) / f64::from(u32::MAX)
    }

    fn begin(&mut self, now: Duration, choice: &Choice, query: &Query<'_>) {
        let at = self.moment(now);
        self.notices.sent(at, &choice.run);
        let Some(site) = self.site_mut(choice) else { return };
        site.requests += 1;
        site.reading += choice.reading;
        site.cache.note(now, query.parts);
    }

    /// Returns the upstream where the shared start of a prompt belongs.
    ///
    /// All entries find the same one without a word between them: the one with the highest hash of
    /// prefix and upstream.
    fn home(&self, query: &Query<'_>, track: Track) -> Option<Upstream> {
        let part = shared(query.parts).last()?.id;
        let names = self.by_service.get(query.service)?;
        let sites = names.iter().filter_map(|name| Some((name, self.sites.get(name)?)));
        let ready = sites.filter(|(_, site)| {
            site.record.status == Status::Ready
                && track.admits(site.cohort)
                && self.notices.restriction(site.run()).is_none()
                && !self.notices.is_leaving(site.run())
        });
        ready.max_by_key(|(_, site)| hash::mix(site.mark ^ part)).map(|(name, _)| name.clone())
    }
}

/// Returns the parts that other requests may share: all but the last.
fn shared(parts: &[PromptPart]) -> &[PromptPart] {
    parts.split_last().map_or(&[], |(_, shared)| shared)
}

#[allow(clippy::cast_possible_truncation, clippy::cast_precision_loss, clippy::cast_sign_loss)]
fn scale(tokens: u64, by: f64) -> u64 {
    (tokens as f64 * by) as u64
}
