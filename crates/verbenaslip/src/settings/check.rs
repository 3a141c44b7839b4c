//! Relations between values that are each allowed on their own.

use std::collections::BTreeSet;
use std::path::Path;
use std::time::Duration;

use verbenaslip_state::lease;

use super::Settings;
use super::problem::Problem;
use super::value::Time;

/// Sizes of a voter set that survive the loss of a minority.
const VOTERS: [usize; 3] = [1, 3, 5];

/// Notes every pair of values that can't go together.
pub(super) fn relations(settings: &Settings, origin: &Path, problems: &mut Vec<Problem>) {
    let mut checker = Checker { settings, origin, problems };
    checker.timing();
    checker.addresses();
    checker.voters();
    checker.limits();
}

/// Goes through the settings and notes problems.
struct Checker<'a> {
    settings: &'a Settings,
    origin: &'a Path,
    problems: &'a mut Vec<Problem>,
}

impl Checker<'_> {
    fn timing(&mut self) {
        let timing = &self.settings.timing;
        // A single lost heartbeat would start elections for ever.
        if timing.election < timing.heartbeat * 3 {
            let allowed = format!("at least three times heartbeat ({})", Time(timing.heartbeat));
            self.time("election", timing.election, &allowed);
        }
        // Instances would refuse all work at each change of leader, because their table lease would
        // end before the new leader can renew it.
        if timing.election * 2 >= lease::MAX_DURATION {
            let allowed =
                format!("less than half of the table lease ({})", Time(lease::MAX_DURATION));
            self.time("election", timing.election, &allowed);
        }
    }

    fn addresses(&mut self) {
        let instance = &self.settings.instance;
        let addresses =
            [("callers", instance.callers), ("admin", instance.admin), ("peers", instance.peers)];
        for (index, (key, address)) in addresses.iter().enumerate() {
            let taken = addresses[..index].iter().find(|(_, other)| other == address);
            if let Some((other, _)) = taken.filter(|_| address.port() != 0) {
                let allowed = format!("it must differ from {other}");
                self.wrong("instance", key, &address.to_string(), allowed);
            }
        }
        if instance.peers.ip().is_unspecified() {
            let allowed = "it must be one IP number of this machine: other instances are told it";
            self.wrong("instance", "peers", &instance.peers.to_string(), allowed);
        }
        let cluster = &self.settings.cluster;
        let voters = cluster.voters.iter().map(|voter| ("voters", voter.address));
        let seeds = cluster.seeds.iter().map(|seed| ("seeds", *seed));
        for (key, address) in seeds.chain(voters).collect::<Vec<_>>() {
            if address.port() == 0 || address.ip().is_unspecified() {
                let allowed = "it must be an IP number and a port of one instance";
                self.wrong("cluster", key, &address.to_string(), allowed);
            }
        }
    }

    fn voters(&mut self) {
        let Settings { instance, cluster, files, .. } = self.settings;
        if cluster.voters.is_empty() {
            self.joining();
            return;
        }
        if !VOTERS.contains(&cluster.voters.len()) {
            let count = cluster.voters.len().to_string();
            self.wrong("cluster", "voters", &count, "there must be 1, 3 or 5 voters");
        }
        let mut seen = BTreeSet::new();
        for voter in &cluster.voters {
            let address = voter.address.to_string();
            if !seen.insert(voter.name.to_string()) || !seen.insert(address.clone()) {
                let value = format!("{}@{address}", voter.name);
                self.wrong("cluster", "voters", &value, "each name and address may stand once");
            }
        }
        let Some(own) = cluster.voters.iter().find(|voter| voter.name == instance.name) else {
            return;
        };
        if instance.data.is_none() {
            let allowed = "it is missing; a voter needs a folder on a disk that outlives it";
            self.missing("instance", "data", allowed);
        }
        if instance.peers.port() != 0 && own.address != instance.peers {
            let allowed = format!("for {} it must be peers ({})", own.name, instance.peers);
            self.wrong("cluster", "voters", &own.address.to_string(), allowed);
        }
        if files.initial_table.is_none() {
            let allowed = "it is missing; an initial voter begins an empty log with this table";
            self.missing("files", "initial_table", allowed);
        }
    }

    /// Checks an instance that joins a cluster that others have begun.
    fn joining(&mut self) {
        let Settings { cluster, files, .. } = self.settings;
        if cluster.seeds.is_empty() {
            let allowed = "it is missing; name instances to join through, or initial voters";
            self.missing("cluster", "seeds", allowed);
        }
        if let Some(path) = &files.initial_table {
            let allowed = "it is only used with [cluster] voters; remove it or name them";
            self.wrong("files", "initial_table", &path.display().to_string(), allowed);
        }
    }

    fn limits(&mut self) {
        let limits = &self.settings.limits;
        if limits.journal < limits.body {
            let allowed = format!("it must hold at least one body ({})", limits.body);
            self.wrong("limits", "journal", &limits.journal.to_string(), allowed);
        }
    }

    fn time(&mut self, key: &str, value: Duration, allowed: &str) {
        let value = Time(value).to_string();
        self.wrong("timing", key, &value, format!("it must be {allowed}"));
    }

    fn wrong(&mut self, section: &str, key: &str, value: &str, allowed: impl Into<String>) {
        self.problems.push(Problem::key(self.origin, section, key, Some(value), allowed));
    }

    fn missing(&mut self, section: &str, key: &str, allowed: &str) {
        self.problems.push(Problem::key(self.origin, section, key, None, allowed));
    }
}
