//! Declaration of options, and loading based on the declarations.

use std::fs;
use std::path::Path;

use crate::document::Document;
use crate::error::SettingsError;
use crate::validator::Validator;

/// Whether an option must be in the file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// The option must be present.
    Required,
    /// The option may be absent, which disables its feature.
    Optional,
    /// The option may be absent and then has this value.
    Default(&'static str),
}

/// Inclusive range of accepted values.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Range {
    /// Smallest value.
    pub min: &'static str,
    /// Largest value.
    pub max: &'static str,
}

impl std::fmt::Display for Range {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} to {}", self.min, self.max)
    }
}

/// Declaration of one option.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Declaration {
    /// Name of the option in the file.
    pub name: &'static str,
    /// Kind of the value, as shown to operators.
    pub kind: &'static str,
    /// Example value in JSON.
    pub example: &'static str,
    /// Whether the option is required.
    pub presence: Presence,
    /// Accepted values, if they are bounded.
    pub range: Option<Range>,
    /// Unit of the range, such as " items"; empty if the range bounds the value itself.
    pub range_unit: &'static str,
    /// Lines of the description.
    pub description: &'static [&'static str],
}

/// Settings of one role.
pub trait Settings: Sized {
    /// Name of the role.
    const ROLE: &'static str;
    /// Declarations of all options, in the order of the reference.
    const OPTIONS: &'static [Declaration];

    /// Reads all options; returns `None` if a problem was recorded.
    fn read(validator: &mut Validator<'_>) -> Option<Self>;

    /// Records problems that involve several options.
    fn check(&self, validator: &mut Validator<'_>);

    /// Resolves relative paths against `folder`.
    fn resolve_paths(&mut self, folder: &Path);

    /// Loads a file and resolves its relative paths against the folder of the file.
    fn load(path: &Path) -> Result<Self, SettingsError> {
        let text = fs::read_to_string(path)
            .map_err(|error| SettingsError::Read(path.to_owned(), error))?;
        let mut settings = Self::parse(path, &text)?;
        if let Some(folder) = path.parent() {
            settings.resolve_paths(folder);
        }
        Ok(settings)
    }

    /// Parses the content of a file; `path` is used in errors only.
    fn parse(path: &Path, text: &str) -> Result<Self, SettingsError> {
        let invalid = |problems| SettingsError::Invalid(path.to_owned(), problems);
        let document = Document::parse(text).map_err(|problem| invalid(vec![problem]))?;
        let mut validator = Validator::new(document, Self::OPTIONS);
        let settings = Self::read(&mut validator);
        if let Some(settings) = &settings {
            settings.check(&mut validator);
        }
        match settings {
            Some(settings) if validator.is_clean() => Ok(settings),
            _ => Err(invalid(validator.into_problems())),
        }
    }
}

/// Declares the settings of a role: a struct with one field per option.
///
/// The type is followed by `[required]`, `[optional]` or `[default "VALUE"]` and, for bounded
/// values, by a range such as `["1ms" to "10min"]`.
macro_rules! settings {
    (
        $(#[doc = $struct_doc:literal])*
        $name:ident, $role:literal {
            $(
                $(#[doc = $doc:literal])*
                $field:ident: $type:ty [$($presence:tt)+] $([$min:literal to $max:literal])?,
            )+
        }
    ) => {
        $(#[doc = $struct_doc])*
        #[derive(Clone, Debug, PartialEq, Eq)]
        pub struct $name {
            $(
                $(#[doc = $doc])*
                pub $field: $type,
            )+
        }

        impl $name {
            const DECLARATIONS: &'static [$crate::Declaration] = &[
                $(
                    $crate::Declaration {
                        name: stringify!($field),
                        kind: <$type as $crate::Value>::KIND,
                        example: <$type as $crate::Value>::EXAMPLE,
                        presence: $crate::declare::presence!($($presence)+),
                        range: $crate::declare::range!($($min, $max)?),
                        range_unit: <$type as $crate::Value>::RANGE_UNIT,
                        description: &[$($doc),*],
                    },
                )+
            ];

            /// Reads the options in the order of their declarations.
            fn read_options(validator: &mut $crate::Validator<'_>) -> Option<Self> {
                let mut declarations = Self::DECLARATIONS.iter();
                // Reads all options before returning at the first invalid one, so that every
                // problem is recorded.
                $(
                    let $field = validator.read::<$type>(declarations.next()?);
                )+
                Some(Self { $($field: $field?),+ })
            }
        }
    };
}

macro_rules! presence {
    (required) => {
        $crate::Presence::Required
    };
    (optional) => {
        $crate::Presence::Optional
    };
    (default $text:literal) => {
        $crate::Presence::Default($text)
    };
}

macro_rules! range {
    () => {
        None
    };
    ($min:literal, $max:literal) => {
        Some($crate::Range {
            min: $min,
            max: $max,
        })
    };
}

pub(crate) use {presence, range, settings};
