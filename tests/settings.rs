//! Guards against settings that are taken wrongly, and against daemons that start by halves.

use std::process::Command;

use godwithaven::settings::{CommandLine, ENTRY_SETTINGS, EntrySettings};
use googletest::prelude::*;

const SIGNER: &str = "3c88f308dc823585dcc49f6fa67667c52bcb1f986dd7341e214b9c8ec22fc717";

/// Returns a sound setting by flag.
fn sound(flag: &str) -> Option<String> {
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

/// Reads sound settings with one flag replaced; returns the text of the fault.
fn fault_with(name: &str, value: &str) -> String {
    let flag = |flag: &str| if flag == name { Some(value.to_owned()) } else { sound(flag) };
    EntrySettings::read(flag, |_| None).err().map(|fault| fault.text).unwrap_or_default()
}

fn parse(line: &str) -> std::result::Result<CommandLine, String> {
    CommandLine::parse(line.split_whitespace().map(str::to_owned)).map_err(|fault| fault.text)
}

/// Runs the daemon without variables; returns exit code, output and errors.
fn daemon(args: &[&str]) -> (Option<i32>, String, String) {
    let output =
        Command::new(env!("CARGO_BIN_EXE_godwithaven-entry")).args(args).env_clear().output().unwrap();
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).unwrap();
    (output.status.code(), text(output.stdout), text(output.stderr))
}

#[gtest]
fn a_flag_wins_over_its_variable_and_the_variable_over_the_default() {
    let variable = |name: &str| match name {
        "GODWITHAVEN_ZONE" => Some("b".to_owned()),
        "GODWITHAVEN_LEASE_MS" => Some("9000".to_owned()),
        _ => None,
    };

    let settings = EntrySettings::read(sound, variable).unwrap();

    expect_that!(&*settings.zone, eq("a"));
    expect_that!(settings.lease.as_millis(), eq(9_000));
    expect_that!(settings.listen.port(), eq(8_080));
}

#[gtest]
fn all_missing_settings_are_in_one_report() {
    let fault = EntrySettings::read(|_| None, |_| None).err().unwrap();

    let missing = ENTRY_SETTINGS.iter().filter(|entry| entry.default.is_none());
    for entry in missing {
        expect_that!(fault.text, contains_substring(format!("--{} or {}", entry.flag, entry.variable)));
    }
}

#[gtest]
fn settings_that_cannot_work_are_refused() {
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
fn both_forms_of_flags_are_read() {
    let call = parse("--vm entry-1 --zone=a");

    let Ok(CommandLine::Start(flags)) = call else { panic!("{call:?}") };
    expect_that!(flags.get("vm").map(String::as_str), some(eq("entry-1")));
    expect_that!(flags.get("zone").map(String::as_str), some(eq("a")));
}

#[gtest]
fn flags_that_cannot_be_read_are_refused() {
    for line in ["--colour red", "--vm", "vm entry-1", "--vm a --vm=b", "-v"] {
        expect_that!(parse(line), err(anything()), "{line}");
    }
}

#[gtest]
fn the_daemon_starts_with_sound_settings_only() {
    let help = daemon(&["--help"]);
    let version = daemon(&["--version"]);
    let missing = daemon(&["--vm", "entry-1"]);
    let wanted = ["--vm=a", "--zone=a", "--log=127.0.0.1:1", "--directory=127.0.0.1:1", "--signers", SIGNER];
    // An address of another host, so that binding fails on every machine.
    let unbound = daemon(&[&wanted[..], &["--listen=127.0.0.1:0", "--operator-listen=192.0.2.1:1"]].concat());

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
    expect_that!(unbound.0, some(eq(2)));
    expect_that!(unbound.2, contains_substring("--operator-listen: cannot listen on 192.0.2.1:1"));
}
