//! Declaration of options, and the loading that derives from it.

use std::fs;
use std::path::Path;

use crate::check::Checks;
use crate::document::Document;
use crate::error::SettingsError;

/// Whether an option must be in the file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// It must.
    Required,
    /// It may be absent, which turns the function off.
    Optional,
    /// It may be absent, and then has this value.
    Default(&'static str),
}

/// Accepted values, both ends included.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Range {
    /// Smallest value.
    pub first: &'static str,
    /// Largest value.
    pub last: &'static str,
}

impl std::fmt::Display for Range {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} to {}", self.first, self.last)
    }
}

/// Everything about one option.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Declaration {
    /// Name in the file.
    pub name: &'static str,
    /// What an operator writes.
    pub kind: &'static str,
    /// A value as it stands in a file.
    pub example: &'static str,
    /// Whether it must be there.
    pub presence: Presence,
    /// Accepted values, when they are bounded.
    pub range: Option<Range>,
    /// What the range counts, such as " items".
    pub range_unit: &'static str,
    /// Lines of the description.
    pub description: &'static [&'static str],
}

/// Settings of one role.
pub trait Settings: Sized {
    /// Name of the role.
    const ROLE: &'static str;
    /// All options, in the order of the reference.
    const OPTIONS: &'static [Declaration];

    /// Reads all options; `None` means that a problem was recorded.
    fn read(checks: &mut Checks<'_>) -> Option<Self>;

    /// Records problems that concern several options.
    fn check(&self, checks: &mut Checks<'_>);

    /// Makes relative paths relative to `folder`.
    fn resolve_paths(&mut self, folder: &Path);

    /// Reads a file. Relative paths in it are relative to the folder of the file.
    fn load(path: &Path) -> Result<Self, SettingsError> {
        let text = fs::read_to_string(path)
            .map_err(|error| SettingsError::Read(path.to_owned(), error))?;
        let mut settings = Self::parse(path, &text)?;
        if let Some(folder) = path.parent() {
            settings.resolve_paths(folder);
        }
        Ok(settings)
    }

    /// Reads the content of a file, whose path appears in errors only.
    fn parse(path: &Path, text: &str) -> Result<Self, SettingsError> {
        let invalid = |problems| SettingsError::Invalid(path.to_owned(), problems);
        let document = Document::parse(text).map_err(|problem| invalid(vec![problem]))?;
        let mut checks = Checks::new(document, Self::OPTIONS);
        let settings = Self::read(&mut checks);
        if let Some(settings) = &settings {
            settings.check(&mut checks);
        }
        match settings {
            Some(settings) if checks.is_clean() => Ok(settings),
            _ => Err(invalid(checks.into_problems())),
        }
    }
}

/// Declares the settings of a role: a struct with one field per option.
///
/// After the type stands `[required]`, `[optional]` or `[default "VALUE"]`, then a range such as
/// `["1ms" to "10min"]` where the values are bounded.
macro_rules! settings {
    (
        $(#[doc = $struct_doc:literal])*
        $name:ident, $role:literal {
            $(
                $(#[doc = $doc:literal])*
                $field:ident: $type:ty [$($presence:tt)+] $([$first:literal to $last:literal])?,
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
                        range: $crate::declare::range!($($first, $last)?),
                        range_unit: <$type as $crate::Value>::RANGE_UNIT,
                        description: &[$($doc),*],
                    },
                )+
            ];

            /// Reads the options in the order of their declarations.
            fn read_options(checks: &mut $crate::Checks<'_>) -> Option<Self> {
                let mut declarations = Self::DECLARATIONS.iter();
                // All options are read before the first missing one ends the function, so that
                // every problem is recorded.
                $(
                    let $field = checks.read::<$type>(declarations.next()?);
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
    ($first:literal, $last:literal) => {
        Some($crate::Range {
            first: $first,
            last: $last,
        })
    };
}

pub(crate) use {presence, range, settings};
