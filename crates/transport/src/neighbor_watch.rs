//! Watches the neighbours over datagrams: the socket and clock of a [`FailureDetector`].

use crate::spawn;
use failure_detector::{
    DetectorStatus, FailureDetector, Identity, MemberAddr, MemberRecord, Message, Millis, Outgoing,
};
use std::cell::RefCell;
use std::net::{SocketAddr, SocketAddrV4};
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::{Instant, sleep_until};

/// The longest datagram that is read, in bytes; those that are sent are about half as long at most.
const LONGEST: usize = 4096;
/// So many datagrams are read before others on this thread have their turn.
const AT_ONCE: usize = 64;

/// The watch of this process at work.
pub struct NeighborWatch {
    keeper: RefCell<FailureDetector>,
    socket: UdpSocket,
    began: Instant,
}

impl NeighborWatch {
    /// Watches from now on at a socket that is bound to the card's address; `seed` is drawn for this life.
    pub fn start(socket: UdpSocket, card: Identity, seeds: Vec<SocketAddr>, seed: u64) -> Rc<Self> {
        let keeper = RefCell::new(FailureDetector::new(card, marks(&seeds), seed, 0));
        let neighbor_watch = Rc::new(Self { keeper, socket, began: Instant::now() });
        spawn(Self::run(Rc::downgrade(&neighbor_watch)));
        neighbor_watch
    }

    fn now(&self) -> Millis {
        self.began.elapsed().as_millis() as Millis
    }

    async fn run(me: Weak<Self>) {
        let mut buffer = vec![0; LONGEST];
        loop {
            let Some(neighbor_watch) = me.upgrade() else { return };
            let mut out = Vec::new();
            neighbor_watch.keeper.borrow_mut().tick(neighbor_watch.now(), &mut out);
            neighbor_watch.send(out);
            let due = neighbor_watch.keeper.borrow().next_tick().max(neighbor_watch.now() + 1);
            tokio::select! {
                // A socket in trouble says so at once, again and again: the next step looks again.
                Ok(()) = neighbor_watch.socket.readable() => neighbor_watch.read(&mut buffer),
                () = sleep_until(neighbor_watch.began + Duration::from_millis(due)) => {}
            }
        }
    }

    fn read(&self, buffer: &mut [u8]) {
        for _ in 0..AT_ONCE {
            let (length, from) = match self.socket.try_recv_from(buffer) {
                Ok(read) => read,
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => return,
                // An earlier datagram found nobody: that is not an answer of this one.
                Err(_) => continue,
            };
            let message = buffer.get(..length).and_then(Message::decode);
            let Some(message) = message.filter(|message| mark(from) == Some(message.from.identity.addr))
            else {
                continue;
            };
            let mut out = Vec::new();
            self.keeper.borrow_mut().receive(message, self.now(), &mut out);
            self.send(out);
        }
    }

    fn send(&self, out: Vec<Outgoing>) {
        for Outgoing { to, message } in out {
            // A datagram that can't be sent is lost, as others are.
            let _ = self.socket.try_send_to(&message.encode(), SocketAddr::V4(to.into()));
        }
    }

    /// Another machine was heard by other means.
    pub fn in_contact(&self) {
        self.keeper.borrow_mut().record_other_contact(self.now());
    }

    /// The settings name other seeds.
    pub fn seeds(&self, seeds: &[SocketAddr]) {
        self.keeper.borrow_mut().set_seeds(marks(seeds));
    }

    /// The process is done: nobody has to find out.
    pub fn leave(&self) {
        let mut out = Vec::new();
        self.keeper.borrow_mut().leave(self.now(), &mut out);
        self.send(out);
    }

    /// What is held of all processes.
    pub fn each(&self, see: impl FnMut(&MemberRecord)) {
        self.keeper.borrow().records().for_each(see);
    }

    /// Whether this process hears nobody: what it holds is of old.
    pub fn is_isolated(&self) -> bool {
        self.keeper.borrow().is_isolated()
    }

    /// How it stands, for operators.
    pub fn standing(&self) -> DetectorStatus {
        self.keeper.borrow().status(self.now())
    }
}

fn mark(address: SocketAddr) -> Option<MemberAddr> {
    match address {
        SocketAddr::V4(address) => Some(address.into()),
        SocketAddr::V6(_) => None,
    }
}

fn marks(addresses: &[SocketAddr]) -> Vec<MemberAddr> {
    addresses.iter().copied().filter_map(mark).collect()
}

/// The card of a process that takes datagrams at an address.
pub fn card(at: SocketAddrV4, name: &str, data_plane: bool, life: u64) -> Identity {
    Identity { addr: at.into(), name: name.to_owned(), data_plane, start_id: life }
}
