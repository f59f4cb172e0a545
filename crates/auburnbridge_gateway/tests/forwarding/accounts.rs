//! Tests which requests need the API key of a client account, and what the targets learn of it.

use async_std::net::TcpStream;
use async_std::task::block_on;
use auburnbridge_http::Connection;
use auburnbridge_routing::{AccountSet, ClientAccount, RouteSet};
use auburnbridge_types::{ConfigVersion, Priority};

use crate::targets::{
    Behaviour, OK, exchange, listen, routes_builder, send, send_with, start_gateway, start_target,
};

const KEY: &str = "k-ana-1";

/// Routes with two accounts, of which `ana` holds `keys`.
pub fn routes_with_accounts(version: u64, keys: &[&str]) -> RouteSet {
    let account = |name: &str| ClientAccount {
        id: name.parse().unwrap(),
        priority: Some(Priority(1)),
        limit: None,
    };
    let mut accounts = AccountSet::default();
    accounts.add(account("ana"), keys.iter().copied()).unwrap();
    accounts.add(account("ben"), ["k-ben-1"]).unwrap();
    let mut routes = routes_builder(ConfigVersion(version));
    routes.accounts(accounts);
    routes.build()
}

/// Path, further headers and expected status of a request.
type Case<'a> = (&'a str, &'a [(&'static str, &'a str)], u16);

/// Guards against requests without a valid key that run, and against a refusal of valid ones.
#[test]
fn requests_need_a_key_unless_their_route_is_public() {
    let long = "k".repeat(4_000);
    let cases: &[Case<'_>] = &[
        ("/order/1", &[("Key", KEY)], 200),
        ("/lookup/1", &[("key", "k-ben-1")], 200),
        ("/order/1", &[], 401),
        ("/order/1", &[("Key", "")], 401),
        ("/order/1", &[("Key", "k-ana")], 401),
        ("/order/1", &[("Key", "K-ANA-1")], 401),
        ("/order/1", &[("Key", "Bearer k-ana-1")], 401),
        ("/order/1", &[("Key", &long)], 401),
        ("/order/1", &[("Key", KEY), ("Key", "k-ben-1")], 401),
        ("/order/1", &[("Account", "ana")], 401),
        ("/public/1", &[], 200),
        ("/public/1", &[("Key", "k-none")], 200),
        ("/elsewhere/1", &[], 404),
    ];
    block_on(async {
        for (path, headers, status) in cases {
            let target = start_target("t-1", Behaviour::Respond(OK)).await;
            let gateway = start_gateway(&[&target]);
            assert!(gateway.install_routes(routes_with_accounts(2, &[KEY])));
            let address = listen(&gateway).await;
            let response = send_with(address, path, 1_000, headers).await;
            assert_eq!(response.status, *status, "{path} {headers:?}");
            let runs = usize::from(*status == 200);
            assert_eq!(target.requests.lock().len(), runs, "{path} {headers:?}");
        }
    });
}

/// Guards against targets that see a key, and against callers who claim another account.
#[test]
fn targets_learn_the_account_but_not_the_key() {
    let claims = [
        ("Account", "ben"),
        ("ACCOUNT", "root"),
        ("account", "ana,ben"),
    ];
    block_on(async {
        let target = start_target("t-1", Behaviour::Respond(OK)).await;
        let gateway = start_gateway(&[&target]);
        assert!(gateway.install_routes(routes_with_accounts(2, &[KEY])));
        let address = listen(&gateway).await;
        for (path, account) in [
            ("/order/1", Some("ana")),
            ("/lookup/1", Some("ana")),
            ("/public/1", None),
        ] {
            let headers = [&claims[..], &[("Key", KEY)]].concat();
            let response = send_with(address, path, 1_000, &headers).await;
            assert_eq!(response.status, 200, "{path}");
            let request = target.requests.lock().pop().unwrap();
            let named: Vec<&[u8]> = request.headers.get_all("Account").collect();
            let expected: Vec<&[u8]> = account.iter().map(|name| name.as_bytes()).collect();
            assert_eq!(named, expected, "{path}");
            assert_eq!(request.headers.get("Key"), None, "{path}");
        }
    });
}

/// Guards against a withdrawn key that still works on a connection that stays open.
#[test]
fn withdrawn_key_is_refused_on_an_open_connection() {
    block_on(async {
        let target = start_target("t-1", Behaviour::Respond(OK)).await;
        let gateway = start_gateway(&[&target]);
        assert!(gateway.install_routes(routes_with_accounts(2, &[KEY, "k-ana-2"])));
        let address = listen(&gateway).await;
        let mut connection = Connection::new(TcpStream::connect(address).await.unwrap());
        for (version, keys, status) in [
            (3, &[KEY, "k-ana-2"][..], 200),
            (4, &["k-ana-2"][..], 401),
            (5, &[KEY][..], 200),
            (6, &[][..], 401),
        ] {
            assert!(gateway.install_routes(routes_with_accounts(version, keys)));
            let response = exchange(&mut connection, "/order/1", 1_000, &[("Key", KEY)]).await;
            assert_eq!(response.status, status, "version {version}");
        }
    });
}

/// Guards against headers of callers that are changed although the configuration has no accounts.
#[test]
fn headers_stay_as_they_are_without_accounts() {
    block_on(async {
        let target = start_target("t-1", Behaviour::Respond(OK)).await;
        let address = listen(&start_gateway(&[&target])).await;
        let headers = [("Key", "k-1"), ("Account", "ana")];
        let response = send_with(address, "/order/1", 1_000, &headers).await;
        assert_eq!(response.status, 200);
        assert_eq!(send(address, "/order/1", 1_000).await.status, 200);
        let requests = target.requests.lock();
        assert_eq!(requests[0].headers.text("Key"), Some("k-1"));
        assert_eq!(requests[0].headers.text("Account"), Some("ana"));
        assert_eq!(requests[1].headers.len() + 2, requests[0].headers.len());
    });
}
