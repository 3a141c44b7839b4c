//! The route table: what is refused, and what a request finds in it.

use std::sync::Arc;
use std::time::Duration;

use verbenaslip_base::name::Team;
use verbenaslip_fleet::index::Index;
use verbenaslip_fleet::route_table::{
    RequestKind, Route, RouteTable, Service, Target, TeamConfig, ValidationError,
};

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: host.into(),
        prefix: prefix.into(),
        kind: RequestKind::Repeatable,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(100),
        max_event_gap: Duration::from_millis(100),
        priority: 0,
        targets: vec![Target { service: "desk".into(), weight: 1 }],
        max_attempts: 1,
        public: false,
    }
}

fn service(name: &str) -> Service {
    let (name, health) = (name.into(), "/".into());
    Service { name, health_path: health, max_connections: 10, engine: None, scaling: None }
}

fn team(name: &str, key: &str) -> TeamConfig {
    TeamConfig { name: Team::from(name), keys: vec![key.into()], priority: None, quota: None }
}

fn sheet(routes: Vec<Route>) -> RouteTable {
    RouteTable { revision: 1, routes, services: vec![service("desk")], ..RouteTable::default() }
}

#[test]
fn a_table_that_can_be_in_force_is_taken() {
    let both = vec![route("a", "one", "/x/"), route("b", "one", "/x/y/")];
    assert_eq!(sheet(both).validate(), Ok(()));
}

#[test]
fn every_invalid_form_is_refused() {
    let mut unknown = route("a", "one", "/x/");
    unknown.targets = vec![Target { service: "nowhere".into(), weight: 1 }];
    let mut weightless = route("a", "one", "/x/");
    weightless.targets = vec![Target { service: "desk".into(), weight: 0 }];
    let mut timeless = route("a", "one", "/x/");
    timeless.timeout = Duration::ZERO;
    let twice = vec![route("a", "one", "/x/"), route("b", "ONE", "/x/")];
    let mut shared = sheet(vec![]);
    shared.teams = vec![team("red", "k"), team("blue", "k")];

    let cases = [
        (sheet(vec![unknown]), ValidationError::UnknownService("a".into(), "nowhere".into())),
        (sheet(vec![weightless]), ValidationError::ZeroWeight("a".into())),
        (sheet(vec![timeless]), ValidationError::ZeroTimeout("a".into())),
        (sheet(twice), ValidationError::DuplicateRoute("a".into(), "b".into())),
        (shared, ValidationError::DuplicateKey(Team::from("red"), Team::from("blue"))),
    ];
    for (sheet, problem) in cases {
        assert_eq!(sheet.validate(), Err(problem));
    }
}

#[test]
fn the_longest_prefix_of_the_host_is_found() {
    let routes = vec![
        route("short", "one", "/x/"),
        route("long", "one", "/x/y/"),
        route("other", "two", "/x/y/z/"),
    ];
    let index = Index::new(Arc::new(sheet(routes)));
    let found = |host, path| index.route(host, path).map(|route| route.name.to_string());
    assert_eq!(found("one", "/x/y/z/1").as_deref(), Some("long"));
    assert_eq!(found("ONE:8080", "/x/1?q=/x/y/").as_deref(), Some("short"));
    assert_eq!(found("one", "/x"), None, "the prefix ends with a slash");
    assert_eq!(found("one", "/xy/"), None);
    assert_eq!(found("three", "/x/y/"), None);
}

#[test]
fn a_key_finds_its_team_only() {
    let mut sheet = sheet(vec![]);
    sheet.teams = vec![team("red", "r"), team("blue", "b")];
    let index = Index::new(Arc::new(sheet));
    assert_eq!(index.team("b").map(|team| team.name.as_str()), Some("blue"));
    assert!(index.team("x").is_none());
}

#[test]
fn a_team_s_priority_goes_before_a_route_s_and_a_route_s_decides_within_a_team() {
    // Symptom: where engines are too few, the most urgent routes of a team are refused and its least
    // urgent ones served. Sequence: requests of all its routes wait in one queue, which grows to what
    // the longest objective allows. Cause: a rank made of the team's priority alone.
    let mut routes = vec![route("draft", "one", "/d/"), route("check", "one", "/c/")];
    routes[1].priority = 1;
    let mut sheet = sheet(routes);
    sheet.teams = vec![team("gold", "g"), team("plain", "p"), team("open", "o")];
    sheet.teams[0].priority = Some(0);
    sheet.teams[1].priority = Some(2);
    let index = Index::new(Arc::new(sheet));
    let rank = |path, key| index.rank(index.route("one", path).expect("a route"), index.team(key));
    assert!(rank("/d/", "g") < rank("/c/", "g"));
    assert!(rank("/c/", "g") < rank("/d/", "p"));
    assert!(rank("/d/", "p") < rank("/c/", "p"));
    assert!(rank("/d/", "o") < rank("/c/", "o"), "no priority of the team: the route's alone");
}

#[test]
fn ranks_stay_within_those_that_upstreams_know() {
    let mut sheet = sheet((0..8).map(|it| route(&it.to_string(), "one", "/x/")).collect());
    for (priority, route) in (0..).zip(&mut sheet.routes) {
        (route.priority, route.prefix) = (priority, format!("/{priority}/").into());
    }
    sheet.teams = (0..8).map(|it| team(&it.to_string(), &it.to_string())).collect();
    for (priority, team) in (0..).zip(&mut sheet.teams) {
        team.priority = Some(priority);
    }
    let index = Index::new(Arc::new(sheet));
    let ranks: Vec<u8> = index
        .route_table()
        .teams
        .iter()
        .flat_map(|team| {
            index.route_table().routes.iter().map(|route| index.rank(route, Some(team)))
        })
        .collect();
    assert!(ranks.is_sorted());
    assert_eq!((ranks.first(), ranks.last()), (Some(&0), Some(&9)));
}
