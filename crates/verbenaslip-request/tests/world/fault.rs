//! Faults of the simulation, and the invariants that must hold nevertheless.

use super::*;

impl World {
    pub fn apply_fault(&mut self, fault: Fault) {
        match fault {
            Fault::Kill(at) => self.kill(at),
            Fault::Restart(at) => self.restart(at),
            Fault::Pause(at) => self.pause(at),
            Fault::Resume(at) => self.resume(at),
            Fault::Partition(one, other) => self.partition(one, other),
            Fault::Heal(one, other) => self.heal(one, other),
            Fault::KillUpstream(at) => self.kill_upstream(at, false),
            Fault::VanishUpstream(at) => self.kill_upstream(at, true),
            Fault::SilenceConnections(at) => {
                let readers = self.nodes.iter_mut().flat_map(|node| node.readers.values_mut());
                readers.filter(|reader| reader.upstream == at).for_each(|r| r.silenced = true);
            }
            Fault::TruncateStreams(at) => self.break_readers(at, Cause::Cut),
            Fault::Notice(at, notice) => self.notice(at, notice),
            Fault::Stop(at, remaining) => {
                if self.nodes[at].alive && !self.nodes[at].paused {
                    self.input(at, Input::Stop { remaining });
                }
            }
            Fault::Disconnect(caller) => self.disconnect(caller),
        }
    }

    /// Announces an instance and all others to each other.
    pub fn exchange_members(&mut self, at: usize) {
        for other in 0..self.nodes.len() {
            if other == at || !self.nodes[other].alive {
                continue;
            }
            for (to, about) in [(other, at), (at, other)] {
                let node = &self.nodes[about];
                let zone = format!("z{about}").as_str().into();
                let member = Member { instance: node.name.clone(), zone, boot: node.boot };
                self.schedule(self.now, Event::Input(to, Input::Joined(member)));
            }
        }
    }

    fn report_loss(&mut self, at: usize) {
        for to in 0..self.nodes.len() {
            if to != at {
                let lost = Input::Lost(self.nodes[at].name.clone());
                self.schedule(self.now + DETECTION_DELAY, Event::Input(to, lost));
            }
        }
    }

    fn kill(&mut self, at: usize) {
        if !self.nodes[at].alive {
            return;
        }
        self.nodes[at].alive = false;
        self.report_loss(at);
        let mut relays = Vec::new();
        for inner in std::mem::take(&mut self.nodes[at].subscriptions).into_values() {
            relays.push(inner);
        }
        for (relay, ticket) in relays {
            self.relay_lost(relay, ticket);
        }
        for owner in 0..self.nodes.len() {
            let gone: Vec<_> = self.nodes[owner]
                .subscriptions
                .iter()
                .filter(|(_, (relay, _))| *relay == at)
                .map(|(inner, _)| *inner)
                .collect();
            for inner in gone {
                self.nodes[owner].subscriptions.remove(&inner);
                self.nodes[owner].serving.remove(&inner);
                self.schedule(self.now, Event::Input(owner, Input::Gone(inner)));
            }
        }
        for index in 0..self.callers.len() {
            if self.callers[index].at == at {
                self.lose_connection(index);
            }
        }
    }

    fn lose_connection(&mut self, index: usize) {
        let caller = &mut self.callers[index];
        if caller.ticket.take().is_none() || caller.whole || caller.verdict.is_some() {
            return;
        }
        if caller.returns {
            caller.at = (caller.at + 1) % self.nodes.len();
            self.schedule(self.now + ms(20), Event::Call(index));
        } else {
            caller.disconnected = true;
        }
    }

    fn disconnect(&mut self, index: usize) {
        let (at, ticket) = (self.callers[index].at, self.callers[index].ticket);
        self.lose_connection(index);
        if let Some(ticket) = ticket {
            self.unsubscribe(at, ticket);
            self.nodes[at].serving.remove(&ticket);
            self.schedule(self.now, Event::Input(at, Input::Gone(ticket)));
        }
    }

    fn restart(&mut self, at: usize) {
        self.kill(at);
        let boot = self.nodes[at].boot + 1;
        self.nodes[at] = new_node(at, boot);
        self.exchange_members(at);
        for other in 0..self.nodes.len() {
            // The settings of the restarted instance also name instances that are absent.
            if other != at && !self.nodes[other].alive {
                let node = &self.nodes[other];
                let zone = format!("z{other}").as_str().into();
                let member = Member { instance: node.name.clone(), zone, boot: 0 };
                let lost = Input::Lost(member.instance.clone());
                self.schedule(self.now, Event::Input(at, Input::Joined(member)));
                self.schedule(self.now, Event::Input(at, lost));
            }
        }
    }

    fn pause(&mut self, at: usize) {
        if self.nodes[at].alive && !self.nodes[at].paused {
            self.nodes[at].paused = true;
            self.report_loss(at);
        }
    }

    fn resume(&mut self, at: usize) {
        if !self.nodes[at].alive || !self.nodes[at].paused {
            return;
        }
        self.nodes[at].paused = false;
        for event in std::mem::take(&mut self.nodes[at].deferred_events) {
            self.schedule(self.now, event);
        }
        self.exchange_members(at);
        for node in 0..self.nodes.len() {
            self.serve_callers(node);
        }
    }

    fn partition(&mut self, one: usize, other: usize) {
        self.partitions.extend([(one, other), (other, one)]);
        for (to, about) in [(one, other), (other, one)] {
            let lost = Input::Lost(self.nodes[about].name.clone());
            self.schedule(self.now + DETECTION_DELAY, Event::Input(to, lost));
        }
        let mut lost = Vec::new();
        for (at, node) in self.nodes.iter_mut().enumerate() {
            let remote = if at == one { other } else { one };
            if at != one && at != other {
                continue;
            }
            node.subscriptions.retain(|inner, outer| {
                let keep = outer.0 != remote;
                if !keep {
                    node.serving.remove(inner);
                    lost.push((at, *inner, *outer));
                }
                keep
            });
        }
        for (at, inner, (relay, ticket)) in lost {
            self.schedule(self.now, Event::Input(at, Input::Gone(inner)));
            self.relay_lost(relay, ticket);
        }
    }

    fn heal(&mut self, one: usize, other: usize) {
        self.partitions.remove(&(one, other));
        self.partitions.remove(&(other, one));
        self.exchange_members(one);
        self.exchange_members(other);
        // The traffic side resends what was not acknowledged.
        for at in [one, other] {
            if self.nodes[at].alive && !self.nodes[at].paused {
                self.propagate(at);
            }
        }
    }

    fn kill_upstream(&mut self, at: usize, vanished: bool) {
        self.upstreams[at].up = false;
        self.upstreams[at].vanished = vanished;
        if !vanished {
            self.break_readers(at, Cause::Closed);
        }
    }

    fn break_readers(&mut self, at: usize, cause: Cause) {
        let mut broken = Vec::new();
        for (to, node) in self.nodes.iter().enumerate().filter(|(_, node)| node.alive) {
            let ids = node.readers.iter().filter(|(_, reader)| reader.upstream == at);
            broken.extend(ids.map(|(id, _)| (to, *id)));
        }
        for (to, reader) in broken {
            let failure = Failure { step: Step::Read, cause, not_run: false };
            self.schedule(self.now + NETWORK_DELAY, Event::Broken { to, reader, failure });
        }
    }

    fn notice(&mut self, at: usize, notice: Duration) {
        self.upstreams[at].leaving = true;
        let upstream = self.upstreams[at].name.clone();
        for to in 0..self.nodes.len() {
            let (upstream, notice) = (upstream.clone(), Some(notice));
            self.schedule(
                self.now + NETWORK_DELAY,
                Event::Input(to, Input::Leaving { upstream, notice }),
            );
        }
        self.schedule_fault(self.now + notice.max(NETWORK_DELAY * 3), Fault::KillUpstream(at));
    }

    /// Checks the invariants that must hold after every event.
    pub fn check(&mut self) {
        for caller in &self.callers {
            let runs = self.runs.get(&caller.request).copied().unwrap_or(0);
            if !caller.idempotent && runs > 1 {
                self.violation = Some(format!("non-idempotent ran {runs} times"));
            }
            let last = caller.texts.len();
            let own = format!("{last}.");
            let gap = caller.texts.last().is_some_and(|text| !text.starts_with(&own));
            if caller.model != "service" && gap {
                self.violation = Some(format!("position {last} holds another token"));
            }
        }
    }

    /// Returns a violation that exists when no events are left.
    pub fn problem(&self) -> Option<String> {
        if self.violation.is_some() {
            return self.violation.clone();
        }
        for caller in &self.callers {
            let final_answer = caller.whole || caller.verdict.is_some() || caller.disconnected;
            let left = !caller.returns && caller.ticket.is_none();
            if !final_answer && !left {
                return Some("a caller never got its final answer".to_owned());
            }
            let short = caller.texts.len() != self.tokens as usize;
            if caller.whole && caller.model != "service" && short {
                return Some("the answer is not complete".to_owned());
            }
            let mut same = self.callers.iter().filter(|other| other.request == caller.request);
            let refused = same.all(|other| matches!(other.verdict, Some(Verdict::Refused(_))));
            if refused && self.runs.contains_key(&caller.request) {
                return Some("reported as not run, but it ran later".to_owned());
            }
        }
        None
    }

    pub fn recomputed(&self) -> u64 {
        self.upstreams.iter().map(|fake| fake.recomputed).sum()
    }

    pub fn owner(&self, request: Request) -> Option<usize> {
        self.nodes.iter().position(|node| node.alive && node.requests.owns(request))
    }
}
