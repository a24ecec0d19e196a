//! Decisions, framing and whole path of daemons whose routes and members come from a store.

#[path = "../fixed_seeds/mod.rs"]
mod fixed_seeds;
#[path = "../support/http_text.rs"]
mod http_text;

mod admission;
mod budget;
mod choice;
mod decoders;
mod framing;
mod leaving;
mod lines;
mod links;
mod members;
mod path;
mod readers;
mod routes;
mod runs;
mod stand_ins;
