//! Faults that a round injects, generated from its seed.

use crate::{
    backend::BackendMode, link_proxy::LinkMode, store::EndpointMode, store_drill::StoreDrill,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// Each round whose seed is one less than a multiple of this has silent connections and no other
/// faults.
const SILENCE_SEED_STEP: u64 = 4;

/// Remainder of the seeds, divided by `SILENCE_SEED_STEP`, of rounds in which backend servers announce
/// limits and that they leave, a request crashes them, and only daemons have faults.
const ANNOUNCEMENT_SEED: u64 = 1;

/// First of the seeds of rounds in which daemons lose each other for longer than runs wait for their
/// sender, while backend servers take long.
const LONG_LOSS_SEED: u64 = 1_001;

/// First of the seeds of rounds in which the store comes back from older copies.
const RESTORED_STORE_SEED: u64 = 2_001;

/// Interval of the drills. The drains between them follow a time without faults, and are checked until
/// the next fault.
const RESTORE_INTERVAL: Duration = Duration::from_secs(13);

/// Longest time from a configuration change to the silence of the connections that follows it.
const BEFORE_SILENCE: Duration = Duration::from_millis(100);

/// Fault to inject.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// The links from a group of daemons to one daemon get this mode.
    Link {
        group: usize,
        to: usize,
        mode: LinkMode,
    },
    /// All links from other groups to one daemon get this mode.
    IncomingLinks { machine: usize, mode: LinkMode },
    /// The store misbehaves for one daemon or for all.
    Store {
        machine: Option<usize>,
        mode: EndpointMode,
    },
    /// The store fails for all daemons, and the entries of all backend servers expire meanwhile.
    ExpireEntries,
    /// The store discards its old revisions.
    Compact,
    /// The store comes back from an older copy.
    RestoreStore(StoreDrill),
    /// A process is suspended.
    Pause { machine: usize },
    /// A process is killed and restarted.
    Kill { machine: usize },
    /// Half of the processes are killed at once and restarted.
    KillHalf,
    /// A process gets SIGTERM, followed by further signals, and is restarted.
    Terminate { machine: usize, signals: u8 },
    /// The settings file is invalid for a while, and the process is signalled to read it.
    UnreadableSettings { machine: usize },
    /// A backend server misbehaves.
    Backend { machine: usize, mode: BackendMode },
    /// A backend server crashes and restarts, with the same instance id or a new one.
    Crash { machine: usize, keeps_id: bool },
    /// A backend server is drained and replaced by one with a new instance id.
    Drain { machine: usize },
    /// The store gets entries that cannot be read or that have an unknown state or service.
    MalformedEntries,
    /// A backend server names a limit, changes it, and withdraws it.
    NameLimit { machine: usize, rates: [u32; 2] },
    /// A backend server announces in its responses that it leaves, and is replaced.
    AnnounceLeaving { machine: usize },
    /// A caller sends the request that crashes backend servers to two daemons.
    SendCulprit { machine: usize },
    /// The store gets the next configuration.
    ConfigChange,
    /// All open connections to the store and between groups stay open and deliver nothing any more.
    SilentConnections,
}

/// Fault with the time at which it is injected.
#[derive(Clone, Copy, Debug)]
pub struct TimedFault {
    /// Time since the start of the traffic.
    pub at: Duration,
    /// How long the fault lasts.
    pub duration: Duration,
    pub fault: Fault,
}

/// Generates the faults of a round with the given numbers of machines and groups.
pub fn generate(
    seed: u64,
    round_duration: Duration,
    machines: usize,
    groups: usize,
) -> Vec<TimedFault> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    if seed >= RESTORED_STORE_SEED {
        return restored_stores(&mut rng, round_duration, machines, groups);
    }
    if seed >= LONG_LOSS_SEED {
        return long_losses(&mut rng, round_duration, machines);
    }
    if seed % SILENCE_SEED_STEP == SILENCE_SEED_STEP - 1 {
        return silent_connections(&mut rng, round_duration);
    }
    if has_announcements(seed) {
        return announcements(&mut rng, round_duration, machines);
    }
    // Some rounds have fewer faults, so that these affect a fleet that has recovered.
    let mean_gap_ms = [250, 500, 1_500, 4_000][rng.random_range(0..4)];
    let mut at = Duration::from_millis(200);
    let mut faults = Vec::new();
    while at < round_duration {
        let fault = random_fault(&mut rng, machines, groups);
        let duration = Duration::from_millis(rng.random_range(50..2_500));
        faults.push(TimedFault {
            at,
            duration,
            fault,
        });
        // Some faults are injected at the same time.
        if !rng.random_bool(0.2) {
            at += Duration::from_millis(rng.random_range(1..=2 * mean_gap_ms));
        }
    }
    faults
}

/// Returns whether backend servers announce limits and that they leave in the round of a seed.
pub fn has_announcements(seed: u64) -> bool {
    seed < LONG_LOSS_SEED && seed % SILENCE_SEED_STEP == ANNOUNCEMENT_SEED
}

/// Generates rounds with announcements of backend servers, a culprit and restarts of daemons.
fn announcements(rng: &mut Pcg64Mcg, round_duration: Duration, machines: usize) -> Vec<TimedFault> {
    let mut faults = Vec::new();
    let mut at = Duration::from_millis(500);
    while at < round_duration {
        let machine = rng.random_range(0..machines);
        let fault = match rng.random_range(0..8) {
            0..2 => Fault::NameLimit {
                machine,
                rates: [rng.random_range(0..12), rng.random_range(0..12)],
            },
            2 => Fault::AnnounceLeaving { machine },
            3..6 => Fault::SendCulprit { machine },
            6 => Fault::Kill { machine },
            _ => Fault::Terminate {
                machine,
                signals: 0,
            },
        };
        let duration = match fault {
            Fault::Kill { .. } => Duration::from_millis(rng.random_range(50..500)),
            _ => Duration::from_millis(rng.random_range(4_000..9_000)),
        };
        faults.push(TimedFault {
            at,
            duration,
            fault,
        });
        at += Duration::from_millis(rng.random_range(1..=900));
    }
    faults
}

/// Generates rounds in which all backend servers take long, and the links to one daemon after the other
/// are lost.
fn long_losses(rng: &mut Pcg64Mcg, round_duration: Duration, machines: usize) -> Vec<TimedFault> {
    let mode = BackendMode::Long;
    let slow = (0..machines).map(|machine| TimedFault {
        at: Duration::ZERO,
        duration: round_duration,
        fault: Fault::Backend { machine, mode },
    });
    let mut faults: Vec<_> = slow.collect();
    let mut at = Duration::from_millis(500);
    while at < round_duration {
        let machine = rng.random_range(0..machines);
        let mode = LinkMode::Hold;
        faults.push(TimedFault {
            at,
            duration: Duration::from_millis(rng.random_range(1_900..2_500)),
            fault: Fault::IncomingLinks { machine, mode },
        });
        at += Duration::from_millis(rng.random_range(300..1_200));
    }
    faults
}

/// Generates rounds in which the store comes back from older copies. A backend server that was replaced
/// after several other changes leaves later, so that its departure has a lower revision than its entry
/// had. Every second round has other faults as well, and the others have calm times in which the drains
/// are checked.
fn restored_stores(
    rng: &mut Pcg64Mcg,
    round_duration: Duration,
    machines: usize,
    groups: usize,
) -> Vec<TimedFault> {
    let has_other_faults = rng.random_bool(0.5);
    let mut faults = Vec::new();
    let mut at = Duration::ZERO;
    let mut machine = rng.random_range(0..machines);
    while at < round_duration {
        let mut inject = |offset_ms: u64, duration_ms: u64, fault| {
            faults.push(TimedFault {
                at: at + Duration::from_millis(offset_ms),
                duration: Duration::from_millis(duration_ms),
                fault,
            });
        };
        inject(400, rng.random_range(50..1_200), Fault::Drain { machine });
        machine = rng.random_range(0..machines);
        for step in 0..5 {
            inject(4_200 + 100 * step, 0, Fault::ConfigChange);
        }
        let keeps_id = false;
        inject(4_700, 100, Fault::Crash { machine, keeps_id });
        let drill = Fault::RestoreStore(StoreDrill::generate(rng));
        let (drill_ms, away_ms) = (rng.random_range(5_800..7_000), rng.random_range(50..1_200));
        inject(drill_ms, away_ms, drill);
        inject(drill_ms + 100, 0, Fault::ConfigChange);
        if has_other_faults {
            inject(rng.random_range(4_500..9_000), 0, Fault::SilentConnections);
            for _ in 0..2 {
                let fault = random_fault(rng, machines, groups);
                inject(
                    rng.random_range(4_500..9_000),
                    rng.random_range(50..2_000),
                    fault,
                );
            }
        }
        at += RESTORE_INTERVAL;
    }
    faults
}

/// Generates rounds whose connections go silent, with configuration changes shortly before and after.
fn silent_connections(rng: &mut Pcg64Mcg, round_duration: Duration) -> Vec<TimedFault> {
    let mut faults = Vec::new();
    let mut at = Duration::from_millis(1_000);
    while at < round_duration {
        let mut inject = |at, fault| {
            faults.push(TimedFault {
                at,
                duration: Duration::ZERO,
                fault,
            });
        };
        inject(at, Fault::SilentConnections);
        for _ in 0..2 {
            let delay = Duration::from_millis(rng.random_range(0..4_000));
            inject(at + delay - BEFORE_SILENCE, Fault::ConfigChange);
        }
        at += Duration::from_millis(rng.random_range(6_000..9_000));
    }
    faults
}

fn random_fault(rng: &mut Pcg64Mcg, machines: usize, groups: usize) -> Fault {
    let machine = rng.random_range(0..machines);
    match rng.random_range(0..20) {
        0 | 1 => Fault::Link {
            group: rng.random_range(0..groups),
            to: machine,
            mode: random_link_mode(rng),
        },
        2 | 3 => Fault::IncomingLinks {
            machine,
            mode: random_link_mode(rng),
        },
        4 => Fault::Store {
            machine: Some(machine),
            mode: random_endpoint_mode(rng),
        },
        5 => Fault::Store {
            machine: None,
            mode: random_endpoint_mode(rng),
        },
        6 => Fault::ExpireEntries,
        7 => Fault::Compact,
        8 | 9 => Fault::Pause { machine },
        10 => Fault::Kill { machine },
        11 => Fault::KillHalf,
        12 | 13 => Fault::Terminate {
            machine,
            signals: rng.random_range(0..3),
        },
        14 => Fault::UnreadableSettings { machine },
        15 | 16 => Fault::Backend {
            machine,
            mode: random_backend_mode(rng),
        },
        17 => Fault::Crash {
            machine,
            keeps_id: rng.random_bool(0.5),
        },
        18 => Fault::Drain { machine },
        _ if rng.random_bool(0.5) => Fault::MalformedEntries,
        _ => Fault::ConfigChange,
    }
}

fn random_link_mode(rng: &mut Pcg64Mcg) -> LinkMode {
    match rng.random_range(0..5) {
        0 => LinkMode::Delay(Duration::from_millis(rng.random_range(5..200))),
        1 => LinkMode::Stall,
        2 => LinkMode::StallToTarget,
        3 => LinkMode::StallFromTarget,
        _ => LinkMode::Reset,
    }
}

fn random_endpoint_mode(rng: &mut Pcg64Mcg) -> EndpointMode {
    match rng.random_range(0..5) {
        0 => EndpointMode::ErrorStatus(503),
        1 => EndpointMode::ErrorStatus(429),
        2 => EndpointMode::Slow(Duration::from_millis(rng.random_range(100..2_000))),
        3 => EndpointMode::DropResponse,
        _ => EndpointMode::Reset,
    }
}

fn random_backend_mode(rng: &mut Pcg64Mcg) -> BackendMode {
    const MODES: [BackendMode; 9] = [
        BackendMode::DropResponse,
        BackendMode::Refuse,
        BackendMode::ServerError,
        BackendMode::Slow,
        BackendMode::WrongAttemptId,
        BackendMode::TruncatedBody,
        BackendMode::MissingSignature,
        BackendMode::ExtraResponse,
        BackendMode::CloseIdle,
    ];
    MODES[rng.random_range(0..MODES.len())]
}
