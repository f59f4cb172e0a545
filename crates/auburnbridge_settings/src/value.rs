//! Types of option values and their parsing.

use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;

use auburnbridge_types::{ByteSize, DataCentre, LinkRate, Millis, VmId};

/// Error of a value that can't be parsed.
pub struct ValueError {
    /// Line within the value, counted from 1.
    pub line: usize,
    /// The offending text; `None` quotes the whole line.
    pub text: Option<String>,
    /// What is wrong.
    pub reason: String,
}

/// Type of an option's value.
pub trait Value: Sized {
    /// Kind of the value, as shown to operators, such as "a duration".
    const KIND: &'static str;
    /// Example value in JSON.
    const EXAMPLE: &'static str;
    /// Unit of a range, such as " items"; empty if the range bounds the value itself.
    const RANGE_UNIT: &'static str = "";

    /// Parses the form used in declarations, without JSON quotes.
    fn from_text(text: &str) -> Option<Self>;

    /// Parses the JSON text of a value.
    fn from_json(json: &str) -> Result<Self, ValueError> {
        serde_json::from_str::<String>(json)
            .ok()
            .and_then(|text| Self::from_text(&text))
            .ok_or_else(|| ValueError::expected(Self::KIND))
    }

    /// Whether the value is within a range; always true for types without ranges.
    fn is_within(&self, _min: &str, _max: &str) -> bool {
        true
    }

    /// The value of an absent option; `None` for types that must be present.
    fn absent() -> Option<Self> {
        None
    }
}

impl ValueError {
    /// Creates an error that says `kind` was expected.
    pub fn expected(kind: &str) -> Self {
        Self {
            line: 1,
            text: None,
            reason: format!("expected {kind}"),
        }
    }
}

/// Whether `value` is within inclusive bounds. A test checks that declared bounds parse.
pub(crate) fn is_between<T: PartialOrd>(
    value: &T,
    min: &str,
    max: &str,
    parse: impl Fn(&str) -> Option<T>,
) -> bool {
    let bound = |text| parse(text).expect("declared bounds are valid");
    *value >= bound(min) && *value <= bound(max)
}

/// Implements [`Value`] for types without ranges that are parsed by `FromStr`.
macro_rules! text_value {
    ($($type:ty, $kind:literal, $example:literal;)*) => {
        $(
            impl Value for $type {
                const KIND: &'static str = $kind;
                const EXAMPLE: &'static str = $example;

                fn from_text(text: &str) -> Option<Self> {
                    text.parse().ok()
                }
            }
        )*
    };
}

text_value! {
    VmId, "a name of 1 to 64 characters from `a-z A-Z 0-9 . _ : -`", r#""entry-1""#;
    DataCentre, "a name of 1 to 64 characters from `a-z A-Z 0-9 . _ : -`", r#""north""#;
    SocketAddr, "an IP address and a port", r#""10.0.0.1:7400""#;
    IpAddr, "an IP address", r#""10.0.0.1""#;
}

impl Value for PathBuf {
    const KIND: &'static str = "a path";
    const EXAMPLE: &'static str = r#""/etc/auburnbridge/keys""#;

    fn from_text(text: &str) -> Option<Self> {
        (!text.is_empty() && !text.contains('\0')).then(|| Self::from(text))
    }
}

impl Value for Millis {
    const KIND: &'static str = "a duration with its unit (ms, s, min, h)";
    const EXAMPLE: &'static str = r#""5s""#;

    fn from_text(text: &str) -> Option<Self> {
        if let Some(millis) = millis_with_decimals(text) {
            return Some(millis);
        }
        let duration = humantime::parse_duration(text).ok()?;
        let has_fraction = duration.subsec_nanos() % 1_000_000 != 0;
        let millis = u64::try_from(duration.as_millis()).ok()?;
        (!has_fraction).then_some(Self(millis))
    }

    fn is_within(&self, min: &str, max: &str) -> bool {
        is_between(self, min, max, Self::from_text)
    }
}

/// Parses a duration such as `2.5s`, which `humantime` doesn't support.
fn millis_with_decimals(text: &str) -> Option<Millis> {
    let (whole, decimals) = text.strip_suffix('s')?.split_once('.')?;
    let is_number = |part: &str| !part.is_empty() && part.bytes().all(|b| b.is_ascii_digit());
    if !is_number(whole) || !is_number(decimals) || decimals.len() > 3 {
        return None;
    }
    let thousandths: u64 = format!("{decimals:0<3}").parse().ok()?;
    let whole: u64 = whole.parse().ok()?;
    whole
        .checked_mul(1_000)?
        .checked_add(thousandths)
        .map(Millis)
}

impl Value for ByteSize {
    const KIND: &'static str = "a size with its unit (B, KiB, MiB, GiB)";
    const EXAMPLE: &'static str = r#""64MiB""#;

    fn from_text(text: &str) -> Option<Self> {
        let digits = text.bytes().take_while(u8::is_ascii_digit).count();
        let (number, unit) = text.split_at(digits);
        let factor: u64 = match unit.trim_start() {
            "B" => 1,
            "KiB" => 1 << 10,
            "MiB" => 1 << 20,
            "GiB" => 1 << 30,
            _ => return None,
        };
        number.parse::<u64>().ok()?.checked_mul(factor).map(Self)
    }

    fn is_within(&self, min: &str, max: &str) -> bool {
        is_between(self, min, max, Self::from_text)
    }
}

impl Value for LinkRate {
    const KIND: &'static str = "a link rate in Mbit/s";
    const EXAMPLE: &'static str = r#""1.4Mbit/s""#;

    fn from_text(text: &str) -> Option<Self> {
        text.parse().ok()
    }

    fn is_within(&self, min: &str, max: &str) -> bool {
        is_between(self, min, max, Self::from_text)
    }
}

/// Implements [`Value`] for whole numbers, which are written without quotes.
macro_rules! number_value {
    ($($type:ty),*) => {
        $(
            impl Value for $type {
                const KIND: &'static str = "a whole number";
                const EXAMPLE: &'static str = "20";

                fn from_text(text: &str) -> Option<Self> {
                    text.parse().ok()
                }

                fn from_json(json: &str) -> Result<Self, ValueError> {
                    serde_json::from_str(json).map_err(|_| ValueError::expected(Self::KIND))
                }

                fn is_within(&self, min: &str, max: &str) -> bool {
                    is_between(self, min, max, Self::from_text)
                }
            }
        )*
    };
}

number_value!(u32, u64);

/// A share between zero and one.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Share(pub f64);

impl Eq for Share {}

impl Value for Share {
    const KIND: &'static str = "a share from 0 to 1";
    const EXAMPLE: &'static str = "0.7";

    fn from_text(text: &str) -> Option<Self> {
        text.parse()
            .ok()
            .filter(|value: &f64| value.is_finite())
            .map(Self)
    }

    fn from_json(json: &str) -> Result<Self, ValueError> {
        Self::from_text(json).ok_or_else(|| ValueError::expected(Self::KIND))
    }

    fn is_within(&self, min: &str, max: &str) -> bool {
        is_between(self, min, max, Self::from_text)
    }
}

impl Value for bool {
    const KIND: &'static str = "`true` or `false`";
    const EXAMPLE: &'static str = "true";

    fn from_text(text: &str) -> Option<Self> {
        text.parse().ok()
    }

    fn from_json(json: &str) -> Result<Self, ValueError> {
        serde_json::from_str(json).map_err(|_| ValueError::expected(Self::KIND))
    }
}

impl<T: Value> Value for Option<T> {
    const KIND: &'static str = T::KIND;
    const EXAMPLE: &'static str = T::EXAMPLE;
    const RANGE_UNIT: &'static str = T::RANGE_UNIT;

    fn from_text(text: &str) -> Option<Self> {
        T::from_text(text).map(Some)
    }

    fn from_json(json: &str) -> Result<Self, ValueError> {
        T::from_json(json).map(Some)
    }

    fn is_within(&self, min: &str, max: &str) -> bool {
        self.as_ref().is_none_or(|value| value.is_within(min, max))
    }

    fn absent() -> Option<Self> {
        Some(None)
    }
}
