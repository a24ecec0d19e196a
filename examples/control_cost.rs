//! Measures the cost of control traffic of daemons on loopback.
//!
//! Starts daemons of the release build and a platform stand-in, and prints one row: the time until
//! all daemons are ready, the time from the publication of a profile until it is in force at every
//! daemon, and the CPU share, control traffic and memory of each daemon without request load.

use bpaf::Bpaf;
use gotham::helpers::http::Body;
use http::Request;
use http_body_util::BodyExt;
use skylarkstream::{
    shell::{http_client::HttpClient, http_server},
    standin::platform_service::PlatformService,
};
use std::{
    fmt::Write,
    fs, io,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};
use tokio::{net::TcpListener, sync::watch, time::sleep};

/// Profile without its name and retry limits.
const PROFILE: &str = "default_class = \"roster\"\nclasses = { roster = 3 }\n";

/// Number of instances in one list of synthetic instances.
const LIST_LENGTH: usize = 8;

/// CPU clock ticks per second in `/proc` on Linux.
const TICKS_PER_SECOND: f64 = 100.0;

/// Time between two polls of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time limit until all daemons have a profile version in force.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(180);

#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
struct Arguments {
    /// Number of daemons to start
    #[bpaf(argument("N"), fallback(10))]
    daemons: usize,
    /// Number of data centres over which the daemons are distributed
    #[bpaf(argument("N"), fallback(3))]
    data_centres: usize,
    /// Number of additional profiles in the catalogue
    #[bpaf(argument("N"), fallback(100))]
    keys: usize,
    /// Number of additional instances in the lists, which use the addresses of the daemons
    #[bpaf(argument("N"), fallback(0))]
    synthetic: usize,
    /// Changes per hour while the cost is measured
    #[bpaf(argument("N"), fallback(0))]
    changes_per_hour: u32,
    /// Duration of the cost measurement, in seconds
    #[bpaf(argument("N"), fallback(20))]
    seconds: u64,
    /// Number of publications whose time to in force is measured
    #[bpaf(argument("N"), fallback(10))]
    publications: u64,
}

struct Daemon {
    child: Child,
    admin: SocketAddr,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Counters and memory of a daemon, or their change per second.
#[derive(Clone, Copy)]
struct UsageSample {
    cpu_ticks: f64,
    sent_bytes: f64,
    received_bytes: f64,
    memory_mb: f64,
}

#[tokio::main]
async fn main() -> io::Result<()> {
    let arguments = arguments().run();
    let platform = PlatformService::new();
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let stop = watch::Sender::new(false);
    let server = http_server::serve(listener, platform.clone(), stop.subscribe());
    tokio::spawn(server);
    let directory = std::env::temp_dir().join(format!("control-cost-{}", std::process::id()));
    fs::create_dir_all(&directory)?;
    let addresses = free_addresses(6 * arguments.daemons).await?;
    publish(&arguments, &platform, &addresses);
    let started = Instant::now();
    let daemons = start(&arguments, &directory, address, &addresses)?;
    let client = HttpClient::new();
    wait_in_force(&client, &daemons, 1).await?;
    let ready = started.elapsed();
    sleep(settle_time(&arguments)).await;
    let in_force_times = measure_times_in_force(&arguments, &platform, &client, &daemons).await?;
    let rows = measure_cost(&arguments, &platform, &client, &daemons).await?;
    report(&arguments, ready, &in_force_times, &rows);
    drop(daemons);
    fs::remove_dir_all(directory)
}

/// Returns the time for values to reach the daemons that store them, before the cost is measured.
fn settle_time(arguments: &Arguments) -> Duration {
    let lists = arguments.synthetic.div_ceil(LIST_LENGTH);
    Duration::from_secs((15 + arguments.keys / 40 + lists / 5) as u64)
}

async fn free_addresses(count: usize) -> io::Result<Vec<SocketAddr>> {
    let mut listeners = Vec::new();
    for _ in 0..count {
        listeners.push(TcpListener::bind("127.0.0.1:0").await?);
    }
    listeners.iter().map(TcpListener::local_addr).collect()
}

fn instance_entry(name: &str, data_centre: usize, control: SocketAddr) -> String {
    format!(
        "[[instances]]\ninstance = \"{name}\"\ndata_centre = \"dc-{data_centre}\"\n\
         peer = \"{control}\"\ncontrol = \"{control}\"\n"
    )
}

fn profile(name: &str, allowance: u64) -> String {
    format!("name = \"{name}\"\n{PROFILE}retry = {{ allowance = {allowance} }}\n")
}

fn publish(arguments: &Arguments, platform: &PlatformService, addresses: &[SocketAddr]) {
    for key in 0..arguments.keys {
        platform.publish(&format!("profiles/x-{key}"), profile("x", 1));
    }
    let entry = |index: usize| {
        let data_centre = index % arguments.data_centres;
        instance_entry(&format!("i-{index}"), data_centre, addresses[6 * index])
    };
    platform.publish(
        "instances/shared",
        (0..arguments.daemons).map(entry).collect::<String>(),
    );
    let synthetic = |index: usize| {
        let control = addresses[6 * (index % arguments.daemons)];
        instance_entry(
            &format!("p-{index}"),
            index % arguments.data_centres,
            control,
        )
    };
    for first in (0..arguments.synthetic).step_by(LIST_LENGTH) {
        let list: String = (first..first + LIST_LENGTH).map(synthetic).collect();
        platform.publish(&format!("instances/p-{first}"), list);
    }
    platform.publish("services/shared", "profile = \"shared\"");
    platform.publish("profiles/shared", profile("shared", 1));
}

fn start(
    arguments: &Arguments,
    directory: &Path,
    platform: SocketAddr,
    addresses: &[SocketAddr],
) -> io::Result<Vec<Daemon>> {
    let binary = PathBuf::from("target/release/skylarkstream");
    let mut daemons = Vec::new();
    for index in 0..arguments.daemons {
        let own_addresses = &addresses[6 * index..6 * index + 6];
        let seeds = [1, 2, 3].map(|step| addresses[6 * ((index + step) % arguments.daemons)]);
        let mut text = format!(
            "cluster = \"cost\"\ndata_centre = \"dc-{}\"\ninstance = \"i-{index}\"\n\
             service = \"shared\"\nplatform = \"{platform}\"\nseed_peers = [",
            index % arguments.data_centres
        );
        for seed in seeds {
            let _ = write!(text, "\"{seed}\",");
        }
        text.push_str("]\n");
        let names = ["control", "edge", "peer", "outbound", "admin", "backend"];
        for (name, address) in names.iter().zip(own_addresses) {
            let _ = writeln!(text, "{name} = \"{address}\"");
        }
        let path = directory.join(format!("{index}.toml"));
        fs::write(&path, text)?;
        let child = Command::new(&binary)
            .args(["run", "--settings"])
            .arg(path)
            .stderr(Stdio::null())
            .spawn()?;
        let admin = own_addresses[4];
        daemons.push(Daemon { child, admin });
    }
    Ok(daemons)
}

async fn status(client: &HttpClient, daemon: &Daemon) -> io::Result<serde_json::Value> {
    let request = Request::get(format!("http://{}/status", daemon.admin)).body(Body::default());
    let request = request.map_err(io::Error::other)?;
    let response = client.send(daemon.admin, request).await;
    let body = response
        .map_err(io::Error::other)?
        .into_body()
        .collect()
        .await;
    Ok(serde_json::from_slice(
        &body.map_err(io::Error::other)?.to_bytes(),
    )?)
}

/// Waits until each daemon has a version of the shared profile in force.
async fn wait_in_force(client: &HttpClient, daemons: &[Daemon], version: u64) -> io::Result<()> {
    let deadline = Instant::now() + IN_FORCE_TIMEOUT;
    for daemon in daemons {
        loop {
            let found = status(client, daemon).await.ok();
            let found = found.and_then(|status| status["profile_version"].as_u64());
            if found == Some(version) {
                break;
            }
            if Instant::now() > deadline {
                return Err(io::Error::other(
                    "A profile version did not come into force in time.",
                ));
            }
            sleep(POLL_INTERVAL).await;
        }
    }
    Ok(())
}

/// Returns the sorted times from publication to in force at every daemon.
async fn measure_times_in_force(
    arguments: &Arguments,
    platform: &PlatformService,
    client: &HttpClient,
    daemons: &[Daemon],
) -> io::Result<Vec<Duration>> {
    let mut times = Vec::new();
    for number in 0..arguments.publications {
        let version = number + 2;
        platform.publish("profiles/shared", profile("shared", version));
        let start = Instant::now();
        wait_in_force(client, daemons, version).await?;
        times.push(start.elapsed());
        sleep(Duration::from_millis(700)).await;
    }
    times.sort_unstable();
    Ok(times)
}

/// Returns the change per second and the final memory of each daemon, the calls to the platform and
/// the measured seconds.
async fn measure_cost(
    arguments: &Arguments,
    platform: &PlatformService,
    client: &HttpClient,
    daemons: &[Daemon],
) -> io::Result<(Vec<UsageSample>, u64, f64)> {
    let before = samples(client, daemons).await?;
    let platform_calls = platform.received_calls();
    let start = Instant::now();
    let mut published: u32 = 0;
    while start.elapsed() < Duration::from_secs(arguments.seconds) {
        let due = start.elapsed().as_secs_f64() * f64::from(arguments.changes_per_hour) / 3_600.0;
        while f64::from(published) + 0.5 < due && arguments.keys > 0 {
            let key = published as usize % arguments.keys;
            let allowance = u64::from(published) % 9 + 2;
            platform.publish(&format!("profiles/x-{key}"), profile("x", allowance));
            published += 1;
        }
        sleep(POLL_INTERVAL).await;
    }
    let seconds = start.elapsed().as_secs_f64();
    let platform_calls = platform.received_calls() - platform_calls;
    let after = samples(client, daemons).await?;
    let rows = before
        .iter()
        .zip(&after)
        .map(|(before, after)| UsageSample {
            cpu_ticks: (after.cpu_ticks - before.cpu_ticks) / seconds,
            sent_bytes: (after.sent_bytes - before.sent_bytes) / seconds,
            received_bytes: (after.received_bytes - before.received_bytes) / seconds,
            memory_mb: after.memory_mb,
        });
    Ok((rows.collect(), platform_calls, seconds))
}

async fn samples(client: &HttpClient, daemons: &[Daemon]) -> io::Result<Vec<UsageSample>> {
    let mut samples = Vec::new();
    for daemon in daemons {
        let control = status(client, daemon).await?["control"].clone();
        let bytes = |name: &str| control[name].as_f64().unwrap_or_default();
        let process = format!("/proc/{}", daemon.child.id());
        let stat = fs::read_to_string(format!("{process}/stat"))?;
        // The command name in parentheses may contain spaces; user and system time are fields 14
        // and 15.
        let fields = stat
            .rsplit(')')
            .next()
            .unwrap_or_default()
            .split_whitespace();
        let ticks = fields
            .skip(11)
            .take(2)
            .filter_map(|field| field.parse::<f64>().ok());
        let memory = fs::read_to_string(format!("{process}/status"))?;
        let resident = memory.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kilobytes = resident.and_then(|text| text.split_whitespace().next()?.parse().ok());
        samples.push(UsageSample {
            cpu_ticks: ticks.sum(),
            sent_bytes: bytes("sent_bytes"),
            received_bytes: bytes("received_bytes"),
            memory_mb: kilobytes.unwrap_or(0.0) / 1_024.0,
        });
    }
    Ok(samples)
}

fn report(
    arguments: &Arguments,
    ready: Duration,
    in_force_times: &[Duration],
    (rows, platform_calls, seconds): &(Vec<UsageSample>, u64, f64),
) {
    let mean_and_max = |value: fn(&UsageSample) -> f64| {
        let values = rows.iter().map(value);
        let sum: f64 = values.clone().sum();
        (sum / rows.len() as f64, values.fold(0.0, f64::max))
    };
    let in_force_ms = |index: usize| in_force_times.get(index).map_or(0, Duration::as_millis);
    let cpu = mean_and_max(|sample| 100.0 * sample.cpu_ticks / TICKS_PER_SECOND);
    let sent = mean_and_max(|sample| sample.sent_bytes);
    let received = mean_and_max(|sample| sample.received_bytes);
    let memory = mean_and_max(|sample| sample.memory_mb);
    println!(
        "daemons {} keys {} synthetic {} changes/h {}: ready {:.1} s; in force median {} ms, \
         longest {} ms; processor {:.2}% mean, {:.2}% highest; sent {:.0} B/s mean, {:.0} highest; \
         received {:.0} B/s mean, {:.0} highest; memory {:.1} MB mean, {:.1} highest; \
         platform {:.2} calls/s",
        arguments.daemons,
        arguments.keys,
        arguments.synthetic,
        arguments.changes_per_hour,
        ready.as_secs_f64(),
        in_force_ms(in_force_times.len() / 2),
        in_force_ms(in_force_times.len().saturating_sub(1)),
        cpu.0,
        cpu.1,
        sent.0,
        sent.1,
        received.0,
        received.1,
        memory.0,
        memory.1,
        *platform_calls as f64 / seconds,
    );
}
