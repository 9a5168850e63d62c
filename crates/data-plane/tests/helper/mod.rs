//! Test fixtures on loopback sockets: scripted backends, a client, an admission, and the data plane between them.

#![allow(dead_code, reason = "each test file uses only some of the fixtures")]

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

/// A test that runs longer has hung.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Runs a test on a single thread, as the data plane runs in production.
pub fn run_on_one_thread(test: impl Future<Output = ()>) {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().expect("the runtime starts");
    LocalSet::new().block_on(&runtime, async {
        tokio::time::timeout(TEST_TIMEOUT, test).await.expect("the test finishes in time");
    });
}

/// An HTTP request or response.
#[derive(Clone, Debug, Default)]
pub struct HttpMessage {
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body was received completely.
    pub whole: bool,
}

impl HttpMessage {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }

    /// The value of `Retry-After`, in seconds.
    pub fn retry_after(&self) -> Option<f64> {
        self.header("retry-after")?.parse().ok()
    }
}

async fn read_line(from: &mut (impl AsyncBufRead + Unpin)) -> Option<String> {
    let mut bytes = Vec::new();
    from.read_until(b'\n', &mut bytes).await.ok().filter(|_| bytes.ends_with(b"\r\n"))?;
    bytes.truncate(bytes.len() - 2);
    String::from_utf8(bytes).ok()
}

/// Reads a message with its body, or with as much of the body as is received.
pub async fn read_message(from: &mut (impl AsyncBufRead + Unpin)) -> Option<HttpMessage> {
    let mut message = read_head(from).await?;
    read_body(from, &mut message).await;
    Some(message)
}

/// Reads the head of a message.
pub async fn read_head(from: &mut (impl AsyncBufRead + Unpin)) -> Option<HttpMessage> {
    let mut message = HttpMessage { line: read_line(from).await?, ..HttpMessage::default() };
    loop {
        let text = read_line(from).await?;
        let Some((name, value)) = text.split_once(": ") else { return Some(message) };
        message.headers.push((name.to_ascii_lowercase(), value.to_owned()));
    }
}

/// Reads the body of a message, or as much of the body as is received.
pub async fn read_body(from: &mut (impl AsyncBufRead + Unpin), message: &mut HttpMessage) {
    if message.header("transfer-encoding").is_some() {
        loop {
            let Some(size) = read_line(from).await else { return };
            let size = usize::from_str_radix(&size, 16).expect("the chunk size is hexadecimal");
            let mut chunk = vec![0; size + 2];
            if from.read_exact(&mut chunk).await.is_err() {
                return;
            }
            if size == 0 {
                message.whole = true;
                return;
            }
            message.body.extend_from_slice(&chunk[..size]);
        }
    }
    let length: usize =
        message.header("content-length").map_or(0, |n| n.parse().expect("the content length is a number"));
    while message.body.len() < length {
        let mut part = vec![0; (length - message.body.len()).min(65536)];
        match from.read(&mut part).await {
            Ok(read) if read > 0 => message.body.extend_from_slice(&part[..read]),
            _ => return,
        }
    }
    message.whole = true;
}

/// The reaction of a backend to a request.
#[derive(Clone)]
pub enum Action {
    /// Sends these bytes and keeps the connection open.
    Respond(String),
    /// Sends these bytes and closes the connection.
    RespondAndClose(String),
    /// Sends nothing.
    Hang,
    /// Sends these bytes once notified.
    RespondAfter(Rc<Notify>, String),
}

/// A valid success response with additional headers and a body.
pub fn success(request: &HttpMessage, headers: &str, body: &str) -> String {
    let id = request.header("x-attempt-id").unwrap_or("none");
    let length = body.len();
    format!(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Seal: s\r\nContent-Length: {length}\r\n{headers}\r\n{body}"
    )
}

/// A response with the given status, additional headers and no body.
pub fn status_only(request: &HttpMessage, status: &str, headers: &str) -> String {
    let id = request.header("x-attempt-id").unwrap_or("none");
    format!("HTTP/1.1 {status}\r\nX-Attempt-Id: {id}\r\nContent-Length: 0\r\n{headers}\r\n")
}

pub fn respond_ok(request: &HttpMessage) -> Action {
    Action::Respond(success(request, "", "fine"))
}

/// A backend whose reactions a test defines.
pub struct ScriptedBackend {
    pub backend: Backend,
    pub requests: Rc<RefCell<Vec<HttpMessage>>>,
    pub connections: Rc<Cell<usize>>,
}

impl ScriptedBackend {
    pub async fn start(id: &str, service: &str, respond: impl Fn(&HttpMessage) -> Action + 'static) -> Self {
        let respond = Rc::new(respond);
        Self::on_streams(id, service, move |stream, received| {
            let respond = respond.clone();
            async move {
                let (from, mut to) = stream.into_split();
                let mut from = BufReader::new(from);
                while let Some(request) = read_message(&mut from).await {
                    received.borrow_mut().push(request.clone());
                    match respond(&request) {
                        Action::Respond(text) => drop(to.write_all(text.as_bytes()).await),
                        Action::RespondAndClose(text) => {
                            let _ = to.write_all(text.as_bytes()).await;
                            return;
                        }
                        Action::Hang => std::future::pending().await,
                        Action::RespondAfter(notify, text) => {
                            notify.notified().await;
                            let _ = to.write_all(text.as_bytes()).await;
                        }
                    }
                }
            }
        })
        .await
    }

    /// Starts a backend that handles each connection with `serve`. `serve` also receives the list of requests to fill.
    pub async fn on_streams<F: Future<Output = ()> + 'static>(
        id: &str, service: &str, serve: impl Fn(TcpStream, Rc<RefCell<Vec<HttpMessage>>>) -> F + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port is available");
        let address = listener.local_addr().expect("the listener has an address").to_string();
        let (requests, connections) =
            (Rc::<RefCell<Vec<HttpMessage>>>::default(), Rc::<Cell<usize>>::default());
        let (received, counted) = (requests.clone(), connections.clone());
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                counted.set(counted.get() + 1);
                spawn_local(serve(stream, received.clone()));
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
        Self { backend, requests, connections }
    }

    pub fn request_count(&self) -> usize {
        self.requests.borrow().len()
    }

    pub fn last_request(&self) -> HttpMessage {
        self.requests.borrow().last().cloned().expect("the backend received a request")
    }

    pub fn with_phase(&self, phase: Phase, call_count: u64) -> Backend {
        Backend { phase, call_count, ..self.backend.clone() }
    }
}

/// An admission whose decisions a test sets.
#[derive(Default)]
pub struct FakeAdmission {
    pub refuse_with: Cell<Option<Duration>>,
    /// If set, decisions arrive later, with this result.
    pub delayed_result: Cell<Option<Result<(), Duration>>>,
    pub acquired: Cell<u32>,
    pub refunded: Cell<u32>,
}

impl Admission for FakeAdmission {
    fn acquire(&self, _: &str, _: Duration) -> AdmissionDecision {
        self.acquired.set(self.acquired.get() + 1);
        if let Some(answer) = self.delayed_result.get() {
            let (sender, receiver) = oneshot::channel();
            spawn_local(async move {
                assert!(sender.send(answer).is_ok(), "the receiver waits for the decision")
            });
            return AdmissionDecision::Pending(receiver);
        }
        self.refuse_with
            .get()
            .map_or(AdmissionDecision::Granted, |retry_after| AdmissionDecision::Refused { retry_after })
    }

    fn refund(&self, _: &str) {
        self.refunded.set(self.refunded.get() + 1);
    }
}

/// The JSON of a route. `extra` holds further fields.
pub fn route(label: &str, prefix: &str, variant: &str, target: &str, extra: &str) -> String {
    format!(
        r#""{label}":{{"authority":"a.example","path_prefix":"{prefix}","variant":"{variant}","deadline_ms":5000,
        "goal_ms":1000,"rank":1,"target":"{target}","max_tries":2,"public":false{extra}}}"#
    )
}

/// A configuration with the given routes, the services `one` and `two`, and a tenant with the key `k1`.
pub fn config(version: u64, routes: &[String]) -> Rc<GatewayConfig> {
    let routes = routes.join(",");
    let service = r#"{"health_path":"/health","max_conns":130,"protocol":"h1","tls_mode":false}"#;
    let text = format!(
        r#"{{"generation":"r{version}","route_table":{{{routes}}},"service_table":{{"one":{service},"two":{service}}},
        "limits":{{"max_header_bytes":16384,"max_body_bytes":1000000,"header_wait_ms":3000,"idle_timeout_ms":15000}},
        "tenant_table":{{"mira":{{"api_keys":["k1"],"rate_per_s":50,"burst_size":50}}}}}}"#
    );
    Rc::new(GatewayConfig::parse(text.as_bytes()).expect("the configuration is valid"))
}

/// A configuration with a pure route `/p/`, an effectful route `/e/` and a public route `/open/`, all to service `one`.
pub fn default_config() -> Rc<GatewayConfig> {
    config(
        1,
        &[
            route("p", "/p/", "pure", "one", ""),
            route("e", "/e/", "effectful", "one", ""),
            route("o", "/open/", "pure", "one", "").replace(r#""public":false"#, r#""public":true"#),
        ],
    )
}

/// A running data plane with its fake admission.
pub struct TestGateway {
    pub data_plane: Rc<DataPlane>,
    pub admission: Rc<FakeAdmission>,
    pub client_address: SocketAddr,
    pub readiness_address: SocketAddr,
    pub shutdown: Option<oneshot::Sender<()>>,
    pub server: JoinHandle<()>,
}

impl TestGateway {
    pub async fn start(config: Rc<GatewayConfig>, backends: &[&ScriptedBackend]) -> Self {
        let gateway = Self::unconfigured(backends).await;
        gateway.data_plane.apply_config(config);
        gateway
    }

    /// Starts a data plane without a configuration.
    pub async fn unconfigured(backends: &[&ScriptedBackend]) -> Self {
        let front = TcpListener::bind("127.0.0.1:0").await.expect("a free port is available");
        let readiness = TcpListener::bind("127.0.0.1:0").await.expect("a free port is available");
        let addresses = (
            front.local_addr().expect("the listener has an address"),
            readiness.local_addr().expect("the listener has an address"),
        );
        let mut settings = DataPlaneSettings::new(addresses.0, addresses.1, "z1", "q1");
        settings.shutdown_delay = Duration::from_millis(100);
        let admission = Rc::<FakeAdmission>::default();
        let data_plane = DataPlane::new(settings, admission.clone(), 7);
        data_plane.update_backends(
            &backends.iter().map(|backend| backend.backend.clone()).collect::<Vec<_>>(),
            true,
        );
        let (shutdown, shutdown_received) = oneshot::channel::<()>();
        let server = spawn_local(
            data_plane.clone().serve(front, readiness, async move { drop(shutdown_received.await) }),
        );
        Self {
            data_plane,
            admission,
            client_address: addresses.0,
            readiness_address: addresses.1,
            shutdown: Some(shutdown),
            server,
        }
    }

    pub async fn exchange(&self, request: &str) -> HttpMessage {
        Client::connect(self.client_address).await.exchange(request).await.expect("the gateway answers")
    }
}

/// A request with the usual headers and additional ones.
pub fn request(method: &str, path: &str, extra: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "{method} {path} HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: 7f\r\nX-Deadline-Left: 2000\r\n\
         Authorization: Bearer k1\r\nContent-Length: {length}\r\n{extra}\r\n{body}"
    )
}

/// A client connection.
pub struct Client(BufReader<OwnedReadHalf>, OwnedWriteHalf);

impl Client {
    pub async fn connect(to: SocketAddr) -> Self {
        let (from, to) =
            TcpStream::connect(to).await.expect("the gateway accepts the connection").into_split();
        Self(BufReader::new(from), to)
    }

    pub async fn send(&mut self, request: &str) {
        self.1.write_all(request.as_bytes()).await.expect("the request is written");
    }

    /// Sends bytes. Returns whether all of them were written.
    pub async fn try_send(&mut self, text: &str) -> bool {
        self.1.write_all(text.as_bytes()).await.is_ok()
    }

    pub async fn receive(&mut self) -> Option<HttpMessage> {
        read_message(&mut self.0).await
    }

    pub async fn exchange(&mut self, request: &str) -> Option<HttpMessage> {
        self.send(request).await;
        self.receive().await
    }
}

/// Waits until a condition holds.
pub async fn wait_until(condition: impl Fn() -> bool) {
    while !condition() {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}
