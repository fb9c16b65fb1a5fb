//! Quantities that are written with their unit.

use serde::de::{Deserialize, Deserializer, Error as _};

/// A span of time, written with its unit: `250ms`, `4s`, `15m`, `2h`, `7d`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span {
    /// In microseconds.
    pub micros: u64,
}

/// A size, written with its unit: `512B`, `64KiB`, `10MB`, `2GB`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Size {
    /// In bytes.
    pub bytes: u64,
}

/// Why a text is not a valid quantity.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum UnitError {
    /// The number has no unit.
    #[error("{quantity} needs a unit ({units}), as in \"{example}\"")]
    MissingUnit {
        /// The kind of quantity.
        quantity: &'static str,
        /// Its units.
        units: String,
        /// An example of a valid text.
        example: &'static str,
    },
    /// The quantity does not have this unit.
    #[error("\"{unit}\" is no unit of {quantity}: it has {units}")]
    UnknownUnit {
        /// The kind of quantity.
        quantity: &'static str,
        /// Its units.
        units: String,
        /// The unit in the text.
        unit: String,
    },
    /// The unit does not follow a whole number.
    #[error("{quantity} is a whole number and a unit, as in \"{example}\"")]
    NotANumber {
        /// The kind of quantity.
        quantity: &'static str,
        /// An example of a valid text.
        example: &'static str,
    },
    /// The value exceeds a `u64` in the smallest unit.
    #[error("{text} is beyond what {quantity} can be")]
    OutOfRange {
        /// The kind of quantity.
        quantity: &'static str,
        /// The text.
        text: String,
    },
}

/// A unit, and its size in the smallest unit.
struct Unit {
    name: &'static str,
    factor: u64,
}

const fn unit(name: &'static str, factor: u64) -> Unit {
    Unit { name, factor }
}

/// A kind of quantity, with the texts that describe it to an operator.
struct Quantity {
    name: &'static str,
    example: &'static str,
    units: &'static [Unit],
}

const SPAN: Quantity = Quantity {
    name: "a span of time",
    example: "90s",
    units: &[
        unit("us", 1),
        unit("ms", 1_000),
        unit("s", 1_000_000),
        unit("m", 60_000_000),
        unit("h", 3_600_000_000),
        unit("d", 86_400_000_000),
    ],
};

const SIZE: Quantity = Quantity {
    name: "a size",
    example: "64KiB",
    units: &[
        unit("B", 1),
        unit("kB", 1_000),
        unit("MB", 1_000_000),
        unit("GB", 1_000_000_000),
        unit("KiB", 1 << 10),
        unit("MiB", 1 << 20),
        unit("GiB", 1 << 30),
    ],
};

impl Quantity {
    /// Parses a whole number and a unit, and returns the number of the smallest unit.
    fn parse(&self, text: &str) -> Result<u64, UnitError> {
        let digits_end = text.find(|c: char| !c.is_ascii_digit()).unwrap_or(text.len());
        let (digits, unit) = text.split_at(digits_end);
        let unit = unit.trim_start();
        let quantity = self.name;
        if unit.is_empty() {
            return Err(UnitError::MissingUnit { quantity, units: self.unit_names(), example: self.example });
        }
        let Some(Unit { factor, .. }) = self.units.iter().find(|known| known.name == unit) else {
            return Err(UnitError::UnknownUnit { quantity, units: self.unit_names(), unit: unit.to_owned() });
        };
        let not_a_number = |_| UnitError::NotANumber { quantity, example: self.example };
        let number: u64 = digits.parse().map_err(not_a_number)?;
        number.checked_mul(*factor).ok_or_else(|| UnitError::OutOfRange { quantity, text: text.to_owned() })
    }

    fn unit_names(&self) -> String {
        self.units.iter().map(|unit| unit.name).collect::<Vec<_>>().join(", ")
    }
}

/// A string, or a number without a unit, for which the error names the missing unit. For a value of another type the
/// error's text contains this type's name.
#[derive(serde::Deserialize)]
#[serde(untagged)]
enum Written {
    Text(String),
    Integer(i64),
    Decimal(f64),
}

impl Written {
    fn text<'de, D: Deserializer<'de>>(from: D) -> Result<String, D::Error> {
        Ok(match Self::deserialize(from)? {
            Self::Text(text) => text,
            Self::Integer(number) => number.to_string(),
            Self::Decimal(number) => number.to_string(),
        })
    }
}

impl<'de> Deserialize<'de> for Span {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        let micros = SPAN.parse(&Written::text(from)?).map_err(D::Error::custom)?;
        Ok(Self { micros })
    }
}

impl<'de> Deserialize<'de> for Size {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        let bytes = SIZE.parse(&Written::text(from)?).map_err(D::Error::custom)?;
        Ok(Self { bytes })
    }
}
