//! Clients download large answers over kept connections, and read them slowly. The platform ends a
//! process that exceeds `memory-mb`.

#[path = "rig.rs"]
#[allow(dead_code)]
mod rig;

use rig::*;
use std::{
    fs,
    io::{Read, Write},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// `memory-mb` of the site's machines.
const MEMORY_MB: u64 = 260;

fn number(name: &str, default: usize) -> usize {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn main() {
    let clients = number("CLIENTS", 50);
    let size = number("SIZE", 8 << 20);
    let gap = Duration::from_millis(number("GAP", 60) as u64);
    let record = Record::new();
    guard(&record);
    let folder = folder();
    let ports = Ports::free(4);
    let store = Store::start(ports.at(0, ports.store));
    let behaviour: Behaviour = Arc::new(move |request: &Message| {
        let is_large = request.path().starts_with("/docs/");
        Plan {
            work: Duration::from_millis(if is_large { 130 } else { 20 }),
            body: if is_large { size } else { 400 },
            ..Plan::default()
        }
    });
    let machines = [(1, "docvault"), (2, "docvault"), (3, "gateboard")];
    let upstreams: Vec<_> = machines
        .map(|(machine, service)| {
            let (id, zone) = (format!("i-{machine}"), format!("z{machine}"));
            let behaviour = Arc::clone(&behaviour);
            let upstream = Upstream::start(&record, service, &id, &zone, &ports, machine, 121, behaviour);
            upstream.keep_published(&store);
            upstream
        })
        .into();
    let routes = [
        route("manual-fetch", "/docs/", "download", 5.0, &[("docvault", "1")], 2),
        route("manual-index", "/index/", "safe", 5.0, &[("docvault", "1")], 2),
    ];
    store.put("op/config", &config(3, &routes, &["docvault", "gateboard"]));
    let daemons: Vec<_> = machines
        .map(|(machine, service)| {
            let zone = format!("z{machine}");
            Daemon::start(&record, &folder, &ports, machine, &zone, service, &[1, 2, 3])
        })
        .into();
    wait_ready(&record, &daemons, Duration::from_secs(15));
    thread::sleep(Duration::from_secs(1));
    let peaks: Vec<_> = daemons.iter().map(|_| Arc::new(AtomicU64::new(0))).collect();
    for (daemon, peak) in daemons.iter().zip(&peaks) {
        let (record, daemon, peak) = (Arc::clone(&record), Arc::clone(daemon), Arc::clone(peak));
        thread::spawn(move || watch_memory(&record, &daemon, &peak));
    }
    let entry = daemons[2].outbound();
    let threads: Vec<_> = (0..clients)
        .map(|_| {
            thread::sleep(gap);
            let record = Arc::clone(&record);
            thread::spawn(move || play_client(&record, entry, size))
        })
        .collect();
    let mut lost = 0;
    for thread in threads {
        let (attempt, is_whole) = thread.join().expect("client");
        let runs: Vec<Arrival> =
            upstreams.iter().flat_map(|upstream| upstream.runs(&attempt)).collect();
        if !is_whole && runs.iter().any(|run| run.end.is_some_and(|end| end.1 == "answered")) {
            lost += 1;
            record.say(format!("{attempt}: run and answered by its upstream, not answered to the client"));
        }
    }
    for (daemon, peak) in daemons.iter().zip(&peaks) {
        record.say(format!("{}: at most {} MB", daemon.name, peak.load(Ordering::Relaxed)));
    }
    let is_broken = lost > 3;
    record.say(format!("{}: {lost} requests lost", if is_broken { "BROKEN (LOST)" } else { "HELD" }));
    finish(&record, i32::from(is_broken));
}

/// Kills a process that exceeds its memory, as the platform does.
fn watch_memory(record: &Record, daemon: &Daemon, peak: &AtomicU64) {
    loop {
        let status = fs::read_to_string(format!("/proc/{}/status", daemon.pid())).unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmRSS:"));
        let kilobytes = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
        let megabytes = kilobytes.unwrap_or(0) * 1024 / 1_000_000;
        peak.fetch_max(megabytes, Ordering::Relaxed);
        if megabytes > MEMORY_MB {
            record.say(format!("{} has {megabytes} MB, more than memory-mb {MEMORY_MB}", daemon.name));
            daemon.kill();
            thread::sleep(Duration::from_millis(300));
            daemon.spawn();
        }
        thread::sleep(Duration::from_millis(20));
    }
}

/// Sends a small request and then a download over one connection; returns whether it is whole.
fn play_client(record: &Record, address: std::net::SocketAddr, size: usize) -> (String, bool) {
    let attempt = next_attempt();
    let play = || -> std::io::Result<usize> {
        let stream = connect_slowly(address, 64 << 10, 1_448)?;
        stream.set_read_timeout(Some(Duration::from_secs(5)))?;
        let mut wire = Wire::new(stream);
        wire.stream.write_all(&request("GET", "/index/a", &next_attempt(), 5_000, b""))?;
        wire.read_message()?;
        record.say(format!("client sends {attempt}: GET /docs/towbar"));
        wire.stream.write_all(&request("GET", "/docs/towbar", &attempt, 5_000, b""))?;
        let sent = Instant::now();
        let mut count = 0;
        let mut bytes = vec![0; 256 << 10];
        while count < size && sent.elapsed() < Duration::from_secs(5) {
            let read = wire.stream.read(&mut bytes)?;
            if read == 0 {
                break;
            }
            count += read;
            if has_trouble() {
                // Begins slowly and gets faster; all is read before the time budget ends.
                let due = Duration::from_secs_f64(4.4 * (count as f64 / size as f64).powf(0.25));
                thread::sleep(due.saturating_sub(sent.elapsed()));
            }
        }
        Ok(count)
    };
    let result = play();
    let is_whole = result.as_ref().is_ok_and(|count| *count >= size);
    record.say(format!("client: {attempt} got {result:?} bytes, whole: {is_whole}"));
    (attempt, is_whole)
}
