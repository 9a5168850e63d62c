//! Real processes: a founder that is started on an emptied folder while its settings still say that it is the first start.

use serde_json::Value;
use std::io::{Read as _, Write as _};
use std::net::{Ipv4Addr, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Whatever is waited for comes much sooner; a busy machine is given time.
const PATIENCE: Duration = Duration::from_secs(60);
/// Ports below those that systems give to outgoing connections; the addresses are this test's own.
const PEERS: u16 = 18_600;
const CONTROL: u16 = PEERS + 10;
const FOUNDERS: u8 = 3;
/// Changes after which nobody takes the system for a new one.
const CHANGES: u64 = 20;

struct Founder {
    child: Child,
    ip: Ipv4Addr,
}

impl Founder {
    fn ip(machine: u8) -> Ipv4Addr {
        let [.., high, low] = std::process::id().to_be_bytes();
        Ipv4Addr::new(127, high | 128, low, machine)
    }

    fn start(machine: u8, folder: &Path) -> Self {
        let ip = Self::ip(machine);
        let seeds: Vec<String> =
            (1..=FOUNDERS).map(|seed| format!("\"{}:{CONTROL}\"", Self::ip(seed))).collect();
        let settings = format!(
            "node_name = \"m{machine}\"\nserves = []\nip = \"{ip}\"\nzone = \"a\"\nport_range = [{PEERS}, {}]\n\
             seed_list = [{}]\nbootstrap = true\nin_quorum = true\ndata_path = {:?}\n[bind]\n\
             control = \"{ip}:{CONTROL}\"\n",
            PEERS + 9,
            seeds.join(","),
            folder.join(machine.to_string()),
        );
        let path = folder.join(format!("{machine}.toml"));
        std::fs::write(&path, settings).expect("written");
        let child = Command::new(env!("CARGO_BIN_EXE_reachlb"))
            .args(["--settings", &path.display().to_string(), "control-plane"])
            .stderr(Stdio::null())
            .spawn()
            .expect("the program starts");
        Self { child, ip }
    }

    fn call(&self, head: &str, body: &str) -> Option<(u16, String)> {
        let mut stream = TcpStream::connect((self.ip, CONTROL)).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
        let length = body.len();
        write!(stream, "{head}\r\nHost: c\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n{body}")
            .ok()?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).ok()?;
        let status = answer.split(' ').nth(1)?.parse().ok()?;
        Some((status, answer.split_once("\r\n\r\n")?.1.to_owned()))
    }

    fn log(&self) -> Option<Value> {
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

fn until<T>(mut what: impl FnMut() -> Option<T>) -> T {
    let begun = Instant::now();
    loop {
        if let Some(found) = what() {
            return found;
        }
        assert!(begun.elapsed() < PATIENCE, "it did not come");
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

#[test]
fn a_founder_whose_folder_was_emptied_joins_as_another_voter() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut founders: Vec<_> = (1..=FOUNDERS).map(|machine| Founder::start(machine, folder.path())).collect();
    for founder in &founders {
        let log = until(|| founder.log());
        assert!(log["birth"] == 0, "at the first start all are founders: {log}");
    }
    for version in 1..=CHANGES {
        let head = format!("POST /Config.Replace HTTP/1.1\r\nX-Base-Version: r{}", version - 1);
        until(|| founders[0].call(&head, &config(version)).filter(|(status, _)| *status == 200));
    }
    drop(founders.remove(2));
    std::fs::remove_dir_all(folder.path().join("3")).expect("its disk is gone");
    let again = Founder::start(3, folder.path());
    let log = until(|| again.log().filter(|log| log["voter"] == true));
    assert!(log["birth"] != 0, "{log}");
    assert_eq!(log["members"].as_array().map(Vec::len), Some(3), "the former one is off the list: {log}");
}
