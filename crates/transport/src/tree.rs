//! A place in the tree of relays: what the state machine decides, over real connections.

use crate::config_snapshots::{ConfigEncoder, rebuild};
use crate::line::{Line, LineError, Reader, attach, dial};
use crate::spawn;
use config::Detours;
use protocol::relay::Word;
use protocol::{Held, Hello, Message};
use relay_tree::{Input, Output, Relay, Settings};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::sync::mpsc;

/// More connections of others are not taken: those that ask in vain are gone soon.
const CALLERS: usize = 64;

/// A connection that came is used by then, in ms, or ended.
const ASKS: u64 = 3000;

/// Frames of the words that relays say: what goes to many is made once.
#[derive(Debug, Default)]
pub struct Signals {
    last: Option<(Word, Rc<[u8]>)>,
}

impl Signals {
    /// The frame of a word.
    pub fn frame(&mut self, word: Word) -> Rc<[u8]> {
        match &self.last {
            Some((last, frame)) if *last == word => frame.clone(),
            _ => {
                let frame: Rc<[u8]> = match &word {
                    Word::ConfigSnapshot(config_snapshot) => ConfigEncoder::new(
                        config_snapshot.version,
                        &config_snapshot.body,
                    )
                    .frame(Held::default(), None, &config_snapshot.body),
                    word => protocol::frame(&Message::Relay(word.clone())).into(),
                };
                self.last = Some((word, frame.clone()));
                frame
            }
        }
    }
}

/// The word that a message is, on a connection between relays.
pub fn word_of(message: Message) -> Option<Word> {
    match message {
        Message::Relay(word) => Some(word),
        Message::ConfigSnapshot(config_snapshot) => Some(Word::ConfigSnapshot(config_snapshot)),
        // It comes with no base: who can't make it out asks again, by the number in the next heartbeat.
        Message::ConfigDelta(config_delta) => rebuild(None, &config_delta).ok().map(Word::ConfigSnapshot),
        _ => None,
    }
}

/// What happens on the connections.
pub(crate) enum Event {
    /// One that this process dialed stands.
    Up(u64, Line),
    /// Another process has connected.
    Caller(u64, Line),
    /// A message, or the end.
    Said(u64, Result<Message, LineError>),
}

struct Dialed {
    number: u64,
    to: SocketAddr,
    line: Option<Line>,
    /// Said before it stood.
    waiting: Vec<Rc<[u8]>>,
}

struct Caller {
    line: Line,
    /// Where it takes connections, once it has said so.
    from: Option<SocketAddr>,
    since: u64,
}

/// One process's place.
pub(crate) struct Tree {
    relay: Relay,
    hello: Hello,
    /// By which ways others are reached.
    ways: Detours,
    numbers: u64,
    dialed: Option<Dialed>,
    callers: BTreeMap<u64, Caller>,
    signals: Signals,
    events: mpsc::Sender<Event>,
    outputs: Vec<Output>,
}

impl Tree {
    /// Takes connections at `listener`; what happens on any comes out of the queue.
    pub(crate) fn start(
        settings: Settings, hello: Hello, ways: Detours, listener: TcpListener,
    ) -> (Self, mpsc::Receiver<Event>) {
        let (events, queue) = mpsc::channel(256);
        spawn(listen(listener, events.clone()));
        let (relay, callers) = (Relay::new(settings), BTreeMap::new());
        let signals = Signals::default();
        let outputs = Vec::new();
        (Self { relay, hello, ways, numbers: 0, dialed: None, callers, signals, events, outputs }, queue)
    }

    /// Whom this process follows.
    pub(crate) fn follows(&self) -> Option<SocketAddr> {
        self.relay.following()
    }

    /// Works something off; gives the news in it.
    pub(crate) fn work(&mut self, now: u64, input: Input) -> Vec<Output> {
        self.relay.handle(now, input, &mut self.outputs);
        let mut news = Vec::new();
        for output in std::mem::take(&mut self.outputs) {
            match output {
                Output::Send { to, word } => self.send(to, word),
                other => news.push(other),
            }
        }
        news
    }

    fn send(&mut self, to: SocketAddr, word: Word) {
        let (up, joins, leaves) =
            (word.is_up(), matches!(word, Word::Join { .. }), matches!(word, Word::Leave));
        let frame = self.signals.frame(word);
        if joins {
            self.dial(to);
        }
        if !up {
            // Of two connections the newer one counts: the other is of a life before.
            if let Some(caller) = self.callers.values().rev().find(|caller| caller.from == Some(to)) {
                caller.line.send_frame(frame);
            }
        } else if let Some(dialed) = self.dialed.as_mut().filter(|dialed| dialed.to == to) {
            match &dialed.line {
                Some(line) => drop(line.send_frame(frame)),
                None => dialed.waiting.push(frame),
            }
        }
        if leaves {
            self.dialed = None;
        }
    }

    fn dial(&mut self, to: SocketAddr) {
        self.numbers += 2;
        let (number, events, ways) = (self.numbers, self.events.clone(), self.ways.clone());
        let hello = protocol::frame(&Message::Hello(self.hello.clone())).into();
        self.dialed = Some(Dialed { number, to, line: None, waiting: vec![hello] });
        spawn(async move {
            match dial(to, &ways).await {
                Ok((line, reader)) => {
                    if events.send(Event::Up(number, line)).await.is_ok() {
                        read(number, reader, events).await;
                    }
                }
                Err(error) => drop(events.send(Event::Said(number, Err(error))).await),
            }
        });
    }

    /// What a connection's event is to the state machine.
    pub(crate) fn input(&mut self, now: u64, event: Event) -> Option<Input> {
        match event {
            Event::Up(number, line) => {
                let dialed = self.dialed.as_mut().filter(|dialed| dialed.number == number)?;
                for frame in dialed.waiting.drain(..) {
                    line.send_frame(frame);
                }
                dialed.line = Some(line);
                None
            }
            Event::Caller(number, line) => {
                if self.callers.len() < CALLERS {
                    self.callers.insert(number, Caller { line, from: None, since: now });
                }
                None
            }
            Event::Said(number, Ok(message)) => {
                let word = word_of(message)?;
                let dialed = self.dialed.as_ref().filter(|dialed| dialed.number == number);
                let from = match dialed {
                    Some(dialed) => Some(dialed.to),
                    None => {
                        let caller = self.callers.get_mut(&number)?;
                        if let Word::Join { at, .. } = &word {
                            caller.from = at.parse().ok();
                        }
                        caller.from
                    }
                };
                // What a follower says comes from those that called, and the other way round.
                (word.is_up() != dialed.is_some()).then_some(Input::Heard { from: from?, word })
            }
            Event::Said(number, Err(_)) => {
                if self.dialed.as_ref().is_some_and(|dialed| dialed.number == number) {
                    return self.dialed.take().map(|dialed| Input::Lost(dialed.to));
                }
                let from = self.callers.remove(&number)?.from;
                let again = self.callers.values().any(|other| other.from == from);
                from.filter(|_| !again).map(Input::Left)
            }
        }
    }

    /// Forgets connections on which nothing goes any more, and those that came and do not follow.
    pub(crate) fn lost(&mut self, now: u64) -> Option<Input> {
        let relay = &self.relay;
        self.callers.retain(|_, caller| {
            let follows = || relay.followers().any(|follower| Some(follower) == caller.from);
            !caller.line.is_lost() && (now < caller.since + ASKS || follows())
        });
        let dialed = self.dialed.take_if(|dialed| dialed.line.as_ref().is_some_and(Line::is_lost))?;
        Some(Input::Lost(dialed.to))
    }
}

async fn read(number: u64, mut reader: Reader, events: mpsc::Sender<Event>) {
    loop {
        let next = reader.next().await;
        let over = next.is_err();
        if events.send(Event::Said(number, next)).await.is_err() || over {
            return;
        }
    }
}

async fn listen(listener: TcpListener, events: mpsc::Sender<Event>) {
    // Those that were dialed have the even numbers.
    let mut number = 1;
    loop {
        let Ok((stream, peer)) = listener.accept().await else {
            // Descriptors may have run out: others end meanwhile.
            tokio::time::sleep(std::time::Duration::from_millis(10)).await;
            continue;
        };
        let (line, reader) = attach(stream, peer);
        if events.send(Event::Caller(number, line)).await.is_err() {
            return;
        }
        spawn(read(number, reader, events.clone()));
        number += 2;
    }
}
