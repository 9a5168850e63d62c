//! Fake services on loopback sockets for everything a gateway talks to, and the gateway as a separate process. Tests
//! wait for events; timeouts are so long that only a hang reaches them.

#![allow(dead_code)]

use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::process::{Child, Command};
use tokio::sync::watch;

pub const HANG_TIMEOUT: Duration = Duration::from_secs(60);

pub async fn wait_for<T>(what: &str, future: impl Future<Output = T>) -> T {
    let Ok(value) = tokio::time::timeout(HANG_TIMEOUT, future).await else {
        panic!("timed out waiting for: {what}")
    };
    value
}

pub async fn wait_until(what: &str, condition: impl Fn() -> bool) {
    wait_for(what, async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    })
    .await;
}

pub async fn sleep_ms(ms: u64) {
    tokio::time::sleep(Duration::from_millis(ms)).await;
}

/// One HTTP message: first line, headers with lower-case names, body.
#[derive(Clone, Debug)]
pub struct Message {
    pub line: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|s| s.parse().ok()).expect("status")
    }
}

/// Reads one message; `None` at the end of the connection.
pub async fn read_message(stream: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut line = String::new();
    if stream.read_line(&mut line).await.ok()? == 0 {
        return None;
    }
    let mut headers = HashMap::new();
    loop {
        let mut header = String::new();
        stream.read_line(&mut header).await.ok()?;
        let Some((key, value)) = header.trim_end().split_once(':') else { break };
        headers.insert(key.to_ascii_lowercase(), value.trim().to_owned());
    }
    let length = headers.get("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await.ok()?;
    Some(Message { line: line.trim_end().to_owned(), headers, body })
}

/// How a fake backend handles a request.
#[derive(Clone, Debug)]
pub enum Action {
    /// Writes this text.
    Write(String),
    /// Writes this text after a delay in ms.
    WriteAfter(u64, String),
    /// Writes this text and closes the connection.
    WriteAndClose(String),
    /// Writes nothing.
    Hang,
}

pub fn ok(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// A fake backend that records all requests and handles them by a list of actions; the last action is repeated.
pub struct Backend {
    pub address: SocketAddr,
    pub received: Arc<Mutex<Vec<Message>>>,
    pub actions: Arc<Mutex<Vec<Action>>>,
    pub opened: Arc<AtomicU32>,
    pub closed: Arc<AtomicU32>,
}

impl Backend {
    pub async fn start(actions: &[Action]) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let address = listener.local_addr().expect("address");
        let received: Arc<Mutex<Vec<Message>>> = Arc::default();
        let actions = Arc::new(Mutex::new(actions.to_vec()));
        let (opened, closed): (Arc<AtomicU32>, Arc<AtomicU32>) = Default::default();
        let server = Self { address, received, actions, opened, closed };
        let (received, actions) = (server.received.clone(), server.actions.clone());
        let (opened, closed) = (server.opened.clone(), server.closed.clone());
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                opened.fetch_add(1, Ordering::SeqCst);
                let (received, actions, closed) = (received.clone(), actions.clone(), closed.clone());
                tokio::spawn(async move {
                    let mut stream = BufReader::new(stream);
                    while let Some(message) = read_message(&mut stream).await {
                        received.lock().expect("lock").push(message);
                        let action = {
                            let mut actions = actions.lock().expect("lock");
                            if actions.len() > 1 { actions.remove(0) } else { actions[0].clone() }
                        };
                        match action {
                            Action::Write(text) => stream.write_all(text.as_bytes()).await.unwrap_or(()),
                            Action::WriteAfter(ms, text) => {
                                sleep_ms(ms).await;
                                stream.write_all(text.as_bytes()).await.unwrap_or(());
                            }
                            Action::WriteAndClose(text) => {
                                stream.write_all(text.as_bytes()).await.unwrap_or(());
                                break;
                            }
                            Action::Hang => {}
                        }
                    }
                    drop(stream);
                    closed.fetch_add(1, Ordering::SeqCst);
                });
            }
        });
        server
    }

    pub fn attempts(&self) -> usize {
        self.received.lock().expect("lock").len()
    }

    pub fn opened(&self) -> u32 {
        self.opened.load(Ordering::SeqCst)
    }

    pub fn closed(&self) -> u32 {
        self.closed.load(Ordering::SeqCst)
    }

    /// The number of established connections to the backend, from the kernel's table of the connecting side. A close by
    /// the backend shows there with a short delay, which grows on a busy machine.
    pub fn open_connections(&self) -> usize {
        let table = std::fs::read_to_string("/proc/net/tcp").expect("/proc/net/tcp");
        let remote = format!(":{:04X}", self.address.port());
        let is_open = |line: &&str| {
            let fields: Vec<_> = line.split_ascii_whitespace().collect();
            fields.len() > 3 && fields[2].ends_with(&remote) && fields[3] == "01"
        };
        table.lines().skip(1).filter(is_open).count()
    }
}

/// One entry of the list of backends.
pub fn host_entry(name: &str, address: SocketAddr, health: &str) -> String {
    format!(r#"{{"host":"{name}","dial":"{address}","site":"z","block":0,"health":"{health}","born_ms":0}}"#)
}

pub fn host_list(seq: u64, whole: bool, host_entries: &[String]) -> String {
    format!(r#"{{"seq":{seq},"whole":{whole},"hosts":[{}]}}"#, host_entries.join(","))
}

/// A fake discovery service. Holds all polls until a list is published; each list answers one poll of each connection.
pub struct Discovery {
    pub address: SocketAddr,
    pub list_sender: watch::Sender<Option<String>>,
    pub calls: Arc<AtomicU32>,
}

impl Discovery {
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let address = listener.local_addr().expect("address");
        let (list_sender, list_receiver) = watch::channel(None::<String>);
        let calls = Arc::new(AtomicU32::new(0));
        let count = calls.clone();
        let lists = Arc::new(tokio::sync::Mutex::new(list_receiver));
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (lists, count) = (lists.clone(), count.clone());
                tokio::spawn(async move {
                    let mut stream = BufReader::new(stream);
                    while read_message(&mut stream).await.is_some() {
                        count.fetch_add(1, Ordering::SeqCst);
                        let mut lists = lists.lock().await;
                        if lists.changed().await.is_err() {
                            return;
                        }
                        let text = lists.borrow_and_update().clone().unwrap_or_default();
                        if stream.write_all(ok(&text).as_bytes()).await.is_err() {
                            return;
                        }
                    }
                });
            }
        });
        Self { address, list_sender, calls }
    }

    pub fn publish(&self, text: String) {
        self.list_sender.send_replace(Some(text));
    }

    /// Waits until the gateway has applied all published lists, which the next poll shows.
    pub async fn polled_again(&self, before: u32) {
        wait_until("next poll", || self.calls.load(Ordering::SeqCst) > before).await;
    }
}

/// How the fake counter answers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CounterMode {
    Normal,
    Delayed(u64),
    Busy,
    Silent,
    Malformed,
}

pub struct Counter {
    pub address: SocketAddr,
    pub totals: Arc<Mutex<HashMap<String, f64>>>,
    pub calls: Arc<AtomicU32>,
    pub mode: Arc<Mutex<CounterMode>>,
}

impl Counter {
    pub async fn start(mode: CounterMode) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let address = listener.local_addr().expect("address");
        let server =
            Self { address, totals: Arc::default(), calls: Arc::default(), mode: Arc::new(Mutex::new(mode)) };
        let (totals, calls, mode) = (server.totals.clone(), server.calls.clone(), server.mode.clone());
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (totals, calls, mode) = (totals.clone(), calls.clone(), mode.clone());
                tokio::spawn(async move {
                    let mut stream = BufReader::new(stream);
                    while let Some(args) = args(&mut stream).await {
                        if args[0] == "PING" {
                            stream.write_all(b"+PONG\r\n").await.unwrap_or(());
                            continue;
                        }
                        assert_eq!((args[0].as_str(), args.len()), ("ADDGET", 4));
                        calls.fetch_add(1, Ordering::SeqCst);
                        let mode = *mode.lock().expect("lock");
                        let reply = match mode {
                            CounterMode::Normal | CounterMode::Delayed(_) => {
                                let amount: f64 = args[2].parse().expect("the amount is a number");
                                assert!(args[3].parse::<u64>().expect("the TTL is an integer") >= 1);
                                let mut totals = totals.lock().expect("lock");
                                let total = totals.entry(args[1].clone()).or_default();
                                *total += amount;
                                let text = total.to_string();
                                format!("${}\r\n{text}\r\n", text.len())
                            }
                            CounterMode::Busy => "-BUSY\r\n".into(),
                            CounterMode::Malformed => "?what\r\n".into(),
                            CounterMode::Silent => continue,
                        };
                        if let CounterMode::Delayed(ms) = mode {
                            sleep_ms(ms).await;
                        }
                        stream.write_all(reply.as_bytes()).await.unwrap_or(());
                    }
                });
            }
        });
        server
    }
}

async fn args(stream: &mut BufReader<TcpStream>) -> Option<Vec<String>> {
    let mut line = String::new();
    stream.read_line(&mut line).await.ok()?;
    let count: usize = line.trim_end().strip_prefix('*')?.parse().ok()?;
    let mut args = Vec::new();
    for _ in 0..count {
        let (mut length, mut arg) = (String::new(), String::new());
        stream.read_line(&mut length).await.ok()?;
        stream.read_line(&mut arg).await.ok()?;
        assert_eq!(length.trim_end(), format!("${}", arg.trim_end().len()));
        args.push(arg.trim_end().to_owned());
    }
    Some(args)
}

/// Settings of a gateway that differ from the defaults of the tests.
pub struct Setup {
    pub rate: f64,
    pub burst: f64,
    pub gateways: u32,
    pub number: u32,
    pub known_backends: String,
    pub sockets: usize,
    /// The time between SIGTERM and SIGKILL.
    pub grace_ms: u64,
    /// The directory that the gateway's processes share. With a directory the gateway opens a console.
    pub dir: Option<TempDir>,
    /// The warm-up time of a backend.
    pub cold_ms: u64,
    /// The `group` object as JSON, or empty for no group. With a group the gateway's name is `g` and its index.
    pub group: String,
}

impl Setup {
    pub fn with_backends(host_entries: &[String]) -> Self {
        let known_backends = host_list(1, true, host_entries);
        Self {
            rate: 500.0,
            burst: 1000.0,
            gateways: 1,
            number: 0,
            known_backends,
            sockets: 1024,
            grace_ms: 3700,
            dir: None,
            cold_ms: 1000,
            group: String::new(),
        }
    }

    /// A gateway with a console and a directory of its own.
    pub fn with_console(host_entries: &[String]) -> Self {
        let number = NEXT_FILE.fetch_add(1, Ordering::SeqCst);
        let dir = std::env::temp_dir().join(format!("fennelscale-{}-{number}", std::process::id()));
        std::fs::create_dir(&dir).expect("directory");
        Self { dir: Some(TempDir(dir)), ..Self::with_backends(host_entries) }
    }
}

/// A directory that is removed when the value is dropped.
pub struct TempDir(pub PathBuf);

impl Drop for TempDir {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

static NEXT_FILE: AtomicU32 = AtomicU32::new(0);

/// Starts a process with an invalid configuration and returns its exit code and standard error.
pub fn failed_start(text: &str) -> (Option<i32>, String) {
    let number = NEXT_FILE.fetch_add(1, Ordering::SeqCst);
    let path = std::env::temp_dir().join(format!("fennelscale-bad-{}-{number}.json", std::process::id()));
    std::fs::write(&path, text).expect("write file");
    let output = std::process::Command::new(env!("CARGO_BIN_EXE_fennelscale"))
        .env("NODE_CONFIG", &path)
        .env_remove("NODE_LISTEN")
        .env_remove("NODE_DISCOVERY")
        .output()
        .expect("process");
    std::fs::remove_file(&path).expect("remove file");
    (output.status.code(), String::from_utf8_lossy(&output.stderr).into_owned())
}

/// A gateway process.
pub struct Gateway {
    pub address: SocketAddr,
    pub console: Option<SocketAddr>,
    child: Child,
    config: PathBuf,
}

impl Gateway {
    fn config_text(discovery: SocketAddr, counter: SocketAddr, setup: &Setup) -> String {
        let Setup { rate, burst, gateways, number, known_backends, sockets, grace_ms, dir, cold_ms, group } =
            setup;
        let name = if group.is_empty() { "t".to_owned() } else { format!("g{number}") };
        let group = if group.is_empty() { String::new() } else { format!(r#""group":{group},"#) };
        let console = if dir.is_some() { r#""console":"127.0.0.1:0","# } else { "" };
        format!(
            r#"{{"name":"{name}",{group}"listen":"127.0.0.1:0","discovery":"{discovery}","counter":"{counter}",{console}
            "seed":"{number}7f","limits":{{"sockets":{sockets},"grace_ms":{grace_ms}}},"known":{known_backends},"settings":{{
            "fleet-size":{gateways},"my-number":{number},"period-ms":4,"locality":"z","classes":[
            {{"name":"look","effect":"idempotent","goal-time-ms":800,"worth":1}},
            {{"name":"save","effect":"deduplicated","dedup-scope":"cell","window-ms":4000,"goal-time-ms":800,"worth":1}},
            {{"name":"order","effect":"at_most_once","goal-time-ms":800,"worth":1}}],
            "plans":[{{"name":"p","refill":{rate},"burst":{burst},"worth-factor":1}}],
            "extra":{{"has-counter":true,"count-limit-ms":50,"units-top":1}},
            "permissions":{{"most-tries":6,"may-cancel":true,"max-retry-after-ms":1000}},
            "rules":{{"cold-from":0.2,"cold-ms":{cold_ms}}}}}}}"#
        )
    }

    pub async fn start(discovery: SocketAddr, counter: SocketAddr, setup: &Setup) -> Self {
        let text = Self::config_text(discovery, counter, setup);
        let number = NEXT_FILE.fetch_add(1, Ordering::SeqCst);
        let config = std::env::temp_dir().join(format!("fennelscale-{}-{number}.json", std::process::id()));
        std::fs::write(&config, text).expect("write file");
        let mut child = Command::new(env!("CARGO_BIN_EXE_fennelscale"))
            .env("NODE_CONFIG", &config)
            .env_remove("NODE_LISTEN")
            .env("TMPDIR", setup.dir.as_ref().map_or_else(std::env::temp_dir, |p| p.0.clone()))
            .env("NODE_DISCOVERY", discovery.to_string())
            .stderr(Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .expect("start gateway");
        let mut log = BufReader::new(child.stderr.take().expect("standard error")).lines();
        let mut console = None;
        let address = loop {
            let line = wait_for("gateway's address", log.next_line())
                .await
                .expect("read standard error")
                .expect("line");
            let address = line.rsplit(' ').next().and_then(|a| a.parse().ok());
            if line.contains(": console at ") {
                console = address;
            } else if line.contains(": listening at ") {
                break address.expect("address");
            }
        };
        tokio::spawn(async move { while let Ok(Some(_)) = log.next_line().await {} });
        Self { address, console, child, config }
    }

    /// Sends one console command and returns the reply.
    pub async fn command(&self, line: &str) -> String {
        let console = self.console.expect("console address");
        wait_for("reply", async {
            let mut stream = TcpStream::connect(console).await.expect("connection");
            stream.write_all(line.as_bytes()).await.expect("write");
            let mut reply = String::new();
            stream.read_to_string(&mut reply).await.expect("reply");
            reply
        })
        .await
    }

    /// The metrics that `INFO` shows.
    pub async fn metrics(&self) -> serde_json::Value {
        let reply = self.command("INFO\n").await;
        let metrics = reply.strip_suffix("\nEND\n").expect("END line");
        serde_json::from_str(metrics).expect("JSON object")
    }

    /// Waits until a metric, given as a JSON pointer into the output of `INFO`, has this value.
    pub async fn wait_for_metric(&self, pointer: &str, value: u64) {
        wait_for(&format!("{pointer} at {value}"), async {
            while self.metrics().await.pointer(pointer).and_then(|v| v.as_u64()) != Some(value) {
                sleep_ms(5).await;
            }
        })
        .await;
    }

    pub async fn client(&self) -> Client {
        Client(BufReader::new(TcpStream::connect(self.address).await.expect("connection")))
    }

    /// Replaces the configuration file and sends SIGHUP.
    pub fn reload(&self, discovery: SocketAddr, counter: SocketAddr, setup: &Setup) {
        self.reload_text(&Self::config_text(discovery, counter, setup));
    }

    pub fn reload_text(&self, text: &str) {
        std::fs::write(&self.config, text).expect("write file");
        self.signal("-HUP");
    }

    /// The text of a file of the process in /proc.
    pub fn proc_file(&self, what: &str) -> String {
        std::fs::read_to_string(self.proc_path(what)).expect("proc file")
    }

    /// The number of file descriptors of the process.
    pub fn descriptors(&self) -> u64 {
        std::fs::read_dir(self.proc_path("fd")).expect("fd directory").count() as u64
    }

    fn proc_path(&self, file: &str) -> String {
        format!("/proc/{}/{file}", self.child.id().expect("process"))
    }

    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    fn signal(&self, which: &str) {
        let id = self.child.id().expect("process").to_string();
        let sent = std::process::Command::new("kill").args([which, &id]).status().expect("cannot run kill");
        assert!(sent.success());
    }

    pub async fn wait_exit(&mut self) -> ExitStatus {
        wait_for("exit of the gateway", self.child.wait()).await.expect("status")
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.config);
    }
}

static NEXT_ID: AtomicU32 = AtomicU32::new(0);

/// A valid request of a class, with optional additional headers and a body.
pub fn request(class: &str, deadline: u64, headers_text: &str, body: &str) -> String {
    let id = NEXT_ID.fetch_add(1, Ordering::SeqCst);
    let (method, key_header) = match class {
        "look" => ("GET", String::new()),
        "save" => ("POST", format!("Idempotency-Key: key-{id}\r\n")),
        _ => ("POST", String::new()),
    };
    let length = if method == "POST" { format!("Content-Length: {}\r\n", body.len()) } else { String::new() };
    format!(
        "{method} /{class}/a%20b?c=d HTTP/1.1\r\nHost: service.internal\r\nReq-Id: id-{id}\r\nApi-Plan: p\r\n\
         Api-Customer: 00000000b4d65521\r\nReq-Deadline-Ms: {deadline}\r\nApi-Terms: units=1,spread=1,first=0\r\n\
         {key_header}{length}{headers_text}\r\n{body}"
    )
}

pub struct Client(pub BufReader<TcpStream>);

impl Client {
    pub async fn write(&mut self, text: &str) {
        self.0.write_all(text.as_bytes()).await.expect("write");
    }

    pub async fn read(&mut self) -> Message {
        wait_for("answer", read_message(&mut self.0)).await.expect("answer before the end of the connection")
    }

    pub async fn exchange(&mut self, text: &str) -> Message {
        self.write(text).await;
        self.read().await
    }

    /// Asserts that nothing more arrives for a while.
    pub async fn expect_silence(&mut self) {
        let more = tokio::time::timeout(Duration::from_millis(300), self.0.fill_buf()).await;
        assert!(more.is_err(), "data after the final answer");
    }
}

/// A gateway that knows some backends, with a silent discovery service and a working counter.
pub struct TestEnv {
    pub gateway: Gateway,
    pub discovery: Discovery,
    pub counter: Counter,
}

impl TestEnv {
    pub async fn with_backends(backends: &[&Backend]) -> Self {
        let host_entries: Vec<_> = backends
            .iter()
            .enumerate()
            .map(|(i, b)| host_entry(&format!("b{i}"), b.address, "in_service"))
            .collect();
        Self::start(&Setup::with_backends(&host_entries), CounterMode::Normal).await
    }

    pub async fn start(setup: &Setup, mode: CounterMode) -> Self {
        let (discovery, counter) = (Discovery::start().await, Counter::start(mode).await);
        let gateway = Gateway::start(discovery.address, counter.address, setup).await;
        Self { gateway, discovery, counter }
    }

    /// Starts a second process of the same gateway and waits until it is ready.
    pub async fn start_second(&self, setup: &Setup) -> Gateway {
        let second = Gateway::start(self.discovery.address, self.counter.address, setup).await;
        assert_eq!(second.address, self.gateway.address, "both processes use one listener");
        wait_for("ready reply", async {
            while !second.command("PING\n").await.starts_with("YES") {
                sleep_ms(5).await;
            }
        })
        .await;
        second
    }
}
