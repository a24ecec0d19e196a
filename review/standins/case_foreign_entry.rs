//! Another writer puts an entry into the store; later an upstream leaves.

use crate::{
    Stage,
    case_restored_store::{SERVING_TIME, config, judge_leaving},
    client::Sender,
    machine::{Daemon, Ports, machine_ip, wait_until_ready},
    store::Store,
    upstream::{Behaviour, Upstream},
};
use std::{io, net::SocketAddr, sync::Arc, thread, time::Duration};

/// Time budget of the clients of a booking.
const DEADLINE_MS: u64 = 6_000;

/// Work of a booking, within the range that the sheet states.
const WORK: Duration = Duration::from_millis(400);

const INTERVAL: Duration = Duration::from_millis(25);

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
    let mut daemons = Vec::new();
    let mut upstreams = Vec::new();
    for (machine, zone, service) in [
        (1, "kgn-a", "catalogue"),
        (2, "kgn-b", "bookings"),
        (3, "kgn-c", "bookings"),
    ] {
        let id = format!("i-{machine}");
        let app = address(machine, ports.app);
        let upstream = Upstream::start(&id, service, zone, app, behaviour.clone(), &stage.record)?;
        store.put(&upstream.key(), Some(upstream.entry("ready", 1)));
        upstreams.push(upstream);
        let daemon = Daemon::start(machine, zone, service, ports, ports.peer, &stage.folder)?;
        daemons.push(daemon);
    }
    wait_until_ready(&daemons.iter().collect::<Vec<_>>())?;
    thread::sleep(Duration::from_secs(4));
    let (entry, record) = (daemons[0].outbound, &stage.record);
    let sender = Sender::start("b", entry, "/book/seat", DEADLINE_MS, INTERVAL, record);
    thread::sleep(Duration::from_secs(2));
    if stage.has_trouble {
        let revision = store.put("servers/legacy-1", Some(foreign_entry(ports)));
        record.line(&format!("store    a foreign entry at revision {revision}"));
    }
    thread::sleep(Duration::from_secs(6));

    let leaving = &upstreams[2];
    let revision = store.put(&leaving.key(), Some(leaving.entry("draining", 12)));
    let confirmed_at = record.elapsed();
    record.line(&format!("store    i-3 draining at revision {revision}"));
    leaving.leave();
    thread::sleep(SERVING_TIME);
    leaving.end();
    record.line("upstream i-3 has ended");
    let revision = store.put(&leaving.key(), None);
    record.line(&format!("store    i-3 removed at revision {revision}"));
    daemons[2].signal("TERM");
    thread::sleep(Duration::from_secs(3));
    let answers = sender.finish();
    judge_leaving(record, &answers, &leaving.id, confirmed_at)
}

/// Returns an entry of another writer: its service is not named in the config, and its time is the
/// largest one that the writer's language has.
fn foreign_entry(ports: Ports) -> String {
    format!(
        r#"{{"service":"legacy-cache","address":"{}","zone":"kgn-a","version":"v0","slots":8,"state":"ready","cold-remaining-s":9223372036854775807,"sequence":1}}"#,
        SocketAddr::new(machine_ip(9), ports.app)
    )
}
