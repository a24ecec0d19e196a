//! Machines with one daemon each.

use std::{
    fs::{self, File, OpenOptions},
    io::{self, Write},
    net::{IpAddr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

/// Ports of all machines.
#[derive(Clone, Copy)]
pub struct Ports {
    pub store: u16,
    pub app: u16,
    pub outbound: u16,
    pub readiness: u16,
    pub peer: u16,
    pub control: u16,
    /// Port at which the daemons of the other zones reach a zone that can be cut off.
    pub other_peer: u16,
}

impl Ports {
    /// Finds ports that are free on all machines.
    pub fn find() -> io::Result<Self> {
        let mut held = Vec::new();
        let mut ports = Vec::new();
        for _ in 0..MAX_TRIALS {
            let listener = TcpListener::bind((machine_ip(0), 0))?;
            let port = listener.local_addr()?.port();
            let is_free = |machine| TcpListener::bind((machine_ip(machine), port)).is_ok();
            if (1..=MAX_MACHINE).all(is_free) {
                ports.push(port);
            }
            held.push(listener);
            if let [store, app, outbound, readiness, peer, other_peer, control] = ports[..] {
                return Ok(Self {
                    store,
                    app,
                    outbound,
                    readiness,
                    peer,
                    other_peer,
                    control,
                });
            }
        }
        Err(io::Error::other("no free ports"))
    }
}

/// Most ports that are tried, and the greatest number of a machine.
const MAX_TRIALS: usize = 50;
const MAX_MACHINE: u8 = 9;

/// Number of networks that the cases use, so that those that run at the same time do not meet.
const NETWORKS: u32 = 200;

/// Returns the loopback address of a machine. Machine 0 is the platform's.
pub fn machine_ip(machine: u8) -> IpAddr {
    let network = 40 + std::process::id() % NETWORKS;
    IpAddr::from([127, 0, network as u8, 10 + machine])
}

fn address_of(machine: u8, port: u16) -> SocketAddr {
    SocketAddr::new(machine_ip(machine), port)
}

/// Machines that the settings name as `seeds`.
const SEEDS: [u8; 2] = [1, 2];

/// Daemon that a case starts and that ends with the case.
pub struct Daemon {
    /// Address for the clients on its machine.
    pub outbound: SocketAddr,
    readiness: SocketAddr,
    settings: PathBuf,
    child: Option<Child>,
}

impl Daemon {
    /// Writes the settings of the daemon on a machine, as the template of the deploy file gives them,
    /// and starts it.
    pub fn start(
        machine: u8,
        zone: &str,
        service: &str,
        ports: Ports,
        peer_port: u16,
        folder: &Path,
    ) -> io::Result<Self> {
        let address = |port| address_of(machine, port);
        let settings = folder.join(format!("node-{machine}.yaml"));
        let store = SocketAddr::new(machine_ip(0), ports.store);
        let seeds: Vec<String> = SEEDS
            .iter()
            .map(|seed| format!("\"{}\"", address_of(*seed, ports.control)))
            .collect();
        fs::write(
            &settings,
            format!(
                "instance = \"sidecar-{zone}-{machine}\"\ndata_centre = \"{zone}\"\n\
                 service = \"{service}\"\nbackend = \"{}\"\noutbound = \"{}\"\npeer = \"{}\"\n\
                 readiness = \"{}\"\nstore = \"{store}\"\nseeds = [{}]\ngrace_s = 6\n\n\
                 [budget]\nratio = 0.2\nslack = 50\nwindow_s = 10\n\n\
                 [log]\nlevel = \"info\"\nformat = \"json\"\n",
                address(ports.app),
                address(ports.outbound),
                address(peer_port),
                address(ports.readiness),
                seeds.join(", "),
            ),
        )?;
        let mut daemon = Self {
            outbound: address(ports.outbound),
            readiness: address(ports.readiness),
            settings,
            child: None,
        };
        let log = File::create(folder.join(format!("node-{machine}.log")))?;
        let child = Command::new("target/release/skylarkstream")
            .arg("sidecar")
            .env("SKYLARKSTREAM_CONFIG", &daemon.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        // The script ends the daemons if this process is ended before them.
        let mut processes = OpenOptions::new()
            .create(true)
            .append(true)
            .open(folder.join("processes"))?;
        writeln!(processes, "{}", child.id())?;
        daemon.child = Some(child);
        Ok(daemon)
    }

    /// Returns whether the daemon says that it is ready.
    pub fn is_ready(&self) -> bool {
        let ask = || -> io::Result<u16> {
            let mut stream = std::net::TcpStream::connect(self.readiness)?;
            stream.set_read_timeout(Some(Duration::from_secs(1)))?;
            stream.write_all(b"GET /readiness HTTP/1.1\r\nHost: ready\r\n\r\n")?;
            Ok(crate::http::read_head(&mut stream)?.status())
        };
        ask().is_ok_and(|status| status == 200)
    }

    /// Sends a signal to the process.
    pub fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            let _ = Command::new("kill")
                .args(["-s", name, &child.id().to_string()])
                .status();
        }
    }

    /// Returns whether the process has exited.
    pub fn has_exited(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_none_or(|child| matches!(child.try_wait(), Ok(Some(_))))
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Waits until all daemons are ready.
pub fn wait_until_ready(daemons: &[&Daemon]) -> io::Result<()> {
    let deadline = Instant::now() + Duration::from_secs(15);
    while !daemons.iter().all(|daemon| daemon.is_ready()) {
        if Instant::now() > deadline {
            return Err(io::Error::other("the daemons are not ready"));
        }
        thread::sleep(Duration::from_millis(50));
    }
    Ok(())
}
