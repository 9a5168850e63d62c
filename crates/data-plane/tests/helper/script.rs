//! Backends that follow a script byte by byte.

use super::{Do, Heard, ScriptedBackend, hear, hear_head, says_good};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;

/// One step of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Reads exactly so many bytes.
    Read(usize),
    /// Reads the head of a request.
    ReadHead,
    /// Reads a request whole.
    ReadRequest,
    /// Writes these bytes.
    Write(&'static str),
    /// Keeps the connection open until the gateway closes it.
    Stall,
    /// Resets the connection.
    Reset,
    /// Closes the connection in order.
    Close,
}

/// How far the scripted connection is.
#[derive(Default)]
pub struct Progress {
    taken: Cell<bool>,
    steps: Cell<usize>,
}

impl Progress {
    /// How many steps are done.
    pub fn steps(&self) -> usize {
        self.steps.get()
    }
}

/// Two backends of the service `one`. The first connection to either of them follows the script, all others serve
/// properly.
pub struct Pair {
    pub backends: [ScriptedBackend; 2],
    pub progress: Rc<Progress>,
}

impl Pair {
    pub async fn start(script: &'static [Step]) -> Self {
        let progress = Rc::<Progress>::default();
        let start = |id| {
            let progress = progress.clone();
            ScriptedBackend::on_streams(id, "one", move |stream, heard| {
                let progress = progress.clone();
                async move {
                    if progress.taken.replace(true) {
                        serve(stream, heard).await;
                    } else {
                        follow(stream, script, &progress).await;
                    }
                }
            })
        };
        let backends = [start("i-1").await, start("i-2").await];
        Self { backends, progress }
    }

    /// How many requests were served on proper connections.
    pub fn served(&self) -> usize {
        self.backends.iter().map(ScriptedBackend::count).sum()
    }

    /// How many connections were made.
    pub fn connections(&self) -> usize {
        self.backends.iter().map(|backend| backend.connections.get()).sum()
    }
}

async fn serve(stream: TcpStream, all: Rc<RefCell<Vec<Heard>>>) {
    let mut stream = BufReader::new(stream);
    while let Some(heard) = hear(&mut stream).await {
        all.borrow_mut().push(heard.clone());
        let Do::Say(text) = says_good(&heard) else { return };
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
            Step::ReadHead => drop(hear_head(&mut stream).await),
            Step::ReadRequest => drop(hear(&mut stream).await),
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

/// Has the connection be reset once it is dropped.
pub fn reset(stream: &TcpStream) {
    stream.set_zero_linger().expect("an option of the socket");
}
