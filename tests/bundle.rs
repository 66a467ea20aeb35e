//! Guards against invalid bundles that are accepted, and against reports that show only the first fault or a
//! wrong line.

mod fixture;

use godwithaven::kernel::{PluginRegistry, PolicyBundle};
use godwithaven::plugins::bundle_fault::{BundleFault, BundleReport};
use godwithaven::plugins::bundle_toml::{self, BundleContext};
use googletest::prelude::*;
use proptest::prelude::{ProptestConfig, any, prop};
use proptest::test_runner::{RngAlgorithm, RngSeed, TestRunner};

/// Checks a text as the ledger does, with one signer in the settings.
fn check(text: &str) -> std::result::Result<PolicyBundle, Vec<BundleFault>> {
    let registry = PluginRegistry::collect();
    let context = BundleContext { registry: &registry, known_zones: None, default_signer_count: Some(1) };
    bundle_toml::parse_with_faults(text, &context)
}

/// Returns the line and the message of each fault of the text.
fn line_faults(text: &str) -> Vec<(usize, String)> {
    let faults = check(text).err().unwrap_or_default();
    faults.into_iter().map(|fault| (fault.line(text), fault.message)).collect()
}

/// Returns the text of a valid bundle with the first `from` replaced by `to`.
fn edited_bundle(from: &str, to: &str) -> String {
    let text = fixture::bundle_text(1, 0);
    assert!(text.contains(from), "{from:?} is not in the text");
    text.replacen(from, to, 1)
}

fn runner() -> TestRunner {
    TestRunner::new(ProptestConfig {
        cases: 500,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })
}

#[gtest]
fn a_valid_bundle_has_no_faults() {
    let text = format!("format = 1\n{}", fixture::bundle_text(1, 0));

    let bundle = check(&text);

    expect_that!(bundle.map(|bundle| bundle.teams.len()), ok(eq(&2)));
}

#[gtest]
fn each_fault_is_reported_at_its_line() {
    let cases = [
        ("version = 1\n", "version = 1\ncolour = 3\n", 2, "unknown field `colour`"),
        ("version = 1\n", "", 1, "missing field `version`"),
        ("base = 0\n", "base = 1\n", 1, "`version` must be above `base`"),
        ("base = 0\n", "base = 0\napprovals = 2\n", 3, "`approvals` is 2, but there are 1 signers"),
        ("base = 0\n", "base = 0\napprovals = 0\n", 3, "at least 1"),
        ("base = 0\n", "base = 0\nsigners = [\"12\"]\n", 3, "signer \"12\" is not an ed25519 public key"),
        ("base = 0\n", "base = 0\nformat = 9\n", 3, "format 9 is not known"),
        ("base = 0\n", "base = 0\nplacement.batch = \"best\"\n", 3, "known are batch_pack"),
        ("shards_per_region = 2", "shards_per_region = 0", 3, "between 1 and"),
        ("shards_per_region = 2", "shards_per_region = 4000000000", 3, "between 1 and"),
        ("id = \"b\"", "id = \"a\"", 9, "zone \"a\" is defined twice"),
        ("region = \"r1\"\n", "", 4, "missing field `region`"),
        ("region = \"r1\"", "region = \"\"", 6, "region name \"\""),
        ("state = \"in\"", "state = \"closed\"", 7, "unknown variant `closed`"),
        ("share = 1", "share = 0", 18, "`share` must be at least 1"),
        ("cores_milli = 64000", "cores_milli = -1", 19, "`cores_milli`: invalid value: integer `-1`"),
        ("team = \"blue\"", "team = \"green\"", 22, "team \"green\" is not defined"),
        ("sha256 = \"", "sha256 = \"x", 23, "`sha256` must be 64 hexadecimal digits"),
        ("id = \"planner\"", "id = \"planner\"\npartitions = 0", 36, "between 1 and"),
        ("id = \"planner\"", "id = \"planner\"\nrouting = \"best\"", 36, "known are least_wait"),
        ("id = \"planner\"", "id = \"service/one\"", 35, "service name \"service/one\""),
        ("id = \"main\"", "id = \"main\"\nopen_to_all_as = \"green\"", 34, "team \"green\" is not defined"),
        ("id = \"main\"", "id = main", 33, "string values must be quoted"),
    ];
    for (from, to, line, message) in cases {
        let found = line_faults(&edited_bundle(from, to));

        expect_that!(found, elements_are![(eq(&line), contains_substring(message))], "{from:?} → {to:?}");
    }
}

#[gtest]
fn one_report_shows_all_faults() {
    let text = edited_bundle("share = 1", "share = 0\ncolour = 1\ncost = 2")
        .replacen("cores_milli = 64000", "cores_milli = -4", 1)
        .replacen("region = \"r1\"", "region = 5", 1)
        .replacen("base = 0", "base = \"none\"", 1);

    let found = check(&text).err().unwrap_or_default();
    let report = format!("{:?}", miette::Report::new(BundleReport::new("bundle.toml", &text, &found)));

    let lines: Vec<usize> = found.iter().map(|fault| fault.line(&text)).collect();
    expect_that!(lines, elements_are![eq(&2), eq(&6), eq(&18), eq(&19), eq(&20), eq(&21)]);
    expect_that!(report, contains_substring("bundle.toml cannot be used: 6 faults"));
    expect_that!(report, contains_substring("unknown field `cost`"));
}

#[gtest]
fn a_key_pasted_in_place_of_its_digest_is_masked_in_the_report() {
    let text = edited_bundle("sha256 = \"", "sha256 = \"secret-key-");

    let found = check(&text).err().unwrap_or_default();
    let report = format!("{:?}", miette::Report::new(BundleReport::new("bundle", &text, &found)));

    expect_that!(found, len(eq(1)));
    expect_that!(format!("{found:?}{report}"), not(contains_substring("secret-key")));
}

#[gtest]
fn a_zone_without_vms_is_a_fault_if_the_zones_are_known() {
    let registry = PluginRegistry::collect();
    let known = ["a".into(), "b".into()];
    let context =
        BundleContext { registry: &registry, known_zones: Some(&known), default_signer_count: None };

    let found =
        bundle_toml::parse_with_faults(&fixture::bundle_text(1, 0), &context).err().unwrap_or_default();

    let messages: Vec<&str> = found.iter().map(|fault| fault.message.as_str()).collect();
    expect_that!(messages, elements_are![eq(&"no VM is in zone \"c\"; known are a, b")]);
}

#[gtest]
fn a_serialized_bundle_parses_to_the_same_bundle() {
    let bundle = check(&fixture::bundle_text(1, 0)).unwrap();

    let reparsed = check(&toml::to_string(&bundle).unwrap());

    expect_that!(reparsed, ok(eq(&bundle)));
}

#[gtest]
fn randomly_edited_bundles_never_make_the_check_panic() {
    let valid = fixture::bundle_text(1, 0);
    let edits = (any::<prop::sample::Index>(), any::<prop::sample::Index>(), "[ -~\\n]{0,12}");

    let result = runner().run(&edits, |(from, to, text)| {
        let (from, to) = (from.index(valid.len()), to.index(valid.len()));
        let (from, to) = (from.min(to), from.max(to).min(from.min(to) + 20));
        let edited = format!("{}{text}{}", &valid[..from], &valid[to..]);
        for fault in check(&edited).err().unwrap_or_default() {
            assert!(fault.span.end <= edited.len(), "{fault:?}");
        }
        let found = check(&edited).err().unwrap_or_default();
        let _ = format!("{:?}", miette::Report::new(BundleReport::new("bundle", &edited, &found)));
        Ok(())
    });

    expect_that!(result, ok(anything()));
}
