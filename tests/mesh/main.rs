//! Tests of daemons whose routes and instances are published in a store: decisions, message framing
//! and end-to-end.

#[path = "../fixed_seeds/mod.rs"]
mod fixed_seeds;
#[path = "../support/http_text.rs"]
mod http_text;

mod admission;
mod budget;
mod choice;
mod decoders;
mod framing;
mod line_queue;
mod links;
mod members;
mod path;
mod readers;
mod routes;
mod runs;
mod shutdown;
mod stand_ins;
