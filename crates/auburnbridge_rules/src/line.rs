//! Parsing of one line by the grammar's declaration of its kind.

use crate::error::RuleError;
use crate::grammar::{LINES, LineSpec, OptionSpec, Part};
use crate::nearest::nearest;

/// Longest line, in bytes.
pub const MAX_LINE_BYTES: usize = 1_024;

const ASKED_BY_PREFIX: &str = "asked by ";

/// A line whose words and values are valid; references to other lines are not checked yet.
pub(crate) struct ParsedLine<'a> {
    pub(crate) spec: &'static LineSpec,
    arguments: Vec<(&'a str, u64)>,
    options: Vec<(&'static str, u64)>,
}

impl<'a> ParsedLine<'a> {
    /// The word of an argument; `position` counts arguments only, from 0.
    pub(crate) fn word(&self, position: usize) -> &'a str {
        self.arguments[position].0
    }

    /// The number of an argument; `position` counts arguments only, from 0.
    pub(crate) fn argument(&self, position: usize) -> u64 {
        self.arguments[position].1
    }

    /// The value of an option or its default.
    pub(crate) fn option(&self, spec: &OptionSpec) -> u64 {
        self.options
            .iter()
            .find(|(name, _)| *name == spec.name)
            .map(|(_, value)| *value)
            .or(spec.default)
            .expect("a parsed line holds its required options")
    }

    /// The value of an option whose bounds fit into 32 bits.
    pub(crate) fn option_u32(&self, spec: &OptionSpec) -> u32 {
        u32::try_from(self.option(spec)).expect("the grammar bounds the option to 32 bits")
    }
}

/// A line split into its words and the comment after them.
pub(crate) struct SplitLine<'a> {
    pub(crate) words: Vec<&'a str>,
    comment: Option<&'a str>,
}

impl<'a> SplitLine<'a> {
    /// Splits a line; returns `None` for an empty line or a line with only a comment.
    pub(crate) fn parse(text: &'a str) -> Option<Self> {
        let (rule, comment) = match text.split_once('#') {
            Some((rule, comment)) => (rule, Some(comment.trim())),
            None => (text, None),
        };
        let words: Vec<&str> = rule.split_ascii_whitespace().collect();
        (!words.is_empty()).then_some(Self { words, comment })
    }

    /// Declaration of the kind that the first word names.
    pub(crate) fn spec(&self) -> Option<&'static LineSpec> {
        LINES
            .iter()
            .copied()
            .find(|spec| spec.name == self.words[0])
    }

    /// Name and details after `asked by`, if the name starts with a letter or digit.
    pub(crate) fn asked_by(&self) -> Option<&'a str> {
        self.comment?
            .strip_prefix(ASKED_BY_PREFIX)
            .map(str::trim)
            .filter(|name| name.starts_with(char::is_alphanumeric))
    }
}

/// The lines of a file, split at line feeds only; a carriage return stays part of its line.
pub fn file_lines(text: &str) -> impl Iterator<Item = &str> {
    let lines = text.strip_suffix('\n').unwrap_or(text).split('\n');
    lines.take(if text.is_empty() { 0 } else { usize::MAX })
}

/// Parses one line; returns `None` if it holds no rule or has errors, which are added to `errors`.
pub(crate) fn parse_line<'a>(
    number: u32,
    text: &'a str,
    errors: &mut Vec<RuleError>,
) -> Option<ParsedLine<'a>> {
    let errors_before = errors.len();
    if text.len() > MAX_LINE_BYTES {
        errors.push(RuleError::new(
            number,
            text,
            format!("the line is longer than {MAX_LINE_BYTES} bytes"),
            "shorten it",
        ));
        return None;
    }
    if text
        .chars()
        .any(|character| character.is_control() && character != '\t')
    {
        errors.push(RuleError::new(
            number,
            &text.escape_debug().to_string(),
            "the line holds a control character",
            "remove it and end lines with a line feed alone",
        ));
        return None;
    }
    let line = SplitLine::parse(text)?;
    if line.asked_by().is_none() {
        errors.push(RuleError::new(
            number,
            text.trim(),
            "the line does not say who asked for it",
            "end it with `# asked by NAME`",
        ));
    }
    let Some(spec) = line.spec() else {
        errors.push(unknown_line_kind(number, line.words[0]));
        return None;
    };
    let mut parser = LineParser {
        number,
        spec,
        rest: &line.words[1..],
        errors,
    };
    let arguments = parser.arguments()?;
    let options = parser.options();
    (errors.len() == errors_before).then_some(ParsedLine {
        spec,
        arguments,
        options,
    })
}

struct LineParser<'a, 'e> {
    number: u32,
    spec: &'static LineSpec,
    rest: &'e [&'a str],
    errors: &'e mut Vec<RuleError>,
}

impl<'a> LineParser<'a, '_> {
    fn next(&mut self) -> Option<&'a str> {
        let (first, rest) = self.rest.split_first()?;
        self.rest = rest;
        Some(first)
    }

    fn error(&mut self, text: &str, problem: impl Into<String>, fix: impl Into<String>) {
        self.errors
            .push(RuleError::new(self.number, text, problem, fix));
    }

    /// Parses the keywords and arguments; returns `None` if a word is missing or misplaced, since
    /// the words after it can't be interpreted then.
    fn arguments(&mut self) -> Option<Vec<(&'a str, u64)>> {
        let mut arguments = Vec::new();
        for part in self.spec.parts {
            let Some(word) = self.next() else {
                self.error(
                    self.spec.name,
                    format!("the line ends before {}", describe_part(part)),
                    format!("write it as `{}`", self.spec.syntax()),
                );
                return None;
            };
            match part {
                Part::Keyword(expected) if *expected == word => {}
                Part::Keyword(expected) => {
                    self.error(
                        word,
                        format!("`{expected}` is missing here"),
                        format!("write the line as `{}`", self.spec.syntax()),
                    );
                    return None;
                }
                Part::Argument(argument) => match argument.kind.parse(word) {
                    Ok(number) => arguments.push((word, number)),
                    Err(expected) => {
                        self.error(
                            word,
                            format!("not a valid {}", argument.name),
                            format!("write {expected}"),
                        );
                        arguments.push((word, 0));
                    }
                },
            }
        }
        Some(arguments)
    }

    fn options(&mut self) -> Vec<(&'static str, u64)> {
        let mut options: Vec<(&'static str, u64)> = Vec::new();
        while let Some(word) = self.next() {
            let Some(option) = self.spec.options.iter().find(|option| option.name == word) else {
                self.unknown_option(word);
                // The next word, unless it is an option, is most likely the unknown option's value.
                if self.rest.first().is_some_and(|next| !self.is_option(next)) {
                    self.next();
                }
                continue;
            };
            let Some(value) = self.next() else {
                self.error(
                    word,
                    "the option has no value",
                    format!("write {} after it", option.kind),
                );
                continue;
            };
            if options.iter().any(|(name, _)| *name == option.name) {
                self.error(word, "the option is given twice", "keep one of the two");
                continue;
            }
            match option.kind.parse(value) {
                Ok(number) => options.push((option.name, number)),
                Err(expected) => {
                    options.push((option.name, 0));
                    self.error(
                        value,
                        format!("not a valid value of `{}`", option.name),
                        format!("write {expected}"),
                    );
                }
            }
        }
        for option in self.spec.options {
            if option.default.is_none() && !options.iter().any(|(name, _)| *name == option.name) {
                self.error(
                    self.spec.name,
                    format!("`{}` is missing", option.name),
                    format!("add `{}` and {}", option.name, option.kind),
                );
            }
        }
        options
    }

    fn is_option(&self, word: &str) -> bool {
        self.spec.options.iter().any(|option| option.name == word)
    }

    fn unknown_option(&mut self, word: &str) {
        let names = || self.spec.options.iter().map(|option| option.name);
        let fix = match nearest(word, names()) {
            Some(known) => format!("did you mean `{known}`?"),
            None if self.spec.options.is_empty() => "remove it".to_owned(),
            None => format!("use {}", quoted_list(names())),
        };
        let problem = format!("unknown word in a `{}` line", self.spec.name);
        self.error(word, problem, fix);
    }
}

fn unknown_line_kind(number: u32, word: &str) -> RuleError {
    let names = || LINES.iter().map(|spec| spec.name);
    let fix = match nearest(word, names()) {
        Some(known) => format!("did you mean `{known}`?"),
        None => format!("start the line with {}", quoted_list(names())),
    };
    RuleError::new(number, word, "unknown kind of line", fix)
}

fn describe_part(part: &Part) -> String {
    match part {
        Part::Keyword(word) => format!("`{word}`"),
        Part::Argument(argument) => format!("its {}", argument.name),
    }
}

fn quoted_list<'a>(words: impl Iterator<Item = &'a str>) -> String {
    let quoted: Vec<String> = words.map(|word| format!("`{word}`")).collect();
    quoted.join(", ")
}

impl LineSpec {
    /// Syntax of the line without its options.
    pub(crate) fn syntax(&self) -> String {
        let mut syntax = self.name.to_owned();
        for part in self.parts {
            syntax.push(' ');
            syntax.push_str(match part {
                Part::Keyword(word) => word,
                Part::Argument(argument) => argument.name,
            });
        }
        syntax
    }
}
