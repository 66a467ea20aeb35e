//! The entry processes of the project, started with the command of the deploy file.

use std::net::{SocketAddr, TcpListener};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http;
use crate::record::note;

/// The command of `deploy/system.toml`.
const PROGRAM: &str = "target/release/godwithaven-entry";

static CHILDREN: Mutex<Vec<Child>> = Mutex::new(Vec::new());

/// An entry process.
#[derive(Clone)]
pub struct Entry {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    settings: String,
    pid: Arc<AtomicU32>,
}

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free loopback port");
    listener.local_addr().expect("the address of a listener")
}

/// Starts entry processes on three VMs in three zones.
pub fn start_three(store: SocketAddr, folder: &str) -> Result<Vec<Entry>, String> {
    let controls: Vec<SocketAddr> = (0..3).map(|_| free_address()).collect();
    let seeds: Vec<String> = controls.iter().map(ToString::to_string).collect();
    let seeds = seeds.join(",");
    let mut entries = Vec::new();
    for (index, control) in controls.iter().enumerate() {
        let (front, ready, metrics) = (free_address(), free_address(), free_address());
        let name = format!("front-{}", index + 1);
        let zone = ["a", "b", "c"][index];
        let port = metrics.port();
        let settings = format!("{folder}/{name}.conf");
        let text = format!(
            "node={name}\nrole=entry\nmachine_class=front\nserves=front,control\nip=127.0.0.1\nzone={zone}\n\
             region=r\nzones.a=r\nzones.b=r\nzones.c=r\nlisten.front={front}\nlisten.ready={ready}\n\
             listen.control={control}\ninternal_ports={port},{port}\nseeds={seeds}\nbootstrap=true\n\
             limits.cpu_share=0.25\nlimits.cores=1\nlimits.memory_mb=260\nlimits.max_fds=4100\n\
             limits.link_mbps=1000.0\nlimits.disk_mb=0\ndiscovery=platform\nentry=vip\nheartbeat_ms=1500\n\
             contracts=base,drain,config,cost,recover,sched,tenants,quota,places,platform\n\
             bounds.contact_ms=3000\nbounds.ack_ms=4000\nbounds.drain_ms=2000\nbounds.grace_s=6\n\
             bounds.config_apply_ms=2000\nbounds.recovery_s=12\nbounds.max_hold_ms=10000\nbounds.stop_ms=200\n\
             bounds.gang_ms=3000\nbounds.cancel_ms=3000\nbounds.visible_ms=3000\nbounds.finish_s=14\n\
             bounds.status_s=120\norders=call\nplatform.address={store}\nplatform.form=log\n\
             platform.writes_per_s=600\nplatform.reads_per_s=2000\nplatform.parts=32\nplatform.append_ms=2.0\n\
             platform.record_bytes=262144\nplatform.call_bytes=2097152\nplatform.keep_s=300\n\
             platform.part_mb=200\nplatform.min_ttl_ms=1000\n"
        );
        std::fs::write(&settings, text).map_err(|error| error.to_string())?;
        let entry = Entry { name, front, ready, settings, pid: Arc::default() };
        entry.launch()?;
        entries.push(entry);
    }
    Ok(entries)
}

impl Entry {
    /// Starts the process.
    pub fn launch(&self) -> Result<(), String> {
        let command = Command::new(PROGRAM)
            .env_clear()
            .env("PATH", "/usr/bin:/bin")
            .env("GODWITHAVEN_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log_file(&self.settings)?)
            .stderr(log_file(&self.settings)?)
            .spawn();
        let child = command.map_err(|error| format!("{PROGRAM}: {error}"))?;
        self.pid.store(child.id(), Ordering::Relaxed);
        note(&format!("process {} starts as {}", self.name, child.id()));
        CHILDREN.lock().expect("the processes").push(child);
        Ok(())
    }

    /// Whether the process answers the readiness check of the platform with 200.
    pub fn is_ready(&self) -> bool {
        let answer = http::call(self.ready, "GET", "/api/ready", &[], b"", Duration::from_secs(1));
        matches!(answer, Ok((200, _)))
    }

    /// Waits until the process is ready.
    pub fn await_ready(&self, longest: Duration) -> Result<(), String> {
        let deadline = Instant::now() + longest;
        while Instant::now() < deadline {
            if self.is_ready() {
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        Err(format!("{} is not ready", self.name))
    }

    /// Resident memory in MB; `None` if the process is gone.
    pub fn memory_mb(&self) -> Option<u64> {
        let pid = self.pid.load(Ordering::Relaxed);
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
        let kilobytes: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
        Some(kilobytes / 1_024)
    }

    /// Kills the process.
    pub fn kill(&self) {
        let mut children = CHILDREN.lock().expect("the processes");
        if let Some(child) = children.iter_mut().find(|child| child.id() == self.pid.load(Ordering::Relaxed)) {
            let _ = child.kill();
            let _ = child.wait();
            note(&format!("process {} is killed", self.name));
        }
    }
}

fn log_file(settings: &str) -> Result<Stdio, String> {
    let path = settings.replace(".conf", ".log");
    let file = std::fs::OpenOptions::new().create(true).append(true).open(path);
    Ok(file.map_err(|error| error.to_string())?.into())
}

/// Ends all processes.
pub fn end_all() {
    for child in CHILDREN.lock().expect("the processes").iter_mut() {
        let _ = child.kill();
        let _ = child.wait();
    }
}
