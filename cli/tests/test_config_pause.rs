//! A daemon that was paused must not serve by the rules version from before the
//! pause; see `docs/design/configuration.md`.

use std::net::SocketAddr;
use std::time::Duration;

use endivescale_testutils::error::StandInError;
use endivescale_testutils::http::Client;
use endivescale_testutils::http::full;
use endivescale_testutils::platform::Mode;
use endivescale_testutils::process::Signal;
use endivescale_testutils::process::wait_until;
use http::Request;
use http_body_util::BodyExt as _;

use crate::processes::MAX_WAIT;
use crate::processes::RULES;
use crate::processes::TestCluster;

/// Index of the daemon that is paused.
const PAUSED_DAEMON: usize = 0;

/// Duration of the pause; longer than the gap by which a daemon detects one.
const PAUSE_DURATION: Duration = Duration::from_secs(3);

/// Returns the rules version of a serving daemon, or `None` if it is not serving.
async fn serving_version(operator: SocketAddr) -> Result<Option<u64>, StandInError> {
    let client = Client::default();
    let req = Request::get("/status").header("host", "operator").body(full("")).unwrap();
    let (rsp, _busy) = client.send(operator, req).await?;
    let body = rsp.into_body().collect().await.unwrap().to_bytes();
    let status: serde_json::Value = serde_json::from_slice(&body).unwrap();
    let is_serving = status["state"] == "serving";
    Ok(status["rules"]["version"].as_u64().filter(|_| is_serving))
}

async fn wait_for_version(operator: SocketAddr, expected: u64) {
    let in_force = async || serving_version(operator).await.ok().flatten() == Some(expected);
    wait_until("the version is in force", MAX_WAIT, in_force).await.unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn holds_config_daemon_that_slept() {
    let cluster = TestCluster::start("1m").await;
    let operator = |daemon: usize| cluster.places[daemon].operator;
    wait_for_version(operator(PAUSED_DAEMON), 1).await;
    cluster.daemons[PAUSED_DAEMON].signal(Signal::Stop).unwrap();

    cluster.platform.put_rules(Some(2), &format!("# Version 2.\n{RULES}"));
    for daemon in PAUSED_DAEMON + 1..cluster.daemons.len() {
        wait_for_version(operator(daemon), 2).await;
    }
    cluster.platform.set_mode(Mode::Down);

    // The status request waits in the paused daemon's socket and is answered as
    // soon as the daemon continues.
    let pending_version = tokio::spawn(serving_version(operator(PAUSED_DAEMON)));
    tokio::time::sleep(PAUSE_DURATION).await;
    cluster.daemons[PAUSED_DAEMON].signal(Signal::Cont).unwrap();
    let first_version = pending_version.await.unwrap().unwrap();
    assert_ne!(
        first_version,
        Some(1),
        "the daemon serves by the rules version from before the pause"
    );
    wait_for_version(operator(PAUSED_DAEMON), 2).await;
}
