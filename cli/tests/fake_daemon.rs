//! A fake daemon that serves only the operator API, with fixed reports.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use endivescale::process::Incarnation;
use endivescale::process::burn::BurnReport;
use endivescale::process::burn::BurnTracker;
use endivescale::process::burn::Cause;
use endivescale::process::burn::CauseReport;
use endivescale::process::burn::Class;
use endivescale::process::burn::Ending;
use endivescale::process::burn::Fault;
use endivescale::process::burn::Objectives;
use endivescale::process::burn::Origin;
use endivescale::process::burn::Role;
use endivescale::process::resources::HeldBytes;
use endivescale::process::status;
use endivescale::process::status::AdmissionStatus;
use endivescale::process::status::BannedContent;
use endivescale::process::status::CauseOfRefusal;
use endivescale::process::status::ClientsStatus;
use endivescale::process::status::DrainReport;
use endivescale::process::status::OperatorApi;
use endivescale::process::status::PeerStanding;
use endivescale::process::status::PeerStatus;
use endivescale::process::status::QueueStatus;
use endivescale::process::status::RulesReport;
use endivescale::process::status::RulesStatus;
use endivescale::process::status::State;
use endivescale::process::status::StatusReport;
use endivescale::process::status::TokenStatus;
use endivescale::process::status::VmsStatus;
use endivescale::request::Outcome;
use endivescale::request::Reason;
use endivescale::version::Criticality;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use indexmap::IndexMap;

const OVERLOADED: Cause = Cause {
    fault: Fault::Refused(Reason::Overloaded),
    outcome: Outcome::NotRun,
    origin: Origin::Here,
};

/// Implements the operator API with fixed data; only the drain state changes.
pub(crate) struct FakeDaemon {
    pub(crate) instance: &'static str,
    pub(crate) version: u64,
    draining: AtomicBool,
}

impl FakeDaemon {
    /// Serves the operator API on a free port until the test process exits.
    pub(crate) fn start(instance: &'static str, version: u64) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let daemon = Arc::new(Self { instance, version, draining: AtomicBool::new(false) });
        std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            runtime.unwrap().block_on(daemon.serve(listener));
        });
        address
    }

    async fn serve(self: Arc<Self>, listener: TcpListener) {
        listener.set_nonblocking(true).unwrap();
        let listener = tokio::net::TcpListener::from_std(listener).unwrap();
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            let daemon = Arc::clone(&self);
            let service = service_fn(move |req| {
                let rsp = status::serve(&*daemon, &req);
                async { Ok::<_, Infallible>(rsp) }
            });
            // Ignores a client that disconnects early; the test that started it fails.
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        }
    }

    fn state(&self) -> State {
        match self.draining.load(Ordering::SeqCst) {
            true => State::Draining,
            false => State::Serving,
        }
    }
}

/// Name of the instance whose upstream states a limit on the rate of requests.
pub(crate) const LIMITED_INSTANCE: &str = "submission-limited";

/// What the clients of [`LIMITED_INSTANCE`] hold.
const CLIENTS: ClientsStatus = ClientsStatus {
    connections: 120,
    max_connections: 1_950,
    held: HeldBytes {
        connections: 1_966_080,
        input: 0,
        requests: 24_000_000,
        responses: 512_000,
        sockets: 0,
    },
    max_bytes: 64_000_000,
    sender_bytes: 0,
    max_sender_bytes: 24_000_000,
};

impl OperatorApi for FakeDaemon {
    fn status(&self) -> StatusReport {
        let queue = |criticality, waiting| QueueStatus { criticality, waiting };
        let peer = |instance: &str, standing, outstanding, level: Option<&str>| PeerStatus {
            instance: instance.into(),
            service: "matching".into(),
            standing,
            outstanding,
            level: level.map(str::to_owned),
        };
        StatusReport {
            instance: self.instance.into(),
            service: "submission".into(),
            zone: "central-a".into(),
            region: "central".into(),
            incarnation: Incarnation(0xfeed),
            program: "0.1.0".to_owned(),
            uptime: Duration::from_secs(7_000),
            state: self.state(),
            in_progress: 43,
            rules: Some(RulesStatus { version: self.version, rules: 10 }),
            vms: Some(VmsStatus { version: 3, vms: 12 }),
            admission: AdmissionStatus {
                limit: 31,
                slots: 40,
                in_progress: 31,
                queues: vec![queue(Criticality::Critical, 2), queue(Criticality::Normal, 0)],
                level: "normal 50%".to_owned(),
                rate_limit: (self.instance == LIMITED_INSTANCE).then_some(33.2),
            },
            tokens: TokenStatus { used: 57, kept_answers: 50, bytes: 40_000 },
            peers: vec![
                peer("matching-a", PeerStanding::Working, 4, Some("all")),
                peer("matching-b", PeerStanding::Lost, 0, None),
            ],
            refusals: vec![CauseOfRefusal {
                role: Role::Owner,
                service: "submission".into(),
                criticality: Criticality::Normal,
                cause: CauseReport {
                    fault: OVERLOADED.fault,
                    outcome: OVERLOADED.outcome,
                    origin: OVERLOADED.origin,
                    count: 812,
                },
            }],
            customers: None,
            clients: (self.instance == LIMITED_INSTANCE).then_some(CLIENTS),
            banned: match self.instance == LIMITED_INSTANCE {
                true => vec![BannedContent {
                    content: "5d41402abc4b2a76".to_owned(),
                    left: Duration::from_secs(540),
                }],
                false => Vec::new(),
            },
        }
    }

    fn burn(&self) -> BurnReport {
        let now = Duration::from_secs(1_000);
        let mut burn = BurnTracker::new(self.instance.into(), Objectives::default());
        let class =
            |role, service: &str, criticality| Class { role, service: service.into(), criticality };
        let browsing = class(Role::Entry, "listings", Criticality::Normal);
        let submissions = class(Role::Entry, "submission", Criticality::Critical);
        let owner = class(Role::Owner, "submission", Criticality::Normal);
        for number in 0..100 {
            let at = now - Duration::from_secs(number);
            let complete = Ending::Complete(Duration::from_millis(10 + number));
            let failed = Ending::Failed(Cause { origin: Origin::Below, ..OVERLOADED });
            burn.record(at, &submissions, 10, complete);
            burn.record(at, &browsing, 2, if number % 20 < 2 { failed } else { complete });
        }
        burn.record(now, &owner, 1, Ending::Failed(OVERLOADED));
        burn.record(now, &owner, 1, Ending::Cancelled);
        burn.report(now)
    }

    fn counters(&self) -> IndexMap<String, u64> {
        IndexMap::from([("answers.whole".to_owned(), 190)])
    }

    fn rules(&self) -> Option<RulesReport> {
        let text = "submission POST /expressions/** criticality=critical # asked by Narantuya\n";
        Some(RulesReport { version: self.version, text: text.to_owned() })
    }

    fn drain(&self) -> DrainReport {
        let began = !self.draining.swap(true, Ordering::SeqCst);
        DrainReport { instance: self.instance.into(), state: self.state(), began, in_progress: 43 }
    }
}

/// A bound port without a listener, so that every connection is refused and no
/// other process can take the port.
pub(crate) struct ClosedPort(tokio::net::TcpSocket);

impl ClosedPort {
    pub(crate) fn new() -> Self {
        let socket = tokio::net::TcpSocket::new_v4().unwrap();
        socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
        Self(socket)
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.0.local_addr().unwrap()
    }
}
