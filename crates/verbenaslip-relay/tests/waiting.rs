//! The order and the bounds of the requests that wait at an entry.

use std::collections::BTreeMap;
use std::time::Duration;

use verbenaslip_base::name::Team;
use verbenaslip_relay::policy::waiting::{
    MAX_BODY_BYTES, MAX_REQUESTS, MAX_SERVICE_REQUESTS, QUANTUM, Request, Ticket, WaitingQueue,
};

/// Largest prompt of the deployments, in tokens.
const LONG_PROMPT: u64 = 9_190;

fn request(team: u64, prompt_tokens: u64) -> Request {
    Request {
        service: "pool".into(),
        rank: 1,
        team: Some(Team::new(format!("team-{team}"))),
        prompt_tokens,
        start_by: Duration::from_secs(1),
        body_bytes: 100,
    }
}

fn push(queue: &mut WaitingQueue, request: Request) -> Ticket {
    queue.push(request).expect("room")
}

fn send_next(queue: &mut WaitingQueue) -> Ticket {
    let ticket = queue.next("pool").expect("a waiting request");
    queue.remove_sent(ticket);
    ticket
}

/// Guards against a team that sends six times its usual load and thereby makes the requests of
/// other teams wait. Load: 0.2 requests a step from each of three teams and 1.2 from the fourth,
/// with upstreams that take one a step; requests are refused after 19 steps (187 ms of 10 ms each).
#[test]
fn team_at_six_times_its_load_does_not_delay_other_teams_beyond_their_share() {
    const HOLDING_STEPS: u64 = 19;
    let mut queue = WaitingQueue::default();
    let mut waiting = BTreeMap::new();
    let mut longest_wait = 0;
    for step in 0..2_000 {
        let arrivals = (0..4).filter(|team| step % 5 == *team);
        let arrivals = arrivals.chain(std::iter::repeat_n(3, [1, 1, 1, 0, 2][step as usize % 5]));
        for team in arrivals {
            waiting.insert(push(&mut queue, request(team, 2_368)), (team, step));
        }
        if let Some(ticket) = queue.next("pool") {
            queue.remove_sent(ticket);
            let (team, since) = waiting.remove(&ticket).expect("a waiting request");
            longest_wait = longest_wait.max(if team == 3 { 0 } else { step - since });
        }
        let expired = waiting.extract_if(.., |_, (_, since)| step - *since >= HOLDING_STEPS);
        for (ticket, (team, _)) in expired {
            assert_eq!(team, 3, "a team within its share was refused at step {step}");
            queue.remove(ticket);
        }
    }
    // One turn of each of the three other teams, of at most two requests each.
    assert!(longest_wait <= 6, "{longest_wait} steps");
}

/// Guards against a share by requests instead of tokens, and against long prompts that never go
/// while short ones keep arriving. Load: four teams that always have requests waiting, three with
/// 715 tokens and one with 9,190.
#[test]
fn teams_send_the_same_tokens_whatever_the_size_of_their_prompts() {
    let mut queue = WaitingQueue::default();
    let mut teams = BTreeMap::new();
    let mut sent = BTreeMap::from([(0, 0), (1, 0), (2, 0), (3, 0)]);
    let tokens = |team: u64| if team == 0 { LONG_PROMPT } else { 715 };
    for team in 0..4 {
        for _ in 0..2 {
            teams.insert(push(&mut queue, request(team, tokens(team))), team);
        }
    }
    for _ in 0..1_000 {
        let team = teams[&send_next(&mut queue)];
        *sent.entry(team).or_default() += tokens(team);
        teams.insert(push(&mut queue, request(team, tokens(team))), team);
        let (least, most) = (sent.values().min().copied(), sent.values().max().copied());
        assert!(most <= least.map(|it| it + LONG_PROMPT + 2 * QUANTUM), "{sent:?}");
    }
}

/// Guards against urgent requests behind others, and against requests that miss their time although
/// an earlier one of the same team had more time left. Load: a backlog of one team.
#[test]
fn urgent_requests_go_first_then_those_that_must_start_first() {
    let mut queue = WaitingQueue::default();
    let later = push(&mut queue, Request { start_by: Duration::from_secs(9), ..request(0, 700) });
    let sooner = push(&mut queue, request(0, LONG_PROMPT));
    assert_eq!(queue.next("pool"), Some(sooner));
    let urgent = push(&mut queue, Request { rank: 0, ..request(1, LONG_PROMPT) });
    assert_eq!((queue.ahead("pool", 0), queue.len("pool")), (1, 3));
    assert_eq!([(); 3].map(|()| send_next(&mut queue)), [urgent, sooner, later]);
    assert!(queue.is_empty("pool"));
}

/// Guards against a queue that takes all memory, and against places that stay taken after the
/// caller has left. Load: more requests and longer bodies than each of the three bounds allows.
#[test]
fn bounds_hold_and_a_caller_that_leaves_frees_its_place() {
    let mut queue = WaitingQueue::default();
    let of_service = |number: usize| Request {
        service: format!("service-{}", number / MAX_SERVICE_REQUESTS).into(),
        ..request(0, 700)
    };
    let tickets: Vec<Ticket> =
        (0..MAX_SERVICE_REQUESTS).map(|it| push(&mut queue, of_service(it))).collect();
    assert_eq!(queue.push(of_service(0)), None, "the bound of one service");
    queue.remove(tickets[7]);
    push(&mut queue, of_service(0));
    for number in MAX_SERVICE_REQUESTS..MAX_REQUESTS {
        push(&mut queue, of_service(number));
    }
    assert_eq!(queue.push(of_service(MAX_REQUESTS)), None, "the bound of all services");

    let mut queue = WaitingQueue::default();
    let large = Request { body_bytes: MAX_BODY_BYTES, ..request(0, 700) };
    let ticket = push(&mut queue, large.clone());
    assert_eq!(queue.push(request(1, 700)), None, "the bound of bodies");
    queue.remove(ticket);
    push(&mut queue, large);
}

/// Guards against an entry that is kept busy by a wrong token count. Load: the largest number that
/// a caller can state, before a request of another team.
#[test]
fn absurd_token_count_neither_blocks_nor_overflows_the_queue() {
    let mut queue = WaitingQueue::default();
    let absurd = push(&mut queue, request(0, u64::MAX));
    let normal = push(&mut queue, request(1, 700));
    assert_eq!([(); 2].map(|()| send_next(&mut queue)), [normal, absurd]);
}
