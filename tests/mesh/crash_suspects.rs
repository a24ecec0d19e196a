//! Suspected requests: merging of records, and a culprit among popular and rare requests in fleets.

use crate::fixed_seeds;
use bytes::BytesMut;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use skylarkstream::{
    decision::{
        clock::{Clock, ManualClock},
        mesh::{
            crash_id::CrashId,
            crash_suspects::{SuspectRecord, SuspectTable, SuspectVerdict},
            request_fingerprint::RequestFingerprint,
        },
    },
    mesh::{mesh_settings::MeshSettings, peer_frame::PeerFrame},
};
use std::{
    sync::Arc,
    time::{Duration, Instant},
};

const REQUEST: RequestFingerprint = RequestFingerprint(7);

fn record(crashes: &[u64], cleared: &[u64]) -> SuspectRecord {
    SuspectRecord {
        request: REQUEST,
        crashes: crashes.iter().copied().map(CrashId).collect(),
        cleared: cleared.iter().copied().map(CrashId).collect(),
        trials: 0,
    }
}

/// Guards against daemons that treat a request differently because records reached them in another
/// order, twice, or after the response that cleared the request.
#[test]
fn order_and_repetitions_of_records_do_not_matter() {
    fixed_seeds::check(|random| {
        let records = [
            record(&[1], &[]),
            record(&[2], &[]),
            record(&[], &[1]),
            record(&[1, 3], &[]),
        ];
        let now = Instant::now();
        let mut table = SuspectTable::default();
        let mut left: Vec<&SuspectRecord> = records.iter().chain(&records).collect();
        while !left.is_empty() {
            let index = random.choose_index(left.len())?;
            table.merge(left.swap_remove(index), now);
        }
        let known = table.known_suspects(now);
        let mut crashes: Vec<u64> = known[0].crashes.iter().map(|crash| crash.0).collect();
        crashes.sort_unstable();
        assert_eq!(crashes, [2, 3]);
        Ok(())
    });
}

/// Guards against requests that are not recognised when they come again, and against others that are
/// taken for them.
#[test]
fn fingerprint_depends_on_what_stays_the_same() {
    let fingerprint =
        |head: &str, body: &str| RequestFingerprint::new(head.as_bytes(), body.as_bytes());
    let first = "POST /a HTTP/1.1\r\nAttempt-Id: 1\r\nHost: h\r\n";
    let again = "POST /a HTTP/1.1\r\nhost:h \r\nAttempt-Id: 2\r\nCaller-Service: x\r\n";
    assert_eq!(fingerprint(first, "b"), fingerprint(again, "b"));
    let others = [
        (first, "c"),
        ("GET /a HTTP/1.1\r\nHost: h\r\n", "b"),
        ("POST /a?x HTTP/1.1\r\nHost: h\r\n", "b"),
        ("POST /a HTTP/1.1\r\nHost: g\r\n", "b"),
        ("POST /a HTTP/1.1\r\n", "h\nb"),
    ];
    for (head, body) in others {
        assert_ne!(fingerprint(first, "b"), fingerprint(head, body), "{head}");
    }
}

/// Guards against a request that is refused for good although it only ran beside the culprit, and
/// against a culprit that is tried without end.
#[test]
fn refused_request_is_tried_and_then_cleared_or_refused() {
    let clock = ManualClock::new();
    let mut table = SuspectTable::default();
    for crash in 1..=2 {
        table.record_crash(REQUEST, CrashId(crash), clock.now());
    }
    assert_eq!(
        table.verdict(REQUEST, clock.now()),
        SuspectVerdict::Isolated
    );
    assert!(!table.may_retry(REQUEST));
    assert!(table.record_crash(REQUEST, CrashId(3), clock.now()));
    assert_eq!(table.verdict(REQUEST, clock.now()), SuspectVerdict::Refused);
    for _ in 0..2 {
        clock.advance(Duration::from_secs(21));
        assert!(table.start_isolated(REQUEST, clock.now()));
        table.end_isolated(REQUEST);
        assert_eq!(table.verdict(REQUEST, clock.now()), SuspectVerdict::Refused);
    }
    clock.advance(Duration::from_secs(3_600));
    assert_eq!(table.verdict(REQUEST, clock.now()), SuspectVerdict::Refused);
    assert!(table.record_response(REQUEST));
    assert_eq!(table.verdict(REQUEST, clock.now()), SuspectVerdict::Free);
    table.merge(&record(&[1, 2, 3], &[]), clock.now());
    assert_eq!(table.verdict(REQUEST, clock.now()), SuspectVerdict::Free);
}

/// Guards against a request that an operator cannot release, and against settings with a fingerprint
/// that no request can have.
#[test]
fn released_request_is_free_and_stays_so() {
    let now = Instant::now();
    let mut table = SuspectTable::default();
    for crash in 1..=3 {
        table.record_crash(REQUEST, CrashId(crash), now);
    }
    table.set_released(vec![REQUEST]);
    assert_eq!(table.verdict(REQUEST, now), SuspectVerdict::Free);
    table.merge(&record(&[1, 2, 3, 4], &[]), now);
    assert_eq!(table.verdict(REQUEST, now), SuspectVerdict::Free);
    let settings = |released: &str| {
        let text = format!(
            "instance = \"d\"\ndata_centre = \"a\"\nservice = \"s\"\nbackend = \"127.0.0.1:1\"\n\
             outbound = \"127.0.0.1:2\"\npeer = \"127.0.0.1:3\"\nreadiness = \"127.0.0.1:4\"\n\
             store = \"127.0.0.1:5\"\ngrace_s = 6.0\nreleased_requests = [\"{released}\"]\n"
        );
        MeshSettings::from_bytes(text.as_bytes())
    };
    let fingerprint = REQUEST.to_string();
    let released = settings(&fingerprint).map(|settings| settings.released_requests);
    assert_eq!(released.expect("settings"), [REQUEST]);
    for invalid in ["", "7", "000000000000000g", "00000000000000007"] {
        let error = settings(invalid).expect_err("invalid settings").to_string();
        assert!(error.contains("fingerprint"), "{error}");
    }
}

/// Guards against memory that grows with the requests that run when servers crash.
#[test]
fn records_are_bounded_and_keep_the_worst_suspects() {
    let clock = ManualClock::new();
    let mut table = SuspectTable::default();
    for crash in 1..=3 {
        table.record_crash(REQUEST, CrashId(crash), clock.now());
    }
    for number in 0..20_000 {
        let request = RequestFingerprint(1_000 + number);
        table.record_crash(request, CrashId(9), clock.now());
        table.announce(request);
    }
    assert_eq!(table.verdict(REQUEST, clock.now()), SuspectVerdict::Refused);
    assert!(table.take_changes().len() <= 512);
    clock.advance(Duration::from_secs(700));
    table.forget_old(clock.now());
    assert_eq!(table.known_suspects(clock.now()).len(), 1);
    clock.advance(Duration::from_secs(25 * 3_600));
    table.forget_old(clock.now());
    assert!(table.is_empty());
}

/// Guards against a message that ends the connection to a daemon of an earlier build, and against
/// bytes after a message that end the process.
#[test]
fn suspects_are_read_as_a_liveness_check_by_earlier_builds() {
    const LENGTH_BYTES: usize = 4;
    let records = vec![record(&[1], &[2])];
    let mut bytes = BytesMut::new();
    PeerFrame::Suspects(Arc::new(records.clone())).encode(&mut bytes);
    let read_by_earlier_build = postcard::from_bytes(&bytes[LENGTH_BYTES..]);
    assert!(matches!(read_by_earlier_build, Ok(PeerFrame::Ping)));
    match PeerFrame::decode(&mut bytes) {
        Ok(Some(PeerFrame::Suspects(decoded))) => assert_eq!(*decoded, records),
        other => panic!("{other:?}"),
    }
    arbtest::arbtest(|u| {
        let mut payload = postcard::to_stdvec(&PeerFrame::Ping).expect("a message");
        payload.extend(u.arbitrary::<Vec<u8>>()?);
        let mut bytes = BytesMut::from(&(payload.len() as u32).to_be_bytes()[..]);
        bytes.extend_from_slice(&payload);
        let _ = PeerFrame::decode(&mut bytes);
        Ok(())
    });
}

/// Length of a step of the fleet.
const STEP: Duration = Duration::from_millis(10);

/// Steps after which a run gets its response, and after which the culprit crashes its server.
const RUN_STEPS: u64 = 10;
const CRASH_STEPS: u64 = 5;

/// Steps until a crashed server is back, and until records reach the peers.
const RESTART_STEPS: u64 = 300;
const RECORD_STEPS: u64 = 2;

/// Steps between the arrivals of the culprit, which its caller sends a second time at once.
const CULPRIT_STEPS: u64 = 150;

/// Steps after the third crash from which further runs of the culprit are counted, and most of them.
const COUNT_STEPS: u64 = 300;
const ALLOWED_RUNS: usize = 3;

const CULPRIT: RequestFingerprint = RequestFingerprint(1);
const POPULAR: RequestFingerprint = RequestFingerprint(2);

struct Run {
    request: RequestFingerprint,
    daemon: usize,
    entry: usize,
    ends_at: u64,
    is_isolated: bool,
}

/// Fleet in which a culprit, one popular request and rare ones run at the servers of one service.
struct CrashFleet {
    clock: ManualClock,
    step: u64,
    tables: Vec<SuspectTable>,
    servers: usize,
    down_until: Vec<u64>,
    runs: Vec<Run>,
    records: Vec<(u64, Vec<SuspectRecord>)>,
    culprit_runs: Vec<u64>,
    crashes: Vec<u64>,
    innocent_arrivals: usize,
    refused_innocents: usize,
    rng: Pcg64Mcg,
}

impl CrashFleet {
    fn new(daemons: usize, servers: usize, seed: u64) -> Self {
        Self {
            clock: ManualClock::new(),
            step: 0,
            tables: (0..daemons).map(|_| SuspectTable::default()).collect(),
            servers,
            down_until: vec![0; servers],
            runs: Vec::new(),
            records: Vec::new(),
            culprit_runs: Vec::new(),
            crashes: Vec::new(),
            innocent_arrivals: 0,
            refused_innocents: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    fn play(&mut self, steps: u64) {
        while self.step < steps {
            if self.step % CULPRIT_STEPS < 2 {
                self.enter(CULPRIT);
            }
            for _ in 0..self.servers {
                self.enter(POPULAR);
            }
            let rare = RequestFingerprint(self.rng.random());
            self.enter(rare);
            self.end_runs();
            self.deliver();
            self.step += 1;
            self.clock.advance(STEP);
        }
    }

    fn enter(&mut self, request: RequestFingerprint) {
        let entry = self.rng.random_range(0..self.tables.len());
        let verdict = self.tables[entry].verdict(request, self.clock.now());
        let is_refused = verdict == SuspectVerdict::Refused;
        if request != CULPRIT {
            self.innocent_arrivals += 1;
            self.refused_innocents += usize::from(is_refused);
        }
        if !is_refused {
            self.send(request, entry);
        }
    }

    /// Sends a request to a server that is up, unless none accepts it.
    fn send(&mut self, request: RequestFingerprint, entry: usize) {
        let offset = self.rng.random_range(0..self.servers);
        for number in 0..self.servers {
            let daemon = (offset + number) % self.servers;
            if self.down_until[daemon] > self.step {
                continue;
            }
            let now = self.clock.now();
            let table = &mut self.tables[daemon];
            let is_isolated = match table.verdict(request, now) {
                SuspectVerdict::Free => false,
                SuspectVerdict::Refused => return,
                SuspectVerdict::Isolated if table.start_isolated(request, now) => true,
                SuspectVerdict::Isolated => continue,
            };
            let is_culprit = request == CULPRIT;
            if is_culprit {
                self.culprit_runs.push(self.step);
            }
            let length = if is_culprit { CRASH_STEPS } else { RUN_STEPS };
            self.runs.push(Run {
                request,
                daemon,
                entry,
                ends_at: self.step + length,
                is_isolated,
            });
            return;
        }
    }

    fn end_runs(&mut self) {
        let step = self.step;
        let ended: Vec<Run> = self
            .runs
            .extract_if(.., |run| run.ends_at <= step)
            .collect();
        for run in ended {
            if run.is_isolated {
                self.tables[run.daemon].end_isolated(run.request);
            }
            if self.down_until[run.daemon] > step {
                continue;
            }
            if run.request == CULPRIT {
                self.crash(run);
            } else {
                self.tables[run.daemon].record_response(run.request);
            }
        }
        for daemon in 0..self.servers {
            let changes = self.tables[daemon].take_changes();
            if !changes.is_empty() {
                self.records.push((step + RECORD_STEPS, changes));
            }
        }
    }

    /// Ends the server of a run with all of its runs; their entries retry those that may be retried.
    fn crash(&mut self, culprit: Run) {
        let now = self.clock.now();
        let daemon = culprit.daemon;
        self.down_until[daemon] = self.step + RESTART_STEPS;
        self.crashes.push(self.step);
        let crash = CrashId(self.crashes.len() as u64);
        let mut broken: Vec<Run> = self
            .runs
            .extract_if(.., |run| run.daemon == daemon)
            .collect();
        broken.push(culprit);
        for run in broken {
            let table = &mut self.tables[daemon];
            table.end_isolated(run.request);
            table.record_crash(run.request, crash, now);
            table.announce(run.request);
            self.tables[run.entry].record_crash(run.request, crash, now);
            if self.tables[run.entry].may_retry(run.request) {
                self.send(run.request, run.entry);
            }
        }
    }

    fn deliver(&mut self) {
        let step = self.step;
        let now = self.clock.now();
        for (_, records) in self.records.extract_if(.., |(at, _)| *at <= step) {
            for table in &mut self.tables {
                for record in &records {
                    table.merge(record, now);
                }
            }
        }
    }
}

/// Guards against a culprit that reaches more servers than allowed, and against other requests that
/// are refused because they ran beside it.
#[test]
fn only_the_culprit_is_refused_in_fleets_of_each_size() {
    for (daemons, servers) in [(15, 3), (30, 6), (194, 40)] {
        for seed in [3, 17, 41] {
            let mut fleet = CrashFleet::new(daemons, servers, seed);
            fleet.play(12_000);
            let third = fleet.crashes[2];
            let late = fleet.culprit_runs.iter();
            let late = late.filter(|step| **step > third + COUNT_STEPS).count();
            assert!(
                late <= ALLOWED_RUNS,
                "{daemons}, seed {seed}: {late} late runs"
            );
            let (refused, arrivals) = (fleet.refused_innocents, fleet.innocent_arrivals);
            assert!(
                refused * 500 <= arrivals,
                "{daemons}, seed {seed}: {refused} of {arrivals} others were refused"
            );
        }
    }
}
