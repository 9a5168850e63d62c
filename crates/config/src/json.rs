//! A JSON document with all its entries, and a cursor that knows its path in the document.
//!
//! `serde_json::Value` keeps only the last of two entries with the same name. In a table of routes, this would
//! silently drop a route. The tree here keeps every entry, so that the parser can report duplicate names.

use std::fmt::{self, Display};

use serde::de::{Deserialize, Deserializer, MapAccess, SeqAccess, Visitor};
use sha2::{Digest, Sha256};

use crate::config::{ConfigIssue, ConfigIssueKind};

/// Maximum number of issues listed for one document, because the list goes into an HTTP response. Further issues are
/// only counted.
const MAX_ISSUES: usize = 20;

/// Maximum number of characters of a name shown in a path, because names come from outside.
const MAX_SHOWN_NAME_CHARS: usize = 64;

/// A value of the document.
#[derive(Debug)]
pub(crate) enum Node {
    Null,
    Flag(bool),
    Integer(u64),
    Float(f64),
    Text(String),
    List(Vec<Node>),
    Table(Vec<(String, Node)>),
}

impl Node {
    fn kind(&self) -> &'static str {
        match self {
            Self::Null => "null",
            Self::Flag(_) => "true or false",
            Self::Integer(_) | Self::Float(_) => "a number",
            Self::Text(_) => "a text",
            Self::List(_) => "a list",
            Self::Table(_) => "a table",
        }
    }

    /// Digest of the document's content, independent of whitespace and of the order of table entries.
    pub(crate) fn digest(&self) -> [u8; 32] {
        let mut hasher = Sha256::new();
        self.hash_into(&mut hasher);
        hasher.finalize().into()
    }

    /// Hashes the value. Each value starts with a type tag, and everything of variable length states its length, so
    /// that different trees never hash the same bytes.
    fn hash_into(&self, hasher: &mut Sha256) {
        let text = |hasher: &mut Sha256, text: &str| {
            hasher.update((text.len() as u64).to_be_bytes());
            hasher.update(text);
        };
        match self {
            Self::Null => hasher.update(b"n"),
            Self::Flag(flag) => hasher.update([b'b', u8::from(*flag)]),
            Self::Integer(integer) => {
                hasher.update(b"w");
                hasher.update(integer.to_be_bytes());
            }
            Self::Float(number) => {
                hasher.update(b"f");
                hasher.update(number.to_bits().to_be_bytes());
            }
            Self::Text(content) => {
                hasher.update(b"t");
                text(hasher, content);
            }
            Self::List(entries) => {
                hasher.update(b"l");
                hasher.update((entries.len() as u64).to_be_bytes());
                entries.iter().for_each(|entry| entry.hash_into(hasher));
            }
            Self::Table(entries) => {
                hasher.update(b"m");
                hasher.update((entries.len() as u64).to_be_bytes());
                let mut sorted: Vec<_> = entries.iter().collect();
                sorted.sort_by(|a, b| a.0.cmp(&b.0));
                for (name, entry) in sorted {
                    text(hasher, name);
                    entry.hash_into(hasher);
                }
            }
        }
    }
}

/// Largest integer up to which `f64` represents every integer exactly.
const MAX_EXACT_INTEGER: f64 = 9_007_199_254_740_992.0;

impl From<f64> for Node {
    /// `2`, `2.0` and `2e0` are the same number in JSON, so a float without a fraction is stored as an integer.
    fn from(number: f64) -> Self {
        if (0.0..=MAX_EXACT_INTEGER).contains(&number) && number.fract() == 0.0 {
            Self::Integer(number as u64)
        } else {
            Self::Float(number)
        }
    }
}

impl<'de> Deserialize<'de> for Node {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct NodeVisitor;

        impl<'de> Visitor<'de> for NodeVisitor {
            type Value = Node;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("a JSON value")
            }

            fn visit_unit<E>(self) -> Result<Node, E> {
                Ok(Node::Null)
            }

            fn visit_bool<E>(self, flag: bool) -> Result<Node, E> {
                Ok(Node::Flag(flag))
            }

            fn visit_u64<E>(self, integer: u64) -> Result<Node, E> {
                Ok(Node::Integer(integer))
            }

            fn visit_i64<E>(self, integer: i64) -> Result<Node, E> {
                Ok(u64::try_from(integer).map_or(Node::Float(integer as f64), Node::Integer))
            }

            fn visit_f64<E>(self, number: f64) -> Result<Node, E> {
                Ok(Node::from(number))
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

        deserializer.deserialize_any(NodeVisitor)
    }
}

/// The issues found so far.
#[derive(Debug, Default)]
pub(crate) struct Issues {
    pub(crate) lines: Vec<ConfigIssue>,
    pub(crate) omitted: usize,
}

impl Issues {
    pub(crate) fn add(&mut self, path: &Cursor<'_>, kind: ConfigIssueKind) {
        if self.lines.len() < MAX_ISSUES {
            self.lines.push(ConfigIssue { path: path.to_string(), kind });
        } else {
            self.omitted += 1;
        }
    }
}

#[derive(Debug, Clone, Copy)]
enum PathSegment<'a> {
    Root,
    Name(&'a str),
    Index(usize),
}

/// A value and its path in the document. The path is only formatted for an issue.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Cursor<'a> {
    parent: Option<&'a Cursor<'a>>,
    segment: PathSegment<'a>,
    node: &'a Node,
}

impl Display for Cursor<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let parent_below_root = self.parent.filter(|parent| parent.parent.is_some());
        if let Some(parent) = self.parent {
            write!(f, "{}", if parent_below_root.is_some() { parent.to_string() } else { String::new() })?;
        }
        match self.segment {
            PathSegment::Root => f.write_str("(document)"),
            PathSegment::Index(index) => write!(f, "[{index}]"),
            PathSegment::Name(name) => {
                let dot = if parent_below_root.is_some() { "." } else { "" };
                write!(
                    f,
                    "{dot}{}",
                    name.chars().take(MAX_SHOWN_NAME_CHARS).collect::<String>().escape_debug()
                )
            }
        }
    }
}

impl<'a> Cursor<'a> {
    pub(crate) fn root(node: &'a Node) -> Self {
        Self { parent: None, segment: PathSegment::Root, node }
    }

    /// The entry with this name, if it exists. `null` counts as missing, because both mean that no value is given.
    pub(crate) fn optional<'s>(&'s self, name: &'s str) -> Option<Cursor<'s>> {
        let Node::Table(entries) = self.node else { return None };
        let (_, node) = entries.iter().find(|(entry, _)| entry == name)?;
        (!matches!(node, Node::Null)).then_some(Cursor {
            parent: Some(self),
            segment: PathSegment::Name(name),
            node,
        })
    }

    /// The entry with this name. Reports an issue if the entry is missing.
    pub(crate) fn required<'s>(&'s self, name: &'s str, issues: &mut Issues) -> Option<Cursor<'s>> {
        let found = self.optional(name);
        if found.is_none() {
            let missing = Cursor { parent: Some(self), segment: PathSegment::Name(name), node: &Node::Null };
            issues.add(&missing, ConfigIssueKind::Missing);
        }
        found
    }

    /// Reports every name that occurs twice in one table, at any depth.
    pub(crate) fn report_duplicates(&self, issues: &mut Issues) {
        match self.node {
            Node::Table(entries) => {
                let mut seen = std::collections::HashSet::with_capacity(entries.len());
                for (name, node) in entries {
                    let entry = Cursor { parent: Some(self), segment: PathSegment::Name(name), node };
                    if !seen.insert(name) {
                        issues.add(&entry, ConfigIssueKind::Duplicate);
                    }
                    entry.report_duplicates(issues);
                }
            }
            Node::List(_) => {
                for entry in self.list(issues).into_iter().flatten() {
                    entry.report_duplicates(issues);
                }
            }
            _ => {}
        }
    }

    fn mismatch<T>(&self, expected: &'static str, issues: &mut Issues) -> Option<T> {
        issues.add(self, ConfigIssueKind::WrongType { expected, found: self.node.kind() });
        None
    }

    /// Reports an issue if the value is not a table. Callers then return early, so that the table's entries are not
    /// reported as missing as well.
    pub(crate) fn expect_table(&self, issues: &mut Issues) -> Option<()> {
        self.table(issues).map(drop)
    }

    pub(crate) fn table<'s>(
        &'s self, issues: &mut Issues,
    ) -> Option<impl Iterator<Item = (&'s str, Cursor<'s>)> + use<'s>> {
        let Node::Table(entries) = self.node else { return self.mismatch("a table", issues) };
        Some(entries.iter().map(move |(name, node)| {
            (name.as_str(), Cursor { parent: Some(self), segment: PathSegment::Name(name), node })
        }))
    }

    pub(crate) fn list<'s>(
        &'s self, issues: &mut Issues,
    ) -> Option<impl Iterator<Item = Cursor<'s>> + use<'s>> {
        let Node::List(entries) = self.node else { return self.mismatch("a list", issues) };
        Some(entries.iter().enumerate().map(move |(index, node)| Cursor {
            parent: Some(self),
            segment: PathSegment::Index(index),
            node,
        }))
    }

    pub(crate) fn text<'s>(&'s self, issues: &mut Issues) -> Option<&'s str> {
        let Node::Text(text) = self.node else { return self.mismatch("a text", issues) };
        Some(text)
    }

    pub(crate) fn flag(&self, issues: &mut Issues) -> Option<bool> {
        let Node::Flag(flag) = self.node else { return self.mismatch("true or false", issues) };
        Some(*flag)
    }

    /// An integer that fits the type.
    pub(crate) fn integer<T: TryFrom<u64>>(&self, issues: &mut Issues) -> Option<T> {
        match self.node {
            Node::Integer(integer) => match T::try_from(*integer) {
                Ok(integer) => Some(integer),
                Err(_) => {
                    issues.add(self, ConfigIssueKind::TooLarge);
                    None
                }
            },
            Node::Float(number) => {
                issues.add(self, ConfigIssueKind::NotInteger(*number));
                None
            }
            _ => self.mismatch("a whole number", issues),
        }
    }

    /// A non-negative number, fractions allowed.
    pub(crate) fn number(&self, issues: &mut Issues) -> Option<f64> {
        match self.node {
            Node::Integer(integer) => Some(*integer as f64),
            Node::Float(number) if number.is_finite() && *number >= 0.0 => Some(*number),
            Node::Float(number) => {
                issues.add(self, ConfigIssueKind::Negative(*number));
                None
            }
            _ => self.mismatch("a number", issues),
        }
    }
}
