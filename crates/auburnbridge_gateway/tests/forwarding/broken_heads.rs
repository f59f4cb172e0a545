//! Tests targets whose answer has a malformed head.

use crate::targets::Behaviour;

/// Checks that callers hear of a failure, and that no order is sent twice.
fn assert_no_answer(behaviour: Behaviour, answer: &str) {
    for (path, sends) in [("/order/1", 1), ("/lookup/1", 2)] {
        let (status, sent) = crate::status_and_sends(path, behaviour);
        assert_eq!((status, sent), (502, sends), "{path} {answer:?}");
    }
}

/// Guards against passing on a header whose name is no token, against a body whose length such a header
/// hides, and against an order that runs at a second target as well.
#[test]
fn header_names_with_blanks_or_control_bytes_are_no_answer() {
    let bytes = [
        ' ', '\t', '\0', '\u{1}', '\u{b}', '\u{c}', '\u{1b}', '\u{7f}',
    ];
    for byte in bytes {
        let names = [
            format!("{byte}X-Extra"),
            format!("X{byte}Extra"),
            format!("X-Extra{byte}"),
            format!("X-Extra-Of-More-Than-16-Bytes{byte}"),
        ];
        let extra_line = names.map(|name| format!("Content-Length: 2\r\n{name}: 1"));
        let hidden_length = format!("Content-Length{byte}: 2");
        for lines in extra_line.into_iter().chain([hidden_length]) {
            let text = format!(
                "HTTP/1.1 200 OK\r\nAttempt: {{id}}\r\nSeal: s\r\n{lines}\r\n\r\nok and more"
            );
            assert_no_answer(Behaviour::RespondAndClose(text.leak()), &lines);
        }
    }
}
