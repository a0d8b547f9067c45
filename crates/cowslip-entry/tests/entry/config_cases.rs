//! Lookups of routes, services by weight, and keys.

use cowslip_entry::{FleetConfig, RouteTarget, TeamRule};
use cowslip_units::TeamId;
use rstest::rstest;

use crate::fixtures::{route, service_id};

/// Guards against a request that is routed by a shorter prefix, or by another host's route.
#[rstest]
#[case("a.example", "/x/y/z", Some("long"))]
#[case("a.example", "/x/q", Some("short"))]
#[case("b.example", "/x/y/z", Some("other"))]
#[case("a.example", "/xx", None)]
#[case("c.example", "/x/", None)]
fn the_longest_prefix_of_the_host_is_used(
    #[case] host: &str,
    #[case] path: &str,
    #[case] expected: Option<&str>,
) {
    let routes = vec![
        route("a.example", "/x/", "short"),
        route("a.example", "/x/y/", "long"),
        route("b.example", "/x/", "other"),
    ];
    let config = FleetConfig::new(1).with_routes(routes);
    let found =
        config.route(host, path).and_then(|route| route.target(0)).map(|service| service.as_str().to_owned());
    assert_eq!(found.as_deref(), expected);
}

/// Guards against a split of requests that ignores the weights.
#[test]
fn services_get_requests_by_weight() {
    let mut split = route("a.example", "/x/", "big");
    split.targets = vec![
        RouteTarget { service: service_id("big"), weight: 90 },
        RouteTarget { service: service_id("small"), weight: 10 },
    ];
    let small =
        (0..1_000).filter(|draw| split.target(*draw).is_some_and(|service| service.as_str() == "small"));
    assert_eq!(small.count(), 100);
}

fn team(name: &str, keys: &[&str]) -> TeamRule {
    TeamRule {
        name: TeamId::new(name).expect("team name"),
        keys: keys.iter().map(|key| (*key).into()).collect(),
        priority: None,
        counts_tokens: true,
        plain_tokens: 200,
        per_s: 100,
        burst: 100,
    }
}

/// Guards against a key that authenticates another team, or that is still valid when it is not listed.
#[test]
fn a_key_authenticates_only_its_team() {
    let config = FleetConfig::new(1).with_teams(vec![team("t2", &["k2", "k1"]), team("t1", &["k3"])]);
    let name = |key: &str| config.team_of_key(key).map(|team| team.name.as_str().to_owned());
    assert_eq!(name("k1").as_deref(), Some("t2"));
    assert_eq!(name("k3").as_deref(), Some("t1"));
    assert_eq!(name("k"), None);
    assert_eq!(name(""), None);
}

/// Guards against requests without a token count that are not charged.
#[test]
fn a_request_without_a_count_is_charged_the_plain_amount() {
    let team = team("t", &[]);
    assert_eq!(team.charge(None), 200);
    assert_eq!(team.charge(Some(1_460)), 1_460);
    assert_eq!(TeamRule { counts_tokens: false, ..team }.charge(Some(1_460)), 1);
}
