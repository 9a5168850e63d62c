//! Backends that follow a script byte by byte.

use super::{Action, HttpMessage, ScriptedBackend, read_head, read_message, respond_ok};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;

/// A step of a scripted connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Reads exactly this many bytes.
    Read(usize),
    /// Reads the head of a request.
    ReadHead,
    /// Reads a complete request.
    ReadRequest,
    /// Writes these bytes.
    Write(&'static str),
    /// Keeps the connection open until the gateway closes the connection.
    Stall,
    /// Resets the connection.
    Reset,
    /// Closes the connection in order.
    Close,
}

/// The progress of the scripted connection.
#[derive(Default)]
pub struct Progress {
    claimed: Cell<bool>,
    steps: Cell<usize>,
}

impl Progress {
    /// The number of completed steps.
    pub fn steps(&self) -> usize {
        self.steps.get()
    }
}

/// Two backends of the service `one`. The first connection to either of them follows the script. All other connections
/// are served normally.
pub struct ScriptedPair {
    pub backends: [ScriptedBackend; 2],
    pub progress: Rc<Progress>,
}

impl ScriptedPair {
    pub async fn start(script: &'static [Step]) -> Self {
        let progress = Rc::<Progress>::default();
        let start = |id| {
            let progress = progress.clone();
            ScriptedBackend::on_streams(id, "one", move |stream, request| {
                let progress = progress.clone();
                async move {
                    if progress.claimed.replace(true) {
                        serve(stream, request).await;
                    } else {
                        follow(stream, script, &progress).await;
                    }
                }
            })
        };
        let backends = [start("i-1").await, start("i-2").await];
        Self { backends, progress }
    }

    /// The number of requests that were served normally.
    pub fn served(&self) -> usize {
        self.backends.iter().map(ScriptedBackend::request_count).sum()
    }

    /// The number of connections that were opened.
    pub fn connections(&self) -> usize {
        self.backends.iter().map(|backend| backend.connections.get()).sum()
    }
}

async fn serve(stream: TcpStream, received: Rc<RefCell<Vec<HttpMessage>>>) {
    let mut stream = BufReader::new(stream);
    while let Some(request) = read_message(&mut stream).await {
        received.borrow_mut().push(request.clone());
        let Action::Respond(text) = respond_ok(&request) else { return };
        if stream.write_all(text.as_bytes()).await.is_err() {
            return;
        }
    }
}

async fn follow(stream: TcpStream, script: &[Step], progress: &Progress) {
    let mut stream = BufReader::new(stream);
    for step in script {
        match step {
            Step::Read(bytes) => drop(stream.read_exact(&mut vec![0; *bytes]).await),
            Step::ReadHead => drop(read_head(&mut stream).await),
            Step::ReadRequest => drop(read_message(&mut stream).await),
            Step::Write(text) => drop(stream.write_all(text.as_bytes()).await),
            Step::Stall => while stream.read_u8().await.is_ok() {},
            Step::Reset => reset(stream.get_ref()),
            Step::Close => {}
        }
        progress.steps.set(progress.steps.get() + 1);
        if matches!(step, Step::Reset | Step::Close) {
            return;
        }
    }
}

/// Makes the kernel reset the connection when the stream is dropped.
pub fn reset(stream: &TcpStream) {
    stream.set_zero_linger().expect("the linger option can be set");
}
