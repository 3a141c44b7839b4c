//! The route table: which tables are rejected, and how requests are looked up.

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

fn table(routes: Vec<Route>) -> RouteTable {
    RouteTable { revision: 1, routes, services: vec![service("desk")], ..RouteTable::default() }
}

#[test]
fn a_valid_table_is_accepted() {
    let both = vec![route("a", "one", "/x/"), route("b", "one", "/x/y/")];
    assert_eq!(table(both).validate(), Ok(()));
}

#[test]
fn every_invalid_table_is_rejected() {
    let mut unknown = route("a", "one", "/x/");
    unknown.targets = vec![Target { service: "nowhere".into(), weight: 1 }];
    let mut zero_weight = route("a", "one", "/x/");
    zero_weight.targets = vec![Target { service: "desk".into(), weight: 0 }];
    let mut zero_timeout = route("a", "one", "/x/");
    zero_timeout.timeout = Duration::ZERO;
    let duplicate_routes = vec![route("a", "one", "/x/"), route("b", "ONE", "/x/")];
    let mut shared_key = table(vec![]);
    shared_key.teams = vec![team("red", "k"), team("blue", "k")];

    let cases = [
        (table(vec![unknown]), ValidationError::UnknownService("a".into(), "nowhere".into())),
        (table(vec![zero_weight]), ValidationError::ZeroWeight("a".into())),
        (table(vec![zero_timeout]), ValidationError::ZeroTimeout("a".into())),
        (table(duplicate_routes), ValidationError::DuplicateRoute("a".into(), "b".into())),
        (shared_key, ValidationError::DuplicateKey(Team::from("red"), Team::from("blue"))),
    ];
    for (table, error) in cases {
        assert_eq!(table.validate(), Err(error));
    }
}

#[test]
fn the_longest_matching_prefix_is_found() {
    let routes = vec![
        route("short", "one", "/x/"),
        route("long", "one", "/x/y/"),
        route("other", "two", "/x/y/z/"),
    ];
    let index = Index::new(Arc::new(table(routes)));
    let found = |host, path| index.route(host, path).map(|route| route.name.to_string());
    assert_eq!(found("one", "/x/y/z/1").as_deref(), Some("long"));
    assert_eq!(found("ONE:8080", "/x/1?q=/x/y/").as_deref(), Some("short"));
    assert_eq!(found("one", "/x"), None, "the prefix ends with a slash");
    assert_eq!(found("one", "/xy/"), None);
    assert_eq!(found("three", "/x/y/"), None);
}

#[test]
fn a_key_finds_only_its_team() {
    let mut table = table(vec![]);
    table.teams = vec![team("red", "r"), team("blue", "b")];
    let index = Index::new(Arc::new(table));
    assert_eq!(index.team("b").map(|team| team.name.as_str()), Some("blue"));
    assert!(index.team("x").is_none());
}

#[test]
fn team_priority_precedes_route_priority() {
    // Guards against a team whose most urgent routes are refused while its least urgent ones are
    // served: where engines are too few, requests of all its routes wait in one queue, which grows
    // to what the longest objective allows, if the rank depends on the team's priority alone.
    let mut routes = vec![route("draft", "one", "/d/"), route("check", "one", "/c/")];
    routes[1].priority = 1;
    let mut table = table(routes);
    table.teams = vec![team("gold", "g"), team("plain", "p"), team("open", "o")];
    table.teams[0].priority = Some(0);
    table.teams[1].priority = Some(2);
    let index = Index::new(Arc::new(table));
    let rank = |path, key| {
        index.rank(index.route("one", path).expect("the route exists"), index.team(key))
    };
    assert!(rank("/d/", "g") < rank("/c/", "g"));
    assert!(rank("/c/", "g") < rank("/d/", "p"));
    assert!(rank("/d/", "p") < rank("/c/", "p"));
    assert!(
        rank("/d/", "o") < rank("/c/", "o"),
        "without a team priority, only the route's counts"
    );
}

#[test]
fn ranks_stay_within_the_supported_range() {
    let mut table = table((0..8).map(|it| route(&it.to_string(), "one", "/x/")).collect());
    for (priority, route) in (0..).zip(&mut table.routes) {
        (route.priority, route.prefix) = (priority, format!("/{priority}/").into());
    }
    table.teams = (0..8).map(|it| team(&it.to_string(), &it.to_string())).collect();
    for (priority, team) in (0..).zip(&mut table.teams) {
        team.priority = Some(priority);
    }
    let index = Index::new(Arc::new(table));
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
