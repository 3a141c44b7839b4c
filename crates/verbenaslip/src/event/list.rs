//! The catalogue of events: the one place that defines their numbers, levels, texts and fields.
//!
//! A number is never used again for another event. `docs/EVENTS.md` repeats the catalogue and adds
//! what an operator does; a test compares the two.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use log::Level;

use verbenaslip_base::attempt::Request;
use verbenaslip_base::fence::Fence;
use verbenaslip_base::name::{
    AvailabilityZone, Class, Instance, Model, Operator, Region, Team, Upstream,
};
use verbenaslip_base::refusal::{Reason, Unknown};

use super::field::Field;

/// Defines the events and what every event knows of itself.
macro_rules! events {
    ($(
        $(#[$doc:meta])*
        $number:literal $level:ident $name:ident $text:literal { $($field:ident: $kind:ty),* }
    )*) => {
        /// Tells of one thing that an operator may want to know.
        #[derive(Clone, Debug, PartialEq)]
        pub enum Event {
            $(
                $(#[$doc])*
                $name {
                    $(
                        #[doc = concat!("Stands for `{", stringify!($field), "}` in the text.")]
                        $field: $kind,
                    )*
                },
            )*
        }

        /// Lists number, level, name and text of each event, in the order of the numbers.
        pub const CATALOGUE: &[Entry] = &[
            $(Entry {
                number: $number,
                level: Level::$level,
                name: stringify!($name),
                text: $text,
            },)*
        ];

        impl Event {
            /// Returns what the catalogue says of the event.
            pub fn entry(&self) -> &'static Entry {
                match self {
                    $(Self::$name { .. } => {
                        const ENTRY: &Entry = &Entry {
                            number: $number,
                            level: Level::$level,
                            name: stringify!($name),
                            text: $text,
                        };
                        ENTRY
                    })*
                }
            }

            /// Returns the fields with their values as text, in the order of the definition.
            pub(crate) fn fields(&self) -> Vec<(&'static str, String)> {
                match self {
                    $(Self::$name { $($field),* } => {
                        vec![$((stringify!($field), $field.shown())),*]
                    })*
                }
            }
        }
    };
}

/// Describes one kind of event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The number, shown with a V before it.
    pub number: u16,
    /// How important it is.
    pub level: Level,
    /// The name in code.
    pub name: &'static str,
    /// The text with fields in braces.
    pub text: &'static str,
}

events! {
    // Start and stop.
    /// The daemon has read its settings and begins to work.
    1001 Info Starting "instance {instance} of {zone} in {region} starts, version {version}" { instance: Instance, zone: AvailabilityZone, region: Region, version: Arc<str> }
    /// One of the three addresses takes connections.
    1002 Info Listening "{listener} listens on {address}" { listener: Arc<str>, address: SocketAddr }
    /// The instance accepts work; `/readyz` says 200.
    1003 Info Ready "ready with table revision {revision}" { revision: u64 }
    /// The instance accepts no new work and refuses it as not run; requests in progress go on.
    1004 Warn NotReady "not ready: {reason}" { reason: Arc<str> }
    /// The settings file has a problem, so the daemon did not start.
    1005 Error SettingsRefused "settings refused: {problem}" { problem: Arc<str> }
    /// The address is taken or does not belong to this machine, so the daemon did not start.
    1006 Error ListenFailed "{listener} can't listen on {address}: {cause}" { listener: Arc<str>, address: SocketAddr, cause: Arc<str> }
    /// A single connection failed before it was served; the listener goes on.
    1007 Warn AcceptFailed "{listener} could not accept a connection: {cause}" { listener: Arc<str>, cause: Arc<str> }
    /// Further connections are closed at once with a refusal.
    1008 Warn ConnectionsFull "{listener} is at its limit of {limit} connections" { listener: Arc<str>, limit: u64 }
    /// A planned stop has begun: no new work, requests in progress are finished or handed over.
    1009 Info Draining "draining because of {cause}: {requests} requests in progress, {limit} left" { cause: Arc<str>, requests: u64, limit: Duration }
    /// The planned stop reached a further step.
    1010 Info DrainStep "drain step {step}: {left} requests left" { step: Arc<str>, left: u64 }
    /// The planned stop ran out of time; callers of the rest must come back with their keys through another instance.
    1011 Error DrainTimedOut "drain time is over with {left} requests left" { left: u64 }
    /// The daemon ended gracefully with exit code 0.
    1012 Info Stopped "stopped after {ran}" { ran: Duration }
    /// Somebody sent a second signal during the drain, so requests were cut off.
    1013 Error StoppedAtOnce "stopped at once by a second signal" {}
    /// A file of bearer keys was read, at the start or after a change.
    1014 Info KeysLoaded "{file} gives {keys} keys" { file: Arc<str>, keys: u64 }
    /// A changed file of keys can't be used; the instance goes on with the keys it has.
    1015 Error KeysRefused "keys not taken, those read before stay: {problem}" { problem: Arc<str> }
    /// So many events of one number came that only some were written; metrics count all.
    1016 Warn LeftOut "{count} more of V{number} were left out in the last {window}" { number: u64, count: u64, window: Duration }
    /// A thread of the daemon ended by a fault in the program; the instance stops rather than serve by halves.
    1017 Error ThreadLost "thread {thread} ended: {cause}" { thread: Arc<str>, cause: Arc<str> }
    /// The data folder could not be used, or the system refused a thread, so the daemon did not start.
    1018 Error StartFailed "could not start: {cause}" { cause: Arc<str> }

    // Other instances.
    /// A connection to another instance works.
    2001 Info PeerConnected "peer {peer} connected at {address}" { peer: Instance, address: SocketAddr }
    /// A connection to another instance ended; it is tried again.
    2002 Warn PeerLost "peer {peer} lost at step {step}: {cause}" { peer: Instance, step: Arc<str>, cause: Arc<str> }
    /// Bytes came to `peers` that are not a frame of this version; they were dropped.
    2003 Warn FrameRefused "frame from {address} refused: {cause}" { address: SocketAddr, cause: Arc<str> }
    /// Another instance is new or back.
    2004 Info MemberJoined "member {peer} of {zone} joined, incarnation {incarnation}" { peer: Instance, zone: AvailabilityZone, incarnation: u64 }
    /// Another instance does not answer; others are asked before it counts as lost.
    2005 Info MemberSuspected "member {peer} suspected" { peer: Instance }
    /// Another instance counts as lost; work that it owned is taken over.
    2006 Warn MemberLost "member {peer} of {zone} lost after {silence}" { peer: Instance, zone: AvailabilityZone, silence: Duration }
    /// Another instance stopped as planned.
    2007 Info MemberLeft "member {peer} left" { peer: Instance }
    /// An instance that counted as suspected or lost answers again.
    2008 Info MemberBack "member {peer} is back, incarnation {incarnation}" { peer: Instance, incarnation: u64 }
    /// Most others look lost, so this instance doubts itself: it takes no new work on what it can't confirm.
    2009 Error Isolated "isolated: {heard} of {known} members heard" { heard: u64, known: u64 }
    /// Most others are heard again.
    2010 Info IsolationOver "no longer isolated: {heard} of {known} members heard" { heard: u64, known: u64 }
    /// Two instances have one name; this one, which started earlier, drains.
    2011 Error NameTaken "another instance uses the name {peer}, incarnation {incarnation}" { peer: Instance, incarnation: u64 }
    /// An instance of another deployment called; it is not listened to.
    2012 Warn ForeignCluster "instance {peer} at {address} belongs to another cluster, or has another secret" { peer: Instance, address: SocketAddr }

    // Log, voters and leader.
    /// The voters have a leader.
    3001 Info LeaderKnown "{leader} leads term {term}" { leader: Instance, term: u64 }
    /// This instance leads the voters.
    3002 Info Leading "this instance leads term {term}" { term: u64 }
    /// The voters are without a leader; they elect one.
    3003 Warn LeaderLost "leader of term {term} lost: {cause}" { term: u64, cause: Arc<str> }
    /// No edit, claim or order can be committed; after the table lease instances refuse new work.
    3004 Error QuorumLost "quorum lost: {heard} of {voters} voters heard" { heard: u64, voters: u64 }
    /// Edits, claims and orders are committed again.
    3005 Info QuorumBack "quorum back: {heard} of {voters} voters heard" { heard: u64, voters: u64 }
    /// A change of the voter set is committed.
    3006 Info VotersChanged "voters are {voters} at log index {index}" { voters: Arc<str>, index: u64 }
    /// A voter does not keep up; until it does, losing another one may lose the quorum.
    3007 Warn VoterBehind "voter {voter} is {entries} entries behind" { voter: Instance, entries: u64 }
    /// The log before the index was compacted.
    3008 Info SnapshotTaken "snapshot at log index {index}, {bytes} bytes" { index: u64, bytes: u64 }
    /// This instance was too far behind for single entries.
    3009 Info SnapshotInstalled "snapshot at log index {index} received from {peer}" { index: u64, peer: Instance }
    /// A voter has read its folder after a start.
    3010 Info LogRecovered "log recovered to index {index}" { index: u64 }
    /// The machine stopped during a write that was never acknowledged; nothing committed is lost.
    3011 Warn TornTail "{file} ended in the middle of an entry: {bytes} bytes cut at {offset}" { file: Arc<str>, bytes: u64, offset: u64 }
    /// Entries that were acknowledged can't be read, so the voter does not start.
    3012 Error LogDamaged "{file} is damaged at {offset}: {cause}" { file: Arc<str>, offset: u64, cause: Arc<str> }
    /// A write or sync failed; what was not synced is not acknowledged and the voter stops voting.
    3013 Error DiskFailed "disk failed at step {step} on {file}: {cause}" { step: Arc<str>, file: Arc<str>, cause: Arc<str> }
    /// The voter can't store entries and stops voting; other instances go on.
    3014 Error DiskFull "disk of {file} is full" { file: Arc<str> }
    /// The disk is slow; edits and claims wait for it.
    3015 Warn DiskSlow "{step} took {took}" { step: Arc<str>, took: Duration }
    /// The data folder was made by another instance or cluster, so the daemon did not start.
    3016 Error FolderForeign "folder {folder} belongs to {owner}" { folder: Arc<str>, owner: Instance }
    /// The folder holds no state, so an earlier voter of this name is gone for good.
    3017 Warn FolderNew "folder {folder} is new: this instance votes only after `voters add` or `voters replace`" { folder: Arc<str> }

    // Table, operators and orders.
    /// An edit is committed and never reverts.
    4001 Info EditAccepted "edit {edit} of {operator} accepted as revision {revision}: {rows} rows from base {base}" { edit: Arc<str>, operator: Operator, revision: u64, rows: u64, base: u64 }
    /// An edit changed nothing: its table is bad, or another edit came first.
    4002 Info EditRefused "edit {edit} of {operator} on base {base} refused: {cause}" { edit: Arc<str>, operator: Operator, base: u64, cause: Arc<str> }
    /// All instances have acknowledged the edit, or their lease has run out.
    4003 Info EditInForce "revision {revision} in force everywhere after {took}" { revision: u64, took: Duration }
    /// Some instances have not acknowledged; those cut off stop accepting work when their table lease ends.
    4004 Warn EditSlow "revision {revision} not yet confirmed by {waiting}" { revision: u64, waiting: Arc<str> }
    /// This instance now decides by the revision.
    4005 Info TableInForce "table revision {revision} in force here" { revision: u64 }
    /// The table in force can't be confirmed, so new work is refused as not run.
    4006 Error TableLeaseLost "table lease lost: revision {revision} was last confirmed {age} ago" { revision: u64, age: Duration }
    /// The table is confirmed again and work is accepted.
    4007 Info TableLeaseBack "table lease back with revision {revision}" { revision: u64 }
    /// A restarted instance gets the revisions it missed before it is ready.
    4008 Info CatchingUp "catching up from revision {revision} to {newest}" { revision: u64, newest: u64 }
    /// The initial table has a problem, so the daemon did not start.
    4009 Error TableRefused "table {file} refused: {problem}" { file: Arc<str>, problem: Arc<str> }
    /// An operator has ordered a planned stop.
    4010 Info DrainOrdered "{operator} drains {instance}" { operator: Operator, instance: Instance }
    /// An operator has ordered a change of the voter set; V3006 follows once it is committed.
    4011 Info VotersOrdered "{operator} changes voters: {change}" { operator: Operator, change: Arc<str> }
    /// A call to `admin` had no valid key or was not understood.
    4012 Warn OperatorRefused "operator call {call} refused: {cause}" { call: Arc<str>, cause: Arc<str> }
    /// The leader ordered an upstream to load or unload a model or change its role.
    4020 Info OrderGiven "order {order} to {upstream} with fence {fence}" { order: Arc<str>, upstream: Upstream, fence: Fence }
    /// The upstream has obeyed.
    4021 Info OrderApplied "order with fence {fence} applied by {upstream}" { upstream: Upstream, fence: Fence }
    /// The upstream has obeyed a later leader; the order stays without effect.
    4022 Warn OrderRefused "order with fence {fence} refused by {upstream}, which holds {held}" { upstream: Upstream, fence: Fence, held: Fence }
    /// The order did not arrive in time and will not be obeyed late.
    4023 Warn OrderExpired "order with fence {fence} to {upstream} expired" { upstream: Upstream, fence: Fence }
    /// A new leader waits until no order of the one before can still arrive.
    4024 Info OrderHeld "orders to {upstream} wait {wait}: it does not check fencing numbers" { upstream: Upstream, wait: Duration }
    /// A non-idempotent request could not be claimed and was refused as not run.
    4030 Warn ClaimFailed "claim for {request} of {team} not committed: {cause}" { request: Request, team: Team, cause: Arc<str> }
    /// A non-idempotent request may have run on a lost instance; it never runs again and its key answers "unknown".
    4031 Warn ClaimUnresolved "claim for {request} of {team} was held by {holder}, which is lost" { request: Request, team: Team, holder: Instance }

    // Upstreams.
    /// An upstream announced itself for the first time, or anew after a restart.
    5001 Info UpstreamAppeared "upstream {upstream} of {zone} appeared at {address}, incarnation {incarnation}" { upstream: Upstream, zone: AvailabilityZone, address: SocketAddr, incarnation: u64 }
    /// The upstream is ready.
    5002 Info UpstreamReady "upstream {upstream} takes work for {models}" { upstream: Upstream, models: Arc<str> }
    /// The upstream gets no new work any more and its streams are moved as the notice allows.
    5003 Info UpstreamLeaving "upstream {upstream} is leaving, {notice} notice" { upstream: Upstream, notice: Arc<str> }
    /// The upstream stopped announcing itself; it gets no new work.
    5004 Warn UpstreamLapsed "upstream {upstream} lapsed: last announced {age} ago" { upstream: Upstream, age: Duration }
    /// Most upstreams of an availability zone vanished at once, which is as likely a fault of the observer; they are not emptied at once.
    5005 Error UpstreamsDoubted "{lost} of {known} upstreams of {zone} look lost: this instance doubts its own view" { zone: AvailabilityZone, lost: u64, known: u64 }
    /// The doubt is over.
    5006 Info UpstreamsTrusted "view of upstreams of {zone} trusted again: {known} known" { zone: AvailabilityZone, known: u64 }
    /// An announcement had a bad key, could not be read, or was older than the one held.
    5007 Warn AnnouncementRefused "announcement refused: {cause}" { cause: Arc<str> }
    /// Runs there fail although it announces itself; it gets only trial requests.
    5008 Warn UpstreamFailing "upstream {upstream} set aside after {failures} failures: {cause}" { upstream: Upstream, failures: u64, cause: Arc<str> }
    /// A trial request succeeded.
    5009 Info UpstreamRecovered "upstream {upstream} takes work again" { upstream: Upstream }

    // Requests.
    /// The request was surely not run and the caller was told so.
    6001 Info RequestRefused "request {request} of {team}/{class} refused, not run: {reason}, come back after {retry}" { request: Request, team: Team, class: Class, reason: Reason, retry: Arc<str> }
    /// The request may have run; it is not run again.
    6002 Warn OutcomeUnknown "request {request} of {team}/{class} ended with unknown outcome: {reason}" { request: Request, team: Team, class: Class, reason: Unknown }
    /// The caller used one idempotency key for two requests; the second was not run.
    6003 Info RequestConflict "request {request} of {team} shows a used key with another body" { request: Request, team: Team }
    /// The request could not be understood, was too large or too slow; it was not run.
    6004 Info RequestMalformed "request from {address} answered {status}: {cause}" { address: SocketAddr, status: u64, cause: Arc<str> }
    /// A caller showed no key or an unknown one.
    6005 Warn Unauthorized "request from {address} without a valid key" { address: SocketAddr }
    /// A stream goes on at another upstream; the caller notices at most a pause.
    6006 Info Moved "request {request} moved from {from} to {to} by {way}, {again} tokens again" { request: Request, from: Upstream, to: Upstream, way: Arc<str>, again: u64 }
    /// A stream went silent; a new connection to the same upstream is tried, then another upstream.
    6007 Warn Stalled "request {request} stalled at {upstream} after token {position}: silent for {silence}" { request: Request, upstream: Upstream, position: u64, silence: Duration }
    /// The old connection was dead but the run was not; nothing was computed again.
    6008 Info Rejoined "request {request} goes on at {upstream} on a new connection after token {position}" { request: Request, upstream: Upstream, position: u64 }
    /// A run ended without a whole answer; what follows depends on the request.
    6009 Warn RunFailed "request {request} failed at {upstream}, step {step}: {cause}" { request: Request, upstream: Upstream, step: Arc<str>, cause: Arc<str> }
    /// The retry budget is used up, or a second run could do harm.
    6010 Warn RetryDenied "request {request} of {team} not tried again: {cause}" { request: Request, team: Team, cause: Arc<str> }
    /// The owner was lost and this instance, which held a copy, carries on.
    6011 Info TakenOver "request {request} taken over" { request: Request }
    /// This instance stops and another one carries on.
    6012 Info HandedOver "request {request} handed over to {to}" { request: Request, to: Instance }
    /// The connection of a caller broke; it may come back with its key.
    6013 Info CallerGone "caller of {request} left after token {position}" { request: Request, position: u64 }
    /// A caller reads too slowly, so its connection is closed; it may come back with its key.
    6014 Info CallerSlow "caller of {request} takes no bytes: {waiting} bytes wait" { request: Request, waiting: u64 }
    /// No further request can be held safely, so new ones are refused as not run.
    6015 Error JournalFull "journal full: {used} of {limit} bytes" { used: u64, limit: u64 }
    /// Copies of accepted requests are made again at another instance.
    6016 Warn HolderLost "second holder {peer} of {requests} requests lost, held anew by {next}" { peer: Instance, requests: u64, next: Arc<str> }
    /// An attempt that no longer counts, or a repeated event, was ignored.
    6017 Debug TokenDropped "late tokens of {request} from {upstream} dropped at {position}" { request: Request, upstream: Upstream, position: u64 }

    // Cloud, prices and capacity.
    /// The cloud changed a price (millionths for an hour); the plan uses it.
    7001 Info PriceChanged "{market} {machine} in {zone} now costs {price}" { market: Arc<str>, machine: Arc<str>, zone: AvailabilityZone, price: u64 }
    /// The cloud takes an instance or upstream back.
    7002 Warn ReclaimNotice "{name} will be reclaimed in {left}" { name: Arc<str>, left: Duration }
    /// A wave takes most of an availability zone.
    7003 Error ZoneReclaimed "{count} machines of {zone} reclaimed within {window}" { zone: AvailabilityZone, count: u64, window: Duration }
    /// The plan starts a machine.
    7004 Info StartOrdered "{market} {machine} ordered in {zone} for {model}" { market: Arc<str>, machine: Arc<str>, zone: AvailabilityZone, model: Model }
    /// The cloud has no such machine now; the next class or availability zone is tried.
    7005 Warn StartRefused "{market} {machine} in {zone} refused, next is {next}" { market: Arc<str>, machine: Arc<str>, zone: AvailabilityZone, next: Arc<str> }
    /// Every class and availability zone was refused; requests beyond capacity are refused as not run.
    7006 Error CapacityShort "{model} has {had} of {wanted} slots and no further machine can be had" { model: Model, had: u64, wanted: u64 }
    /// The plan no longer needs a machine; it drains first.
    7007 Info StopOrdered "machine {name} given back" { name: Arc<str> }
    /// No notices or prices come; the last ones count, and upstreams' own notices go on.
    7008 Warn CloudUnreachable "cloud at {address} can't be asked: {cause}" { address: SocketAddr, cause: Arc<str> }
    /// Notices and prices come again.
    7009 Info CloudBack "cloud at {address} answers again" { address: SocketAddr }
    /// The store's rate is used up; the load is tried again later.
    7010 Warn WeightsBusy "weight store is busy: load of {model} on {upstream} waits {wait}" { model: Model, upstream: Upstream, wait: Duration }
    /// No model can be loaded; what is loaded goes on.
    7011 Warn WeightsUnreachable "weight store at {address} can't be asked: {cause}" { address: SocketAddr, cause: Arc<str> }
}
