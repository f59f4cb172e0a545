//! Parsing of chunk-size lines.

use crate::FramingError;

/// Hexadecimal digits of the largest 64-bit number.
const MAX_SIZE_DIGITS: usize = 16;

/// Parses a chunk-size line without its line ending. The extension is validated and discarded.
pub(crate) fn parse_chunk_size(line: &[u8]) -> Result<u64, FramingError> {
    let (size, extension) = match line.iter().position(|byte| *byte == b';') {
        // RFC 9112 allows "bad whitespace" before the extension, which recipients must accept.
        Some(semicolon) => (line[..semicolon].trim_ascii_end(), &line[semicolon..]),
        None => (line, &[][..]),
    };
    let is_valid_size =
        (1..=MAX_SIZE_DIGITS).contains(&size.len()) && size.iter().all(u8::is_ascii_hexdigit);
    if !is_valid_size {
        return Err(FramingError::ChunkSize);
    }
    let has_control_character = extension
        .iter()
        .any(|byte| byte.is_ascii_control() && *byte != b'\t');
    if has_control_character {
        return Err(FramingError::ChunkExtension);
    }
    std::str::from_utf8(size)
        .ok()
        .and_then(|digits| u64::from_str_radix(digits, 16).ok())
        .ok_or(FramingError::ChunkSize)
}
