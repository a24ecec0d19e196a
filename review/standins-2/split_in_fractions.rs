//! The operator splits a route in proportions that are no whole numbers, and adds a route.

#[path = "rig.rs"]
#[allow(dead_code)]
mod rig;

use rig::*;
use std::{sync::Arc, thread, time::Duration};

const CONFIG_APPLY: Duration = Duration::from_secs(2);

fn main() {
    let record = Record::new();
    guard(&record);
    let folder = folder();
    let ports = Ports::free(4);
    let store = Store::start(ports.at(0, ports.store));
    let behaviour: Behaviour = Arc::new(|_: &Message| Plan::default());
    let machines = [(1, "gateboard"), (2, "dispatcher"), (3, "docvault"), (4, "crewdesk")];
    let upstreams: Vec<_> = machines
        .map(|(machine, service)| {
            let (id, zone) = (format!("i-{machine}"), format!("z{machine}"));
            let behaviour = Arc::clone(&behaviour);
            let upstream = Upstream::start(&record, service, &id, &zone, &ports, machine, 64, behaviour);
            upstream.keep_published(&store);
            upstream
        })
        .into();
    let services = ["gateboard", "dispatcher", "docvault", "crewdesk"];
    let tug = |targets: &[(&str, &str)]| route("tug-assign", "/tug/", "unsafe", 5.0, targets, 2);
    let roster = route("roster-view", "/roster/", "safe", 5.0, &[("crewdesk", "1")], 2);
    let added = route("stand-status", "/stand/", "safe", 5.0, &[("gateboard", "1")], 2);
    store.put("op/config", &config(3, &[tug(&[("dispatcher", "1")]), roster.clone()], &services));
    let daemons: Vec<_> = machines
        .map(|(machine, service)| {
            let zone = format!("z{machine}");
            Daemon::start(&record, &folder, &ports, machine, &zone, service, &[1, 2, 3])
        })
        .into();
    wait_ready(&record, &daemons, Duration::from_secs(15));
    thread::sleep(Duration::from_secs(4));
    for daemon in &daemons {
        let (_, answer) = ask(&record, daemon.outbound(), "POST", "/tug/a", 5_000, b"x");
        if !answer.is_ok_and(|answer| answer.is_some_and(|answer| answer.status() == 200)) {
            cannot_run(&record, "no service before the change");
        }
    }
    // The same proportions: once in hundredths of a share, once in whole numbers.
    let (large, small) = if has_trouble() { ("99.5", "0.5") } else { ("995", "5") };
    record.say(format!("r4 splits tug-assign: docvault {large}, gateboard {small}; it adds stand-status"));
    let split = tug(&[("docvault", large), ("gateboard", small)]);
    store.put("op/config", &config(4, &[split, roster, added], &services));
    record.say("the store has confirmed r4");
    thread::sleep(CONFIG_APPLY + Duration::from_millis(500));
    let mut wrong = 0;
    for daemon in &daemons {
        for _ in 0..5 {
            let (attempt, _) = ask(&record, daemon.outbound(), "POST", "/tug/b", 5_000, b"x");
            if upstreams[1].runs(&attempt).len() > 0 {
                wrong += 1;
                record.say(format!("{attempt} was run by dispatcher, which only r3 allows"));
            }
            let (attempt, answer) = ask(&record, daemon.outbound(), "GET", "/stand/b", 5_000, b"");
            if answer.is_ok_and(|answer| answer.is_some_and(|answer| answer.status() == 404)) {
                wrong += 1;
                record.say(format!("{attempt} was refused with 404, which only r3 allows"));
            }
        }
    }
    // What an outage would then do: all processes end and start again.
    for daemon in &daemons {
        daemon.kill();
    }
    for daemon in &daemons {
        daemon.spawn();
    }
    thread::sleep(Duration::from_secs(8));
    for daemon in &daemons {
        let (_, answer) = ask(&record, daemon.outbound(), "GET", "/roster/c", 5_000, b"");
        record.say(format!(
            "8 s after a restart of all, {} is ready: {}, and answers on a route that did not change: {}",
            daemon.name,
            daemon.is_ready(),
            describe(&answer)
        ));
    }
    let is_broken = wrong > 0;
    record.say(format!(
        "{}: {wrong} of 40 requests handled as only an older version allows",
        if is_broken { "BROKEN (CONFIG)" } else { "HELD" }
    ));
    finish(&record, i32::from(is_broken));
}
