//! The store comes back from a copy that is some seconds old; later an upstream leaves.

use crate::{
    Stage,
    client::{Answer, Sender},
    machine::{Daemon, Ports, machine_ip, wait_until_ready},
    record::Record,
    store::Store,
    upstream::{Behaviour, Upstream},
};
use std::{io, net::SocketAddr, sync::Arc, thread, time::Duration};

/// Time budget of the clients of a booking.
const DEADLINE_MS: u64 = 6_000;

/// Work of a booking, within the range that the sheet states.
const WORK: Duration = Duration::from_millis(400);

const INTERVAL: Duration = Duration::from_millis(25);

/// Time for which a leaving upstream gets new requests at most: `drain-s`.
pub const DRAIN: Duration = Duration::from_secs(2);

/// Time for which it goes on serving after its report was accepted.
pub const SERVING_TIME: Duration = Duration::from_secs(6);

/// Plays the case; returns the violations.
pub fn play(stage: &Stage) -> io::Result<Vec<String>> {
    let ports = Ports::find()?;
    let address = |machine, port| SocketAddr::new(machine_ip(machine), port);
    let store = Store::start(address(0, ports.store))?;
    store.put("op/config", Some(config(7)));
    let behaviour = Behaviour {
        work: WORK,
        body: Arc::new(b"booked".to_vec()),
        document: Arc::default(),
    };
    let start_upstream = |machine, zone, service| {
        let id = format!("i-{machine}");
        let app = address(machine, ports.app);
        Upstream::start(&id, service, zone, app, behaviour.clone(), &stage.record)
    };
    let start_daemon = |machine, zone, service| {
        Daemon::start(machine, zone, service, ports, ports.peer, &stage.folder)
    };
    let mut daemons = Vec::new();
    for (machine, zone, service) in [(1, "kgn-a", "catalogue"), (2, "kgn-b", "bookings")] {
        let upstream = start_upstream(machine, zone, service)?;
        store.put(&upstream.key(), Some(upstream.entry("ready", 1)));
        daemons.push(start_daemon(machine, zone, service)?);
    }
    wait_until_ready(&daemons.iter().collect::<Vec<_>>())?;
    thread::sleep(Duration::from_secs(4));
    let (entry, record) = (daemons[0].outbound, &stage.record);
    let sender = Sender::start("b", entry, "/book/seat", DEADLINE_MS, INTERVAL, record);
    thread::sleep(Duration::from_secs(2));

    // From here on, the copy lacks what is written.
    store.make_copy();
    record.line(&format!(
        "store    a copy is made at revision {}",
        store.revision()
    ));
    for version in [9, 12, 14] {
        let revision = store.put("op/config", Some(config(version)));
        record.line(&format!(
            "store    config r{version} at revision {revision}"
        ));
        thread::sleep(Duration::from_secs(1));
    }
    let joined = start_upstream(3, "kgn-c", "bookings")?;
    let revision = store.put(&joined.key(), Some(joined.entry("ready", 1)));
    record.line(&format!("store    i-3 ready at revision {revision}"));
    daemons.push(start_daemon(3, "kgn-c", "bookings")?);
    wait_until_ready(&daemons.iter().collect::<Vec<_>>())?;
    thread::sleep(Duration::from_secs(1));

    if stage.has_trouble {
        record.line("store    away");
        store.go_away();
        thread::sleep(Duration::from_millis(1_000));
        store.come_back(true);
        record.line(&format!(
            "store    back from the copy at revision {}",
            store.revision()
        ));
        // The operator and the upstream write again what was lost.
        thread::sleep(Duration::from_millis(300));
        let revision = store.put("op/config", Some(config(14)));
        record.line(&format!("store    config r14 at revision {revision}"));
        thread::sleep(Duration::from_millis(700));
        let revision = store.put(&joined.key(), Some(joined.entry("ready", 5)));
        record.line(&format!("store    i-3 ready at revision {revision}"));
    }
    thread::sleep(Duration::from_secs(8));

    let revision = store.put(&joined.key(), Some(joined.entry("draining", 12)));
    let confirmed_at = record.elapsed();
    record.line(&format!("store    i-3 draining at revision {revision}"));
    joined.leave();
    thread::sleep(SERVING_TIME);
    joined.end();
    record.line("upstream i-3 has ended");
    let revision = store.put(&joined.key(), None);
    record.line(&format!("store    i-3 removed at revision {revision}"));
    daemons[2].signal("TERM");
    thread::sleep(Duration::from_secs(3));
    let answers = sender.finish();

    judge_leaving(record, &answers, &joined.id, confirmed_at)
}

/// Returns the requests that reached an upstream too long after its leaving was confirmed.
pub fn judge_leaving(
    record: &Record,
    answers: &[Answer],
    instance: &str,
    confirmed_at: Duration,
) -> io::Result<Vec<String>> {
    let served = answers.iter().filter(|answer| answer.status == Some(200));
    let served = served.count();
    record.line(&format!("served   {served} of {} requests", answers.len()));
    if served * 2 < answers.len() {
        return Err(io::Error::other("most requests were not served"));
    }
    let mut violations = Vec::new();
    for (attempt, runs) in record.runs() {
        for run in runs {
            if run.instance == instance && run.at > confirmed_at + DRAIN {
                let answer = answers.iter().find(|answer| answer.attempt == attempt);
                let status = answer.and_then(|answer| answer.status);
                let late = run.at.saturating_sub(confirmed_at).as_secs_f64();
                violations.push(format!(
                    "DRAIN: {attempt} reached {instance} {late:.3} s after its leaving was \
                     confirmed; the client got {status:?}"
                ));
            }
        }
    }
    // Those that the upstream's end cut off come first.
    violations.sort_by_key(|violation| violation.contains("Some(200)"));
    Ok(violations)
}

/// Returns a version of the config.
pub fn config(version: u32) -> String {
    let target_latency = 2.0 + f64::from(version) / 100.0;
    format!(
        r#"{{"version":"r{version}","routes":[{{"name":"r-book","hostname":"review.example","prefix":"/book/","route-type":"unsafe","timeout-s":1.2,"target-latency-s":{target_latency},"priority":0,"service":"bookings","max-attempts":2}}],"services":[{{"name":"catalogue","health-path":"/health","max-connections":574,"protocol":"h1","tls":false}},{{"name":"bookings","health-path":"/health","max-connections":694,"protocol":"h1","tls":false}}],"limits":{{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-s":3,"idle-timeout-s":15}}}}"#
    )
}
