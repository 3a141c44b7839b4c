//! What the replicated log holds.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use displaydoc::Display;
use serde::de::DeserializeOwned;
use verbenaslip_base::data;
use verbenaslip_base::name::{Team, Upstream};

use crate::departure::{Departure, RETENTION};
use crate::quarantine::PersistedState;
use crate::registry::{Record, Run, Status};
use crate::rollout::{Order, Rollouts, State};
use crate::route_table::RouteTable;

/// Closed windows that are kept; at 5 s a window more than a minute, far beyond the time in which a
/// report may still be sent.
const MAX_CLOSED_WINDOWS: usize = 16;

/// Changes the ledger.
#[data(float)]
pub enum Command {
    /// Puts a whole route table in force, if its revision is the highest.
    SetRouteTable(Box<RouteTableRevision>),
    /// Closes a window of usage, if it is not closed yet.
    CloseWindow(Window),
    /// Notes with how many upstreams a service began, if that is not noted yet.
    SetInitialCount {
        /// The service.
        service: Arc<str>,
        /// How many there were.
        upstreams: u32,
    },
    /// Notes with how many upstreams a service is planned, for the time in which the next leader does not know the load.
    SetPlannedCount {
        /// The service.
        service: Arc<str>,
        /// How many there are to be.
        upstreams: u32,
    },
    /// Notes that runs of upstreams go, so that whoever leads next knows it.
    AddDepartures {
        /// The runs.
        departures: Vec<Departure>,
        /// The agreed time of day, in Unix milliseconds.
        unix: u64,
    },
    /// Notes upstreams that have come, so that whoever leads next knows them at once.
    AddUpstreams {
        /// What they announced.
        records: Vec<Record>,
    },
    /// Forgets runs that were silent for long; they may come again.
    RemoveRuns {
        /// The runs.
        runs: Vec<Run>,
    },
    /// Notes which requests are held back, so that whoever leads next knows it.
    SetQuarantine(PersistedState),
    /// Begins a roll-out, unless another one of its service is under way.
    StartRollout {
        /// What is ordered.
        order: Order,
        /// The agreed time of day, in Unix milliseconds.
        unix: u64,
    },
    /// Decides a roll-out, if it is not decided yet.
    DecideRollout {
        /// The roll-out.
        id: u64,
        /// How it ends.
        state: State,
        /// The agreed time of day, in Unix milliseconds.
        unix: u64,
    },
}

/// Pairs a route table with the document in which the operator wrote it.
#[data(float)]
pub struct RouteTableRevision {
    /// The table.
    pub table: Arc<RouteTable>,
    /// The operator's own bytes, given back unchanged to whoever reads the table.
    pub document: Arc<[u8]>,
}

/// Counts the requests of each team that began to run in one window.
#[data]
pub struct Window {
    /// Its number.
    pub number: u64,
    /// The counts.
    pub counts: BTreeMap<Team, u64>,
}

/// Holds the replicated state.
#[data(float, default)]
pub struct ReplicatedState {
    current_table: Option<Arc<RouteTableRevision>>,
    windows: BTreeMap<u64, Window>,
    initial_counts: BTreeMap<Arc<str>, u32>,
    planned_counts: BTreeMap<Arc<str>, u32>,
    /// Kept apart in a snapshot, since those of earlier versions end before it.
    #[serde(skip)]
    departures: BTreeMap<Upstream, LoggedDeparture>,
    /// Upstreams that have come and not gone; kept apart as well.
    #[serde(skip)]
    upstreams: BTreeMap<Upstream, Record>,
    /// The requests that are held back; kept apart as well.
    #[serde(skip)]
    quarantine: PersistedState,
    /// The last roll-out of each service; kept apart as well.
    #[serde(skip)]
    rollouts: Rollouts,
}

/// Holds the last departure of an upstream.
#[data(copy)]
struct LoggedDeparture {
    incarnation: u64,
    status: Status,
    /// When it was noted, in Unix milliseconds of the agreed time of day.
    unix: u64,
}

/// Says why a snapshot or command can't be read.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Error {
    /// the bytes of the ledger can't be read by this version
    Unreadable,
}

impl std::error::Error for Error {}

impl ReplicatedState {
    /// Returns the newest route table.
    pub fn current_table(&self) -> Option<&Arc<RouteTableRevision>> {
        self.current_table.as_ref()
    }

    /// Returns the revision of the newest route table; zero without one.
    pub fn revision(&self) -> u64 {
        self.current_table.as_ref().map_or(0, |revision| revision.table.revision)
    }

    /// Returns the closed windows.
    pub fn windows(&self) -> impl Iterator<Item = &Window> {
        self.windows.values()
    }

    /// Tells whether a window is closed.
    pub fn is_closed(&self, window: u64) -> bool {
        self.windows.contains_key(&window)
    }

    /// Returns with how many upstreams a service began, once that is noted.
    pub fn initial_count(&self, service: &str) -> Option<u32> {
        self.initial_counts.get(service).copied()
    }

    /// Returns with how many upstreams a service was planned last, once that was by its load.
    pub fn planned_count(&self, service: &str) -> Option<u32> {
        self.planned_counts.get(service).copied()
    }

    /// Goes through the departures that are remembered.
    pub fn departures(&self) -> impl Iterator<Item = Departure> {
        self.departures.iter().map(|(upstream, departed)| {
            let run = Run { upstream: upstream.clone(), incarnation: departed.incarnation };
            Departure { run, status: departed.status }
        })
    }

    /// Goes through the upstreams that have come and not gone.
    pub fn upstreams(&self) -> impl Iterator<Item = &Record> {
        self.upstreams.values()
    }

    /// Tells whether the log holds that a run has come.
    pub fn contains_run(&self, run: &Run) -> bool {
        self.upstreams.get(&run.upstream).is_some_and(|it| it.announcement.run == *run)
    }

    /// Tells whether the log holds that a run goes, and as surely.
    pub fn has_departed(&self, run: &Run, status: Status) -> bool {
        self.departures.get(&run.upstream).is_some_and(|it| {
            it.incarnation > run.incarnation
                || (it.incarnation == run.incarnation && it.status >= status)
        })
    }

    /// Returns the requests that are held back.
    pub fn quarantine(&self) -> &PersistedState {
        &self.quarantine
    }

    /// Returns the last roll-out of each service.
    pub fn rollouts(&self) -> &Rollouts {
        &self.rollouts
    }

    /// Applies a command; every core applies the same ones in the same order.
    ///
    /// A revision that is not the highest changes nothing, so a change that is sent again, or
    /// overtaken by a newer one, is accepted without ever bringing an older table back.
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
                // A window that two leaders close in turn would be reported with two counts; the
                // first closing stays.
                self.windows.entry(window.number).or_insert(window);
                while self.windows.len() > MAX_CLOSED_WINDOWS {
                    self.windows.pop_first();
                }
            }
            Command::AddDepartures { departures, unix } => self.add_departures(departures, unix),
            Command::AddUpstreams { records } => self.add_upstreams(records),
            Command::RemoveRuns { runs } => {
                self.upstreams.retain(|_, it| !runs.contains(&it.announcement.run));
            }
            Command::SetQuarantine(persisted) => {
                // Prints are worth nothing under another key than the one by which they were made.
                let key = self.quarantine.key.or(persisted.key);
                self.quarantine = PersistedState { key, ..persisted };
            }
            Command::StartRollout { order, unix } => self.rollouts.start(order, unix),
            Command::DecideRollout { id, state, unix } => self.rollouts.decide(id, state, unix),
        }
    }

    /// Notes upstreams that have come.
    ///
    /// Whoever had the address of one of them has ended, without a word if it crashed. Remembered beside
    /// it, a new leader would have requests sent to a run that no longer exists.
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

    /// Notes departures, and forgets those that are older than any announcement on its way.
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

    /// Writes the whole state.
    pub fn snapshot(&self) -> Vec<u8> {
        // Encoding to memory fails for no value of these types.
        let parts = (self, &self.departures, &self.upstreams, &self.quarantine, &self.rollouts);
        postcard::to_stdvec(&parts).unwrap_or_default()
    }

    /// Reads what [`snapshot`](Self::snapshot) wrote.
    ///
    /// # Errors
    ///
    /// Returns an error for bytes that are no ledger.
    pub fn restore(bytes: &[u8]) -> Result<Self, Error> {
        let (mut state, rest) =
            postcard::take_from_bytes::<Self>(bytes).map_err(|_| Error::Unreadable)?;
        // Snapshots of earlier versions end before some of these.
        let ((departures, upstreams), rest) = decode_part(rest)?;
        let (quarantine, rest) = decode_part(rest)?;
        let (rollouts, _) = decode_part(rest)?;
        (state.departures, state.upstreams) = (departures, upstreams);
        (state.quarantine, state.rollouts) = (quarantine, rollouts);
        Ok(state)
    }
}

impl Command {
    /// Writes the command for the log.
    pub fn encode(&self) -> Arc<[u8]> {
        // Encoding to memory fails for no value of these types.
        postcard::to_stdvec(self).unwrap_or_default().into()
    }

    /// Reads a command from the log.
    ///
    /// # Errors
    ///
    /// Returns an error for bytes that are no command.
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        postcard::from_bytes(bytes).map_err(|_| Error::Unreadable)
    }
}

/// Holds a part of a snapshot and the bytes after it.
type DecodedPart<'a, T> = Result<(T, &'a [u8]), Error>;

/// Reads the next part of a snapshot; where it ends before that, the part is empty.
fn decode_part<T: DeserializeOwned + Default>(bytes: &[u8]) -> DecodedPart<'_, T> {
    if bytes.is_empty() {
        return Ok((T::default(), bytes));
    }
    postcard::take_from_bytes(bytes).map_err(|_| Error::Unreadable)
}
