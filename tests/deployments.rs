//! End-to-end sessions with the profiles of the example sets, through real daemons.
#![allow(clippy::unwrap_used)]

mod support;

use skylarkstream::{
    shell::{header_names, profiles_report::ProfilesReport},
    standin::{
        backend_server::{BackendBehaviour, DownstreamCall},
        service_chain::{ChainInstance, ServiceChain},
    },
};
use std::{fmt::Write, fs, time::Duration};
use support::{ReceivedResponse, get, try_send, wait_until};

/// Context headers that have no effect when an external caller sends them.
const FORGED_HEADERS: [(&str, &str); 9] = [
    ("skylark-priority", "0.0.0"),
    ("skylark-allowance", "9"),
    ("skylark-attempt", "00000000000000ab"),
    (
        "skylark-request",
        "000000000000000000000000000000ab-00000000000000ab",
    ),
    ("skylark-depth", "17"),
    ("skylark-age-us", "60000000"),
    ("skylark-cluster", "elsewhere"),
    ("skylark-caller", "documents"),
    ("skylark-resume", "1"),
];

/// Route that is only in the newer version of a profile.
const NEW_ROUTE: &str = r#"
[[routes]]
method = "POST"
path = "/recalls"
class = "background"
ticket = "required"
deadline_ms = 1500
"#;

/// Example set of profiles, with the requests of its session.
struct ExampleSet {
    name: &'static str,
    /// Service that receives most requests and calls the others.
    entry: &'static str,
    /// Services that the entry calls, each with the path of the call.
    calls: [(&'static str, &'static str); 3],
    /// Class, receiving service and request line.
    requests: &'static [(&'static str, &'static str, &'static str)],
    /// Requests to the entry that require a ticket.
    ticketed: &'static [&'static str],
}

/// Running chain of an example set, and the transcript of its requests and responses.
struct Session {
    chain: ServiceChain,
    sent_requests: u64,
    transcript: String,
}

impl ExampleSet {
    fn profile(&self, name: &str) -> String {
        let root = env!("CARGO_MANIFEST_DIR");
        let path = format!("{root}/examples/{}/profiles/{name}.toml", self.name);
        fs::read_to_string(path).unwrap()
    }

    /// Starts one instance of each service and waits until they have their configuration.
    async fn start(&self) -> Session {
        let behaviour = |calls| BackendBehaviour {
            slots: 8,
            service_time: Duration::from_millis(1),
            calls,
        };
        let calls = self.calls.map(|(service, path)| DownstreamCall {
            service: service.into(),
            path: path.into(),
        });
        let mut builder = ServiceChain::builder()
            .profile(self.entry, self.profile(self.entry))
            .service(self.entry, self.entry, 1, behaviour(calls.to_vec()));
        for (service, _) in self.calls {
            builder = builder.profile(service, self.profile(service)).service(
                service,
                service,
                1,
                behaviour(Vec::new()),
            );
        }
        let chain = builder.start().await.unwrap();
        for instance in &chain.instances {
            wait_until("the first configuration", async || {
                has_configuration(instance).await
            })
            .await;
        }
        Session {
            chain,
            sent_requests: 0,
            transcript: String::new(),
        }
    }

    /// Runs the session and returns its transcript.
    async fn run(&self) -> String {
        let mut session = self.start().await;
        for (class, service, request) in self.requests {
            session.send(class, service, request, &[]).await;
        }
        let request = "GET /exports";
        session
            .send("forged", self.entry, request, &FORGED_HEADERS)
            .await;
        let short_deadline = [("skylark-deadline-us", "1")];
        session
            .send("short", self.entry, request, &short_deadline)
            .await;
        let undeclared_host = [("host", self.entry)];
        let caller = self.calls[0].0;
        session
            .send("undeclared", caller, "GET /x", &undeclared_host)
            .await;
        for request in self.ticketed {
            let refused = session.send("no ticket", self.entry, request, &[]).await;
            let ticket = [(
                "skylark-ticket",
                refused.header(header_names::TICKET.as_str()),
            )];
            session.send("ticket", self.entry, request, &ticket).await;
            session.send("repeat", self.entry, request, &ticket).await;
        }
        self.publish(&mut session).await;
        session.finish().await
    }

    /// Publishes a newer profile of the entry, then one that is refused for a misspelt key.
    async fn publish(&self, session: &mut Session) {
        let request = "POST /recalls";
        session.send("version 1", self.entry, request, &[]).await;
        let published = self.profile(self.entry);
        let newer = format!("{published}{NEW_ROUTE}");
        let misspelt = published.replace("queue_length", "queue_lenght");
        assert_ne!(misspelt, published);
        let key = format!("profiles/{}", self.entry);
        for (version, text) in [(2, newer), (3, misspelt)] {
            assert_eq!(session.chain.platform.publish(&key, text), version);
            let entry = &session.chain.instances[0];
            let mut line = String::new();
            wait_until("the publication", async || {
                let report = profiles(entry).await;
                let in_force = report.profiles[0].version;
                let mut keys = report.catalogue.keys.into_iter();
                let refusal = keys.find(|found| found.key == key).unwrap().refusal;
                line = format!("published {version}: in force {in_force:?}, refused {refusal:?}");
                in_force == Some(version) || refusal.is_some_and(|found| found.version == version)
            })
            .await;
            writeln!(session.transcript, "{line}").unwrap();
            session.send("then", self.entry, request, &[]).await;
        }
    }
}

impl Session {
    /// Sends a request and adds its response to the transcript. A request with a `host` header goes
    /// to the outbound listener, others to the edge listener.
    async fn send(
        &mut self,
        step: &str,
        service: &str,
        request: &str,
        headers: &[(&str, &str)],
    ) -> ReceivedResponse {
        self.sent_requests += 1;
        let mut instances = self.chain.instances.iter();
        let instance = instances.find(|found| found.settings.service == service);
        let instance = instance.unwrap();
        let is_outbound = headers.iter().any(|(name, _)| *name == "host");
        let (listener, address) = match is_outbound {
            true => ("outbound", instance.settings.outbound),
            false => ("edge", instance.settings.edge),
        };
        // A fixed trace id gives a fixed rank, on which `Retry-After` depends.
        let trace = format!("00-{:032x}-00000000000000cd-01", self.sent_requests);
        let headers = [headers, &[("traceparent", trace.as_str())]].concat();
        let (method, path) = request.split_once(' ').unwrap();
        let method = method.parse().unwrap();
        let response = try_send(method, address, path, &headers, "order 4").await;
        let response = response.unwrap();
        let (status, runs) = (response.status.as_u16(), instance.backend.runs());
        let (outcome, reason) = (response.outcome(), response.reason());
        let text = &mut self.transcript;
        writeln!(text, "{step}: {request} to {service} {listener}").unwrap();
        writeln!(text, "  {status} {outcome} {reason}, runs {runs}").unwrap();
        for (name, value) in &response.headers {
            let value = match name.as_str() {
                "date" | "skylark-outcome" | "skylark-reason" => continue,
                "skylark-ticket" => "<ticket>",
                _ => value.to_str().unwrap(),
            };
            writeln!(text, "  {name}: {value}").unwrap();
        }
        let body = response.body.as_deref().unwrap_or("<aborted>");
        writeln!(text, "  {}", body.trim_end()).unwrap();
        response
    }

    /// Adds the runs of each backend server and the request counters of its daemon to the
    /// transcript.
    async fn finish(mut self) -> String {
        for instance in &self.chain.instances {
            let (runs, service) = (instance.backend.runs(), &instance.settings.service);
            writeln!(self.transcript, "{service}: runs {runs}").unwrap();
            let mut counts = Vec::new();
            let sent = format!("to {service} edge");
            let sent = self.transcript.lines().filter(|line| line.ends_with(&sent));
            let expected = runs.max(sent.count() as u64);
            // A daemon counts a request only after its caller has received the response.
            wait_until("the count of each request", async || {
                let metrics = get(instance.settings.admin, "/metrics").await.unwrap();
                let names = ["skylark_requests_total", "skylark_attempts_total"];
                let lines = metrics.lines().map(str::to_owned);
                counts = lines
                    .filter(|line| names.iter().any(|name| line.starts_with(name)))
                    .collect();
                let requests = counts.iter().filter(|line| line.starts_with(names[0]));
                let requests = requests.map(|line| line.rsplit_once(' ').unwrap().1);
                let counted = requests.map(|count| count.parse::<u64>().unwrap());
                counted.sum::<u64>() >= expected
            })
            .await;
            counts.sort();
            for count in counts {
                writeln!(self.transcript, "  {count}").unwrap();
            }
        }
        self.chain.stop().await;
        self.transcript
    }
}

async fn profiles(instance: &ChainInstance) -> ProfilesReport {
    let body = get(instance.settings.admin, "/profiles").await.unwrap();
    serde_json::from_str(&body).unwrap()
}

/// Returns whether the profiles and instances of all services that a daemon uses are in force.
async fn has_configuration(instance: &ChainInstance) -> bool {
    let report = profiles(instance).await;
    let is_listed = |service| {
        let key = format!("instances/{service}");
        let mut keys = report.catalogue.keys.iter();
        keys.any(|found| found.key == key && found.version.is_some())
    };
    let mut entries = report.profiles.iter();
    entries.all(|entry| entry.version.is_some()) && instance.settings.calls.iter().all(is_listed)
}

/// Guards against changed responses, request classes or numbers of runs in the dispatch mesh.
#[tokio::test(flavor = "multi_thread")]
async fn dispatch_mesh_session() {
    let set = ExampleSet {
        name: "dispatch-mesh",
        entry: "tug-dispatch",
        calls: [
            ("gate-status", "/stands/4"),
            ("crew-roster", "/roster/42"),
            ("documents", "/flights/7"),
        ],
        requests: &[
            ("assignment", "tug-dispatch", "GET /assignments/7"),
            ("stand-status", "tug-dispatch", "PUT /stands/4"),
            ("roster", "tug-dispatch", "GET /roster/42"),
            ("documents", "documents", "GET /manuals/9"),
            ("background", "tug-dispatch", "GET /exports"),
        ],
        ticketed: &["POST /assignments"],
    };
    insta::assert_snapshot!(set.run().await);
}

/// Guards against changed responses, request classes or numbers of runs in the trips platform.
#[tokio::test(flavor = "multi_thread")]
async fn trips_platform_session() {
    let set = ExampleSet {
        name: "trips-platform",
        entry: "bookings",
        calls: [
            ("catalogue", "/trips/12"),
            ("documents", "/permission-packs/3"),
            ("trip-tracking", "/positions/8"),
        ],
        requests: &[
            ("booking", "bookings", "GET /bookings/7"),
            ("tracking", "trip-tracking", "PUT /positions/8"),
            ("permission-pack", "documents", "GET /permission-packs/3"),
            ("browse", "catalogue", "GET /trips/12"),
            ("background", "bookings", "GET /exports"),
        ],
        ticketed: &["POST /bookings", "POST /deposits"],
    };
    insta::assert_snapshot!(set.run().await);
}
