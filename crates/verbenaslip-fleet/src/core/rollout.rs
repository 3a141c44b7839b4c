//! Handling of rollouts at the leader.

use std::sync::Arc;

use crate::core::{Core, Event};
use crate::frame::Heartbeat;
use crate::registry::{Record, Status};
use crate::replicated_state::Command;
use crate::rollout::verdict::{Fleet, Stage};
use crate::rollout::{Controller, Plans, Rollout, State};
use crate::usage::EntryRun;

impl Core {
    /// Restores the rollouts that the log holds.
    pub(crate) fn restore_rollouts(&mut self) {
        self.controllers.clear();
        self.verdict_proposals.clear();
        self.update_controllers();
        self.publish_plans();
    }

    /// Publishes the rollout plans from the log; returns the change with which they were last
    /// published.
    pub(crate) fn announce_plans(&mut self) -> u64 {
        self.update_controllers();
        self.publish_plans();
        self.rollout_plans_change
    }

    /// Handles an instance's reports about service versions.
    pub(crate) fn handle_rollout_reports(&mut self, heartbeat: &Heartbeat) {
        let (entry, incarnation) = (heartbeat.peer.address, heartbeat.peer.incarnation);
        let own = heartbeat
            .rollouts
            .iter()
            .map(|entry_report| (entry, incarnation, heartbeat.sequence, entry_report));
        let aggregate =
            heartbeat.aggregate.iter().flat_map(|aggregate| &aggregate.rollouts).flat_map(
                |entry_report| {
                    let EntryRun { address, incarnation } = entry_report.origin;
                    entry_report
                        .reports
                        .iter()
                        .map(move |report| (address, incarnation, entry_report.sequence, report))
                },
            );
        for (entry, incarnation, sequence, report) in own.chain(aggregate) {
            for controller in self.controllers.values_mut() {
                controller.handle_report(entry, incarnation, sequence, report);
            }
        }
    }

    /// Returns whether a rollout is in progress.
    pub(crate) fn has_rollouts(&self) -> bool {
        self.controllers.values().any(|controller| controller.rollout().state == State::Serving)
    }

    /// Advances all rollouts and publishes the resulting plans.
    pub(crate) fn maintain_rollouts(&mut self) {
        self.update_controllers();
        let (now, unix_ms) = (self.now, self.agreed_unix_ms());
        let services: Vec<Arc<str>> = self.controllers.keys().cloned().collect();
        for service in services {
            let fleet = self.rollout_fleet(&service);
            let Some(controller) = self.controllers.get_mut(&service) else { continue };
            let (stage, undecided) = (controller.stage(), controller.verdict().is_none());
            controller.tick(now, unix_ms, &fleet);
            self.emit_rollout_changes(&service, stage, undecided);
            self.propose_verdict(&service);
        }
        self.publish_plans();
    }

    /// Returns the upstreams of a service that the capacity plan counts: those of the version that
    /// serves.
    ///
    /// The candidate's upstreams run in addition to these. If they were counted, the plan would see
    /// too many upstreams and give up stable ones.
    pub(crate) fn planned_upstreams<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = &'a Record> {
        let rollouts = self.replicated_state.rollouts();
        let rejected = rollouts.rejected(service);
        let current = rollouts.get(service).filter(|rollout| rollout.state == State::Serving);
        let candidate = current.map(|rollout| rollout.order.version.clone());
        self.registry.service_records(service).filter(move |record| {
            let version = &record.announcement.version;
            !rejected.contains(version) && candidate.as_ref() != Some(version)
        })
    }

    /// Creates or updates the controller of each rollout in the log.
    fn update_controllers(&mut self) {
        let rollouts = self.replicated_state.rollouts();
        for rollout in rollouts.iter() {
            let service = &rollout.order.service;
            let rejected = rollouts.rejected(service);
            match self.controllers.get_mut(service) {
                Some(controller) if controller.rollout().id == rollout.id => {
                    controller.update_rollout(rollout, &rejected)
                }
                _ => {
                    let controller = Controller::new(rollout.clone(), rejected);
                    self.controllers.insert(service.clone(), controller);
                }
            }
        }
    }

    fn rollout_fleet(&self, service: &str) -> Fleet {
        let rollout = self.replicated_state.rollouts().get(service);
        let candidate = rollout.map(|rollout| &rollout.order.version);
        let entries = self.hub.reachable_entries(self.now);
        // Cores list their entries from the first heartbeat after the leader asks for the list.
        let all_listed = entries.len() >= self.hub.reachable_entry_count(self.now);
        let mut fleet = Fleet {
            entries,
            all_reported: self.has_gathered_reports() && all_listed,
            ..Fleet::default()
        };
        for record in self.registry.service_records(service) {
            let announcement = &record.announcement;
            match record.status {
                Status::Ready if Some(&announcement.version) == candidate => {
                    fleet
                        .candidates
                        .push((announcement.run.upstream.clone(), announcement.zone.clone()));
                }
                Status::Ready => fleet.stable += 1,
                _ => {}
            }
        }
        fleet
    }

    fn emit_rollout_changes(&mut self, service: &str, previous: Stage, undecided: bool) {
        let Some(controller) = self.controllers.get(service) else { return };
        let rollout = Box::new(controller.rollout().clone());
        let (stage, exposure) = (controller.stage(), controller.exposure());
        let verdict = controller.verdict().filter(|_| undecided).cloned();
        if stage != previous {
            self.emit(Event::RolloutStage { rollout: rollout.clone(), stage, exposure });
        }
        if let Some(verdict) = verdict {
            self.emit(Event::RolloutDecided { rollout, verdict: Box::new(verdict), exposure });
        }
    }

    /// Proposes a verdict to the log until it is committed.
    fn propose_verdict(&mut self, service: &str) {
        let Some(controller) = self.controllers.get(service) else { return };
        let &Rollout { id, state, .. } = controller.rollout();
        let Some(verdict) = controller.verdict().map(|verdict| verdict.state) else { return };
        if state != State::Serving || self.verdict_proposals.contains_key(&id) {
            return;
        }
        let unix = self.agreed_unix_ms();
        let token = self.propose(&Command::DecideRollout { id, state: verdict, unix });
        // With a single voter the proposal is committed at once.
        if self
            .replicated_state
            .rollouts()
            .get(service)
            .is_some_and(|rollout| rollout.decided.is_none())
        {
            self.verdict_proposals.insert(id, token);
        }
    }

    /// Publishes the rollout plans to the entries, if they have changed.
    ///
    /// A plan that ends a candidate's traffic is pushed at once, since each delay gives callers
    /// more bad answers.
    fn publish_plans(&mut self) {
        let plans = self
            .controllers
            .iter()
            .map(|(service, controller)| (service.clone(), controller.plan()));
        let plans: Plans = plans.collect();
        if plans == *self.rollout_plans {
            return;
        }
        let has_ended = |service: &Arc<str>| {
            plans.get(service).is_some_and(|plan| plan.state != State::Serving)
        };
        let urgent = plans.keys().any(|service| {
            let previous = self.rollout_plans.get(service).map(|plan| plan.state);
            has_ended(service) && previous == Some(State::Serving)
        });
        self.rollout_plans = Arc::new(plans);
        self.rollout_plans_change = self.registry.record_external_change();
        if urgent {
            self.next_push = self.next_push.min(self.now);
        } else {
            self.schedule_push();
        }
    }
}
