//! `auburnbridge explain`: shows where a request would go now, and why.

use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;

use argh::FromArgs;
use auburnbridge_gateway::{
    EXPLAIN_CALLER, EXPLAIN_HOST, EXPLAIN_KEY, EXPLAIN_METHOD, EXPLAIN_PATH, EXPLAIN_TARGET,
    ExplainedService, Explanation,
};

use crate::commands::api;
use crate::failure::Failure;

/// Shows where a gateway would send a request now, and why, without sending it.
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
pub(crate) struct ExplainArguments {
    /// metrics address of a gateway
    #[argh(option)]
    gateway: SocketAddr,
    /// host of the request
    #[argh(option)]
    host: String,
    /// path of the request, with its query
    #[argh(option)]
    path: String,
    /// method of the request (default GET)
    #[argh(option, default = "\"GET\".to_owned()")]
    method: String,
    /// IP address of the caller, to see whether its request is refused because it crashes targets
    #[argh(option)]
    caller: Option<IpAddr>,
    /// file with the API key of a client account
    #[argh(option)]
    key_file: Option<PathBuf>,
    /// number of targets to show for each service (default 8)
    #[argh(option, default = "8")]
    targets: usize,
}

pub(crate) fn run(arguments: &ExplainArguments) -> Result<(), Failure> {
    let mut req = api::request("GET", EXPLAIN_PATH, None);
    req.headers.append(EXPLAIN_HOST, &arguments.host);
    req.headers.append(EXPLAIN_METHOD, &arguments.method);
    req.headers.append(EXPLAIN_TARGET, &arguments.path);
    if let Some(caller) = arguments.caller {
        req.headers.append(EXPLAIN_CALLER, caller.to_string());
    }
    if let Some(path) = &arguments.key_file {
        req.headers.append(EXPLAIN_KEY, api::read_key(path)?);
    }
    let response = api::call(arguments.gateway, &req)?;
    let body = api::success_body(&response)?;
    let explanation: Explanation = serde_json::from_str(&body)
        .map_err(|error| Failure::new(format!("{}: {error}", arguments.gateway)))?;
    print!("{}", format_explanation(&explanation, arguments.targets));
    Ok(())
}

fn format_explanation(explanation: &Explanation, max_targets: usize) -> String {
    let text = |value: &Option<String>| value.clone().unwrap_or_else(|| "none".to_owned());
    let number = |value: Option<u64>| value.map_or("none".to_owned(), |value| value.to_string());
    let mut lines = vec![
        format!("configuration  {}", number(explanation.version)),
        format!("route          {}", text(&explanation.route)),
        format!("class          {}", text(&explanation.class)),
        format!("account        {}", text(&explanation.account)),
        format!(
            "priority       {}",
            number(explanation.priority.map(u64::from))
        ),
    ];
    if let Some(refusal) = &explanation.refusal {
        let retry = refusal
            .retry_after_ms
            .map_or(String::new(), |wait| format!(", retry after {wait} ms"));
        let (reason, status) = (&refusal.reason, refusal.status);
        lines.push(format!(
            "refused        {reason} (status {status}{retry}), not run"
        ));
    }
    for service in &explanation.services {
        lines.extend(format_service(service, max_targets));
    }
    lines.join("\n") + "\n"
}

fn format_service(service: &ExplainedService, max_targets: usize) -> Vec<String> {
    let wait = service
        .wait_ms
        .map_or(String::new(), |wait| format!(" ({wait} ms)"));
    let share = service.share * 100.0;
    let (name, outcome) = (&service.service, &service.outcome);
    let mut lines = vec![format!(
        "service        {name}, {share:.0}% of the route: {outcome}{wait}"
    )];
    for target in service.targets.iter().take(max_targets) {
        lines.push(format!(
            "  {:>3.0}% {} {} {}: {}, {} of {} in flight, suspicion {:.1}, proved {} ms ago, paused {} ms",
            target.likelihood * 100.0,
            target.target,
            target.address,
            target.data_centre,
            target.tier,
            target.in_flight,
            target.capacity,
            target.suspicion,
            target.proof_age_ms,
            target.pause_left_ms,
        ));
    }
    let hidden = service.targets.len().saturating_sub(max_targets);
    if hidden > 0 {
        lines.push(format!("  and {hidden} more"));
    }
    lines
}
