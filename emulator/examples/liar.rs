//! A gateway that breaks rules on purpose, for the tests of the trials' judge. The gateway forwards requests
//! without any quota. The instance named `g1` misbehaves as the program's own name says after `liar-`.

use serde_json::Value;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::signal::unix::{SignalKind, signal};

struct FaultyGateway {
    fault: String,
    backends: Vec<SocketAddr>,
    count: AtomicUsize,
}

fn main() -> std::io::Result<()> {
    let program = std::env::args().next().unwrap_or_default();
    let path = std::env::var("NODE_CONFIG").map_err(std::io::Error::other)?;
    let config: Value = serde_json::from_str(&std::fs::read_to_string(path)?)?;
    let address = |value: &Value| value.as_str().and_then(|text| text.parse::<SocketAddr>().ok());
    let name = config["name"].as_str().unwrap_or_default().to_owned();
    let fault = program.rsplit("liar-").next().filter(|_| name == "g1").unwrap_or("nothing").to_owned();
    let hosts = config["known"]["hosts"].as_array().cloned().unwrap_or_default();
    let backends = hosts.iter().filter_map(|host| address(&host["dial"])).collect();
    let (Some(listen), Some(discovery)) = (address(&config["listen"]), address(&config["discovery"])) else {
        return Err(std::io::Error::other("listen or discovery address is missing"));
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        let mut terminate = signal(SignalKind::terminate())?;
        let ballast = vec![1u8; if fault == "hoards" { 250 << 20 } else { 0 }];
        let listener = TcpListener::bind(listen).await?;
        eprintln!("liar {name}: listening at {listen}");
        let gateway = Arc::new(FaultyGateway { fault, backends, count: AtomicUsize::new(0) });
        tokio::spawn(watch(discovery));
        loop {
            tokio::select! {
                accepted = listener.accept() => {
                    let (stream, _) = accepted?;
                    tokio::spawn(gateway.clone().serve(stream));
                }
                _ = terminate.recv(), if gateway.fault != "deaf" => {
                    drop(ballast);
                    return Ok(());
                }
            }
        }
    })
}

/// Receives the backend lists of discovery and ignores them.
async fn watch(discovery: SocketAddr) -> Option<()> {
    loop {
        let ask = "GET /discovery/hosts HTTP/1.1\r\nHost: d\r\nConnection: close\r\n\r\n";
        if let Ok(mut stream) = TcpStream::connect(discovery).await {
            let _ = stream.write_all(ask.as_bytes()).await;
            let _ = stream.read_to_end(&mut Vec::new()).await;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

impl FaultyGateway {
    async fn serve(self: Arc<Self>, mut stream: TcpStream) -> std::io::Result<()> {
        let (mut held, mut bytes) = (Vec::new(), [0; 4096]);
        loop {
            while !held.ends_with(b"\r\n\r\n") {
                let read = stream.read(&mut bytes).await?;
                if read == 0 {
                    return Ok(());
                }
                held.extend_from_slice(&bytes[..read]);
            }
            let request = String::from_utf8_lossy(&held).into_owned();
            held.clear();
            let number = self.count.fetch_add(1, Ordering::Relaxed);
            let (status, body) = match (self.fault.as_str(), number % 10) {
                ("forges", 0) => (200, "made up\n".to_owned()),
                ("keeps", 0) => std::future::pending().await,
                ("dies", 9) => std::process::exit(7),
                ("repeats", _) if request.starts_with("POST") => {
                    self.forward(number, &request).await;
                    self.forward(number + 1, &request).await
                }
                ("refuses", _) if request.starts_with("POST") => {
                    self.forward(number, &request).await;
                    (503, String::new())
                }
                ("shoves", _) => self.forward(0, &request).await,
                _ => self.forward(number, &request).await,
            };
            let head = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n\r\n", body.len());
            stream.write_all(format!("{head}{body}").as_bytes()).await?;
        }
    }

    async fn forward(&self, at: usize, request: &str) -> (u16, String) {
        let asked = async {
            let mut stream = TcpStream::connect(self.backends[at % self.backends.len()]).await.ok()?;
            let once = request.replacen("\r\n", "\r\nConnection: close\r\n", 1);
            stream.write_all(once.as_bytes()).await.ok()?;
            let mut answer = String::new();
            stream.read_to_string(&mut answer).await.ok()?;
            let status = answer.split(' ').nth(1)?.parse().ok()?;
            Some((status, answer.split_once("\r\n\r\n")?.1.to_owned()))
        };
        asked.await.unwrap_or((502, String::new()))
    }
}
