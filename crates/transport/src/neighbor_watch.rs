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
    detector: RefCell<FailureDetector>,
    socket: UdpSocket,
    started_at: Instant,
}

impl NeighborWatch {
    /// Starts the failure detector on a socket that is bound to the address of `identity`. `seed` is a random number
    /// drawn by this process.
    pub fn start(socket: UdpSocket, identity: Identity, seeds: Vec<SocketAddr>, seed: u64) -> Rc<Self> {
        let detector = RefCell::new(FailureDetector::new(identity, member_addrs(&seeds), seed, 0));
        let neighbor_watch = Rc::new(Self { detector, socket, started_at: Instant::now() });
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
            neighbor_watch.detector.borrow_mut().tick(neighbor_watch.now(), &mut out);
            neighbor_watch.send(out);
            let due = neighbor_watch.detector.borrow().next_tick().max(neighbor_watch.now() + 1);
            tokio::select! {
                // After an error, `readable` would fail again immediately, so the loop then waits for the next tick.
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
                // An ICMP error for a datagram that was sent earlier. Received datagrams can still be read.
                Err(_) => continue,
            };
            let message = buffer.get(..length).and_then(Message::decode);
            let Some(message) =
                message.filter(|message| member_addr(from) == Some(message.from.identity.addr))
            else {
                continue;
            };
            let mut out = Vec::new();
            self.detector.borrow_mut().receive(message, self.now(), &mut out);
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
        self.detector.borrow_mut().record_other_contact(self.now());
    }

    /// Replaces the seed addresses.
    pub fn set_seeds(&self, seeds: &[SocketAddr]) {
        self.detector.borrow_mut().set_seeds(member_addrs(seeds));
    }

    /// Announces that this process shuts down, so that the others need not detect its failure.
    pub fn leave(&self) {
        let mut out = Vec::new();
        self.detector.borrow_mut().leave(self.now(), &mut out);
        self.send(out);
    }

    /// Calls `visit` with the known state of each process.
    pub fn for_each_member(&self, visit: impl FnMut(&MemberRecord)) {
        self.detector.borrow().records().for_each(visit);
    }

    /// Whether this process receives no datagrams from others, so that its view is outdated.
    pub fn is_isolated(&self) -> bool {
        self.detector.borrow().is_isolated()
    }

    /// The state of the failure detector, for operators.
    pub fn status(&self) -> DetectorStatus {
        self.detector.borrow().status(self.now())
    }
}

/// The failure detector's representation of an IPv4 address. IPv6 addresses are not supported.
fn member_addr(address: SocketAddr) -> Option<MemberAddr> {
    match address {
        SocketAddr::V4(address) => Some(address.into()),
        SocketAddr::V6(_) => None,
    }
}

fn member_addrs(addresses: &[SocketAddr]) -> Vec<MemberAddr> {
    addresses.iter().copied().filter_map(member_addr).collect()
}

/// The identity of a process for the failure detector: the address on which the process receives datagrams, its name,
/// its role and a number that differs after each start (`instance`).
pub fn identity(at: SocketAddrV4, name: &str, data_plane: bool, instance: u64) -> Identity {
    Identity { addr: at.into(), name: name.to_owned(), data_plane, start_id: instance }
}
