use std::time::Duration;

use endivescale_testutils::caller;
use endivescale_testutils::caller::plan::Class;
use endivescale_testutils::caller::plan::Phase;
use endivescale_testutils::caller::plan::Plan;
use endivescale_testutils::caller::report::Report;
use endivescale_testutils::process::wait_until;

use crate::cluster::CAP;
use crate::cluster::Cluster;

/// Seed of the callers.
const SEED: u64 = 46;
/// Slots of the only instance.
const SLOTS: usize = 4;
/// Time of one request in its slot, in milliseconds: 80 requests a second fit.
const SERVICE_MS: f64 = 50.0;
/// Requests a second, of which one in six is a submission.
const SURGE_RATE: f64 = 360.0;
/// Length of the surge, in milliseconds.
const SURGE_MS: u64 = 3_000;
/// Least distance between the shares answered whole of submissions and others.
const MARGIN: f64 = 0.2;

/// The path of each class with the criticality that its rule gives it.
type Order = [(&'static str, &'static str); 3];

const IN_ORDER: Order =
    [("submission", "critical"), ("browsing", "normal"), ("download", "deferrable")];
const REVERSED: Order =
    [("submission", "deferrable"), ("browsing", "normal"), ("download", "critical")];

fn rules(order: &Order) -> String {
    let line = |(path, criticality): &(&str, &str)| {
        format!(
            "listings GET /{path}/** criticality={criticality} retries=0 deadline=2s wait  \
             # asked by Narantuya, review panel desk\n"
        )
    };
    order.iter().map(line).collect()
}

fn plan(cluster: &Cluster) -> Plan {
    let class = |name: &str, weight| Class {
        name: name.to_owned(),
        service: "listings".to_owned(),
        method: "GET".to_owned(),
        path: format!("/{name}/1"),
        weight,
        deadline_ms: 5_000,
        request_bytes: 0,
        answer_bytes: 256,
        answer_rate: None,
    };
    Plan {
        seed: SEED,
        entries: cluster.entries(),
        phases: vec![Phase { rate: SURGE_RATE, for_ms: SURGE_MS }],
        classes: vec![class("submission", 2), class("browsing", 5), class("download", 5)],
        hard_retries: 0,
        cancel_per_mille: 0,
    }
}

async fn surge(order: &Order) -> Report {
    let cluster = Cluster::start(&["listings"], 1, SLOTS).await;
    for upstream in cluster.upstreams("listings") {
        upstream.change(|behaviour| behaviour.service_ms = SERVICE_MS);
    }
    let version = cluster.platform.put_rules(None, &rules(order));
    for instance in &cluster.instances {
        let node = instance.daemon.as_ref().unwrap().node();
        let in_force = async || node.rules().is_some_and(|rules| rules.version() == version);
        wait_until("rules in force", CAP, in_force).await.unwrap();
    }
    let report = caller::run(plan(&cluster)).await;
    cluster.ended_entries().await;
    report
}

fn share(report: &Report, class: &str) -> f64 {
    let class = &report.classes[class];
    class.whole as f64 / class.asked as f64
}

/// Whether submissions were shed last, by the margin, and downloads first.
fn sheds_in_order(report: &Report) -> bool {
    let [submission, browsing, download] =
        ["submission", "browsing", "download"].map(|class| share(report, class));
    println!("submission {submission:.2}, browsing {browsing:.2}, download {download:.2}");
    submission >= browsing + MARGIN && browsing >= download
}

macro_rules! cases {
    ($($name:ident: $order:expr => $holds:expr;)*) => {
        $(
            #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
            async fn $name() {
                let surged = tokio::time::timeout(Duration::from_secs(60), surge(&$order));
                assert_eq!(sheds_in_order(&surged.await.unwrap()), $holds);
            }
        )*
    };
}

cases! {
    holds_shedding_at_a_daemon_under_a_surge: IN_ORDER => true;
    holds_shedding_at_a_daemon_is_broken_by_rules_in_reverse: REVERSED => false;
}
