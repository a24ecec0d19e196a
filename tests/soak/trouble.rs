//! Disturbances of one day, drawn from a seed.

use crate::{backend::BackendMode, link_proxy::LinkMode, store::DoorMode};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// One disturbance.
#[derive(Clone, Copy, Debug)]
pub enum Trouble {
    /// The links from a group of daemons to one daemon.
    Link {
        group: usize,
        to: usize,
        mode: LinkMode,
    },
    /// All links from other groups to one daemon.
    Island { machine: usize, mode: LinkMode },
    /// The store towards one daemon or towards all.
    Store {
        machine: Option<usize>,
        mode: DoorMode,
    },
    /// The store is away, and the entries lapse meanwhile.
    Lapse,
    /// The store drops its history.
    Compact,
    /// A process stands still.
    Pause { machine: usize },
    /// A process is killed and started again.
    Kill { machine: usize },
    /// Half of the processes are killed at once and started again.
    HerdKill,
    /// A process is asked to end and started again; further signals follow at once.
    Terminate { machine: usize, signals: u8 },
    /// The settings file is unreadable for a while, and the process is told to read it.
    Reload { machine: usize },
    /// A backend server misbehaves.
    Backend { machine: usize, mode: BackendMode },
    /// A backend server crashes and starts again, with its id or with another.
    Crash { machine: usize, keeps_id: bool },
    /// A backend server leaves for a while.
    Drain { machine: usize },
    /// Entries that cannot be read, or that name no known state or service.
    Forged,
    /// The next configuration.
    Config,
}

/// Disturbance with its time.
#[derive(Clone, Copy, Debug)]
pub struct TimedTrouble {
    /// Time since the start of the traffic.
    pub at: Duration,
    /// How long it lasts.
    pub lasts: Duration,
    pub trouble: Trouble,
}

/// Draws the disturbances of a day with so many machines in so many groups.
pub fn draw(seed: u64, day: Duration, machines: usize, groups: usize) -> Vec<TimedTrouble> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    // Some days are calmer, so that their disturbances meet a fleet that has settled.
    let gap_ms = [250, 500, 1_500, 4_000][rng.random_range(0..4)];
    let mut at = Duration::from_millis(200);
    let mut troubles = Vec::new();
    while at < day {
        let trouble = draw_one(&mut rng, machines, groups);
        let lasts = Duration::from_millis(rng.random_range(50..2_500));
        troubles.push(TimedTrouble { at, lasts, trouble });
        // Some come at the same moment.
        if !rng.random_bool(0.2) {
            at += Duration::from_millis(rng.random_range(1..=2 * gap_ms));
        }
    }
    troubles
}

fn draw_one(rng: &mut Pcg64Mcg, machines: usize, groups: usize) -> Trouble {
    let machine = rng.random_range(0..machines);
    match rng.random_range(0..20) {
        0 | 1 => Trouble::Link {
            group: rng.random_range(0..groups),
            to: machine,
            mode: draw_link(rng),
        },
        2 | 3 => Trouble::Island {
            machine,
            mode: draw_link(rng),
        },
        4 => Trouble::Store {
            machine: Some(machine),
            mode: draw_door(rng),
        },
        5 => Trouble::Store {
            machine: None,
            mode: draw_door(rng),
        },
        6 => Trouble::Lapse,
        7 => Trouble::Compact,
        8 | 9 => Trouble::Pause { machine },
        10 => Trouble::Kill { machine },
        11 => Trouble::HerdKill,
        12 | 13 => Trouble::Terminate {
            machine,
            signals: rng.random_range(0..3),
        },
        14 => Trouble::Reload { machine },
        15 | 16 => Trouble::Backend {
            machine,
            mode: draw_backend(rng),
        },
        17 => Trouble::Crash {
            machine,
            keeps_id: rng.random_bool(0.5),
        },
        18 => Trouble::Drain { machine },
        _ if rng.random_bool(0.5) => Trouble::Forged,
        _ => Trouble::Config,
    }
}

fn draw_link(rng: &mut Pcg64Mcg) -> LinkMode {
    match rng.random_range(0..5) {
        0 => LinkMode::Delay(Duration::from_millis(rng.random_range(5..200))),
        1 => LinkMode::Silent,
        2 => LinkMode::SilentThere,
        3 => LinkMode::SilentBack,
        _ => LinkMode::Reset,
    }
}

fn draw_door(rng: &mut Pcg64Mcg) -> DoorMode {
    match rng.random_range(0..5) {
        0 => DoorMode::Refuse(503),
        1 => DoorMode::Refuse(429),
        2 => DoorMode::Slow(Duration::from_millis(rng.random_range(100..2_000))),
        3 => DoorMode::LoseAnswer,
        _ => DoorMode::Reset,
    }
}

fn draw_backend(rng: &mut Pcg64Mcg) -> BackendMode {
    const MODES: [BackendMode; 9] = [
        BackendMode::LoseAnswer,
        BackendMode::Refuse,
        BackendMode::Fail,
        BackendMode::Slow,
        BackendMode::WrongAttempt,
        BackendMode::ShortBody,
        BackendMode::NoSignature,
        BackendMode::ExtraAnswer,
        BackendMode::ForgetIdle,
    ];
    MODES[rng.random_range(0..MODES.len())]
}
