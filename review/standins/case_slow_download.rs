//! A daemon gets SIGTERM while a client reads a download slowly.

use crate::{
    Stage,
    client::download_slowly,
    machine::{Daemon, Ports, machine_ip, wait_until_ready},
    store::Store,
    upstream::{Behaviour, Upstream, document},
};
use std::{
    io,
    net::SocketAddr,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

/// Time budget of the clients.
const DEADLINE_MS: u64 = 6_000;

/// Size of a document.
const BODY_BYTES: usize = 12 << 20;

/// Rate at which the clients read, so that a download takes 4.5 s.
const BYTES_PER_S: usize = BODY_BYTES * 10 / 45;

/// Time of SIGTERM after the requests.
const TERM_AFTER: Duration = Duration::from_millis(400);

const CLIENTS: usize = 3;

/// Plays the case; returns the violations.
pub fn play(stage: &Stage) -> io::Result<Vec<String>> {
    let ports = Ports::find()?;
    let address = |machine, port| SocketAddr::new(machine_ip(machine), port);
    let store = Store::start(address(0, ports.store))?;
    store.put("op/config", Some(config()));
    let behaviour = Behaviour {
        work: Duration::from_millis(130),
        body: Arc::default(),
        document: document(BODY_BYTES),
    };
    let mut daemons = Vec::new();
    for (machine, zone, service) in [(1, "ops-hall", "gateboard"), (2, "east-apron", "docvault")] {
        let id = format!("i-{machine}");
        let app = address(machine, ports.app);
        let upstream = Upstream::start(&id, service, zone, app, behaviour.clone(), &stage.record)?;
        store.put(&upstream.key(), Some(upstream.entry("ready", 1)));
        daemons.push(Daemon::start(
            machine,
            zone,
            service,
            ports,
            ports.peer,
            &stage.folder,
        )?);
    }
    wait_until_ready(&daemons.iter().collect::<Vec<_>>())?;
    thread::sleep(Duration::from_secs(4));
    let entry = daemons[0].outbound;
    let started = Instant::now();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let record = Arc::clone(&stage.record);
            thread::spawn(move || {
                let attempt = format!("d{client:05}");
                record.line(&format!("sent     {attempt} GET /doc/manual"));
                let download =
                    download_slowly(entry, "/doc/manual", &attempt, DEADLINE_MS, BYTES_PER_S);
                let text = download
                    .as_ref()
                    .map_or_else(ToString::to_string, |download| {
                        format!(
                            "{}, {} of {} bytes",
                            download.status, download.read, download.length
                        )
                    });
                record.line(&format!("answered {attempt} {text}"));
                (attempt, download, started.elapsed())
            })
        })
        .collect();
    thread::sleep(TERM_AFTER);
    let term_at = stage.record.elapsed();
    if stage.has_trouble {
        stage
            .record
            .line("signal   SIGTERM to the daemon of the clients");
        daemons[0].signal("TERM");
    }
    while stage.has_trouble && !daemons[0].has_exited() {
        thread::sleep(Duration::from_millis(10));
        if stage.record.elapsed() > term_at + Duration::from_secs(6) {
            stage.record.line("signal   the grace period is over");
            break;
        }
    }
    if stage.has_trouble {
        let after = stage.record.elapsed().saturating_sub(term_at);
        stage.record.line(&format!(
            "daemon   ended {:.3} s after SIGTERM",
            after.as_secs_f64()
        ));
    }
    let mut violations = Vec::new();
    for client in clients {
        let Ok((attempt, download, time)) = client.join() else {
            return Err(io::Error::other("a client failed"));
        };
        let time = time.as_secs_f64();
        let download = download?;
        if download.status == 200 && download.read == download.length {
            if time * 1_000.0 > DEADLINE_MS as f64 {
                return Err(io::Error::other("a client was too slow"));
            }
            continue;
        }
        let runs = stage.record.runs_of(&attempt).len();
        violations.push(format!(
            "LOST: the answer to {attempt}, which ran {runs} time(s), ended after {time:.3} s of \
             {DEADLINE_MS} ms with {} of {} bytes",
            download.read, download.length
        ));
    }
    Ok(violations)
}

fn config() -> String {
    r#"{"version":"r7","routes":[{"name":"r-doc","hostname":"review.example","prefix":"/doc/","route-type":"download","timeout-s":6,"target-latency-s":1.5,"priority":2,"service":"docvault","max-attempts":2}],"services":[{"name":"gateboard","health-path":"/health","max-connections":646,"protocol":"h1","tls":false},{"name":"docvault","health-path":"/health","max-connections":826,"protocol":"h1","tls":false}],"limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-s":3,"idle-timeout-s":15}}"#.to_owned()
}
