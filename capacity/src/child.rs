//! The measured entry process, which runs as a child process.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

/// Resources that an entry process has used since it started.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProcessUsage {
    /// CPU time of all threads.
    pub cpu: Duration,
    /// Resident memory in bytes.
    pub resident: u64,
}

/// A running `godwithaven-entry` process, which is killed when the value is dropped.
pub struct EntryChild {
    child: Child,
    /// Address that serves callers.
    pub listen: SocketAddr,
    /// Address that serves other entry processes.
    pub peer_listen: SocketAddr,
    /// Address that serves operators, with the metrics.
    pub operator_listen: SocketAddr,
}

impl EntryChild {
    /// Starts the `godwithaven-entry` executable in the folder of this program, on free loopback ports.
    ///
    /// # Errors
    ///
    /// Returns an error if the executable is missing or no port is free.
    pub fn start(flags: &[(&str, String)]) -> std::io::Result<Self> {
        let [listen, peer_listen, operator_listen] = [free_port()?, free_port()?, free_port()?];
        let mut command = Command::new(daemon_path()?);
        for (flag, value) in flags {
            command.arg(format!("--{flag}")).arg(value);
        }
        command.args(["--listen", &listen.to_string(), "--peer-listen", &peer_listen.to_string()]);
        command.args(["--operator-listen", &operator_listen.to_string()]);
        let child = command.stdout(Stdio::null()).stderr(Stdio::null()).spawn()?;
        Ok(Self { child, listen, peer_listen, operator_listen })
    }

    /// Reads the CPU time and the resident memory of the process from `/proc`.
    ///
    /// # Errors
    ///
    /// Returns an error if `/proc` cannot be read, as after the end of the process.
    pub fn usage(&self) -> std::io::Result<ProcessUsage> {
        let proc = PathBuf::from(format!("/proc/{}", self.child.id()));
        let mut nanoseconds = 0;
        for thread in fs::read_dir(proc.join("task"))? {
            let line = fs::read_to_string(thread?.path().join("schedstat"))?;
            nanoseconds += line.split(' ').next().and_then(|field| field.parse::<u64>().ok()).unwrap_or(0);
        }
        let status = fs::read_to_string(proc.join("status"))?;
        let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kilobytes = resident.and_then(|rest| rest.trim().trim_end_matches(" kB").parse::<u64>().ok());
        Ok(ProcessUsage { cpu: Duration::from_nanos(nanoseconds), resident: kilobytes.unwrap_or(0) * 1_024 })
    }
}

impl Drop for EntryChild {
    fn drop(&mut self) {
        // The child may already have ended, so errors are ignored.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn daemon_path() -> std::io::Result<PathBuf> {
    Ok(std::env::current_exe()?.with_file_name("godwithaven-entry"))
}

fn free_port() -> std::io::Result<SocketAddr> {
    std::net::TcpListener::bind("127.0.0.1:0")?.local_addr()
}
