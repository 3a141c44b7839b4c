//! What goes wrong in a world, and what must hold all the same.

use super::*;

impl World {
    pub fn strike(&mut self, fault: Fault) {
        match fault {
            Fault::Kill(at) => self.kill(at),
            Fault::Restart(at) => self.restart(at),
            Fault::Freeze(at) => self.freeze(at),
            Fault::Thaw(at) => self.thaw(at),
            Fault::Cut(one, other) => self.cut(one, other),
            Fault::Heal(one, other) => self.heal(one, other),
            Fault::KillUpstream(at) => self.kill_upstream(at, false),
            Fault::VanishUpstream(at) => self.kill_upstream(at, true),
            Fault::Mute(at) => {
                let readers = self.nodes.iter_mut().flat_map(|node| node.readers.values_mut());
                readers.filter(|reader| reader.upstream == at).for_each(|r| r.muted = true);
            }
            Fault::CutOff(at) => self.break_readers(at, Cause::Cut),
            Fault::Notice(at, notice) => self.notice(at, notice),
            Fault::Stop(at, remaining) => {
                if self.nodes[at].alive && !self.nodes[at].frozen {
                    self.input(at, Input::Stop { remaining });
                }
            }
            Fault::Disconnect(caller) => self.disconnect(caller),
        }
    }

    /// Tells an instance and all others of each other.
    pub fn introduce(&mut self, at: usize) {
        for other in 0..self.nodes.len() {
            if other == at || !self.nodes[other].alive {
                continue;
            }
            for (to, about) in [(other, at), (at, other)] {
                let node = &self.nodes[about];
                let zone = format!("z{about}").as_str().into();
                let member = Member { instance: node.name.clone(), zone, boot: node.boot };
                self.at(self.now, Event::Input(to, Input::Joined(member)));
            }
        }
    }

    fn suspect(&mut self, at: usize) {
        for to in 0..self.nodes.len() {
            if to != at {
                let lost = Input::Lost(self.nodes[at].name.clone());
                self.at(self.now + SUSPICION, Event::Input(to, lost));
            }
        }
    }

    fn kill(&mut self, at: usize) {
        if !self.nodes[at].alive {
            return;
        }
        self.nodes[at].alive = false;
        self.suspect(at);
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
                self.at(self.now, Event::Input(owner, Input::Gone(inner)));
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
            self.at(self.now + ms(20), Event::Call(index));
        } else {
            caller.cut = true;
        }
    }

    fn disconnect(&mut self, index: usize) {
        let (at, ticket) = (self.callers[index].at, self.callers[index].ticket);
        self.lose_connection(index);
        if let Some(ticket) = ticket {
            self.unsubscribe(at, ticket);
            self.nodes[at].serving.remove(&ticket);
            self.at(self.now, Event::Input(at, Input::Gone(ticket)));
        }
    }

    fn restart(&mut self, at: usize) {
        self.kill(at);
        let boot = self.nodes[at].boot + 1;
        self.nodes[at] = node(at, boot);
        self.introduce(at);
        for other in 0..self.nodes.len() {
            // Its settings name those that are away as well.
            if other != at && !self.nodes[other].alive {
                let node = &self.nodes[other];
                let zone = format!("z{other}").as_str().into();
                let member = Member { instance: node.name.clone(), zone, boot: 0 };
                let lost = Input::Lost(member.instance.clone());
                self.at(self.now, Event::Input(at, Input::Joined(member)));
                self.at(self.now, Event::Input(at, lost));
            }
        }
    }

    fn freeze(&mut self, at: usize) {
        if self.nodes[at].alive && !self.nodes[at].frozen {
            self.nodes[at].frozen = true;
            self.suspect(at);
        }
    }

    fn thaw(&mut self, at: usize) {
        if !self.nodes[at].alive || !self.nodes[at].frozen {
            return;
        }
        self.nodes[at].frozen = false;
        for event in std::mem::take(&mut self.nodes[at].held) {
            self.at(self.now, event);
        }
        self.introduce(at);
        for node in 0..self.nodes.len() {
            self.deliver(node);
        }
    }

    fn cut(&mut self, one: usize, other: usize) {
        self.cuts.extend([(one, other), (other, one)]);
        for (to, about) in [(one, other), (other, one)] {
            let lost = Input::Lost(self.nodes[about].name.clone());
            self.at(self.now + SUSPICION, Event::Input(to, lost));
        }
        let mut lost = Vec::new();
        for (at, node) in self.nodes.iter_mut().enumerate() {
            let far = if at == one { other } else { one };
            if at != one && at != other {
                continue;
            }
            node.subscriptions.retain(|inner, outer| {
                let stays = outer.0 != far;
                if !stays {
                    node.serving.remove(inner);
                    lost.push((at, *inner, *outer));
                }
                stays
            });
        }
        for (at, inner, (relay, ticket)) in lost {
            self.at(self.now, Event::Input(at, Input::Gone(inner)));
            self.relay_lost(relay, ticket);
        }
    }

    fn heal(&mut self, one: usize, other: usize) {
        self.cuts.remove(&(one, other));
        self.cuts.remove(&(other, one));
        self.introduce(one);
        self.introduce(other);
        // The traffic side sends again what was not acknowledged.
        for at in [one, other] {
            if self.nodes[at].alive && !self.nodes[at].frozen {
                self.pump(at);
            }
        }
    }

    fn kill_upstream(&mut self, at: usize, vanished: bool) {
        self.backs[at].up = false;
        self.backs[at].vanished = vanished;
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
            self.at(self.now + HOP, Event::Broken { to, reader, failure });
        }
    }

    fn notice(&mut self, at: usize, notice: Duration) {
        self.backs[at].leaving = true;
        let upstream = self.backs[at].name.clone();
        for to in 0..self.nodes.len() {
            let (upstream, notice) = (upstream.clone(), Some(notice));
            self.at(self.now + HOP, Event::Input(to, Input::Leaving { upstream, notice }));
        }
        self.fault(self.now + notice.max(HOP * 3), Fault::KillUpstream(at));
    }

    /// Checks what must hold after every event.
    pub fn check(&mut self) {
        for caller in &self.callers {
            let runs = self.runs.get(&caller.request).copied().unwrap_or(0);
            if !caller.idempotent && runs > 1 {
                self.broken = Some(format!("non-idempotent ran {runs} times"));
            }
            let last = caller.texts.len();
            let own = format!("{last}.");
            let gap = caller.texts.last().is_some_and(|text| !text.starts_with(&own));
            if caller.model != "service" && gap {
                self.broken = Some(format!("position {last} holds another"));
            }
        }
    }

    /// Returns what does not hold when nothing happens any more.
    pub fn problem(&self) -> Option<String> {
        if self.broken.is_some() {
            return self.broken.clone();
        }
        for caller in &self.callers {
            let final_answer = caller.whole || caller.verdict.is_some() || caller.cut;
            let left = !caller.returns && caller.ticket.is_none();
            if !final_answer && !left {
                return Some("a caller never got its final answer".to_owned());
            }
            let short = caller.texts.len() != self.tokens as usize;
            if caller.whole && caller.model != "service" && short {
                return Some("the answer is not whole".to_owned());
            }
            let mut same = self.callers.iter().filter(|other| other.request == caller.request);
            let refused = same.all(|other| matches!(other.verdict, Some(Verdict::Refused(_))));
            if refused && self.runs.contains_key(&caller.request) {
                return Some("said not run, but it ran at last".to_owned());
            }
        }
        None
    }

    pub fn recomputed(&self) -> u64 {
        self.backs.iter().map(|back| back.recomputed).sum()
    }

    pub fn owner(&self, request: Request) -> Option<usize> {
        self.nodes.iter().position(|node| node.alive && node.requests.owns(request))
    }
}
