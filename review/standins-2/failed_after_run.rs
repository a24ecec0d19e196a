//! An upstream runs an unsafe request, fails, and says so with a status that is a promise when a client
//! gets it. Clients honour promises.

#[path = "rig.rs"]
#[allow(dead_code)]
mod rig;

use rig::*;
use std::{
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    thread,
    time::Duration,
};

/// Share of its requests that the grey upstream fails: the largest that the site names, 0.45.
const FAILED_SHARE: f64 = 0.45;

fn main() {
    let record = Record::new();
    guard(&record);
    let folder = folder();
    let ports = Ports::free(7);
    let store = Store::start(ports.at(0, ports.store));
    let count = AtomicU32::new(0);
    let grey: Behaviour = Arc::new(move |_: &Message| {
        let number = f64::from(count.fetch_add(1, Ordering::Relaxed));
        let fails = ((number + 1.0) * FAILED_SHARE).floor() > (number * FAILED_SHARE).floor();
        Plan {
            work: Duration::from_millis(50),
            status: if fails && has_trouble() { 503 } else { 200 },
            ..Plan::default()
        }
    });
    let sound: Behaviour = Arc::new(|_: &Message| Plan {
        work: Duration::from_millis(50),
        ..Plan::default()
    });
    // One of seven upstreams is grey: a share of 0.14.
    let machines = [1, 2, 3, 4, 5, 6, 7]
        .map(|machine| (machine, if machine < 5 { "dispatcher" } else { "gateboard" }));
    let upstreams: Vec<_> = machines
        .map(|(machine, service)| {
            let (id, zone) = (format!("i-{machine}"), format!("z{machine}"));
            let behaviour = Arc::clone(if machine == 1 { &grey } else { &sound });
            let upstream = Upstream::start(&record, service, &id, &zone, &ports, machine, 64, behaviour);
            upstream.keep_published(&store);
            upstream
        })
        .into();
    let routes = [route("tug-assign", "/tug/", "unsafe", 5.0, &[("dispatcher", "1")], 2)];
    store.put("op/config", &config(3, &routes, &["dispatcher", "gateboard"]));
    let daemons: Vec<_> = machines
        .map(|(machine, service)| {
            let zone = format!("z{machine}");
            Daemon::start(&record, &folder, &ports, machine, &zone, service, &[1, 2, 3])
        })
        .into();
    wait_ready(&record, &daemons, Duration::from_secs(15));
    thread::sleep(Duration::from_secs(1));
    let (mut refused_and_run, mut doubled) = (0, 0);
    for number in 0..80 {
        let path = format!("/tug/aircraft-{number}");
        let entry = daemons[number % 7].outbound();
        let mut runs = 0;
        // A client retries once, and an unsafe request only after a promise.
        for _ in 0..2 {
            let (attempt, answer) = ask(&record, entry, "POST", &path, 5_000, b"tug");
            let run = upstreams.iter().map(|upstream| upstream.runs(&attempt).len()).sum::<usize>();
            runs += run;
            let status = answer.ok().flatten().map_or(0, |answer| answer.status());
            if !matches!(status, 408 | 421 | 429 | 503) {
                break;
            }
            if run > 0 {
                refused_and_run += 1;
                record.say(format!("{attempt} was answered {status} and has run"));
            }
        }
        if runs > 1 {
            doubled += 1;
            record.say(format!("{path} has run {runs} times"));
        }
    }
    let is_broken = refused_and_run > 0;
    record.say(format!(
        "{}: {refused_and_run} unsafe requests were answered with a promise and had run; for {doubled} of 80 \
         aircraft the work was done twice",
        if is_broken { "BROKEN (REFUSED)" } else { "HELD" }
    ));
    finish(&record, i32::from(is_broken));
}
