//! Guards against operators' pages with commands that no longer work or outputs that are no longer printed.
//!
//! Each page runs on a platform of its own. A block ```` ```toml NAME ```` is written to a file, a block
//! ```` ```console ```` is run line by line. `GODWITHAVEN_REGENERATE=1` writes the real output to the pages.

mod fixture;
mod shell_page;

use std::fs;
use std::path::Path;

use googletest::prelude::*;

use fixture::Platform;
use shell_page::{PageBlock, ShellPage};

/// Environment variable that, if set, writes the output into the pages instead of comparing it.
const REGENERATE_VARIABLE: &str = "GODWITHAVEN_REGENERATE";

/// Runs all blocks of a page and compares their output with that in the page. Also checks that no entry
/// process has logged the team key.
async fn run_page(name: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../docs/operations").join(name);
    let mut page = ShellPage::parse(&fs::read_to_string(&path).unwrap());
    let mut platform = Platform::start(name).await;
    let regenerate = std::env::var_os(REGENERATE_VARIABLE).is_some();
    for block in &mut page.blocks {
        match block {
            PageBlock::Text(_) => {}
            PageBlock::File { name, text } => platform.write(name, text),
            PageBlock::Command { line, output } => {
                let printed =
                    shell_page::run(&mut platform, line, if regenerate { None } else { Some(output) }).await;
                if regenerate {
                    *output = printed;
                } else {
                    let matches = shell_page::masked(line, &printed) == shell_page::masked(line, output);
                    expect_that!(matches, eq(true), "{name}: {line}\nshown:\n{output}\nprinted:\n{printed}");
                }
            }
        }
    }
    for vm in &platform.entries {
        let log = fs::read_to_string(platform.dir.join(format!("{}.log", vm.name))).unwrap();
        expect_that!(log, not(contains_substring("blue-key")), "{name}: a key is in the log");
    }
    platform.stop().await;
    if regenerate {
        fs::write(&path, page.render()).unwrap();
    }
}

/// Defines a test for each page, which runs it.
macro_rules! pages {
    ($($name:ident $file:literal)*) => {
        $(
            #[gtest]
            #[actix_rt::test]
            async fn $name() {
                run_page($file).await;
            }
        )*
    };
}

pages! {
    index "README.md"
    first_start "first-start.md"
    keys "keys.md"
    zones "zones.md"
    bad_workers "bad-workers.md"
    explain_and_logs "explain-and-logs.md"
    metrics "metrics.md"
    drain_endpoint "drain-endpoint.md"
    log_down "log-down.md"
    may_have_run "may-have-run.md"
    process_down "process-down.md"
    region_cut_off "region-cut-off.md"
    replacing_vms "replacing-vms.md"
    rolling_bundles "rolling-bundles.md"
    shares_and_waits "shares-and-waits.md"
    slow_service "slow-service.md"
}

/// Guards against a page that no test runs, and against pages that name metrics that do not exist.
#[gtest]
fn every_page_is_run_and_names_metrics_that_exist() {
    let read = |file: &str| fs::read_to_string(Path::new(env!("CARGO_MANIFEST_DIR")).join(file)).unwrap();
    let source = read("tests/pages.rs");
    let metrics = read("../src/tasks/metrics.rs") + &read("../src/tasks/connection_metrics.rs");
    let pages = fs::read_dir(Path::new(env!("CARGO_MANIFEST_DIR")).join("../docs/operations")).unwrap();
    for page in pages {
        let name = page.unwrap().file_name().into_string().unwrap();
        let text = read(&format!("../docs/operations/{name}"));
        let parts = text.split(|letter: char| !letter.is_ascii_alphanumeric() && letter != '_');
        for metric in parts.filter(|part| part.starts_with("godwithaven_")) {
            let family = ["_bucket", "_sum", "_count"].iter().find_map(|end| metric.strip_suffix(end));
            let known = metrics.contains(&format!("\"{}\"", family.unwrap_or(metric)));
            expect_that!(known, eq(true), "{name} names {metric}");
        }
        expect_that!(source, contains_substring(format!(" \"{name}\"\n")));
    }
}
