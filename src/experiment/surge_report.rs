//! Results of a surge experiment.

use crate::{
    common::*,
    experiment::{
        load_generator::CallerRequest,
        surge_plan::{SurgePhase, SurgePlan},
        work_log::WorkLog,
    },
};

/// Window over which goodput is compared with goodput before the trigger.
const RECOVERY_WINDOW: Duration = Duration::from_secs(1);

/// Time between the starts of two consecutive windows.
const RECOVERY_STEP: Duration = Duration::from_millis(100);

/// Share of the goodput before the trigger at which goodput counts as recovered.
const RECOVERED_SHARE: f64 = 0.95;

/// Sent and answered requests of one class in one phase.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct PhaseCount {
    /// Requests whose first attempt was sent in the phase.
    pub sent: u32,
    /// Those that got a complete response with status 200.
    pub answered: u32,
}

/// Results of one variant of the experiment.
#[derive(Clone, Debug, Serialize)]
pub struct SurgeReport {
    /// Counts by class, in the order of the plan, and by phase.
    pub classes: Vec<[PhaseCount; 3]>,
    /// Time from the end of the trigger until goodput has recovered, if it has.
    pub recovery: Option<Duration>,
    /// Service time spent on attempts that failed, as a share of all service time.
    pub wasted_share: f64,
    /// Mean number of caller attempts per request.
    pub caller_attempts: f64,
    /// Mean number of runs at backend servers per request.
    pub backend_runs: f64,
}

impl SurgeReport {
    /// Computes the results of an experiment.
    pub fn new(plan: &SurgePlan, requests: &[CallerRequest], work_log: &WorkLog) -> Self {
        let mut classes = vec![[PhaseCount::default(); 3]; plan.classes.len()];
        let (mut spent, mut wasted) = (Duration::ZERO, Duration::ZERO);
        let (mut attempts, mut runs) = (0, 0);
        for request in requests {
            let count = &mut classes[request.class][request.phase as usize];
            count.sent += 1;
            count.answered += u32::from(request.answered_at.is_some());
            attempts += request.attempts.len();
            for attempt in &request.attempts {
                let entry = work_log.entry(attempt.root_request);
                runs += entry.runs;
                spent += entry.service_time;
                if !attempt.is_answered {
                    wasted += entry.service_time;
                }
            }
        }
        let total = requests.len().max(1) as f64;
        Self {
            classes,
            recovery: recovery(plan, requests),
            wasted_share: wasted.as_secs_f64() / spent.as_secs_f64().max(f64::MIN_POSITIVE),
            caller_attempts: attempts as f64 / total,
            backend_runs: f64::from(runs) / total,
        }
    }

    /// Returns the share of answered requests of a class in a phase, in percent.
    pub fn answered_percent(&self, class: usize, phase: SurgePhase) -> f64 {
        let count = self.classes[class][phase as usize];
        100.0 * f64::from(count.answered) / f64::from(count.sent.max(1))
    }

    /// Returns the goodput of a phase: answered requests per second, of those sent in the phase.
    pub fn goodput(&self, plan: &SurgePlan, phase: SurgePhase) -> f64 {
        let answered: u32 = self
            .classes
            .iter()
            .map(|counts| counts[phase as usize].answered)
            .sum();
        f64::from(answered) / plan.phase_duration(phase).as_secs_f64()
    }
}

/// Returns the time from the end of the trigger to the first window with recovered goodput.
fn recovery(plan: &SurgePlan, requests: &[CallerRequest]) -> Option<Duration> {
    let answered_in = |from: Duration, to: Duration| {
        requests
            .iter()
            .filter_map(|request| request.answered_at)
            .filter(|at| *at >= from && *at < to)
            .count() as f64
    };
    let trigger_end = plan.before + plan.trigger;
    let baseline = answered_in(Duration::ZERO, plan.before) / plan.before.as_secs_f64();
    let required = RECOVERED_SHARE * baseline * RECOVERY_WINDOW.as_secs_f64();
    let mut from = trigger_end;
    while from + RECOVERY_WINDOW <= plan.duration() {
        if answered_in(from, from + RECOVERY_WINDOW) >= required {
            return Some(from - trigger_end);
        }
        from += RECOVERY_STEP;
    }
    None
}

/// Prints the reports of several variants side by side.
pub fn print_table(plan: &SurgePlan, reports: &[(&str, SurgeReport)]) {
    print!("{:34}", "");
    for (name, _) in reports {
        print!("{name:>16}");
    }
    println!();
    for phase in SurgePhase::ALL {
        print_row(
            &format!("goodput {phase:?} (requests/s)"),
            reports,
            |report| format!("{:.0}", report.goodput(plan, phase)),
        );
    }
    for (index, class) in plan.classes.iter().enumerate() {
        for phase in [SurgePhase::Trigger, SurgePhase::After] {
            let label = format!("{} answered, {phase:?} (%)", class.name);
            print_row(&label, reports, |report| {
                format!("{:.1}", report.answered_percent(index, phase))
            });
        }
    }
    print_row("recovery time (s)", reports, |report| {
        report.recovery.map_or_else(
            || format!("not within {}", plan.after.as_secs()),
            |time| format!("{:.1}", time.as_secs_f64()),
        )
    });
    print_row("wasted work (%)", reports, |report| {
        format!("{:.1}", 100.0 * report.wasted_share)
    });
    print_row("caller attempts per request", reports, |report| {
        format!("{:.2}", report.caller_attempts)
    });
    print_row("backend runs per request", reports, |report| {
        format!("{:.2}", report.backend_runs)
    });
}

fn print_row(label: &str, reports: &[(&str, SurgeReport)], value: impl Fn(&SurgeReport) -> String) {
    print!("{label:34}");
    for (_, report) in reports {
        print!("{:>16}", value(report));
    }
    println!();
}
