//! Ranges of numbers in scenario files.

use serde::de::{Deserializer, Error as _, SeqAccess, Visitor};
use serde::{Deserialize, Serialize};
use std::fmt;

/// Range of finite, non-negative numbers. In files, a single number stands for a range with equal ends.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Span {
    /// Lower end.
    #[serde(rename = "least")]
    pub min: f64,
    /// Upper end.
    #[serde(rename = "most")]
    pub max: f64,
}

struct SpanVisitor;

impl<'de> Visitor<'de> for SpanVisitor {
    type Value = Span;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a number or a range [min, max]")
    }

    fn visit_f64<E: serde::de::Error>(self, number: f64) -> Result<Span, E> {
        Ok(Span { min: number, max: number })
    }

    fn visit_i64<E: serde::de::Error>(self, number: i64) -> Result<Span, E> {
        self.visit_f64(number as f64)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut sequence: A) -> Result<Span, A::Error> {
        let mut ends = [0.0; 2];
        for (index, end) in ends.iter_mut().enumerate() {
            *end = sequence.next_element()?.ok_or_else(|| A::Error::invalid_length(index, &self))?;
        }
        if sequence.next_element::<f64>()?.is_some() {
            return Err(A::Error::invalid_length(3, &self));
        }
        Ok(Span { min: ends[0], max: ends[1] })
    }
}

impl<'de> Deserialize<'de> for Span {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let Self { min, max } = deserializer.deserialize_any(SpanVisitor)?;
        if !(min.is_finite() && max.is_finite() && min >= 0.0) {
            return Err(D::Error::custom("numbers must be finite and not negative"));
        }
        if min > max {
            return Err(D::Error::custom(format!("the range is upside down: {min} is greater than {max}")));
        }
        Ok(Self { min, max })
    }
}
