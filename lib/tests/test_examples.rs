use std::path::Path;
use std::path::PathBuf;

use endivescale::process::settings::Settings;
use endivescale::version::Criticality;
use endivescale::version::rules::Rules;
use http::Method;

fn examples(extension: &str) -> Vec<PathBuf> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../examples");
    let entries = std::fs::read_dir(folder).unwrap().map(|entry| entry.unwrap().path());
    let mut files: Vec<_> =
        entries.filter(|path| path.extension() == Some(extension.as_ref())).collect();
    files.sort();
    files
}

fn rules(name: &str) -> Rules {
    let path = examples("rules").into_iter().find(|path| path.ends_with(name)).unwrap();
    Rules::parse(name, &std::fs::read_to_string(path).unwrap()).unwrap()
}

#[test]
fn every_example_is_without_fault() {
    for path in examples("toml") {
        Settings::load(&path).unwrap();
    }
    for path in examples("rules") {
        let text = std::fs::read_to_string(&path).unwrap();
        let parsed = Rules::parse("example", &text).unwrap();
        assert_eq!(parsed.to_string(), text, "{} is not in canonical form", path.display());
    }
    assert_eq!((examples("toml").len(), examples("rules").len()), (8, 2));
}

macro_rules! example_rule {
    ($($name:ident: $file:literal $service:literal $method:ident $path:literal => $criticality:ident, $idempotent:literal;)*) => {$(
        #[test]
        fn $name() {
            let rules = rules($file);
            let rule = rules.find($service, &Method::$method, $path);
            assert_eq!((rule.criticality, rule.idempotent), (Criticality::$criticality, $idempotent));
        }
    )*};
}

example_rule! {
    submission_is_critical: "tsagaan.rules" "submission" POST "/expressions/17" => Critical, false;
    browsing_is_normal: "tsagaan.rules" "listings" GET "/calls/open" => Normal, true;
    pack_is_deferrable: "tsagaan.rules" "archive" GET "/packs/guidelines" => Deferrable, true;
    transfer_is_critical: "co-operative.rules" "custody" POST "/transfers/9" => Critical, false;
    gauge_is_high: "co-operative.rules" "gauging" GET "/gauges/t4" => High, true;
    bundle_is_deferrable: "co-operative.rules" "calibration" GET "/bundles/2026" => Deferrable, true;
}
