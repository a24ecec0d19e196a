//! `demo`: compares a small call chain on loopback without and with overload control in a surge.

use super::SubcommandError;
use crate::{
    common::*,
    experiment::{
        load_generator::LoadGenerator,
        surge_plan::{ClassLoad, SurgePlan},
        surge_report::{SurgeReport, print_table},
        work_log::WorkLog,
    },
    standin::{
        backend_server::BackendBehaviour,
        service_chain::{ChainBuilder, ServiceChain},
    },
};
use tokio::runtime::Runtime;

/// Factor by which the service time of the deepest service grows during the trigger.
const SLOWDOWN: u32 = 5;

/// First service of the chain.
const ENTRY: &str = "tug-dispatch";

/// Last service of the chain, which slows down during the trigger.
const DEEPEST: &str = "crew-roster";

const PROFILE: &str = r#"
name = "dispatch"
default_class = "roster"
classes = { assignment = 0, stand-status = 1, manual = 3, roster = 4 }

[admission]
initial_concurrency = 8
min_concurrency = 2
max_concurrency = 64
queue_length = 40
queue_wait_ms = 200

[[routes]]
path = "/assignments"
class = "assignment"
idempotent = true
deadline_ms = 1000

[[routes]]
path = "/stands"
class = "stand-status"
idempotent = true
deadline_ms = 1000

[[routes]]
path = "/manuals"
class = "manual"
idempotent = true
deadline_ms = 1000

[[routes]]
path = "/rosters"
class = "roster"
idempotent = true
deadline_ms = 1000
"#;

pub(super) fn demo() -> Result<(), SubcommandError> {
    Runtime::new()?.block_on(run_demo())
}

async fn run_demo() -> Result<(), SubcommandError> {
    let plan = Arc::new(surge_plan());
    println!(
        "Three services with two instances each. After {} s, demand doubles and {DEEPEST} becomes \
         five times slower for {} s; callers retry a failed request up to {} times.",
        plan.before.as_secs(),
        plan.trigger.as_secs(),
        plan.caller_attempts - 1,
    );
    let uncontrolled = run_variant(&plan, chain_builder().uncontrolled()).await?;
    let controlled = run_variant(&plan, chain_builder()).await?;
    print_table(
        &plan,
        &[
            ("without control", uncontrolled),
            ("with control", controlled),
        ],
    );
    Ok(())
}

async fn run_variant(
    plan: &Arc<SurgePlan>,
    builder: ChainBuilder,
) -> Result<SurgeReport, SubcommandError> {
    let work_log = WorkLog::default();
    let chain = builder.work_log(work_log.clone()).start().await?;
    let entries = chain
        .service(ENTRY)
        .map(|instance| instance.settings.edge)
        .collect();
    let load = LoadGenerator::new(Arc::clone(plan), entries, ENTRY.into());
    let (requests, ()) = tokio::join!(load.run(), apply_slowdown(plan, &chain));
    let report = SurgeReport::new(plan, &requests, &work_log);
    chain.stop().await;
    Ok(report)
}

async fn apply_slowdown(plan: &SurgePlan, chain: &ServiceChain) {
    tokio::time::sleep(plan.before).await;
    for instance in chain.service(DEEPEST) {
        instance.backend.set_slowdown(SLOWDOWN);
    }
    tokio::time::sleep(plan.trigger).await;
    for instance in chain.service(DEEPEST) {
        instance.backend.set_slowdown(1);
    }
}

fn surge_plan() -> SurgePlan {
    let class = |name: &str, path: &str, share_percent| ClassLoad {
        name: name.into(),
        path: path.into(),
        share_percent,
    };
    SurgePlan {
        base_rate: 400.0,
        surge_factor: 2.0,
        before: Duration::from_secs(3),
        trigger: Duration::from_secs(4),
        after: Duration::from_secs(6),
        caller_timeout: Duration::from_secs(1),
        caller_attempts: 5,
        classes: vec![
            class("assignment", "/assignments/7", 5),
            class("stand status", "/stands/12", 10),
            class("manual", "/manuals/towbar", 35),
            class("roster", "/rosters/today", 50),
        ],
        seed: 1,
    }
}

fn chain_builder() -> ChainBuilder {
    ServiceChain::builder()
        .profile("dispatch", PROFILE)
        .service(
            ENTRY,
            "dispatch",
            2,
            backend_behaviour(60, 2, Some("gate-status")),
        )
        .service(
            "gate-status",
            "dispatch",
            2,
            backend_behaviour(60, 2, Some(DEEPEST)),
        )
        .service(DEEPEST, "dispatch", 2, backend_behaviour(8, 20, None))
}

fn backend_behaviour(
    slots: usize,
    service_ms: u64,
    called_service: Option<&str>,
) -> BackendBehaviour {
    let behaviour = BackendBehaviour::new(slots, Duration::from_millis(service_ms));
    match called_service {
        Some(service) => behaviour.with_call(service, "/rosters/today"),
        None => behaviour,
    }
}
