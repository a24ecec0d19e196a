//! Tests of daemons whose routes and instances are published in a store: decisions, message framing
//! and end-to-end.

#[path = "../fixed_seeds/mod.rs"]
mod fixed_seeds;
#[path = "../support/http_text.rs"]
mod http_text;

mod admission;
mod attempt_history;
mod chunked_coding;
mod closing_connections;
mod crash_suspects;
mod crashing_requests;
mod decoders;
mod end_to_end;
mod endless_responses;
mod fleet_retry_budget;
mod fleet_view;
mod http1_framing;
mod identified_callers;
mod instance_selector;
mod leaving_servers;
mod line_queue;
mod link_liveness;
mod load_schedule;
mod named_limit;
mod organisations;
mod peer_link;
mod reader_election;
mod response_rules;
mod restored_store;
mod route_table;
mod run_table;
mod shutdown_wait;
mod slow_callers;
mod stand_ins;
mod start_sync;
mod store_outage;
mod store_reader;
mod task_panics;
