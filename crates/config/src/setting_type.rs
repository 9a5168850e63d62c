//! The types that a setting can have.
//!
//! Those that stand for a type are never built: they name, in a declaration, how a value is read.

use std::collections::BTreeMap;
use std::marker::PhantomData;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use toml::Value;

/// A type of setting: how a value of the file becomes a value of the program.
pub trait SettingType {
    type Out;
    const NAME: &'static str;

    fn read(value: &Value) -> Option<Self::Out>;

    /// What holds where nothing is said and `empty` is declared.
    fn empty() -> Option<Self::Out> {
        None
    }
}

pub struct Text;
impl SettingType for Text {
    type Out = Arc<str>;
    const NAME: &'static str = "a text";

    fn read(value: &Value) -> Option<Self::Out> {
        value.as_str().map(Arc::from)
    }

    fn empty() -> Option<Self::Out> {
        Some(Arc::from(""))
    }
}

pub struct Flag;
impl SettingType for Flag {
    type Out = bool;
    const NAME: &'static str = "true or false";

    fn read(value: &Value) -> Option<bool> {
        value.as_bool()
    }
}

/// A finite number.
pub struct Number;
impl SettingType for Number {
    type Out = f64;
    const NAME: &'static str = "a number";

    fn read(value: &Value) -> Option<f64> {
        let figure = value.as_float().or_else(|| value.as_integer().map(|whole| whole as f64))?;
        figure.is_finite().then_some(figure)
    }
}

/// A whole number from 0 that fits into the type.
pub struct Integer<T>(PhantomData<T>);
impl<T: TryFrom<u64>> SettingType for Integer<T> {
    type Out = T;
    const NAME: &'static str = "a whole number from 0";

    fn read(value: &Value) -> Option<T> {
        // Whoever writes the file from figures of another language may write `4100.0`.
        let whole = match value.as_float() {
            Some(figure) if figure.fract() == 0.0 && (0.0..1e15).contains(&figure) => figure as u64,
            _ => u64::try_from(value.as_integer()?).ok()?,
        };
        T::try_from(whole).ok()
    }
}

pub struct Millis;
impl SettingType for Millis {
    type Out = Duration;
    const NAME: &'static str = "milliseconds";

    fn read(value: &Value) -> Option<Duration> {
        Duration::try_from_secs_f64(Number::read(value)? / 1000.0).ok()
    }
}

pub struct Seconds;
impl SettingType for Seconds {
    type Out = Duration;
    const NAME: &'static str = "seconds";

    fn read(value: &Value) -> Option<Duration> {
        Duration::try_from_secs_f64(Number::read(value)?).ok()
    }
}

/// A text that the type itself knows how to read.
pub struct Parsed<T>(PhantomData<T>);

macro_rules! parsed {
    ($($type:ty: $name:literal),+) => {$(
        impl SettingType for Parsed<$type> {
            type Out = $type;
            const NAME: &'static str = $name;

            fn read(value: &Value) -> Option<$type> {
                value.as_str()?.parse().ok()
            }
        }
    )+};
}

parsed!(SocketAddr: "an address with a port", IpAddr: "an IP address", PathBuf: "a path");

/// The first and the last port of a range.
pub struct PortRange;
impl SettingType for PortRange {
    type Out = (u16, u16);
    const NAME: &'static str = "a pair of ports";

    fn read(value: &Value) -> Option<(u16, u16)> {
        let [first, last] = value.as_array()?.as_slice() else { return None };
        Some((Integer::read(first)?, Integer::read(last)?))
    }
}

/// Something that may be left out; an empty text leaves it out as well.
pub struct Optional<K>(PhantomData<K>);
impl<K: SettingType> SettingType for Optional<K> {
    type Out = Option<K::Out>;
    const NAME: &'static str = K::NAME;

    fn read(value: &Value) -> Option<Self::Out> {
        if value.as_str().is_some_and(str::is_empty) { Some(None) } else { K::read(value).map(Some) }
    }

    fn empty() -> Option<Self::Out> {
        Some(None)
    }
}

pub struct TextList;
impl SettingType for TextList {
    type Out = Vec<Arc<str>>;
    const NAME: &'static str = "a list of texts";

    fn read(value: &Value) -> Option<Self::Out> {
        value.as_array()?.iter().map(Text::read).collect()
    }

    fn empty() -> Option<Self::Out> {
        Some(Vec::new())
    }
}

pub struct AddressList;
impl SettingType for AddressList {
    type Out = Vec<SocketAddr>;
    const NAME: &'static str = "a list of addresses with ports";

    fn read(value: &Value) -> Option<Self::Out> {
        value.as_array()?.iter().map(Parsed::<SocketAddr>::read).collect()
    }

    fn empty() -> Option<Self::Out> {
        Some(Vec::new())
    }
}

/// Where others are reached: their own address, and the one that leads to it.
///
/// Empty, and each is reached at its own address. For whoever has something between two machines that takes
/// connections and passes them on under another address, at the same port.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Detours(Arc<BTreeMap<IpAddr, IpAddr>>);

impl Detours {
    /// Where to connect to reach an address.
    pub fn to(&self, address: SocketAddr) -> SocketAddr {
        self.0.get(&address.ip()).map_or(address, |ip| SocketAddr::new(*ip, address.port()))
    }
}

pub struct DetourList;
impl SettingType for DetourList {
    type Out = Detours;
    const NAME: &'static str = "a list of texts address=address";

    fn read(value: &Value) -> Option<Self::Out> {
        let one = |value: &Value| {
            let (own, way) = value.as_str()?.split_once('=')?;
            Some((own.trim().parse().ok()?, way.trim().parse().ok()?))
        };
        value.as_array()?.iter().map(one).collect::<Option<_>>().map(|ways| Detours(Arc::new(ways)))
    }

    fn empty() -> Option<Self::Out> {
        Some(Detours::default())
    }
}

pub struct TextTable;
impl SettingType for TextTable {
    type Out = BTreeMap<Arc<str>, Arc<str>>;
    const NAME: &'static str = "a table of texts";

    fn read(value: &Value) -> Option<Self::Out> {
        value
            .as_table()?
            .iter()
            .map(|(name, value)| Some((name.as_str().into(), Text::read(value)?)))
            .collect()
    }

    fn empty() -> Option<Self::Out> {
        Some(BTreeMap::new())
    }
}
