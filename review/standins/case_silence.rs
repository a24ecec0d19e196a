//! The open connections between daemons go silent while large documents are downloaded.

use crate::{
    Stage,
    case_cut::{booking_violations, count_served},
    client::{Sender, get},
    link::Link,
    machine::{Daemon, Ports, machine_ip, wait_until_ready},
    store::Store,
    upstream::{Behaviour, Upstream, document},
};
use std::{io, net::SocketAddr, sync::Arc, thread, time::Duration};

/// Time budget of the clients.
const DEADLINE_MS: u64 = 5_000;

/// Mean work of a request.
const WORK: Duration = Duration::from_millis(210);

/// Time between two assignments.
const ASSIGN_INTERVAL: Duration = Duration::from_millis(15);

/// Time between two downloads.
const DOWNLOAD_INTERVAL: Duration = Duration::from_millis(43);

/// Size of a document.
const DOCUMENT_BYTES: usize = 3 << 20;

/// Number of times that the connections go silent, and the time in between.
const SILENCES: u32 = 8;
const SILENCE_INTERVAL: Duration = Duration::from_secs(5);

/// Plays the case; returns the violations.
pub fn play(stage: &Stage) -> io::Result<Vec<String>> {
    let ports = Ports::find()?;
    let address = |machine, port| SocketAddr::new(machine_ip(machine), port);
    let store = Store::start(address(0, ports.store))?;
    store.put("op/config", Some(config()));
    let behaviour = Behaviour {
        work: WORK,
        body: Arc::new(b"assigned".to_vec()),
        document: document(DOCUMENT_BYTES),
    };
    let places = [
        (1, "ops-hall", "gateboard"),
        (2, "east-apron", "dispatcher"),
        (3, "west-apron", "dispatcher"),
    ];
    for (machine, zone, service) in places {
        let id = format!("i-{machine}");
        let app = address(machine, ports.app);
        let upstream = Upstream::start(&id, service, zone, app, behaviour.clone(), &stage.record)?;
        store.put(&upstream.key(), Some(upstream.entry("ready", 1)));
    }
    // The connections between machine 1 and the others go through these proxies.
    let links = [
        Link::start(address(2, ports.peer), address(2, ports.other_peer))?,
        Link::start(address(1, ports.other_peer), address(1, ports.peer))?,
        Link::start(address(3, ports.peer), address(3, ports.other_peer))?,
    ];
    let mut daemons = Vec::new();
    for (machine, zone, service) in places {
        let peer = if machine != 1 {
            ports.other_peer
        } else {
            ports.peer
        };
        let daemon = Daemon::start(machine, zone, service, ports, peer, &stage.folder)?;
        daemons.push(daemon);
    }
    wait_until_ready(&daemons.iter().collect::<Vec<_>>())?;
    thread::sleep(Duration::from_secs(4));
    let (entry, record) = (daemons[0].outbound, &stage.record);
    let assignments = Sender::start(
        "a",
        entry,
        "/assign/tug",
        DEADLINE_MS,
        ASSIGN_INTERVAL,
        record,
    );
    let fetch = move |attempt: &str| get(entry, "/doc/manual", attempt, DEADLINE_MS);
    let downloads = Sender::start_with("d", fetch, DOWNLOAD_INTERVAL, record);
    thread::sleep(Duration::from_secs(4));
    for _ in 0..SILENCES {
        if stage.has_trouble {
            record.line("silence  the open connections between machine 1 and the others go silent");
            links.iter().for_each(|link| link.silence());
        }
        thread::sleep(SILENCE_INTERVAL);
    }
    let answers = assignments.finish();
    let documents = downloads.finish();
    thread::sleep(Duration::from_secs(1));
    count_served(record, &documents)?;
    count_served(record, &answers)?;
    Ok(booking_violations(record, &answers))
}

fn config() -> String {
    r#"{"version":"r7","routes":[{"name":"r-assign","hostname":"review.example","prefix":"/assign/","route-type":"unsafe","timeout-s":1.2,"target-latency-s":1.5,"priority":0,"service":"dispatcher","max-attempts":2},{"name":"r-doc","hostname":"review.example","prefix":"/doc/","route-type":"download","timeout-s":1.2,"target-latency-s":0.4,"priority":2,"service":"dispatcher","max-attempts":2}],"services":[{"name":"gateboard","health-path":"/health","max-connections":646,"protocol":"h1","tls":false},{"name":"dispatcher","health-path":"/health","max-connections":826,"protocol":"h1","tls":false}],"limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-s":3,"idle-timeout-s":15}}"#.to_owned()
}
