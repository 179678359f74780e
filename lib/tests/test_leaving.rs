//! A leaving upstream receives no new work; see `docs/design/stopping.md`.

use std::time::Duration;

use endivescale_testutils::caller;
use endivescale_testutils::caller::plan::Class;
use endivescale_testutils::caller::plan::Phase;
use endivescale_testutils::caller::plan::Plan;
use endivescale_testutils::caller::report::Report;
use endivescale_testutils::link::Link;
use endivescale_testutils::link::LinkMode;
use endivescale_testutils::process::wait_until;
use endivescale_testutils::upstream::ledger::State;
use tokio::task::JoinHandle;

use crate::cluster::CAP;
use crate::cluster::Cluster;

/// Time after which a leaving upstream may receive no new work.
const LEAVE_LIMIT: Duration = Duration::from_secs(3);

/// Index of the instance that leaves.
const LEAVER: usize = 0;

/// How the leaving becomes known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Told {
    /// The daemon is told to stop; the platform's list lags throughout.
    Daemon,
    /// The platform's list says so.
    List,
    /// Nobody says so but the list, which lags throughout; the variant without
    /// the mechanism.
    Nobody,
}

fn class(name: &str, service: &str, method: &str, path: &str) -> Class {
    Class {
        name: name.to_owned(),
        service: service.to_owned(),
        method: method.to_owned(),
        path: path.to_owned(),
        weight: 1,
        deadline_ms: 3_000,
        request_bytes: 0,
        answer_bytes: 500,
        answer_rate: None,
    }
}

fn demand(cluster: &Cluster, seconds: u64) -> JoinHandle<Report> {
    tokio::spawn(caller::run(Plan {
        seed: 21,
        entries: cluster.entries(),
        phases: vec![Phase { rate: 200.0, for_ms: seconds * 1_000 }],
        classes: vec![
            class("browsing", "listings", "GET", "/open"),
            class("submissions", "submission", "POST", "/expressions/1"),
        ],
        hard_retries: 0,
        cancel_per_mille: 0,
    }))
}

/// Number of requests that have reached the leaver's upstream.
fn reached(cluster: &Cluster) -> usize {
    cluster.instances[LEAVER].upstream.entries().len()
}

/// Requests that reach the leaver's upstream later than [`LEAVE_LIMIT`] after
/// it is known to leave, while links to it do as `link` says.
async fn late_work(told: Told, link: LinkMode) -> (usize, Report) {
    let mut cluster = Cluster::start(&["listings", "submission"], 3, 16).await;
    let links = Link::start(cluster.instances[LEAVER].place.peer).await.unwrap();
    cluster.instances[LEAVER].place.peer = links.addr();
    cluster.list("live", |_| false);
    let demand = demand(&cluster, 8);
    let start = reached(&cluster);
    let served = async || reached(&cluster) > start + 20;
    wait_until("work at the leaver", CAP, served).await.unwrap();
    links.set(link);
    let mut stopping = None;
    match told {
        Told::Daemon => {
            let daemon = cluster.instances[LEAVER].daemon.take().unwrap();
            stopping = Some(tokio::spawn(daemon.stop()));
        }
        Told::List => {
            let leaver = cluster.instances[LEAVER].place.instance.clone();
            cluster.list("leaving", |place| place.instance == leaver);
        }
        Told::Nobody => {}
    }
    tokio::time::sleep(LEAVE_LIMIT).await;
    let at_limit = reached(&cluster);
    let report = demand.await.unwrap();
    if let Some(stopping) = stopping {
        assert_eq!(stopping.await.unwrap(), 0);
    }
    let entries = cluster.ended_entries().await;
    for seen in report.classes.values() {
        let lies = seen.told_not_run.iter().filter(|(mark, attempt)| {
            let ran = |entry: &&_| is_run(entry, mark, *attempt);
            entries.iter().find(ran).is_some()
        });
        assert_eq!(lies.count(), 0);
    }
    (reached(&cluster) - at_limit, report)
}

fn is_run(
    entry: &endivescale_testutils::upstream::ledger::Entry,
    mark: &str,
    attempt: u64,
) -> bool {
    entry.mark == mark && entry.attempt == attempt && entry.state != State::Shed
}

macro_rules! leaving_cases {
    ($($name:ident: $told:expr, $link:expr;)*) => {$(
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            let (late, report) = late_work($told, $link).await;
            assert_eq!(late, 0, "{report:?}");
            assert!(report.classes.values().all(|seen| seen.wrong + seen.broken == 0));
        }
    )*};
}

leaving_cases! {
    holds_leaving_with_a_list_that_lags: Told::Daemon, LinkMode::Pass;
    holds_leaving_with_answers_to_peers_lost: Told::Daemon, LinkMode::LoseAnswers;
    holds_leaving_with_peers_cut_off: Told::Daemon, LinkMode::Cut;
    holds_leaving_when_the_list_says_so: Told::List, LinkMode::Pass;
    holds_leaving_when_the_list_says_so_and_peers_are_cut_off: Told::List, LinkMode::LoseAll;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn holds_leaving_is_broken_by_waiting_for_the_list() {
    let (late, _) = late_work(Told::Nobody, LinkMode::Pass).await;
    assert!(late > 0);
}
