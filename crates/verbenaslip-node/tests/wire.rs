//! The wire format of the messages between instances: the bytes of one message of each kind.
//!
//! Instances of two versions run side by side during a rollout. If a line here changes, they no
//! longer understand each other, and the rollout would interrupt requests. New kinds of messages
//! are appended to the end of their enum.

use std::fmt::Debug;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;
use verbenaslip_base::announce::{Announcement, Kind, Load, Market, Phase};
use verbenaslip_base::attempt::{Attempt, Request};
use verbenaslip_base::fence::Fence;
use verbenaslip_base::head::Head;
use verbenaslip_base::name::{Instance, Operator, Upstream};
use verbenaslip_base::refusal::{Reason, Refusal, Unknown};
use verbenaslip_gossip as gossip;
use verbenaslip_node::Message;
use verbenaslip_node::message::{ProposalAnswer, Query, QueryAnswer};
use verbenaslip_replica::config::{Change, Config};
use verbenaslip_replica::entry::{Entry, Payload, Position};
use verbenaslip_replica::message as log;
use verbenaslip_replica::voter::{Group, Identity, Voter};
use verbenaslip_request::caller::Body;
use verbenaslip_request::message as request;
use verbenaslip_request::output;
use verbenaslip_state::command::{Command, Drain, VoterChange, Voters};
use verbenaslip_state::lease::Nonce;
use verbenaslip_state::outcome::Overlong;
use verbenaslip_state::watch::message as watch;
use verbenaslip_state::{Outcome, audit, claim, history, order};
use verbenaslip_table::{Edit, Key, Problem, Problems, Revision, Row, change, edit};

fn name(text: &str) -> Instance {
    Instance::from(text)
}

fn operator() -> Operator {
    Operator::from("anna")
}

fn voter() -> Voter {
    Voter { instance: name("a"), identity: Identity(5) }
}

fn attempt() -> Attempt {
    Attempt { request: Request(300), number: 2 }
}

fn address() -> SocketAddr {
    ([10, 0, 0, 1], 7400).into()
}

fn position() -> Position {
    Position { term: 3, index: 200 }
}

/// Returns a line with a value's bytes, after checking that they decode to the same value.
fn line<T: Serialize + DeserializeOwned + PartialEq + Debug>(what: &str, value: &T) -> String {
    let bytes = postcard::to_stdvec(value).expect("it can be written");
    let (read, rest): (T, _) = postcard::take_from_bytes(&bytes).expect("it can be read");
    assert_eq!(read, *value, "{what}");
    assert!(rest.is_empty(), "{what}: {rest:?} is left");
    let hex: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
    format!("{what}: {hex}")
}

/// Returns one line per value, each with the value's number.
fn lines<T: Serialize + DeserializeOwned + PartialEq + Debug>(
    what: &str,
    values: impl IntoIterator<Item = T>,
) -> String {
    let values = values.into_iter().enumerate();
    let lines: Vec<_> = values.map(|(at, value)| line(&format!("{what} {at}"), &value)).collect();
    lines.join("\n")
}

fn logs() -> Vec<Message> {
    let last = position();
    let entry = |payload| Entry { position: position(), payload };
    let config = Config { voters: vec![voter()], outgoing: vec![voter()] };
    let entries = vec![
        entry(Payload::Empty),
        entry(Payload::Command(Arc::from([1, 2, 3]))),
        entry(Payload::Config(config.clone())),
    ];
    let header = log::SnapshotHeader { position: last, config, total_bytes: 9 };
    let bodies = vec![
        log::Body::PreVote { last_position: last },
        log::Body::PreVoteResponse { granted: true },
        log::Body::Vote { last_position: last, transfer: true },
        log::Body::VoteResponse { granted: false },
        log::Body::Append { previous: last, entries, commit_index: 199, round: 7 },
        log::Body::AppendResponse { match_index: 200, round: 7 },
        log::Body::AppendConflict { previous_index: 200, hint: last, round: 7 },
        log::Body::SnapshotChunk { header, offset: 4, bytes: Arc::from([9]), round: 7 },
        log::Body::SnapshotChunkResponse { position: last, received_bytes: 5, round: 7 },
        log::Body::Campaign,
        log::Body::FoundingQuery,
        log::Body::FoundingResponse,
        log::Body::IdentityChanged,
    ];
    let message = |body| log::Message {
        group: Some(Group(1)),
        sender: Identity(2),
        target: Some(Identity(3)),
        term: 4,
        body,
    };
    bodies.into_iter().map(|body| Message::Log(message(body))).collect()
}

fn watches() -> Vec<Message> {
    let (nonce, revision) = (Nonce { boot: 1, count: 2 }, Revision(300));
    let changes = [change::Change::Remove(Row::new("office", "*").key())];
    let granted =
        watch::Granted { nonce, revision, duration_ms: 3_000, path: vec![name("a"), name("b")] };
    let messages = vec![
        watch::Message::Renew(watch::Renew { nonce, applied: revision, floor: Revision(299) }),
        watch::Message::Fetch(watch::Fetch { revision, part: 1 }),
        watch::Message::Granted(granted),
        watch::Message::Away(watch::Refusal { nonce, others: vec![name("a")] }),
        watch::Message::Changes(vec![watch::Step { revision, changes: changes.into() }]),
        watch::Message::Offer(watch::Offer { revision, bytes: 9, digest: 300 }),
        watch::Message::Part(watch::Part { revision, part: 1, bytes: vec![1, 2] }),
    ];
    messages.into_iter().map(Message::Watch).collect()
}

fn progress(outcome: Option<output::Outcome>) -> request::Progress {
    let live = request::ActiveRun {
        attempt: attempt(),
        upstream: Upstream::from("u"),
        address: address(),
        kind: Kind::Engine,
        priority: -1,
    };
    request::Progress {
        request: Request(300),
        epoch: 1,
        sequence: 2,
        live: Some(live),
        number: 2,
        ran: true,
        crashes: 1,
        complete: false,
        lineage: 5,
        outcome,
    }
}

fn requests() -> Vec<Message> {
    let request = Request(300);
    let head = Head {
        request,
        team: "office".into(),
        class: "default".into(),
        model: "assistant".into(),
        idempotent: false,
        keyed: true,
        issued: Some(1_700_000_000_000),
        deadline: Duration::from_millis(1_500),
        prompt: 100,
        output: 20,
        prefix: vec![1, u64::MAX],
    };
    let body = Body { path: "/".into(), content: "text/plain".into(), bytes: vec![1] };
    let copy = request::RequestCopy {
        head,
        body: Some(Arc::new(body)),
        digest: 7,
        boot: 8,
        note: progress(Some(output::Outcome::Whole { position: 20 })),
    };
    let remaining = Duration::from_millis(2_500);
    let reserve = request::Reserve { request, digest: 7, boot: 8, epoch: 1, remaining };
    let held = request::KeyStatus::Held { owner: name("a"), epoch: 1, digest: 7 };
    let found = |found| request::Message::Reserved { request, found };
    let refused = Refusal { reason: Reason::Limit, retry: Some(remaining) };
    let attempt = Some(attempt());
    let taken = request::Takeover { request, owner: name("a"), epoch: 2, attempt, lineage: 5 };
    let messages = vec![
        request::Message::Reserve(reserve),
        found(request::KeyStatus::Free),
        found(held),
        found(request::KeyStatus::Between { digest: 7 }),
        found(request::KeyStatus::Doubtful),
        found(request::KeyStatus::Full),
        request::Message::Put(Box::new(copy)),
        request::Message::Note(progress(Some(output::Outcome::Refused(refused)))),
        request::Message::Note(progress(Some(output::Outcome::Unknown(Unknown::Deadline)))),
        request::Message::Note(progress(Some(output::Outcome::Abandoned))),
        request::Message::Note(progress(Some(output::Outcome::Moved { owner: name("b") }))),
        request::Message::Kept(request::Ack { request, epoch: 1, sequence: 2 }),
        request::Message::Full { request, epoch: 1 },
        request::Message::Taken(taken),
        request::Message::Yielded { request, epoch: 2 },
        request::Message::HandOver(progress(None)),
        request::Message::Drop { request, epoch: 1, key: true },
    ];
    messages.into_iter().map(Message::Request).collect()
}

fn commands() -> Vec<Message> {
    let at = 1_700_000_000_000;
    let claim = claim::Claim {
        attempt: attempt(),
        team: "office".into(),
        instance: name("a"),
        nonce: 9,
        body: 7,
        issued: at,
        at,
    };
    let settle = |ending| {
        let (by, attempt) = (name("a"), attempt());
        Command::Settle(claim::Settle { attempt, nonce: 9, by, ending, at })
    };
    let edit = Edit {
        id: edit::Id::new("edit-1").expect("a good identity"),
        base: Revision(1),
        operator: operator(),
        unix_ms: at,
        changes: vec![change::Change::Put(Row::new("office", "*"))],
    };
    let swap = |change| Command::Voters(Voters { by: operator(), change, at });
    let commands = vec![
        Command::Edit(edit),
        Command::Claim(claim.clone()),
        settle(claim::Ending::Done { digest: 7, status: 200 }),
        settle(claim::Ending::NotRun),
        settle(claim::Ending::Unknown(Unknown::InstanceLost)),
        Command::Release(claim::Release { claim, at }),
        Command::Drain(Drain { by: operator(), instance: name("a"), at }),
        swap(VoterChange::Add(name("a"))),
        swap(VoterChange::Remove(name("a"))),
        swap(VoterChange::Replace { old: name("a"), new: name("b") }),
    ];
    let fence = Fence { term: 3, index: 200 };
    let order = |task| {
        let upstream = "u".into();
        Command::Order(order::Order { by: operator(), upstream, task, lifetime: 5_000, at })
    };
    let tasks = [
        order::Task::Load("m".into()),
        order::Task::Unload("m".into()),
        order::Task::Role(order::Role::Prefill),
        order::Task::Role(order::Role::Decode),
        order::Task::Role(order::Role::Both),
    ];
    let ordered = |result| {
        let (by, upstream) = (name("a"), "u".into());
        Command::Ordered(order::OrderEnd { by, fence, upstream, result, at })
    };
    let results = [
        order::Result::Applied,
        order::Result::Superseded(fence),
        order::Result::Expired,
        order::Result::Refused,
        order::Result::Lost,
    ];
    let commands = commands
        .into_iter()
        .chain(tasks.into_iter().map(order))
        .chain(results.into_iter().map(ordered));
    let propose = |command| Message::Propose { token: 1, command: Box::new(command) };
    commands.map(propose).collect()
}

fn answers() -> Vec<Message> {
    let revision = Revision(300);
    let newest = history::Newest {
        revision,
        by: Some(operator()),
        differs: vec![Key { team: "office".into(), class: "*".into() }],
        more: true,
    };
    let problem = Problem {
        row: 2,
        column: "weight".to_owned(),
        value: "x".to_owned(),
        allowed: "a number".to_owned(),
    };
    let ending = claim::Ending::Unknown(Unknown::Unreachable);
    let settled = claim::Verdict::Settled { attempt: attempt(), ending };
    let held = claim::Verdict::Held { attempt: attempt(), instance: name("a") };
    let fence = Fence { term: 3, index: 200 };
    let outcomes = vec![
        Outcome::Edit(history::Verdict::Accepted { revision }),
        Outcome::Edit(history::Verdict::Unchanged { revision }),
        Outcome::Edit(history::Verdict::Stale(newest)),
        Outcome::Edit(history::Verdict::Reused),
        Outcome::Edit(history::Verdict::Bad(Problems(vec![problem]))),
        Outcome::Overlong(Overlong { what: "instance".to_owned() }),
        Outcome::Claim(claim::Verdict::Granted),
        Outcome::Claim(settled),
        Outcome::Claim(claim::Verdict::Conflict),
        Outcome::Claim(claim::Verdict::Expired),
        Outcome::Claim(claim::Verdict::Ahead),
        Outcome::Claim(claim::Verdict::Full),
        Outcome::Closed(claim::CloseResult::Other),
        Outcome::Closed(claim::CloseResult::Final(claim::Ending::NotRun)),
        Outcome::Claim(held),
        Outcome::Claim(claim::Verdict::Stale { last: attempt() }),
        Outcome::Closed(claim::CloseResult::Kept),
        Outcome::Closed(claim::CloseResult::Freed),
        Outcome::Closed(claim::CloseResult::Missing),
        Outcome::Order(order::Verdict::Numbered(fence)),
        Outcome::Order(order::Verdict::Busy(fence)),
        Outcome::Order(order::Verdict::Repeated(fence)),
        Outcome::Order(order::Verdict::Lifetime),
        Outcome::Order(order::Verdict::Full),
        Outcome::Noted,
        Outcome::Unasked,
        Outcome::Replayed,
    ];
    let done = outcomes.into_iter().map(ProposalAnswer::Done);
    let others = vec![
        ProposalAnswer::Changed,
        ProposalAnswer::NotLeader { leader: Some(name("a")) },
        ProposalAnswer::Refused("no".into()),
        ProposalAnswer::Unknown,
    ];
    done.chain(others).map(|answer| Message::ProposalResult { token: 1, answer }).collect()
}

fn calls() -> Vec<Message> {
    let change = |change| Message::Change { token: 1, change };
    let ask = |query| Message::Query { token: 1, query };
    let at = 1_700_000_000_000;
    let edited = history::Entry {
        revision: Revision(2),
        edit: edit::Id::new("edit-1").expect("a good identity"),
        by: operator(),
        at,
        base: Revision(1),
        rows: vec![Key { team: "office".into(), class: "*".into() }],
        count: 1,
    };
    let noted = audit::Entry {
        number: 1,
        position: Fence { term: 3, index: 200 },
        at,
        by: "anna".into(),
        action: audit::Action::Drain(name("a")),
        base: Some(Revision(1)),
        accepted: true,
        answer: "noted".into(),
    };
    let query_result =
        |found| Message::QueryResult { token: 1, answer: found, leader: Some(name("a")) };
    vec![
        change(Change::Add(voter())),
        change(Change::Remove(name("a"))),
        change(Change::Replace { old: name("b"), new: voter() }),
        ask(Query::Propagation(Revision(300))),
        ask(Query::History),
        ask(Query::Audit { since: 300 }),
        ask(Query::OwnVoter),
        query_result(None),
        query_result(Some(QueryAnswer::Propagation { complete: false, awaited: vec![name("b")] })),
        query_result(Some(QueryAnswer::History(vec![edited]))),
        query_result(Some(QueryAnswer::Audit(audit::Page { next: 9, entries: vec![noted] }))),
        query_result(Some(QueryAnswer::OwnVoter(Some(voter())))),
        Message::Drain { operator: operator() },
    ]
}

fn updates() -> gossip::Updates {
    let (key, voucher) = (gossip::Key([1, 2, 3, 4, 5, 6]), gossip::Handle([1, 2, 3, 4]));
    let announcement = Announcement {
        upstream: "u".into(),
        address: address(),
        zone: "z".into(),
        kind: Kind::Service,
        incarnation: 1,
        sequence: 2,
        phase: Phase::Leaving { notice: Some(30_000) },
        models: vec!["orders".into()],
        market: Market::OnDemand,
        price: 1_000_000,
        fenced: true,
        slots: 8,
        load: Load { running: 1, waiting: 2, memory: 3, age: 4 },
    };
    let entry = gossip::DeltaEntry {
        key,
        content_hash: Some(gossip::ContentHash([7, 8, 9])),
        version_offset: 1,
    };
    let leaving = gossip::Departure { key, incarnation: 1, sequence: 2, notice: Some(300) };
    let delta = gossip::Delta { voucher, base: 1, version: 2, latest: 3, entries: vec![entry] };
    let gauge = gossip::CompactLoad {
        key: [1, 2, 3, 4],
        incarnation: 1,
        sequence: [2, 0],
        running: 3,
        waiting: 4,
        memory: 5,
        age_tenths: 6,
    };
    gossip::Updates {
        departures: vec![leaving],
        deltas: vec![delta],
        marks: vec![gossip::FreshnessMark {
            voucher,
            sequence: 1,
            version: 2,
            age: gossip::Age(3),
        }],
        members: vec![member_status()],
        announcements: vec![gossip::ForwardedAnnouncement {
            announcement,
            age: gossip::Age(1),
            load_age_ms: 300,
        }],
        loads: vec![gauge],
    }
}

fn member_status() -> gossip::MemberStatus {
    let peer = gossip::Peer {
        instance: name("a"),
        zone: "z".into(),
        region: "r".into(),
        address: address(),
        incarnation: 9,
    };
    gossip::MemberStatus { peer, refutations: 1, state: gossip::State::Suspect }
}

fn frames() -> Vec<gossip::Frame> {
    let (handle, region_id) = (gossip::Handle([1, 2, 3, 4]), gossip::RegionId([4, 3, 2, 1]));
    let key = gossip::Key([1, 2, 3, 4, 5, 6]);
    let state = gossip::State::Left;
    let members = vec![gossip::MemberSummary { handle, refutations: 1, state }];
    let sync = gossip::Digest {
        checksums: vec![gossip::RegionChecksum { region_id, checksum: 300 }],
        contacts: vec![gossip::RegionContact { region_id, age_tenths: 7 }],
        marks: Vec::new(),
    };
    let pull = gossip::Pull {
        streams: vec![gossip::StreamPosition { voucher: handle, version: 3 }],
        announcements: vec![key],
        members: vec![handle],
    };
    let content_hash = gossip::ContentHash([7, 8, 9]);
    let renewal = gossip::Renewal { key, content_hash, sequence: 300, age: gossip::Age(1) };
    let bodies = vec![
        gossip::Body::Join(member_status()),
        gossip::Body::Ping { target: handle, probe: 300 },
        gossip::Body::Ack { probe: 300 },
        gossip::Body::IndirectPing { target: handle, probe: 300 },
        gossip::Body::Updates(updates()),
        gossip::Body::PullResponse(gossip::Updates::default()),
        gossip::Body::Digest(sync),
        gossip::Body::MemberList(gossip::MemberList {
            region_id,
            first: handle,
            end: Some(handle),
            members,
        }),
        gossip::Body::Pull(pull),
        gossip::Body::Renewals(vec![renewal]),
        gossip::Body::Report(gossip::Report { version: 1, age: gossip::Age(1), bytes: vec![1] }),
    ];
    bodies.into_iter().map(|body| gossip::Frame { from: handle, body }).collect()
}

#[test]
fn messages_of_the_log_keep_their_bytes() {
    insta::assert_snapshot!(lines("log", logs()), @"
    log 0: 000101020103040003c801
    log 1: 000101020103040101
    log 2: 000101020103040203c80101
    log 3: 000101020103040300
    log 4: 000101020103040403c8010303c8010003c801010301020303c801020101610501016105c70107
    log 5: 0001010201030405c80107
    log 6: 0001010201030406c80103c80107
    log 7: 000101020103040703c80101016105010161050904010907
    log 8: 000101020103040803c8010507
    log 9: 0001010201030409
    log 10: 000101020103040a
    log 11: 000101020103040b
    log 12: 000101020103040c
    ");
}

#[test]
fn messages_of_the_watch_keep_their_bytes() {
    insta::assert_snapshot!(lines("watch", watches()), @"
    watch 0: 01000102ac02ab02
    watch 1: 0101ac0201
    watch 2: 01020102ac02b8170201610162
    watch 3: 01030102010161
    watch 4: 010401ac020101066f6666696365012a
    watch 5: 0105ac0209ac02
    watch 6: 0106ac0201020102
    ");
}

#[test]
fn messages_about_requests_keep_their_bytes() {
    insta::assert_snapshot!(lines("request", requests()), @"
    request 0: 0200ac020708010280cab5ee01
    request 1: 0201ac0200
    request 2: 0201ac020101610107
    request 3: 0201ac020207
    request 4: 0201ac0203
    request 5: 0201ac0204
    request 6: 0202ac02066f66666963650764656661756c7409617373697374616e7400010180d095ffbc310180cab5ee0164140201ffffffffffffffffff0101012f0a746578742f706c61696e01010708ac02010201ac02020175000a000001e83900010201010005010014
    request 7: 0203ac02010201ac02020175000a000001e83900010201010005010101010280cab5ee01
    request 8: 0203ac02010201ac02020175000a000001e83900010201010005010202
    request 9: 0203ac02010201ac02020175000a000001e839000102010100050103
    request 10: 0203ac02010201ac02020175000a000001e8390001020101000501040162
    request 11: 0204ac020102
    request 12: 0205ac0201
    request 13: 0206ac0201610201ac020205
    request 14: 0207ac0202
    request 15: 0208ac02010201ac02020175000a000001e8390001020101000500
    request 16: 0209ac020101
    ");
}

#[test]
fn proposals_keep_their_bytes() {
    insta::assert_snapshot!(lines("command", commands()), @"
    command 0: 03010006656469742d310104616e6e6180d095ffbc310100066f6666696365012a64050064e80700b0ea01f80a8020904e0a000000
    command 1: 030101ac0202066f66666963650161090780d095ffbc3180d095ffbc31
    command 2: 030102ac02020901610007c80180d095ffbc31
    command 3: 030102ac02020901610180d095ffbc31
    command 4: 030102ac0202090161020180d095ffbc31
    command 5: 030103ac0202066f66666963650161090780d095ffbc3180d095ffbc3180d095ffbc31
    command 6: 03010604616e6e61016180d095ffbc31
    command 7: 03010704616e6e6100016180d095ffbc31
    command 8: 03010704616e6e6101016180d095ffbc31
    command 9: 03010704616e6e61020161016280d095ffbc31
    command 10: 03010404616e6e61017500016d882780d095ffbc31
    command 11: 03010404616e6e61017501016d882780d095ffbc31
    command 12: 03010404616e6e6101750200882780d095ffbc31
    command 13: 03010404616e6e6101750201882780d095ffbc31
    command 14: 03010404616e6e6101750202882780d095ffbc31
    command 15: 030105016103c80101750080d095ffbc31
    command 16: 030105016103c80101750103c80180d095ffbc31
    command 17: 030105016103c80101750280d095ffbc31
    command 18: 030105016103c80101750380d095ffbc31
    command 19: 030105016103c80101750480d095ffbc31
    ");
}

#[test]
fn answers_keep_their_bytes() {
    insta::assert_snapshot!(lines("answer", answers()), @"
    answer 0: 0501000000ac02
    answer 1: 0501000001ac02
    answer 2: 0501000002ac020104616e6e6101066f6666696365012a01
    answer 3: 0501000003
    answer 4: 050100000401020677656967687401780861206e756d626572
    answer 5: 0501000708696e7374616e6365
    answer 6: 0501000100
    answer 7: 0501000102ac02020203
    answer 8: 0501000104
    answer 9: 0501000105
    answer 10: 0501000106
    answer 11: 0501000107
    answer 12: 0501000202
    answer 13: 050100020301
    answer 14: 0501000101ac02020161
    answer 15: 0501000103ac0202
    answer 16: 0501000200
    answer 17: 0501000201
    answer 18: 0501000204
    answer 19: 050100030003c801
    answer 20: 050100030103c801
    answer 21: 050100030203c801
    answer 22: 0501000303
    answer 23: 0501000304
    answer 24: 05010004
    answer 25: 05010005
    answer 26: 05010006
    answer 27: 050101
    answer 28: 050102010161
    answer 29: 050103026e6f
    answer 30: 050104
    ");
}

#[test]
fn calls_keep_their_bytes() {
    insta::assert_snapshot!(lines("call", calls()), @"
    call 0: 040100016105
    call 1: 0401010161
    call 2: 0401020162016105
    call 3: 060100ac02
    call 4: 060101
    call 5: 060102ac02
    call 6: 060103
    call 7: 070100010161
    call 8: 0701010000010162010161
    call 9: 07010101010206656469742d3104616e6e6180d095ffbc310101066f6666696365012a01010161
    call 10: 0701010209010103c80180d095ffbc3104616e6e61060161010101056e6f746564010161
    call 11: 0701010301016105010161
    call 12: 0804616e6e61
    ");
}

#[test]
fn datagrams_keep_their_bytes() {
    insta::assert_snapshot!(lines("frame", frames()), @"
    frame 0: 01020304000161017a0172000a000001e839090101
    frame 1: 010203040101020304ac02
    frame 2: 0102030402ac02
    frame 3: 010203040301020304ac02
    frame 4: 010203040401010203040506010201ac0201010203040102030101020304050601070809010101020304010203010161017a0172000a000001e839090101010175000a000001e839017a0101020201b0ea0101066f726465727301c0843d01080102030401ac02010102030401020003040506
    frame 5: 0102030405000000000000
    frame 6: 01020304060104030201ac0201040302010700
    frame 7: 01020304070403020101020304010102030401010203040104
    frame 8: 0102030408010102030403010102030405060101020304
    frame 9: 010203040901010203040506070809ac0201
    frame 10: 010203040a01010101
    ");
}
