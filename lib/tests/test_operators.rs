//! Operators' view of running daemons.

use std::net::SocketAddr;

use endivescale::operators;
use endivescale::process::burn::BurnReport;
use endivescale::process::burn::Fault;
use endivescale::process::burn::Origin;
use endivescale::process::burn::Role;
use endivescale::process::burn::merge;
use endivescale::process::metrics::Counter;
use endivescale::process::status::RulesReport;
use endivescale::process::status::State;
use endivescale::process::status::StatusReport;
use endivescale::request::Outcome;
use endivescale::request::Reason;
use endivescale_testutils::headers::MARK;
use endivescale_testutils::http::Client;
use endivescale_testutils::process::wait_until;
use http::Request;
use indexmap::IndexMap;

use crate::cluster::CAP;
use crate::cluster::Cluster;
use crate::cluster::ask;

const SERVICES: [&str; 2] = ["listings", "matching"];

fn operators_of(cluster: &Cluster) -> Vec<SocketAddr> {
    let daemons = cluster.instances.iter().filter_map(|instance| instance.daemon.as_ref());
    daemons.map(|daemon| daemon.addresses().operator).collect()
}

async fn burn(cluster: &Cluster) -> BurnReport {
    let answers = operators::query_all::<BurnReport>(&operators_of(cluster), "/burn").await;
    merge(answers.into_iter().map(|answer| answer.report.unwrap())).unwrap()
}

/// Requests, failures and causes of one class over the last hour.
fn class(
    burn: &BurnReport,
    role: Role,
    service: &str,
) -> (u64, u64, Vec<(Fault, Outcome, Origin)>) {
    let found = burn.classes.iter().find(|it| it.role == role && it.service.as_str() == service);
    let class = found.unwrap();
    let tally = class.windows.last().unwrap().tally;
    let causes = class.causes.iter().map(|cause| (cause.fault, cause.outcome, cause.origin));
    (tally.requests, tally.failed, causes.collect())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_are_counted_in_each_role_that_served_them() {
    let cluster = Cluster::start(&SERVICES, 1, 8).await;
    let before = burn(&cluster).await;
    let client = Client::default();
    let entry = cluster.entries()[1];
    for _ in 0..3 {
        let req = Request::get("/calls").header("host", "listings").header(MARK, "m");
        assert!(ask(&client, entry, req).await.unwrap().whole);
    }
    let after = burn(&cluster).await;
    for role in [Role::Entry, Role::Owner] {
        let (earlier, _, _) = class(&before, role, "listings");
        assert_eq!(class(&after, role, "listings").0, earlier + 3, "{role:?}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn refusal_is_counted_where_it_was_decided_and_where_it_was_told() {
    let cluster = Cluster::start(&SERVICES, 1, 8).await;
    let owner = &cluster.instances[0].daemon.as_ref().unwrap().addresses();
    operators::drain(&[owner.operator]).await;
    let client = Client::default();
    let req = Request::get("/calls").header("host", "listings").header(MARK, "m");
    let read = ask(&client, cluster.entries()[1], req).await.unwrap();
    assert_eq!(read.status, Reason::NoInstance.status());
    let entry = cluster.instances[1].daemon.as_ref().unwrap().node();
    assert_eq!(entry.metrics.get(Counter::PeersLost), 1);
    let after = burn(&cluster).await;
    let leaving = Fault::Refused(Reason::Leaving);
    let (_, _, causes) = class(&after, Role::Owner, "listings");
    assert_eq!(causes, [(leaving, Outcome::NotRun, Origin::Here)]);
    let (_, failed, causes) = class(&after, Role::Entry, "listings");
    let no_instance = Fault::Refused(Reason::NoInstance);
    assert_eq!((failed, causes), (1, vec![(no_instance, Outcome::NotRun, Origin::Here)]));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn status_shows_rules_peers_and_the_drain() {
    let cluster = Cluster::start(&SERVICES, 1, 8).await;
    let operator = operators_of(&cluster)[0];
    let status: StatusReport = operators::query(operator, "/status").await.unwrap();
    assert_eq!(status.state, State::Serving);
    assert_eq!(status.instance.as_str(), "listings-a");
    assert_eq!(status.admission.slots, 8);
    let rules: RulesReport = operators::query(operator, "/rules").await.unwrap();
    assert_eq!(status.rules.unwrap().version, rules.version);
    assert!(rules.text.contains("asked by Bat-Erdene"));
    assert!(status.peers.iter().any(|peer| peer.instance.as_str() == "matching-a"));
    let counters: IndexMap<String, u64> = operators::query(operator, "/counters").await.unwrap();
    assert!(counters["answers.whole"] > 0, "{counters:?}");
    let drained = operators::drain(&[operator]).await;
    assert!(drained[0].report.as_ref().unwrap().began);
    let again = operators::drain(&[operator]).await;
    assert!(!again[0].report.as_ref().unwrap().began);
    wait_until("drained", CAP, async || {
        let status: StatusReport = operators::query(operator, "/status").await.unwrap();
        status.state == State::Drained
    })
    .await
    .unwrap();
}

macro_rules! answered {
    ($($name:ident: $path:literal => $status:literal, $words:literal;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let cluster = Cluster::start(&["listings"], 1, 8).await;
            let asked = operators::query::<StatusReport>(operators_of(&cluster)[0], $path).await;
            let error = asked.unwrap_err().to_string();
            assert!(error.contains($status) && error.contains($words), "{error}");
        }
    )*};
}

answered! {
    unknown_path_is_told: "/nothing" => "404", "nothing is served at /nothing";
    wrong_method_is_told: "/drain" => "405", "the method does not fit the path";
}
