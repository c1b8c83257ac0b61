//! Tests of gateway processes against fakes of the platform, and of parts that need none.

mod at_most_once;
#[expect(dead_code, reason = "the soak uses the other part of the fixtures")]
mod behavior;
mod broken_heads;
mod broken_state;
mod broken_store;
mod changed_routes;
mod connection_pool;
mod endless_elsewhere;
mod endless_responses;
mod event_streams;
mod failed_requests;
#[expect(dead_code, reason = "the soak uses the other part of the fixtures")]
mod fleet;
mod hedged_requests;
mod holder_starts;
mod http_io;
mod http_parsing;
mod invalid_config;
mod late_registrations;
mod late_views;
mod long_values;
mod lost_records;
mod memory;
mod missed_updates;
mod odd_entries;
pub mod odd_heads;
mod out_of_step;
mod overload;
mod peer;
mod placement_bounds;
mod platform_adapter;
mod platform_names;
mod pouring_server;
mod quarantine;
pub mod raw_client;
pub mod raw_servers;
mod request_handling;
mod request_memory;
mod response_limits;
mod response_reader;
mod responses;
mod restarted_servers;
mod restarts;
#[expect(dead_code, reason = "the soak uses the other part of the fixtures")]
mod scripted_server;
mod server_crashes;
mod server_notices;
mod server_speed;
mod shutdown;
mod stalled_uploads;
mod store;
mod store_silence;
mod stream_versions;
mod stream_versions_after_kill;
pub mod streams;
mod uncounted_deadlines;
