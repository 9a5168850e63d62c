//! Failure detection over UDP: provides the socket and the clock for a [`FailureDetector`].

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

/// Maximum size of a received datagram in bytes. Sent datagrams are at most about half as large.
const MAX_DATAGRAM_BYTES: usize = 4096;
/// Maximum number of datagrams read before other tasks of this thread run.
const MAX_DATAGRAMS_PER_WAKEUP: usize = 64;

/// The running failure detector of this process.
pub struct NeighborWatch {
    keeper: RefCell<FailureDetector>,
    socket: UdpSocket,
    started_at: Instant,
}

impl NeighborWatch {
    /// Starts the failure detector on a socket that is bound to the card's address. `seed` is a random number drawn
    /// by this process.
    pub fn start(socket: UdpSocket, card: Identity, seeds: Vec<SocketAddr>, seed: u64) -> Rc<Self> {
        let keeper = RefCell::new(FailureDetector::new(card, marks(&seeds), seed, 0));
        let neighbor_watch = Rc::new(Self { keeper, socket, started_at: Instant::now() });
        spawn(Self::run(Rc::downgrade(&neighbor_watch)));
        neighbor_watch
    }

    fn now(&self) -> Millis {
        self.started_at.elapsed().as_millis() as Millis
    }

    async fn run(watch: Weak<Self>) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let Some(neighbor_watch) = watch.upgrade() else { return };
            let mut out = Vec::new();
            neighbor_watch.keeper.borrow_mut().tick(neighbor_watch.now(), &mut out);
            neighbor_watch.send(out);
            let due = neighbor_watch.keeper.borrow().next_tick().max(neighbor_watch.now() + 1);
            tokio::select! {
                // On an error, `readable` would fail again immediately. The error is ignored until the next step.
                Ok(()) = neighbor_watch.socket.readable() => neighbor_watch.read(&mut buffer),
                () = sleep_until(neighbor_watch.started_at + Duration::from_millis(due)) => {}
            }
        }
    }

    fn read(&self, buffer: &mut [u8]) {
        for _ in 0..MAX_DATAGRAMS_PER_WAKEUP {
            let (length, from) = match self.socket.try_recv_from(buffer) {
                Ok(read) => read,
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => return,
                // An ICMP error of a datagram sent earlier; it says nothing about the received datagrams.
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
            // A datagram that cannot be sent counts as lost.
            let _ = self.socket.try_send_to(&message.encode(), SocketAddr::V4(to.into()));
        }
    }

    /// Records contact with another machine by other means than datagrams.
    pub fn record_contact(&self) {
        self.keeper.borrow_mut().record_other_contact(self.now());
    }

    /// Replaces the seed addresses.
    pub fn set_seeds(&self, seeds: &[SocketAddr]) {
        self.keeper.borrow_mut().set_seeds(marks(seeds));
    }

    /// Announces that this process shuts down, so that the others need not detect its failure.
    pub fn leave(&self) {
        let mut out = Vec::new();
        self.keeper.borrow_mut().leave(self.now(), &mut out);
        self.send(out);
    }

    /// Calls `visit` with the known state of each process.
    pub fn for_each_member(&self, visit: impl FnMut(&MemberRecord)) {
        self.keeper.borrow().records().for_each(visit);
    }

    /// Whether this process receives no datagrams from others, so that its view is outdated.
    pub fn is_isolated(&self) -> bool {
        self.keeper.borrow().is_isolated()
    }

    /// The state of the failure detector, for operators.
    pub fn status(&self) -> DetectorStatus {
        self.keeper.borrow().status(self.now())
    }
}

/// The failure detector's representation of an IPv4 address. IPv6 addresses are not supported.
fn mark(address: SocketAddr) -> Option<MemberAddr> {
    match address {
        SocketAddr::V4(address) => Some(address.into()),
        SocketAddr::V6(_) => None,
    }
}

fn marks(addresses: &[SocketAddr]) -> Vec<MemberAddr> {
    addresses.iter().copied().filter_map(mark).collect()
}

/// The card by which the failure detector identifies a process: the address on which the process receives datagrams,
/// its name, its role and its process incarnation (`life`).
pub fn card(at: SocketAddrV4, name: &str, data_plane: bool, life: u64) -> Identity {
    Identity { addr: at.into(), name: name.to_owned(), data_plane, start_id: life }
}
