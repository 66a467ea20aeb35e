//! Guards against invalid settings that are accepted, settings read from the wrong source, and a daemon that
//! keeps running although it could not start completely.

use std::process::Command;

use godwithaven::settings::{CommandLine, ENTRY_SETTINGS, EntrySettings};
use googletest::prelude::*;

/// A valid ed25519 public key.
const SIGNER: &str = "3c88f308dc823585dcc49f6fa67667c52bcb1f986dd7341e214b9c8ec22fc717";

/// Returns a valid value for each flag without a default.
fn valid_setting(flag: &str) -> Option<String> {
    let text = match flag {
        "vm" => "entry-1",
        "zone" => "a",
        "log" => "127.0.0.1:7070",
        "directory" => "127.0.0.1:7071",
        "signers" => SIGNER,
        _ => return None,
    };
    Some(text.to_owned())
}

/// Reads valid settings with one flag replaced and returns the text of the fault, empty if there is none.
fn fault_with(name: &str, value: &str) -> String {
    let flag = |flag: &str| if flag == name { Some(value.to_owned()) } else { valid_setting(flag) };
    EntrySettings::read(flag, |_| None).err().map(|fault| fault.text).unwrap_or_default()
}

fn parse(line: &str) -> std::result::Result<CommandLine, String> {
    CommandLine::parse(line.split_whitespace().map(str::to_owned)).map_err(|fault| fault.text)
}

/// Runs the daemon without environment variables and returns its exit code, standard output and standard
/// error.
fn run_daemon(args: &[&str]) -> (Option<i32>, String, String) {
    let output =
        Command::new(env!("CARGO_BIN_EXE_godwithaven-entry")).args(args).env_clear().output().unwrap();
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).unwrap();
    (output.status.code(), text(output.stdout), text(output.stderr))
}

#[gtest]
fn a_flag_overrides_its_variable_and_a_variable_overrides_the_default() {
    let variable = |name: &str| match name {
        "GODWITHAVEN_ZONE" => Some("b".to_owned()),
        "GODWITHAVEN_LEASE_MS" => Some("9000".to_owned()),
        _ => None,
    };

    let settings = EntrySettings::read(valid_setting, variable).unwrap();

    expect_that!(&*settings.zone, eq("a"));
    expect_that!(settings.lease.as_millis(), eq(9_000));
    expect_that!(settings.listen.port(), eq(8_080));
}

#[gtest]
fn one_fault_names_all_missing_settings() {
    let fault = EntrySettings::read(|_| None, |_| None).err().unwrap();

    let missing = ENTRY_SETTINGS.iter().filter(|entry| entry.default.is_none());
    for entry in missing {
        expect_that!(fault.text, contains_substring(format!("--{} or {}", entry.flag, entry.variable)));
    }
}

#[gtest]
fn invalid_settings_are_rejected() {
    let cases = [
        ("vm", "entry/1"),
        ("zone", ""),
        ("listen", "8080"),
        ("log", "log.example"),
        ("signers", "12ab"),
        ("approvals", "0"),
        ("approvals", "2"),
        ("commit-window-ms", "-1"),
        ("sync-interval-ms", "0"),
        ("memory-mb", "0"),
        ("max-fds", "many"),
        ("max-header-bytes", "100"),
        ("max-body-bytes", "0"),
        ("idle-timeout-ms", "0"),
        ("lease-ms", "99999999999999999999"),
        ("lease-ms", "2"),
        ("log-format", "xml"),
    ];
    for (flag, value) in cases {
        let fault = fault_with(flag, value);

        expect_that!(fault, starts_with(format!("--{flag}")), "{flag} = {value:?}");
    }
    expect_that!(fault_with("signers", &format!("{SIGNER},{SIGNER}")), starts_with("--signers"));
}

#[gtest]
fn flags_are_parsed_with_a_blank_and_with_an_equals_sign() {
    let call = parse("--vm entry-1 --zone=a");

    let Ok(CommandLine::Start(flags)) = call else { panic!("{call:?}") };
    expect_that!(flags.get("vm").map(String::as_str), some(eq("entry-1")));
    expect_that!(flags.get("zone").map(String::as_str), some(eq("a")));
}

#[gtest]
fn invalid_command_lines_are_rejected() {
    for line in ["--colour red", "--vm", "vm entry-1", "--vm a --vm=b", "-v"] {
        expect_that!(parse(line), err(anything()), "{line}");
    }
}

#[gtest]
fn the_daemon_prints_its_help_and_rejects_invalid_settings() {
    let help = run_daemon(&["--help"]);
    let version = run_daemon(&["--version"]);
    let missing = run_daemon(&["--vm", "entry-1"]);
    let required =
        ["--vm=a", "--zone=a", "--log=127.0.0.1:1", "--directory=127.0.0.1:1", "--signers", SIGNER];
    // 192.0.2.1 belongs to no local interface, so binding to it fails on every machine.
    let bind_failure =
        run_daemon(&[&required[..], &["--listen=127.0.0.1:0", "--operator-listen=192.0.2.1:1"]].concat());

    expect_that!(help.0, some(eq(0)));
    for entry in ENTRY_SETTINGS {
        expect_that!(help.1, contains_substring(entry.variable));
    }
    let readme = std::fs::read_to_string(concat!(env!("CARGO_MANIFEST_DIR"), "/README.md")).unwrap();
    expect_that!(
        readme,
        contains_substring(help.1.as_str()),
        "the options in README.md are not those of --help"
    );
    expect_that!(help.1, contains_substring("shortest time between two appends of this process"));
    expect_that!(version.1, starts_with("godwithaven-entry "));
    expect_that!((missing.0, missing.1.as_str()), eq((Some(2), "")));
    expect_that!(missing.2, contains_substring("--zone or GODWITHAVEN_ZONE is missing"));
    expect_that!(bind_failure.0, some(eq(2)));
    expect_that!(bind_failure.2, contains_substring("--operator-listen: cannot listen on 192.0.2.1:1"));
}
