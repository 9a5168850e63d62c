//! Real processes: a data plane that is fed through another one, and what becomes of it when that is killed.

use std::fmt::Write as _;
use std::io::{BufRead as _, BufReader, Read as _, Write as _};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

/// Whatever is waited for comes much sooner; a busy machine is given time.
const PATIENCE: Duration = Duration::from_secs(60);
/// Ports below those that systems give to outgoing connections; the addresses are this test's own.
const PEERS: u16 = 18_500;
const RELAYS: u16 = PEERS + 1;
const CONTROL: u16 = PEERS + 10;

fn ip(machine: u8) -> Ipv4Addr {
    let [.., high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, high | 128, low, machine)
}

struct Process {
    child: Child,
    said: Receiver<String>,
}

impl Process {
    /// On a link that bears one follower.
    fn start(plane: &str, machine: u8, folder: &Path) -> Self {
        let own = ip(machine);
        let mut settings = format!(
            "node_name = \"m{machine}\"\nserves = []\nip = \"{own}\"\nzone = \"a\"\nport_range = [{PEERS}, {}]\n\
             seed_list = [\"{}:{CONTROL}\"]\nbootstrap = true\n",
            PEERS + 9,
            ip(1),
        );
        if plane == "control-plane" {
            let _ = write!(settings, "in_quorum = true\ndata_path = {:?}\n", folder.join("data"));
        }
        let _ = write!(
            settings,
            "[bind]\ncontrol = \"{own}:{CONTROL}\"\nfront = \"{own}:{}\"\nreadiness = \"{own}:{}\"\n\
             [limits]\nlink_mbps = 10.0\n",
            CONTROL + 1,
            CONTROL + 2,
        );
        let path = folder.join(format!("{plane}-{machine}.toml"));
        std::fs::write(&path, settings).expect("written");
        let mut child = Command::new(env!("CARGO_BIN_EXE_reachlb"))
            .args(["--settings", &path.display().to_string(), plane, "--relays"])
            .stderr(Stdio::piped())
            .spawn()
            .expect("the program starts");
        let lines = BufReader::new(child.stderr.take().expect("it is piped")).lines();
        let (say, said) = channel();
        std::thread::spawn(move || lines.map_while(Result::ok).try_for_each(|line| say.send(line)));
        Self { child, said }
    }

    /// Waits for a line of its log that holds these words; gives those before it.
    fn says(&self, words: &[&str]) -> String {
        let begun = Instant::now();
        let mut all = String::new();
        loop {
            let line = self.said.recv_timeout(PATIENCE.saturating_sub(begun.elapsed()));
            let line = line.unwrap_or_else(|_| panic!("no line with {words:?} in:\n{all}"));
            if words.iter().all(|word| line.contains(word)) {
                return all;
            }
            all.push_str(&line);
            all.push('\n');
        }
    }

    fn follows(&self, relay: SocketAddr) {
        self.says(&[&format!("\"updates come from {relay}\"")]);
    }

    fn takes(&self, version: u64) -> String {
        self.says(&[&format!("configuration r{version} in force")])
    }

    fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

fn replace(base: u64, version: u64) {
    let body = format!(
        r#"{{"generation":"r{version}","route_table":{{"r":{{"authority":"h.example","path_prefix":"/","variant":"pure",
        "deadline_ms":1000,"goal_ms":500,"rank":1,"target":"s","max_tries":2,"public":true}}}},"service_table":{{"s":
        {{"health_path":"/h","max_conns":10,"protocol":"h1","tls_mode":false}}}},"limits":{{"max_header_bytes":16384,
        "max_body_bytes":1000000,"header_wait_ms":3000,"idle_timeout_ms":15000}}}}"#
    );
    let call = || {
        let mut stream = TcpStream::connect((ip(1), CONTROL)).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
        write!(
            stream,
            "POST /Config.Replace HTTP/1.1\r\nHost: c\r\nX-Base-Version: r{base}\r\nConnection: close\r\n\
             Content-Length: {}\r\n\r\n{body}",
            body.len()
        )
        .ok()?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).ok()?;
        answer.starts_with("HTTP/1.1 200").then_some(())
    };
    let begun = Instant::now();
    while call().is_none() {
        assert!(begun.elapsed() < PATIENCE, "r{version} is not taken");
        std::thread::yield_now();
    }
}

#[test]
fn a_data_plane_is_fed_through_another_and_finds_a_place_when_that_is_killed() {
    let folder = tempfile::tempdir().expect("a folder");
    let _control_plane = Process::start("control-plane", 1, folder.path());
    replace(0, 1);
    let root = SocketAddr::from((ip(1), PEERS));
    let relay = |machine| SocketAddr::from((ip(machine), RELAYS));
    // Each link bears one, so each that comes is sent on to the last one.
    let mut first = Process::start("data-plane", 2, folder.path());
    first.follows(root);
    let second = Process::start("data-plane", 3, folder.path());
    second.follows(relay(2));
    let third = Process::start("data-plane", 4, folder.path());
    third.follows(relay(3));
    third.takes(1);
    replace(1, 2);
    third.takes(2);
    first.kill();
    second.follows(root);
    replace(2, 3);
    second.takes(3);
    // The third came along: it hears the next one from the second, as before.
    let before = third.takes(3);
    assert!(!before.contains("updates come from"), "{before}");
}
