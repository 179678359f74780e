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
const SLEEPER: usize = 0;

/// Duration of the pause; longer than the gap by which a daemon detects one.
const SLEEP: Duration = Duration::from_secs(3);

/// Returns the rules version of a serving daemon, or `None` if it is not serving.
async fn version(operator: SocketAddr) -> Result<Option<u64>, StandInError> {
    let client = Client::default();
    let req = Request::get("/status").header("host", "operator").body(full("")).unwrap();
    let (answer, _busy) = client.send(operator, req).await?;
    let body = answer.into_body().collect().await.unwrap().to_bytes();
    let status: serde_json::Value = serde_json::from_slice(&body).unwrap();
    let serves = status["state"] == "serving";
    Ok(status["rules"]["version"].as_u64().filter(|_| serves))
}

async fn until_version(operator: SocketAddr, wanted: u64) {
    let holds = async || version(operator).await.ok().flatten() == Some(wanted);
    wait_until("the version is in force", MAX_WAIT, holds).await.unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn holds_config_daemon_that_slept() {
    let cluster = TestCluster::start("1m").await;
    let operator = |daemon: usize| cluster.places[daemon].operator;
    until_version(operator(SLEEPER), 1).await;
    cluster.daemons[SLEEPER].signal(Signal::Stop).unwrap();

    cluster.platform.put_rules(Some(2), &format!("# Version 2.\n{RULES}"));
    for daemon in SLEEPER + 1..cluster.daemons.len() {
        until_version(operator(daemon), 2).await;
    }
    cluster.platform.set_mode(Mode::Down);

    // The status request waits in the paused daemon's socket and is answered as
    // soon as the daemon continues.
    let asked = tokio::spawn(version(operator(SLEEPER)));
    tokio::time::sleep(SLEEP).await;
    cluster.daemons[SLEEPER].signal(Signal::Cont).unwrap();
    let first = asked.await.unwrap().unwrap();
    assert_ne!(first, Some(1), "the daemon serves by the rules version from before the pause");
    until_version(operator(SLEEPER), 2).await;
}
