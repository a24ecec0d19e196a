//! Randomized fault injection into fleets of daemon processes.
//!
//! A round starts a fleet, sends requests while it injects faults generated from a seed, and then
//! checks the guarantees of the daemons on everything that callers and backend servers observed.
//!
//! `SOAK_SEEDS=1-50 cargo test --release --test soak -- --nocapture` executes the rounds of these
//! seeds. `SOAK_SECONDS`, `SOAK_DAEMONS` and `SOAK_JOBS` set the duration of a round, the number of
//! daemons and the number of concurrent rounds. Logs of rounds with a violation are kept. Without
//! `SOAK_SEEDS`, a few short rounds are executed, and guarantees with a time bound are not checked,
//! since the machine may be busy.

mod announcements;
mod backend;
mod caller;
mod departures;
mod fault_plan;
mod fleet;
mod history;
mod history_checks;
#[path = "../support/http_text.rs"]
mod http_text;
mod link_proxy;
mod managed_daemon;
mod store;
mod store_drill;

use fleet::Fleet;
use futures_util::StreamExt;
use std::{str::FromStr, time::Duration};

/// Daemons of a round by default: two of each service.
const DEFAULT_DAEMONS: usize = 6;

/// Most groups of daemons that are connected through proxies.
const MAX_GROUPS: usize = 6;

/// Groups of daemons in large fleets, which would need too many proxies otherwise.
const LARGE_FLEET_GROUPS: usize = 3;

/// Daemons above which a fleet is large.
const LARGE_FLEET_THRESHOLD: usize = 24;

/// Duration of a round of `SOAK_SEEDS`.
const DEFAULT_ROUND_DURATION: Duration = Duration::from_secs(20);

/// Duration of a round without `SOAK_SEEDS`.
const SHORT_ROUND_DURATION: Duration = Duration::from_secs(5);

/// Seeds of the rounds without `SOAK_SEEDS`.
const SHORT_ROUND_SEEDS: [u64; 4] = [1, 2, 3, 2_001];

/// Rounds that once had a violation, as seed and duration in seconds. They are always executed.
const REGRESSION_ROUNDS: [(u64, u64); 5] = [
    // Responses were sent over an older peer connection, whose hello frame a stalled link had
    // delayed.
    (8, 12),
    // Daemons that were paused after SIGTERM exited before they read the requests that had arrived.
    (28, 20),
    (42, 20),
    // A restarted daemon sent requests to its backend server, which had announced that it leaves:
    // peers that had only heard so from the daemon forgot it at the new handshake.
    (13, 20),
    // Runs were stopped, and reported as not begun, since their senders were out of touch for 2 s.
    (1_001, 12),
];

/// Fault injection into one fleet.
#[derive(Clone, Copy)]
struct SoakRound {
    seed: u64,
    duration: Duration,
    daemons: usize,
    /// Whether guarantees with a time bound are checked as well.
    checks_time_bounds: bool,
}

impl SoakRound {
    /// Executes the round; returns the violations.
    async fn execute(self) -> Vec<String> {
        let groups = if self.daemons > LARGE_FLEET_THRESHOLD {
            LARGE_FLEET_GROUPS
        } else {
            self.daemons.min(MAX_GROUPS)
        };
        let (process_id, seconds) = (std::process::id(), self.duration.as_secs());
        let name = format!("soak-{process_id}-{}-{seconds}", self.seed);
        let folder = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::create_dir_all(&folder).expect("failed to create the folder for logs");
        let faults = fault_plan::generate(self.seed, self.duration, self.daemons, groups);
        let plan: Vec<String> = faults.iter().map(|timed| format!("{timed:?}")).collect();
        std::fs::write(folder.join("faults.txt"), plan.join("\n"))
            .expect("failed to write the fault plan");
        let fleet = Fleet::start(self.daemons, groups, &folder).await;
        let mut violations = fleet
            .execute(self.seed, self.duration, faults, self.checks_time_bounds)
            .await;
        if self.checks_time_bounds && fault_plan::has_announcements(self.seed) {
            violations.extend(fleet.history.announcement_violations());
        }
        let (requests, successes, runs) = fleet.history.counts();
        if successes == 0 {
            violations.push("RECOVER: no request was served".to_owned());
        }
        println!(
            "seed {}: {requests} requests, {successes} served, {runs} runs, {} violations",
            self.seed,
            violations.len()
        );
        if violations.is_empty() {
            let _ = std::fs::remove_dir_all(&folder);
        } else {
            println!("  logs in {}", folder.display());
            violations
                .iter()
                .for_each(|violation| println!("  {violation}"));
        }
        violations
    }
}

/// Returns the rounds that once had a violation.
fn regression_rounds(checks_time_bounds: bool) -> impl Iterator<Item = SoakRound> {
    let rounds = REGRESSION_ROUNDS.into_iter();
    rounds.map(move |(seed, seconds)| SoakRound {
        seed,
        duration: Duration::from_secs(seconds),
        daemons: DEFAULT_DAEMONS,
        checks_time_bounds,
    })
}

fn env_or_default<T: FromStr>(name: &str, default: T) -> T {
    let value = std::env::var(name).ok();
    value.and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn requested_seeds() -> Option<(u64, u64)> {
    let text = std::env::var("SOAK_SEEDS").ok()?;
    let (first, last) = text.split_once('-').unwrap_or((&text, &text));
    Some((first.parse().ok()?, last.parse().ok()?))
}

/// Guards against violations that only occur with processes, signals and broken links.
#[test]
fn guarantees_hold_under_faults() {
    let (rounds, jobs) = match requested_seeds() {
        Some((first, last)) => {
            let duration = Duration::from_secs(env_or_default(
                "SOAK_SECONDS",
                DEFAULT_ROUND_DURATION.as_secs(),
            ));
            let daemons = env_or_default("SOAK_DAEMONS", DEFAULT_DAEMONS);
            let rounds = (first..=last).map(|seed| SoakRound {
                seed,
                duration,
                daemons,
                checks_time_bounds: true,
            });
            // Rounds with the same seed and duration would share a folder.
            let is_new = |round: &SoakRound| {
                !REGRESSION_ROUNDS.contains(&(round.seed, round.duration.as_secs()))
            };
            let rounds = regression_rounds(true).chain(rounds.filter(is_new));
            (rounds.collect::<Vec<_>>(), env_or_default("SOAK_JOBS", 2))
        }
        None => {
            let rounds = SHORT_ROUND_SEEDS.map(|seed| SoakRound {
                seed,
                duration: SHORT_ROUND_DURATION,
                daemons: DEFAULT_DAEMONS,
                checks_time_bounds: false,
            });
            (
                rounds.into_iter().chain(regression_rounds(false)).collect(),
                2,
            )
        }
    };
    let runtime = tokio::runtime::Runtime::new().expect("failed to create the runtime");
    let violations: Vec<Vec<String>> = runtime.block_on(async {
        // In one task, the checks of a round that ends would delay the signals and polls of the others.
        let rounds = futures_util::stream::iter(rounds).map(|round| async move {
            let round = tokio::spawn(round.execute());
            round.await.expect("a round without a panic")
        });
        rounds.buffer_unordered(jobs).collect().await
    });
    let count: usize = violations.iter().map(Vec::len).sum();
    assert_eq!(count, 0, "guarantees were violated; see the lines above");
}
