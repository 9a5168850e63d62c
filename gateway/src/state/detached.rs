//! Backends that operators have detached, that is, excluded from new requests: reported to the decision
//! engine, and stored in a file in `$TMPDIR`, so that they stay detached when a new process takes over.

use crate::backends::pool::Backends;
use crate::control::engine::Engine;
use doorcourse::{Event, Name};
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::fs;
use std::io;
use std::path::PathBuf;
use std::rc::Rc;

/// Maximum size of the file; a larger file was not written by a gateway.
const MAX_FILE_BYTES: u64 = 1 << 20;

/// The path of a file that the processes of one gateway share.
pub fn shared_path(gateway: &str, what: &str) -> PathBuf {
    let safe = |c: char| if c.is_ascii_alphanumeric() || c == '-' { c } else { '_' };
    let name: String = gateway.chars().take(40).map(safe).collect();
    std::env::temp_dir().join(format!("fennelscale-{name}.{what}"))
}

/// The set of backends that operators have detached.
pub struct DetachedBackends {
    path: PathBuf,
    names: RefCell<BTreeSet<Name>>,
    engine: Rc<Engine>,
    backends: Rc<Backends>,
}

impl DetachedBackends {
    /// Reads the file that a process of this gateway left; a file that cannot be read counts as empty.
    pub fn new(gateway: &str, engine: Rc<Engine>, backends: Rc<Backends>) -> Rc<Self> {
        let path = shared_path(gateway, "detached");
        let this = Rc::new(Self { path, names: RefCell::default(), engine, backends });
        this.refresh();
        this
    }

    /// Detaches or attaches a backend. Returns false if the backend is unknown.
    ///
    /// # Errors
    /// When the change is effective but the file could not be written.
    pub fn set(&self, id: &str, detach: bool) -> io::Result<bool> {
        self.refresh();
        if !self.backends.contains(id) && !self.names.borrow().contains(id) {
            return Ok(false);
        }
        let mut names = self.names.borrow().clone();
        if if detach { names.insert(id.into()) } else { names.remove(id) } {
            self.apply(names);
            self.save()?;
        }
        Ok(true)
    }

    /// Reads the file again: while two processes of this gateway run, operators may use the console of either one.
    pub fn refresh(&self) {
        let names = fs::metadata(&self.path).ok().filter(|m| m.len() <= MAX_FILE_BYTES);
        let names = names.and_then(|_| fs::read(&self.path).ok());
        match names.map(|text| serde_json::from_slice::<Vec<String>>(&text)) {
            Some(Ok(names)) => self.apply(names.iter().map(|n| Name::from(n.as_str())).collect()),
            Some(Err(error)) => eprintln!("detached: {} is damaged: {error}", self.path.display()),
            None => {}
        }
    }

    /// Repeats all detachments to the decision engine, after it has taken over a state that may lack some of them.
    pub fn resend(&self) {
        self.refresh();
        for backend in self.names.borrow().iter().cloned() {
            self.engine.post(Event::Detach { backend });
        }
    }

    fn apply(&self, names: BTreeSet<Name>) {
        let old = self.names.replace(names.clone());
        for backend in names.difference(&old).cloned() {
            self.backends.close_idle_to(&backend);
            self.engine.post(Event::Detach { backend });
        }
        for backend in old.difference(&names).cloned() {
            self.engine.post(Event::Attach { backend });
        }
    }

    /// Replaces the file atomically.
    fn save(&self) -> io::Result<()> {
        let new_path = self.path.with_extension("new");
        let names: Vec<String> = self.names.borrow().iter().map(|name| name.to_string()).collect();
        fs::write(&new_path, serde_json::to_vec(&names)?)?;
        fs::rename(&new_path, &self.path)
    }
}
