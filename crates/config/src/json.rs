//! A JSON document as it was written, and a cursor that knows where in it it stands.
//!
//! `serde_json::Value` keeps the last of two entries of one name. For a table of routes that would drop a route without
//! a word, so the tree here keeps every entry, and the reader says which names occur twice.

use std::fmt::{self, Display};

use serde::de::{Deserialize, Deserializer, MapAccess, SeqAccess, Visitor};
use sha2::{Digest, Sha256};

use crate::config::{ConfigLine, Wrong};

/// How many faults of one document are written out; the others are only counted, since they go into an answer.
const LINES: usize = 20;

/// How much of a name is shown in a path: names come from outside.
const SHOWN: usize = 64;

/// A value of the document.
#[derive(Debug)]
pub(crate) enum Node {
    Null,
    Message(bool),
    Whole(u64),
    Figure(f64),
    Text(String),
    List(Vec<Node>),
    Table(Vec<(String, Node)>),
}

impl Node {
    fn kind(&self) -> &'static str {
        match self {
            Self::Null => "null",
            Self::Message(_) => "true or false",
            Self::Whole(_) | Self::Figure(_) => "a number",
            Self::Text(_) => "a text",
            Self::List(_) => "a list",
            Self::Table(_) => "a table",
        }
    }

    /// Digest of what the document says, whatever its spacing and the order of its tables' entries.
    pub(crate) fn digest(&self) -> [u8; 32] {
        let mut hasher = Sha256::new();
        self.feed(&mut hasher);
        hasher.finalize().into()
    }

    /// Every value starts with a tag and whatever has a length states it, so that no two trees feed the same bytes.
    fn feed(&self, hasher: &mut Sha256) {
        let text = |hasher: &mut Sha256, text: &str| {
            hasher.update((text.len() as u64).to_be_bytes());
            hasher.update(text);
        };
        match self {
            Self::Null => hasher.update(b"n"),
            Self::Message(flag) => hasher.update([b'b', u8::from(*flag)]),
            Self::Whole(whole) => {
                hasher.update(b"w");
                hasher.update(whole.to_be_bytes());
            }
            Self::Figure(figure) => {
                hasher.update(b"f");
                hasher.update(figure.to_bits().to_be_bytes());
            }
            Self::Text(content) => {
                hasher.update(b"t");
                text(hasher, content);
            }
            Self::List(entries) => {
                hasher.update(b"l");
                hasher.update((entries.len() as u64).to_be_bytes());
                entries.iter().for_each(|entry| entry.feed(hasher));
            }
            Self::Table(entries) => {
                hasher.update(b"m");
                hasher.update((entries.len() as u64).to_be_bytes());
                let mut sorted: Vec<_> = entries.iter().collect();
                sorted.sort_by(|a, b| a.0.cmp(&b.0));
                for (name, entry) in sorted {
                    text(hasher, name);
                    entry.feed(hasher);
                }
            }
        }
    }
}

/// Largest whole number up to which every whole number has a float of its own.
const EXACT: f64 = 9_007_199_254_740_992.0;

impl From<f64> for Node {
    /// `2`, `2.0` and `2e0` are one number in JSON, so a float without a fraction is kept as the whole number it is.
    fn from(figure: f64) -> Self {
        if (0.0..=EXACT).contains(&figure) && figure.fract() == 0.0 {
            Self::Whole(figure as u64)
        } else {
            Self::Figure(figure)
        }
    }
}

impl<'de> Deserialize<'de> for Node {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct Any;

        impl<'de> Visitor<'de> for Any {
            type Value = Node;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("a JSON value")
            }

            fn visit_unit<E>(self) -> Result<Node, E> {
                Ok(Node::Null)
            }

            fn visit_bool<E>(self, flag: bool) -> Result<Node, E> {
                Ok(Node::Message(flag))
            }

            fn visit_u64<E>(self, whole: u64) -> Result<Node, E> {
                Ok(Node::Whole(whole))
            }

            fn visit_i64<E>(self, whole: i64) -> Result<Node, E> {
                Ok(u64::try_from(whole).map_or(Node::Figure(whole as f64), Node::Whole))
            }

            fn visit_f64<E>(self, figure: f64) -> Result<Node, E> {
                Ok(Node::from(figure))
            }

            fn visit_str<E>(self, text: &str) -> Result<Node, E> {
                Ok(Node::Text(text.to_owned()))
            }

            fn visit_string<E>(self, text: String) -> Result<Node, E> {
                Ok(Node::Text(text))
            }

            fn visit_seq<A: SeqAccess<'de>>(self, mut entries: A) -> Result<Node, A::Error> {
                let mut list = Vec::new();
                while let Some(entry) = entries.next_element()? {
                    list.push(entry);
                }
                Ok(Node::List(list))
            }

            fn visit_map<A: MapAccess<'de>>(self, mut entries: A) -> Result<Node, A::Error> {
                let mut table = Vec::new();
                while let Some(entry) = entries.next_entry()? {
                    table.push(entry);
                }
                Ok(Node::Table(table))
            }
        }

        deserializer.deserialize_any(Any)
    }
}

/// What was found wrong so far.
#[derive(Debug, Default)]
pub(crate) struct Faults {
    pub(crate) lines: Vec<ConfigLine>,
    pub(crate) more: usize,
}

impl Faults {
    pub(crate) fn add(&mut self, place: &At<'_>, wrong: Wrong) {
        if self.lines.len() < LINES {
            self.lines.push(ConfigLine { place: place.to_string(), wrong });
        } else {
            self.more += 1;
        }
    }
}

#[derive(Debug, Clone, Copy)]
enum Step<'a> {
    Root,
    Name(&'a str),
    Index(usize),
}

/// A value and the way to it. The way is only written out for a fault.
#[derive(Debug, Clone, Copy)]
pub(crate) struct At<'a> {
    parent: Option<&'a At<'a>>,
    step: Step<'a>,
    node: &'a Node,
}

impl Display for At<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let above = self.parent.filter(|parent| parent.parent.is_some());
        if let Some(parent) = self.parent {
            write!(f, "{}", if above.is_some() { parent.to_string() } else { String::new() })?;
        }
        match self.step {
            Step::Root => f.write_str("(document)"),
            Step::Index(index) => write!(f, "[{index}]"),
            Step::Name(name) => {
                let dot = if above.is_some() { "." } else { "" };
                write!(f, "{dot}{}", name.chars().take(SHOWN).collect::<String>().escape_debug())
            }
        }
    }
}

impl<'a> At<'a> {
    pub(crate) fn root(node: &'a Node) -> Self {
        Self { parent: None, step: Step::Root, node }
    }

    /// The entry of that name. `null` counts as left out: both say that there is nothing.
    pub(crate) fn maybe<'s>(&'s self, name: &'s str) -> Option<At<'s>> {
        let Node::Table(entries) = self.node else { return None };
        let (_, node) = entries.iter().find(|(entry, _)| entry == name)?;
        (!matches!(node, Node::Null)).then_some(At { parent: Some(self), step: Step::Name(name), node })
    }

    /// The entry of that name, which has to be there.
    pub(crate) fn need<'s>(&'s self, name: &'s str, faults: &mut Faults) -> Option<At<'s>> {
        let found = self.maybe(name);
        if found.is_none() {
            let missing = At { parent: Some(self), step: Step::Name(name), node: &Node::Null };
            faults.add(&missing, Wrong::Missing);
        }
        found
    }

    /// Notes every name that occurs twice in one table, anywhere below.
    pub(crate) fn find_doubles(&self, faults: &mut Faults) {
        match self.node {
            Node::Table(entries) => {
                let mut seen = std::collections::HashSet::with_capacity(entries.len());
                for (name, node) in entries {
                    let entry = At { parent: Some(self), step: Step::Name(name), node };
                    if !seen.insert(name) {
                        faults.add(&entry, Wrong::Twice);
                    }
                    entry.find_doubles(faults);
                }
            }
            Node::List(_) => {
                for entry in self.list(faults).into_iter().flatten() {
                    entry.find_doubles(faults);
                }
            }
            _ => {}
        }
    }

    fn wants<T>(&self, want: &'static str, faults: &mut Faults) -> Option<T> {
        faults.add(self, Wrong::Kind { want, got: self.node.kind() });
        None
    }

    /// Says so where this is no table, so that its entries are not said to be missing as well.
    pub(crate) fn is_table(&self, faults: &mut Faults) -> Option<()> {
        self.table(faults).map(drop)
    }

    pub(crate) fn table<'s>(
        &'s self, faults: &mut Faults,
    ) -> Option<impl Iterator<Item = (&'s str, At<'s>)> + use<'s>> {
        let Node::Table(entries) = self.node else { return self.wants("a table", faults) };
        Some(entries.iter().map(move |(name, node)| {
            (name.as_str(), At { parent: Some(self), step: Step::Name(name), node })
        }))
    }

    pub(crate) fn list<'s>(&'s self, faults: &mut Faults) -> Option<impl Iterator<Item = At<'s>> + use<'s>> {
        let Node::List(entries) = self.node else { return self.wants("a list", faults) };
        Some(entries.iter().enumerate().map(move |(index, node)| At {
            parent: Some(self),
            step: Step::Index(index),
            node,
        }))
    }

    pub(crate) fn text<'s>(&'s self, faults: &mut Faults) -> Option<&'s str> {
        let Node::Text(text) = self.node else { return self.wants("a text", faults) };
        Some(text)
    }

    pub(crate) fn flag(&self, faults: &mut Faults) -> Option<bool> {
        let Node::Message(flag) = self.node else { return self.wants("true or false", faults) };
        Some(*flag)
    }

    /// A whole number that fits.
    pub(crate) fn whole<T: TryFrom<u64>>(&self, faults: &mut Faults) -> Option<T> {
        match self.node {
            Node::Whole(whole) => match T::try_from(*whole) {
                Ok(whole) => Some(whole),
                Err(_) => {
                    faults.add(self, Wrong::TooLarge);
                    None
                }
            },
            Node::Figure(figure) => {
                faults.add(self, Wrong::NotWhole(*figure));
                None
            }
            _ => self.wants("a whole number", faults),
        }
    }

    /// A figure that is not negative, fractions allowed.
    pub(crate) fn figure(&self, faults: &mut Faults) -> Option<f64> {
        match self.node {
            Node::Whole(whole) => Some(*whole as f64),
            Node::Figure(figure) if figure.is_finite() && *figure >= 0.0 => Some(*figure),
            Node::Figure(figure) => {
                faults.add(self, Wrong::Negative(*figure));
                None
            }
            _ => self.wants("a number", faults),
        }
    }
}
