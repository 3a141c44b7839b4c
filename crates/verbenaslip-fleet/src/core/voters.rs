//! The voters of the log, which the leader keeps on cores that stay.

use std::net::SocketAddr;
use std::time::Duration;

use verbenaslip_base::name::Instance;
use verbenaslip_replica::config::Change;
use verbenaslip_replica::input as replica;
use verbenaslip_replica::voter::Voter;

use crate::core::leader::REPORT_GATHERING_TIME;
use crate::core::{Core, address_of};
use crate::hub::SILENCE_TIMEOUT;

/// How long a voter must have been silent, beyond [`SILENCE_TIMEOUT`], to be replaced. Voters report
/// to a new leader within a heartbeat, and a process that restarts at once is back before. A longer
/// delay would let the next core be lost before the vote has moved.
const ABSENCE_DELAY: Duration = Duration::from_millis(700);

/// How long a core may have been silent and still count as one that could take a vote over; longer
/// than a machine stands still.
pub(crate) const SPARE_SILENCE: Duration = Duration::from_secs(10);

impl Core {
    /// Keeps the wanted number of voters, on cores that are reachable and stay.
    ///
    /// When another machine replaces a core, the log has one reachable voter less. Unless the new
    /// core becomes a voter, the next loss stops all changes, and edits are never acknowledged.
    pub(crate) fn maintain_voters(&mut self) {
        self.record_absences();
        if self.voter_change.is_some() || self.replica.voters().is_joint() || self.stopping {
            return;
        }
        let voters: Vec<Voter> = self.replica.voters().voters.clone();
        if let Some(new) = self.find_wiped_voter(&voters) {
            return self.change_voters(Change::Replace { old: new.instance.clone(), new });
        }
        let Some(spare) = self.find_spare(&voters, SILENCE_TIMEOUT) else { return };
        if voters.len() < self.settings.target_voter_count {
            return self.change_voters(Change::Add(spare));
        }
        let old = self.find_stopping_voter(&voters).or_else(|| self.find_absent_voter(&voters));
        if let Some(old) = old {
            self.change_voters(Change::Replace { old, new: spare });
        }
    }

    /// Returns the incarnation of a stopping core if it may stop: it is no voter any more, or there
    /// is no other core for its vote.
    pub(crate) fn released_incarnation(&self, address: SocketAddr) -> Option<u64> {
        let peer = self.hub.stopping_core(address)?;
        let voter = peer.voter.as_ref()?;
        let voters = self.replica.voters();
        let is_settled = self.voter_change.is_none() && !voters.is_joint();
        let may_stop = !voters.contains(voter.identity) || self.has_no_spare();
        (is_settled && may_stop).then_some(peer.incarnation)
    }

    /// Returns whether this core may stop without reducing the number of losses that the log
    /// tolerates.
    ///
    /// Its replacement must be committed. If the leader was lost before, the others could only be
    /// elected with the vote of this core.
    pub(crate) fn may_stop(&self) -> bool {
        self.link.is_released() || !self.replica.may_campaign()
    }

    /// Hands leadership and entries over to other cores before shutdown.
    ///
    /// The vote is handed over as well: from now on the core counts as gone, and another one may be
    /// lost before its absence is noticed.
    pub(crate) fn handle_stop(&mut self) {
        self.stopping = true;
        if !self.is_leading() {
            self.redirect_entries();
            self.link.hasten_heartbeat(self.now);
        } else if self.has_no_spare() {
            self.link.release();
        }
        self.step_log(replica::Input::TransferLeadership);
    }

    /// Returns whether this leader has heard all cores and no other one could become a voter, also
    /// none that is silent for a moment.
    ///
    /// A core that stops waits for such a one: if it left with its vote, one lost disk could leave
    /// fewer voters than a majority.
    fn has_no_spare(&self) -> bool {
        let has_heard_all = self.leadership.is_some_and(|leadership| {
            self.now.saturating_sub(leadership.since) >= REPORT_GATHERING_TIME
        });
        has_heard_all
            && self.find_spare(&self.replica.voters().voters, SPARE_SILENCE).is_none()
            && !self.lacks_listed_core()
    }

    /// Returns whether the last leader knew of a core that is no voter, and that this leader has not
    /// heard yet.
    fn lacks_listed_core(&self) -> bool {
        let is_new = self
            .leadership
            .is_some_and(|leadership| self.now.saturating_sub(leadership.since) < SPARE_SILENCE);
        let own_address = self.link.local_peer().address;
        let voters = &self.replica.voters().voters;
        let is_voter = |core| voters.iter().any(|voter| address_of(&voter.instance) == Some(core));
        let is_heard = |core| self.hub.peer(core).is_some();
        let mut listed = self.link.view().cores.iter().copied();
        is_new && listed.any(|core| core != own_address && !is_voter(core) && !is_heard(core))
    }

    /// Finds a core that could become a voter and was heard within `silence`.
    fn find_spare(&self, voters: &[Voter], silence: Duration) -> Option<Voter> {
        let is_voter =
            |voter: &&Voter| voters.iter().any(|member| member.instance == voter.instance);
        let cores = self.hub.staying_cores(self.now, silence);
        cores.filter_map(|peer| peer.voter.as_ref()).find(|voter| !is_voter(voter)).cloned()
    }

    /// Finds a voter whose instance now has a different data directory, so its disk was lost.
    ///
    /// The log reports this as well, but only once, and possibly before the leader's lease has
    /// begun. If it were missed, the next lost disk would leave one of three voters.
    fn find_wiped_voter(&self, voters: &[Voter]) -> Option<Voter> {
        let cores = self.hub.staying_cores(self.now, SILENCE_TIMEOUT);
        let is_replacement = |candidate: &&Voter| {
            voters.iter().any(|voter| voter.instance == candidate.instance && voter != *candidate)
        };
        cores.filter_map(|peer| peer.voter.as_ref()).find(is_replacement).cloned()
    }

    /// Finds a voter that waits to stop.
    fn find_stopping_voter(&self, voters: &[Voter]) -> Option<Instance> {
        let is_stopping =
            |core: SocketAddr| self.hub.stopping_core(core).is_some() && self.is_reachable(core);
        let mut instances = voters.iter().map(|voter| &voter.instance);
        instances.find(|instance| address_of(instance).is_some_and(is_stopping)).cloned()
    }

    /// Finds a voter that has been silent for too long.
    fn find_absent_voter(&self, voters: &[Voter]) -> Option<Instance> {
        let is_overdue = |instance: &&Instance| {
            let since = self.absent_since.get(*instance);
            since.is_some_and(|since| self.now.saturating_sub(*since) >= ABSENCE_DELAY)
        };
        voters.iter().map(|voter| &voter.instance).find(is_overdue).cloned()
    }

    /// Records since when each silent voter has been silent.
    fn record_absences(&mut self) {
        let own_instance = self.replica.voter().instance;
        let voters = self.replica.voters().voters.iter().map(|voter| &voter.instance);
        let is_present = |instance: &Instance| {
            *instance == own_instance
                || address_of(instance).is_some_and(|core| self.is_reachable(core))
        };
        let absent: Vec<Instance> = voters.filter(|it| !is_present(it)).cloned().collect();
        self.absent_since.retain(|instance, _| absent.contains(instance));
        for instance in absent {
            self.absent_since.entry(instance).or_insert(self.now);
        }
    }

    fn is_reachable(&self, core: SocketAddr) -> bool {
        self.hub.reachable_cores(self.now).any(|peer| peer.address == core)
    }
}
