//! Calls wait at the daemon of an upstream while all slots are in use. The upstream reports that it
//! drains, serves on for `drain-s` and a little longer, and exits.

#[path = "rig.rs"]
#[allow(dead_code)]
mod rig;

use rig::*;
use std::{sync::Arc, thread, time::Duration};

const DRAIN_S: f64 = 2.0;
/// How much longer than `drain-s` the upstream serves.
const LONGER_S: f64 = 1.0;

fn main() {
    let record = Record::new();
    guard(&record);
    let folder = folder();
    let ports = Ports::free(4);
    let store = Store::start(ports.at(0, ports.store));
    // `/stand/` runs at gateboard and calls `/hold/` at dispatcher, which may run once; `/tug/SECONDS` runs at dispatcher.
    let behaviour: Behaviour = Arc::new(|request: &Message| {
        let path = request.path();
        if path.starts_with("/stand/") {
            return Plan {
                work: Duration::from_millis(20),
                call: Some("/hold/tug".into()),
                ..Plan::default()
            };
        }
        let tug = path.strip_prefix("/tug/").and_then(|text| text.parse().ok());
        Plan {
            work: Duration::from_millis(tug.unwrap_or(200)),
            ..Plan::default()
        }
    });
    let machines = [(1, "dispatcher"), (2, "dispatcher"), (3, "gateboard"), (4, "crewdesk")];
    let upstreams: Vec<_> = machines
        .map(|(machine, service)| {
            let (id, zone) = (format!("i-{machine}"), format!("z{machine}"));
            let behaviour = Arc::clone(&behaviour);
            Upstream::start(&record, service, &id, &zone, &ports, machine, 8, behaviour)
        })
        .into();
    let routes = [
        route("stand-status", "/stand/", "safe", 5.0, &[("gateboard", "1")], 2),
        route("tug-assign", "/tug/", "unsafe", 5.0, &[("dispatcher", "1")], 2),
        route("tug-hold", "/hold/", "unsafe", 4.5, &[("dispatcher", "1")], 2),
    ];
    store.put("op/config", &config(3, &routes, &["dispatcher", "gateboard", "crewdesk"]));
    // The second dispatcher is the new one of a release: it is published right before the first drains.
    for upstream in [&upstreams[0], &upstreams[2], &upstreams[3]] {
        upstream.keep_published(&store);
    }
    let daemons: Vec<_> = machines
        .map(|(machine, service)| {
            let zone = format!("z{machine}");
            Daemon::start(&record, &folder, &ports, machine, &zone, service, &[1, 2, 3])
        })
        .into();
    wait_ready(&record, &daemons, Duration::from_secs(15));
    let entries: Vec<_> = daemons.iter().map(|daemon| daemon.outbound()).collect();
    // Ordinary traffic from the machines of all services.
    for turn in 0..60 {
        let (record, entry) = (Arc::clone(&record), entries[turn % 4]);
        thread::spawn(move || {
            let (method, path) = if turn % 8 < 4 { ("GET", "/stand/a") } else { ("POST", "/tug/50") };
            ask(&record, entry, method, path, 5_000, b"")
        });
        thread::sleep(Duration::from_millis(100));
    }
    thread::sleep(Duration::from_secs(1));
    record.say("the dispatcher gets long requests, then calls wait there");
    let mut long = Vec::new();
    for _ in 0..7 {
        let (record, entry) = (Arc::clone(&record), entries[0]);
        long.push(thread::spawn(move || ask(&record, entry, "POST", "/tug/2950", 5_000, b"")));
    }
    thread::sleep(Duration::from_millis(10));
    let mut stands = Vec::new();
    for turn in 0..4 {
        let (record, entry) = (Arc::clone(&record), entries[turn]);
        stands.push(thread::spawn(move || ask(&record, entry, "GET", "/stand/b", 5_000, b"")));
    }
    thread::sleep(Duration::from_millis(45));
    upstreams[1].keep_published(&store);
    thread::sleep(Duration::from_millis(15));
    let mut drained_at = None;
    if has_trouble() {
        drained_at = Some(upstreams[0].drain(&store));
        thread::sleep(Duration::from_secs_f64(DRAIN_S + LONGER_S));
        upstreams[0].exit(&store);
    }
    let mut unserved = 0;
    for client in stands {
        let (_, answer) = client.join().expect("client");
        unserved += u32::from(!answer.is_ok_and(|answer| answer.is_some_and(|a| a.status() == 200)));
    }
    for client in long {
        let _ = client.join();
    }
    let idle = upstreams[1].arrivals.lock().unwrap().len();
    record.say(format!("{unserved} of 4 requests were not served; i-2 got {idle} requests"));
    let mut late = 0;
    if let Some(drained_at) = drained_at {
        for arrival in upstreams[0].arrivals.lock().unwrap().iter() {
            if arrival.at > drained_at + DRAIN_S {
                late += 1;
                record.say(format!(
                    "{} ({}) reached the drained i-1 {:.3} s after the confirmation; end {:?}",
                    arrival.attempt,
                    arrival.line,
                    arrival.at - drained_at,
                    arrival.end
                ));
            }
        }
    }
    record.say(if late > 0 { format!("BROKEN (DRAIN): {late} requests came late") } else { "HELD".into() });
    finish(&record, i32::from(late > 0));
}
