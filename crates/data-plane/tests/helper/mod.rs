//! Stand-ins on loopback sockets: backends that do as they are told, a client, an admission, and the data plane between.

#![allow(dead_code, reason = "each test file uses a part")]

pub mod script;

use data_plane::{Admission, AdmissionDecision, DataPlane, DataPlaneSettings, GatewayConfig};
use protocol::{Backend, Phase};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufRead, AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, oneshot};
use tokio::task::{JoinHandle, LocalSet, spawn_local};

/// Only a hang takes as long.
const LONG: Duration = Duration::from_secs(20);

/// Runs a test on one thread, as the data plane runs.
pub fn on_one_thread(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        tokio::time::timeout(LONG, test).await.expect("a test that ends");
    });
}

/// One HTTP message.
#[derive(Clone, Debug, Default)]
pub struct Heard {
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether its body came whole.
    pub whole: bool,
}

impl Heard {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }

    /// Seconds of `Retry-After`.
    pub fn wait(&self) -> Option<f64> {
        self.header("retry-after")?.parse().ok()
    }
}

async fn line(from: &mut (impl AsyncBufRead + Unpin)) -> Option<String> {
    let mut bytes = Vec::new();
    from.read_until(b'\n', &mut bytes).await.ok().filter(|_| bytes.ends_with(b"\r\n"))?;
    bytes.truncate(bytes.len() - 2);
    String::from_utf8(bytes).ok()
}

/// Reads one message, or as much of its body as comes.
pub async fn hear(from: &mut (impl AsyncBufRead + Unpin)) -> Option<Heard> {
    let mut heard = hear_head(from).await?;
    hear_body(from, &mut heard).await;
    Some(heard)
}

/// Reads the head of a message.
pub async fn hear_head(from: &mut (impl AsyncBufRead + Unpin)) -> Option<Heard> {
    let mut heard = Heard { line: line(from).await?, ..Heard::default() };
    loop {
        let text = line(from).await?;
        let Some((name, value)) = text.split_once(": ") else { return Some(heard) };
        heard.headers.push((name.to_ascii_lowercase(), value.to_owned()));
    }
}

/// Reads the body of a message, or as much as comes.
pub async fn hear_body(from: &mut (impl AsyncBufRead + Unpin), heard: &mut Heard) {
    if heard.header("transfer-encoding").is_some() {
        loop {
            let Some(size) = line(from).await else { return };
            let size = usize::from_str_radix(&size, 16).expect("a chunk's size");
            let mut chunk = vec![0; size + 2];
            if from.read_exact(&mut chunk).await.is_err() {
                return;
            }
            if size == 0 {
                heard.whole = true;
                return;
            }
            heard.body.extend_from_slice(&chunk[..size]);
        }
    }
    let length: usize = heard.header("content-length").map_or(0, |n| n.parse().expect("a length"));
    while heard.body.len() < length {
        let mut part = vec![0; (length - heard.body.len()).min(65536)];
        match from.read(&mut part).await {
            Ok(read) if read > 0 => heard.body.extend_from_slice(&part[..read]),
            _ => return,
        }
    }
    heard.whole = true;
}

/// What a backend does with a request.
#[derive(Clone)]
pub enum Do {
    /// Answers, and keeps the connection.
    Say(String),
    /// Says something, then closes.
    Break(String),
    /// Nothing at all.
    Hang,
    /// Answers once it is told to.
    Await(Rc<Notify>, String),
}

/// A proper answer, with these headers and this body besides.
pub fn good(heard: &Heard, headers: &str, body: &str) -> String {
    let id = heard.header("x-attempt-id").unwrap_or("none");
    let length = body.len();
    format!(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Seal: s\r\nContent-Length: {length}\r\n{headers}\r\n{body}"
    )
}

/// An answer with another status, headers and no body.
pub fn other(heard: &Heard, status: &str, headers: &str) -> String {
    let id = heard.header("x-attempt-id").unwrap_or("none");
    format!("HTTP/1.1 {status}\r\nX-Attempt-Id: {id}\r\nContent-Length: 0\r\n{headers}\r\n")
}

pub fn says_good(heard: &Heard) -> Do {
    Do::Say(good(heard, "", "fine"))
}

/// A backend.
pub struct ScriptedBackend {
    pub backend: Backend,
    pub heard: Rc<RefCell<Vec<Heard>>>,
    pub connections: Rc<Cell<usize>>,
}

impl ScriptedBackend {
    pub async fn start(id: &str, service: &str, does: impl Fn(&Heard) -> Do + 'static) -> Self {
        let does = Rc::new(does);
        Self::on_streams(id, service, move |stream, all| {
            let does = does.clone();
            async move {
                let (from, mut to) = stream.into_split();
                let mut from = BufReader::new(from);
                while let Some(heard) = hear(&mut from).await {
                    all.borrow_mut().push(heard.clone());
                    match does(&heard) {
                        Do::Say(text) => drop(to.write_all(text.as_bytes()).await),
                        Do::Break(text) => {
                            let _ = to.write_all(text.as_bytes()).await;
                            return;
                        }
                        Do::Hang => std::future::pending().await,
                        Do::Await(word, text) => {
                            word.notified().await;
                            let _ = to.write_all(text.as_bytes()).await;
                        }
                    }
                }
            }
        })
        .await
    }

    /// One that does with its connections what it is told; it notes there what it hears.
    pub async fn on_streams<F: Future<Output = ()> + 'static>(
        id: &str, service: &str, serve: impl Fn(TcpStream, Rc<RefCell<Vec<Heard>>>) -> F + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address").to_string();
        let (heard, connections) = (Rc::<RefCell<Vec<Heard>>>::default(), Rc::<Cell<usize>>::default());
        let (all, counted) = (heard.clone(), connections.clone());
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                counted.set(counted.get() + 1);
                spawn_local(serve(stream, all.clone()));
            }
        });
        let backend = Backend {
            id: id.into(),
            service: service.into(),
            address,
            zone: "z1".into(),
            generation: "v1".into(),
            capacity: 6,
            phase: Phase::Serving,
            warmup_left_ms: 0,
            call_count: 1,
            overdue: false,
        };
        Self { backend, heard, connections }
    }

    pub fn count(&self) -> usize {
        self.heard.borrow().len()
    }

    pub fn last(&self) -> Heard {
        self.heard.borrow().last().cloned().expect("a request")
    }

    pub fn told(&self, phase: Phase, call_count: u64) -> Backend {
        Backend { phase, call_count, ..self.backend.clone() }
    }
}

/// Who says what tenants have left.
#[derive(Default)]
pub struct LeaseClient {
    pub refuses: Cell<Option<Duration>>,
    /// Answers later, with this.
    pub later: Cell<Option<Result<(), Duration>>>,
    pub asked: Cell<u32>,
    pub back: Cell<u32>,
}

impl Admission for LeaseClient {
    fn acquire(&self, _: &str, _: Duration) -> AdmissionDecision {
        self.asked.set(self.asked.get() + 1);
        if let Some(answer) = self.later.get() {
            let (sender, receiver) = oneshot::channel();
            spawn_local(async move { assert!(sender.send(answer).is_ok(), "it is waited for") });
            return AdmissionDecision::Pending(receiver);
        }
        self.refuses
            .get()
            .map_or(AdmissionDecision::Granted, |retry_after| AdmissionDecision::Refused { retry_after })
    }

    fn refund(&self, _: &str) {
        self.back.set(self.back.get() + 1);
    }
}

/// A route with further fields, which are JSON.
pub fn route(label: &str, prefix: &str, variant: &str, target: &str, more: &str) -> String {
    format!(
        r#""{label}":{{"authority":"a.example","path_prefix":"{prefix}","variant":"{variant}","deadline_ms":5000,
        "goal_ms":1000,"rank":1,"target":"{target}","max_tries":2,"public":false{more}}}"#
    )
}

/// A configuration of some routes over the services `one` and `two`, and a tenant with the key `k1`.
pub fn conf(version: u64, routes: &[String]) -> Rc<GatewayConfig> {
    let routes = routes.join(",");
    let service = r#"{"health_path":"/health","max_conns":130,"protocol":"h1","tls_mode":false}"#;
    let text = format!(
        r#"{{"generation":"r{version}","route_table":{{{routes}}},"service_table":{{"one":{service},"two":{service}}},
        "limits":{{"max_header_bytes":16384,"max_body_bytes":1000000,"header_wait_ms":3000,"idle_timeout_ms":15000}},
        "tenant_table":{{"mira":{{"api_keys":["k1"],"rate_per_s":50,"burst_size":50}}}}}}"#
    );
    Rc::new(GatewayConfig::parse(text.as_bytes()).expect("a configuration"))
}

/// A pure route `/p/`, an effectful one `/e/` and a public one `/open/`, all to `one`.
pub fn usual() -> Rc<GatewayConfig> {
    conf(
        1,
        &[
            route("p", "/p/", "pure", "one", ""),
            route("e", "/e/", "effectful", "one", ""),
            route("o", "/open/", "pure", "one", "").replace(r#""public":false"#, r#""public":true"#),
        ],
    )
}

/// A data plane that serves.
pub struct World {
    pub data_plane: Rc<DataPlane>,
    pub lease_client: Rc<LeaseClient>,
    pub front: SocketAddr,
    pub readiness: SocketAddr,
    pub end: Option<oneshot::Sender<()>>,
    pub served: JoinHandle<()>,
}

impl World {
    pub async fn start(conf: Rc<GatewayConfig>, backends: &[&ScriptedBackend]) -> Self {
        let world = Self::blank(backends).await;
        world.data_plane.apply_config(conf);
        world
    }

    /// A data plane that knows no configuration yet.
    pub async fn blank(backends: &[&ScriptedBackend]) -> Self {
        let front = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let readiness = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let addresses =
            (front.local_addr().expect("an address"), readiness.local_addr().expect("an address"));
        let mut settings = DataPlaneSettings::new(addresses.0, addresses.1, "z1", "q1");
        settings.shutdown_delay = Duration::from_millis(100);
        let lease_client = Rc::<LeaseClient>::default();
        let data_plane = DataPlane::new(settings, lease_client.clone(), 7);
        data_plane.update_backends(
            &backends.iter().map(|backend| backend.backend.clone()).collect::<Vec<_>>(),
            true,
        );
        let (end, ended) = oneshot::channel::<()>();
        let served =
            spawn_local(data_plane.clone().serve(front, readiness, async move { drop(ended.await) }));
        Self { data_plane, lease_client, front: addresses.0, readiness: addresses.1, end: Some(end), served }
    }

    pub async fn ask(&self, request: &str) -> Heard {
        Client::connect(self.front).await.ask(request).await.expect("an answer")
    }
}

/// A request with the usual headers, and further ones.
pub fn request(method: &str, path: &str, more: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "{method} {path} HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: 7f\r\nX-Deadline-Left: 2000\r\n\
         Authorization: Bearer k1\r\nContent-Length: {length}\r\n{more}\r\n{body}"
    )
}

/// A client's connection.
pub struct Client(BufReader<OwnedReadHalf>, OwnedWriteHalf);

impl Client {
    pub async fn connect(to: SocketAddr) -> Self {
        let (from, to) = TcpStream::connect(to).await.expect("a connection").into_split();
        Self(BufReader::new(from), to)
    }

    pub async fn send(&mut self, request: &str) {
        self.1.write_all(request.as_bytes()).await.expect("written");
    }

    /// Whether all of it could be written.
    pub async fn try_send(&mut self, text: &str) -> bool {
        self.1.write_all(text.as_bytes()).await.is_ok()
    }

    pub async fn hear(&mut self) -> Option<Heard> {
        hear(&mut self.0).await
    }

    pub async fn ask(&mut self, request: &str) -> Option<Heard> {
        self.send(request).await;
        self.hear().await
    }
}

/// Waits until something is the case.
pub async fn until(met: impl Fn() -> bool) {
    while !met() {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}
