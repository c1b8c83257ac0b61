//! Integration tests of hawthornmill, built as one binary.

mod access_control;
mod at_most_once;
mod catalog_check;
mod causes;
mod check;
mod configuration;
mod conservation;
mod cut_proxy;
mod demo;
mod end_to_end;
mod errors;
mod event_stream;
mod explain;
mod failing_servers;
mod fleet_shares;
mod frames;
mod gateway;
mod histories;
mod invalid_input;
mod keys;
mod labels;
mod leaving;
mod liveness;
mod membership;
mod metrics;
mod overload;
mod owner_stability;
mod previous_build;
mod quarantine;
mod random_input;
mod response_integrity;
mod retries;
mod rolling_restart;
mod router_bodies;
mod router_broken_heads;
mod router_early_answers;
mod router_endless_answers;
mod router_odd_heads;
mod router_planned_stop;
mod router_platform;
mod router_upstream;
mod routing;
mod server_crashes;
mod settings;
mod shares;
mod spans;
mod standins;
mod starvation;

/// The router program under test.
const ROUTER: &str = env!("CARGO_BIN_EXE_hawthornmill-router");

/// Runs `future` on a multi-threaded runtime of its own.
fn block_on<T>(future: impl Future<Output = T>) -> T {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("a runtime can start")
        .block_on(future)
}
