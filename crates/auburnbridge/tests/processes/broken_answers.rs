//! Tests commands whose server sends an answer that breaks off or has a malformed head.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::process::Command;
use std::thread;

/// Starts a server that sends `answer` to one request and closes the connection.
fn serve_once(answer: &'static [u8]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut request = Vec::new();
        while !request.ends_with(b"\r\n\r\n") {
            let mut byte = [0];
            stream.read_exact(&mut byte).unwrap();
            request.extend(byte);
        }
        stream.write_all(answer).unwrap();
    });
    address
}

/// Guards against a command that prints a part of an answer as the whole one, or succeeds although its
/// server has not answered.
#[test]
fn commands_fail_on_broken_answers() {
    let cases: [(&[u8], &str); 6] = [
        (
            b"HTTP/1.1 000 None\r\nContent-Length: 2\r\n\r\n{}",
            "status",
        ),
        (
            b"HTTP/1.1 200 OK\r\nX Y: 1\r\nContent-Length: 2\r\n\r\n{}",
            "header-name",
        ),
        (
            b"HTTP/1.1 200 OK\r\nContent-Length\x01: 2\r\n\r\n{}",
            "header-name",
        ),
        (b"HTTP/1.1 200 OK\r\nContent-Le", "closed-in-head"),
        (b"HTTP/1.1 200 OK\r\n\r\n{}", "length-missing"),
        (
            b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{}",
            "closed-in-body",
        ),
    ];
    let key_file = tempfile::NamedTempFile::new().unwrap();
    for (answer, reason) in cases {
        let output = Command::new(env!("CARGO_BIN_EXE_auburnbridge"))
            .args(["rules", "status", "--address"])
            .arg(serve_once(answer).to_string())
            .arg("--key-file")
            .arg(key_file.path())
            .output()
            .unwrap();
        let error = String::from_utf8(output.stderr).unwrap();
        assert!(!output.status.success(), "{reason}");
        assert!(output.stdout.is_empty(), "{reason}: {:?}", output.stdout);
        assert!(error.trim_end().ends_with(reason), "{reason}: {error}");
    }
}
