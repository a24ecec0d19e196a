//! Single decisions of admission and of the limits on retries.

use arbtest::arbtest;
use skylarkstream::decision::{
    admission::{
        admission_gate::{AdmissionGate, GateDecision, GateRequest, ShedReason, WorkResult},
        priority_level::PriorityLevel,
        service_threshold::ServiceThreshold,
    },
    profile::{
        profile_limits::ShedOrder,
        service_profile::{AdmissionLimits, RetryLimits},
    },
    request_priority::{LOWEST_CLASS, RequestPriority},
    retry::{retry_after::RetryAfter, retry_budget::RetryBudget},
};
use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

const MS: Duration = Duration::from_millis(1);

fn gate(slots: u32) -> AdmissionGate {
    AdmissionGate::new(AdmissionLimits {
        initial_concurrency: slots,
        min_concurrency: slots,
        max_concurrency: slots,
        ..AdmissionLimits::default()
    })
}

fn request(class: u8, rank: u16, caller: &str, now: Instant) -> GateRequest {
    GateRequest {
        priority: RequestPriority {
            class,
            rank,
            retry: false,
        },
        deadline: now + 1_000 * MS,
        entered: now,
        is_entry: false,
        caller_service: caller.into(),
        is_planned_call: false,
        is_impatient: false,
        expected_time: None,
    }
}

/// Guards against requests that are started although their deadline has passed.
#[test]
fn expired_requests_are_never_started() {
    arbtest(|u| {
        let mut now = Instant::now();
        let mut gate = gate(2);
        let mut deadlines = HashMap::new();
        let mut running = Vec::new();
        for _ in 0..u.int_in_range(1..=60)? {
            now += MS * u.int_in_range(0..=40)?;
            if u.arbitrary()? {
                let mut offered =
                    request(u.int_in_range(0..=LOWEST_CLASS)?, u.arbitrary()?, "", now);
                offered.deadline = now + MS * u.int_in_range(0..=100)?;
                let deadline = offered.deadline;
                deadlines.insert(gate.offer(offered, now), deadline);
            } else if let Some(key) = running.pop() {
                gate.finish(key, WorkResult::Completed, now);
            }
            for decision in gate.poll(now) {
                if let GateDecision::Start(key) = decision {
                    assert!(deadlines[&key] > now);
                    running.push(key);
                }
            }
            assert!(gate.in_flight() <= gate.limit());
        }
        Ok(())
    });
}

/// Guards against a gate that refuses all requests after a slow period: its estimate of the service
/// time would be too high, and without started requests nothing would correct it.
#[test]
fn gate_admits_again_after_a_slow_period() {
    let mut now = Instant::now();
    let mut gate = gate(1);
    let slow = gate.offer(
        GateRequest {
            deadline: now + 5_000 * MS,
            ..request(0, 0, "", now)
        },
        now,
    );
    assert_eq!(gate.poll(now), [GateDecision::Start(slow)]);
    for _ in 0..400 {
        now += 5 * MS;
        gate.poll(now);
    }
    gate.finish(slow, WorkResult::Completed, now);
    for refused in 0..400 {
        now += 5 * MS;
        let key = gate.offer(request(0, 0, "", now), now);
        if gate.poll(now).contains(&GateDecision::Start(key)) {
            assert!(refused > 0);
            return;
        }
    }
    panic!("no request was started in two seconds");
}

/// Guards against a calling service that uses up the slots of another one in the same class.
#[test]
fn flooding_caller_leaves_other_callers_their_share() {
    let mut now = Instant::now();
    let mut gate = gate(4);
    let mut quiet = Vec::new();
    let mut started = 0;
    let mut running = Vec::new();
    for round in 0..200u16 {
        now += 10 * MS;
        for key in running.drain(..) {
            gate.finish(key, WorkResult::Completed, now);
        }
        for rank in 0..20 {
            gate.offer(request(2, rank, "flooding", now), now);
        }
        quiet.push(gate.offer(request(2, round, "quiet", now), now));
        for decision in gate.poll(now) {
            if let GateDecision::Start(key) = decision {
                started += u32::from(quiet.contains(&key));
                running.push(key);
            }
        }
    }
    // The quiet caller requests only a quarter of the slots, less than its equal share.
    assert_eq!(started, 200);
}

/// Guards against a queue that starts requests in another order than by class, then calls of
/// started root requests before new ones, then requests without the retry mark before marked ones.
#[test]
fn queue_starts_by_class_then_by_new_root_then_by_retry_mark() {
    let now = Instant::now();
    let mut gate = gate(1);
    let first = gate.offer(request(7, 0, "", now), now);
    gate.poll(now);
    let important = request(1, 60_000, "", now);
    let new_root = GateRequest {
        is_entry: true,
        ..request(3, 0, "", now)
    };
    let mut marked = request(3, 0, "", now);
    marked.priority.retry = true;
    let offers = [marked, new_root, request(3, 9, "", now), important];
    let keys = offers.map(|offered| gate.offer(offered, now));
    let mut running = first;
    for expected in [3, 2, 0, 1].map(|index| keys[index]) {
        gate.finish(running, WorkResult::Completed, now);
        assert_eq!(gate.poll(now), [GateDecision::Start(expected)]);
        running = expected;
    }
}

/// Guards against a queue that ignores the shed order of its profile. With `retries-first`, a new
/// root request starts before a marked retry of a root request that has already started.
#[test]
fn profile_sets_the_order_within_a_class() {
    let now = Instant::now();
    for (order, expected) in [
        (ShedOrder::NewRootsFirst, [0, 1]),
        (ShedOrder::RetriesFirst, [1, 0]),
    ] {
        let mut gate = gate(1);
        gate.set_shed_order(order);
        let mut running = gate.offer(request(7, 0, "", now), now);
        gate.poll(now);
        let mut marked = request(3, 0, "", now);
        marked.priority.retry = true;
        let new_root = GateRequest {
            is_entry: true,
            ..request(3, 0, "", now)
        };
        let keys = [marked, new_root].map(|offered| gate.offer(offered, now));
        for index in expected {
            gate.finish(running, WorkResult::Completed, now);
            assert_eq!(gate.poll(now), [GateDecision::Start(keys[index])]);
            running = keys[index];
        }
    }
}

/// Guards against a concurrency limit that ignores refusals of the backend server.
#[test]
fn refusal_decreases_the_concurrency_limit() {
    let now = Instant::now();
    let mut gate = AdmissionGate::new(AdmissionLimits::default());
    let before = gate.limit();
    let keys: Vec<_> = (0..20)
        .map(|rank| gate.offer(request(0, rank, "", now), now))
        .collect();
    gate.poll(now);
    gate.finish(keys[19], WorkResult::Refused, now + MS);
    assert!(gate.limit() < 20 && gate.limit() < before);
}

/// Guards against more extra attempts than the budget allows, at any time and in any order.
#[test]
fn retry_budget_is_never_exceeded() {
    arbtest(|u| {
        let mut now = Instant::now();
        let limits = RetryLimits::default();
        let mut budget = RetryBudget::new(&limits);
        let (mut first, mut extra) = (0u64, 0u64);
        for _ in 0..u.int_in_range(1..=400)? {
            now += MS * u.int_in_range(0..=200)?;
            if u.ratio(3, 4)? {
                budget.record_first(now);
                first += 1;
            } else {
                extra += u64::from(budget.take_extra(now));
            }
            assert!(extra * 100 <= first * u64::from(limits.budget_percent));
        }
        Ok(())
    });
}

/// Guards against refused requests that are all retried at the same time.
#[test]
fn retry_after_spreads_by_rank() {
    let spread = RetryAfter::new(500 * MS, 1_000 * MS);
    let times = [0, 16_384, 32_768, 49_152].map(|rank| {
        spread
            .for_request(RequestPriority {
                class: 2,
                rank,
                retry: false,
            })
            .as_millis()
    });
    assert_eq!(times, [500, 750, 1_000, 1_250]);
}

/// Guards against thresholds that order priorities differently from the queue.
#[test]
fn levels_keep_the_order_of_priorities() {
    arbtest(|u| {
        let mut priority = || -> arbtest::arbitrary::Result<RequestPriority> {
            Ok(RequestPriority {
                class: u.int_in_range(0..=LOWEST_CLASS)?,
                rank: u.arbitrary()?,
                retry: u.arbitrary()?,
            })
        };
        let (a, b) = (priority()?, priority()?);
        assert_eq!(
            PriorityLevel::from(a).cmp(&PriorityLevel::from(b)),
            a.cmp(&b)
        );
        assert_eq!(RequestPriority::from(PriorityLevel::from(a)), a);
        Ok(())
    });
}

/// Guards against an outdated threshold by which calls are shed after the called service recovered.
#[test]
fn received_threshold_expires() {
    let now = Instant::now();
    let mut threshold = ServiceThreshold::default();
    let refused = RequestPriority {
        class: 5,
        rank: 0,
        retry: false,
    };
    for _ in 0..200 {
        threshold.record(
            RequestPriority {
                class: 2,
                ..refused
            },
            now,
        );
    }
    assert!(!threshold.admits(refused, now + 1_900 * MS));
    assert!(threshold.admits(refused, now + 2_001 * MS));
}

/// Guards against calls of admitted roots that are refused by rank, by the queue limit or for the
/// mean service time of longer requests, which wastes the work on their roots.
#[test]
fn planned_calls_wait_until_their_own_deadline() {
    let start = Instant::now();
    let mut gate = AdmissionGate::new(AdmissionLimits {
        initial_concurrency: 1,
        min_concurrency: 1,
        max_concurrency: 1,
        queue_length: 2,
        queue_wait_ms: 50,
    });
    let long = gate.offer(request(3, 0, "", start), start);
    assert_eq!(gate.poll(start), [GateDecision::Start(long)]);
    let mut now = start + 900 * MS;
    gate.finish(long, WorkResult::Completed, now);
    let running = gate.offer(request(3, 0, "", now), now);
    assert_eq!(gate.poll(now), [GateDecision::Start(running)]);
    let call = GateRequest {
        deadline: now + 700 * MS,
        is_planned_call: true,
        is_impatient: false,
        expected_time: Some(40 * MS),
        ..request(0, u16::MAX, "", now)
    };
    let calls = [(); 6].map(|()| gate.offer(call.clone(), now));
    now += 650 * MS;
    assert_eq!(gate.poll(now), []);
    now += 20 * MS;
    let shed = calls.map(|key| GateDecision::Shed(key, ShedReason::Deadline));
    assert_eq!(gate.poll(now), shed);
}
