//! Randomized runs of real daemon processes with disturbances from outside.
//!
//! `SOAK_SEEDS=1-50 cargo test --release --test soak -- --nocapture` plays these seeds.
//! `SOAK_SECONDS`, `SOAK_DAEMONS` and `SOAK_JOBS` set the length of a day, the number of daemons and
//! how many days are played side by side. Logs of days with a broken promise are kept. Without
//! `SOAK_SEEDS` a few short days are played, and promises with a time bound are left out, since the
//! machine may be busy.

mod backend;
mod caller;
mod daemon_slot;
mod fleet;
#[path = "../support/http_text.rs"]
mod http_text;
mod ledger;
mod ledger_checks;
mod link_proxy;
mod store;
mod trouble;

use fleet::Fleet;
use futures_util::StreamExt;
use std::{str::FromStr, time::Duration};

/// Daemons of a usual day: two of each service.
const DAEMONS: usize = 6;

/// Most groups of daemons whose ways to each other lead through proxies.
const MAX_GROUPS: usize = 6;

/// Groups of daemons in large fleets, which would need too many proxies otherwise.
const LARGE_GROUPS: usize = 3;

/// Daemons above which a fleet is large.
const LARGE_FLEET: usize = 24;

/// Length of a day that is played by hand.
const DAY: Duration = Duration::from_secs(20);

/// Length of a day of the short runs.
const SHORT_DAY: Duration = Duration::from_secs(5);

/// Seeds of the short runs.
const SHORT_SEEDS: [u64; 2] = [1, 2];

/// Days that once broke a promise, as seed and length in seconds. They are played in every run.
const FAILED_DAYS: [(u64, u64); 3] = [
    // Answers went to an earlier connection whose greeting had been held up by a silent link.
    (8, 12),
    // Processes that were asked to end and then paused ended before they read what had arrived.
    (28, 20),
    (42, 20),
];

/// One day of a fleet.
#[derive(Clone, Copy)]
struct SoakDay {
    seed: u64,
    day: Duration,
    daemons: usize,
    /// Whether promises with a time bound are checked, too.
    is_timed: bool,
}

impl SoakDay {
    /// Plays the day; returns the broken promises.
    async fn play(self) -> Vec<String> {
        let groups = if self.daemons > LARGE_FLEET {
            LARGE_GROUPS
        } else {
            self.daemons.min(MAX_GROUPS)
        };
        let (process, seconds) = (std::process::id(), self.day.as_secs());
        let name = format!("soak-{process}-{}-{seconds}", self.seed);
        let folder = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::create_dir_all(&folder).expect("a folder for logs");
        let troubles = trouble::draw(self.seed, self.day, self.daemons, groups);
        let plan: Vec<String> = troubles.iter().map(|timed| format!("{timed:?}")).collect();
        std::fs::write(folder.join("troubles.txt"), plan.join("\n")).expect("the plan");
        let fleet = Fleet::start(self.daemons, groups, &folder).await;
        let mut faults = fleet
            .play(self.seed, self.day, troubles, self.is_timed)
            .await;
        let (requests, successes, runs) = fleet.ledger.counts();
        if successes == 0 {
            faults.push("RECOVER: nothing was served".to_owned());
        }
        println!(
            "seed {}: {requests} requests, {successes} served, {runs} runs, {} faults",
            self.seed,
            faults.len()
        );
        if faults.is_empty() {
            let _ = std::fs::remove_dir_all(&folder);
        } else {
            println!("  logs in {}", folder.display());
            faults.iter().for_each(|fault| println!("  {fault}"));
        }
        faults
    }
}

/// Returns the days that once broke a promise.
fn failed_days(is_timed: bool) -> impl Iterator<Item = SoakDay> {
    let days = FAILED_DAYS.into_iter();
    days.map(move |(seed, seconds)| SoakDay {
        seed,
        day: Duration::from_secs(seconds),
        daemons: DAEMONS,
        is_timed,
    })
}

fn variable<T: FromStr>(name: &str, default: T) -> T {
    let value = std::env::var(name).ok();
    value.and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn seeds_by_hand() -> Option<(u64, u64)> {
    let text = std::env::var("SOAK_SEEDS").ok()?;
    let (first, last) = text.split_once('-').unwrap_or((&text, &text));
    Some((first.parse().ok()?, last.parse().ok()?))
}

/// Guards against broken promises that only show with processes, signals and broken links.
#[test]
fn promises_hold_under_disturbances() {
    let (days, jobs) = match seeds_by_hand() {
        Some((first, last)) => {
            let day = Duration::from_secs(variable("SOAK_SECONDS", DAY.as_secs()));
            let daemons = variable("SOAK_DAEMONS", DAEMONS);
            let days = (first..=last).map(|seed| SoakDay {
                seed,
                day,
                daemons,
                is_timed: true,
            });
            let days = failed_days(true).chain(days);
            (days.collect::<Vec<_>>(), variable("SOAK_JOBS", 2))
        }
        None => {
            let days = SHORT_SEEDS.map(|seed| SoakDay {
                seed,
                day: SHORT_DAY,
                daemons: DAEMONS,
                is_timed: false,
            });
            (days.into_iter().chain(failed_days(false)).collect(), 2)
        }
    };
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    let faults: Vec<Vec<String>> = runtime.block_on(async {
        let days = futures_util::stream::iter(days).map(SoakDay::play);
        days.buffer_unordered(jobs).collect().await
    });
    let count: usize = faults.iter().map(Vec::len).sum();
    assert_eq!(count, 0, "promises were broken; see the lines above");
}
