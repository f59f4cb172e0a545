//! Kinds of values, with their parsing and formatting.

use std::fmt::{self, Write};

use strum::IntoEnumIterator;

use crate::model::{EjectionSensitivity, Method, RouteClass};
use crate::nearest::nearest;
use crate::path::PathPattern;

const DURATION_UNITS: &[(&str, u64)] =
    &[("ms", 1), ("s", 1_000), ("min", 60_000), ("h", 3_600_000)];
const SIZE_UNITS: &[(&str, u64)] = &[
    ("B", 1),
    ("KiB", 1 << 10),
    ("MiB", 1 << 20),
    ("GiB", 1 << 30),
];
const SENSITIVITY_LEVELS: &[(&str, EjectionSensitivity)] = &[
    ("careful", EjectionSensitivity::CAREFUL),
    ("balanced", EjectionSensitivity::BALANCED),
    ("fast", EjectionSensitivity::FAST),
];

/// A kind of value with its inclusive bounds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ValueKind {
    /// Name of a service, an account or a team.
    Name,
    /// Name, or `*` for all.
    NameOrAll,
    /// Method of a request.
    Method,
    /// Path, which may end in `/*`.
    Path,
    /// Class of a route.
    Class,
    /// Ejection sensitivity, as a level or a number.
    Sensitivity,
    /// Number without a unit.
    Count(u64, u64),
    /// Percentage, written with `%`.
    Percent(u64, u64),
    /// Rate, written with `/s`.
    Rate(u64, u64),
    /// Duration with its unit; the bounds are in milliseconds.
    Duration(u64, u64),
    /// Size with its unit; the bounds are in bytes.
    Size(u64, u64),
}

impl ValueKind {
    /// Parses a word into its number: milliseconds for a duration, bytes for a size, 0 for a kind
    /// that has no number.
    ///
    /// The error describes the expected value.
    pub(crate) fn parse(self, word: &str) -> Result<u64, String> {
        let number = match self {
            Self::Name => is_name(word).then_some(0),
            Self::NameOrAll => (word == "*" || is_name(word)).then_some(0),
            Self::Method => word.parse::<Method>().ok().map(|_| 0),
            Self::Class => word.parse::<RouteClass>().ok().map(|_| 0),
            Self::Path => match PathPattern::check(word) {
                Ok(()) => Some(0),
                Err(invalid) => return Err(format!("{self} ({})", invalid.0)),
            },
            Self::Sensitivity => parse_sensitivity(word),
            Self::Count(min, max) => parse_digits(word).filter(within(min, max)),
            Self::Percent(min, max) => parse_with_unit(word, &[("%", 1)]).filter(within(min, max)),
            Self::Rate(min, max) => parse_with_unit(word, &[("/s", 1)]).filter(within(min, max)),
            Self::Duration(min, max) => {
                parse_with_unit(word, DURATION_UNITS).filter(within(min, max))
            }
            Self::Size(min, max) => parse_with_unit(word, SIZE_UNITS).filter(within(min, max)),
        };
        number.ok_or_else(|| self.expectation(word))
    }

    /// Formats a number of this kind with its unit.
    pub fn format(self, number: u64) -> String {
        match self {
            Self::Percent(..) => format!("{number}%"),
            Self::Rate(..) => format!("{number}/s"),
            Self::Duration(..) => format_with_unit(number, DURATION_UNITS),
            Self::Size(..) => format_with_unit(number, SIZE_UNITS),
            Self::Sensitivity => SENSITIVITY_LEVELS
                .iter()
                .find(|(_, sensitivity)| u64::from(sensitivity.0) == number)
                .map_or_else(|| number.to_string(), |(word, _)| (*word).to_owned()),
            Self::Name | Self::NameOrAll | Self::Method | Self::Path | Self::Class => String::new(),
            Self::Count(..) => number.to_string(),
        }
    }

    fn choices(self) -> Vec<&'static str> {
        match self {
            Self::Method => Method::iter().map(Into::into).collect(),
            Self::Class => RouteClass::iter().map(Into::into).collect(),
            Self::Sensitivity => SENSITIVITY_LEVELS.iter().map(|(word, _)| *word).collect(),
            _ => Vec::new(),
        }
    }

    fn expectation(self, word: &str) -> String {
        match nearest(word, self.choices()) {
            Some(known) => format!("`{known}` ({self})"),
            None => self.to_string(),
        }
    }
}

impl fmt::Display for ValueKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let range = |min, max| format!("from {} to {}", self.format(min), self.format(max));
        match *self {
            Self::Name => f.write_str("a name of 1 to 64 characters from `a-z A-Z 0-9 . _ : -`"),
            Self::NameOrAll => f.write_str("a name, or `*` for everything"),
            Self::Method | Self::Class => write_alternatives(f, &self.choices()),
            Self::Path => {
                f.write_str("a path such as `/bins/7`, or `/bins/*` for all below `/bins/`")
            }
            Self::Sensitivity => {
                write_alternatives(f, &self.choices())?;
                f.write_str(", or a number from 0 (careful) to 100 (fast)")
            }
            Self::Count(min, max) => write!(f, "a number {}", range(min, max)),
            Self::Percent(min, max) => write!(f, "a percentage {}", range(min, max)),
            Self::Rate(min, max) => write!(f, "a rate {}", range(min, max)),
            Self::Duration(min, max) => {
                write!(
                    f,
                    "a duration {} in `ms`, `s`, `min` or `h`",
                    range(min, max)
                )
            }
            Self::Size(min, max) => {
                write!(
                    f,
                    "a size {} in `B`, `KiB`, `MiB` or `GiB`",
                    range(min, max)
                )
            }
        }
    }
}

fn write_alternatives(f: &mut fmt::Formatter<'_>, words: &[&str]) -> fmt::Result {
    for (position, word) in words.iter().enumerate() {
        let separator = match position {
            0 => "",
            _ if position + 1 == words.len() => " or ",
            _ => ", ",
        };
        write!(f, "{separator}`{word}`")?;
    }
    Ok(())
}

fn is_name(word: &str) -> bool {
    word.parse::<auburnbridge_types::ServiceName>().is_ok()
}

fn within(min: u64, max: u64) -> impl Fn(&u64) -> bool {
    move |number| (min..=max).contains(number)
}

/// Parses decimal digits only; `str::parse` would also accept a leading `+`.
fn parse_digits(word: &str) -> Option<u64> {
    if word.bytes().all(|byte| byte.is_ascii_digit()) {
        word.parse().ok()
    } else {
        None
    }
}

fn parse_sensitivity(word: &str) -> Option<u64> {
    SENSITIVITY_LEVELS
        .iter()
        .find(|(known, _)| *known == word)
        .map(|(_, sensitivity)| u64::from(sensitivity.0))
        .or_else(|| {
            parse_digits(word).filter(|number| *number <= u64::from(EjectionSensitivity::FAST.0))
        })
}

fn parse_with_unit(word: &str, units: &[(&str, u64)]) -> Option<u64> {
    let unit_at = word.find(|character: char| !character.is_ascii_digit())?;
    let (number, unit) = word.split_at(unit_at);
    let (_, factor) = units.iter().find(|(known, _)| *known == unit)?;
    parse_digits(number)?.checked_mul(*factor)
}

/// Formats a number in the largest unit that divides it.
fn format_with_unit(number: u64, units: &[(&str, u64)]) -> String {
    let (unit, factor) = units
        .iter()
        .rev()
        .find(|(_, factor)| number != 0 && number.is_multiple_of(*factor))
        .unwrap_or(&units[0]);
    let mut text = (number / factor).to_string();
    text.write_str(unit).expect("writing to a string succeeds");
    text
}
