//! Every test of hawthornmill, in one binary.

mod access;
mod bad_input;
mod bad_servers;
mod causes;
mod check;
mod configuration;
mod conservation;
mod demo;
mod errors;
mod explain;
mod fleet_shares;
mod frames;
mod gateway;
mod histories;
mod keys;
mod labels;
mod leave;
mod leaving;
mod liveness;
mod membership;
mod metrics;
mod once;
mod overload;
mod owner_stability;
mod path;
mod random_input;
mod retries;
mod routing;
mod settings;
mod shares;
mod spans;
mod standins;
mod starvation;
mod whole;

/// The router program under test.
const ROUTER: &str = env!("CARGO_BIN_EXE_hawthornmill-router");

/// A runtime for one test.
fn block_on<T>(future: impl Future<Output = T>) -> T {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("a runtime can start")
        .block_on(future)
}
