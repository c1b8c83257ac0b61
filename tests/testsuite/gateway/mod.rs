//! Tests of gateway processes against fakes of the platform, and of parts that need none.

mod answers;
mod boundary;
mod connections;
mod failed_requests;
#[expect(dead_code, reason = "the soak uses the other part of the fixtures")]
mod fleet;
mod http;
mod ingress;
mod invalid_config;
mod missed_updates;
mod once;
mod overload;
#[expect(dead_code, reason = "the soak uses the other part of the fixtures")]
mod server;
mod shutdown;
mod store;
mod streams;
mod translation;
