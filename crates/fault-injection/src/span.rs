//! Ranges of figures, as files state them.

use serde::de::{Deserializer, Error as _, SeqAccess, Visitor};
use serde::{Deserialize, Serialize};
use std::fmt;

/// A range of figures that are finite and not below 0; one number stands for itself.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Span {
    /// The lower end.
    #[serde(rename = "least")]
    pub min: f64,
    /// The upper end.
    #[serde(rename = "most")]
    pub max: f64,
}

struct SpanVisitor;

impl<'de> Visitor<'de> for SpanVisitor {
    type Value = Span;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a number or a range [min, max]")
    }

    fn visit_f64<E: serde::de::Error>(self, figure: f64) -> Result<Span, E> {
        Ok(Span { min: figure, max: figure })
    }

    fn visit_i64<E: serde::de::Error>(self, figure: i64) -> Result<Span, E> {
        self.visit_f64(figure as f64)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut from: A) -> Result<Span, A::Error> {
        let mut ends = [0.0; 2];
        for (place, end) in ends.iter_mut().enumerate() {
            *end = from.next_element()?.ok_or_else(|| A::Error::invalid_length(place, &self))?;
        }
        if from.next_element::<f64>()?.is_some() {
            return Err(A::Error::invalid_length(3, &self));
        }
        Ok(Span { min: ends[0], max: ends[1] })
    }
}

impl<'de> Deserialize<'de> for Span {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        let Self { min, max } = from.deserialize_any(SpanVisitor)?;
        if !(min.is_finite() && max.is_finite() && min >= 0.0) {
            return Err(D::Error::custom("figures must be finite and not below 0"));
        }
        if min > max {
            return Err(D::Error::custom(format!("the range is upside down: {min} is more than {max}")));
        }
        Ok(Self { min, max })
    }
}
