//! Tests targets whose response has a status outside the range of HTTP.

use async_std::task::block_on;

use crate::targets::{Behaviour, OK, listen, send, start_gateway, start_target};

const STATUSES: [&str; 8] = ["000", "001", "099", "600", "999", "0", "-01", "2e2"];

fn response(status: &str, head: &str) -> &'static str {
    format!(
        "{head}HTTP/1.1 {status} x\r\nAttempt: {{id}}\r\nSeal: s\r\nContent-Length: 2\r\n\r\nok"
    )
    .leak()
}

/// Guards against passing on a status that is none, against telling the caller that the request did not
/// run, and against an order that runs at a second target as well.
#[test]
fn status_out_of_range_is_no_answer() {
    for status in STATUSES {
        for head in ["", "HTTP/1.1 100 Continue\r\n\r\n"] {
            for (path, sends) in [("/order/1", 1), ("/lookup/1", 2)] {
                let behaviour = Behaviour::Respond(response(status, head));
                let (answered, sent) = crate::status_and_sends(path, behaviour);
                assert_eq!((answered, sent), (502, sends), "{path} {head:?} {status}");
            }
        }
    }
}

/// Guards against a later request whose answer is read from the connection of such a response.
#[test]
fn connection_is_closed_after_a_status_out_of_range() {
    block_on(async {
        for status in STATUSES {
            let texts = vec![OK, format!("{}{OK}", response(status, "")).leak(), OK];
            let target = start_target("t-1", Behaviour::InTurn(texts.leak())).await;
            let address = listen(&start_gateway(&[&target])).await;
            for expected in [200, 502, 200] {
                let answered = send(address, "/order/1", 1_000).await.status;
                assert_eq!(answered, expected, "{status}");
            }
        }
    });
}
