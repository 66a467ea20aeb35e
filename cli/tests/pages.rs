//! Guards against operators' pages whose commands or outputs are no longer true.
//!
//! Each page runs on its own platform. A block ```` ```toml NAME ```` is written to a file, a block
//! ```` ```console ```` is run line by line. `GODWITHAVEN_REGENERATE=1` writes the real output into the pages.

mod fixture;
mod shell_page;

use std::fs;
use std::path::Path;

use googletest::prelude::*;

use fixture::Platform;
use shell_page::{PageBlock, ShellPage};

/// Set to write the output into the pages instead of comparing it.
const REGENERATE: &str = "GODWITHAVEN_REGENERATE";

/// Runs all blocks of a page and compares what they print with what the page shows.
async fn run_page(name: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../docs/operations").join(name);
    let mut page = ShellPage::parse(&fs::read_to_string(&path).unwrap());
    let platform = Platform::start(name).await;
    let regenerate = std::env::var_os(REGENERATE).is_some();
    for block in &mut page.blocks {
        match block {
            PageBlock::Text(_) => {}
            PageBlock::File { name, text } => platform.write(name, text),
            PageBlock::Command { line, output } => {
                let printed =
                    shell_page::run(&platform, line, if regenerate { None } else { Some(output) }).await;
                if regenerate {
                    *output = printed;
                } else {
                    let same = shell_page::masked(line, &printed) == shell_page::masked(line, output);
                    expect_that!(same, eq(true), "{name}: {line}\nshown:\n{output}\nprinted:\n{printed}");
                }
            }
        }
    }
    platform.stop().await;
    if regenerate {
        fs::write(&path, page.render()).unwrap();
    }
}

#[gtest]
#[actix_rt::test]
async fn first_start() {
    run_page("first-start.md").await;
}

#[gtest]
#[actix_rt::test]
async fn keys() {
    run_page("keys.md").await;
}

#[gtest]
#[actix_rt::test]
async fn zones() {
    run_page("zones.md").await;
}

#[gtest]
#[actix_rt::test]
async fn bad_workers() {
    run_page("bad-workers.md").await;
}

#[gtest]
#[actix_rt::test]
async fn explain_and_logs() {
    run_page("explain-and-logs.md").await;
}

#[gtest]
#[actix_rt::test]
async fn metrics() {
    run_page("metrics.md").await;
}
