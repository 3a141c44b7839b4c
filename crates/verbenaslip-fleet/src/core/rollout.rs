//! What a core does about roll-outs while it leads.

use std::sync::Arc;

use crate::core::{Core, Event};
use crate::frame::Heartbeat;
use crate::registry::{Record, Status};
use crate::replicated_state::Command;
use crate::rollout::verdict::{Fleet, Stage};
use crate::rollout::{Controller, Plans, Rollout, State};
use crate::usage::EntryRun;

impl Core {
    /// Begins with the roll-outs that the log holds.
    pub(crate) fn open_rollouts(&mut self) {
        self.controllers.clear();
        self.deciding.clear();
        self.follow_rollouts();
        self.publish_plans();
    }

    /// Has entries told of the roll-outs that the log holds; returns the change by which they know them.
    pub(crate) fn announce_plans(&mut self) -> u64 {
        self.follow_rollouts();
        self.publish_plans();
        self.planned
    }

    /// Takes what an entry reports of versions.
    pub(crate) fn take_rollouts(&mut self, heartbeat: &Heartbeat) {
        let (entry, incarnation) = (heartbeat.peer.address, heartbeat.peer.incarnation);
        let own = heartbeat.rollouts.iter().map(|it| (entry, incarnation, heartbeat.sequence, it));
        let below = heartbeat.aggregate.iter().flat_map(|below| &below.rollouts).flat_map(|it| {
            let EntryRun { address, incarnation } = it.origin;
            it.reports.iter().map(move |report| (address, incarnation, it.sequence, report))
        });
        for (entry, incarnation, number, report) in own.chain(below) {
            for controller in self.controllers.values_mut() {
                controller.handle_report(entry, incarnation, number, report);
            }
        }
    }

    /// Tells whether a roll-out is under way.
    pub(crate) fn has_rollouts(&self) -> bool {
        self.controllers.values().any(|it| it.rollout().state == State::Serving)
    }

    /// Decides what is due of roll-outs, and has entries told.
    pub(crate) fn tend_rollouts(&mut self) {
        self.follow_rollouts();
        let (now, unix) = (self.now, self.agreed());
        let services: Vec<Arc<str>> = self.controllers.keys().cloned().collect();
        for service in services {
            let fleet = self.fleet(&service);
            let Some(controller) = self.controllers.get_mut(&service) else { continue };
            let (stage, undecided) = (controller.stage(), controller.verdict().is_none());
            controller.tick(now, unix, &fleet);
            self.note_rollout(&service, stage, undecided);
            self.note_verdict(&service);
        }
        self.publish_plans();
    }

    /// Goes through the upstreams of a service that its plan counts: those of the version that serves.
    ///
    /// A candidate's upstreams stand beside those that serve. Counted with them, they would be taken for too many,
    /// and the stable ones be given up.
    pub(crate) fn serving<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Record> {
        let rollouts = self.ledger.rollouts();
        let rejected = rollouts.rejected(service);
        let serves = rollouts.get(service).filter(|it| it.state == State::Serving);
        let candidate = serves.map(|it| it.order.version.clone());
        self.registry.service_records(service).filter(move |record| {
            let version = &record.announcement.version;
            !rejected.contains(version) && candidate.as_ref() != Some(version)
        })
    }

    /// Has a controller for each roll-out that the log holds.
    fn follow_rollouts(&mut self) {
        let rollouts = self.ledger.rollouts();
        for rollout in rollouts.iter() {
            let service = &rollout.order.service;
            let rejected = rollouts.rejected(service);
            match self.controllers.get_mut(service) {
                Some(known) if known.rollout().id == rollout.id => {
                    known.update_rollout(rollout, &rejected)
                }
                _ => {
                    let controller = Controller::new(rollout.clone(), rejected);
                    self.controllers.insert(service.clone(), controller);
                }
            }
        }
    }

    fn fleet(&self, service: &str) -> Fleet {
        let rollout = self.ledger.rollouts().get(service);
        let candidate = rollout.map(|rollout| &rollout.order.version);
        let entries = self.hub.reachable_entries(self.now);
        // Cores list their entries from the first report on that is asked for it.
        let listed = entries.len() >= self.hub.reachable_entry_count(self.now);
        let mut fleet =
            Fleet { entries, all_reported: self.is_settled() && listed, ..Fleet::default() };
        for record in self.registry.service_records(service) {
            let it = &record.announcement;
            match record.status {
                Status::Ready if Some(&it.version) == candidate => {
                    fleet.candidates.push((it.run.upstream.clone(), it.zone.clone()));
                }
                Status::Ready => fleet.stable += 1,
                _ => {}
            }
        }
        fleet
    }

    fn note_rollout(&mut self, service: &str, before: Stage, undecided: bool) {
        let Some(controller) = self.controllers.get(service) else { return };
        let rollout = Box::new(controller.rollout().clone());
        let (stage, exposure) = (controller.stage(), controller.exposure());
        let verdict = controller.verdict().filter(|_| undecided).cloned();
        if stage != before {
            self.note(Event::RolloutStage { rollout: rollout.clone(), stage, exposure });
        }
        if let Some(verdict) = verdict {
            self.note(Event::RolloutDecided { rollout, verdict: Box::new(verdict), exposure });
        }
    }

    /// Has the log hold a verdict, again until it does.
    fn note_verdict(&mut self, service: &str) {
        let Some(controller) = self.controllers.get(service) else { return };
        let &Rollout { id, state, .. } = controller.rollout();
        let Some(verdict) = controller.verdict().map(|it| it.state) else { return };
        if state != State::Serving || self.deciding.contains_key(&id) {
            return;
        }
        let unix = self.agreed();
        let token = self.propose(&Command::DecideRollout { id, state: verdict, unix });
        // Answered at once if there is only one voter.
        if self.ledger.rollouts().get(service).is_some_and(|it| it.decided.is_none()) {
            self.deciding.insert(id, token);
        }
    }

    /// Has entries told what they do about versions, if that has changed.
    ///
    /// At once where a candidate gets less: each moment later callers get more bad answers.
    fn publish_plans(&mut self) {
        let plans = self.controllers.iter().map(|(service, it)| (service.clone(), it.plan()));
        let plans: Plans = plans.collect();
        if plans == *self.plans {
            return;
        }
        let ends =
            |service: &Arc<str>| plans.get(service).is_some_and(|it| it.state != State::Serving);
        let urgent = plans.keys().any(|service| {
            let before = self.plans.get(service).map(|it| it.state);
            ends(service) && before == Some(State::Serving)
        });
        self.plans = Arc::new(plans);
        self.planned = self.registry.record_external_change();
        if urgent {
            self.push_at = self.push_at.min(self.now);
        } else {
            self.push_soon();
        }
    }
}
