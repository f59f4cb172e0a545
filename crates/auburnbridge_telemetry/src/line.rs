//! Encodes a log record as a JSON object on one line.

use std::time::SystemTime;

use log::Record;
use log::kv::{Error, Key, Value, VisitSource};
use serde_json::{Map, Value as Json};

/// Encodes a record as a JSON object: time in milliseconds since the Unix epoch, level, module,
/// message and the fields of the record.
pub fn encode_line(record: &Record<'_>, time: SystemTime) -> String {
    let mut line = Map::new();
    let since_epoch = time
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    line.insert("ts".to_owned(), json_integer(since_epoch.as_millis()));
    line.insert(
        "level".to_owned(),
        record.level().as_str().to_ascii_lowercase().into(),
    );
    line.insert("module".to_owned(), record.target().into());
    line.insert("message".to_owned(), record.args().to_string().into());
    // The visit fails only at a field that can't be formatted; the line is then marked as
    // incomplete.
    if record.key_values().visit(&mut Fields(&mut line)).is_err() {
        line.insert("incomplete".to_owned(), true.into());
    }
    Json::Object(line).to_string()
}

fn json_integer(number: u128) -> Json {
    u64::try_from(number).unwrap_or(u64::MAX).into()
}

struct Fields<'a>(&'a mut Map<String, Json>);

impl<'kvs> VisitSource<'kvs> for Fields<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let json = if let Some(number) = value.to_u64() {
            number.into()
        } else if let Some(number) = value.to_f64() {
            number.into()
        } else if let Some(flag) = value.to_bool() {
            flag.into()
        } else {
            value.to_string().into()
        };
        self.0.insert(key.to_string(), json);
        Ok(())
    }
}
