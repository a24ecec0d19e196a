//! Measures the latency that daemons add to a call, compared with direct calls in the same run.
//!
//! Two daemons run as processes of the release binary; the platform and the backend server run in
//! this process. Usage: `cargo run --release --example hop_latency`.

use bytes::Bytes;
use futures_util::FutureExt;
use gotham::{
    handler::{Handler, HandlerFuture, NewHandler},
    helpers::http::Body,
    state::{FromState, State},
};
use hdrhistogram::Histogram;
use http::{Request, Response, header::HOST};
use http_body_util::{BodyExt, Full};
use skylarkstream::{
    shell::{http_client::HttpClient, http_server},
    standin::platform_service::PlatformService,
};
use std::{
    error::Error,
    io,
    net::{Ipv4Addr, SocketAddr},
    path::PathBuf,
    pin::Pin,
    process::{Child, Command},
    time::{Duration, Instant},
};
use tokio::{net::TcpListener, sync::watch, task::JoinSet};

/// Maximum number of requests on each path for one row of the tables.
const MAX_REQUESTS: u32 = 6_000;

/// Maximum duration of the measurement for one row.
const MAX_ROW_TIME: Duration = Duration::from_secs(10);

/// Profile whose limits are too high to take effect under the load of this measurement.
const PROFILE: &str = r#"
name = "plain"
default_class = "normal"
classes = { normal = 0 }
[admission]
initial_concurrency = 500
max_concurrency = 1000
"#;

#[derive(Clone)]
struct EchoServer;

impl NewHandler for EchoServer {
    type Instance = Self;

    fn new_handler(&self) -> gotham::anyhow::Result<Self> {
        Ok(self.clone())
    }
}

impl Handler for EchoServer {
    fn handle(self, mut state: State) -> Pin<Box<HandlerFuture>> {
        async move {
            let bytes = match Body::take_from(&mut state).collect().await {
                Ok(body) => body.to_bytes(),
                Err(_) => Bytes::new(),
            };
            Ok((state, Response::new(full(bytes))))
        }
        .boxed()
    }
}

/// Path of a call to the backend server: direct or through daemons.
#[derive(Clone, Copy)]
struct CallPath {
    name: &'static str,
    address: SocketAddr,
}

struct DaemonProcess {
    child: Child,
    settings: PathBuf,
    edge: SocketAddr,
    outbound: SocketAddr,
}

/// CPU time and memory of a process.
struct ProcessUsage {
    cpu_ticks: u64,
    resident_kib: u64,
}

/// CPU clock ticks per second in `/proc` on Linux.
const TICKS_PER_SECOND: f64 = 100.0;

/// Size of a memory page, in KiB.
const PAGE_KIB: u64 = 4;

impl ProcessUsage {
    fn cpu_micros_since(&self, earlier: &Self) -> f64 {
        (self.cpu_ticks - earlier.cpu_ticks) as f64 / TICKS_PER_SECOND * 1e6
    }
}

impl DaemonProcess {
    fn usage(&self) -> Result<ProcessUsage, Box<dyn Error>> {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id()))?;
        // The fields after the command name in parentheses start with the process state.
        let (_, fields) = stat
            .rsplit_once(')')
            .ok_or("unexpected format of /proc/PID/stat")?;
        let fields: Vec<_> = fields.split_whitespace().collect();
        let number = |index: usize| fields[index].parse::<u64>();
        Ok(ProcessUsage {
            cpu_ticks: number(11)? + number(12)?,
            resident_kib: number(21)? * PAGE_KIB,
        })
    }
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let stop = watch::Sender::new(false);
    let platform = PlatformService::new();
    let platform_address = serve(platform.clone(), &stop).await?;
    let backend = serve(EchoServer, &stop).await?;
    platform.publish("profiles/plain", PROFILE);
    platform.publish("services/caller", "profile = \"plain\"");
    platform.publish("services/called", "profile = \"plain\"");
    let called = start_daemon("called", "", backend, platform_address, &platform).await?;
    let calls = "calls = [\"called\"]";
    let caller = start_daemon("caller", calls, backend, platform_address, &platform).await?;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let paths = [
        CallPath {
            name: "direct",
            address: backend,
        },
        CallPath {
            name: "entry",
            address: called.edge,
        },
        CallPath {
            name: "service call",
            address: caller.outbound,
        },
    ];
    println!(
        "| body (bytes) | rate (requests/s) | path | failed | p50 (ms) | p99 (ms) | p99 added (ms) |"
    );
    println!("|---|---|---|---|---|---|---|");
    let mut costs = Vec::new();
    for (bytes, rate) in [
        (0, 200),
        (0, 1_000),
        (0, 3_000),
        (4_096, 1_000),
        (65_536, 200),
        (1 << 20, 20),
    ] {
        let before = (called.usage()?, caller.usage()?);
        let calls = measure_row(&paths, bytes, rate).await?;
        let after = (called.usage()?, caller.usage()?);
        costs.push(format!(
            "| {bytes} | {rate} | {:.0} | {:.0} | {} |",
            // The daemon of `called` handles the entry call and the service call of each round.
            after.0.cpu_micros_since(&before.0) / f64::from(2 * calls),
            after.1.cpu_micros_since(&before.1) / f64::from(calls),
            after.0.resident_kib.max(after.1.resident_kib),
        ));
    }
    println!();
    println!(
        "| body (bytes) | rate (requests/s) | inbound CPU (us/call) | outbound CPU (us/call) | largest RSS (KiB) |"
    );
    println!("|---|---|---|---|---|");
    for cost in costs {
        println!("{cost}");
    }
    stop.send_replace(true);
    Ok(())
}

async fn measure_row(paths: &[CallPath], bytes: usize, rate: u32) -> Result<u32, Box<dyn Error>> {
    let client = HttpClient::new();
    let body = Bytes::from(vec![b'x'; bytes]);
    let gap = Duration::from_secs(1) / rate;
    let count = MAX_REQUESTS.min(rate * MAX_ROW_TIME.as_secs() as u32);
    let start = Instant::now();
    let mut calls = JoinSet::new();
    for index in 0..count {
        tokio::time::sleep_until((start + gap * index).into()).await;
        let (client, body) = (client.clone(), body.clone());
        let mut order: Vec<_> = paths.iter().copied().enumerate().collect();
        // Rotates the order so that each path is first, second and last equally often.
        order.rotate_left(index as usize % paths.len());
        calls.spawn(async move {
            let mut results = Vec::new();
            for (path, target) in order {
                results.push((path, timed_call(&client, target.address, &body).await));
            }
            results
        });
    }
    let mut histograms = vec![Histogram::<u64>::new(3)?; paths.len()];
    let mut failed = vec![0; paths.len()];
    for (path, result) in calls.join_all().await.into_iter().flatten() {
        match result {
            Some(time) => histograms[path].record(time.as_micros() as u64)?,
            None => failed[path] += 1,
        }
    }
    let ms = |micros: u64| micros as f64 / 1_000.0;
    let direct = histograms[0].value_at_quantile(0.99);
    for (index, path) in paths.iter().enumerate() {
        let histogram = &histograms[index];
        let p99 = histogram.value_at_quantile(0.99);
        println!(
            "| {bytes} | {rate} | {} | {} | {:.3} | {:.3} | {:.3} |",
            path.name,
            failed[index],
            ms(histogram.value_at_quantile(0.5)),
            ms(p99),
            ms(p99) - ms(direct),
        );
    }
    Ok(count)
}

async fn timed_call(client: &HttpClient, address: SocketAddr, body: &Bytes) -> Option<Duration> {
    let request = Request::post(format!("http://{address}/"))
        .header(HOST, "called")
        .body(full(body.clone()))
        .ok()?;
    let start = Instant::now();
    let response = client.send(address, request).await.ok()?;
    let is_ok = response.status().is_success();
    let body_bytes = response.into_body().collect().await.ok()?.to_bytes();
    (is_ok && body_bytes.len() == body.len()).then(|| start.elapsed())
}

async fn start_daemon(
    service: &str,
    extra_settings: &str,
    backend: SocketAddr,
    platform_address: SocketAddr,
    platform: &PlatformService,
) -> Result<DaemonProcess, Box<dyn Error>> {
    let (edge, peer) = (free_address().await?, free_address().await?);
    let (outbound, control) = (free_address().await?, free_address().await?);
    let admin = free_address().await?;
    let text = format!(
        "cluster = \"latency\"\ndata_centre = \"dc-1\"\ninstance = \"{service}-1\"\n\
         service = \"{service}\"\nbackend = \"{backend}\"\nedge = \"{edge}\"\npeer = \"{peer}\"\n\
         outbound = \"{outbound}\"\ncontrol = \"{control}\"\nadmin = \"{admin}\"\n\
         platform = \"{platform_address}\"\n{extra_settings}\n"
    );
    let list = format!(
        "[[instances]]\ninstance = \"{service}-1\"\ndata_centre = \"dc-1\"\npeer = \"{peer}\"\n\
         control = \"{control}\"\n"
    );
    platform.publish(&format!("instances/{service}"), list);
    let file_name = format!("skylarkstream-{service}-{}.toml", std::process::id());
    let settings = std::env::temp_dir().join(file_name);
    std::fs::write(&settings, text)?;
    let child = Command::new(release_binary()?)
        .args(["run", "--settings"])
        .arg(&settings)
        .spawn()?;
    Ok(DaemonProcess {
        child,
        settings,
        edge,
        outbound,
    })
}

/// Returns the path of the binary, in the parent of the directory of this example.
fn release_binary() -> io::Result<PathBuf> {
    let example = std::env::current_exe()?;
    let directory = example.ancestors().nth(2).unwrap_or(&example);
    Ok(directory.join("skylarkstream"))
}

async fn serve<H: NewHandler + 'static>(
    handler: H,
    stop: &watch::Sender<bool>,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    let address = listener.local_addr()?;
    tokio::spawn(http_server::serve(listener, handler, stop.subscribe()));
    Ok(address)
}

async fn free_address() -> io::Result<SocketAddr> {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
        .await?
        .local_addr()
}

fn full(bytes: Bytes) -> Body {
    Body::new(Full::new(bytes).map_err(|never| match never {}))
}
