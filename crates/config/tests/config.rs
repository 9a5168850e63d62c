//! Parsing of the operator's configuration: rejected documents and the path of each issue, route selection, digests
//! and differences.

use std::time::Duration;

use config::{Config, ConfigError, Version, diff};
use serde_json::{Value, json};
use yare::parameterized;

const EXAMPLE: &str = include_str!("data/config.json");

fn example() -> Value {
    serde_json::from_str(EXAMPLE).unwrap()
}

/// The example with one value replaced, or removed if `value` is `None`.
fn with_value(pointer: &str, value: Option<Value>) -> Vec<u8> {
    let mut body = example();
    let (table, name) = pointer.rsplit_once('/').unwrap();
    let table = body.pointer_mut(table).unwrap().as_object_mut().unwrap();
    match value {
        Some(value) => table.insert(name.to_owned(), value),
        None => table.remove(name),
    };
    body.to_string().into_bytes()
}

fn parse(value: &Value) -> Config {
    Config::parse(value.to_string().as_bytes()).unwrap()
}

#[test]
fn all_fields_are_parsed() {
    let config = Config::parse(EXAMPLE.as_bytes()).unwrap();
    assert_eq!((config.version, config.version.to_string()), (Version(7), "r7".to_owned()));
    let route = config.route("ficu95.example", "/lohu930/2f").unwrap();
    assert!(&*route.label == "r-y35ieis" && route.pure && !route.public);
    assert_eq!((route.deadline, route.goal), (Duration::from_millis(2500), Duration::from_millis(400)));
    assert_eq!((route.rank, route.max_tries), (2, 2));
    assert_eq!(route.targets, [("huvo11a".into(), 90), ("wuno96b".into(), 10)]);
    assert_eq!((config.services["wuno96b"].max_conns, config.limits.max_header_bytes), (140, 16384));
    let tenant = config.tenant("s989anu6wsjnbanfqasn").unwrap();
    assert!(&*tenant.label == "huka270" && tenant.rank == Some(1) && tenant.rate_per_s == 146.0);
    assert!(config.requires_keys() && config.tenant("other").is_none());
}

#[parameterized(
    no_generation = { "/generation", None, "generation: is missing" },
    no_routes = { "/route_table", None, "route_table: is missing" },
    no_limits = { "/limits", None, "limits: is missing" },
    no_limit = { "/limits/header_wait_ms", None, "limits.header_wait_ms: is missing" },
    version = { "/generation", Some(json!("r-7")), "generation: a version is written" },
    version_kind = { "/generation", Some(json!(7)), "generation: wants a text and has a number" },
    list = { "/route_table", Some(json!([])), "route_table: wants a table and has a list" },
    route = { "/route_table/r-puxsr7i", Some(json!("x")), "route_table.r-puxsr7i: wants a table and has a text" },
    target = { "/route_table/r-puxsr7i/target", Some(json!("x")), "route_table.r-puxsr7i.target: names a service" },
    no_target = { "/route_table/r-puxsr7i/target", None, "route_table.r-puxsr7i.target: is missing" },
    both = { "/route_table/r-y35ieis/target", Some(json!("huvo11a")), "route_table.r-y35ieis: has both" },
    weighted = { "/route_table/r-y35ieis/weighted", Some(json!([{"target": "x", "share": 1}])),
        "route_table.r-y35ieis.weighted[0].target: names a service" },
    no_shares = { "/route_table/r-y35ieis/weighted", Some(json!([{"target": "huvo11a", "share": 0}])),
        "route_table.r-y35ieis.weighted: has shares that add up to 0" },
    no_weights = { "/route_table/r-y35ieis/weighted", Some(json!([])), "route_table.r-y35ieis.weighted: has shares" },
    share = { "/route_table/r-y35ieis/weighted", Some(json!([{"target": "huvo11a", "share": -1}])),
        "route_table.r-y35ieis.weighted[0].share: wants a whole number from 0 and has -1" },
    deadline = { "/route_table/r-y35ieis/deadline_ms", Some(json!(0)), "route_table.r-y35ieis.deadline_ms: is 0" },
    long = { "/route_table/r-y35ieis/deadline_ms", Some(json!(600_001)),
        "route_table.r-y35ieis.deadline_ms: is over ten minutes" },
    goal = { "/route_table/r-y35ieis/goal_ms", Some(json!(62_500)), "route_table.r-y35ieis.goal_ms: lies a minute" },
    authority = { "/route_table/r-y35ieis/authority", Some(json!("")), "route_table.r-y35ieis.authority: is empty" },
    prefix = { "/route_table/r-y35ieis/path_prefix", Some(json!("/a")), "route_table.r-y35ieis.path_prefix: does not" },
    same = { "/route_table/r-y35ieis/path_prefix", Some(json!("/pufi791/")), "route_table.r-y35ieis: has the host" },
    variant = { "/route_table/r-y35ieis/variant", Some(json!("odd")), "route_table.r-y35ieis.variant: is neither" },
    public = { "/route_table/r-y35ieis/public", Some(json!("no")), "route_table.r-y35ieis.public: wants true or" },
    conns = { "/service_table/huvo11a/max_conns", Some(json!(1.5)), "service_table.huvo11a.max_conns: wants a whole" },
    large = { "/service_table/huvo11a/max_conns", Some(json!(5e9)), "service_table.huvo11a.max_conns: is too large" },
    rate = { "/tenant_table/huka270/rate_per_s", Some(json!(-0.5)), "tenant_table.huka270.rate_per_s: wants a number" },
    shared = { "/tenant_table/other", Some(json!({"api_keys": ["y", "2b9wu3fexd9dnn2ctnfz"]})),
        "tenant_table.other.api_keys[1]: is a key of tenant `huka270` as well" },
    no_keys = { "/tenant_table/other", Some(json!({})), "tenant_table.other.api_keys: is missing" },
)]
fn invalid_document_is_rejected_with_path(pointer: &str, value: Option<Value>, expected_message: &str) {
    let error = Config::parse(&with_value(pointer, value)).unwrap_err();
    assert!(error.to_string().starts_with(expected_message), "{error}");
    assert_eq!(error.to_string().lines().count(), 1, "{error}");
}

#[parameterized(
    edge_of_deadline = { "/route_table/r-y35ieis/deadline_ms", Some(json!(600_000)) },
    edge_of_goal = { "/route_table/r-y35ieis/goal_ms", Some(json!(62_499)) },
    own_key_twice = { "/tenant_table/huka270/api_keys", Some(json!(["a", "a"])) },
    no_quota = { "/tenant_table/other", Some(json!({"api_keys": [], "rank": null})) },
    no_rank = { "/route_table/r-y35ieis/rank", None },
    not_public = { "/route_table/r-y35ieis/public", None },
    no_tenants = { "/tenant_table", None },
    no_routes = { "/route_table", Some(json!({})) },
    float = { "/limits/max_body_bytes", Some(json!(1e6)) },
    unknown = { "/limits/later", Some(json!([{}])) },
)]
fn valid_document_is_accepted(pointer: &str, value: Option<Value>) {
    Config::parse(&with_value(pointer, value)).unwrap();
}

#[parameterized(
    cut = { &EXAMPLE[..EXAMPLE.len() - 4], "(document): cannot be read whole" },
    trailing = { &format!("{EXAMPLE} x"), "(document): cannot be read whole" },
    nothing = { "", "(document): cannot be read whole" },
    too_deep = { &"[".repeat(100_000), "(document): cannot be read whole" },
    infinite = { &EXAMPLE.replace("\"rate_per_s\": 146", "\"rate_per_s\": 1e999"), "(document): cannot be read whole" },
    no_services = { &EXAMPLE.replace("service_table", "later"), "service_table: is missing" },
    no_table = { "[]", "(document): wants a table and has a list" },
    twice = { &EXAMPLE.replace("wuno96b\": {", "huvo11a\": {"), "service_table.huvo11a: stands twice in its table" },
    field_twice = { &EXAMPLE.replacen("\"rank\"", "\"rank\": 0, \"rank\"", 1), "route_table.r-y35ieis.rank: stands twice" },
)]
fn malformed_document_is_rejected(body: &str, expected_message: &str) {
    let error = Config::parse(body.as_bytes()).unwrap_err();
    assert!(error.to_string().starts_with(expected_message), "{error}");
}

#[test]
fn number_of_listed_issues_is_limited() {
    let routes: serde_json::Map<_, _> = (0..90).map(|n| (format!("r{n}"), json!([]))).collect();
    let Err(ConfigError::Invalid { lines, omitted }) =
        Config::parse(&with_value("/route_table", Some(routes.into())))
    else {
        panic!("the document was accepted");
    };
    assert_eq!((lines.len(), omitted), (20, 70));
}

#[parameterized(
    longest = { "a.example", "/x/y/z", Some("/x/y/") },
    shorter = { "a.example", "/x/yy", Some("/x/") },
    root = { "a.example", "/x", Some("/") },
    exact = { "a.example", "/x/y/", Some("/x/y/") },
    case_and_port = { "A.Example:8405", "/x/y/z", Some("/x/y/") },
    case_of_path = { "a.example", "/X/y/z", Some("/") },
    query = { "a.example", "/x?/x/y/", Some("/") },
    other_letters = { "a.example", "/\u{e9}\u{e9}\u{e9}", Some("/") },
    other_host = { "b.example", "/x/", None },
    bracketed = { "[::1]:80", "/v/6", Some("/v/") },
    no_host = { "", "/", None },
    no_path = { "a.example", "", None },
)]
fn longest_matching_prefix_selects_the_route(host: &str, path: &str, prefix: Option<&str>) {
    let route = |host: &str, prefix: &str| {
        json!({"authority": host, "path_prefix": prefix, "variant": "pure", "deadline_ms": 1, "goal_ms": 1,
            "target": "huvo11a", "max_tries": 1})
    };
    let table = json!({"1": route("A.example", "/"), "2": route("a.example", "/x/"), "3": route("a.example", "/x/y/"),
        "4": route("[::1]", "/v/")});
    let config = Config::parse(&with_value("/route_table", Some(table))).unwrap();
    assert_eq!(config.route(host, path).map(|route| &*route.path_prefix), prefix);
}

#[test]
fn digest_identifies_equal_documents() {
    let digest = |body: &[u8]| Config::parse(body).unwrap().digest();
    let first = digest(EXAMPLE.as_bytes());
    assert_eq!(first, digest(example().to_string().as_bytes()));
    assert_eq!(first, digest(EXAMPLE.replace("146", "146.0").replace("huka270", "h\\u0075ka270").as_bytes()));
    assert_ne!(first, digest(&with_value("/later", Some(json!(1)))));
    assert_ne!(first, digest(&with_value("/tenant_table/huka270/burst_size", Some(json!(147)))));
}

#[parameterized(
    written = { "r12", Some(12) },
    base_of_the_first = { "0", Some(0) },
    sign = { "r+1", None },
    nothing = { "r", None },
    too_large = { "r99999999999999999999", None },
)]
fn version_is_parsed(text: &str, version: Option<u64>) {
    assert_eq!(text.parse::<Version>().ok(), version.map(Version));
}

#[test]
fn differences_are_listed_in_lines() {
    let before = parse(&example());
    let mut changed = example();
    changed["generation"] = json!("r9");
    changed["route_table"]["r-new"] = changed["route_table"]["r-puxsr7i"].take();
    changed["route_table"].as_object_mut().unwrap().remove("r-puxsr7i");
    changed["route_table"]["r-y35ieis"]["goal_ms"] = json!(500);
    changed["service_table"]["huvo11a"]["max_conns"] = json!(9);
    changed["tenant_table"]["huka270"]["api_keys"][0] = json!("n");
    let expected = [
        "version: r7 -> r9",
        "route r-puxsr7i removed",
        "route r-new added",
        "route r-y35ieis changed: goal 400ms -> 500ms",
        "service huvo11a changed: max_conns 140 -> 9",
        "tenant huka270 changed: api_keys 1 added, 1 removed",
    ];
    assert_eq!(diff(&before, &parse(&changed)), expected);
    assert_eq!(diff(&before, &before), [""; 0]);
}

#[test]
fn digest_does_not_depend_on_number_notation() {
    let digest = |burst: &str| {
        let text = example().to_string().replace("\"burst_size\":146", &format!("\"burst_size\":{burst}"));
        Config::parse(text.as_bytes()).unwrap().digest()
    };
    for numerator in 1..500 {
        let burst = f64::from(numerator) / 7.0;
        let first = digest(&burst.to_string());
        // Libraries differ: some always write 17 digits, others an exponent.
        for notation in
            [format!("{burst:e}"), format!("{burst:.16e}"), format!("{burst:.20}"), format!("{burst:.1}000")]
        {
            let same = notation.parse::<f64>().unwrap().to_bits() == burst.to_bits();
            assert_eq!(first == digest(&notation), same, "{burst} and {notation}");
        }
    }
}

/// Snapshots of deployed versions contain these digests. If the computation changed, resubmissions of accepted
/// configurations would be rejected.
#[test]
fn digest_matches_deployed_versions() {
    let digest: String =
        Config::parse(EXAMPLE.as_bytes()).unwrap().digest().iter().map(|b| format!("{b:02x}")).collect();
    assert_eq!(digest, "f371ec1e017c77d3b563a4d1bd18bff10f808c2bc6767e0b07e6ec9d4fbd5372");
    let (version, identified) = Config::identify(EXAMPLE.as_bytes()).unwrap();
    assert_eq!((version, identified), (Version(7), Config::parse(EXAMPLE.as_bytes()).unwrap().digest()));
}
