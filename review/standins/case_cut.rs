//! A zone is partitioned from the others while it runs requests that may run only once.

use crate::{
    Stage,
    client::{Answer, Sender},
    link::Link,
    machine::{Daemon, Ports, machine_ip, wait_until_ready},
    record::Record,
    store::Store,
    upstream::{Behaviour, Upstream},
};
use std::{io, net::SocketAddr, sync::Arc, thread, time::Duration};

/// Time budget of the clients of a booking, as the sheet of the small deployment states it.
const DEADLINE_MS: u64 = 6_000;

/// Mean work of a booking.
const WORK: Duration = Duration::from_millis(210);

/// Length of the cut.
const CUT: Duration = Duration::from_millis(4_700);

const INTERVAL: Duration = Duration::from_millis(12);

/// Plays the case; returns the violations.
pub fn play(stage: &Stage) -> io::Result<Vec<String>> {
    let ports = Ports::find()?;
    let address = |machine, port| SocketAddr::new(machine_ip(machine), port);
    let store = Store::start(address(0, ports.store))?;
    store.put("op/config", Some(config()));
    let behaviour = Behaviour {
        work: WORK,
        body: Arc::new(b"booked".to_vec()),
        document: Arc::default(),
    };
    let places = [
        (1, "kgn-a", "catalogue"),
        (2, "kgn-b", "bookings"),
        (3, "kgn-c", "catalogue"),
    ];
    for (machine, zone, service) in places {
        let id = format!("i-{machine}");
        let app = address(machine, ports.app);
        let upstream = Upstream::start(&id, service, zone, app, behaviour.clone(), &stage.record)?;
        store.put(&upstream.key(), Some(upstream.entry("ready", 1)));
    }
    // The daemon of machine 2 listens at a port of its own. All traffic between it and the other
    // daemons goes through these proxies.
    let links = [
        Link::start(address(2, ports.peer), address(2, ports.other_peer))?,
        Link::start(address(1, ports.other_peer), address(1, ports.peer))?,
        Link::start(address(3, ports.other_peer), address(3, ports.peer))?,
    ];
    let mut daemons = Vec::new();
    for (machine, zone, service) in places {
        let peer = if machine == 2 {
            ports.other_peer
        } else {
            ports.peer
        };
        daemons.push(Daemon::start(
            machine,
            zone,
            service,
            ports,
            peer,
            &stage.folder,
        )?);
    }
    wait_until_ready(&daemons.iter().collect::<Vec<_>>())?;
    thread::sleep(Duration::from_secs(4));
    let (entry, record) = (daemons[0].outbound, &stage.record);
    let sender = Sender::start("b", entry, "/book/seat", DEADLINE_MS, INTERVAL, record);
    thread::sleep(Duration::from_secs(4));
    if stage.has_trouble {
        stage.record.line("cut      zone kgn-b is cut off");
        links.iter().for_each(|link| link.cut());
    }
    thread::sleep(CUT);
    if stage.has_trouble {
        stage.record.line("cut      the cut of zone kgn-b ends");
        links.iter().for_each(|link| link.heal());
    }
    thread::sleep(Duration::from_secs(3));
    let answers = sender.finish();
    thread::sleep(Duration::from_secs(1));
    count_served(&stage.record, &answers)?;
    Ok(booking_violations(&stage.record, &answers))
}

/// Records how many requests were served; fails if none was.
pub fn count_served(record: &Record, answers: &[Answer]) -> io::Result<()> {
    let served = answers.iter().filter(|answer| answer.status == Some(200));
    let served = served.count();
    record.line(&format!("served   {served} of {} requests", answers.len()));
    if served == 0 {
        return Err(io::Error::other("no request was served"));
    }
    Ok(())
}

/// Returns the requests that ran more than once, or that ran although their answer says that they
/// have not. All of them may run at most once.
pub fn booking_violations(record: &Record, answers: &[Answer]) -> Vec<String> {
    let mut violations = Vec::new();
    for answer in answers {
        let (attempt, runs) = (&answer.attempt, record.runs_of(&answer.attempt));
        let places: Vec<String> = runs
            .iter()
            .map(|run| format!("{} at {:.3} s", run.instance, run.at.as_secs_f64()))
            .collect();
        let places = places.join(", ");
        if runs.len() > 1 {
            violations.push(format!(
                "TWICE: {attempt} ran {} times: {places}",
                runs.len()
            ));
        }
        let promises_no_run = matches!(answer.status, Some(408 | 421 | 429 | 503));
        if promises_no_run && !runs.is_empty() {
            violations.push(format!(
                "REFUSED: {attempt} was answered {:?} and ran: {places}",
                answer.status
            ));
        }
    }
    violations
}

fn config() -> String {
    r#"{"version":"r7","routes":[{"name":"r-book","hostname":"review.example","prefix":"/book/","route-type":"unsafe","timeout-s":6,"target-latency-s":2,"priority":0,"service":"bookings","max-attempts":2}],"services":[{"name":"catalogue","health-path":"/health","max-connections":574,"protocol":"h1","tls":false},{"name":"bookings","health-path":"/health","max-connections":694,"protocol":"h1","tls":false}],"limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-s":3,"idle-timeout-s":15}}"#.to_owned()
}
