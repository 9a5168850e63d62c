//! Runs control plane processes. A founding voter that restarts on an empty data directory, with settings that still
//! request the bootstrap of the fleet, must not come back under its old voter identity: its disk held its votes.

use serde_json::Value;
use std::io::{Read as _, Write as _};
use std::net::{Ipv4Addr, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Limit for each wait. All awaited events occur much sooner, except on a busy machine.
const TIMEOUT: Duration = Duration::from_secs(60);
/// First port for connections between processes. The ports lie below the usual ephemeral port range, and the loopback
/// addresses depend on the id of the test process, so that concurrent tests do not collide.
const PEER_PORT: u16 = 18_600;
const CONTROL_PORT: u16 = PEER_PORT + 10;
const FOUNDERS: u8 = 3;
/// Number of configuration changes. The log is then too long for the first start of a fleet.
const CONFIG_CHANGES: u64 = 20;

/// Process of a founding voter.
struct Founder {
    child: Child,
    ip: Ipv4Addr,
}

impl Founder {
    fn ip(machine: u8) -> Ipv4Addr {
        let [.., high, low] = std::process::id().to_be_bytes();
        Ipv4Addr::new(127, high | 128, low, machine)
    }

    fn start(machine: u8, directory: &Path) -> Self {
        let ip = Self::ip(machine);
        let seeds: Vec<String> =
            (1..=FOUNDERS).map(|seed| format!("\"{}:{CONTROL_PORT}\"", Self::ip(seed))).collect();
        let settings = format!(
            "node_name = \"m{machine}\"\nserves = []\nip = \"{ip}\"\nzone = \"a\"\nport_range = [{PEER_PORT}, {}]\n\
             seed_list = [{}]\nbootstrap = true\nin_quorum = true\ndata_path = {:?}\n[bind]\n\
             control = \"{ip}:{CONTROL_PORT}\"\n",
            PEER_PORT + 9,
            seeds.join(","),
            directory.join(machine.to_string()),
        );
        let path = directory.join(format!("{machine}.toml"));
        std::fs::write(&path, settings).expect("cannot write the settings file");
        let child = Command::new(env!("CARGO_BIN_EXE_reachlb"))
            .args(["--settings", &path.display().to_string(), "control-plane"])
            .stderr(Stdio::null())
            .spawn()
            .expect("cannot start reachlb");
        Self { child, ip }
    }

    /// Sends an HTTP request to the control socket. Returns the status and the body of the response.
    fn call(&self, head: &str, body: &str) -> Option<(u16, String)> {
        let mut stream = TcpStream::connect((self.ip, CONTROL_PORT)).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
        let length = body.len();
        write!(stream, "{head}\r\nHost: c\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n{body}")
            .ok()?;
        let mut response = String::new();
        stream.read_to_string(&mut response).ok()?;
        let status = response.split(' ').nth(1)?.parse().ok()?;
        Some((status, response.split_once("\r\n\r\n")?.1.to_owned()))
    }

    /// Returns the section on the replicated log of the process's status.
    fn log_status(&self) -> Option<Value> {
        let (_, body) = self.call("GET /Harbour.Status HTTP/1.1", "")?;
        Some(serde_json::from_str::<Value>(&body).ok()?["log"].clone())
    }
}

impl Drop for Founder {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Polls until the closure returns a value. Panics after [`TIMEOUT`].
fn wait_for<T>(mut poll: impl FnMut() -> Option<T>) -> T {
    let started = Instant::now();
    loop {
        if let Some(value) = poll() {
            return value;
        }
        assert!(started.elapsed() < TIMEOUT, "timed out");
        std::thread::yield_now();
    }
}

fn config(version: u64) -> String {
    format!(
        r#"{{"generation":"r{version}","route_table":{{"r":{{"authority":"h.example","path_prefix":"/","variant":"pure",
        "deadline_ms":1000,"goal_ms":500,"rank":1,"target":"s","max_tries":2,"public":true}}}},"service_table":{{"s":
        {{"health_path":"/h","max_conns":10,"protocol":"h1","tls_mode":false}}}},"limits":{{"max_header_bytes":16384,
        "max_body_bytes":1000000,"header_wait_ms":3000,"idle_timeout_ms":15000}}}}"#
    )
}

/// A founder that loses its disk after the first start joins as a new voter, with an incarnation other than 0 ("birth" in
/// the status), and the voter list loses the old identity.
#[test]
fn founder_with_an_emptied_data_directory_joins_as_a_new_voter() {
    let directory = tempfile::tempdir().expect("cannot create the directory");
    let mut founders: Vec<_> =
        (1..=FOUNDERS).map(|machine| Founder::start(machine, directory.path())).collect();
    for founder in &founders {
        let log = wait_for(|| founder.log_status());
        assert!(log["birth"] == 0, "not a founder at the first start: {log}");
    }
    for version in 1..=CONFIG_CHANGES {
        let head = format!("POST /Config.Replace HTTP/1.1\r\nX-Base-Version: r{}", version - 1);
        wait_for(|| founders[0].call(&head, &config(version)).filter(|(status, _)| *status == 200));
    }
    drop(founders.remove(2));
    std::fs::remove_dir_all(directory.path().join("3")).expect("cannot remove the data directory");
    let restarted = Founder::start(3, directory.path());
    let log = wait_for(|| restarted.log_status().filter(|log| log["voter"] == true));
    assert!(log["birth"] != 0, "the restarted process kept its old identity: {log}");
    assert_eq!(log["members"].as_array().map(Vec::len), Some(3), "the old identity is still a voter: {log}");
}
