//! The state that the replicated log drives.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use displaydoc::Display;
use serde::de::DeserializeOwned;
use verbenaslip_base::data;
use verbenaslip_base::name::{Team, Upstream};

use crate::departure::{Departure, RETENTION};
use crate::frame::Trailing;
use crate::quarantine::PersistedState;
use crate::registry::{Record, Run, Status};
use crate::rollout::{Order, Rollouts, State};
use crate::route_table::RouteTable;
use crate::version_history::{ServiceVersion, VersionHistory};

/// Number of closed windows that are kept: with windows of 5 s more than a minute, far longer than
/// a report may still be sent.
const MAX_CLOSED_WINDOWS: usize = 16;

/// Changes the replicated state.
#[data(float)]
pub enum Command {
    /// Puts a route table in force if its revision is the highest.
    SetRouteTable(Box<RouteTableRevision>),
    /// Closes a usage window unless it is closed already.
    CloseWindow(Window),
    /// Records how many upstreams a service had at first, unless that is recorded already.
    SetInitialCount {
        /// The service.
        service: Arc<str>,
        /// The number of upstreams.
        upstreams: u32,
    },
    /// Records the planned number of upstreams of a service, which the next leader uses until it
    /// knows the load.
    SetPlannedCount {
        /// The service.
        service: Arc<str>,
        /// The planned number of upstreams.
        upstreams: u32,
    },
    /// Records departures of upstream runs, so that the next leader knows them.
    AddDepartures {
        /// The departures.
        departures: Vec<Departure>,
        /// The agreed time of day, in Unix milliseconds.
        unix: u64,
    },
    /// Records upstreams that have registered, so that the next leader knows them at once.
    AddUpstreams {
        /// The records of the upstreams.
        records: Vec<Record>,
        /// What is known of versions.
        versions: Trailing<VersionNews>,
    },
    /// Removes runs that were silent for long; they may register again.
    RemoveRuns {
        /// The runs.
        runs: Vec<Run>,
    },
    /// Records which requests are quarantined, so that the next leader knows them.
    SetQuarantine(PersistedState),
    /// Starts a rollout unless another one of its service is in progress.
    StartRollout {
        /// The operator's order.
        order: Order,
        /// The agreed time of day, in Unix milliseconds.
        unix: u64,
    },
    /// Records the verdict on a rollout unless it has one already.
    DecideRollout {
        /// The ID of the rollout.
        id: u64,
        /// The final state.
        state: State,
        /// The agreed time of day, in Unix milliseconds.
        unix: u64,
    },
}

/// Contains what a leader knows of the versions of services, beside the upstreams in the log.
///
/// Leaders of earlier builds send none.
#[data(default)]
pub struct VersionNews {
    /// The time of day in Unix milliseconds; the agreed one where versions have left. Zero if there
    /// are no news.
    pub unix: u64,
    /// Versions that have announced themselves, each with its service.
    pub announced: Vec<ServiceVersion>,
    /// Whether versions without upstreams have left.
    pub is_complete: bool,
}

/// Pairs a route table with the operator's document that it was read from.
#[data(float)]
pub struct RouteTableRevision {
    /// The route table.
    pub table: Arc<RouteTable>,
    /// The operator's document, which is returned unchanged to whoever reads the table.
    pub document: Arc<[u8]>,
}

/// Holds the number of requests of each team that started to run in one window.
#[data]
pub struct Window {
    /// The number of the window.
    pub number: u64,
    /// The number of requests by team.
    pub counts: BTreeMap<Team, u64>,
}

/// Holds the replicated state.
#[data(float, default)]
pub struct ReplicatedState {
    current_table: Option<Arc<RouteTableRevision>>,
    windows: BTreeMap<u64, Window>,
    initial_counts: BTreeMap<Arc<str>, u32>,
    planned_counts: BTreeMap<Arc<str>, u32>,
    /// Stored separately in a snapshot, since snapshots of earlier versions end before it.
    #[serde(skip)]
    departures: BTreeMap<Upstream, LoggedDeparture>,
    /// The upstreams that have registered and not departed; stored separately as well.
    #[serde(skip)]
    upstreams: BTreeMap<Upstream, Record>,
    /// The quarantined requests; stored separately as well.
    #[serde(skip)]
    quarantine: PersistedState,
    /// The last rollout of each service; stored separately as well.
    #[serde(skip)]
    rollouts: Rollouts,
    /// When each version of each service came and left; stored separately as well.
    #[serde(skip)]
    version_history: Arc<VersionHistory>,
}

/// Holds the last departure of an upstream.
#[data(copy)]
struct LoggedDeparture {
    incarnation: u64,
    status: Status,
    /// When the departure was recorded, in Unix milliseconds of the agreed time of day.
    unix: u64,
}

/// Says why a snapshot or command can't be decoded.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Error {
    /// this version can't decode the bytes of the replicated state
    Unreadable,
}

impl std::error::Error for Error {}

impl ReplicatedState {
    /// Returns the current route table with the operator's document; none before the first one.
    pub fn current_table(&self) -> Option<&Arc<RouteTableRevision>> {
        self.current_table.as_ref()
    }

    /// Returns the revision number of the current route table; zero if there is none.
    pub fn revision(&self) -> u64 {
        self.current_table.as_ref().map_or(0, |revision| revision.table.revision)
    }

    /// Returns the closed windows.
    pub fn windows(&self) -> impl Iterator<Item = &Window> {
        self.windows.values()
    }

    /// Returns whether a window is closed.
    pub fn is_closed(&self, window: u64) -> bool {
        self.windows.contains_key(&window)
    }

    /// Returns how many upstreams a service had at first; none if that is not recorded yet.
    pub fn initial_count(&self, service: &str) -> Option<u32> {
        self.initial_counts.get(service).copied()
    }

    /// Returns the last planned number of upstreams of a service; none if it was never planned by
    /// its load.
    pub fn planned_count(&self, service: &str) -> Option<u32> {
        self.planned_counts.get(service).copied()
    }

    /// Iterates over the recorded departures.
    pub fn departures(&self) -> impl Iterator<Item = Departure> {
        self.departures.iter().map(|(upstream, departed)| {
            let run = Run { upstream: upstream.clone(), incarnation: departed.incarnation };
            Departure { run, status: departed.status }
        })
    }

    /// Iterates over the upstreams that have registered and not departed.
    pub fn upstreams(&self) -> impl Iterator<Item = &Record> {
        self.upstreams.values()
    }

    /// Returns whether the log holds that a run has registered.
    pub fn contains_run(&self, run: &Run) -> bool {
        self.upstreams.get(&run.upstream).is_some_and(|it| it.announcement.run == *run)
    }

    /// Returns whether the log holds a departure of the run, or of a later one, that is at least as
    /// final as `status`.
    pub fn has_departed(&self, run: &Run, status: Status) -> bool {
        self.departures.get(&run.upstream).is_some_and(|it| {
            it.incarnation > run.incarnation
                || (it.incarnation == run.incarnation && it.status >= status)
        })
    }

    /// Returns the quarantined requests and the key of the fingerprints.
    pub fn quarantine(&self) -> &PersistedState {
        &self.quarantine
    }

    /// Returns the last rollout of each service.
    pub fn rollouts(&self) -> &Rollouts {
        &self.rollouts
    }

    /// Returns when each version of each service came and left.
    pub fn version_history(&self) -> &Arc<VersionHistory> {
        &self.version_history
    }

    /// Applies a command; every core applies the same commands in the same order.
    ///
    /// A route table whose revision is not the highest changes nothing. A command that is repeated,
    /// or arrives after a newer one, is therefore accepted without restoring an older table.
    pub fn apply(&mut self, command: Command) {
        match command {
            Command::SetRouteTable(revision) => {
                let is_first = self.current_table.is_none();
                if is_first || revision.table.revision > self.revision() {
                    self.current_table = Some(Arc::from(revision));
                }
            }
            Command::SetInitialCount { service, upstreams } => {
                self.initial_counts.entry(service).or_insert(upstreams);
            }
            Command::SetPlannedCount { service, upstreams } => {
                self.planned_counts.insert(service, upstreams);
            }
            Command::CloseWindow(window) => {
                // Two leaders may close the same window one after the other. Only the first count
                // is kept, so that the window is never reported with two different counts.
                self.windows.entry(window.number).or_insert(window);
                while self.windows.len() > MAX_CLOSED_WINDOWS {
                    self.windows.pop_first();
                }
            }
            Command::AddDepartures { departures, unix } => self.add_departures(departures, unix),
            Command::AddUpstreams { records, versions } => {
                let is_first = self.upstreams.is_empty() && self.departures.is_empty();
                let announcements = records.iter().map(|record| &record.announcement);
                let joined: Vec<ServiceVersion> =
                    announcements.map(|it| (it.service.clone(), it.version.clone())).collect();
                self.add_upstreams(records);
                self.update_version_history(&versions.0, &joined, is_first);
            }
            Command::RemoveRuns { runs } => {
                self.upstreams.retain(|_, it| !runs.contains(&it.announcement.run));
            }
            Command::SetQuarantine(persisted) => {
                // Fingerprints are only valid with the key that they were made with, so the first
                // key stays.
                let key = self.quarantine.key.or(persisted.key);
                self.quarantine = PersistedState { key, ..persisted };
            }
            Command::StartRollout { order, unix } => self.rollouts.start(order, unix),
            Command::DecideRollout { id, state, unix } => self.rollouts.decide(id, state, unix),
        }
    }

    /// Adds upstreams that have registered.
    ///
    /// An upstream that had the address of one of them has ended, perhaps by a crash and without
    /// announcing it. It is removed, because a new leader would otherwise have requests sent to a
    /// run that no longer exists.
    fn add_upstreams(&mut self, records: Vec<Record>) {
        let addresses: BTreeSet<SocketAddr> =
            records.iter().map(|it| it.announcement.address).collect();
        self.upstreams.retain(|_, it| !addresses.contains(&it.announcement.address));
        for record in records {
            let run = &record.announcement.run;
            if !self.has_departed(run, Status::Leaving) {
                self.upstreams.insert(run.upstream.clone(), record);
            }
        }
    }

    /// Records departures, and removes those older than any announcement that may still arrive.
    fn add_departures(&mut self, departures: Vec<Departure>, unix: u64) {
        for Departure { run, status } in departures {
            if !self.has_departed(&run, status) {
                let departed = LoggedDeparture { incarnation: run.incarnation, status, unix };
                let is_covered = |it: &Record| it.announcement.run.incarnation <= run.incarnation;
                if self.upstreams.get(&run.upstream).is_some_and(is_covered) {
                    self.upstreams.remove(&run.upstream);
                }
                self.departures.insert(run.upstream, departed);
            }
        }
        let retention = u64::try_from(RETENTION.as_millis()).unwrap_or(u64::MAX);
        self.departures.retain(|_, it| unix.saturating_sub(it.unix) <= retention);
    }

    /// Returns whether the history has versions without upstreams, or lacks some with upstreams.
    pub fn is_version_history_behind(&self) -> bool {
        let present = self.logged_versions();
        let history = &self.version_history;
        present.iter().any(|(service, version)| !history.contains(service, version))
            || history
                .present()
                .any(|(service, version)| !present.contains(&(service.clone(), version.clone())))
    }

    /// Returns the versions of the upstreams in the log.
    fn logged_versions(&self) -> BTreeSet<ServiceVersion> {
        let announcements = self.upstreams.values().map(|record| &record.announcement);
        announcements.map(|it| (it.service.clone(), it.version.clone())).collect()
    }

    /// Records the versions that have joined, and those that have left if the news are complete;
    /// `is_first` tells whether no upstream has joined before.
    fn update_version_history(
        &mut self,
        news: &VersionNews,
        joined: &[ServiceVersion],
        is_first: bool,
    ) {
        if news.unix == 0 {
            return;
        }
        let is_begin = self.version_history.begin_ms().is_none();
        let reads_all = news.is_complete || (is_begin && !is_first);
        let logged = if reads_all { self.logged_versions() } else { BTreeSet::new() };
        let history = Arc::make_mut(&mut self.version_history);
        if !is_first {
            history.begin_within(news.unix);
        }
        let present = logged.iter().chain(joined).chain(&news.announced);
        let present = present.map(|(service, version)| (service, version));
        history.add(news.unix, present.clone());
        if news.is_complete {
            history.retain(news.unix, present);
        }
    }

    /// Encodes the whole state.
    pub fn snapshot(&self) -> Vec<u8> {
        // Encoding to memory can't fail for these types.
        let parts = (self, &self.departures, &self.upstreams, &self.quarantine, &self.rollouts);
        postcard::to_stdvec(&(parts, &self.version_history)).unwrap_or_default()
    }

    /// Decodes what [`snapshot`](Self::snapshot) has encoded.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not a valid snapshot.
    pub fn restore(bytes: &[u8]) -> Result<Self, Error> {
        let (mut state, rest) =
            postcard::take_from_bytes::<Self>(bytes).map_err(|_| Error::Unreadable)?;
        // Snapshots of earlier versions lack some of these parts.
        let ((departures, upstreams), rest) = decode_part(rest)?;
        let (quarantine, rest) = decode_part(rest)?;
        let (rollouts, rest) = decode_part(rest)?;
        let (version_history, _) = decode_part(rest)?;
        (state.departures, state.upstreams) = (departures, upstreams);
        (state.quarantine, state.rollouts) = (quarantine, rollouts);
        state.version_history = version_history;
        Ok(state)
    }
}

impl Command {
    /// Encodes the command for the log.
    pub fn encode(&self) -> Arc<[u8]> {
        // Encoding to memory can't fail for these types.
        postcard::to_stdvec(self).unwrap_or_default().into()
    }

    /// Decodes a command from the log.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not a valid command.
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        postcard::from_bytes(bytes).map_err(|_| Error::Unreadable)
    }
}

/// Holds a decoded part of a snapshot and the bytes after it.
type DecodedPart<'a, T> = Result<(T, &'a [u8]), Error>;

/// Decodes the next part of a snapshot; a part that is missing at the end is empty.
fn decode_part<T: DeserializeOwned + Default>(bytes: &[u8]) -> DecodedPart<'_, T> {
    if bytes.is_empty() {
        return Ok((T::default(), bytes));
    }
    postcard::take_from_bytes(bytes).map_err(|_| Error::Unreadable)
}
