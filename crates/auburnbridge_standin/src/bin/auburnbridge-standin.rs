//! Command line of the stand-in target and caller.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use argh::FromArgs;
use async_std::task;
use auburnbridge_http::Request;
use auburnbridge_standin::load::{Plan, new_key};
use auburnbridge_standin::{Target, TargetOptions, load, send};
use auburnbridge_types::{DataCentre, Millis, ServiceName, Slots, TargetId};

/// Stand-in targets and callers for auburnbridge.
#[derive(FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Target(TargetArguments),
    Send(SendArguments),
    Load(LoadArguments),
    Key(KeyArguments),
}

/// Prints a new idempotency key.
#[derive(FromArgs)]
#[argh(subcommand, name = "key")]
struct KeyArguments {}

/// Runs a stand-in target until it is killed.
#[derive(FromArgs)]
#[argh(subcommand, name = "target")]
struct TargetArguments {
    /// name of the target
    #[argh(option)]
    id: TargetId,
    /// service that it provides
    #[argh(option)]
    service: ServiceName,
    /// address to listen on
    #[argh(option)]
    address: SocketAddr,
    /// data centre
    #[argh(option)]
    data_centre: DataCentre,
    /// requests that run at the same time (default 3)
    #[argh(option, default = "Slots(3)")]
    slots: Slots,
    /// work of each request (default 5ms)
    #[argh(option, default = "Millis(5)")]
    work: Millis,
    /// address of an entry that hears the announcements; repeatable
    #[argh(option)]
    announce_to: Vec<SocketAddr>,
}

/// Sends one request and prints the whole response.
#[derive(FromArgs)]
#[argh(subcommand, name = "send")]
struct SendArguments {
    /// address of an entry
    #[argh(option)]
    entry: SocketAddr,
    /// method (default GET)
    #[argh(option, default = "\"GET\".to_owned()")]
    method: String,
    /// path
    #[argh(option)]
    path: String,
    /// idempotency key, or `new`
    #[argh(option)]
    key: Option<String>,
    /// number of earlier attempts
    #[argh(option)]
    previous_attempts: Option<u32>,
    /// body
    #[argh(option, default = "String::new()")]
    body: String,
    /// time limit (default 10000ms)
    #[argh(option, default = "Millis(10_000)")]
    timeout: Millis,
}

/// Sends an open-loop load and prints a report as JSON.
#[derive(FromArgs)]
#[argh(subcommand, name = "load")]
struct LoadArguments {
    /// address of an entry; repeatable
    #[argh(option)]
    entry: Vec<SocketAddr>,
    /// path of idempotent requests
    #[argh(option)]
    lookup_path: String,
    /// path of keyed requests
    #[argh(option)]
    keyed_path: String,
    /// share of keyed requests, 0 to 1 (default 0)
    #[argh(option, default = "0.0")]
    keyed_share: f64,
    /// arrivals a second
    #[argh(option)]
    rate: f64,
    /// seconds of the run
    #[argh(option)]
    seconds: u64,
    /// seed of arrivals and keys
    #[argh(option)]
    seed: u64,
}

fn main() -> ExitCode {
    env_logger::init();
    let arguments: Arguments = argh::from_env();
    match arguments.command {
        Command::Target(arguments) => run_target(arguments),
        Command::Send(arguments) => send_one(&arguments),
        Command::Load(arguments) => run_load(arguments),
        Command::Key(KeyArguments {}) => {
            println!("{}", new_key(&mut rand::rng()));
            ExitCode::SUCCESS
        }
    }
}

fn run_target(arguments: TargetArguments) -> ExitCode {
    let options = TargetOptions::builder(arguments.id, arguments.service)
        .address(arguments.address)
        .data_centre(arguments.data_centre)
        .slots(arguments.slots)
        .work(arguments.work)
        .announce_to(arguments.announce_to)
        .exits_on_crash(true)
        .build();
    task::block_on(async {
        match Target::start(options).await {
            Ok(_target) => std::future::pending().await,
            Err(error) => {
                eprintln!("can't listen on {}: {error}", arguments.address);
                ExitCode::FAILURE
            }
        }
    })
}

fn send_one(arguments: &SendArguments) -> ExitCode {
    let mut req = Request::new(&arguments.method, &arguments.path);
    req.headers.append("Host", "auburnbridge");
    match arguments.key.as_deref() {
        Some("new") => {
            let key = new_key(&mut rand::rng());
            req.headers.append("Idempotency-Key", key.to_string());
        }
        Some(key) => req.headers.append("Idempotency-Key", key),
        None => {}
    }
    if let Some(attempts) = arguments.previous_attempts {
        req.headers
            .append("Auburnbridge-Previous-Attempts", attempts.to_string());
    }
    req.body = arguments.body.clone().into_bytes().into();
    let limit = Duration::from_millis(arguments.timeout.0);
    match task::block_on(send(arguments.entry, &req, limit)) {
        Ok(response) => {
            println!("{}", response.status);
            for (name, value) in response.headers.iter() {
                println!("{name}: {}", String::from_utf8_lossy(value));
            }
            println!("\n{}", String::from_utf8_lossy(&response.body));
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn run_load(arguments: LoadArguments) -> ExitCode {
    let plan = Plan {
        entries: arguments.entry,
        lookup_path: arguments.lookup_path,
        keyed_path: arguments.keyed_path,
        keyed_share: arguments.keyed_share.clamp(0.0, 1.0),
        rate: arguments.rate,
        duration: Duration::from_secs(arguments.seconds),
        seed: arguments.seed,
    };
    if plan.entries.is_empty() || plan.rate <= 0.0 {
        eprintln!("--entry is required and --rate must be above 0");
        return ExitCode::FAILURE;
    }
    let report = task::block_on(load::run(&plan));
    println!(
        "{}",
        serde_json::to_string_pretty(&report).expect("a report can be serialized as JSON")
    );
    ExitCode::SUCCESS
}
