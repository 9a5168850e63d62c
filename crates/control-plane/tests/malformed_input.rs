//! Fuzzes all parsers of external bytes with slightly damaged input: none panics, error messages are short, and
//! accepted input is parsed the same again.

use config::{Config, Settings};
use control_plane::{Call, Change, ConfigHistory, ENDPOINTS, LogPosition};
use fault_injection::mutate::Mutator;
use hyper::header::{HeaderMap, HeaderValue};
use protocol::{Backend, ConfigDelta, ConfigId, Heartbeat, Hello, Message, Phase, Plane, frame, unframe};

/// Number of mutated inputs for each parser: some seconds, even on a slow machine.
const INPUTS_PER_PARSER: usize = 3000;
/// Maximum length of an error message, in bytes.
const MAX_ERROR_BYTES: usize = 64 * 1024;

fn corpus(names: &[&str]) -> Vec<Vec<u8>> {
    let directory = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/corpus");
    let config = concat!(env!("CARGO_MANIFEST_DIR"), "/../config/tests/data");
    let read = |name: &&str| {
        let near = std::fs::read(format!("{directory}/{name}"));
        near.or_else(|_| std::fs::read(format!("{config}/{name}"))).expect("a corpus file")
    };
    names.iter().map(read).collect()
}

/// Feeds mutated inputs to a parser that returns whether it accepted the input; some are accepted, most are not.
fn fuzz(seed: u64, corpus: Vec<Vec<u8>>, mut read: impl FnMut(&[u8]) -> bool) {
    corpus.iter().for_each(|whole| assert!(read(whole), "{}", String::from_utf8_lossy(whole)));
    let mut mutator = Mutator::new(seed, corpus);
    let accepted = (0..INPUTS_PER_PARSER).filter(|_| read(&mutator.next_input())).count();
    assert!((1..INPUTS_PER_PARSER).contains(&accepted), "{accepted} of {INPUTS_PER_PARSER} were accepted");
}

#[test]
fn configurations_are_rejected_or_parse_the_same_again() {
    fuzz(1, corpus(&["config.json"]), |bytes| match Config::parse(bytes) {
        Ok(config) => {
            assert_eq!(
                Config::parse(bytes).expect("an accepted body is accepted again").version,
                config.version
            );
            true
        }
        Err(fault) => {
            assert!(fault.to_string().len() < MAX_ERROR_BYTES, "error of {} bytes", fault.to_string().len());
            false
        }
    });
}

#[test]
fn settings_are_rejected_or_valid() {
    fuzz(2, corpus(&["settings.toml"]), |bytes| match Settings::parse(&String::from_utf8_lossy(bytes)) {
        Ok(settings) => {
            assert!(settings.port_range.0 > 0 && !settings.node_name.is_empty());
            true
        }
        Err(fault) => {
            assert!(fault.to_string().len() < MAX_ERROR_BYTES);
            false
        }
    });
}

#[test]
fn heartbeats_are_rejected_or_valid() {
    let heartbeat = ENDPOINTS
        .iter()
        .find(|endpoint| endpoint.path == "/Backends.Heartbeat/")
        .expect("the endpoint exists");
    fuzz(3, corpus(&["beat.json", "beat-draining.json"]), |bytes| {
        match (heartbeat.parse)("i-1", &HeaderMap::new(), bytes) {
            Ok(Call::Heartbeat(backend)) => {
                assert!(backend.capacity > 0 && backend.address.parse::<std::net::SocketAddr>().is_ok());
                assert!(backend.warmup_left_ms <= 600_000);
                true
            }
            Ok(_) => panic!("a heartbeat became another call"),
            Err(_) => false,
        }
    });
}

#[test]
fn odd_ids_and_headers_do_not_panic() {
    let mut mutator = Mutator::new(4, [b"r12".to_vec(), b"limit=5&after=r3".to_vec(), b"i-0a1b2c".to_vec()]);
    for _ in 0..INPUTS_PER_PARSER {
        let (id, base, body) = (mutator.next_input(), mutator.next_input(), mutator.next_input());
        let mut headers = HeaderMap::new();
        if let Ok(value) = HeaderValue::from_bytes(&base) {
            headers.insert("x-base-version", value);
        }
        for endpoint in &ENDPOINTS {
            let _ = (endpoint.parse)(&String::from_utf8_lossy(&id), &headers, &body);
        }
    }
}

fn backend(id: &str, count: u64) -> Backend {
    Backend {
        id: id.into(),
        service: "customs".into(),
        address: "10.0.0.1:80".into(),
        zone: "north".into(),
        generation: "v1".into(),
        capacity: 6,
        phase: Phase::Serving,
        warmup_left_ms: 0,
        call_count: count,
        overdue: false,
    }
}

#[test]
fn frames_are_rejected_or_decode_the_same_again() {
    let hello = Hello {
        name: "m1".into(),
        process_incarnation: 7,
        plane: Plane::DataPlane,
        address: "10.0.0.1:80".into(),
        zone: "north".into(),
        quorum: false,
        voter_incarnation: None,
    };
    let whole = [
        Message::Hello(hello),
        Message::Follow { have: ConfigId { version: 7, digest_prefix: 9 } },
        Message::ConfigDelta(ConfigDelta {
            version: 8,
            base: 7,
            digest: [7; 32],
            length: 9,
            bytes: vec![1, 2, 3],
        }),
        Message::Reserved,
        Message::Heartbeat(Heartbeat::default()),
        Message::BackendHeartbeats(vec![("i-1".into(), 3), ("i-2".into(), 9)]),
        Message::Backends { is_complete: true, backends: vec![backend("i-1", 4), backend("i-2", u64::MAX)] },
    ];
    fuzz(5, whole.iter().map(frame).collect(), |bytes| match unframe::<Message>(bytes) {
        Ok(Some((message, accepted))) => {
            assert!(accepted <= bytes.len());
            let again =
                unframe::<Message>(&frame(&message)).expect("a valid frame").expect("a complete frame");
            assert_eq!(format!("{:?}", again.0), format!("{message:?}"));
            true
        }
        Ok(None) | Err(_) => false,
    });
}

#[test]
fn stored_records_are_rejected_or_usable() {
    let change = |base, version| Change { base, version, digest: [7; 32], body: b"{\"a\":1}".to_vec() };
    let changes = [change(0, 1), change(1, u64::MAX)];
    fuzz(6, changes.iter().map(bitcode::encode).collect(), |bytes| Change::decode(bytes).is_ok());
    let mut config_history = ConfigHistory::default();
    for version in 1..=9 {
        config_history.apply(LogPosition::default(), change(version - 1, version));
    }
    fuzz(7, vec![bitcode::encode(&config_history)], |bytes| match ConfigHistory::restore(bytes) {
        Ok(mut config_history) => {
            // A restored history can be used, whatever it contains.
            config_history.apply(
                LogPosition::default(),
                change(config_history.version(), config_history.version().saturating_add(1)),
            );
            let _ = (config_history.body(), config_history.history().count());
            true
        }
        Err(_) => false,
    });
}
