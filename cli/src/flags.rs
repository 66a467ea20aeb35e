//! Subcommands, arguments and flags of `godwithaven`.

use std::ffi::OsString;
use std::path::PathBuf;

xflags::xflags! {
    /// Operators' command of godwithaven. Exit codes: 0 done, 1 failed or refused, 2 bad usage.
    cmd godwithaven {
        /// Print JSON for scripts.
        optional --json

        /// Run everything on loopback addresses and check what the stand-ins saw.
        cmd demo {}
        /// Work on bundles, the signed configuration.
        cmd bundle {
            /// Check a bundle or a signed file as a whole and report every fault at its line.
            cmd check {
                required file: PathBuf
                /// Operators' address of an entry process: also refuse zones that have no VM.
                optional --entry address: String
            }
            /// Show what changes between two bundles or signed files.
            cmd diff {
                required old: PathBuf
                required new: PathBuf
            }
            /// Check and sign a bundle, or add a signature to a signed file.
            cmd sign {
                required file: PathBuf
                /// File with the signing key.
                required --key file: PathBuf
                /// Signed file to write; otherwise FILE with the ending .signed.json.
                optional --out file: PathBuf
            }
            /// Publish a signed file if its base is in force, and say whether it was adopted.
            cmd publish {
                required file: PathBuf
                /// Address of the log service, ip:port.
                required --log address: String
                /// Public keys for the first bundle, as the entry processes have them [GODWITHAVEN_SIGNERS].
                optional --signers keys: String
                /// Signatures that the first bundle needs [GODWITHAVEN_APPROVALS, otherwise 1].
                optional --approvals count: usize
                /// Longest wait for the result in seconds; otherwise 20.
                optional --wait-s seconds: u64
            }
            /// Print the bundle in force.
            cmd show {
                /// Operators' address of an entry process [GODWITHAVEN_ENTRY, otherwise 127.0.0.1:8082].
                repeated --entry address: String
            }
        }
        /// Create signing keys and digests of team keys.
        cmd key {
            /// Create a signing key: prints the public key, writes the secret to a file with mode 600.
            cmd new {
                /// File for the secret; otherwise signing.key.
                optional --out file: PathBuf
            }
            /// Read a team key from standard input and print its SHA-256.
            cmd hash {}
        }
        /// Show the state of entry processes.
        cmd status {
            /// Operators' address of an entry process; repeat for several.
            repeated --entry address: String
        }
        /// Show all worker shards.
        cmd fleet {
            /// Operators' address of an entry process; repeat for several.
            repeated --entry address: String
        }
        /// Show share, limit, use, open work and waiting tasks by reason of all teams.
        cmd teams {
            /// Operators' address of an entry process; repeat for several.
            repeated --entry address: String
        }
        /// Show past use, weight and correction of the teams of a cell; its owner has to be among the entries.
        cmd usage {
            /// Metrics address of an entry process that serves a cell; repeat for several.
            repeated --entry address: String
        }
        /// Show all availability zones.
        cmd zones {
            /// Operators' address of an entry process; repeat for several.
            repeated --entry address: String
        }
        /// Show all endpoints.
        cmd endpoints {
            /// Operators' address of an entry process; repeat for several.
            repeated --entry address: String
        }
        /// Explain where work is and why.
        cmd explain {
            /// Explain a job.
            cmd job {
                /// Name of the job, TEAM/NAME.
                required name: String
                /// Operators' address of an entry process; repeat for several.
                repeated --entry address: String
            }
            /// Tell from logs what happened to a job, task, request or worker.
            cmd log {
                /// Id of the job, task, request or worker.
                required id: String
                /// Log of one process; standard input if none is given, or for -.
                repeated file: PathBuf
            }
            /// Tell what the owner of a cell would do now with a job, without submitting it.
            cmd place {
                /// Host name of the queue.
                required host: String
                /// Path prefix of the queue.
                required path: String
                /// File with the job as callers submit it; otherwise the job is one step of --tasks tasks.
                optional --file file: PathBuf
                /// Number of tasks; otherwise 1.
                optional --tasks count: u32
                /// Thousandths of a core that each task needs; otherwise 1000.
                optional --cores-milli amount: u64
                /// MiB of memory that each task needs.
                optional --memory-mib amount: u64
                /// Accelerators that each task needs.
                optional --accelerators amount: u64
                /// Estimated run time of a task in milliseconds.
                optional --run-ms millis: u64
                /// File with the team's key; otherwise the variable GODWITHAVEN_KEY, or no key.
                optional --key-file file: PathBuf
                /// Metrics address of the owner's process [GODWITHAVEN_ENTRY]; repeat for several.
                repeated --entry address: String
            }
            /// Explain a request to a service.
            cmd request {
                /// Id of the request, TEAM/ID.
                required id: String
                /// Operators' address of an entry process; repeat for several.
                repeated --entry address: String
            }
        }
    }
}

/// Splits each `--flag=value` into two arguments, because xflags reads a value only from the next argument.
pub fn split_values(args: Vec<OsString>) -> Vec<OsString> {
    let split = |arg: OsString| match arg.to_str().and_then(|text| text.split_once('=')) {
        Some((flag, value)) if flag.starts_with("--") => vec![flag.into(), value.into()],
        _ => vec![arg],
    };
    args.into_iter().flat_map(split).collect()
}
