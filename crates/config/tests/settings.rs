//! Parsing of the settings file, and the reported issues.

use std::time::Duration;

use config::settings::declared;
use config::{Settings, SettingsError};
use yare::parameterized;

const FILE: &str = include_str!("data/settings.toml");

#[test]
fn all_fields_are_parsed() {
    let settings = Settings::parse(FILE).unwrap();
    assert_eq!(&*settings.node_name, "edge-kelaniya-hall-1");
    assert!(settings.serves("edge") && settings.serves("control") && !settings.serves("cellar"));
    assert_eq!(settings.port_range, (7660, 7675));
    assert_eq!(settings.seed_list.len(), 3);
    assert!(settings.bootstrap && settings.in_quorum);
    assert_eq!(settings.data_path.unwrap().to_str(), Some("/data/my-edge"));
    assert_eq!(settings.beat_interval, Duration::from_millis(1300));
    assert_eq!(&*settings.zones["wattala-hall"], "western-prov");
    assert_eq!(settings.control.unwrap().port(), 8407);
    assert_eq!((settings.cpu_share, settings.memory_mb, settings.machine_losses), (0.35, 260, 1));
    assert_eq!(settings.bounds.drain, Duration::from_secs(2));
    assert_eq!((settings.bounds.retry_ratio, settings.bounds.retry_slack), (0.2, 66.0));
    assert_eq!((settings.tuning.lease, &*settings.tuning.log_level), (Duration::from_millis(230), "info"));
}

#[test]
fn detour_translates_only_its_own_address() {
    let file = FILE.replacen("[zones]", "[reachlb]\nways = ['10.0.0.1=10.9.0.1']\n[zones]", 1);
    let detours = Settings::parse(&file).unwrap().tuning.detours;
    let translate = |text: &str| detours.to(text.parse().unwrap()).to_string();
    assert_eq!(
        (translate("10.0.0.1:7"), translate("10.0.0.2:7")),
        ("10.9.0.1:7".into(), "10.0.0.2:7".into())
    );
}

/// The smallest valid file.
const MINIMAL: &str = "
node_name = 'n'
serves = []
ip = '::1'
zone = 'z'
port_range = [7, 7]
seed_list = []
";

#[test]
fn optional_settings_may_be_omitted() {
    let optional =
        "data_path = ''\nlater = { field = 1 }\nbound_table = 'drain_ms=1500.5, seed_lag_s=1,later=x'";
    let settings = Settings::parse(&format!("{MINIMAL}{optional}")).unwrap();
    assert_eq!((settings.data_path, settings.front), (None, None));
    assert_eq!(settings.bounds.drain, Duration::from_micros(1_500_500));
    assert_eq!(settings.bounds.seed_lag, Duration::from_secs(1));
    assert_eq!(settings.bounds.quota_window, Duration::from_secs(5));
}

#[parameterized(
    missing = { "zone = \"kelaniya-hall\"", "", "zone: is missing" },
    kind = { "bootstrap = true", "bootstrap = 1", "bootstrap: expected true or false, found 1" },
    empty = { "\"edge-kelaniya-hall-1\"", "\"\"", "node_name: must not be empty" },
    address = { "10.1.0.5:8406", "10.1.0.5", "bind.readiness: expected an address with a port, found \"10.1.0.5\"" },
    seed = { "10.2.0.3:8407", "seed", "seed_list: expected a list of addresses with ports, found [" },
    range = { "[7660,7675]", "[7675,7660]", "port_range: the first port must be greater than 0" },
    pair = { "[7660,7675]", "[7660]", "port_range: expected a pair of ports, found [7660]" },
    port = { "[7660,7675]", "[7660,70000]", "port_range: expected a pair of ports" },
    share = { "cpu_share = 0.35", "cpu_share = nan", "limits.cpu_share: expected a number, found nan" },
    negative = { "memory_mb = 260", "memory_mb = -1", "limits.memory_mb: expected a non-negative integer, found -1" },
    zero = { "memory_mb = 260", "memory_mb = 0", "limits.memory_mb: must be at least 1" },
    not_a_table = { "[limits]", "[[limits]]", "" },
    bound = { "drain_ms=2000", "drain_ms=soon", "bound_table.drain_ms: expected milliseconds, found \"soon\"" },
    bound_sign = { "grace_s=6", "grace_s=-6", "bound_table.grace_s: expected seconds, found -6" },
    bound_ratio = { "retry_ratio=0.2", "retry_ratio=-1", "bound_table.retry_ratio: must not be negative" },
    no_bound = { "seed_lag_s=3", "seed_lag_s", "bound_table[0]: expected a name=value string, found \"seed_lag_s\"" },
    lease = { "[zones]", "[reachlb]\nlease_ms = 320\n[zones]", "reachlb.lease_ms: must be less than reachlb.election_ms" },
    heartbeat = { "[zones]", "[reachlb]\npulse_ms = 230\n[zones]", "reachlb.pulse_ms: must be less than reachlb.lease_ms" },
    level = { "[zones]", "[reachlb]\nlog_level = 'loud'\n[zones]", "reachlb.log_level: must be off, error" },
    ways = { "[zones]", "[reachlb]\nways = ['10.0.0.1=there']\n[zones]", "reachlb.ways: expected a list of address=address strings" },
    toml = { "[limits]", "[limits", "(document): invalid TOML" },
)]
fn issue_names_its_key(from: &str, to: &str, expected_message: &str) {
    assert!(FILE.contains(from));
    match Settings::parse(&FILE.replacen(from, to, 1)) {
        Err(error) => assert!(
            !expected_message.is_empty() && error.to_string().starts_with(expected_message),
            "{error}"
        ),
        // An array of tables instead of a table is ignored like an unknown field.
        Ok(settings) => assert!(expected_message.is_empty() && settings.memory_mb == 256),
    }
}

#[test]
fn all_issues_are_reported_at_once() {
    let Err(SettingsError::Invalid(issues)) = Settings::parse("bootstrap = 2\n[limits]\nmax_fds = 'x'")
    else {
        panic!("the settings were accepted");
    };
    let keys: Vec<_> = issues.iter().map(|issue| &*issue.key).collect();
    let missing = ["node_name", "serves", "ip", "zone", "port_range", "seed_list"];
    assert_eq!(keys, [&missing[..], &["bootstrap", "limits.max_fds"]].concat());
    assert!(matches!(Settings::read("/nowhere/at/all"), Err(SettingsError::File { .. })));
}

#[test]
fn every_default_passes_its_check() {
    let values = declared().filter(|setting| !["required", "empty"].contains(&setting.default));
    for setting in values {
        let (table, key) = setting.key.split_once('.').unwrap_or(("", setting.key));
        let text = match table {
            "" => format!("{MINIMAL}{key} = {}", setting.default),
            "bound_table" => format!("{MINIMAL}bound_table = ['{key}={}']", setting.default),
            _ => format!("{MINIMAL}[{table}]\n{key} = {}", setting.default),
        };
        assert_eq!(Settings::parse(&text).unwrap(), Settings::parse(MINIMAL).unwrap(), "{setting}");
    }
    assert_eq!(
        declared().find(|setting| setting.key == "reachlb.pulse_ms").unwrap().to_string(),
        "reachlb.pulse_ms (milliseconds; 60): Interval between heartbeats of the leader and of processes with updates to send."
    );
}
