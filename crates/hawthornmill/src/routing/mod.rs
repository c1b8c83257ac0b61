//! Routing decisions of the gateway: the route, the backend server, and whether a request runs now, waits or is refused.
//! Gateway callers speak plain HTTP to a host and a path and get the server's response unchanged; backend servers
//! register themselves. Nothing here does I/O; every function that depends on the time takes `now`.
//!
//! | module | contents |
//! |---|---|
//! | [`catalog`], [`route_table`] | routes, services and accounts as published, and their lookup |
//! | [`registry`] | backend servers as they registered themselves |
//! | [`version_history`], [`store_history`] | versions of each service's servers over the last minutes |
//! | [`run_doubt`] | runs of servers that may have ended |
//! | [`announcements`], [`recent`] | changes that are announced without waiting for the registrations |
//! | [`cold_start`] | requests that a cold server may get |
//! | [`evacuations`] | failure domains whose servers get no new requests |
//! | [`regions`] | regions to which a request is bound |
//! | [`shape`] | size of a request and its cost on a model engine |
//! | [`loads`], [`prefix_index`] | work in flight at each server, and the prompt prefixes it has cached |
//! | [`ttft`] | estimated time to the first token |
//! | [`request`] | a request to be scheduled, and the possible decisions |
//! | [`placement`] | choice of the server for a request |
//! | [`usage`] | usage of each account and its max-min fair share |
//! | [`allowance`] | fraction of a server's capacity that an account may use |
//! | [`retry_budget`] | fleet-wide bound on retries |
//! | [`hedging`] | second copies of requests that have no answer after some time |
//! | [`unmet_demand`] | work that recently found no capacity |
//! | [`scheduler`] | admission, queueing and refusal |
//! | [`gossip`] | reports that instances exchange, and the table of peers |
//! | [`server_speed`] | how long work takes at each server, from its reports and from measured times |
//! | [`lag`] | time since a newer catalog or revision was first heard of |
//! | [`fragments`] | transfer of a large response in datagrams |
//! | [`domain_summary`] | members of the failure domains of a large fleet, as relays name them |
//! | [`relays`] | instances that relay between others or follow the store |
//! | [`store_start`] | whether an instance that starts reads the platform's store |
//! | [`load_parts`] | load of an instance, a failure domain or the fleet, in parts that fit a datagram |
//! | [`remote_work`] | work in flight that other instances report |

pub mod allowance;
pub mod announcements;
pub mod caller_times;
pub mod catalog;
pub mod change_times;
pub mod cold_start;
pub mod credit;
pub mod domain_summary;
pub mod evacuations;
pub mod fragments;
pub mod gossip;
pub mod hedging;
pub mod isolation;
pub mod lag;
pub mod load_parts;
pub mod loads;
pub mod long_prompts;
pub mod lost_streams;
pub mod past_routes;
pub mod placement;
pub mod prefix_index;
pub mod recent;
pub mod regions;
pub mod registration_check;
pub mod registry;
pub mod relays;
pub mod remote_work;
pub mod request;
pub mod retry_budget;
pub mod route_table;
pub mod run_doubt;
pub mod scheduler;
pub mod server_notices;
pub mod server_speed;
pub mod shape;
pub mod store_history;
pub mod store_start;
pub mod store_wait;
pub mod stream_tries;
pub mod stream_versions;
pub mod ttft;
pub mod unmet_demand;
pub mod usage;
pub mod version_history;
