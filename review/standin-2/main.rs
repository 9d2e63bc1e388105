//! Stand-ins and drivers of the cases in `review/`. Only the standard library is used.

mod crashing_caller;
mod engine;
mod fleet;
mod http;
mod json;
mod late_crash;
mod link;
mod many_clients;
mod peer_version;
mod server;
mod store;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let code = match arguments.split_first() {
        Some((verb, rest)) if verb == "server" => server::run(rest),
        Some((verb, rest)) if verb == "engine" => engine::run(rest),
        Some((verb, rest)) if verb == "late-crash" => late_crash::run(rest),
        Some((verb, rest)) if verb == "peer-version" => peer_version::run(rest),
        Some((verb, rest)) if verb == "many-clients" => many_clients::run(rest),
        Some((verb, rest)) if verb == "crashing-caller" => crashing_caller::run(rest),
        _ => 2,
    };
    std::process::exit(code);
}
