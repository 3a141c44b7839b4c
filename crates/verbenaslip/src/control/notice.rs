//! What happened at the instance, as log events and metrics.

use std::time::Duration;

use verbenaslip_base::announce::{Announcement, Phase};
use verbenaslip_base::head::Head;
use verbenaslip_base::name::{Instance, Model};
use verbenaslip_node::notice::Notice;
use verbenaslip_policy::plan::Order;
use verbenaslip_policy::retry::{Decision, Denial};
use verbenaslip_request::claim::Ruling;
use verbenaslip_request::output::Outcome;
use verbenaslip_state::command::VoterChange;
use verbenaslip_state::order::Result as Ended;
use verbenaslip_state::order::dispatcher::{Event as Told, Report};

use crate::control::Running;
use crate::event::{Event, kebab};

impl Running {
    pub(super) fn notice(&mut self, notice: Notice) {
        self.measure(&notice);
        match notice {
            Notice::RequestStarted { head, waited } => self.began(head, waited),
            Notice::Appeared(said) => {
                appeared(&said).log();
                self.said(&said);
            }
            Notice::Changed(said) => self.said(&said),
            notice => {
                if let Some(event) = self.event(notice) {
                    event.log();
                }
            }
        }
    }

    fn measure(&mut self, notice: &Notice) {
        let metric = &self.control.metric;
        match notice {
            Notice::Ready(ready) => metric.ready(if *ready { 1.0 } else { 0.0 }),
            Notice::TableInUse(revision) => metric.table_revision(revision.0 as f64),
            Notice::Leader { term, leader } => {
                metric.log_term(*term as f64);
                let leads = leader.as_ref() == Some(&self.own);
                metric.leader(if leads { 1.0 } else { 0.0 });
            }
            Notice::Edit { revision, .. } => {
                metric.edits(if revision.is_some() { "accepted" } else { "refused" }, 1);
            }
            Notice::EditInForce { took, .. } => metric.edit_in_force(*took),
            Notice::RetryDecided { head, decision: verdict } => match verdict {
                Decision::RetryAfter(_) => metric.retries(&head.team, &head.class, 1),
                Decision::Denied(Denial::MayHaveRun) => {}
                Decision::Denied(_) => metric.retries_denied(&head.team, &head.class, 1),
            },
            Notice::ClaimDecided { ruling, .. } => metric.claims(ruled(ruling), 1),
            Notice::TakenOver(_) => metric.takeovers(1),
            Notice::OrderReport(report) => {
                if let Told::Ended(ending) = &report.event {
                    metric.orders(result(&ending.result), 1);
                }
            }
            Notice::RequestEnded { head, outcome } => self.measure_end(head, outcome),
            _ => {}
        }
    }

    fn measure_end(&mut self, head: &Head, outcome: &Outcome) {
        let arrived = self.ends(head.request);
        let (now, metric) = (self.now(), &self.control.metric);
        metric.requests(&head.team, &head.class, 1);
        match outcome {
            Outcome::Whole { position } => {
                metric.answers(&head.team, &head.class, 1);
                metric.tokens(&head.team, &head.class, u64::from(*position));
                if let Some(arrived) = arrived {
                    metric.answer(&head.team, &head.class, now.saturating_sub(arrived));
                }
                if now > head.deadline {
                    metric.late(&head.team, &head.class, 1);
                }
            }
            Outcome::Refused(refusal) => {
                metric.refused(&head.team, &head.class, refusal.reason, 1);
            }
            Outcome::Unknown(unknown) => {
                metric.unknown(&head.team, &head.class, *unknown, 1);
            }
            Outcome::Moved { .. } => metric.handovers(1),
            Outcome::Abandoned => {}
        }
    }

    /// Tells of an upstream that takes work now and did not before.
    fn said(&mut self, said: &Announcement) {
        if said.phase != Phase::Ready {
            self.ready.remove(&said.upstream);
        } else if self.ready.insert(said.upstream.clone()) {
            let models: Vec<&str> = said.models.iter().map(Model::as_str).collect();
            let (upstream, models) = (said.upstream.clone(), models.join(", ").into());
            Event::UpstreamReady { upstream, models }.log();
        }
    }

    /// Returns since when an instance was suspected, and forgets it.
    fn silence(&mut self, peer: &Instance) -> Duration {
        let since = self.suspected.remove(peer);
        since.map_or(Duration::ZERO, |since| self.now().saturating_sub(since))
    }

    fn event(&mut self, notice: Notice) -> Option<Event> {
        Some(match notice {
            Notice::Ready(true) => Event::Ready { revision: self.node.revision().0 },
            Notice::Ready(false) => {
                let reason = self.node.readiness_problems().join("; ").into();
                Event::NotReady { reason }
            }
            Notice::TableInUse(revision) => Event::TableInForce { revision: revision.0 },
            Notice::Unreadable(what) => {
                Event::LogDamaged { file: "replicated state".into(), offset: 0, cause: what.into() }
            }
            Notice::RetryDecided { head, decision: Decision::Denied(why) } => {
                let (request, team) = (head.request, head.team);
                Event::RetryDenied { request, team, cause: kebab(&why).into() }
            }
            Notice::TakenOver(request) => Event::TakenOver { request },
            Notice::ClaimDecided { request, team: Some(team), ruling }
                if matches!(ruling, Ruling::NoQuorum | Ruling::Unknown) =>
            {
                Event::ClaimFailed { request, team, cause: ruled(&ruling).into() }
            }
            Notice::RequestEnded { head, outcome } => return ended(&head, outcome),
            Notice::OrderReport(report) => return order(report),
            Notice::CapacityOrder(plan) => return planned(plan),
            other => return self.member(other).or_else(|other| edited(*other)).ok().flatten(),
        })
    }

    /// Tells of other instances; gives back what is of something else.
    fn member(&mut self, notice: Notice) -> Result<Option<Event>, Box<Notice>> {
        Ok(Some(match notice {
            Notice::Joined { instance, zone, incarnation } => {
                self.suspected.remove(&instance);
                Event::MemberJoined { peer: instance, zone, incarnation }
            }
            Notice::Recovered { instance, incarnation } => {
                self.suspected.remove(&instance);
                Event::MemberBack { peer: instance, incarnation }
            }
            Notice::Suspected(peer) => {
                let now = self.now();
                self.suspected.entry(peer.clone()).or_insert(now);
                Event::MemberSuspected { peer }
            }
            Notice::Lost { instance, zone } => {
                let silence = self.silence(&instance);
                let zone = zone.unwrap_or_else(|| "an unknown availability zone".into());
                Event::MemberLost { peer: instance, zone, silence }
            }
            Notice::Left(peer) => {
                self.suspected.remove(&peer);
                Event::MemberLeft { peer }
            }
            Notice::Isolated { isolated, heard, known } => {
                let (heard, known) = (heard as u64, known as u64);
                if isolated {
                    Event::Isolated { heard, known }
                } else {
                    Event::IsolationOver { heard, known }
                }
            }
            Notice::Replaced { incarnation } => {
                Event::NameTaken { peer: self.own.clone(), incarnation }
            }
            Notice::Leader { term, leader: Some(leader) } if leader == self.own => {
                Event::Leading { term }
            }
            Notice::Leader { term, leader: Some(leader) } => Event::LeaderKnown { leader, term },
            Notice::Leader { term, leader: None } => {
                Event::LeaderLost { term, cause: "no leader is heard".into() }
            }
            Notice::Leaving { upstream, notice } => {
                self.ready.remove(&upstream);
                let notice =
                    notice.map_or("no".into(), |it| format!("{} ms", it.as_millis()).into());
                Event::UpstreamLeaving { upstream, notice }
            }
            Notice::Lapsed { upstream, age } => {
                self.ready.remove(&upstream);
                Event::UpstreamLapsed { upstream, age }
            }
            Notice::ZoneDoubted { zone, lost, known } => {
                Event::UpstreamsDoubted { zone, lost: lost as u64, known: known as u64 }
            }
            Notice::ZoneTrusted { zone, known } => {
                Event::UpstreamsTrusted { zone, known: known as u64 }
            }
            other => return Err(Box::new(other)),
        }))
    }
}

/// Tells of what operators do; gives back what is of something else.
fn edited(notice: Notice) -> Result<Option<Event>, Box<Notice>> {
    Ok(Some(match notice {
        Notice::Edit { edit: made, revision, answer } => {
            let (edit, operator, base) = (made.id.as_str().into(), made.operator, made.base.0);
            match revision {
                Some(revision) => {
                    let (revision, rows) = (revision.0, made.changed_rows as u64);
                    Event::EditAccepted { edit, operator, revision, rows, base }
                }
                None => Event::EditRefused { edit, operator, base, cause: answer.into() },
            }
        }
        Notice::EditInForce { revision, took } => Event::EditInForce { revision: revision.0, took },
        Notice::EditDelayed { revision, awaited } => {
            let names: Vec<&str> = awaited.iter().map(Instance::as_str).collect();
            Event::EditSlow { revision: revision.0, waiting: names.join(", ").into() }
        }
        Notice::DrainOrdered { operator: by, instance } => {
            Event::DrainOrdered { operator: by, instance }
        }
        Notice::VotersOrdered { operator: by, change } => {
            Event::VotersOrdered { operator: by, change: swap(&change).into() }
        }
        other => return Err(Box::new(other)),
    }))
}

fn appeared(said: &Announcement) -> Event {
    Event::UpstreamAppeared {
        upstream: said.upstream.clone(),
        zone: said.zone.clone(),
        address: said.address,
        incarnation: said.incarnation,
    }
}

fn swap(change: &VoterChange) -> String {
    match change {
        VoterChange::Add(new) => format!("{new} comes"),
        VoterChange::Remove(old) => format!("{old} goes"),
        VoterChange::Replace { old, new } => format!("{new} takes the place of {old}"),
    }
}

fn ruled(ruling: &Ruling) -> &'static str {
    match ruling {
        Ruling::Granted => "granted",
        Ruling::Held { .. } => "held",
        Ruling::Settled => "settled",
        Ruling::Expired => "expired",
        Ruling::NoQuorum => "no-quorum",
        Ruling::Unknown => "unknown",
    }
}

fn result(result: &Ended) -> &'static str {
    match result {
        Ended::Applied => "applied",
        Ended::Superseded(_) => "superseded",
        Ended::Expired => "expired",
        Ended::Refused => "refused",
        Ended::Lost => "lost",
    }
}

fn ended(head: &verbenaslip_base::head::Head, outcome: Outcome) -> Option<Event> {
    let (request, team, class) = (head.request, head.team.clone(), head.class.clone());
    Some(match outcome {
        Outcome::Refused(refusal) => Event::RequestRefused {
            request,
            team,
            class,
            reason: refusal.reason,
            retry: refusal
                .retry
                .map_or("never".into(), |it| format!("{} ms", it.as_millis()).into()),
        },
        Outcome::Unknown(reason) => Event::OutcomeUnknown { request, team, class, reason },
        Outcome::Moved { owner } => Event::HandedOver { request, to: owner },
        Outcome::Whole { .. } | Outcome::Abandoned => return None,
    })
}

fn order(report: Report) -> Option<Event> {
    let upstream = report.upstream;
    Some(match report.event {
        Told::Waiting { wait } => Event::OrderHeld { upstream, wait },
        Told::Ended(ending) => match ending.result {
            Ended::Applied => Event::OrderApplied { fence: ending.fence, upstream },
            Ended::Superseded(held) => Event::OrderRefused { fence: ending.fence, upstream, held },
            Ended::Expired | Ended::Refused | Ended::Lost => {
                Event::OrderExpired { fence: ending.fence, upstream }
            }
        },
        _ => return None,
    })
}

fn planned(order: Order) -> Option<Event> {
    Some(match order {
        Order::Start { zone, class: machine, market, model, .. } => {
            Event::StartOrdered { market: format!("{market:?}").into(), machine, zone, model }
        }
        Order::Stop { name } => Event::StopOrdered { name: name.as_str().into() },
        Order::Drain { .. } | Order::Load { .. } => return None,
    })
}
