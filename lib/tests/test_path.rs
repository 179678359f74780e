//! The whole path in one process: caller, entry, owner, upstream and back.

use std::net::SocketAddr;

use endivescale::process::daemon::Daemon;
use endivescale::process::settings::Settings;
use endivescale::request::OUTCOME;
use endivescale::request::REASON;
use endivescale::request::TOKEN;
use endivescale_testutils::http::Client;
use endivescale_testutils::http::full;
use endivescale_testutils::mark::MarkStream;
use endivescale_testutils::mark::Side;
use endivescale_testutils::platform::ListedVm;
use endivescale_testutils::platform::Platform;
use endivescale_testutils::upstream::Upstream;
use endivescale_testutils::upstream::behaviour::Behaviour;
use endivescale_testutils::upstream::behaviour::OwnCall;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt as _;

const RULES: &str = "\
listings GET /** criticality=normal weight=1 idempotent retries=2 deadline=5s wait # asked by Oyun, listings
submission POST /** criticality=critical weight=10 non-idempotent retries=2 deadline=5s wait # asked by Bold, review desk
matching GET /** criticality=normal weight=1 idempotent retries=2 deadline=5s wait # asked by Oyun, alerts
";

struct Instance {
    daemon: Daemon,
    upstream: Upstream,
}

struct World {
    platform: Platform,
    instances: Vec<Instance>,
}

fn any() -> SocketAddr {
    "127.0.0.1:0".parse().unwrap()
}

fn settings(service: &str, upstream: SocketAddr, platform: SocketAddr) -> Settings {
    let text = format!(
        "[daemon]\ninstance = \"{service}-a\"\nservice = \"{service}\"\nzone = \"a\"\nregion = \"r\"\n\
         [listen]\ncaller = \"127.0.0.1:0\"\nupstream = \"127.0.0.1:0\"\npeer = \"127.0.0.1:0\"\n\
         control = \"127.0.0.1:0\"\noperator = \"127.0.0.1:0\"\n\
         [upstream]\naddress = \"{upstream}\"\nslots = 8\nconnections = 64\n\
         [platform]\naddress = \"{platform}\"\n"
    );
    Settings::parse("test.toml", &text).unwrap()
}

async fn world(services: &[&str]) -> World {
    let platform = Platform::start(any()).await.unwrap();
    platform.put_rules(None, RULES);
    let mut instances = Vec::new();
    let mut vms = Vec::new();
    for service in services {
        let upstream = Upstream::start(any(), any(), 8, Behaviour::default()).await.unwrap();
        let daemon = Daemon::start(settings(service, upstream.addr(), platform.addr()));
        let daemon = daemon.await.unwrap();
        vms.push(ListedVm {
            instance: format!("{service}-a"),
            service: (*service).to_owned(),
            zone: "a".to_owned(),
            region: "r".to_owned(),
            peer: daemon.addresses().peer,
            control: daemon.addresses().control.expect("a control listener"),
            state: "live".to_owned(),
        });
        instances.push(Instance { daemon, upstream });
    }
    platform.put_vms(&vms);
    for instance in &instances {
        let mut vms = instance.daemon.node().config().vms.clone();
        vms.wait_for(Option::is_some).await.unwrap();
        let mut ready = instance.daemon.node().config().ready.clone();
        ready.wait_for(|ready| *ready).await.unwrap();
    }
    World { platform, instances }
}

impl World {
    async fn ask(&self, entry: usize, req: Request<()>) -> Response<bytes::Bytes> {
        let client = Client::default();
        let addr = self.instances[entry].daemon.addresses().caller;
        let req = req.map(|()| full(""));
        let (rsp, busy) = client.send(addr, req).await.unwrap();
        let (parts, body) = rsp.into_parts();
        let body = body.collect().await.unwrap().to_bytes();
        busy.keep();
        Response::from_parts(parts, body)
    }
}

fn request(method: &str, service: &str, mark: &str) -> Request<()> {
    Request::builder()
        .method(method)
        .uri("/item")
        .header("host", service)
        .header("x-mark", mark)
        .header("x-attempt", "0")
        .body(())
        .unwrap()
}

fn header(rsp: &Response<bytes::Bytes>, name: http::HeaderName) -> &str {
    rsp.headers()[name].to_str().unwrap()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_idempotent_request_is_answered_whole_through_another_daemon() {
    let world = world(&["listings", "matching"]).await;
    let rsp = world.ask(1, request("GET", "listings", "m1")).await;
    assert_eq!(rsp.status(), StatusCode::OK);
    assert!(MarkStream::new("m1", Side::Answer).matches(0, rsp.body()));
    assert_eq!(world.instances[0].upstream.entries().len(), 1);
    assert!(!rsp.headers().contains_key("endivescale-retries-left"));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_submission_runs_at_most_once_whichever_entry_its_resends_take() {
    let world = world(&["submission", "listings"]).await;
    let refused = world.ask(1, request("POST", "submission", "m2")).await;
    assert_eq!(refused.status(), StatusCode::PRECONDITION_REQUIRED);
    assert_eq!(header(&refused, OUTCOME), "not-run");
    let token = header(&refused, TOKEN);
    for entry in [1, 0, 1] {
        let mut req = request("POST", "submission", "m2");
        req.headers_mut().insert(TOKEN, token.parse().unwrap());
        let rsp = world.ask(entry, req).await;
        assert_eq!(rsp.status(), StatusCode::OK, "{:?}", rsp.headers());
        assert!(MarkStream::new("m2", Side::Answer).matches(0, rsp.body()));
    }
    assert_eq!(world.instances[0].upstream.entries().len(), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_upstream_calls_a_deeper_service_through_its_daemon() {
    let world = world(&["submission", "matching"]).await;
    let outbound = world.instances[0].daemon.addresses().upstream;
    world.instances[0].upstream.change(|behaviour| {
        behaviour.daemon = Some(outbound);
        behaviour.calls = vec![OwnCall {
            on: "/".to_owned(),
            service: "matching".to_owned(),
            method: "GET".to_owned(),
            path: "/matches".to_owned(),
            hard_retries: 0,
            required: true,
        }];
    });
    let refused = world.ask(0, request("POST", "submission", "m3")).await;
    let mut req = request("POST", "submission", "m3");
    req.headers_mut().insert(TOKEN, refused.headers()[TOKEN].clone());
    let rsp = world.ask(0, req).await;
    assert_eq!(rsp.status(), StatusCode::OK, "{:?}", rsp.headers());
    assert_eq!(world.instances[1].upstream.entries().len(), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_unknown_service_is_refused_as_not_run() {
    let world = world(&["listings", "submission"]).await;
    let rsp = world.ask(0, request("GET", "nowhere", "m4")).await;
    assert_eq!(header(&rsp, OUTCOME), "not-run");
    assert_eq!(header(&rsp, REASON), "unknown-service");
    assert!(!rsp.headers().contains_key(TOKEN));
    let handed_out = world.ask(0, request("POST", "submission", "m4")).await;
    let mut req = request("POST", "nowhere", "m4");
    req.headers_mut().insert(TOKEN, handed_out.headers()[TOKEN].clone());
    let rsp = world.ask(0, req).await;
    assert_eq!(header(&rsp, OUTCOME), "not-run");
    assert_eq!(header(&rsp, REASON), "unknown-service");
    assert!(world.platform.calls().values().sum::<u64>() > 0);
}
