//! Reading and decoding the bodies of edits.

use async_std::io::ReadExt;
use auburnbridge_config::{Change, LineSelector};
use auburnbridge_rules::{MAX_LINE_BYTES, MAX_TEXT_BYTES};
use serde::Deserialize;
use tide::Body;

use crate::problem::{Problem, ProblemKind};

/// Largest body of a replacement of the whole file, in bytes.
pub const MAX_RULES_BYTES: usize = MAX_TEXT_BYTES;

/// Largest body of an edit of one line, in bytes: two lines of which every byte is escaped in JSON.
pub const MAX_LINE_EDIT_BYTES: usize = 2 * 6 * MAX_LINE_BYTES + 256;

/// JSON body of an edit of one line.
#[derive(Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
enum LineEditBody {
    Set {
        text: String,
        #[serde(default)]
        replaces: Option<SelectorBody>,
    },
    Remove(SelectorBody),
}

/// JSON that selects the line to be changed.
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum SelectorBody {
    Key(String),
    Text(String),
}

/// Reads the body of a replacement of the whole file.
pub(crate) async fn read_rules(body: Body) -> Result<Change, Problem> {
    read_text(body, MAX_RULES_BYTES)
        .await
        .map(Change::ReplaceAll)
}

/// Reads and decodes the body of an edit of one line.
pub(crate) async fn read_line_edit(body: Body) -> Result<Change, Problem> {
    let text = read_text(body, MAX_LINE_EDIT_BYTES).await?;
    let invalid = |detail: String| Problem::new(ProblemKind::BodyInvalid).with_detail(detail);
    let edit: LineEditBody =
        serde_json::from_str(&text).map_err(|error| invalid(error.to_string()))?;
    let selector = |body| match body {
        SelectorBody::Text(text) => Ok(LineSelector::Text(text)),
        SelectorBody::Key(key) => match key.parse() {
            Ok(key) => Ok(LineSelector::Key(key)),
            Err(error) => Err(invalid(format!("`key`: {error}"))),
        },
    };
    match edit {
        LineEditBody::Set { text, replaces } => Ok(Change::SetLine {
            replaces: replaces.map(selector).transpose()?,
            text,
        }),
        LineEditBody::Remove(line) => Ok(Change::RemoveLine {
            line: selector(line)?,
        }),
    }
}

async fn read_text(body: Body, limit: usize) -> Result<String, Problem> {
    let invalid = |detail: &str| Problem::new(ProblemKind::BodyInvalid).with_detail(detail);
    let mut bytes = Vec::new();
    // Reading one byte beyond the limit detects a body of unknown length that is too large.
    let read_limit = u64::try_from(limit).unwrap_or(u64::MAX).saturating_add(1);
    let mut reader = body.into_reader().take(read_limit);
    reader
        .read_to_end(&mut bytes)
        .await
        .map_err(|_| invalid("the body ended early"))?;
    if bytes.len() > limit {
        let detail = format!("the body holds more than {limit} bytes");
        return Err(Problem::new(ProblemKind::BodyTooLarge).with_detail(detail));
    }
    String::from_utf8(bytes).map_err(|_| invalid("the body is not UTF-8"))
}
