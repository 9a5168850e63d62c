//! Client of the shared counter, a service that adds up the quota units used by all gateways. The client pipelines
//! RESP2 calls on a few connections. A call whose outcome is `Unknown` may or may not have been executed.

use crate::observe::usage::{ConnectionUse, ResourceUsage};
use crate::time::clock::millis;
use doorcourse::{CountOutcome, Millis};
use http_proxy::engine::{Counter, CounterCallback};
use redis_protocol::resp2::decode::decode;
use redis_protocol::resp2::types::OwnedFrame;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// Number of connections. The calls for a name use the same connection while that connection responds, so that they
/// are executed in order.
pub const CONNECTIONS: usize = 2;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Delay before reconnecting, first and maximum; the delay doubles with every failure.
const RECONNECT_BACKOFF: [Duration; 2] = [Duration::from_millis(20), Duration::from_millis(500)];
/// A connection with pending calls on which nothing has arrived for this long is closed: a machine that vanished sends
/// no reset. The timeout exceeds the time in which the counter works off its longest queue of calls.
const UNRESPONSIVE_TIMEOUT: Duration = Duration::from_millis(250);
/// Interval of pings on an idle connection.
const PING_INTERVAL: Duration = Duration::from_secs(3);
/// Maximum number of calls without an answer on a connection, and of received bytes that form no complete answer.
const MAX_PENDING_CALLS: usize = 1024;
const MAX_UNPARSED_BYTES: usize = 4096;

/// A call that was queued on a connection and has no answer yet.
struct Call {
    /// Name of the count; `None` for a ping.
    name: Option<u64>,
    amount: f64,
    made_at: Instant,
    /// Offset just after the call's last byte in the stream of bytes written on this connection.
    end_offset: u64,
    /// Whether the callback has received the outcome `Unknown` after the call timed out. Always true for a ping, which
    /// has no outcome to report.
    reported: bool,
}

/// The state of one connection; starts anew when the connection is re-established.
#[derive(Default)]
struct Pipeline {
    connected: bool,
    /// Bytes of calls that are not yet written to the socket.
    write_buffer: VecDeque<u8>,
    /// Number of bytes written on this connection.
    written: u64,
    /// Calls without an answer, oldest first.
    calls: VecDeque<Call>,
    /// When bytes last arrived.
    last_read_at: Option<Instant>,
}

struct CounterConnection {
    call_timeout: Duration,
    callback: Rc<CounterCallback>,
    usage: Rc<ResourceUsage>,
    pipeline: RefCell<Pipeline>,
    wake: Notify,
    error_logged: Cell<bool>,
}

/// Client of the shared counter.
pub struct CounterClient {
    connections: Vec<Rc<CounterConnection>>,
    address: watch::Sender<SocketAddr>,
}

impl CounterClient {
    /// Connects and reconnects from now on. A call without an answer for `call_timeout` is reported as unknown.
    pub fn start(
        address: SocketAddr, call_timeout: Duration, callback: Rc<CounterCallback>, usage: Rc<ResourceUsage>,
    ) -> Self {
        let (address, at) = watch::channel(address);
        let connection = |_| {
            let (pipeline, wake, error_logged) = (RefCell::default(), Notify::new(), Cell::new(false));
            let connection = Rc::new(CounterConnection {
                call_timeout,
                callback: callback.clone(),
                usage: usage.clone(),
                pipeline,
                wake,
                error_logged,
            });
            tokio::task::spawn_local(connection.clone().run(at.clone()));
            connection
        };
        Self { connections: (0..CONNECTIONS).map(connection).collect(), address }
    }
}

impl Counter for CounterClient {
    /// Changes the address. Answers to pending calls are still read from the old address.
    fn set_address(&self, address: SocketAddr) {
        self.address.send_replace(address);
    }

    /// Whether any connection is established.
    fn is_available(&self) -> bool {
        self.connections.iter().any(|connection| connection.pipeline.borrow().connected)
    }

    /// Adds an amount to a count. The outcome is reported later or, without a connection, at once.
    fn add(&self, name: u64, amount: f64, ttl: Millis) {
        let home = name as usize % self.connections.len();
        let mut connections = self.connections[home..].iter().chain(&self.connections[..home]);
        // Avoids connections that are closed or unresponsive while another connection responds: every call on such a
        // connection would fail until the connection is re-established.
        let connection =
            connections.find(|connection| connection.is_responsive()).unwrap_or(&self.connections[home]);
        let name_text = name.to_string();
        let amount_text = format!("{}", (amount * 1e6).round() / 1e6);
        let ttl = (ttl.ceil().max(1.0) as u64).to_string();
        if !connection.enqueue(Some(name), amount, &["ADDGET", &name_text, &amount_text, &ttl]) {
            (connection.callback)(name, CountOutcome::NotAdded, 0.0);
        }
    }
}

impl CounterConnection {
    /// Whether the connection is established and responds: bytes have arrived since its oldest call if that call has
    /// timed out.
    fn is_responsive(&self) -> bool {
        let pipeline = self.pipeline.borrow();
        let unanswered = |c: &Call| {
            c.reported && pipeline.last_read_at.is_none_or(|last_read_at| last_read_at < c.made_at)
        };
        pipeline.connected && !pipeline.calls.front().is_some_and(unanswered)
    }

    /// Queues a call; false without a connection or with too many pending calls.
    fn enqueue(&self, name: Option<u64>, amount: f64, args: &[&str]) -> bool {
        let mut pipeline = self.pipeline.borrow_mut();
        if !pipeline.connected || pipeline.calls.len() >= MAX_PENDING_CALLS {
            return false;
        }
        pipeline.write_buffer.extend(format!("*{}\r\n", args.len()).bytes());
        for arg in args {
            pipeline.write_buffer.extend(format!("${}\r\n{arg}\r\n", arg.len()).bytes());
        }
        if name.is_some() {
            self.usage.counter_called();
        }
        let end_offset = pipeline.written + pipeline.write_buffer.len() as u64;
        pipeline.calls.push_back(Call {
            name,
            amount,
            made_at: Instant::now(),
            end_offset,
            reported: name.is_none(),
        });
        self.wake.notify_one();
        true
    }

    async fn run(self: Rc<Self>, mut address: watch::Receiver<SocketAddr>) {
        let mut backoff = RECONNECT_BACKOFF[0];
        loop {
            let (started, at) = (Instant::now(), *address.borrow_and_update());
            if let Ok(Ok(stream)) = timeout(CONNECT_TIMEOUT, TcpStream::connect(at)).await
                && stream.set_nodelay(true).is_ok()
            {
                *self.pipeline.borrow_mut() = Pipeline { connected: true, ..Pipeline::default() };
                let open = self.usage.connection_opened(ConnectionUse::Counter);
                let result = self.run_session(&stream, &mut address).await;
                drop((stream, open));
                self.report_unanswered();
                if let Err(error) = result
                    && error.kind() == io::ErrorKind::InvalidData
                    && !self.error_logged.replace(true)
                {
                    eprintln!("counter: {error} (logged once)");
                }
                // A connection that lasted this long was usable, so the next reconnect starts with the shortest delay.
                if started.elapsed() > UNRESPONSIVE_TIMEOUT {
                    backoff = RECONNECT_BACKOFF[0];
                }
            }
            if *address.borrow() != at {
                backoff = RECONNECT_BACKOFF[0];
                continue;
            }
            sleep(backoff).await;
            backoff = (backoff * 2).min(RECONNECT_BACKOFF[1]);
        }
    }

    /// Reports all calls without an answer. A call that was not written whole was not executed.
    fn report_unanswered(&self) {
        let Pipeline { calls, written, .. } = self.pipeline.take();
        for call in calls {
            let added =
                if call.end_offset <= written { CountOutcome::Unknown } else { CountOutcome::NotAdded };
            self.report(&call, added);
        }
    }

    fn report(&self, call: &Call, outcome: CountOutcome) {
        if let (Some(name), false) = (call.name, call.reported) {
            (self.callback)(name, outcome, millis(call.made_at.elapsed()));
        }
    }

    async fn run_session(
        &self, stream: &TcpStream, address: &mut watch::Receiver<SocketAddr>,
    ) -> io::Result<()> {
        let (mut last_activity, mut input, mut address_changed) = (Instant::now(), Vec::new(), false);
        loop {
            if address_changed && self.is_idle() {
                return Ok(());
            }
            let (has_output, due) = {
                let pipeline = self.pipeline.borrow();
                // The same deadlines as are checked below: sleeping until a deadline that has passed would spin until
                // the other deadline is reached.
                let silence_deadline = pipeline.calls.front().map_or(last_activity + PING_INTERVAL, |c| {
                    c.made_at.max(last_activity) + UNRESPONSIVE_TIMEOUT
                });
                let call_deadline =
                    pipeline.calls.iter().find(|c| !c.reported).map(|c| c.made_at + self.call_timeout);
                (
                    !pipeline.write_buffer.is_empty(),
                    call_deadline.map_or(silence_deadline, |due| due.min(silence_deadline)),
                )
            };
            tokio::select! {
                () = self.wake.notified() => {}
                Ok(()) = address.changed(), if !address_changed => address_changed = true,
                ready = stream.readable() => ready?,
                ready = stream.writable(), if has_output => ready?,
                () = sleep_until(due) => {}
            }
            self.write(stream)?;
            // Reads before checking timeouts, so that an answer that has arrived counts.
            if self.read(stream, &mut input)? {
                last_activity = Instant::now();
                self.pipeline.borrow_mut().last_read_at = Some(last_activity);
            }
            self.report_timeouts();
            if last_activity.elapsed() >= PING_INTERVAL && self.is_idle() {
                last_activity = Instant::now();
                self.enqueue(None, 0.0, &["PING"]);
            }
            let oldest = self.pipeline.borrow().calls.front().map(|c| c.made_at.max(last_activity));
            if oldest.is_some_and(|at| at.elapsed() >= UNRESPONSIVE_TIMEOUT) {
                return Err(io::ErrorKind::TimedOut.into());
            }
        }
    }

    fn is_idle(&self) -> bool {
        self.pipeline.borrow().calls.is_empty()
    }

    fn write(&self, stream: &TcpStream) -> io::Result<()> {
        let mut pipeline = self.pipeline.borrow_mut();
        while !pipeline.write_buffer.is_empty() {
            match stream.try_write(pipeline.write_buffer.as_slices().0) {
                Ok(written) => {
                    pipeline.write_buffer.drain(..written);
                    pipeline.written += written as u64;
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    /// Reads what has arrived and reports the answers. Returns whether any bytes arrived.
    fn read(&self, stream: &TcpStream, input: &mut Vec<u8>) -> io::Result<bool> {
        let (mut received, mut bytes) = (false, [0; 4096]);
        loop {
            match stream.try_read(&mut bytes) {
                Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
                Ok(read) => input.extend_from_slice(&bytes[..read]),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(received),
                Err(error) => return Err(error),
            }
            received = true;
            while let Some((frame, length)) = decode(input).map_err(|e| invalid_data(e.to_string()))? {
                input.drain(..length);
                self.handle_reply(frame)?;
            }
            if input.len() > MAX_UNPARSED_BYTES {
                return Err(invalid_data("answer too long".into()));
            }
        }
    }

    /// Handles the answer to the oldest call. The answer to a call that was already reported as unknown is reported as
    /// late: the amount was added and must be accounted for.
    fn handle_reply(&self, frame: OwnedFrame) -> io::Result<()> {
        let call = self.pipeline.borrow_mut().calls.pop_front();
        let Some(call) = call else { return Err(invalid_data("answer without a call".into())) };
        let outcome = match frame {
            OwnedFrame::BulkString(text) => {
                let total = std::str::from_utf8(&text).ok().and_then(|t| t.parse::<f64>().ok());
                total.filter(|t| t.is_finite()).map(CountOutcome::Total)
            }
            OwnedFrame::Error(_) => Some(CountOutcome::NotAdded),
            OwnedFrame::SimpleString(_) if call.name.is_none() => return Ok(()),
            _ => None,
        };
        match (call.name, outcome) {
            (Some(name), Some(CountOutcome::Total(total))) if call.reported => {
                let late = CountOutcome::Late { total, amount: call.amount };
                (self.callback)(name, late, millis(call.made_at.elapsed()));
            }
            _ => self.report(&call, outcome.unwrap_or(CountOutcome::Unknown)),
        }
        outcome.map(|_| ()).ok_or_else(|| invalid_data("answer is not a total".into()))
    }

    /// Reports calls that have timed out as unknown. The calls stay in the queue, since their answers may still arrive.
    /// A call that is not yet written whole is reported as unknown as well, since the rest may still be written.
    fn report_timeouts(&self) {
        loop {
            let late = {
                let mut pipeline = self.pipeline.borrow_mut();
                let next = pipeline.calls.iter_mut().find(|c| !c.reported);
                let Some(call) = next.filter(|c| c.made_at.elapsed() >= self.call_timeout) else { return };
                call.reported = true;
                Call { reported: false, ..*call }
            };
            self.report(&late, CountOutcome::Unknown);
        }
    }
}

fn invalid_data(what: String) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what)
}
