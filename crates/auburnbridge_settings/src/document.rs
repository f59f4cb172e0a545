//! Splitting of a settings file into options with their line numbers.

use std::fmt;

use serde::Deserialize;
use serde::de::{Deserializer, MapAccess, Visitor};
use serde_json::error::Category;
use serde_json::value::RawValue;

use crate::error::Problem;

/// The unparsed value of an option.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RawOption<'a> {
    pub(crate) json: &'a str,
    pub(crate) line: usize,
}

/// All options of a file.
#[derive(Debug)]
pub(crate) struct Document<'a> {
    options: Vec<(String, RawOption<'a>)>,
    pub(crate) last_line: usize,
}

impl<'a> Document<'a> {
    /// Splits a JSON object into its options without interpreting their values.
    pub(crate) fn parse(text: &'a str) -> Result<Self, Problem> {
        let raw: RawObject<'a> = serde_json::from_str(text).map_err(|error| {
            let line = error.line().max(1);
            let line_text = text.lines().nth(line - 1).unwrap_or_default();
            let message = error.to_string();
            let reason = message.split(" at line ").next().unwrap_or_default();
            let fix = match error.classify() {
                Category::Data | Category::Eof => "write one complete JSON object".to_owned(),
                Category::Syntax | Category::Io => {
                    format!("correct the JSON at or before column {}", error.column())
                }
            };
            Problem::new(line, line_text, reason, fix)
        })?;
        let options = raw
            .0
            .into_iter()
            .map(|(name, value)| {
                let json = value.get();
                let line = line_of(text, json);
                (name, RawOption { json, line })
            })
            .collect();
        Ok(Self {
            options,
            last_line: text.trim_end().lines().count().max(1),
        })
    }

    /// The options in the order of the file.
    pub(crate) fn options(&self) -> impl Iterator<Item = (&str, RawOption<'a>)> {
        self.options
            .iter()
            .map(|(name, option)| (name.as_str(), *option))
    }

    /// The first option with this name.
    pub(crate) fn get(&self, name: &str) -> Option<RawOption<'a>> {
        self.options()
            .find_map(|(found, option)| (found == name).then_some(option))
    }
}

/// Line on which `part`, a slice of `text`, begins.
pub(crate) fn line_of(text: &str, part: &str) -> usize {
    let offset = part.as_ptr().addr() - text.as_ptr().addr();
    1 + text[..offset].bytes().filter(|byte| *byte == b'\n').count()
}

struct RawObject<'a>(Vec<(String, &'a RawValue)>);

impl<'de> Deserialize<'de> for RawObject<'de> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(RawObjectVisitor)
    }
}

struct RawObjectVisitor;

impl<'de> Visitor<'de> for RawObjectVisitor {
    type Value = RawObject<'de>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an object with the options")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Self::Value, A::Error> {
        let mut options = Vec::new();
        while let Some(option) = map.next_entry()? {
            options.push(option);
        }
        Ok(RawObject(options))
    }
}
